//! Calls that a signal interrupts (EINTR): they have done nothing, and say nothing of the connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Does a call again for as long as it is interrupted.
///
/// # Errors
/// Any other than [`io::ErrorKind::Interrupted`].
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// A stream whose reads and writes are done again for as long as they are interrupted.
#[derive(Debug)]
pub struct Uninterrupted<S>(pub S);

/// The same as [`uninterrupted`], for a call that is polled.
fn poll_uninterrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Uninterrupted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_uninterrupted(|| Pin::new(&mut self.0).poll_read(cx, into))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_uninterrupted(|| Pin::new(&mut self.0).poll_write(cx, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_uninterrupted(|| Pin::new(&mut self.0).poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_uninterrupted(|| Pin::new(&mut self.0).poll_shutdown(cx))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interrupted_call_is_done_again_and_another_error_is_told() {
        let mut ends = vec![
            Ok(7),
            Err(io::ErrorKind::Interrupted),
            Err(io::ErrorKind::Interrupted),
        ];
        assert!(
            uninterrupted(|| ends.pop().expect("a call").map_err(io::Error::from))
                .is_ok_and(|n| n == 7)
        );
        let mut ends = vec![
            Ok(7),
            Err(io::ErrorKind::WouldBlock),
            Err(io::ErrorKind::Interrupted),
        ];
        let ended = uninterrupted(|| ends.pop().expect("a call").map_err(io::Error::from));
        assert!(ended.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock));
    }
}
