//! Reads the requests of one connection, with timeouts for idle connections and slow requests.

use super::bad_request::BadRequest;
use super::client::{ClientConnection, ReadSize};
use super::http_server::HttpServer;
use super::idle_connection::WaitingConnection;
use super::request::{PartialRequest, ReceivedRequest};
use super::request_head::contains_head_end;
use crate::limits::MAX_HEAD_BYTES;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Time within which a head must be complete. It begins with the head's first byte; for the first head of a connection,
/// with the accept. A client must get an error response or a close within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time within which a body must be complete after its head, extended by the time that the received bytes take at
/// [`MIN_BODY_BYTES_PER_S`]. Also the maximum pause within a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum rate at which a body must arrive: half of the rate at which clients send.
const MIN_BODY_BYTES_PER_S: f64 = 32_000.0;
/// Time after which an idle connection that has carried a request is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of reading one request.
struct RequestReader {
    /// Deadline of the current phase: the first byte, the head, or the body without the extension for the received
    /// bytes.
    deadline: Instant,
    /// Notified when the connection is to be closed.
    close_notify: Rc<Notify>,
    /// Whether the first byte of the request has arrived.
    has_request_begun: bool,
    /// Number of bytes at the start of the buffer that are known not to contain the end of a head.
    scanned_bytes: usize,
    /// Request, once its head is complete.
    request: Option<PartialRequest>,
    /// Whether the deadline has passed or the connection is to be closed: only bytes that have already arrived are
    /// still read.
    reads_only_arrived_bytes: bool,
}

impl RequestReader {
    /// Returns the deadline of the next read. The deadline of a body is extended by the bytes received, but is at most
    /// [`BODY_TIMEOUT`] from now.
    fn current_deadline(&self) -> Instant {
        let Some(request) = &self.request else {
            return self.deadline;
        };
        let extension_s = request.body.len() as f64 / MIN_BODY_BYTES_PER_S;
        let extended_deadline = self.deadline + Duration::from_secs_f64(extension_s);
        extended_deadline.min(Instant::now() + BODY_TIMEOUT)
    }

    /// Returns the size of the next read.
    fn read_size(&self) -> ReadSize {
        if self.request.is_some() {
            ReadSize::Bulk
        } else {
            ReadSize::Small
        }
    }
}

impl HttpServer {
    /// Reads and checks the next request. Returns `None` if the connection is to be closed without a response. Lists
    /// the connection as waiting until the request is complete.
    pub(super) async fn read_request(
        &self,
        client: &mut ClientConnection,
    ) -> Result<Option<ReceivedRequest>, BadRequest> {
        let idle_since = Instant::now();
        let close_notify = Rc::new(Notify::new());
        let waiting_connection = WaitingConnection {
            waiting_since: idle_since,
            has_served: client.has_served,
            has_request_begun: false,
            close_notify: close_notify.clone(),
        };
        self.waiting_connections
            .borrow_mut()
            .insert(client.number, waiting_connection);
        let timeout = if client.has_served {
            KEEPALIVE_TIMEOUT
        } else {
            HEAD_TIMEOUT
        };
        let mut reader = RequestReader {
            deadline: idle_since + timeout,
            close_notify,
            has_request_begun: false,
            scanned_bytes: 0,
            request: None,
            reads_only_arrived_bytes: false,
        };
        let result = self.read_until_complete(client, &mut reader).await;
        self.waiting_connections.borrow_mut().remove(&client.number);
        result
    }

    /// Reads until the request is complete, it is too late, or the connection is to be closed.
    async fn read_until_complete(
        &self,
        client: &mut ClientConnection,
        reader: &mut RequestReader,
    ) -> Result<Option<ReceivedRequest>, BadRequest> {
        loop {
            if !reader.has_request_begun && !client.buffer.is_empty() {
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
            if reader.reads_only_arrived_bytes && !client.has_unread_bytes() {
                return self.end_incomplete(reader);
            }
            tokio::select! {
                result = client.read(reader.read_size()) => {
                    if matches!(result, Ok(0) | Err(_)) {
                        client.close_reason = "ended_by_client";
                        return Ok(None);
                    }
                    // If this read received the first bytes of a request, the idle timeout or the notification no
                    // longer applies: the request gets its own deadline.
                    reader.reads_only_arrived_bytes &= reader.has_request_begun;
                }
                () = reader.close_notify.notified(), if !reader.reads_only_arrived_bytes =>
                    reader.reads_only_arrived_bytes = true,
                () = sleep_until(deadline), if !reader.reads_only_arrived_bytes =>
                    reader.reads_only_arrived_bytes = true,
            }
        }
    }

    /// Records that the first bytes of a request have arrived, so that the connection is no longer idle. Replaces the
    /// connection's `close_notify`: a notification that is still pending was sent because the connection had no
    /// request, and must not end this one.
    fn begin_request(&self, client: &ClientConnection, reader: &mut RequestReader) {
        let now = Instant::now();
        reader.has_request_begun = true;
        if client.has_served {
            reader.deadline = now + HEAD_TIMEOUT;
        }
        reader.close_notify = Rc::default();
        if let Some(connection) = self
            .waiting_connections
            .borrow_mut()
            .get_mut(&client.number)
        {
            connection.has_request_begun = true;
            connection.close_notify = reader.close_notify.clone();
            if connection.has_served {
                connection.waiting_since = now;
            }
        }
    }

    /// Parses the head and removes it from the buffer, if it is complete.
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

    /// Returns the outcome of a request that is incomplete when its deadline passes or the connection is to be closed:
    /// an error, or `None` if the request has not begun.
    fn end_incomplete(
        &self,
        reader: &RequestReader,
    ) -> Result<Option<ReceivedRequest>, BadRequest> {
        if !reader.has_request_begun {
            Ok(None)
        } else if self.is_past_request_deadline() {
            Err(BadRequest::ShuttingDown)
        } else {
            Err(BadRequest::TooSlow)
        }
    }
}
