//! Registry of the listed endpoints: combines the source's lists with operator marks and updates the engine.

use crate::endpoint_table::{EndpointTable, OperatorMark};
use frosthatch_engine::{Endpoint, EndpointState, Engine};
use frosthatch_traffic_control::ListKind;
use std::cell::RefCell;
use std::rc::Rc;

/// Holds the listed endpoints and the operator marks, and passes every change to the engine.
pub struct EndpointRegistry {
    engine: Rc<Engine>,
    table: RefCell<EndpointTable>,
}

impl EndpointRegistry {
    /// Creates an empty registry that passes changes to `engine`.
    pub fn new(engine: Rc<Engine>) -> Rc<EndpointRegistry> {
        Rc::new(EndpointRegistry {
            engine,
            table: RefCell::default(),
        })
    }

    /// Takes an endpoint out of service; returns whether the endpoint is known. The engine has applied the change when
    /// the method returns.
    pub fn take_out(&self, uid: &str) -> bool {
        // Wall-clock time, because the mark's time is compared with the start times in lists.
        let wall_clock_us = self.engine.wall_clock_us();
        let update = self.table.borrow_mut().take_out(wall_clock_us, uid);
        self.apply_mark_update(update)
    }

    /// Puts an endpoint back into service; returns whether the endpoint is known.
    pub fn put_back(&self, uid: &str) -> bool {
        // Wall-clock time, because the mark's time is compared with the start times in lists.
        let wall_clock_us = self.engine.wall_clock_us();
        let update = self.table.borrow_mut().put_back(wall_clock_us, uid);
        self.apply_mark_update(update)
    }

    /// Passes the update that results from a changed mark to the engine. Returns whether there is an update; `None`
    /// means that the endpoint is unknown.
    fn apply_mark_update(&self, update: Option<Vec<Endpoint>>) -> bool {
        let Some(endpoints) = update else {
            return false;
        };
        self.engine.update_endpoints(ListKind::Partial, endpoints);
        true
    }

    /// Returns the operator mark on an endpoint.
    pub fn mark(&self, uid: &str) -> Option<OperatorMark> {
        self.table.borrow().mark(uid)
    }

    /// Returns all operator marks, by the uid of the endpoint.
    pub fn marks(&self) -> Vec<(String, OperatorMark)> {
        let table = self.table.borrow();
        let marks = table.marks();
        marks.map(|(uid, mark)| (uid.clone(), *mark)).collect()
    }

    /// Sets a mark that another process of this gateway passed on in a hot restart.
    pub fn set_mark(&self, uid: &str, mark: OperatorMark) {
        let endpoints = self.table.borrow_mut().set_mark(uid, mark);
        self.engine.update_endpoints(ListKind::Partial, endpoints);
    }

    /// Returns the number of listed endpoints, and the number of those that are not ready.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        let table = self.table.borrow();
        let listed = table.source_endpoints().count();
        let not_ready = table
            .effective_endpoints()
            .filter(|endpoint| endpoint.state != EndpointState::Ready)
            .count();
        (listed, not_ready)
    }

    /// Applies a list, or a change to the list, from the source.
    pub(crate) fn update_endpoints(&self, kind: ListKind, endpoints: Vec<Endpoint>) {
        let now_us = self.engine.now_us();
        let endpoints = self
            .table
            .borrow_mut()
            .apply_update(now_us, kind, endpoints);
        self.engine.update_endpoints(kind, endpoints);
    }

    /// Returns the engine's monotonic time in microseconds, which starts at the Unix time of the process start.
    pub(crate) fn now_us(&self) -> u64 {
        self.engine.now_us()
    }

    /// Returns the listed endpoints as received from the source.
    pub(crate) fn source_endpoints(&self) -> Vec<Endpoint> {
        self.table.borrow().source_endpoints().cloned().collect()
    }

    /// Prepares for another source, whose first list is complete.
    pub(crate) fn begin_takeover(&self) {
        self.table.borrow_mut().begin_takeover();
    }

    /// Removes endpoints that only the previous source listed and whose drain time is over.
    pub(crate) fn remove_drained(&self) {
        let gone = self.table.borrow_mut().remove_drained(self.engine.now_us());
        self.engine.update_endpoints(ListKind::Partial, gone);
    }
}
