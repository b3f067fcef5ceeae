//! What gateways exchange: admitted use, health reports, and which gateways there are.

use super::Engine;
use frosthatch_traffic_control::{Event, HealthReports};
use std::rc::Rc;

impl Engine {
    /// Takes the admitted use that other gateways report.
    ///
    /// `complete_gateways`: the gateways whose use is completely known. `new_uses`: gateway, customer and units each.
    /// `earlier_uses`: customer and units of use from before a gateway was known.
    pub fn record_peer_usage(
        self: &Rc<Self>,
        complete_gateways: Vec<u32>,
        new_uses: Vec<(u32, u32, f64)>,
        earlier_uses: Vec<(u32, f64)>,
    ) {
        self.feed(Event::UsageReported {
            heard: complete_gateways,
            uses: new_uses,
            past: earlier_uses,
        });
    }

    /// Sets the gateways that are known to admit nothing.
    pub fn set_absent_gateways(self: &Rc<Self>, gateways: Vec<u32>) {
        self.feed(Event::GatewaysAbsent(gateways));
    }

    /// Sets the gateways that are present, by number. Servers are distributed among them.
    pub fn set_gateways(self: &Rc<Self>, gateways: Vec<u32>) {
        self.feed(Event::Gateways(gateways));
    }

    /// Takes the health reports of another gateway on servers.
    pub fn record_health_reports(self: &Rc<Self>, from: u32, reports: HealthReports) {
        self.feed(Event::HealthReports { from, reports });
    }

    /// This gateway's own health reports on servers.
    pub fn health_reports(&self) -> HealthReports {
        self.state.borrow().gateway.health_reports()
    }

    /// The number of gateways that servers are distributed among, of servers that this gateway uses, and of servers that
    /// all gateways have ejected.
    pub fn subset_counts(&self) -> [usize; 3] {
        self.state.borrow().gateway.subset_counts()
    }
}
