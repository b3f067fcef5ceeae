//! Processes what gateways exchange: admitted use, health reports and the set of present gateways.

use super::Engine;
use frosthatch_traffic_control::{Event, HealthReports};
use std::rc::Rc;

impl Engine {
    /// Processes the admitted use that other gateways report.
    ///
    /// `complete_gateways`: the numbers of the gateways whose use is completely known. `new_uses`: the number of the
    /// gateway, the tag of the customer and the units admitted. `earlier_uses`, for use whose gateway was not yet
    /// known: the tag of the customer and the units admitted.
    pub fn record_peer_usage(
        self: &Rc<Self>,
        complete_gateways: Vec<u32>,
        new_uses: Vec<(u32, u32, f64)>,
        earlier_uses: Vec<(u32, f64)>,
    ) {
        self.feed(Event::UsageReported {
            complete_gateways,
            uses: new_uses,
            earlier_uses,
        });
    }

    /// Sets the gateways, by number, that are known to admit no requests because they have left or have never joined.
    pub fn set_absent_gateways(self: &Rc<Self>, gateways: Vec<u32>) {
        self.feed(Event::GatewaysAbsent(gateways));
    }

    /// Sets the gateways, by number, that are present. Servers are distributed among them.
    pub fn set_gateways(self: &Rc<Self>, gateways: Vec<u32>) {
        self.feed(Event::Gateways(gateways));
    }

    /// Processes the health reports on servers that the gateway with the number `from` has sent.
    pub fn record_health_reports(self: &Rc<Self>, from: u32, reports: HealthReports) {
        self.feed(Event::HealthReports { from, reports });
    }

    /// Returns this gateway's own health reports on servers.
    pub fn health_reports(&self) -> HealthReports {
        self.state.borrow().gateway.health_reports()
    }

    /// Returns three counts: the gateways that servers are distributed among, the servers that this gateway uses, and
    /// the servers that all gateways have ejected.
    pub fn subset_counts(&self) -> [usize; 3] {
        self.state.borrow().gateway.subset_counts()
    }
}
