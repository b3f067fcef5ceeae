//! The start times of servers on the gateway's monotonic clock.
//!
//! Endpoint lists state when a server started by the wall clock, which may be stepped at any time. A listed start time
//! is converted once, when it is first seen: into an age by the wall clock of that moment, and from the age into
//! monotonic time. A start time that cannot be correct is replaced by a plausible one, such that a new server still
//! gets a slow start and a fleet of warm servers stays usable.

use crate::ports::{Endpoint, EndpointState};
use frosthatch_traffic_control::Micros;
use std::collections::HashMap;

/// The longest time from a server's start until a list names it.
const MAX_DISCOVERY_DELAY_US: Micros = 2_500_000;
/// The number of servers above which those that were listed longest ago are evicted.
const MAX_SERVERS: usize = 16_384;
/// The start time by which traffic control represents a server that has been running for a long time.
const LONG_AGO_US: Micros = 0;

/// The start time of a server, as listed and as resolved.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    /// The start time that the list states, in Unix milliseconds.
    listed_start_ms: u64,
    /// The start time on the gateway's monotonic clock.
    started_us: Micros,
    /// When a list last named the server, on the gateway's monotonic clock.
    last_listed_us: Micros,
}

/// Whether discovery has delivered a list to this process before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrder {
    /// The list is the persisted one or the first from discovery: its servers may have been running for any time.
    First,
    /// The list is a later one: a server that is new in it has started since the previous list.
    Later,
}

/// The clock values and the list order for which start times are resolved.
struct ResolutionContext {
    now_us: Micros,
    wall_clock_us: Micros,
    order: ListOrder,
    /// Whether this is a first list in which most servers state a start time in the future.
    is_wall_clock_behind: bool,
}

/// The resolved start times of the servers listed so far, by server identifier.
#[derive(Debug, Default)]
pub struct StartTimes {
    servers: HashMap<String, KnownStart>,
    last_list_us: Micros,
}

impl StartTimes {
    /// Returns the start time of each server on the monotonic clock, in the order of `endpoints`; [`LONG_AGO_US`] for a
    /// server that states no start time, or a future one while the wall clock is behind. `wall_clock_us`: the current
    /// time of the wall clock, in microseconds since the Unix epoch.
    pub fn resolve(
        &mut self,
        now_us: Micros,
        wall_clock_us: Micros,
        order: ListOrder,
        endpoints: &[Endpoint],
    ) -> Vec<Micros> {
        let context = ResolutionContext {
            now_us,
            wall_clock_us,
            order,
            is_wall_clock_behind: order == ListOrder::First
                && most_starts_are_in_the_future(wall_clock_us, endpoints),
        };
        let starts: Vec<Micros> = endpoints
            .iter()
            .map(|endpoint| self.resolve_endpoint(&context, endpoint))
            .collect();
        for (endpoint, started_us) in endpoints.iter().zip(&starts) {
            let known = KnownStart {
                listed_start_ms: endpoint.started_ms,
                started_us: *started_us,
                last_listed_us: now_us,
            };
            self.servers.insert(endpoint.uid.clone(), known);
        }
        self.last_list_us = now_us;
        self.evict_oldest();
        starts
    }

    /// Returns the known start time of a server, or converts the listed one if it is new.
    fn resolve_endpoint(&self, context: &ResolutionContext, endpoint: &Endpoint) -> Micros {
        match self.servers.get(&endpoint.uid) {
            Some(known) if known.listed_start_ms == endpoint.started_ms => known.started_us,
            known => self.convert_listed_start(context, known, endpoint),
        }
    }

    /// Converts a listed start time that is seen for the first time. `known`: the server's previous start.
    fn convert_listed_start(
        &self,
        context: &ResolutionContext,
        known: Option<&KnownStart>,
        endpoint: &Endpoint,
    ) -> Micros {
        if endpoint.started_ms == 0 {
            return LONG_AGO_US;
        }
        let listed_start_us = endpoint.started_ms.saturating_mul(1_000);
        let Some(age_us) = context.wall_clock_us.checked_sub(listed_start_us) else {
            // The start time is in the future, so the wall clocks of gateway and server differ by an unknown amount and
            // no age can be computed. The server counts as warm if the gateway's clock is behind, and as just started
            // otherwise.
            return if context.is_wall_clock_behind {
                LONG_AGO_US
            } else {
                context.now_us
            };
        };
        // The server started after the last list that stated another start time for it or did not name it; a list may
        // lag by up to `MAX_DISCOVERY_DELAY_US`. The result is at least 1, as 0 is `LONG_AGO_US`.
        let earliest_us = match (known, context.order) {
            (Some(known), _) => known.last_listed_us,
            (None, ListOrder::Later) => self.last_list_us,
            (None, ListOrder::First) => 0,
        };
        context
            .now_us
            .saturating_sub(age_us)
            .max(earliest_us.saturating_sub(MAX_DISCOVERY_DELAY_US))
            .max(1)
    }

    /// Evicts the servers that were listed longest ago once there are more than `MAX_SERVERS`, about down to half of
    /// that.
    fn evict_oldest(&mut self) {
        if self.servers.len() <= MAX_SERVERS {
            return;
        }
        let mut listed_us: Vec<Micros> = self
            .servers
            .values()
            .map(|server| server.last_listed_us)
            .collect();
        listed_us.sort_unstable();
        let oldest_retained_us = listed_us[listed_us.len() - MAX_SERVERS / 2];
        self.servers
            .retain(|_, server| server.last_listed_us >= oldest_retained_us);
    }
}

/// Returns whether more than half of the ready servers state a start time in the future. Ready servers are running, so
/// the wall clock must be behind.
fn most_starts_are_in_the_future(wall_clock_us: Micros, endpoints: &[Endpoint]) -> bool {
    let ready = endpoints
        .iter()
        .filter(|endpoint| endpoint.state == EndpointState::Ready);
    let in_the_future = ready
        .clone()
        .filter(|endpoint| endpoint.started_ms.saturating_mul(1_000) > wall_clock_us);
    in_the_future.count() * 2 > ready.count()
}

#[cfg(test)]
mod tests;
