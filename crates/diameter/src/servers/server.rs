//! State of one Diameter server.

use crate::codec::Message;
use crate::link::{Link, WriteHandle};
use crate::overload::OverloadAbatement;
use crate::peer::DisconnectCause;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// A request that was sent to a server and is not answered yet.
pub(super) struct PendingRequest {
    /// Receives the answer, or `None` if the request was not written completely and never will be. Closed without a value
    /// if the connection was lost after the request was written: the server may have executed the request.
    pub(super) answer: oneshot::Sender<Option<Message>>,
    /// Handle of the request in the connection's write queue.
    pub(super) write: WriteHandle,
    /// Position of the request's end in the connection's byte stream.
    pub(super) end: u64,
}

/// A Diameter server, connected or not.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    /// Whether the endpoint list allows new requests.
    pub(super) is_ready: Cell<bool>,
    /// Whether the connection allows new requests: capabilities have been exchanged, the watchdog reports no failover, and
    /// the peer is not closing.
    pub(super) is_connection_usable: Cell<bool>,
    /// Whether the current connection has ever allowed requests. If so, its end is logged.
    pub(super) was_connection_usable: Cell<bool>,
    /// Whether capabilities have ever been exchanged with the server.
    pub(super) was_connected: Cell<bool>,
    /// Last Origin-State-Id that the server sent.
    pub(super) state_id: Cell<Option<u32>>,
    /// Current connection, if any.
    pub(super) link: RefCell<Option<Rc<Link>>>,
    /// Pending requests by Hop-by-Hop Identifier.
    pub(super) pending: RefCell<HashMap<u32, PendingRequest>>,
    /// Reduction of requests that the server's overload reports call for.
    pub(super) abatement: RefCell<OverloadAbatement>,
    /// Task that maintains the connection.
    pub(super) task: RefCell<Option<AbortHandle>>,
}

impl Server {
    pub(super) fn new(address: SocketAddr) -> Server {
        Server {
            address,
            is_ready: Cell::new(false),
            is_connection_usable: Cell::new(false),
            was_connection_usable: Cell::new(false),
            was_connected: Cell::new(false),
            state_id: Cell::new(None),
            link: RefCell::default(),
            pending: RefCell::default(),
            abatement: RefCell::default(),
            task: RefCell::default(),
        }
    }

    /// Returns whether new requests may be sent to the server.
    pub(super) fn accepts_requests(&self) -> bool {
        self.is_ready.get() && self.is_connection_usable.get()
    }

    /// Returns the connection to the server, if requests may be sent on it.
    pub(super) fn usable_link(&self) -> Option<Rc<Link>> {
        let link = self.link.borrow().clone();
        link.filter(|link| link.is_open() && self.accepts_requests())
    }

    /// Ends the connection to a server that was removed or has moved to another address, and fails its pending requests.
    pub(super) fn stop(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.fail_pending();
    }

    /// Disconnects the server if it is draining and no requests are pending.
    pub(super) fn disconnect_if_drained(&self) {
        if self.is_ready.get() || !self.pending.borrow().is_empty() {
            return;
        }
        let link = self.link.borrow().clone();
        if let Some(link) = link.filter(|link| link.is_open()) {
            link.disconnect(DisconnectCause::DoNotWantToTalkToYou);
        }
    }

    /// Fails the pending requests that have not begun to be written, as the server accepts no more. It keeps the other
    /// ones for as long as the connection lasts.
    pub(super) fn withdraw_queued(&self) {
        let is_withdrawn = |_: &u32, request: &mut PendingRequest| request.write.withdraw();
        let requests: Vec<_> = self.pending.borrow_mut().extract_if(is_withdrawn).collect();
        for (_, request) in requests {
            let _ = request.answer.send(None);
        }
    }

    /// Fails all pending requests at the end of the connection. A request that was written may have been executed.
    pub(super) fn fail_pending(&self) {
        let link = self.link.borrow().clone();
        for (_, request) in self.pending.borrow_mut().drain() {
            let may_have_executed = link
                .as_ref()
                .is_none_or(|link| link.has_written(request.end));
            if may_have_executed {
                drop(request.answer);
            } else {
                let _ = request.answer.send(None);
            }
        }
    }
}

#[cfg(test)]
mod tests;
