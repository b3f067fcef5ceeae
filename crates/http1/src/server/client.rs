//! One client's connection: what has arrived on it, whether the client is still there, and its end.

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
use tokio::time::{sleep, timeout, Instant};
use tracing::debug;

/// A client has this long to read a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// At the end of a connection up to so many bytes are still read, for so long, that the client can read its last response:
/// closing with unread bytes would reset the connection.
const MAX_LINGER_BYTES: usize = 256 << 10;
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// A client that sends on while it waits for its response is still read, as only this shows its end; beyond a head the
/// bytes are discarded, at this interval and so many at a time.
const FLOOD_READ_INTERVAL: Duration = Duration::from_millis(5);
const MAX_FLOOD_READ_BYTES: usize = 64 << 10;

/// What a client is expected to send next, which decides how much is read at a time.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadSize {
    /// A head, or nothing: small reads.
    Small,
    /// A body: reads as large as what has arrived.
    Bulk,
}

/// One client's connection.
pub(super) struct ClientConnection {
    pub(super) stream: TcpStream,
    pub(super) number: u64,
    /// What has been read and not yet used.
    pub(super) buffer: Vec<u8>,
    /// It has carried a request before.
    pub(super) has_served: bool,
    /// The client has sent more than is buffered: no further request can be read.
    pub(super) is_flooded: bool,
    /// When the last of the buffered bytes arrived, at the earliest.
    pub(super) received_at: Instant,
    /// When the connection was last read: what is there at the next read without a wait may have arrived since.
    polled_at: Instant,
    /// Why the connection ends, as the log shows it.
    pub(super) close_reason: &'static str,
}

impl ClientConnection {
    /// A connection whose first bytes may have arrived since `arrived_since`.
    pub(super) fn new(stream: TcpStream, number: u64, arrived_since: Instant) -> Self {
        ClientConnection {
            stream,
            number,
            buffer: Vec::new(),
            has_served: false,
            is_flooded: false,
            received_at: arrived_since,
            polled_at: arrived_since,
            close_reason: "idle",
        }
    }

    /// The output of `awaited`; none if the client goes first. A client that ends its side of the connection counts as
    /// gone: this cannot be told from a full close.
    pub(super) async fn while_connected<T>(
        &mut self,
        mut awaited: impl Future<Output = T> + Unpin,
    ) -> Option<T> {
        loop {
            tokio::select! {
                biased;
                output = &mut awaited => return Some(output),
                is_gone = self.wait_for_bytes() => if is_gone {
                    return None;
                },
            }
        }
    }

    /// Whether something can be read at once.
    pub(super) fn has_unread_bytes(&self) -> bool {
        peek(&self.stream).is_ok_and(|bytes| bytes > 0)
    }

    /// Reads into the buffer once something is there, and notes when it arrived. Returns the number of bytes, 0 at the end
    /// of the connection. Nothing is lost if this is dropped while it waits.
    pub(super) async fn read(&mut self, size: ReadSize) -> io::Result<usize> {
        let mut arrived_since = self.polled_at;
        loop {
            if let Some(readiness) = poll_once(pin!(self.stream.readable())).await {
                readiness?;
            } else {
                self.polled_at = Instant::now();
                self.stream.readable().await?;
                arrived_since = Instant::now();
            }
            let result = match size {
                ReadSize::Small => try_read_some(&self.stream, &mut self.buffer),
                ReadSize::Bulk => {
                    uninterrupted(|| self.stream.try_read_buf(reserve_for_bulk(&mut self.buffer)))
                }
            };
            match result {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    self.polled_at = Instant::now();
                    self.received_at = arrived_since;
                    return done;
                }
            }
        }
    }

    /// Waits for more from the client. Returns whether it has gone.
    async fn wait_for_bytes(&mut self) -> bool {
        if self.is_flooded {
            sleep(FLOOD_READ_INTERVAL).await;
            return self.has_gone();
        }
        let result = self.read(ReadSize::Small).await;
        self.is_flooded |= self.buffer.len() > MAX_HEAD_BYTES;
        matches!(result, Ok(0) | Err(_))
    }

    /// Whether the client has gone by now: asks the socket itself, and buffers what has arrived.
    pub(super) fn has_gone(&mut self) -> bool {
        let socket = SockRef::from(&self.stream);
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut total_bytes = 0;
        while total_bytes < MAX_FLOOD_READ_BYTES {
            match uninterrupted(|| (&*socket).read(&mut chunk)) {
                Ok(0) => return true,
                Ok(read_bytes) => {
                    total_bytes += read_bytes;
                    if !self.is_flooded {
                        self.buffer.extend_from_slice(&chunk[..read_bytes]);
                    }
                    self.is_flooded |= self.buffer.len() > MAX_HEAD_BYTES;
                }
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Writes all of `bytes`; returns whether that succeeded in time.
    pub(super) async fn write(&self, bytes: &[u8]) -> bool {
        let written = Cell::new(0);
        let writing = write_all(&self.stream, bytes, &written);
        matches!(timeout(WRITE_TIMEOUT, writing).await, Ok(Ok(())))
    }

    /// Writes an error response; the connection ends with it. Returns whether it was written completely.
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

    /// Ends the connection in good order: ends its own side, then discards what the client still sends until the client has
    /// read the last response. A request among that is not taken, as its client sees.
    pub(super) async fn linger_and_close(mut self) {
        self.shut_down_writes();
        let _ = timeout(LINGER_TIMEOUT, self.discard_input()).await;
    }

    /// Like [`ClientConnection::linger_and_close`], but discards only what is there already.
    pub(super) fn close_at_once(mut self) {
        self.shut_down_writes();
        self.is_flooded = true;
        self.has_gone();
    }

    fn shut_down_writes(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }

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
