//! Reads the requests of one connection, and ends a connection that stays idle.

use super::bad_request::BadRequest;
use super::client::{ClientConnection, ReadSize};
use super::http_server::HttpServer;
use super::idle_connection::IdleConnection;
use super::request::{PartialRequest, ReceivedRequest};
use super::request_head::contains_head_end;
use crate::limits::MAX_HEAD_BYTES;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// A head is complete this long after its first byte, the first of a connection this long after it was accepted: an error
/// or a close is owed within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A body is complete this long after its head, and longer by what has arrived of it at the slowest rate allowed.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Half of the rate at which clients send.
const MIN_BODY_BYTES_PER_S: f64 = 32_000.0;
/// A connection that has served stays open for so long without a request.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The state of reading one request.
struct RequestReader {
    /// When the head, or the body without what it gains by its length, is late.
    deadline: Instant,
    /// Ends the connection while no request has begun.
    end: Rc<Notify>,
    has_begun: bool,
    /// Bytes of the buffer that hold no end of a head.
    scanned_bytes: usize,
    /// The request, once its head is complete.
    request: Option<PartialRequest>,
    /// The time is over, or the connection is to end: what has arrived by now is still read.
    is_last_read: bool,
}

impl RequestReader {
    /// A body may take longer the more of it has arrived, but no pause in it longer than the timeout.
    fn current_deadline(&self) -> Instant {
        let Some(request) = &self.request else {
            return self.deadline;
        };
        let earned_s = request.body.len() as f64 / MIN_BODY_BYTES_PER_S;
        let extended_deadline = self.deadline + Duration::from_secs_f64(earned_s);
        extended_deadline.min(Instant::now() + BODY_TIMEOUT)
    }

    fn read_size(&self) -> ReadSize {
        if self.request.is_some() {
            ReadSize::Bulk
        } else {
            ReadSize::Small
        }
    }
}

impl HttpServer {
    /// Reads and checks the next request; none if the connection is over. Until then the connection is listed as idle.
    pub(super) async fn read_request(
        &self,
        client: &mut ClientConnection,
    ) -> Result<Option<ReceivedRequest>, BadRequest> {
        let idle_since = Instant::now();
        let end = Rc::new(Notify::new());
        let idle_connection = IdleConnection {
            since: idle_since,
            has_served: client.has_served,
            request_begun: false,
            end: end.clone(),
        };
        self.idle
            .borrow_mut()
            .insert(client.number, idle_connection);
        let timeout = if client.has_served {
            KEEPALIVE_TIMEOUT
        } else {
            HEAD_TIMEOUT
        };
        let mut reader = RequestReader {
            deadline: idle_since + timeout,
            end,
            has_begun: false,
            scanned_bytes: 0,
            request: None,
            is_last_read: false,
        };
        let result = self.read_until_complete(client, &mut reader).await;
        self.idle.borrow_mut().remove(&client.number);
        result
    }

    async fn read_until_complete(
        &self,
        client: &mut ClientConnection,
        reader: &mut RequestReader,
    ) -> Result<Option<ReceivedRequest>, BadRequest> {
        loop {
            if !reader.has_begun && !client.buffer.is_empty() {
                self.begin_request(client, reader);
            }
            if reader.request.is_none() {
                self.take_head(&mut client.buffer, reader)?;
            }
            if let Some(mut request) = reader.request.take() {
                if self.take_body(&mut request, &mut client.buffer)? {
                    return Ok(Some(request.into_received(client.received_at)));
                }
                let expects_continue = std::mem::take(&mut request.expects_continue);
                reader.request = Some(request);
                if expects_continue && !client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await {
                    return Ok(None);
                }
            }
            let deadline = reader.current_deadline();
            if reader.is_last_read && !client.has_unread_bytes() {
                return self.end_incomplete(reader);
            }
            tokio::select! {
                result = client.read(reader.read_size()) => {
                    if matches!(result, Ok(0) | Err(_)) {
                        client.close_reason = "ended_by_client";
                        return Ok(None);
                    }
                    // A request that has just begun has time to be completed.
                    reader.is_last_read &= reader.has_begun;
                }
                () = reader.end.notified(), if !reader.is_last_read => reader.is_last_read = true,
                () = sleep_until(deadline), if !reader.is_last_read => reader.is_last_read = true,
            }
        }
    }

    /// The first bytes of a request have arrived: the connection is idle no longer. It gets a new `end`, as whoever
    /// notified the old one took it for idle.
    fn begin_request(&self, client: &ClientConnection, reader: &mut RequestReader) {
        let now = Instant::now();
        reader.has_begun = true;
        if client.has_served {
            reader.deadline = now + HEAD_TIMEOUT;
        }
        reader.end = Rc::default();
        if let Some(connection) = self.idle.borrow_mut().get_mut(&client.number) {
            connection.request_begun = true;
            connection.end = reader.end.clone();
            if connection.has_served {
                connection.since = now;
            }
        }
    }

    /// Takes the head off the buffer, if it is complete.
    fn take_head(
        &self,
        buffer: &mut Vec<u8>,
        reader: &mut RequestReader,
    ) -> Result<(), BadRequest> {
        if !contains_head_end(buffer, reader.scanned_bytes) {
            reader.scanned_bytes = buffer.len();
            if buffer.len() > MAX_HEAD_BYTES {
                return Err(BadRequest::HeadTooLong);
            }
            return Ok(());
        }
        let request = self.parse_head(buffer)?;
        buffer.drain(..request.head_bytes);
        reader.deadline = Instant::now() + BODY_TIMEOUT;
        reader.request = Some(request);
        Ok(())
    }

    /// The outcome for a request that is not complete in time: an error, unless it has not begun.
    fn end_incomplete(
        &self,
        reader: &RequestReader,
    ) -> Result<Option<ReceivedRequest>, BadRequest> {
        if !reader.has_begun {
            Ok(None)
        } else if self.is_too_late_for_requests() {
            Err(BadRequest::ShuttingDown)
        } else {
            Err(BadRequest::TooSlow)
        }
    }
}
