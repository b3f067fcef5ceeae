//! A blocking client for single calls.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest response that is read.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// A response of the admin API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminResponse {
    /// HTTP status.
    pub status: u16,
    /// The body as text.
    pub body: String,
}

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum AdminClientError {
    /// The connection failed or was not served in time.
    #[error("console {address}: {source}")]
    Connection {
        /// The API's address.
        address: SocketAddr,
        /// The failure.
        source: io::Error,
    },
    /// What came is no HTTP response.
    #[error("console {address}: no answer")]
    NoResponse {
        /// The API's address.
        address: SocketAddr,
    },
}

/// Calls the API at `address`. Connecting and each read may take `step_timeout`.
///
/// # Errors
/// There was no response in time.
pub fn call(
    address: SocketAddr,
    step_timeout: Duration,
    method: &str,
    path: &str,
    body: &str,
) -> Result<AdminResponse, AdminClientError> {
    let text = exchange(address, step_timeout, method, path, body)
        .map_err(|source| AdminClientError::Connection { address, source })?;
    parse_response(&text).ok_or(AdminClientError::NoResponse { address })
}

fn exchange(
    address: SocketAddr,
    step_timeout: Duration,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, step_timeout)?;
    stream.set_read_timeout(Some(step_timeout))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: console\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut text = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut text)?;
    Ok(text)
}

fn parse_response(text: &str) -> Option<AdminResponse> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(AdminResponse {
        status,
        body: body.to_string(),
    })
}
