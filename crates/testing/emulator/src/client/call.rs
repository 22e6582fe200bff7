//! Single requests without retries, each on a new connection, as servers, the operator and the platform send them.

use crate::wire::{name, request_bytes, Headers, MessageReader, RequestHead, WireError};
use bytes::Bytes;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A request that is sent on its own connection.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Headers other than `Host`, `Connection` and `Content-Length`, which are added when the call is sent.
    pub headers: Headers,
    /// Body; empty where the call has none.
    pub body: Bytes,
}

impl Call {
    /// A GET request without a body.
    pub fn get(target: impl Into<String>) -> Call {
        Call {
            method: "GET",
            target: target.into(),
            headers: Headers::new(),
            body: Bytes::new(),
        }
    }

    /// A POST request with a JSON body.
    pub fn post(target: impl Into<String>, body: impl Into<Bytes>) -> Call {
        let headers = Headers::new().with(name::CONTENT_TYPE, "application/json");
        Call {
            method: "POST",
            target: target.into(),
            headers,
            body: body.into(),
        }
    }
}

/// The response to a call.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers of the response.
    pub headers: Headers,
    /// Complete body of the response.
    pub body: Bytes,
}

/// Why a call received no complete response.
#[derive(Clone, Debug)]
pub enum CallError {
    /// The connection was refused or could not be opened.
    NoConnection(std::io::ErrorKind),
    /// The response was not a complete HTTP message.
    Broken(WireError),
    /// No complete response arrived within the call's time limit.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NoConnection(kind) => write!(f, "could not connect: {kind}"),
            CallError::Broken(error) => write!(f, "{error}"),
            CallError::Timeout => write!(f, "no complete response within the time limit"),
        }
    }
}

impl std::error::Error for CallError {}

/// Sends `request` to `address` and reads the complete response, within `limit`.
///
/// # Errors
///
/// [`CallError`] where no connection could be opened, the response was not a complete message, or `limit` passed.
pub async fn call(
    address: SocketAddr,
    request: &Call,
    limit: Duration,
) -> Result<CallResponse, CallError> {
    timeout(limit, exchange(address, request))
        .await
        .unwrap_or(Err(CallError::Timeout))
}

async fn exchange(address: SocketAddr, request: &Call) -> Result<CallResponse, CallError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| CallError::NoConnection(error.kind()))?;
    let (read, mut write) = stream.into_split();
    let mut headers = Headers::new()
        .with(name::HOST, address.to_string())
        .with(name::CONNECTION, "close");
    headers.0.extend(request.headers.0.iter().cloned());
    let head = RequestHead {
        method: request.method.to_owned(),
        target: request.target.clone(),
        headers,
    };
    let write_failed = |error: std::io::Error| CallError::Broken(WireError::Failed(error.kind()));
    write
        .write_all(&request_bytes(&head, &request.body))
        .await
        .map_err(write_failed)?;
    let mut reader = MessageReader::new(read);
    let head = reader.response_head().await.map_err(CallError::Broken)?;
    let body = reader.body().await.map_err(CallError::Broken)?;
    Ok(CallResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}
