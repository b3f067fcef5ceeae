//! What both sides of HTTP/1.1 share: bounds, reading and writing, the headers that frame a message.

use frosthatch_sockets::uninterrupted;
use httparse::Header;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Bodies hold at most this, by what was agreed.
pub const BODY_BYTES: usize = 64 << 10;
/// Longer bodies come, up to this, in either direction.
pub const BULK_BYTES: usize = 32 << 20;
/// A head that is longer makes no sense, in either direction.
pub const HEAD_BYTES: usize = 16 << 10;
/// Nor does one with more headers.
pub const HEADERS: usize = 64;
/// Bytes that are read at once, where it is not known how many come.
pub const CHUNK: usize = 4 << 10;

/// Reads what is there, once something is; 0 at the end of the connection.
pub async fn read_more(stream: &TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match try_read_more(stream, into) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

/// Reads what is there by now; 0 at the end of the connection.
///
/// # Errors
/// [`io::ErrorKind::WouldBlock`] if nothing is there.
pub fn try_read_more(stream: &TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; CHUNK];
    let n = uninterrupted(|| stream.try_read(&mut chunk))?;
    into.extend_from_slice(&chunk[..n]);
    Ok(n)
}

/// The same with room for as much as comes at once where much does.
pub async fn fill(stream: &TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match uninterrupted(|| stream.try_read_buf(reserve(into))) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

/// Room for as much as comes at once where much does.
pub fn reserve(into: &mut Vec<u8>) -> &mut Vec<u8> {
    if into.capacity() - into.len() < CHUNK {
        into.reserve_exact(4 * CHUNK);
    }
    into
}

/// Whether something can be read at once, by the socket itself: what the runtime knows of it may be of some time ago.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    uninterrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]))
}

/// Writes all of it; `written` tells how far it came, whatever happens.
pub async fn write_all(stream: &TcpStream, bytes: &[u8], written: &Cell<usize>) -> io::Result<()> {
    write_while(stream, bytes, written, || Ok(())).await
}

/// The same as long as `check` is content: it is asked before each write, and nothing waits from then to the write.
pub async fn write_while(
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
            Ok(n) => written.set(written.get() + n),
        }
    }
    Ok(())
}

/// The length that a message's headers give its body; an error where they give none that can be believed.
pub fn content_length(headers: &[Header<'_>]) -> Result<Option<usize>, ()> {
    let mut all = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("content-length"));
    match (all.next(), all.next()) {
        (None, _) => Ok(None),
        (Some(h), None) if !h.value.is_empty() && h.value.iter().all(u8::is_ascii_digit) => {
            // More digits than fit are a length all the same, and too long for anything here.
            Ok(Some(
                std::str::from_utf8(h.value)
                    .map_err(drop)?
                    .parse()
                    .unwrap_or(usize::MAX),
            ))
        }
        _ => Err(()),
    }
}

pub fn header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let h = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(h.value).ok()
}

/// Whether a side says that it will close the connection.
pub fn says_close(headers: &[Header<'_>]) -> bool {
    let said = header(headers, "connection").unwrap_or("");
    said.split(',')
        .any(|s| s.trim().eq_ignore_ascii_case("close"))
}
