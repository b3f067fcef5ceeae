//! The driver of one connection: reads, writes, and calls the state machine of [`peer`](crate::peer) when its timers
//! expire. It contains no rules of the protocol.

mod end;
mod write_queue;

pub use end::LinkEnd;
pub use write_queue::{QueuedMessage, SentAttempt, WriteBudget};

use crate::codec::{self, Fault, Message};
use crate::peer::{DisconnectCause, Input, Output, Peer, Remote};
use bytes::{Bytes, BytesMut};
use frosthatch_engine::AttemptPermit;
use frosthatch_sockets::Uninterrupted;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{self, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::sleep;
use write_queue::QueuedAttempt;

/// For the TLS handshake, on both sides.
pub(crate) const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Messages that may wait to be written on one connection.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Space for one read.
const READ_CHUNK_BYTES: usize = 8 << 10;
/// Longest time between two checks of the timers.
const MAX_TIMER_WAIT_US: u64 = 1_000_000;
/// Before a connection is closed its queue is checked so often, at this interval, for whether all is written.
const FLUSH_CHECKS: usize = 20;
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What a connection's user has to know.
pub enum Event {
    /// Capabilities have been exchanged.
    Up(Remote),
    /// Send new requests to other peers.
    Failover,
    /// The peer accepts requests again.
    Failback,
    /// The peer accepts no new requests and will close the connection.
    PeerClosing,
    /// A request was received.
    Request(Message),
    /// An answer was received.
    Answer(Message),
}

/// The handle of a connection.
pub struct Link {
    peer: RefCell<Peer>,
    budget: Rc<WriteBudget>,
    write_queue: mpsc::Sender<QueuedMessage>,
    /// Bytes that were queued since the start.
    queued_bytes: Cell<u64>,
    /// Those of them that were written or discarded.
    written_bytes: Cell<u64>,
    abandoned: Notify,
    clock: Rc<dyn Fn() -> u64>,
}

impl Link {
    /// A connection's handle, and the queue that [`run`](Self::run) is to write. `clock`: microseconds.
    pub fn new(
        peer: Peer,
        clock: Rc<dyn Fn() -> u64>,
        budget: Rc<WriteBudget>,
    ) -> (Rc<Link>, mpsc::Receiver<QueuedMessage>) {
        let (write_queue, to_write) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let link = Link {
            peer: RefCell::new(peer),
            budget,
            write_queue,
            queued_bytes: Cell::new(0),
            written_bytes: Cell::new(0),
            abandoned: Notify::new(),
            clock,
        };
        (Rc::new(link), to_write)
    }

    /// Whether requests may be exchanged.
    pub fn is_open(&self) -> bool {
        self.peer.borrow().is_open()
    }

    /// Assigns the next Hop-by-Hop Identifier.
    pub fn next_hop_by_hop(&self) -> u32 {
        self.peer.borrow_mut().next_hop_by_hop()
    }

    /// An answer from the gateway itself; it is not sent.
    pub fn own_answer(&self, request: &Message, result_code: u32) -> Message {
        self.peer.borrow().answer(request, result_code)
    }

    /// The answer that reports a fault of a request; it is not sent.
    pub fn fault_answer(&self, request: &Message, fault: &Fault) -> Message {
        self.peer.borrow().fault_answer(request, fault)
    }

    /// Queues a message. Returns the position of its end in the byte stream; `None` if too much is queued already.
    pub fn send(&self, message: &Message) -> Option<u64> {
        self.queue_within_budget(message.encode(), None)
    }

    /// Queues an attempt's message. It is written only if `permit` still allows it when its turn comes.
    pub fn send_attempt(&self, message: &Message, permit: AttemptPermit) -> Option<SentAttempt> {
        let (sender, denied) = oneshot::channel();
        let attempt = QueuedAttempt {
            permit,
            denied: sender,
        };
        let end = self.queue_within_budget(message.encode(), Some(attempt))?;
        Some(SentAttempt { end, denied })
    }

    /// Queues an answer. The connection of a client that does not read its answers is abandoned.
    pub fn send_answer(&self, answer: &Message) {
        if self.send(answer).is_none() {
            self.abandoned.notify_one();
        }
    }

    /// Whether the byte stream has been written up to this position.
    pub fn has_written(&self, end: u64) -> bool {
        self.written_bytes.get() >= end
    }

    /// Sends a disconnect request. The connection ends with its answer or its timeout.
    pub fn disconnect(&self, cause: DisconnectCause) {
        let mut out = Vec::new();
        self.handle(Input::Disconnect(cause), &mut out);
        for output in out {
            match output {
                Output::Send(message) => drop(self.send_control(&message)),
                Output::Close(_) => self.abandoned.notify_one(),
                _ => {}
            }
        }
    }

    /// Drives the connection until it ends.
    pub async fn run(
        &self,
        stream: impl AsyncRead + AsyncWrite + Unpin,
        to_write: mpsc::Receiver<QueuedMessage>,
        on_event: impl FnMut(Event),
    ) -> LinkEnd {
        let (reader, writer) = io::split(Uninterrupted(stream));
        tokio::select! {
            end = self.read_messages(reader, on_event) => end,
            () = self.write_messages(writer, to_write) => LinkEnd::WriteFailed,
        }
    }

    /// Writes queued messages until that fails.
    async fn write_messages(
        &self,
        mut writer: impl AsyncWrite + Unpin,
        mut to_write: mpsc::Receiver<QueuedMessage>,
    ) {
        while let Some(QueuedMessage { bytes, attempt }) = to_write.recv().await {
            let mut permit = None;
            if let Some(attempt) = attempt {
                // The message may have waited for long while the peer was slow to read.
                if let Err(denied) = attempt.permit.check() {
                    let _ = attempt.denied.send(denied);
                    self.release(bytes.len());
                    continue;
                }
                permit = Some(attempt.permit);
            }
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
            // Without an await after the last byte: what has been sent never counts as not written.
            if let Some(permit) = permit {
                permit.record_written(None);
            }
            self.release(bytes.len());
            if writer.flush().await.is_err() {
                return;
            }
        }
    }

    /// Reads messages, and handles timers, until the connection ends.
    async fn read_messages(
        &self,
        mut reader: impl AsyncRead + Unpin,
        mut on_event: impl FnMut(Event),
    ) -> LinkEnd {
        let mut buffer = BytesMut::new();
        let mut out = Vec::new();
        self.handle(Input::Connected, &mut out);
        loop {
            for output in out.drain(..) {
                if let Err(end) = self.apply(output, &mut on_event).await {
                    return end;
                }
            }
            match next_message(&mut buffer) {
                Ok(Some(bytes)) => {
                    self.handle(decode(bytes), &mut out);
                    continue;
                }
                Ok(None) => {}
                Err(fault) => {
                    let code = fault.result_code;
                    return LinkEnd::InvalidFrame { code };
                }
            }
            buffer.reserve(READ_CHUNK_BYTES);
            tokio::select! {
                read = reader.read_buf(&mut buffer) => if !matches!(read, Ok(length) if length > 0) {
                    return LinkEnd::ConnectionEnded;
                },
                () = sleep(self.timer_wait()) => {
                    self.peer.borrow_mut().handle_timeout((self.clock)(), &mut out);
                }
                () = self.abandoned.notified() => return LinkEnd::Abandoned,
            }
        }
    }

    /// # Errors
    /// The connection ends.
    async fn apply(&self, output: Output, on_event: &mut impl FnMut(Event)) -> Result<(), LinkEnd> {
        match output {
            Output::Send(message) => {
                self.send_control(&message).ok_or(LinkEnd::PeerNotReading)?;
            }
            Output::Close(reason) => {
                self.flush().await;
                return Err(LinkEnd::Closed(reason));
            }
            Output::Up(remote) => on_event(Event::Up(remote)),
            Output::Failover => on_event(Event::Failover),
            Output::Failback => on_event(Event::Failback),
            Output::PeerClosing => on_event(Event::PeerClosing),
            Output::Request(message) => on_event(Event::Request(message)),
            Output::Answer(message) => on_event(Event::Answer(message)),
        }
        Ok(())
    }

    /// Waits, for a bounded time, until what is queued now has been written.
    async fn flush(&self) {
        let end = self.queued_bytes.get();
        for _ in 0..FLUSH_CHECKS {
            if self.has_written(end) {
                break;
            }
            sleep(FLUSH_CHECK_INTERVAL).await;
        }
    }

    fn handle(&self, input: Input, out: &mut Vec<Output>) {
        self.peer.borrow_mut().handle((self.clock)(), input, out);
    }

    fn timer_wait(&self) -> Duration {
        let wait_us = self.peer.borrow().due_us().saturating_sub((self.clock)());
        Duration::from_micros(wait_us.min(MAX_TIMER_WAIT_US))
    }

    fn queue_within_budget(&self, bytes: Vec<u8>, attempt: Option<QueuedAttempt>) -> Option<u64> {
        if !self
            .budget
            .has_capacity(self.unwritten_bytes(), bytes.len())
        {
            return None;
        }
        self.queue(QueuedMessage { bytes, attempt })
    }

    /// Queues a message of the connection itself; the budget does not apply, so that application messages cannot block it.
    fn send_control(&self, message: &Message) -> Option<u64> {
        self.queue(QueuedMessage {
            bytes: message.encode(),
            attempt: None,
        })
    }

    fn queue(&self, message: QueuedMessage) -> Option<u64> {
        let length = message.bytes.len();
        self.write_queue.try_send(message).ok()?;
        self.budget.add(length);
        let end = self.queued_bytes.get() + length as u64;
        self.queued_bytes.set(end);
        Some(end)
    }

    /// Records that a message of this length left the queue.
    fn release(&self, bytes: usize) {
        self.written_bytes
            .set(self.written_bytes.get() + bytes as u64);
        self.budget.release(bytes);
    }

    fn unwritten_bytes(&self) -> usize {
        (self.queued_bytes.get() - self.written_bytes.get()) as usize
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.budget.release(self.unwritten_bytes());
    }
}

/// Takes the first message's bytes off the buffer; `None` while it is incomplete.
fn next_message(buffer: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
    let length = codec::frame(buffer)?;
    Ok(length.map(|length| buffer.split_to(length).freeze()))
}

fn decode(bytes: Bytes) -> Input {
    match Message::decode(bytes) {
        Ok(message) => Input::Message(message),
        Err(unreadable) => Input::Unreadable(unreadable),
    }
}

#[cfg(test)]
mod tests;
