//! The socket of a server's connection, which remembers how it ended.

use crate::disposition::EndedBy;
use std::io::{IoSlice, Result as Io};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket with its end, as far as a read or a write has met it.
pub(crate) struct WatchedStream {
    stream: TcpStream,
    ended_by: EndedBy,
}

impl WatchedStream {
    pub(crate) fn new(stream: TcpStream) -> WatchedStream {
        WatchedStream {
            stream,
            ended_by: EndedBy::Nobody,
        }
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub(crate) fn ended_by(&self) -> EndedBy {
        self.ended_by
    }

    /// The first end that is met counts. Guards against an end in order that is none: the system tells an error of a
    /// socket once, to the call that meets it first. Behind one that a write has met, reads tell the end of the stream.
    fn note_end(&mut self, ended_by: EndedBy) {
        if self.ended_by == EndedBy::Nobody {
            self.ended_by = ended_by;
        }
    }

    fn note<T>(&mut self, polled: Poll<Io<T>>) -> Poll<Io<T>> {
        if let Poll::Ready(Err(_)) = &polled {
            self.note_end(EndedBy::Reset);
        }
        polled
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<Io<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let is_end = buffer.filled().len() == before && buffer.remaining() > 0;
        if matches!(polled, Poll::Ready(Ok(()))) && is_end {
            self.note_end(EndedBy::Server);
        }
        self.note(polled)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<Io<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<Io<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.note(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.note(polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
