//! Which server a request goes to: the cheapest by its load, its warmth and its recent outcomes, among those that the
//! rules allow. A server in slow start is not overloaded, a failing one is left alone until it may have recovered, nothing
//! goes to one that drains, and many gateways do not begin with the same.

use crate::counter::MAX_SMALL_FLEET_GATEWAYS;
use crate::fleet::ServerFleet;
use crate::gateway::Gateway;
use crate::interface::{Health, Micros, RequestId, ServerId, Settings};
use crate::random::random_unit;
use crate::server::{Assessment, Server};
use crate::zones::ZoneErrors;
use frosthatch_load_balancing::{rotating_lease, subset::SubsetSize};
use rand_pcg::rand_core::RngCore;
use std::sync::Arc;

/// Slowness up to this is noise: work differs more than servers do.
const NOISE_SLOWNESS: f64 = 1.5;
/// The least part of one request's load that is random, so that gateways begin with different servers.
const MIN_RANDOM_LOAD: f64 = 0.3;
/// A server that fails everything is so many times dearer.
const ERROR_COST: f64 = 10.0;
/// Share of the slow-start budget that all gateways use: half as much again is saved up.
const SLOW_START_BUDGET_SHARE: f64 = 0.5;
/// Servers that one of many gateways uses: each is met again within about a second, and each is used by a few gateways.
const SUBSET_SIZE: SubsetSize = SubsetSize { least: 7, users: 3 };
/// In each interval one of its users tries an ejected server: shorter than health reports last.
const EJECTED_RETRY_INTERVAL_US: Micros = 4_000_000;
/// Servers compared for a request: of more, so many drawn at random are as good as all.
const MAX_COMPARED_SERVERS: usize = 64;

/// The server that an attempt goes to.
pub(super) struct ServerChoice {
    pub server: ServerId,
    /// Sends that are saved up for it, this one included.
    pub available_sends: f64,
}

/// What the costs of all servers have in common for one request.
struct CostContext<'a> {
    zones: ZoneErrors<'a>,
    assessment_half_life_us: f64,
    /// A server of unit size is due for a request in such intervals.
    even_interval_us: f64,
    /// The part of one request's load that is random: more the less of the load is seen from here.
    random_load: f64,
}

impl<'a> CostContext<'a> {
    fn new(fleet: &'a ServerFleet, settings: &Settings, now: Micros) -> Self {
        let totals = fleet.totals(&settings.slow_start, now);
        let used_size = fleet.subset_share * totals.ready_size;
        let unseen_share = 1.0 - 2.0 / f64::from(settings.gateways);
        CostContext {
            zones: fleet.zones.at(now),
            assessment_half_life_us: fleet.assessment_half_life_us(now),
            even_interval_us: used_size / fleet.sends_per_s(now) * 1e6,
            random_load: unseen_share.max(MIN_RANDOM_LOAD),
        }
    }
}

/// The cheapest server so far.
struct Candidate<'a> {
    /// Whether this request tried it before: only where nothing else is left.
    is_last_resort: bool,
    cost: f64,
    server: &'a ServerId,
    available_sends: f64,
}

impl Candidate<'_> {
    fn is_better_than(&self, other: &Candidate) -> bool {
        (self.is_last_resort, self.cost) < (other.is_last_resort, other.cost)
    }
}

