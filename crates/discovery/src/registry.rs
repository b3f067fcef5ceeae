//! Where the news of whichever source is followed come together with what operators do by hand, on their way to the engine.

use crate::endpoint_table::{EndpointTable, OperatorMark};
use frosthatch_engine::{Endpoint, EndpointState, Engine};
use frosthatch_traffic_control::ListKind;
use std::cell::RefCell;
use std::rc::Rc;

/// Where a source's news go, and what operators do to servers by hand.
pub struct EndpointRegistry {
    engine: Rc<Engine>,
    roster: RefCell<EndpointTable>,
}

impl EndpointRegistry {
    pub fn new(engine: Rc<Engine>) -> Rc<EndpointRegistry> {
        Rc::new(EndpointRegistry {
            engine,
            roster: RefCell::default(),
        })
    }

    /// Takes a server out by hand; whether it is known. It is heard as draining before this returns.
    pub fn take_out(&self, uid: &str) -> bool {
        // As lists tell servers' starts, with which it is compared.
        let now = self.engine.wall_clock_us();
        let known = self.roster.borrow_mut().take_out(now, uid);
        known
            .map(|told| self.engine.update_endpoints(ListKind::Partial, told))
            .is_some()
    }

    /// Puts a server back; whether it is known.
    pub fn put_back(&self, uid: &str) -> bool {
        // As lists tell servers' starts, with which it is compared.
        let now = self.engine.wall_clock_us();
        let known = self.roster.borrow_mut().put_back(now, uid);
        known
            .map(|told| self.engine.update_endpoints(ListKind::Partial, told))
            .is_some()
    }

    /// What operators did to a server by hand.
    pub fn mark(&self, uid: &str) -> Option<OperatorMark> {
        self.roster.borrow().mark(uid)
    }

    /// The same for all, by their names.
    pub fn marks(&self) -> Vec<(String, OperatorMark)> {
        self.roster
            .borrow()
            .marks()
            .map(|(uid, mark)| (uid.clone(), *mark))
            .collect()
    }

    /// Takes over what another process of this gateway was told of a server.
    pub fn set_mark(&self, uid: &str, mark: OperatorMark) {
        let told = self.roster.borrow_mut().set_mark(uid, mark);
        self.engine.update_endpoints(ListKind::Partial, told);
    }

    /// Servers that are listed, and how many of them take nothing new.
    pub fn listed(&self) -> (usize, usize) {
        let roster = self.roster.borrow();
        (
            roster.known().count(),
            roster
                .heard()
                .filter(|m| m.state != EndpointState::Ready)
                .count(),
        )
    }

    pub(crate) fn tell(&self, kind: ListKind, members: Vec<Endpoint>) {
        let members = self
            .roster
            .borrow_mut()
            .hear(self.engine.now(), kind, members);
        self.engine.update_endpoints(kind, members);
    }

    pub(crate) fn now(&self) -> u64 {
        self.engine.now()
    }

    pub(crate) fn known(&self) -> Vec<Endpoint> {
        self.roster.borrow().known().cloned().collect()
    }

    /// Another source tells of the servers from now on, and begins with all of them.
    pub(crate) fn source_moved(&self) {
        self.roster.borrow_mut().take_over();
    }

    /// What the source before told and the one now does not is gone when its time is over.
    pub(crate) fn let_go(&self) {
        let gone = self.roster.borrow_mut().due(self.engine.now());
        self.engine.update_endpoints(ListKind::Partial, gone);
    }
}
