//! The connection to the change log as hyper reads it. Its owner can ask at any time whether data has arrived that
//! has not been read, also before the runtime has noticed it: after a stall of the process, for example.

use std::cell::RefCell;
use std::io::{self, ErrorKind, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes read ahead at a time.
const READ_AHEAD_BYTES: usize = 4 * 1024;

/// A connection that is shared by its reader and by [`ChangelogStream::has_unread`].
#[derive(Clone)]
pub struct ChangelogStream(Rc<Inner>);

struct Inner {
    stream: TcpStream,
    /// Bytes that were received, and not read yet.
    read_ahead: RefCell<BytesMut>,
}

impl ChangelogStream {
    /// Wraps an established connection.
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(Inner { stream, read_ahead: RefCell::new(BytesMut::new()) }))
    }

    /// Whether data has arrived that has not been read. The end of the connection does not count as data; a failure
    /// shows to the reader as the end.
    pub fn has_unread(&self) -> bool {
        let mut read_ahead = self.0.read_ahead.borrow_mut();
        if read_ahead.is_empty() {
            let mut buffer = [0; READ_AHEAD_BYTES];
            if let Ok(length) = self.receive(&mut buffer) {
                read_ahead.extend_from_slice(&buffer[..length]);
            }
        }
        !read_ahead.is_empty()
    }

    /// Reads straight from the socket, whose data the runtime may not have noticed yet.
    fn receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*SockRef::from(&self.0.stream)).read(buffer)
    }

    /// Takes bytes that were read ahead; false if there are none.
    fn take_read_ahead(&self, buffer: &mut ReadBuf) -> bool {
        let mut read_ahead = self.0.read_ahead.borrow_mut();
        let length = read_ahead.len().min(buffer.remaining());
        buffer.put_slice(&read_ahead[..length]);
        read_ahead.advance(length);
        length > 0
    }
}

fn is_would_block(result: &io::Result<usize>) -> bool {
    result.as_ref().is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

impl AsyncRead for ChangelogStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.take_read_ahead(buffer) {
            return Poll::Ready(Ok(()));
        }
        loop {
            let mut received = self.receive(buffer.initialize_unfilled());
            if is_would_block(&received) {
                ready!(self.0.stream.poll_read_ready(cx))?;
                // The runtime may still take the socket for readable; trying to read corrects that.
                received = self.0.stream.try_read(buffer.initialize_unfilled());
            }
            match received {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if [ErrorKind::WouldBlock, ErrorKind::Interrupted].contains(&error.kind()) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ChangelogStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.stream.try_write(bytes) {
                written if is_would_block(&written) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
