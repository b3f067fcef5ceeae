//! A blocking client of the admin API that makes one call per connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum length of a response including its head; a longer response is truncated.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// A response of the admin API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminResponse {
    /// HTTP status.
    pub status: u16,
    /// The response body.
    pub body: String,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum AdminClientError {
    /// Connecting, writing or reading failed, connecting or reading timed out, or the response is not UTF-8.
    #[error("console {address}: the call failed: {source}")]
    Connection {
        /// The address of the admin API.
        address: SocketAddr,
        /// The error of the socket operation.
        source: io::Error,
    },
    /// The received text is not an HTTP response.
    #[error("console {address}: the received text is not an HTTP response")]
    InvalidResponse {
        /// The address of the admin API.
        address: SocketAddr,
    },
}

/// Calls the admin API at `address`. Connecting and each read may take up to `step_timeout`; writing has no
/// timeout.
///
/// # Errors
/// Returns an error if the connection fails or times out, or if the response is not HTTP.
pub fn call(
    address: SocketAddr,
    step_timeout: Duration,
    method: &str,
    path: &str,
    body: &str,
) -> Result<AdminResponse, AdminClientError> {
    let text = exchange(address, step_timeout, method, path, body)
        .map_err(|source| AdminClientError::Connection { address, source })?;
    parse_response(&text).ok_or(AdminClientError::InvalidResponse { address })
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
