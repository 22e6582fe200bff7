//! The socket of an endpoint connection, with a record of how the connection ended.

use crate::classification::EndedBy;
use std::io::{IoSlice, Result as IoResult};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket that records the first end or error that a read or write reports.
pub(crate) struct MonitoredStream {
    stream: TcpStream,
    ended_by: EndedBy,
}

impl MonitoredStream {
    pub(crate) fn new(stream: TcpStream) -> MonitoredStream {
        MonitoredStream {
            stream,
            ended_by: EndedBy::Nobody,
        }
    }

    pub(crate) fn socket(&self) -> &TcpStream {
        &self.stream
    }

    pub(crate) fn ended_by(&self) -> EndedBy {
        self.ended_by
    }

    /// Records how the connection ended; only the first call counts. The operating system reports a socket error only
    /// once: after a write has failed, reads report the end of the stream, which must not count as an orderly end.
    fn record_end(&mut self, ended_by: EndedBy) {
        if self.ended_by == EndedBy::Nobody {
            self.ended_by = ended_by;
        }
    }

    fn record_error<T>(&mut self, result: Poll<IoResult<T>>) -> Poll<IoResult<T>> {
        if let Poll::Ready(Err(_)) = &result {
            self.record_end(EndedBy::Reset);
        }
        result
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<IoResult<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let is_end = buffer.filled().len() == filled_before && buffer.remaining() > 0;
        if matches!(result, Poll::Ready(Ok(()))) && is_end {
            self.record_end(EndedBy::Endpoint);
        }
        self.record_error(result)
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<IoResult<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_error(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<IoResult<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_error(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<IoResult<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.record_error(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
