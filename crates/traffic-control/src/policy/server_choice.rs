//! Which server a request goes to: the cheapest by what is out there, how warm it is and what its answers were like, among
//! those that the rules allow.
//! Guards: a cold server is not pushed over, a bad one is left alone until it may be well again, nothing goes to one that
//! drains, and many gateways do not begin with the same.

use super::random_unit;
use crate::counter_rate_limit::MAX_SMALL_FLEET_GATEWAYS;
use crate::gateway::Gateway;
use crate::interface::{Health, Micros, RequestId, ServerId};
use crate::server::Server;
use frosthatch_load_balancing::{rotating_lease, subset::SubsetSize};
use rand_pcg::rand_core::RngCore;

const NOISE_SLOWNESS: f64 = 1.5; // slowness up to this is chance: work differs more than servers do
const MIN_RANDOM_LOAD: f64 = 0.3; // least of a request that is chance in the choice, so gateways begin apart
const ERROR_COST: f64 = 10.0; // times dearer is a server that fails everything
const SLOW_START_BUDGET_SHARE: f64 = 0.5; // of the cold budget that all gateways let themselves use: half as much again is saved up
                                          // Servers that one of many gateways uses: each is met again within about a second, and each is used by a few.
const SUBSET_SIZE: SubsetSize = SubsetSize { least: 7, users: 3 };
const EJECTED_RETRY_INTERVAL_US: Micros = 4_000_000; // µs; one of its users tries a server that is left alone in each: shorter than words last
const MAX_COMPARED_SERVERS: usize = 64; // servers compared for a request: of more, so many drawn by chance are as good as all

impl Gateway {
    /// Which of the ready servers this gateway uses. One of many meets each of a few often enough to know it, and keeps its
    /// connections.
    pub(super) fn assign_servers(&mut self) {
        let size = |gateways, ready| {
            SUBSET_SIZE
                .of(gateways, ready)
                .filter(|_| gateways > MAX_SMALL_FLEET_GATEWAYS as usize)
        };
        self.fleet.assign_subset(
            &self.settings.slow_start,
            self.now,
            size,
            MAX_COMPARED_SERVERS,
        );
        self.server_latency.record_ready_size(
            self.fleet
                .totals(&self.settings.slow_start, self.now)
                .ready_size,
        );
    }

    /// Sends left in this gateway's part of a cold server's budget, saved up from a part drawn by chance, so
    /// that many take turns: a multiple of what servers were seen to do, or a share of one core's work. Both go by
    /// idle servers: a fleet that grows slow must not give its cold ones less.
    fn slow_start_sends(&self, name: &ServerId, s: &Server, warmth: f64) -> f64 {
        let cold = &self.settings.slow_start;
        // Guards against gateways that have no warm server left in their subset and turn to others' cold ones.
        if self.fleet.subset_share < 1.0 && !self.fleet.candidates.contains(name) {
            return 0.0;
        }
        // What it could do warm for this gateway: one core's work, or more as servers of its size were seen to.
        let core = 1.0 / self.server_latency.idle_attempt_s / f64::from(self.settings.gateways);
        let does = core.max(self.server_latency.throughput * s.share);
        // Only those that have it in their subset send to it.
        let rate = cold.overload_multiple * SLOW_START_BUDGET_SHARE * warmth * does
            / self.fleet.subset_share;
        let window_s = cold.overload_after_us as f64 / 1e6;
        let saved = s.slow_start_credit.0
            + rate * self.now.saturating_sub(s.slow_start_credit.1) as f64 / 1e6;
        saved.min((rate * window_s / 2.0).max(1.0))
    }

