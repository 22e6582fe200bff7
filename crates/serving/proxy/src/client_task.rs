//! The task of one client's connection: its requests are handled one after another until it closes.
//!
//! The task owns everything of a request under way. It ends with the connection, and drops the request with it: the
//! endpoint's connection closes, and whatever was reserved is released.

use crate::client_connection::{ClientConnection, ClientIo, Command};
use crate::handler;
use crate::node::Node;
use crate::shared::Shared;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

/// The line before a head comes on top of the bytes that its headers may have.
const REQUEST_LINE_BYTES: usize = 4 * 1024;
/// What is read ahead of a client's message, and written ahead of what the client reads.
const BUFFER_BYTES: usize = 64 * 1024;
/// Headers of a request.
const MAX_HEADERS: usize = 160;

/// Why a client's connection ends.
enum End {
    /// Either side wanted it.
    InOrder,
    /// What came is no request, and was rejected as such.
    Malformed,
    /// A head did not arrive in time.
    SlowHead,
    /// Its client does not read its response.
    Aborted,
}

impl End {
    fn of(result: Result<(), hyper::Error>) -> End {
        match result {
            Err(error) if error.is_parse() => End::Malformed,
            Ok(()) | Err(_) => End::InOrder,
        }
    }
}

/// Serves a client's connection until its end; heads may have so many bytes of headers.
pub(crate) async fn serve<N: Node>(
    shared: Rc<Shared<N>>,
    client: Rc<ClientConnection>,
    max_header_bytes: usize,
) {
    let max_head_bytes = max_header_bytes + REQUEST_LINE_BYTES;
    let mut builder = http1::Builder::new();
    builder
        .auto_date_header(false)
        // Slow heads are the server's to expire: one timer for all clients, and a 408 in place of a reset.
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
        // Boxed, so that an idle connection takes no memory for a request.
        Box::pin(async move { Ok::<_, Infallible>(handler::handle(shared, client, request).await) })
    });
    let end = {
        let mut connection = pin!(builder.serve_connection(io, service));
        loop {
            tokio::select! {
                biased;
                result = &mut connection => break End::of(result),
                () = client.commanded() => match client.last_command() {
                    Command::Continue => {}
                    // A message that has arrived is answered first; its response closes the connection.
                    Command::Close if client.has_unread() => {}
                    Command::Close => connection.as_mut().graceful_shutdown(),
                    Command::RejectSlowHead => break End::SlowHead,
                    Command::Abort => break End::Aborted,
                },
            }
        }
        // A request being handled ends with hyper's side of the connection, before anything else happens here.
    };
    match end {
        End::Aborted => return,
        End::SlowHead => Box::pin(client.respond_slow_head()).await,
        End::Malformed => client.reject_unread(),
        End::InOrder => {}
    }
    // Boxed, so that a connection takes no memory for its close before that.
    Box::pin(client.close()).await;
}
