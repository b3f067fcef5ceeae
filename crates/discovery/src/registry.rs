//! The endpoint lists of the source that is followed and the marks of operators, on their way to the engine.

use crate::endpoint_table::{EndpointTable, OperatorMark};
use frosthatch_engine::{Endpoint, EndpointState, Engine};
use frosthatch_traffic_control::ListKind;
use std::cell::RefCell;
use std::rc::Rc;

/// Holds the endpoints that are listed and what operators did to them, and passes every change to the engine.
pub struct EndpointRegistry {
    engine: Rc<Engine>,
    table: RefCell<EndpointTable>,
}

impl EndpointRegistry {
    /// An empty registry in front of this engine.
    pub fn new(engine: Rc<Engine>) -> Rc<EndpointRegistry> {
        Rc::new(EndpointRegistry {
            engine,
            table: RefCell::default(),
        })
    }

    /// Takes an endpoint out by hand; returns whether it is known. The engine has it as draining when this returns.
    pub fn take_out(&self, uid: &str) -> bool {
        // Wall clock, because it is compared with the start times in lists.
        let now_us = self.engine.wall_clock_us();
        let update = self.table.borrow_mut().take_out(now_us, uid);
        self.pass_on_mark(update)
    }

    /// Puts an endpoint back; returns whether it is known.
    pub fn put_back(&self, uid: &str) -> bool {
        // Wall clock, because it is compared with the start times in lists.
        let now_us = self.engine.wall_clock_us();
        let update = self.table.borrow_mut().put_back(now_us, uid);
        self.pass_on_mark(update)
    }

    /// Passes the effect of a mark to the engine; returns whether the endpoint is known.
    fn pass_on_mark(&self, update: Option<Vec<Endpoint>>) -> bool {
        let Some(endpoints) = update else {
            return false;
        };
        self.engine.update_endpoints(ListKind::Partial, endpoints);
        true
    }

    /// The mark of an operator on an endpoint.
    pub fn mark(&self, uid: &str) -> Option<OperatorMark> {
        self.table.borrow().mark(uid)
    }

    /// All marks, by the uid of the endpoint.
    pub fn marks(&self) -> Vec<(String, OperatorMark)> {
        let table = self.table.borrow();
        let marks = table.marks();
        marks.map(|(uid, mark)| (uid.clone(), *mark)).collect()
    }

    /// Sets a mark that was made in another process of this gateway.
    pub fn set_mark(&self, uid: &str, mark: OperatorMark) {
        let endpoints = self.table.borrow_mut().set_mark(uid, mark);
        self.engine.update_endpoints(ListKind::Partial, endpoints);
    }

    /// The number of endpoints that are listed, and how many of them are not ready.
    pub fn listed(&self) -> (usize, usize) {
        let table = self.table.borrow();
        let listed = table.source_endpoints().count();
        let not_ready = table
            .effective_endpoints()
            .filter(|endpoint| endpoint.state != EndpointState::Ready)
            .count();
        (listed, not_ready)
    }

    /// Applies a list, or a change of the list, from the source.
    pub(crate) fn update_endpoints(&self, kind: ListKind, endpoints: Vec<Endpoint>) {
        let now_us = self.engine.now_us();
        let endpoints = self
            .table
            .borrow_mut()
            .apply_update(now_us, kind, endpoints);
        self.engine.update_endpoints(kind, endpoints);
    }

    /// The engine's monotonic time in microseconds.
    pub(crate) fn now_us(&self) -> u64 {
        self.engine.now_us()
    }

    /// The endpoints that are listed, as the source gave them.
    pub(crate) fn source_endpoints(&self) -> Vec<Endpoint> {
        self.table.borrow().source_endpoints().cloned().collect()
    }

    /// Prepares for another source, whose first list is a complete one.
    pub(crate) fn begin_takeover(&self) {
        self.table.borrow_mut().begin_takeover();
    }

    /// Removes endpoints that the previous source listed and the present one does not, once they had time to drain.
    pub(crate) fn remove_drained(&self) {
        let gone = self.table.borrow_mut().remove_drained(self.engine.now_us());
        self.engine.update_endpoints(ListKind::Partial, gone);
    }
}
