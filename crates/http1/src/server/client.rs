//! One client's connection: what has come over it, whether its client is still there, and its end.

use super::listener::poll_once;
use super::request::BadRequest;
use super::response::response;
use crate::message::{peek, read_more, reserve, try_read_more, write_all, CHUNK, HEAD_BYTES};
use frosthatch_sockets::uninterrupted;
use socket2::SockRef;
use std::cell::Cell;
use std::future::Future;
use std::io::{self, Read};
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};
use tracing::debug;

/// A client reads its answer within this.
const READS_WITHIN: Duration = Duration::from_secs(2);
/// At the end of a connection so much more is read, and for so long, that the client can read its last answer: a connection
/// that is closed on bytes that nobody has read is reset.
const LINGER_BYTES: usize = 256 << 10;
const LINGER: Duration = Duration::from_millis(200);
/// A client that sends ahead while it waits for its answer is read on, as only so its end is seen, but what is beyond a
/// head is thrown away, and so often: nobody can make the gateway do nothing else.
const FLOOD_PAUSE: Duration = Duration::from_millis(5);
const FLOOD_BYTES: usize = 64 << 10;

/// One client's connection.
pub(super) struct Client {
    pub(super) stream: TcpStream,
    pub(super) number: u64,
    /// What has been read and not yet used.
    pub(super) buffer: Vec<u8>,
    /// It has asked before.
    pub(super) kept: bool,
    /// It has sent more than can be kept: nothing that stands behind can be read as a request.
    pub(super) flooded: bool,
    /// When its connection was last looked at: what is there the next time without a wait may have come since.
    pub(super) looked_at: Instant,
    /// When the last of what stands in the buffer came, or before that.
    pub(super) arrived_at: Instant,
    /// Why the connection ends, as logs name it.
    pub(super) close_reason: &'static str,
}

impl Client {
    /// What comes of something that the client waits for; none if it goes first. One that ends its side of the connection has
    /// gone: it cannot be told from one that has closed all of it.
    pub(super) async fn while_there<T>(
        &mut self,
        mut awaited: impl Future<Output = T> + Unpin,
    ) -> Option<T> {
        loop {
            tokio::select! {
                biased;
                done = &mut awaited => return Some(done),
                gone = self.listen() => if gone {
                    return None;
                },
            }
        }
    }

    /// Whether something can be read at once.
    pub(super) fn has_more(&self) -> bool {
        peek(&self.stream).is_ok_and(|n| n > 0)
    }

    /// Reads what is there, once something is, and notes when it came; 0 at the end of the connection. Nothing is lost if this
    /// is dropped while it waits.
    pub(super) async fn read_some(&mut self, in_body: bool) -> io::Result<usize> {
        let mut came_since = self.looked_at;
        loop {
            let ready = poll_once(pin!(self.stream.readable())).await;
            match ready {
                Some(ready) => ready?,
                None => {
                    self.looked_at = Instant::now();
                    self.stream.readable().await?;
                    came_since = Instant::now();
                }
            }
            let read = match in_body {
                true => uninterrupted(|| self.stream.try_read_buf(reserve(&mut self.buffer))),
                false => try_read_more(&self.stream, &mut self.buffer),
            };
            match read {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    self.looked_at = Instant::now();
                    self.arrived_at = came_since;
                    return done;
                }
            }
        }
    }

    /// Waits for more from the client; whether it has gone.
    pub(super) async fn listen(&mut self) -> bool {
        if self.flooded {
            sleep(FLOOD_PAUSE).await;
            return self.has_gone();
        }
        let read = self.read_some(false).await;
        self.flooded |= self.buffer.len() > HEAD_BYTES;
        matches!(read, Ok(0) | Err(_))
    }

    /// Whether the client has gone by now, as the socket itself has it: reads what has come.
    pub(super) fn has_gone(&mut self) -> bool {
        let socket = SockRef::from(&self.stream);
        let (mut chunk, mut seen) = ([0; CHUNK], 0);
        while seen < FLOOD_BYTES {
            match uninterrupted(|| (&*socket).read(&mut chunk)) {
                Ok(0) => return true,
                Ok(n) => {
                    seen += n;
                    if !self.flooded {
                        self.buffer.extend_from_slice(&chunk[..n]);
                    }
                    self.flooded |= self.buffer.len() > HEAD_BYTES;
                }
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// Notes why the connection ends; whether in good order.
    pub(super) fn closes(&mut self, reason: &'static str, orderly: bool) -> bool {
        self.close_reason = reason;
        orderly
    }

    /// Whether all of it was written in time.
    pub(super) async fn write(&self, text: &[u8]) -> bool {
        timeout(READS_WITHIN, write_all(&self.stream, text, &Cell::new(0)))
            .await
            .is_ok_and(|w| w.is_ok())
    }

    /// Says what is wrong: nothing behind it is read as a request. Whether all of that was written.
    pub(super) async fn reject(&mut self, bad: &BadRequest) -> bool {
        self.close_reason = "turned_away";
        debug!(connection = self.number, status = bad.status(), reason = %bad.text(), "request.turned_away");
        self.write(&response(
            bad.status(),
            &bad.headers(),
            true,
            bad.text().as_bytes(),
        ))
        .await
    }

    /// The one orderly end of a connection: the client hears that nothing more comes, and what it still sends is read, and
    /// thrown away, until it has heard. A request among that was not taken, and its client knows; closed on bytes that
    /// nobody has read the connection would be reset, and the last answer with it.
    pub(super) async fn end(mut self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        let drain = async {
            let mut drained = 0;
            while drained < LINGER_BYTES {
                self.buffer.clear();
                match read_more(&self.stream, &mut self.buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(n) => drained += n,
                }
            }
        };
        let _ = timeout(LINGER, drain).await;
    }

    /// The same with what is there already.
    pub(super) fn end_at_once(mut self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        self.flooded = true;
        self.has_gone();
    }
}
