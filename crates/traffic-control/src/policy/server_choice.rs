//! Chooses the server of an attempt: the cheapest by its load, its warm-up and its recent outcomes, among those that
//! the rules allow. A server in slow start is not overloaded, a failing one is avoided until it may have recovered,
//! a draining one gets no requests, and the gateways of a large fleet do not begin with the same server.

use crate::counter::MAX_SMALL_FLEET_GATEWAYS;
use crate::fleet::ServerFleet;
use crate::gateway::Gateway;
use crate::interface::{Health, Micros, RequestId, ServerId, Settings};
use crate::random::random_unit;
use crate::server::{Assessment, Server};
use crate::zones::ZoneErrorRates;
use frosthatch_load_balancing::{rotating_lease, subset::SubsetSize};
use rand_pcg::rand_core::RngCore;
use std::sync::Arc;

/// Slowness ratio up to which differences are noise: work differs more than servers do.
const MAX_NOISE_SLOWNESS_RATIO: f64 = 1.5;
/// Minimum part of one request's load that is random, so that gateways begin with different servers.
const MIN_RANDOM_LOAD: f64 = 0.3;
/// Weight of the error rate in a server's cost: a server that fails every attempt costs this many times more.
const ERROR_COST_WEIGHT: f64 = 10.0;
/// Share of a server's slow-start budget that all gateways together spend steadily. In addition each may save up
/// half a window of its part, half as much again.
const SLOW_START_BUDGET_SHARE: f64 = 0.5;
/// Size of the subset of servers that a gateway of a large fleet uses: at least 7 servers, and so few that it sends
/// to each of them again within about a second, with at least 3 gateways for each server.
const SUBSET_SIZE: SubsetSize = SubsetSize {
    min_servers_per_gateway: 7,
    min_gateways_per_server: 3,
};
/// Interval in which one of the gateways that use an ejected server tries it: shorter than health reports last.
const EJECTED_RETRY_INTERVAL_US: Micros = 4_000_000;
/// Maximum number of servers compared for a request: of more servers, this many drawn at random are as good as all.
const MAX_COMPARED_SERVERS: usize = 64;

/// The server chosen for an attempt.
pub(super) struct ServerChoice {
    pub server: ServerId,
    /// Sends that are saved up for the server, this one included.
    pub available_sends: f64,
}

/// Inputs to the cost that are the same for all servers, for one request.
struct CostContext<'a> {
    zones: ZoneErrorRates<'a>,
    assessment_half_life_us: f64,
    /// Interval between the requests of a server of unit size, if load is spread evenly.
    even_interval_us: f64,
    /// Part of one request's load that is random: the larger, the less of the servers' load this gateway sees.
    random_load: f64,
}

impl<'a> CostContext<'a> {
    fn new(fleet: &'a ServerFleet, settings: &Settings, now: Micros) -> Self {
        let totals = fleet.totals(&settings.slow_start, now);
        let used_size = fleet.subset_share * totals.ready_size;
        let unseen_share = 1.0 - 2.0 / f64::from(settings.gateways);
        CostContext {
            zones: fleet.zones.rates_at(now),
            assessment_half_life_us: fleet.assessment_half_life_us(now),
            even_interval_us: used_size / fleet.sends_per_s(now) * 1e6,
            random_load: unseen_share.max(MIN_RANDOM_LOAD),
        }
    }
}

/// A server compared for a request.
struct Candidate<'a> {
    /// Whether the request has tried the server before: it is then chosen only where no other is left.
    is_last_resort: bool,
    cost: f64,
    server: &'a ServerId,
    available_sends: f64,
}

impl Candidate<'_> {
    fn is_cheaper_than(&self, other: &Candidate) -> bool {
        (self.is_last_resort, self.cost) < (other.is_last_resort, other.cost)
    }
}

impl Gateway {
    /// Assigns the ready servers that this gateway uses. A gateway of a large fleet uses only a few, so that it
    /// sends to each of them often enough to assess it, and keeps its connections.
    pub(super) fn assign_servers(&mut self) {
        let slow_start = &self.settings.slow_start;
        let subset_size = |gateways, ready| {
            SUBSET_SIZE
                .size_for(gateways, ready)
                .filter(|_| gateways > MAX_SMALL_FLEET_GATEWAYS as usize)
        };
        self.fleet
            .assign_subset(slow_start, self.now, subset_size, MAX_COMPARED_SERVERS);
        let totals = self.fleet.totals(slow_start, self.now);
        self.server_latency.record_ready_size(totals.ready_size);
    }

