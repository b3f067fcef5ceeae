//! Which server a request goes to: the cheapest by what is out there, how warm it is and what its answers were like, among
//! those that the rules allow.
//! Guards: a cold server is not pushed over, a bad one is left alone until it may be well again, nothing goes to one that
//! drains, and many gateways do not begin with the same.

use super::chance;
use crate::calls::FEW;
use crate::gateway::Gateway;
use crate::interface::{Health, Micros, RequestId, ServerId};
use crate::server::Server;
use frosthatch_load_balancing::{rotating_lease, subset::SubsetSize};
use rand_pcg::rand_core::RngCore;

const CHANCE: f64 = 1.5; // slowness up to this is chance: work differs more than servers do
const CHOICE_CHANCE: f64 = 0.3; // least of a request that is chance in the choice, so gateways begin apart
const ERROR_COST: f64 = 10.0; // times dearer is a server that fails everything
const COLD_SHARE: f64 = 0.5; // of the cold budget that all gateways let themselves use: half as much again is saved up
                             // Servers that one of many gateways uses: each is met again within about a second, and each is used by a few.
const SUBSET: SubsetSize = SubsetSize { least: 7, users: 3 };
const TURN_US: Micros = 4_000_000; // µs; one of its users tries a server that is left alone in each: shorter than words last
const LOOKED_AT: usize = 64; // servers compared for a request: of more, so many drawn by chance are as good as all

impl Gateway {
    /// Which of the ready servers this gateway uses. One of many meets each of a few often enough to know it, and keeps its
    /// connections.
    pub(super) fn deal(&mut self) {
        let size = |gateways, ready| {
            SUBSET
                .of(gateways, ready)
                .filter(|_| gateways > FEW as usize)
        };
        self.fleet
            .deal(&self.set.slow_start, self.now, size, LOOKED_AT);
        self.pace
            .sized(self.fleet.totals(&self.set.slow_start, self.now).size);
    }

    /// Sends left in this gateway's part of a cold server's budget, saved up from a part drawn by chance, so
    /// that many take turns: a multiple of what servers were seen to do, or a share of one core's work. Both go by
    /// idle servers: a fleet that grows slow must not give its cold ones less.
    fn cold_room(&self, name: &ServerId, s: &Server, warmth: f64) -> f64 {
        let cold = &self.set.slow_start;
        // Guards against gateways that have no warm server left in their subset and turn to others' cold ones.
        if self.fleet.part < 1.0 && !self.fleet.names.contains(name) {
            return 0.0;
        }
        // What it could do warm for this gateway: one core's work, or more as servers of its size were seen to.
        let core = 1.0 / self.pace.work_s / f64::from(self.set.gateways);
        let does = core.max(self.pace.throughput * s.share);
        // Only those that have it in their subset send to it.
        let rate = cold.overload_multiple * COLD_SHARE * warmth * does / self.fleet.part;
        let window_s = cold.overload_after_us as f64 / 1e6;
        let saved = s.credit.0 + rate * self.now.saturating_sub(s.credit.1) as f64 / 1e6;
        saved.min((rate * window_s / 2.0).max(1.0))
    }

    /// The cheapest server that the rules allow, and the sends saved up for it: least held for its size, times what is
    /// thought of it.
    pub(super) fn choose(&mut self, id: RequestId) -> Option<(ServerId, f64)> {
        let p = self.requests.get(&id)?;
        if let Some((server, may_leave)) = p.pin.clone() {
            let lost = may_leave && !p.attempts.is_empty();
            let there = if lost {
                None
            } else {
                self.cheapest(id, Some(&[server]))
            };
            if there.is_some() || !may_leave {
                return there;
            }
        }
        let names = self.fleet.names.clone();
        if self.fleet.part < 1.0 {
            let chosen = self.cheapest(id, Some(&names));
            // A repeat may find only those there that had it before, any only bad ones: then others are better.
            let new = |(server, _): &(ServerId, f64)| {
                self.requests
                    .get(&id)
                    .is_some_and(|p| p.attempts.iter().all(|a| a.server != *server))
                    && !self
                        .fleet
                        .servers
                        .get(server)
                        .is_some_and(|s| self.fleet.is_bad(s, self.now) && !self.tries(s))
            };
            if chosen.as_ref().is_some_and(new) {
                return chosen;
            }
        } else if !names.is_empty() {
            let ready = names.len() as u64;
            let rng = &mut self.rng;
            let mut drawn = || names[((u64::from(rng.next_u32()) * ready) >> 32) as usize].clone();
            let some: Vec<ServerId> = (0..LOOKED_AT).map(|_| drawn()).collect();
            // Among them may be none, for a request that may only go to a few.
            if let Some(chosen) = self.cheapest(id, Some(&some)) {
                return Some(chosen);
            }
        }
        self.cheapest(id, None)
    }

    /// Whether it is this gateway's turn to try a server that all leave alone, and it has not yet.
    fn tries(&self, s: &Server) -> bool {
        let users = self.fleet.subset.users(s.key).into_iter();
        let turn = rotating_lease::holds(self.fleet.subset.me(), s.key, users, self.now, TURN_US);
        turn && s.out == 0 && s.judged_at < self.now - self.now % TURN_US
    }

    /// The cheapest of some, or of all.
    fn cheapest(&mut self, id: RequestId, of: Option<&[ServerId]>) -> Option<(ServerId, f64)> {
        let (p, now, cold) = (self.requests.get(&id)?, self.now, &self.set.slow_start);
        let forget_us = self.fleet.forget_us(now);
        let used = self.fleet.part * self.fleet.totals(cold, now).size;
        let each_us = used / self.fleet.sends_per_s(now) * 1e6;
        let unseen = 1.0 - 2.0 / f64::from(self.set.gateways);
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
                self.cold_room(name, s, warmth)
            } else {
                1.0
            };
            if s.health != Health::Ready
                || s.pool != p.pool
                || !p.may_send(&self.set, s, now)
                || room < 1.0
            {
                continue;
            }
            let (slowness, errors) = match self.fleet.common.out(s.key) {
                true if self.tries(s) => (1.0, 0.0),
                true => (CHANCE, 1.0),
                false => s.thought(now, forget_us, zones.errors(&s.group.0)),
            };
            // Chance, more the less is seen from here, keeps many gateways from beginning with one server.
            let held = f64::from(s.out) + 1.0 - unseen.max(CHOICE_CHANCE) * chance(&mut self.rng);
            // A cold one looks dear as long as any other is idle: it has its even share all the same, and grows warm.
            let due_us = each_us / (s.share * warmth);
            let due = warmth < 1.0 && now.saturating_sub(s.credit.1) as f64 >= due_us;
            let held = if due { 0.0 } else { held };
            let zone = if s.group.0 == self.set.zone {
                1.0
            } else {
                1.0 + self.set.cross_zone_cost
            };
            let cost = held / (s.share * warmth)
                * (slowness / CHANCE).max(1.0)
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
