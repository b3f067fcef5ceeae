//! What bounds and describes the messages that wait to be written.

use frosthatch_engine::{AttemptPermit, WriteDenied};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Part of the budget that one connection may use: the budget divided by this.
const CONNECTION_SHARE_DIVISOR: usize = 2;

/// Bounds the bytes that wait to be written on all connections of one side.
pub struct WriteBudget {
    max_bytes: Cell<usize>,
    queued_bytes: Cell<usize>,
}

impl WriteBudget {
    /// An unused budget of so many bytes.
    pub fn new(max_bytes: usize) -> Rc<WriteBudget> {
        Rc::new(WriteBudget {
            max_bytes: Cell::new(max_bytes),
            queued_bytes: Cell::new(0),
        })
    }

    /// Changes the bound for messages from now on.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.max_bytes.set(max_bytes);
    }

    /// Whether `bytes` more fit into the budget, and into the part of a connection on which `connection_bytes` wait.
    pub(super) fn has_capacity(&self, connection_bytes: usize, bytes: usize) -> bool {
        let max_bytes = self.max_bytes.get();
        connection_bytes + bytes <= max_bytes / CONNECTION_SHARE_DIVISOR
            && self.queued_bytes.get() + bytes <= max_bytes
    }

    pub(super) fn add(&self, bytes: usize) {
        self.queued_bytes.set(self.queued_bytes.get() + bytes);
    }

    pub(super) fn release(&self, bytes: usize) {
        self.queued_bytes.set(self.queued_bytes.get() - bytes);
    }
}

/// A message that waits to be written.
pub struct QueuedMessage {
    pub(super) bytes: Vec<u8>,
    pub(super) attempt: Option<QueuedAttempt>,
}

/// The attempt that a queued message belongs to.
pub(super) struct QueuedAttempt {
    /// Is checked immediately before the message is written.
    pub(super) permit: AttemptPermit,
    /// Is notified if the message is not written.
    pub(super) denied: oneshot::Sender<WriteDenied>,
}

/// An attempt's message that was queued.
pub struct SentAttempt {
    /// Position of its end in the byte stream, for [`Link::has_written`](super::Link::has_written).
    pub end: u64,
    /// Why the message was not written; closed without a value if it was.
    pub denied: oneshot::Receiver<WriteDenied>,
}