    /// Chooses the cheapest server that the rules allow; `None` where there is none now.
    pub(super) fn choose_server(&mut self, id: RequestId) -> Option<ServerChoice> {
        let request = self.requests.get(&id)?;
        if let Some((server, may_leave)) = request.sticky_server.clone() {
            let is_lost = may_leave && !request.attempts.is_empty();
            let choice = if is_lost {
                None
            } else {
                self.cheapest_server(id, Some(&[server]))
            };
            if choice.is_some() || !may_leave {
                return choice;
            }
        }
        let candidates = self.fleet.candidates.clone();
        if self.fleet.subset_share < 1.0 {
            // In a subset, a repeat may find only servers that already had the request, and any request only
            // failing ones: then servers outside of it are better.
            let choice = self.cheapest_server(id, Some(&candidates));
            if choice.as_ref().is_some_and(|c| self.is_good_choice(id, c)) {
                return choice;
            }
        } else if !candidates.is_empty() {
            // It may be that no server of the sample is allowed, for a request that may only go to a few.
            let sample = self.sample_servers(&candidates);
            let choice = self.cheapest_server(id, Some(&sample));
            if choice.is_some() {
                return choice;
            }
        }
        self.cheapest_server(id, None)
    }

    /// Draws `MAX_COMPARED_SERVERS` servers at random, with repetition.
    fn sample_servers(&mut self, candidates: &Arc<[ServerId]>) -> Vec<ServerId> {
        let count = candidates.len() as u64;
        let mut draw = || {
            let index = (u64::from(self.rng.next_u32()) * count) >> 32;
            candidates[index as usize].clone()
        };
        (0..MAX_COMPARED_SERVERS).map(|_| draw()).collect()
    }

    /// Whether the request has not tried the chosen server yet, and that server does not mostly fail.
    fn is_good_choice(&self, id: RequestId, choice: &ServerChoice) -> bool {
        let is_new = self
            .requests
            .get(&id)
            .is_some_and(|request| !request.has_tried(&choice.server));
        let is_avoided = |server: &Server| {
            self.fleet.mostly_fails(server, self.now) && !self.may_retry_ejected(server)
        };
        is_new
            && !self
                .fleet
                .servers
                .get(&choice.server)
                .is_some_and(is_avoided)
    }

    /// Whether it is this gateway's turn to try an ejected server, and it has not done so in this turn yet.
    fn may_retry_ejected(&self, server: &Server) -> bool {
        let subset = &self.fleet.subset;
        let has_turn = rotating_lease::is_holder(
            subset.own_key(),
            server.hash_key,
            subset.gateways_using(server.hash_key).into_iter(),
            self.now,
            EJECTED_RETRY_INTERVAL_US,
        );
        let turn_began = self.now - self.now % EJECTED_RETRY_INTERVAL_US;
        has_turn && server.in_flight == 0 && server.assessed_at < turn_began
    }

    /// Returns the cheapest allowed server of `among`, or of all servers if that is `None`.
    fn cheapest_server(
        &mut self,
        id: RequestId,
        among: Option<&[ServerId]>,
    ) -> Option<ServerChoice> {
        let now = self.now;
        let request = self.requests.get(&id)?;
        let context = CostContext::new(&self.fleet, &self.settings, now);
        let servers = &self.fleet.servers;
        let all = among.is_none().then_some(servers).into_iter().flatten();
        let listed = among
            .unwrap_or_default()
            .iter()
            .filter_map(|name| servers.get_key_value(name));
        let mut best: Option<Candidate> = None;
        for (name, server) in all.chain(listed) {
            let warm_capacity_share = server.warm_capacity_share(&self.settings.slow_start, now);
            let available_sends = self.available_sends(name, server, warm_capacity_share);
            let is_allowed = server.health == Health::Ready
                && server.pool == request.pool
                && request.may_send(&self.settings, server, now);
            if !is_allowed || available_sends < 1.0 {
                continue;
            }
            let random = random_unit(&mut self.rng);
            let candidate = Candidate {
                is_last_resort: request.has_tried(name),
                cost: self.server_cost(server, warm_capacity_share, &context, random),
                server: name,
                available_sends,
            };
            if best.as_ref().is_none_or(|b| candidate.is_cheaper_than(b)) {
                best = Some(candidate);
            }
        }
        best.map(|candidate| ServerChoice {
            server: candidate.server.clone(),
            available_sends: candidate.available_sends,
        })
    }

