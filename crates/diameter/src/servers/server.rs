//! The state of one server.

use crate::codec::Message;
use crate::link::Link;
use crate::overload::OverloadAbatement;
use crate::peer::DisconnectCause;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// A request that waits for its answer.
pub(super) struct PendingRequest {
    /// Receives the answer, or `None` if the request was never written. It is dropped if the server may have executed the
    /// request and no answer is to be expected.
    pub(super) answer: oneshot::Sender<Option<Message>>,
    /// Position of the request's end in the connection's byte stream.
    pub(super) end: u64,
}

/// One server, whether it is connected or not.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    /// The endpoint list allows new requests.
    pub(super) is_ready: Cell<bool>,
    /// Its watchdog allows requests.
    pub(super) is_okay: Cell<bool>,
    /// Requests were allowed on this connection: its end is worth a log line.
    pub(super) was_okay: Cell<bool>,
    /// It was connected before.
    pub(super) was_up: Cell<bool>,
    /// The last Origin-State-Id.
    pub(super) state_id: Cell<Option<u32>>,
    pub(super) link: RefCell<Option<Rc<Link>>>,
    /// By Hop-by-Hop Identifier.
    pub(super) pending: RefCell<HashMap<u32, PendingRequest>>,
    pub(super) abatement: RefCell<OverloadAbatement>,
    /// The task that maintains the connection.
    pub(super) task: RefCell<Option<AbortHandle>>,
}

impl Server {
    pub(super) fn new(address: SocketAddr) -> Server {
        Server {
            address,
            is_ready: Cell::new(false),
            is_okay: Cell::new(false),
            was_okay: Cell::new(false),
            was_up: Cell::new(false),
            state_id: Cell::new(None),
            link: RefCell::default(),
            pending: RefCell::default(),
            abatement: RefCell::default(),
            task: RefCell::default(),
        }
    }

    /// Whether new requests may be sent to it.
    pub(super) fn accepts_requests(&self) -> bool {
        self.is_ready.get() && self.is_okay.get()
    }

    /// Its connection, if requests may be sent on it.
    pub(super) fn usable_link(&self) -> Option<Rc<Link>> {
        let link = self.link.borrow().clone();
        link.filter(|link| link.is_open() && self.accepts_requests())
    }

    /// Ends the connection of a server that was removed or has moved to another address.
    pub(super) fn stop(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.fail_pending();
    }

    /// Disconnects a draining server once no requests are pending.
    pub(super) fn disconnect_if_drained(&self) {
        if self.is_ready.get() || !self.pending.borrow().is_empty() {
            return;
        }
        let link = self.link.borrow().clone();
        if let Some(link) = link.filter(|link| link.is_open()) {
            link.disconnect(DisconnectCause::DoNotWantToTalkToYou);
        }
    }

    /// Ends all pending requests. One that was written may have been executed.
    pub(super) fn fail_pending(&self) {
        let link = self.link.borrow().clone();
        for (_, request) in self.pending.borrow_mut().drain() {
            let may_have_run = link
                .as_ref()
                .is_none_or(|link| link.has_written(request.end));
            if may_have_run {
                drop(request.answer);
            } else {
                let _ = request.answer.send(None);
            }
        }
    }
}
