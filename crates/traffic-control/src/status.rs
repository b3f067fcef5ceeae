//! What is seen of a gateway from outside, and what it sees of its attempts. No decisions.

use crate::counter_rate_limit::MAX_SMALL_FLEET_GATEWAYS;
use crate::gateway::Gateway;
use crate::interface::{AttemptOutcome, HealthReports, ServerId};

impl Gateway {
    /// Requests not yet done with, attempts still out included.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Ready servers that hardly any request goes to, as more of them failed there than not.
    pub fn avoided(&self) -> usize {
        self.fleet.avoided_servers(self.now)
    }

    /// Gateways among which servers are dealt out; ready servers that this one uses; and those that all leave alone by what they
    /// say to each other.
    pub fn choices(&self) -> [usize; 3] {
        let ready = self.fleet.ready_servers().count();
        let used = if self.fleet.subset_share < 1.0 {
            self.fleet.candidates.len()
        } else {
            ready
        };
        [
            self.fleet.subset.gateway_count(),
            used,
            self.fleet.outlier_signals.all_out(),
        ]
    }

    /// What this gateway says of servers: those in trouble as seen from here, and those that others say are and that are well.
    pub fn words(&self) -> HealthReports {
        self.fleet.health_reports(self.now)
    }

    /// An attempt ended: what it tells of its server and its class.
    pub(crate) fn record_attempt_end(
        &mut self,
        o: &AttemptOutcome,
        class: usize,
        units: f64,
        server: &ServerId,
    ) {
        let Some((warmth, ready)) =
            self.fleet
                .record_end(server, &self.settings.slow_start, self.now)
        else {
            return;
        };
        let ratio = self
            .server_latency
            .record_attempt(class, units, o.status, o.elapsed_us, ready)
            * warmth;
        self.fleet.record_outcome(
            server,
            o.status,
            ratio,
            self.now,
            self.settings.gateways > MAX_SMALL_FLEET_GATEWAYS,
        );
    }
}