    /// The cheapest server that the rules allow, and the sends saved up for it: least held for its size, times what is
    /// thought of it.
    pub(super) fn choose_server(&mut self, id: RequestId) -> Option<(ServerId, f64)> {
        let p = self.requests.get(&id)?;
        if let Some((server, may_leave)) = p.sticky_server.clone() {
            let lost = may_leave && !p.attempts.is_empty();
            let there = if lost {
                None
            } else {
                self.cheapest_server(id, Some(&[server]))
            };
            if there.is_some() || !may_leave {
                return there;
            }
        }
        let names = self.fleet.candidates.clone();
        if self.fleet.subset_share < 1.0 {
            let chosen = self.cheapest_server(id, Some(&names));
            // A repeat may find only those there that had it before, any only bad ones: then others are better.
            let new = |(server, _): &(ServerId, f64)| {
                self.requests
                    .get(&id)
                    .is_some_and(|p| p.attempts.iter().all(|a| a.server != *server))
                    && !self.fleet.servers.get(server).is_some_and(|s| {
                        self.fleet.mostly_fails(s, self.now) && !self.may_retry_ejected(s)
                    })
            };
            if chosen.as_ref().is_some_and(new) {
                return chosen;
            }
        } else if !names.is_empty() {
            let ready = names.len() as u64;
            let rng = &mut self.rng;
            let mut drawn = || names[((u64::from(rng.next_u32()) * ready) >> 32) as usize].clone();
            let some: Vec<ServerId> = (0..MAX_COMPARED_SERVERS).map(|_| drawn()).collect();
            // Among them may be none, for a request that may only go to a few.
            if let Some(chosen) = self.cheapest_server(id, Some(&some)) {
                return Some(chosen);
            }
        }
        self.cheapest_server(id, None)
    }

    /// Whether it is this gateway's turn to try a server that all leave alone, and it has not yet.
    fn may_retry_ejected(&self, s: &Server) -> bool {
        let users = self.fleet.subset.gateways_using(s.hash_key).into_iter();
        let turn = rotating_lease::holds(
            self.fleet.subset.own_key(),
            s.hash_key,
            users,
            self.now,
            EJECTED_RETRY_INTERVAL_US,
        );
        turn && s.in_flight == 0 && s.assessed_at < self.now - self.now % EJECTED_RETRY_INTERVAL_US
    }

    /// The cheapest of some, or of all.
    fn cheapest_server(
        &mut self,
        id: RequestId,
        of: Option<&[ServerId]>,
    ) -> Option<(ServerId, f64)> {
        let (p, now, cold) = (self.requests.get(&id)?, self.now, &self.settings.slow_start);
        let forget_us = self.fleet.assessment_half_life_us(now);
        let used = self.fleet.subset_share * self.fleet.totals(cold, now).ready_size;
        let each_us = used / self.fleet.sends_per_s(now) * 1e6;
        let unseen = 1.0 - 2.0 / f64::from(self.settings.gateways);
        let zones = self.fleet.zones.at(now);
        let mut best: Option<(bool, f64, &ServerId, f64)> = None;
        let servers = &self.fleet.servers;
        let all = of.is_none().then_some(servers).into_iter().flatten();
        let some = of
            .unwrap_or_default()
            .iter()
            .filter_map(|name| servers.get_key_value(name));
        for (name, s) in all.chain(some) {
            let warmth = s.warmth(cold, now);
            let room = if warmth < 1.0 {
                self.slow_start_sends(name, s, warmth)
            } else {
                1.0
            };
            if s.health != Health::Ready
                || s.pool != p.pool
                || !p.may_send(&self.settings, s, now)
                || room < 1.0
            {
                continue;
            }
            let (slowness, errors) = match self.fleet.outlier_signals.out(s.hash_key) {
                true if self.may_retry_ejected(s) => (1.0, 0.0),
                true => (NOISE_SLOWNESS, 1.0),
                false => s.decayed_assessment(now, forget_us, zones.error_rate(&s.group.0)),
            };
            // Chance, more the less is seen from here, keeps many gateways from beginning with one server.
            let held = f64::from(s.in_flight) + 1.0
                - unseen.max(MIN_RANDOM_LOAD) * random_unit(&mut self.rng);
            // A cold one looks dear as long as any other is idle: it has its even share all the same, and grows warm.
            let due_us = each_us / (s.share * warmth);
            let due = warmth < 1.0 && now.saturating_sub(s.slow_start_credit.1) as f64 >= due_us;
            let held = if due { 0.0 } else { held };
            let zone = if s.group.0 == self.settings.zone {
                1.0
            } else {
                1.0 + self.settings.cross_zone_cost
            };
            let cost = held / (s.share * warmth)
                * (slowness / NOISE_SLOWNESS).max(1.0)
                * (1.0 + ERROR_COST * errors)
                * zone;
            // Tried before by this request: only where nothing else is left.
            let last_resort = p.attempts.iter().any(|a| a.server == *name);
            if best.is_none_or(|(l, c, ..)| (last_resort, cost) < (l, c)) {
                best = Some((last_resort, cost, name, room));
            }
        }
        best.map(|(.., name, room)| (name.clone(), room))
    }
}
