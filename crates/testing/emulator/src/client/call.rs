//! One call on a connection of its own, as servers, operator and platform make them.

use crate::wire::{name, request_bytes, Headers, MessageReader, RequestHead, WireError};
use bytes::Bytes;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// What is asked.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// The headers, in their order.
    pub headers: Headers,
    /// The body; may be empty.
    pub body: Bytes,
}

impl Call {
    /// A GET without a body.
    pub fn get(target: impl Into<String>) -> Call {
        Call {
            method: "GET",
            target: target.into(),
            headers: Headers::new(),
            body: Bytes::new(),
        }
    }

    /// A call with a JSON body.
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

/// What came back.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// The status.
    pub status: u16,
    /// The headers, in their order.
    pub headers: Headers,
    /// The complete body.
    pub body: Bytes,
}

/// Why nothing came back.
#[derive(Clone, Debug)]
pub enum CallError {
    /// No connection came up.
    NoConnection(std::io::ErrorKind),
    /// The connection ended or brought what is no answer.
    Broken(WireError),
    /// No answer in time.
    Silence,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NoConnection(kind) => write!(f, "no connection: {kind}"),
            CallError::Broken(error) => write!(f, "{error}"),
            CallError::Silence => write!(f, "no answer in time"),
        }
    }
}

impl std::error::Error for CallError {}

/// Calls `address` and reads the whole answer, within `limit`.
///
/// # Errors
/// No connection, a broken answer, or none within `limit`.
pub async fn call(
    address: SocketAddr,
    what: &Call,
    limit: Duration,
) -> Result<CallAnswer, CallError> {
    timeout(limit, exchange(address, what))
        .await
        .unwrap_or(Err(CallError::Silence))
}

async fn exchange(address: SocketAddr, what: &Call) -> Result<CallAnswer, CallError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| CallError::NoConnection(error.kind()))?;
    let (read, mut write) = stream.into_split();
    let mut headers = Headers::new()
        .with(name::HOST, address.to_string())
        .with(name::CONNECTION, "close");
    headers.0.extend(what.headers.0.iter().cloned());
    let head = RequestHead {
        method: what.method.to_owned(),
        target: what.target.clone(),
        headers,
    };
    let failed = |error: std::io::Error| CallError::Broken(WireError::Failed(error.kind()));
    write
        .write_all(&request_bytes(&head, &what.body))
        .await
        .map_err(failed)?;
    let mut reader = MessageReader::new(read);
    let head = reader.response_head().await.map_err(CallError::Broken)?;
    let body = reader.body().await.map_err(CallError::Broken)?;
    Ok(CallAnswer {
        status: head.status,
        headers: head.headers,
        body,
    })
}
