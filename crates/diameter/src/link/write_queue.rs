//! Messages queued for writing, and the budget that limits their size.

use frosthatch_engine::{AttemptPermit, WriteDenied};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

/// One connection may use the budget divided by this number.
const CONNECTION_SHARE_DIVISOR: usize = 2;

/// Limits the bytes queued for writing on all connections to clients, or on all connections to servers.
pub struct WriteBudget {
    max_bytes: Cell<usize>,
    queued_bytes: Cell<usize>,
}

impl WriteBudget {
    /// Creates an unused budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Rc<WriteBudget> {
        Rc::new(WriteBudget {
            max_bytes: Cell::new(max_bytes),
            queued_bytes: Cell::new(0),
        })
    }

    /// Changes the limit for subsequent messages.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.max_bytes.set(max_bytes);
    }

    /// Returns whether `bytes` more fit into the budget and into the share of a connection that has `connection_bytes`
    /// queued.
    pub(super) fn has_capacity(&self, connection_bytes: usize, bytes: usize) -> bool {
        let max_bytes = self.max_bytes.get();
        connection_bytes + bytes <= max_bytes / CONNECTION_SHARE_DIVISOR
            && self.queued_bytes.get() + bytes <= max_bytes
    }

    /// Records that `bytes` were queued.
    pub(super) fn add(&self, bytes: usize) {
        self.queued_bytes.set(self.queued_bytes.get() + bytes);
    }

    /// Records that `bytes` were written or discarded.
    pub(super) fn release(&self, bytes: usize) {
        self.queued_bytes.set(self.queued_bytes.get() - bytes);
    }
}

/// An encoded message that is queued for writing.
pub struct QueuedMessage {
    pub(super) bytes: Vec<u8>,
    /// Attempt that the message belongs to; `None` for answers and messages of the connection itself.
    pub(super) attempt: Option<QueuedAttempt>,
}

/// Whether the message of an attempt has begun to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    Queued,
    /// Some or all of the message may have been written, and the rest follows unless the connection ends.
    Begun,
    /// The message is never written.
    Withdrawn,
}

/// Handle of an attempt's queued message. All clones refer to the same message.
#[derive(Clone, Debug)]
pub struct WriteHandle(Rc<Cell<WriteState>>);

impl WriteHandle {
    /// Creates the handle of a message that has not begun to be written.
    pub(crate) fn new() -> WriteHandle {
        WriteHandle(Rc::new(Cell::new(WriteState::Queued)))
    }

    /// Returns whether the message has begun to be written.
    pub fn has_begun(&self) -> bool {
        self.0.get() == WriteState::Begun
    }

    /// Withdraws the message unless it has begun to be written. Returns whether the message is never written.
    pub fn withdraw(&self) -> bool {
        if self.0.get() == WriteState::Queued {
            self.0.set(WriteState::Withdrawn);
        }
        self.0.get() == WriteState::Withdrawn
    }

    /// Records that the message begins to be written. Returns `false` if it was withdrawn.
    pub(crate) fn begin(&self) -> bool {
        if self.0.get() == WriteState::Withdrawn {
            return false;
        }
        self.0.set(WriteState::Begun);
        true
    }
}

/// The attempt that a queued message belongs to.
pub(super) struct QueuedAttempt {
    /// Permission to write the message, checked immediately before the write and while the write is incomplete.
    pub(super) permit: AttemptPermit,
    pub(super) write: WriteHandle,
    /// Receives the reason if the message is not written.
    pub(super) denied: oneshot::Sender<WriteDenied>,
}

/// The position and the result channel of an attempt's queued message.
pub struct SentAttempt {
    /// Position of the message's end in the byte stream, for [`Link::has_written`](super::Link::has_written).
    pub end: u64,
    /// Handle of the message, to withdraw it while it is queued.
    pub write: WriteHandle,
    /// Receives the reason if the message is not written; closed without a value if it is written.
    pub denied: oneshot::Receiver<WriteDenied>,
}
