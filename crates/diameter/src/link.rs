//! Drives one connection: reads and writes messages, and calls the state machine of [`peer`](crate::peer) when its timers
//! expire. All protocol rules are in the state machine.

mod end;
mod reading;
mod write_queue;
mod writing;

pub use end::LinkEndReason;
pub use write_queue::{QueuedMessage, SentAttempt, WriteBudget, WriteHandle};

use crate::codec::{Fault, Message};
use crate::peer::{DisconnectCause, Input, Output, Peer, RemoteIdentity};
use frosthatch_engine::AttemptPermit;
use frosthatch_sockets::Uninterrupted;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{self, AsyncRead, AsyncWrite};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::sleep;
use write_queue::QueuedAttempt;

/// Timeout of the TLS handshake, with clients and with servers.
pub(crate) const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of messages queued for writing on one connection.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Maximum number of checks whether the messages queued at closing have been written.
const MAX_FLUSH_CHECKS: usize = 20;
/// Interval between two checks whether the messages queued at closing have been written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// An event that [`Link::run`] reports to the owner of a connection.
pub enum Event {
    /// Capabilities have been exchanged with the peer.
    Up(RemoteIdentity),
    /// Send new requests to other peers: the peer does not answer watchdog requests, or has reconnected and has not
    /// answered `MIN_REOPEN_ANSWERS` of them yet.
    Failover,
    /// The peer answers again and may get requests.
    Failback,
    /// The peer accepts no new requests and is about to close the connection.
    PeerClosing,
    /// A valid credit-control request was received.
    Request(Message),
    /// An answer was received.
    Answer(Message),
}

/// Handle of a connection, for sending messages and closing the connection.
pub struct Link {
    peer: RefCell<Peer>,
    budget: Rc<WriteBudget>,
    write_queue: mpsc::Sender<QueuedMessage>,
    /// Total number of bytes queued since the connection was created.
    queued_bytes: Cell<u64>,
    /// Number of the queued bytes that have been written or discarded.
    written_bytes: Cell<u64>,
    /// Notified to end the connection without waiting for the peer.
    abandoned: Notify,
    /// Returns the current time in microseconds.
    clock: Rc<dyn Fn() -> u64>,
}

