//! Connection of a client: buffers received bytes, detects that the client has disconnected, and closes the connection.

use super::bad_request::BadRequest;
use super::poll_once::poll_once;
use super::response::encode_response;
use crate::limits::MAX_HEAD_BYTES;
use crate::socket_io::{
    peek, read_some, reserve_for_bulk, try_read_some, write_all, READ_CHUNK_BYTES,
};
use frosthatch_sockets::uninterrupted;
use socket2::SockRef;
use std::cell::Cell;
use std::future::Future;
use std::io::{self, Read};
use std::net::Shutdown;
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Instant};
use tracing::debug;

/// Time within which a response must be written, which requires the client to read it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes that are discarded before a connection is closed: closing a connection with unread bytes
/// resets it, and the client may then not be able to read its last response.
const MAX_LINGER_BYTES: usize = 256 << 10;
/// Maximum time for which bytes are discarded before a connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a client's input is read and discarded while the client waits for a response and more than
/// [`MAX_HEAD_BYTES`] are buffered: only reading shows that the client has disconnected.
const OVERFLOW_READ_INTERVAL: Duration = Duration::from_millis(5);
/// Number of bytes after which one check for a disconnection stops reading.
const MAX_DISCONNECT_CHECK_BYTES: usize = 64 << 10;

/// Size of the reads from a client, by what the client is expected to send next.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadSize {
    /// Small reads, while a head or nothing is expected.
    Small,
    /// Large reads, while a body is expected.
    Bulk,
}

/// Connection of a client.
pub(super) struct ClientConnection {
    pub(super) stream: TcpStream,
    /// Number of the connection, unique in the process.
    pub(super) number: u64,
    /// Bytes that have been read and not yet parsed.
    pub(super) buffer: Vec<u8>,
    /// Whether the connection has carried a request.
    pub(super) has_served: bool,
    /// Whether more than [`MAX_HEAD_BYTES`] arrived while the client waited for a response. Further bytes are
    /// discarded, so no further request can be read.
    pub(super) has_input_overflowed: bool,
    /// Earliest time at which the last of the buffered bytes may have arrived.
    pub(super) received_at: Instant,
    /// Time of the last read or poll. Bytes that the next read finds without waiting have arrived since then.
    last_polled_at: Instant,
    /// Reason why the connection is closed, as logged.
    pub(super) close_reason: &'static str,
}

impl ClientConnection {
    /// Creates a connection on which bytes may have arrived since `earliest_arrival`.
    pub(super) fn new(stream: TcpStream, number: u64, earliest_arrival: Instant) -> Self {
        ClientConnection {
            stream,
            number,
            buffer: Vec::new(),
            has_served: false,
            has_input_overflowed: false,
            received_at: earliest_arrival,
            last_polled_at: earliest_arrival,
            close_reason: "idle",
        }
    }

    /// Awaits `awaited` and returns its output; `None` if the client disconnects first. A client that closes only its
    /// sending side counts as disconnected, as this cannot be distinguished from a full close.
    pub(super) async fn while_connected<T>(
        &mut self,
        mut awaited: impl Future<Output = T> + Unpin,
    ) -> Option<T> {
        loop {
            tokio::select! {
                biased;
                output = &mut awaited => return Some(output),
                is_disconnected = self.wait_for_bytes() => if is_disconnected {
                    return None;
                },
            }
        }
    }

    /// Returns whether bytes can be read without waiting.
    pub(super) fn has_unread_bytes(&self) -> bool {
        peek(&self.stream).is_ok_and(|bytes| bytes > 0)
    }

