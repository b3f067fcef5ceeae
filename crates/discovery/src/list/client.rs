//! HTTP/1.1 calls to the list agent; each requests an endpoint list.

use super::server_list::ServerList;
use frosthatch_http1::conn::{Sending, ServerConnection};
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;

/// Maximum size of a list in a response.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Restricts a request to changes newer than a version of the list.
#[derive(Clone, Copy)]
pub(super) struct NewerThan {
    pub(super) version: u64,
    /// How long the agent may delay the response until a newer version exists, in milliseconds; 0: not at all.
    pub(super) hold_ms: u64,
}

/// A received list, and the call's connection if it can be reused.
pub(super) struct ListResponse {
    pub(super) list: ServerList,
    pub(super) connection: Option<ServerConnection>,
}

/// Error of a call that yielded no list.
pub(super) enum CallError {
    /// No response arrived in time.
    Timeout,
    /// The connection failed.
    Io(std::io::Error),
    /// The response has a status other than 200.
    Status(u16),
    /// The response body is not a valid list.
    Malformed(serde_json::Error),
    /// The response body is longer than [`MAX_LIST_BYTES`].
    TooLong,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Timeout => write!(f, "no response in time"),
            CallError::Io(error) => write!(f, "{error}"),
            CallError::Status(status) => write!(f, "response status is {status}, not 200"),
            CallError::TooLong => write!(f, "response exceeds {MAX_LIST_BYTES} bytes"),
            CallError::Malformed(error) => write!(f, "malformed list: {error}"),
        }
    }
}

/// Requests the complete list, or the changes newer than a version. Uses `connection` if it is still usable, otherwise
/// a new one.
pub(super) async fn request_list(
    address: SocketAddr,
    connection: Option<ServerConnection>,
    newer_than: Option<NewerThan>,
) -> Result<ListResponse, CallError> {
    let path = match newer_than {
        None => "/v1/endpoints".to_string(),
        Some(NewerThan { version, hold_ms }) => {
            format!("/v1/endpoints?from={version}&hold_ms={hold_ms}")
        }
    };
    let connection = match connection.filter(ServerConnection::is_reusable) {
        Some(connection) => connection,
        None => open_connection(address).await?,
    };
    let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let written = Cell::new(0);
    let sending = Sending {
        request: [head.as_bytes(), b""],
        written_bytes: &written,
        check_write: &|_| Ok(()),
        on_written: &|| (),
    };
    let begun = connection.request(sending).await.map_err(CallError::Io)?;
    let response = connection.read_body(begun, MAX_LIST_BYTES).await;
    let response = response.map_err(CallError::Io)?;
    if response.rest.is_some() {
        return Err(CallError::TooLong);
    }
    if response.status != 200 {
        return Err(CallError::Status(response.status));
    }
    let list = serde_json::from_slice(&response.body).map_err(CallError::Malformed)?;
    Ok(ListResponse {
        list,
        connection: response.is_connection_reusable.then_some(connection),
    })
}

async fn open_connection(address: SocketAddr) -> Result<ServerConnection, CallError> {
    let opened = ServerConnection::open(address).await;
    opened.map_err(|error| CallError::Io(error.into()))
}
