//! The socket of an endpoint connection, which remembers how it ended.

use crate::classification::EndedBy;
use std::io::{IoSlice, Result as IoResult};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket with its end, as far as a read or a write has met it.
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

    /// The first end that is met counts. Protects against an orderly end that is none: the operating system reports
    /// an error of a socket once, to the call that meets it first. Behind one that a write has met, reads report the
    /// end of the stream.
    fn record_end(&mut self, ended_by: EndedBy) {
        if self.ended_by == EndedBy::Nobody {
            self.ended_by = ended_by;
        }
    }

    fn record_error<T>(&mut self, polled: Poll<IoResult<T>>) -> Poll<IoResult<T>> {
        if let Poll::Ready(Err(_)) = &polled {
            self.record_end(EndedBy::Reset);
        }
        polled
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<IoResult<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let is_end = buffer.filled().len() == filled_before && buffer.remaining() > 0;
        if matches!(polled, Poll::Ready(Ok(()))) && is_end {
            self.record_end(EndedBy::Endpoint);
        }
        self.record_error(polled)
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<IoResult<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_error(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<IoResult<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_error(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<IoResult<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.record_error(polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
