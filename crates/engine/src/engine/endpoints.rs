//! Passes the endpoints that discovery delivers to the endpoint observers and to traffic control.

use super::Engine;
use crate::ports::{Endpoint, EndpointState};
use crate::start_times::ListOrder;
use frosthatch_traffic_control::{Event, Health, ListKind, Micros, ServerEntry, ServerId};
use std::rc::Rc;
use std::time::Duration;

/// How long the gateway waits for a list from discovery before it serves requests with the persisted one.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);

impl Engine {
    /// Returns whether requests can be served: with an endpoint list received since the process started or, while
    /// discovery is unavailable, with the persisted list.
    pub fn is_ready(&self) -> bool {
        self.has_current_list.get()
            || self.has_persisted_endpoints.get() && self.clock.uptime() >= FIRST_LIST_TIMEOUT
    }

    /// Returns the number of ready servers that are avoided as outliers.
    pub fn avoided_endpoints(&self) -> usize {
        self.state.borrow().gateway.avoided_server_count()
    }

    /// Processes an endpoint list, or changes to the current one, according to `kind`.
    pub fn update_endpoints(self: &Rc<Self>, kind: ListKind, endpoints: Vec<Endpoint>) {
        if kind == ListKind::Partial && endpoints.is_empty() {
            return;
        }
        let order = if self.has_current_list.get() {
            ListOrder::Later
        } else {
            ListOrder::First
        };
        let start_times = self.start_times.borrow_mut().resolve(
            self.now_us(),
            self.wall_clock_us(),
            order,
            &endpoints,
        );
        match kind {
            ListKind::Persisted => self.has_persisted_endpoints.set(!endpoints.is_empty()),
            _ => self.has_current_list.set(true),
        }
        for observer in &self.endpoint_observers {
            observer.update(kind != ListKind::Partial, &endpoints);
        }
        let entries = endpoints
            .into_iter()
            .zip(start_times)
            .map(|(endpoint, started_us)| server_entry(endpoint, started_us));
        self.feed(Event::Servers {
            kind,
            entries: entries.collect(),
        });
    }
}

fn server_entry(endpoint: Endpoint, started_us: Micros) -> ServerEntry {
    let health = match endpoint.state {
        EndpointState::Ready => Health::Ready,
        EndpointState::Draining => Health::Draining,
        EndpointState::Gone => Health::Removed,
    };
    ServerEntry {
        server: ServerId(endpoint.uid.into()),
        zone: endpoint.zone,
        cell: endpoint.cell,
        weight: endpoint.weight,
        started_us,
        health,
        pool: endpoint.protocol as u8,
    }
}
