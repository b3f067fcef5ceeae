//! One call at a console, for whoever may wait for it.

use std::io::{Error, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An answer is no longer than this.
const MOST_BYTES: u64 = 16 << 20;

/// Status and body of the answer.
///
/// # Errors
/// There was none within the patience for each step.
pub fn ask(
    console: SocketAddr,
    patience: Duration,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(u16, String), String> {
    let wrong = |e: Error| format!("console {console}: {e}");
    let mut stream = TcpStream::connect_timeout(&console, patience).map_err(wrong)?;
    stream.set_read_timeout(Some(patience)).map_err(wrong)?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: console\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).map_err(wrong)?;
    let mut text = String::new();
    stream
        .take(MOST_BYTES)
        .read_to_string(&mut text)
        .map_err(wrong)?;
    let none = || format!("console {console}: no answer");
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(none)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok((status.ok_or_else(none)?, body.to_string()))
}