    /// Returns the sends that this gateway may make to a server now; a warm one takes any number, for which this
    /// returns 1.
    fn available_sends(&self, name: &ServerId, server: &Server, warm_capacity_share: f64) -> f64 {
        if warm_capacity_share < 1.0 {
            self.slow_start_sends(name, server, warm_capacity_share)
        } else {
            1.0
        }
    }

    /// Returns the sends left in this gateway's part of the budget of a server in slow start. The credit starts at
    /// a random part of one send when a server is new or has restarted, so that many gateways take turns. The
    /// budget follows the larger of the server's part of the best recent throughput and this gateway's part of one
    /// core's throughput. Both are those of idle servers: a fleet that becomes slow must not give less to its cold
    /// servers.
    fn slow_start_sends(&self, name: &ServerId, server: &Server, warm_capacity_share: f64) -> f64 {
        let slow_start = &self.settings.slow_start;
        let fleet = &self.fleet;
        // Gateways without a warm server in their subset do not turn to cold ones outside of it.
        if fleet.subset_share < 1.0 && !fleet.candidates.contains(name) {
            return 0.0;
        }
        let core_per_s =
            1.0 / self.server_latency.idle_attempt_s / f64::from(self.settings.gateways);
        let warm_per_s = core_per_s.max(self.server_latency.throughput * server.weight);
        // Only the gateways that have the server in their subset send to it.
        let sends_per_s = slow_start.overload_multiple
            * SLOW_START_BUDGET_SHARE
            * warm_capacity_share
            * warm_per_s
            / fleet.subset_share;
        let window_s = slow_start.overload_after_us as f64 / 1e6;
        let credit = server.slow_start_credit;
        let elapsed_us = self.now.saturating_sub(credit.as_of);
        let saved = credit.sends + sends_per_s * elapsed_us as f64 / 1e6;
        saved.min((sends_per_s * window_s / 2.0).max(1.0))
    }

    /// Returns the cost of a server: its load relative to its size, times factors for its latency, its errors and
    /// its zone.
    fn server_cost(
        &self,
        server: &Server,
        warm_capacity_share: f64,
        context: &CostContext,
        random: f64,
    ) -> f64 {
        let assessment = self.assess_server(server, context);
        // A server in slow start looks expensive as long as any other is idle. It gets its even share all the same,
        // and so warms up.
        let even_interval_us = context.even_interval_us / (server.weight * warm_capacity_share);
        let unused_us = self.now.saturating_sub(server.slow_start_credit.as_of) as f64;
        let is_due = warm_capacity_share < 1.0 && unused_us >= even_interval_us;
        let load = if is_due {
            0.0
        } else {
            f64::from(server.in_flight) + 1.0 - context.random_load * random
        };
        let zone_cost = if server.zone_and_cell.0 == self.settings.zone {
            1.0
        } else {
            1.0 + self.settings.cross_zone_cost
        };
        load / (server.weight * warm_capacity_share)
            * (assessment.slowness_ratio / MAX_NOISE_SLOWNESS_RATIO).max(1.0)
            * (1.0 + ERROR_COST_WEIGHT * assessment.error_rate)
            * zone_cost
    }

    /// Returns the assessment of a server. An ejected one counts as failing, unless it is this gateway's turn to
    /// try it.
    fn assess_server(&self, server: &Server, context: &CostContext) -> Assessment {
        if !self.fleet.outlier_signals.is_ejected(server.hash_key) {
            let zone_error_rate = context.zones.error_rate(&server.zone_and_cell.0);
            return server.decayed_assessment(
                self.now,
                context.assessment_half_life_us,
                zone_error_rate,
            );
        }
        if self.may_retry_ejected(server) {
            return Assessment {
                slowness_ratio: 1.0,
                error_rate: 0.0,
            };
        }
        Assessment {
            slowness_ratio: MAX_NOISE_SLOWNESS_RATIO,
            error_rate: 1.0,
        }
    }
}
