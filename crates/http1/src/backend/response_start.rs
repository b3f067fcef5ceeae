//! Decides from when on a response is passed to the client.
//!
//! | response | passed on |
//! | --- | --- |
//! | an error, or a declared length of at most [`MAX_BODY_BYTES`] | when it is complete |
//! | a longer declared length | with its head |
//! | an unknown length | when it is complete, when it is longer than [`MAX_BODY_BYTES`], or when the answer would lose its value |
//!
//! Until a response is passed on, it may still be replaced by that of another attempt. Of an unknown length only the end
//! shows whether the response is short; a server that still sends it is not cut off.

use crate::conn::{BegunResponse, ServerConnection, ServerResponse};
use crate::limits::MAX_BODY_BYTES;
use frosthatch_engine::AttemptDeadlines;
use std::io;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Maximum pause of a server within a response that is not passed on yet.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Reason why a response is not passed on.
pub(super) enum ResponseFailure {
    /// The connection failed, or the response is malformed.
    ConnectionFailed,
    /// The response was not complete in time.
    TimedOut,
    /// The server fell silent within a response of unknown length.
    FellSilent,
}

impl From<io::Error> for ResponseFailure {
    fn from(_: io::Error) -> Self {
        ResponseFailure::ConnectionFailed
    }
}

/// Reads a response until it may be passed on.
pub(super) async fn read_response_start(
    conn: &ServerConnection,
    begun: BegunResponse,
    deadlines: &AttemptDeadlines,
) -> Result<ServerResponse, ResponseFailure> {
    let is_served = begun.status() == 200;
    match (begun.declared_length(), deadlines.pass_on_at) {
        (Some(length), _) if is_served && length > MAX_BODY_BYTES => Ok(begun.into_response()),
        (None, Some(pass_on_at)) if is_served => read_until(pass_on_at, conn, begun).await,
        _ => {
            let reading = conn.read_body(begun, MAX_BODY_BYTES);
            let response = timeout_at(deadlines.answer_by, reading).await;
            Ok(response.map_err(|_| ResponseFailure::TimedOut)??)
        }
    }
}

/// Reads a response of unknown length until it is complete or long, at most until `pass_on_at`.
async fn read_until(
    pass_on_at: Instant,
    conn: &ServerConnection,
    mut begun: BegunResponse,
) -> Result<ServerResponse, ResponseFailure> {
    while !begun.is_complete() && begun.received_bytes() <= MAX_BODY_BYTES {
        let silent_at = Instant::now() + MAX_PAUSE;
        let wait_until = silent_at.min(pass_on_at);
        match timeout_at(wait_until, conn.read_more_body(&mut begun)).await {
            Ok(result) => result?,
            Err(_) if wait_until == silent_at => return Err(ResponseFailure::FellSilent),
            Err(_) => break,
        }
    }
    Ok(begun.into_response())
}