impl Link {
    /// Creates a connection's handle and the queue of messages that [`run`](Self::run) writes. `clock` returns microseconds.
    pub fn new(
        peer: Peer,
        clock: Rc<dyn Fn() -> u64>,
        budget: Rc<WriteBudget>,
    ) -> (Rc<Link>, mpsc::Receiver<QueuedMessage>) {
        let (write_queue, queued_messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let link = Link {
            peer: RefCell::new(peer),
            budget,
            write_queue,
            queued_bytes: Cell::new(0),
            written_bytes: Cell::new(0),
            abandoned: Notify::new(),
            clock,
        };
        (Rc::new(link), queued_messages)
    }

    /// Returns whether requests may be exchanged.
    pub fn is_open(&self) -> bool {
        self.peer.borrow().is_open()
    }

    /// Returns whether the gateway has sent its disconnect request, and accepts no new requests from the peer.
    pub fn is_closing(&self) -> bool {
        self.peer.borrow().is_closing()
    }

    /// Assigns the next Hop-by-Hop Identifier of this connection.
    pub fn next_hop_by_hop(&self) -> u32 {
        self.peer.borrow_mut().next_hop_by_hop()
    }

    /// Creates, but does not send, an answer from the gateway itself.
    pub fn gateway_answer(&self, request: &Message, result_code: u32) -> Message {
        self.peer.borrow().answer(request, result_code)
    }

    /// Creates, but does not send, the answer that reports a fault of a request.
    pub fn fault_answer(&self, request: &Message, fault: &Fault) -> Message {
        self.peer.borrow().fault_answer(request, fault)
    }

    /// Queues a message. Returns the position of the message's end in the byte stream, or `None` if the write budget or the
    /// queue has no room for the message.
    pub fn send(&self, message: &Message) -> Option<u64> {
        self.queue_within_budget(message.encode(), None)
    }

    /// Queues the message of an attempt, which is written only if `permit` still allows the write when the message reaches
    /// the head of the queue, and if it was not withdrawn before. If the permit lapses while the message is written in
    /// part, the connection ends, so that the server never gets the rest. Returns `None` under the same conditions as [`send`](Self::send).
    pub fn send_attempt(&self, message: &Message, permit: AttemptPermit) -> Option<SentAttempt> {
        let (sender, denied) = oneshot::channel();
        let write = WriteHandle::new();
        let attempt = QueuedAttempt {
            permit,
            write: write.clone(),
            denied: sender,
        };
        let end = self.queue_within_budget(message.encode(), Some(attempt))?;
        Some(SentAttempt { end, write, denied })
    }

    /// Queues an answer. Abandons the connection if the write budget or the queue has no room for the answer, usually because
    /// the client does not read its answers.
    pub fn send_answer(&self, answer: &Message) {
        if self.send(answer).is_none() {
            self.abandoned.notify_one();
        }
    }

    /// Returns whether the byte stream has been written up to the position `end`.
    pub fn has_written(&self, end: u64) -> bool {
        self.written_bytes.get() >= end
    }

    /// Queues a disconnect request. The connection ends when the peer answers or the answer times out. A connection that is
    /// not open ends at once.
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

    /// Drives the connection until it ends, and reports events to `on_event`.
    pub async fn run(
        &self,
        stream: impl AsyncRead + AsyncWrite + Unpin,
        queued_messages: mpsc::Receiver<QueuedMessage>,
        on_event: impl FnMut(Event),
    ) -> LinkEndReason {
        let (reader, writer) = io::split(Uninterrupted(stream));
        tokio::select! {
            end = self.read_messages(reader, on_event) => end,
            end = self.write_messages(writer, queued_messages) => end,
        }
    }

    /// Waits until the currently queued messages have been written, at most `MAX_FLUSH_CHECKS * FLUSH_CHECK_INTERVAL`.
    async fn flush(&self) {
        let end = self.queued_bytes.get();
        for _ in 0..MAX_FLUSH_CHECKS {
            if self.has_written(end) {
                break;
            }
            sleep(FLUSH_CHECK_INTERVAL).await;
        }
    }

    /// Passes an input to the state machine.
    fn handle(&self, input: Input, out: &mut Vec<Output>) {
        self.peer.borrow_mut().handle((self.clock)(), input, out);
    }

    /// Queues a message if the write budget allows it.
    fn queue_within_budget(&self, bytes: Vec<u8>, attempt: Option<QueuedAttempt>) -> Option<u64> {
        if !self
            .budget
            .has_capacity(self.unwritten_bytes(), bytes.len())
        {
            return None;
        }
        self.queue(QueuedMessage { bytes, attempt })
    }

    /// Queues a message of the state machine. The message counts towards the write budget but is not limited by it, so that
    /// queued application messages cannot block it by their size. Only a full queue (`MAX_QUEUED_MESSAGES`) rejects it.
    fn send_control(&self, message: &Message) -> Option<u64> {
        self.queue(QueuedMessage {
            bytes: message.encode(),
            attempt: None,
        })
    }

    /// Appends a message to the queue. Returns the position of the message's end in the byte stream, or `None` if the
    /// queue is full.
    fn queue(&self, message: QueuedMessage) -> Option<u64> {
        let length = message.bytes.len();
        self.write_queue.try_send(message).ok()?;
        self.budget.add(length);
        let end = self.queued_bytes.get() + length as u64;
        self.queued_bytes.set(end);
        Some(end)
    }

    /// Records that a message of this length was written or discarded.
    fn release(&self, bytes: usize) {
        self.written_bytes
            .set(self.written_bytes.get() + bytes as u64);
        self.budget.release(bytes);
    }

    /// Returns the number of queued bytes that have been neither written nor discarded.
    fn unwritten_bytes(&self) -> usize {
        (self.queued_bytes.get() - self.written_bytes.get()) as usize
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.budget.release(self.unwritten_bytes());
    }
}

#[cfg(test)]
mod tests;
