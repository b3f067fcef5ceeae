//! Reading from and writing to a socket, with the buffers of the caller.

use frosthatch_sockets::uninterrupted;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Bytes that one read takes at most where it is not known how many arrive.
pub const READ_CHUNK_BYTES: usize = 4 << 10;

/// Waits until the socket is readable and appends what one read of at most [`READ_CHUNK_BYTES`] brings. Returns the
/// number of bytes, 0 at the end of the connection.
///
/// # Errors
/// Those of the socket.
pub async fn read_some(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match try_read_some(stream, buffer) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

/// Like [`read_some`], but does not wait.
///
/// # Errors
/// [`io::ErrorKind::WouldBlock`] if nothing is there; otherwise those of the socket.
pub fn try_read_some(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    let read_bytes = uninterrupted(|| stream.try_read(&mut chunk))?;
    buffer.extend_from_slice(&chunk[..read_bytes]);
    Ok(read_bytes)
}

/// Like [`read_some`], but reads as much as the buffer has capacity for, which is extended first if it is short.
///
/// # Errors
/// Those of the socket.
pub async fn read_bulk(stream: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match uninterrupted(|| stream.try_read_buf(reserve_for_bulk(buffer))) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

/// Extends the capacity of a buffer where less than [`READ_CHUNK_BYTES`] of it are free.
pub fn reserve_for_bulk(buffer: &mut Vec<u8>) -> &mut Vec<u8> {
    if buffer.capacity() - buffer.len() < READ_CHUNK_BYTES {
        buffer.reserve_exact(4 * READ_CHUNK_BYTES);
    }
    buffer
}

/// Asks the socket itself for a byte without taking it: the runtime's view of its readiness may be outdated. Returns 0
/// at the end of the connection.
///
/// # Errors
/// [`io::ErrorKind::WouldBlock`] if nothing is there; otherwise those of the socket.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    uninterrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]))
}

/// Writes all of `bytes`. `written` counts the bytes that have left, also where this fails or is dropped.
///
/// # Errors
/// Those of the socket.
pub async fn write_all(stream: &TcpStream, bytes: &[u8], written: &Cell<usize>) -> io::Result<()> {
    write_all_checked(stream, bytes, written, || Ok(())).await
}

/// Like [`write_all`], but calls `check` immediately before each write, without a wait in between.
///
/// # Errors
/// The first one of `check`, or that of the socket.
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
    }
    Ok(())
}