    /// Waits until bytes have arrived, reads them into the buffer and updates `received_at`. Returns the number of
    /// bytes read, 0 at the end of the connection. Cancel safe: no bytes are lost.
    pub(super) async fn read(&mut self, size: ReadSize) -> io::Result<usize> {
        let mut earliest_arrival = self.last_polled_at;
        loop {
            if let Some(readiness) = poll_once(pin!(self.stream.readable())).await {
                readiness?;
                // A client may send as fast as the gateway reads: the other connections have their turn first.
                yield_now().await;
            } else {
                self.last_polled_at = Instant::now();
                self.stream.readable().await?;
                earliest_arrival = Instant::now();
            }
            let result = match size {
                ReadSize::Small => try_read_some(&self.stream, &mut self.buffer),
                ReadSize::Bulk => {
                    uninterrupted(|| self.stream.try_read_buf(reserve_for_bulk(&mut self.buffer)))
                }
            };
            match result {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                outcome => {
                    self.last_polled_at = Instant::now();
                    self.received_at = earliest_arrival;
                    return outcome;
                }
            }
        }
    }

    /// Waits for more input. Returns whether the client has disconnected.
    async fn wait_for_bytes(&mut self) -> bool {
        if self.has_input_overflowed {
            sleep(OVERFLOW_READ_INTERVAL).await;
            return self.detect_disconnect();
        }
        let result = self.read(ReadSize::Small).await;
        self.has_input_overflowed |= self.buffer.len() > MAX_HEAD_BYTES;
        matches!(result, Ok(0) | Err(_))
    }

    /// Reads from the socket by system calls, without waiting for the runtime's readiness. Returns whether the client
    /// has disconnected. Buffers the received bytes unless the input has overflowed.
    pub(super) fn detect_disconnect(&mut self) -> bool {
        let socket = SockRef::from(&self.stream);
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut total_bytes = 0;
        while total_bytes < MAX_DISCONNECT_CHECK_BYTES {
            match uninterrupted(|| (&*socket).read(&mut chunk)) {
                Ok(0) => return true,
                Ok(read_bytes) => {
                    total_bytes += read_bytes;
                    if !self.has_input_overflowed {
                        self.buffer.extend_from_slice(&chunk[..read_bytes]);
                    }
                    self.has_input_overflowed |= self.buffer.len() > MAX_HEAD_BYTES;
                }
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Writes all of `bytes`. Returns whether this succeeded within [`WRITE_TIMEOUT`].
    pub(super) async fn write(&self, bytes: &[u8]) -> bool {
        let written = Cell::new(0);
        let writing = write_all(&self.stream, bytes, &written);
        matches!(timeout(WRITE_TIMEOUT, writing).await, Ok(Ok(())))
    }

    /// Writes an error response, after which the connection is closed. Returns whether it was written completely.
    pub(super) async fn reject(&mut self, error: &BadRequest) -> bool {
        self.close_reason = "request_invalid";
        let status = error.status();
        debug!(connection = self.number, status, reason = %error, "request.invalid");
        let body = error.to_string();
        self.write(&encode_response(
            status,
            &error.headers(),
            true,
            body.as_bytes(),
        ))
        .await
    }

    /// Closes the connection gracefully: shuts down its sending side, then discards the client's input until the client
    /// closes, for at most [`LINGER_TIMEOUT`]. As the connection closes without a response, the client
    /// knows that a request in the discarded input was not executed.
    pub(super) async fn linger_and_close(mut self) {
        self.shut_down_writes();
        let _ = timeout(LINGER_TIMEOUT, self.discard_input()).await;
    }

    /// Like [`ClientConnection::linger_and_close`], but discards only the input that has already arrived.
    pub(super) fn close_at_once(mut self) {
        self.shut_down_writes();
        self.has_input_overflowed = true;
        self.detect_disconnect();
    }

    fn shut_down_writes(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

    /// Discards input until the client closes or [`MAX_LINGER_BYTES`] have been read.
    async fn discard_input(&mut self) {
        let mut discarded_bytes = 0;
        while discarded_bytes < MAX_LINGER_BYTES {
            self.buffer.clear();
            match read_some(&self.stream, &mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(read_bytes) => discarded_bytes += read_bytes,
            }
        }
    }
}
