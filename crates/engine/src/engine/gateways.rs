//! What gateways exchange: admitted use, health reports, and which gateways there are.

use super::Engine;
use frosthatch_traffic_control::{Event, HealthReports};
use std::rc::Rc;

impl Engine {
    /// Takes the admitted use that other gateways report.
    ///
    /// `heard`: the gateways whose use is completely known. `uses`: new use as gateway, customer and units. `past`: use from
    /// before the gateways were heard of, as customer and units.
    pub fn record_peer_usage(
        self: &Rc<Self>,
        heard: Vec<u32>,
        uses: Vec<(u32, u32, f64)>,
        past: Vec<(u32, f64)>,
    ) {
        self.feed(Event::UsageReported { heard, uses, past });
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
        self.state.borrow().gateway.words()
    }

    /// The number of gateways that servers are distributed among, of servers that this gateway uses, and of servers that
    /// all gateways have ejected.
    pub fn subset_counts(&self) -> [usize; 3] {
        self.state.borrow().gateway.choices()
    }
}
