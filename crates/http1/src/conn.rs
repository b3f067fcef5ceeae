//! Connection to a server, which carries one request at a time. A response that contradicts its own framing is an
//! error; its request may have been executed nevertheless.

mod begun_response;
mod body;
mod response;

pub use begun_response::BegunResponse;
pub use body::RemainingBody;
pub use response::ServerResponse;

use crate::error::MessageError;
use crate::limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_LONG_BODY_BYTES};
use crate::socket_io::{peek, read_bulk, read_some, write_all_checked};
use body::ResponseFraming;
use frosthatch_engine::WriteDenied;
use frosthatch_sockets::{connect, ConnectError};
use response::{parse_response_head, ResponseHead};
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Progress of writing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// No byte of the request has been written.
    NotBegun,
    /// Some bytes of the request have been written.
    Begun,
}

/// State of a connection between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Another request may be sent.
    Reusable,
    /// The server has sent bytes that answer no request.
    HasUnsolicitedBytes,
    /// The connection has ended.
    Ended,
}

/// Request to write to a server, with the callback that permits each write and the callback for the end of the writing.
pub struct Sending<'a> {
    /// Head and body.
    pub request: [&'a [u8]; 2],
    /// Number of bytes written so far. While a long body is being written, it counts only the bytes of the head.
    pub written_bytes: &'a Cell<usize>,
    /// Checks that the next bytes may be written. Called immediately before each write; an error ends the exchange.
    pub check_write: &'a dyn Fn(WriteProgress) -> Result<(), WriteDenied>,
    /// Called when all bytes have been written.
    pub on_written: &'a dyn Fn(),
}

/// Connection to a server, which closes when it is dropped. While a long request has no response yet, it is reset: the
/// system would go on sending what it has buffered, and the server would begin the request after it was given up.
pub struct ServerConnection {
    stream: TcpStream,
    /// Whether a long request was sent, in whole or in part, to which no response has begun.
    is_long_request_pending: Cell<bool>,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        if self.is_long_request_pending.get() {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl ServerConnection {
    /// Connects to `address`, without a timeout.
    ///
    /// # Errors
    /// Fails if the server cannot be reached or this machine lacks the resources to connect.
    pub async fn open(address: SocketAddr) -> Result<ServerConnection, ConnectError> {
        let stream = connect(address).await?;
        Ok(ServerConnection {
            stream,
            is_long_request_pending: Cell::new(false),
        })
    }

    /// Returns whether another request may be sent: the connection is open, and no unsolicited bytes have arrived.
    pub fn is_reusable(&self) -> bool {
        self.idle_state() == IdleState::Reusable
    }

    /// Returns the state of the connection between two requests.
    pub fn idle_state(&self) -> IdleState {
        match peek(&self.stream) {
            Ok(1..) => IdleState::HasUnsolicitedBytes,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => IdleState::Reusable,
            Ok(_) | Err(_) => IdleState::Ended,
        }
    }

    /// Sends a request and reads its response, up to the end of its head and what arrived with that.
    ///
    /// # Errors
    /// Fails if `sending` denies a write, the connection fails, or the response is malformed.
    pub async fn request(&self, sending: Sending<'_>) -> io::Result<BegunResponse> {
        let [_, request_body] = sending.request;
        self.is_long_request_pending
            .set(request_body.len() > MAX_BODY_BYTES);
        self.send(&sending).await?;
        (sending.on_written)();
        let mut buffer = Vec::new();
        let (response, framing) = self.read_final_head(&mut buffer).await?;
        self.is_long_request_pending.set(false);
        if matches!(framing, ResponseFraming::Length(length) if length > MAX_LONG_BODY_BYTES) {
            return Err(MessageError::BodyTooLong.into());
        }
        BegunResponse::new(response, RemainingBody::new(framing, buffer))
    }

    /// Reads the body until it is complete or longer than `max_bytes`.
    ///
    /// # Errors
    /// Fails if the connection fails or the body is malformed.
    pub async fn read_body(
        &self,
        mut begun: BegunResponse,
        max_bytes: usize,
    ) -> io::Result<ServerResponse> {
        while !begun.is_complete() && begun.received_bytes() <= max_bytes {
            self.read_more_body(&mut begun).await?;
        }
        Ok(begun.into_response())
    }

    /// Waits for the next part of the body and appends it. Cancel safe: no bytes are lost.
    ///
    /// # Errors
    /// Fails if the connection fails or the body is malformed.
    pub async fn read_more_body(&self, begun: &mut BegunResponse) -> io::Result<()> {
        let at_end = read_bulk(&self.stream, begun.read_buffer()).await? == 0;
        begun.decode(at_end)
    }

    /// Replaces the content of `part` with the next part of a long body. Returns whether the body is complete.
    ///
    /// # Errors
    /// Fails if the connection fails or the body is malformed.
    pub async fn read_body_part(
        &self,
        rest: &mut RemainingBody,
        part: &mut Vec<u8>,
    ) -> io::Result<bool> {
        part.clear();
        let at_end = read_bulk(&self.stream, &mut rest.buffer).await? == 0;
        rest.decode_into(part, at_end)
    }

    /// Writes a request. Fails if a check denies a write, or if the server sends bytes before the request is complete.
    async fn send(&self, sending: &Sending<'_>) -> io::Result<()> {
        let [head, body] = sending.request;
        let written = sending.written_bytes;
        let check = || self.check_write(sending);
        if body.len() <= MAX_BODY_BYTES {
            let request = [head, body].concat();
            return write_all_checked(&self.stream, &request, written, check).await;
        }
        write_all_checked(&self.stream, head, written, check).await?;
        let written_of_body = Cell::new(0);
        let result = write_all_checked(&self.stream, body, &written_of_body, check).await;
        written.set(head.len() + written_of_body.get());
        result
    }

    /// Checks that the next bytes of a request may be written.
    fn check_write(&self, sending: &Sending<'_>) -> io::Result<()> {
        let progress = if sending.written_bytes.get() == 0 {
            WriteProgress::NotBegun
        } else {
            WriteProgress::Begun
        };
        (sending.check_write)(progress).map_err(io::Error::other)?;
        // A late response to an earlier request would be taken for the response to this one. No response is due before
        // the last byte of the request has been written, so any bytes that arrive earlier are unsolicited.
        if self.is_reusable() {
            Ok(())
        } else {
            Err(MessageError::Unsolicited.into())
        }
    }

    /// Reads the head of the final response and removes it from the buffer. Skips interim responses.
    async fn read_final_head(
        &self,
        buffer: &mut Vec<u8>,
    ) -> io::Result<(ServerResponse, ResponseFraming)> {
        let mut interim_responses = 0;
        loop {
            let Some((head, head_bytes)) = parse_response_head(buffer)? else {
                if buffer.len() > MAX_HEAD_BYTES {
                    return Err(MessageError::HeadTooLong.into());
                }
                self.read_more(buffer).await?;
                continue;
            };
            if interim_responses > MAX_INTERIM_RESPONSES || head_bytes > MAX_HEAD_BYTES {
                return Err(MessageError::TooManyHeads.into());
            }
            buffer.drain(..head_bytes);
            match head {
                ResponseHead::Final(response, framing) => return Ok((response, framing)),
                ResponseHead::Interim => interim_responses += 1,
            }
        }
    }

    /// Reads more bytes into `buffer`. Fails at the end of the connection.
    async fn read_more(&self, buffer: &mut Vec<u8>) -> io::Result<()> {
        match read_some(&self.stream, buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