impl Gateway {
    /// Assigns the ready servers that this gateway uses. One of many meets each of a few often enough to know it, and
    /// keeps its connections.
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
            // A repeat may find only servers there that had it before, any request only failing ones: then others are
            // better.
            let choice = self.cheapest_server(id, Some(&candidates));
            if choice.as_ref().is_some_and(|c| self.is_good_choice(id, c)) {
                return choice;
            }
        } else if !candidates.is_empty() {
            // None of these may be allowed, for a request that may only go to a few.
            let sample = self.sample_servers(&candidates);
            let choice = self.cheapest_server(id, Some(&sample));
            if choice.is_some() {
                return choice;
            }
        }
        self.cheapest_server(id, None)
    }

    fn sample_servers(&mut self, candidates: &Arc<[ServerId]>) -> Vec<ServerId> {
        let count = candidates.len() as u64;
        let mut draw = || {
            let index = (u64::from(self.rng.next_u32()) * count) >> 32;
            candidates[index as usize].clone()
        };
        (0..MAX_COMPARED_SERVERS).map(|_| draw()).collect()
    }

    /// Whether the request has not tried this server yet, and the server does not mostly fail.
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

    /// Whether it is this gateway's turn to try an ejected server, and it has not yet.
    fn may_retry_ejected(&self, server: &Server) -> bool {
        let subset = &self.fleet.subset;
        let has_turn = rotating_lease::holds(
            subset.own_key(),
            server.hash_key,
            subset.gateways_using(server.hash_key).into_iter(),
            self.now,
            EJECTED_RETRY_INTERVAL_US,
        );
        let turn_began = self.now - self.now % EJECTED_RETRY_INTERVAL_US;
        has_turn && server.in_flight == 0 && server.assessed_at < turn_began
    }

    /// The cheapest of `among`, or of all servers.
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
        let some = among
            .unwrap_or_default()
            .iter()
            .filter_map(|name| servers.get_key_value(name));
        let mut best: Option<Candidate> = None;
        for (name, server) in all.chain(some) {
            let warmth = server.warmth(&self.settings.slow_start, now);
            let available_sends = self.available_sends(name, server, warmth);
            let is_allowed = server.health == Health::Ready
                && server.pool == request.pool
                && request.may_send(&self.settings, server, now);
            if !is_allowed || available_sends < 1.0 {
                continue;
            }
            let random = random_unit(&mut self.rng);
            let candidate = Candidate {
                is_last_resort: request.has_tried(name),
                cost: self.server_cost(server, warmth, &context, random),
                server: name,
                available_sends,
            };
            if best.as_ref().is_none_or(|b| candidate.is_better_than(b)) {
                best = Some(candidate);
            }
        }
        best.map(|candidate| ServerChoice {
            server: candidate.server.clone(),
            available_sends: candidate.available_sends,
        })
    }

    /// Sends that this gateway may make to a server now; a warm one takes any number.
    fn available_sends(&self, name: &ServerId, server: &Server, warmth: f64) -> f64 {
        if warmth < 1.0 {
            self.slow_start_sends(name, server, warmth)
        } else {
            1.0
        }
    }

    /// Sends left in this gateway's part of the budget of a server in slow start, saved up from a random part so that many
    /// gateways take turns: a multiple of what servers were seen to do, or a share of one core's work. Both go by idle
    /// servers: a fleet that grows slow must not give less to its cold ones.
    fn slow_start_sends(&self, name: &ServerId, server: &Server, warmth: f64) -> f64 {
        let slow_start = &self.settings.slow_start;
        let fleet = &self.fleet;
        // Gateways that have no warm server left in their subset do not turn to the cold ones of others.
        if fleet.subset_share < 1.0 && !fleet.candidates.contains(name) {
            return 0.0;
        }
        let core_per_s =
            1.0 / self.server_latency.idle_attempt_s / f64::from(self.settings.gateways);
        let warm_per_s = core_per_s.max(self.server_latency.throughput * server.share);
        // Only gateways that have it in their subset send to it.
        let sends_per_s =
            slow_start.overload_multiple * SLOW_START_BUDGET_SHARE * warmth * warm_per_s
                / fleet.subset_share;
        let window_s = slow_start.overload_after_us as f64 / 1e6;
        let credit = server.slow_start_credit;
        let elapsed_us = self.now.saturating_sub(credit.as_of);
        let saved = credit.sends + sends_per_s * elapsed_us as f64 / 1e6;
        saved.min((sends_per_s * window_s / 2.0).max(1.0))
    }

    /// The load of a server for its size, times what is known of its latency, its errors and its zone.
    fn server_cost(&self, server: &Server, warmth: f64, context: &CostContext, random: f64) -> f64 {
        let assessment = self.assess_server(server, context);
        // A server in slow start looks dear as long as any other is idle: it has its even share all the same, and warms up.
        let even_interval_us = context.even_interval_us / (server.share * warmth);
        let unused_us = self.now.saturating_sub(server.slow_start_credit.as_of) as f64;
        let is_due = warmth < 1.0 && unused_us >= even_interval_us;
        let load = if is_due {
            0.0
        } else {
            f64::from(server.in_flight) + 1.0 - context.random_load * random
        };
        let zone_cost = if server.group.0 == self.settings.zone {
            1.0
        } else {
            1.0 + self.settings.cross_zone_cost
        };
        load / (server.share * warmth)
            * (assessment.slowness_ratio / NOISE_SLOWNESS).max(1.0)
            * (1.0 + ERROR_COST * assessment.error_rate)
            * zone_cost
    }

    fn assess_server(&self, server: &Server, context: &CostContext) -> Assessment {
        if !self.fleet.outlier_signals.is_ejected(server.hash_key) {
            let zone_error_rate = context.zones.error_rate(&server.group.0);
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
            slowness_ratio: NOISE_SLOWNESS,
            error_rate: 1.0,
        }
    }
}
