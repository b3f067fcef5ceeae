//! Figures on a gateway's state for status pages and metrics, and the measurements it takes at the end of an attempt.
//! Makes no decisions.

use crate::counter::MAX_SMALL_FLEET_GATEWAYS;
use crate::gateway::Gateway;
use crate::interface::{CompletionStatus, HealthReports, Micros, ServerId};

impl Gateway {
    /// Returns the number of open requests, including answered ones with attempts in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of ready servers that get hardly any requests because most attempts there fail.
    pub fn avoided_server_count(&self) -> usize {
        self.fleet.avoided_server_count(self.now)
    }

    /// Returns three numbers: the gateways that servers are assigned to, the ready servers that this gateway uses, and
    /// the servers that are ejected by the health reports of all gateways.
    pub fn subset_counts(&self) -> [usize; 3] {
        let ready = self.fleet.ready_servers().count();
        let used = if self.fleet.subset_share < 1.0 {
            self.fleet.candidates.len()
        } else {
            ready
        };
        [
            self.fleet.subset.gateway_count(),
            used,
            self.fleet.outlier_signals.ejected_count(),
        ]
    }

    /// Returns this gateway's health reports: on servers whose error rate or slowness exceeds the limit, and on healthy
    /// ones that another gateway reports as unhealthy.
    pub fn health_reports(&self) -> HealthReports {
        self.fleet.health_reports(self.now)
    }

    /// Records an attempt that ended or is overdue in the latency of its class and the assessment of its server.
    pub(crate) fn record_attempt_end(
        &mut self,
        server: &ServerId,
        class: usize,
        units: f64,
        status: CompletionStatus,
        elapsed_us: Micros,
    ) {
        let slow_start = &self.settings.slow_start;
        let Some(server_at_end) = self.fleet.record_attempt_end(server, slow_start, self.now)
        else {
            return;
        };
        let latency_ratio = self.server_latency.record_attempt(
            class,
            units,
            status,
            elapsed_us,
            server_at_end.is_ready,
        ) * server_at_end.warm_capacity_share;
        let counts_for_zone = self.settings.gateways > MAX_SMALL_FLEET_GATEWAYS;
        self.fleet
            .record_outcome(server, status, latency_ratio, self.now, counts_for_zone);
    }
}
