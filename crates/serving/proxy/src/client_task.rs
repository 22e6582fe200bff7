//! The task of one client connection, which handles the connection's requests one after another.
//!
//! The task owns the active request. When the connection ends, the task drops the request: its endpoint connection
//! closes, and its reservations are released.

use crate::client_connection::{ClientConnection, ClientIo, Command};
use crate::handler;
use crate::node::Node;
use crate::shared::Shared;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

/// Allowance for the request line, on top of the limit on header bytes.
const REQUEST_LINE_BYTES: usize = 4 * 1024;
/// The least size of the read and write buffers of a client connection.
const BUFFER_BYTES: usize = 64 * 1024;
/// The most headers of a request.
const MAX_HEADERS: usize = 160;

/// Why a client connection ends.
enum ConnectionEnd {
    /// Either side closed it.
    InOrder,
    /// The client sent bytes that are not an HTTP request; hyper has rejected them.
    Malformed,
    /// The head of a request did not arrive in time.
    SlowHead,
    /// The client does not read its response.
    Aborted,
}

impl ConnectionEnd {
    fn from_result(result: Result<(), hyper::Error>) -> ConnectionEnd {
        match result {
            Err(error) if error.is_parse() => ConnectionEnd::Malformed,
            Ok(()) | Err(_) => ConnectionEnd::InOrder,
        }
    }
}

/// Serves a client connection until it ends. The headers of a request may take up to `max_header_bytes`.
pub(crate) async fn serve<N: Node>(
    shared: Rc<Shared<N>>,
    client: Rc<ClientConnection>,
    max_header_bytes: usize,
) {
    let max_head_bytes = max_header_bytes + REQUEST_LINE_BYTES;
    let mut builder = http1::Builder::new();
    builder
        .auto_date_header(false)
        // The server expires slow heads itself: with one timer for all clients, and with a 408 instead of a reset.
        .header_read_timeout(None)
        .max_headers(MAX_HEADERS)
        .max_header_size(max_head_bytes)
        .max_buf_size(max_head_bytes.max(BUFFER_BYTES));
    let io = ClientIo {
        client: client.clone(),
        clock: shared.clock.clone(),
    };
    let service = service_fn(|request| {
        let (shared, client) = (shared.clone(), client.clone());
        // Boxed, so that an idle connection holds no memory for a request.
        Box::pin(async move { Ok::<_, Infallible>(handler::handle(shared, client, request).await) })
    });
    let end = {
        let mut connection = pin!(builder.serve_connection(io, service));
        loop {
            tokio::select! {
                biased;
                result = &mut connection => break ConnectionEnd::from_result(result),
                () = client.command_received() => match client.last_command() {
                    Command::Continue => {}
                    // A request that has arrived is handled first; its response closes the connection.
                    Command::Close if client.has_unread_bytes() => {}
                    Command::Close => connection.as_mut().graceful_shutdown(),
                    Command::RejectSlowHead => break ConnectionEnd::SlowHead,
                    Command::Abort => break ConnectionEnd::Aborted,
                },
            }
        }
        // Dropping hyper's connection here ends an active request before the code below runs.
    };
    match end {
        ConnectionEnd::Aborted => return,
        ConnectionEnd::SlowHead => Box::pin(client.respond_slow_head()).await,
        ConnectionEnd::Malformed => client.record_unread_rejection(),
        ConnectionEnd::InOrder => {}
    }
    // Boxed, so that an open connection holds no memory for closing.
    Box::pin(client.close()).await;
}
