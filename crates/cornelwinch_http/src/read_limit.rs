use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read at once. The HTTP library starts with buffers of 8 KiB and doubles them when a
/// read fills them.
const READ_BYTES: usize = 8 * 1024 - 1;

/// Bound on the bytes that are read from a connection, whatever part of an answer they belong to.
///
/// A decoder bounds the parts of an answer that it keeps. Parts that it drops, such as interim
/// answers and chunk extensions, may repeat without end; this bound ends them.
#[derive(Debug, Clone)]
pub struct ReadLimit {
    left: Rc<Cell<usize>>,
    is_exceeded: Rc<Cell<bool>>,
}

impl ReadLimit {
    pub(crate) fn new() -> Self {
        Self {
            left: Rc::new(Cell::new(usize::MAX)),
            is_exceeded: Rc::default(),
        }
    }

    /// Allows this many further bytes, instead of those that are left. Reading more fails, and the connection closes.
    pub fn allow(&self, bytes: usize) {
        self.left.set(bytes);
    }

    /// Allows more bytes in addition to those that are left.
    pub fn extend(&self, bytes: usize) {
        self.left.set(self.left.get().saturating_add(bytes));
    }

    /// Reports whether the server sent more than was allowed.
    pub fn is_exceeded(&self) -> bool {
        self.is_exceeded.get()
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        match self.left.get().checked_sub(bytes) {
            Some(left) => {
                self.left.set(left);
                Ok(())
            }
            None => {
                self.is_exceeded.set(true);
                Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "more bytes than an answer may have",
                ))
            }
        }
    }
}

/// A connection of which a limited number of bytes is read.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    pub(crate) stream: TcpStream,
    pub(crate) limit: ReadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let len = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(len));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        Poll::Ready(self.limit.take(read))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
