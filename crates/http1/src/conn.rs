//! One connection to a server, with one request at a time. A response that does not fit its own framing is an error, and
//! its request may then have been executed all the same.

mod body;
mod response;

pub use body::RemainingBody;
pub use response::ServerResponse;

use crate::error::MessageError;
use crate::limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_LONG_BODY_BYTES};
use crate::socket_io::{peek, read_bulk, read_some, write_all_checked, READ_CHUNK_BYTES};
use body::ResponseFraming;
use frosthatch_engine::WriteDenied;
use frosthatch_sockets::{connect, ConnectError};
use response::{parse_response_head, ResponseHead};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Most interim responses ahead of the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// How far a request has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// None of its bytes have left.
    NotBegun,
    /// Some of its bytes have left.
    Begun,
}

/// A request to be written.
pub struct Sending<'a> {
    /// Head and body.
    pub request: [&'a [u8]; 2],
    /// Number of bytes that have left; while a long body is being written, only those of the head.
    pub written: &'a Cell<usize>,
    /// Whether the next bytes may be written; called immediately before each write.
    pub may: &'a dyn Fn(WriteProgress) -> Result<(), WriteDenied>,
    /// Called once all bytes have left.
    pub whole: &'a dyn Fn(),
}

/// A connection to a server. It closes when it is dropped.
pub struct ServerConnection {
    stream: TcpStream,
}

impl ServerConnection {
    /// Connects to `address`, without a time limit.
    ///
    /// # Errors
    /// The server cannot be reached, or this machine cannot connect.
    pub async fn open(address: SocketAddr) -> Result<ServerConnection, ConnectError> {
        let stream = connect(address).await?;
        Ok(ServerConnection { stream })
    }

    /// Whether another request may be sent: the connection is open, and no unsolicited bytes have arrived.
    pub fn is_reusable(&self) -> bool {
        peek(&self.stream).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads its response: all of it, or only the beginning of a body longer than `max_body_bytes`.
    ///
    /// # Errors
    /// The request may not be written, the connection fails, or the response is malformed.
    pub async fn exchange(
        &self,
        sending: Sending<'_>,
        max_body_bytes: usize,
    ) -> io::Result<ServerResponse> {
        self.send(&sending).await?;
        (sending.whole)();
        let mut buffer = Vec::new();
        let (response, framing) = self.read_final_head(&mut buffer).await?;
        if matches!(framing, ResponseFraming::Length(length) if length > MAX_LONG_BODY_BYTES) {
            return Err(MessageError::BodyTooLong.into());
        }
        let body = RemainingBody::new(framing, buffer);
        self.read_first_bytes(response, body, max_body_bytes).await
    }

    /// Reads more of a long body into `part`, in place of what it holds. Returns whether the body is complete.
    ///
    /// # Errors
    /// The connection fails, or the body is malformed.
    pub async fn read_body_part(
        &self,
        rest: &mut RemainingBody,
        part: &mut Vec<u8>,
    ) -> io::Result<bool> {
        part.clear();
        let at_end = read_bulk(&self.stream, &mut rest.buffer).await? == 0;
        rest.decode_into(part, at_end)
    }

    /// Writes all of a request, unless a check denies it or the server sends something before it is complete.
    async fn send(&self, sending: &Sending<'_>) -> io::Result<()> {
        let [head, body] = sending.request;
        let written = sending.written;
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

    fn check_write(&self, sending: &Sending<'_>) -> io::Result<()> {
        let progress = if sending.written.get() == 0 {
            WriteProgress::NotBegun
        } else {
            WriteProgress::Begun
        };
        (sending.may)(progress).map_err(io::Error::other)?;
        // Guards against a late response to an earlier request, which would be taken for this one's: no response is due
        // before the last byte of the request has left.
        if self.is_reusable() {
            Ok(())
        } else {
            Err(MessageError::Unsolicited.into())
        }
    }

    /// Reads the final head and takes it off the buffer; interim responses ahead of it are skipped.
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

    async fn read_more(&self, buffer: &mut Vec<u8>) -> io::Result<()> {
        match read_some(&self.stream, buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads the body into `response`; of one longer than `max_bytes` only the beginning, with the rest beside it.
    async fn read_first_bytes(
        &self,
        mut response: ServerResponse,
        mut rest: RemainingBody,
        max_bytes: usize,
    ) -> io::Result<ServerResponse> {
        let declared_length = rest.declared_length();
        let is_declared_long = declared_length.is_some_and(|length| length > max_bytes);
        let capacity = declared_length
            .unwrap_or(0)
            .min(max_bytes + READ_CHUNK_BYTES);
        let mut body = Vec::with_capacity(capacity);
        loop {
            if rest.decode_into(&mut body, false)? {
                response.reusable &= rest.buffer.is_empty();
                break;
            }
            // Of a body that is declared long the first bytes that arrive are enough.
            if body.len() > max_bytes || is_declared_long && !body.is_empty() {
                response.rest = Some(rest);
                break;
            }
            if read_bulk(&self.stream, &mut rest.buffer).await? == 0 {
                rest.decode_into(&mut body, true)?;
                response.reusable = false;
                break;
            }
        }
        response.body = body.into();
        Ok(response)
    }
}
