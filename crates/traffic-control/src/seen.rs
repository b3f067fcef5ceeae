//! What is seen of a gateway from outside, and what it sees of its attempts. No decisions.

use crate::calls::FEW;
use crate::gateway::Gateway;
use crate::interface::{AttemptOutcome, HealthReports, ServerId};

impl Gateway {
    /// Requests not yet done with, attempts still out included.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Ready servers that hardly any request goes to, as more of them failed there than not.
    pub fn avoided(&self) -> usize {
        self.fleet.avoided(self.now)
    }

    /// Gateways among which servers are dealt out; ready servers that this one uses; and those that all leave alone by what they
    /// say to each other.
    pub fn choices(&self) -> [usize; 3] {
        let ready = self.fleet.ready().count();
        let used = if self.fleet.part < 1.0 {
            self.fleet.names.len()
        } else {
            ready
        };
        [
            self.fleet.subset.gateways(),
            used,
            self.fleet.common.all_out(),
        ]
    }

    /// What this gateway says of servers: those in trouble as seen from here, and those that others say are and that are well.
    pub fn words(&self) -> HealthReports {
        self.fleet.words(self.now)
    }

    /// An attempt ended: what it tells of its server and its class.
    pub(crate) fn measure(
        &mut self,
        o: &AttemptOutcome,
        class: usize,
        units: f64,
        server: &ServerId,
    ) {
        let Some((warmth, ready)) = self.fleet.ended(server, &self.set.slow_start, self.now) else {
            return;
        };
        let ratio = self
            .pace
            .measure(class, units, o.status, o.elapsed_us, ready)
            * warmth;
        self.fleet
            .judge(server, o.status, ratio, self.now, self.set.gateways > FEW);
    }
}
