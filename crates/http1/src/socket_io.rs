//! Functions that read from and write to a socket with the caller's buffers.

use frosthatch_sockets::uninterrupted;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Maximum size of a read where the number of bytes to expect is unknown.
pub const READ_CHUNK_BYTES: usize = 4 << 10;

/// Waits until the socket is readable, reads up to [`READ_CHUNK_BYTES`] once and appends them to `buffer`. Returns the
/// number of bytes read, 0 at the end of the connection.
///
/// # Errors
/// Returns the socket's error.
pub async fn read_some(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match try_read_some(stream, buffer) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            outcome => return outcome,
        }
    }
}

/// Like [`read_some`], but does not wait.
///
/// # Errors
/// Returns [`io::ErrorKind::WouldBlock`] if no bytes have arrived, or the socket's error.
pub fn try_read_some(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    let read_bytes = uninterrupted(|| stream.try_read(&mut chunk))?;
    buffer.extend_from_slice(&chunk[..read_bytes]);
    Ok(read_bytes)
}

/// Like [`read_some`], but reads up to the free capacity of `buffer`, which [`reserve_for_bulk`] extends if it is
/// small.
///
/// # Errors
/// Returns the socket's error.
pub async fn read_bulk(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match uninterrupted(|| stream.try_read_buf(reserve_for_bulk(buffer))) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            outcome => return outcome,
        }
    }
}

/// Extends the capacity of a buffer if less than [`READ_CHUNK_BYTES`] of it are free.
pub fn reserve_for_bulk(buffer: &mut Vec<u8>) -> &mut Vec<u8> {
    if buffer.capacity() - buffer.len() < READ_CHUNK_BYTES {
        buffer.reserve_exact(4 * READ_CHUNK_BYTES);
    }
    buffer
}

/// Peeks at the next byte by a system call, as the runtime's record of the socket's readiness may be outdated. Returns
/// the number of bytes, 0 at the end of the connection.
///
/// # Errors
/// Returns [`io::ErrorKind::WouldBlock`] if no bytes have arrived, or the socket's error.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    uninterrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]))
}

/// Writes all of `bytes`. `written` counts the bytes written so far, and is correct if the function fails or is
/// cancelled.
///
/// # Errors
/// Returns the socket's error.
pub async fn write_all(stream: &TcpStream, bytes: &[u8], written: &Cell<usize>) -> io::Result<()> {
    write_all_checked(stream, bytes, written, || Ok(())).await
}

/// Like [`write_all`], but calls `check` immediately before each write; nothing is awaited in between. Other tasks run
/// between two writes.
///
/// # Errors
/// Returns the first error of `check` or of the socket.
pub async fn write_all_checked(
    stream: &TcpStream,
    bytes: &[u8],
    written: &Cell<usize>,
    check: impl Fn() -> io::Result<()>,
) -> io::Result<()> {
    while written.get() < bytes.len() {
        stream.writable().await?;
        check()?;
        match uninterrupted(|| stream.try_write(&bytes[written.get()..])) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
            Ok(written_now) => written.set(written.get() + written_now),
        }
        if written.get() < bytes.len() {
            yield_now().await;
        }
    }
    Ok(())
}
