//! What is seen of a gateway from outside, and what it learns from the end of an attempt. No decisions.

use crate::counter::MAX_SMALL_FLEET_GATEWAYS;
use crate::gateway::Gateway;
use crate::interface::{AttemptOutcome, HealthReports, ServerId};

impl Gateway {
    /// Requests that are not done, those with attempts still in flight included.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Ready servers that hardly any request goes to, as more of them failed there than not.
    pub fn avoided_server_count(&self) -> usize {
        self.fleet.avoided_servers(self.now)
    }

    /// Gateways among which servers are assigned; ready servers that this one uses; and servers that all gateways eject by
    /// their health reports.
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

    /// What this gateway reports of servers: those that fail as seen from here, and healthy ones that others report as
    /// failing.
    pub fn health_reports(&self) -> HealthReports {
        self.fleet.health_reports(self.now)
    }

    /// Records what the end of an attempt says of its server and its class.
    pub(crate) fn record_attempt_end(
        &mut self,
        outcome: &AttemptOutcome,
        class: usize,
        units: f64,
        server: &ServerId,
    ) {
        let slow_start = &self.settings.slow_start;
        let Some(at_end) = self.fleet.record_end(server, slow_start, self.now) else {
            return;
        };
        let latency_ratio = self.server_latency.record_attempt(
            class,
            units,
            outcome.status,
            outcome.elapsed_us,
            at_end.is_ready,
        ) * at_end.warmth;
        let counts_for_zone = self.settings.gateways > MAX_SMALL_FLEET_GATEWAYS;
        self.fleet.record_outcome(
            server,
            outcome.status,
            latency_ratio,
            self.now,
            counts_for_zone,
        );
    }
}
