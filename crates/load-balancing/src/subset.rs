//! Which servers each gateway uses: every server in as many subsets as its weight says to within one, little moved by any change on
//! either side, zones by their parts.
//!
//! All gateways compute one and the same deal of all servers to all gateways, and each takes its own part of it. Every pair of gateway
//! and server draws a score by hash; pairs are gone through from the best score on, and one is taken if the gateway still wants
//! servers, the server still has room and the gateway does not have enough of its zone. That is a stable matching in which both sides
//! rank by the same score: one that comes or goes moves a few pairs along a chain, whatever the sizes are. What the few last gateways
//! could not get that way they get by exchanges.

use crate::drawn;
use std::collections::BTreeMap;

/// A server as it is dealt out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// Of its name.
    pub key: u64,
    /// Beside the others'; what is no positive number counts as 1.
    pub weight: f64,
    /// Any number that its zone alone has.
    pub zone: u64,
}

/// How many servers a gateway should use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetSize {
    /// At least so many.
    pub least: usize,
    /// At least so many that each server is used by this many gateways.
    pub users: usize,
}

impl SubsetSize {
    /// None: all, as the subsets would be more than half of them.
    pub fn of(self, gateways: usize, servers: usize) -> Option<usize> {
        let covers = (self.users * servers).div_ceil(gateways.max(1));
        Some(self.least.max(covers)).filter(|size| 2 * size <= servers)
    }
}

/// Pairs that are looked at first for each server that a gateway wants: so many that hardly any gateway needs others.
const LOOKED_AT: f64 = 2.5;

struct Deal<'a> {
    gateways: &'a [u64],
    servers: &'a [Server],
    weights: Vec<f64>,
    /// What each gateway wants yet, and each server has room for.
    wants: Vec<usize>,
    room: Vec<usize>,
    /// Zone of each server, from 0; what a gateway may have of each, and what it has.
    zones: Vec<usize>,
    most: Vec<usize>,
    of_zone: Vec<usize>,
    has: Vec<Vec<u32>>,
}

/// The servers of each gateway, by their places in `servers`: `size` for each, or all there are. The order of gateways and servers does not
/// matter.
pub fn deal(gateways: &[u64], servers: &[Server], size: usize) -> Vec<Vec<u32>> {
    let size = size.min(servers.len());
    if size == servers.len() {
        return vec![(0..servers.len() as u32).collect(); gateways.len()];
    }
    let mut deal = Deal::new(gateways, servers, size);
    deal.by_score(size);
    deal.left_over();
    // That each server is in as many subsets as is due goes before its zone's part.
    [true, false]
        .into_iter()
        .for_each(|by_zones| deal.exchange(by_zones));
    deal.anything();
    deal.has
}

/// The servers of one of them.
pub fn of(me: u64, gateways: &[u64], servers: &[Server], size: usize) -> Vec<u32> {
    let place = gateways.iter().position(|g| *g == me);
    place.map_or(Vec::new(), |place| {
        deal(gateways, servers, size).swap_remove(place)
    })
}

/// In how many subsets each server is to be, by its weight: whole numbers whose sum is `all`, and no more than there are gateways.
fn rooms(servers: &[Server], weights: &[f64], all: usize, gateways: usize) -> Vec<usize> {
    // What is due to those that would be in more subsets than there are is due to the others.
    let mut due = vec![0.0; servers.len()];
    let mut full = vec![false; servers.len()];
    loop {
        let taken = full.iter().filter(|f| **f).count() * gateways;
        let weight: f64 = weights
            .iter()
            .zip(&full)
            .filter(|(_, f)| !**f)
            .map(|(w, _)| w)
            .sum();
        let each = all.saturating_sub(taken) as f64 / weight;
        let mut more = false;
        for n in 0..servers.len() {
            due[n] = if full[n] {
                gateways as f64
            } else {
                weights[n] * each
            };
            if due[n] > gateways as f64 {
                (full[n], more) = (true, true);
            }
        }
        if !more {
            break;
        }
    }
    let mut rooms: Vec<usize> = due.iter().map(|d| (*d + 1e-9) as usize).collect();
    let mut rest: Vec<(f64, u64, usize)> = (0..servers.len())
        .map(|n| (rooms[n] as f64 - due[n], drawn(servers[n].key, 0), n))
        .collect();
    // Equal weights have equal fractions: who gets one more is drawn then.
    rest.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let left = all.saturating_sub(rooms.iter().sum());
    let able: Vec<usize> = rest
        .iter()
        .map(|r| r.2)
        .filter(|n| rooms[*n] < gateways)
        .take(left)
        .collect();
    able.into_iter().for_each(|n| rooms[n] += 1);
    rooms
}

impl<'a> Deal<'a> {
    fn new(gateways: &'a [u64], servers: &'a [Server], size: usize) -> Deal<'a> {
        let fine = |w: f64| if w.is_finite() && w > 0.0 { w } else { 1.0 };
        let weights: Vec<f64> = servers.iter().map(|s| fine(s.weight)).collect();
        let mut names = BTreeMap::new();
        let zones: Vec<usize> = servers
            .iter()
            .map(|s| {
                let next = names.len();
                *names.entry(s.zone).or_insert(next)
            })
            .collect();
        let room = rooms(servers, &weights, size * gateways.len(), gateways.len());
        let mut parts = vec![0; names.len()];
        zones.iter().zip(&room).for_each(|(z, r)| parts[*z] += r);
        let most = parts
            .iter()
            .map(|p| p.div_ceil(gateways.len().max(1)))
            .collect();
        Deal {
            gateways,
            servers,
            weights,
            wants: vec![size; gateways.len()],
            room,
            of_zone: vec![0; gateways.len() * names.len()],
            zones,
            most,
            has: vec![Vec::with_capacity(size); gateways.len()],
        }
    }

    /// The smaller the better. Of a heavier server more of its scores are small.
    fn score(&self, g: usize, s: usize) -> f64 {
        drawn(self.servers[s].key, self.gateways[g]) as f64 / self.weights[s]
    }

    fn zone_of(&mut self, g: usize, s: usize) -> &mut usize {
        &mut self.of_zone[g * self.most.len() + self.zones[s]]
    }

    fn take(&mut self, g: usize, s: usize) {
        self.has[g].push(s as u32);
        self.wants[g] -= 1;
        self.room[s] = self.room[s].saturating_sub(1);
        *self.zone_of(g, s) += 1;
    }

    fn has(&self, g: usize, s: usize) -> bool {
        self.has[g].contains(&(s as u32))
    }

    fn may(&mut self, g: usize, s: usize) -> bool {
        let most = self.most[self.zones[s]];
        self.wants[g] > 0 && self.room[s] > 0 && *self.zone_of(g, s) < most
    }

    fn go_through(&mut self, mut pairs: Vec<(f64, u32, u32)>) {
        let (gateways, servers) = (self.gateways, self.servers);
        let names = |p: &(f64, u32, u32)| (gateways[p.1 as usize], servers[p.2 as usize].key);
        pairs.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then_with(|| names(a).cmp(&names(b))));
        for (_, g, s) in pairs {
            let (g, s) = (g as usize, s as usize);
            if self.may(g, s) && !self.has(g, s) {
                self.take(g, s);
            }
        }
    }

    fn by_score(&mut self, size: usize) {
        // With scores below this a gateway has so many pairs, by chance.
        let below = LOOKED_AT * size as f64 * (u64::MAX as f64) / self.weights.iter().sum::<f64>();
        let mut pairs = Vec::new();
        for s in (0..self.servers.len()).filter(|s| self.room[*s] > 0) {
            for g in 0..self.gateways.len() {
                let score = self.score(g, s);
                if score < below {
                    pairs.push((score, g as u32, s as u32));
                }
            }
        }
        self.go_through(pairs);
    }

    /// All pairs of those that want some yet.
    fn left_over(&mut self) {
        let mut pairs = Vec::new();
        let free: Vec<usize> = (0..self.servers.len())
            .filter(|s| self.room[*s] > 0)
            .collect();
        for g in (0..self.gateways.len()).filter(|g| self.wants[*g] > 0) {
            pairs.extend(
                free.iter()
                    .map(|s| (self.score(g, *s), g as u32, *s as u32)),
            );
        }
        self.go_through(pairs);
    }

    /// A gateway that has all servers with room already, or enough of their zones: another takes one of those and gives it one of its own.
    fn exchange(&mut self, by_zones: bool) {
        let mut open: Vec<usize> = (0..self.gateways.len())
            .filter(|g| self.wants[*g] > 0)
            .collect();
        open.sort_by_key(|g| self.gateways[*g]);
        for g in open {
            while self.wants[g] > 0 && self.exchange_one(g, by_zones) {}
        }
    }

    fn exchange_one(&mut self, g: usize, by_zones: bool) -> bool {
        let mut free: Vec<usize> = (0..self.servers.len())
            .filter(|s| self.room[*s] > 0)
            .collect();
        free.sort_by_key(|s| drawn(self.servers[*s].key, self.gateways[g]));
        let mut others: Vec<usize> = (0..self.gateways.len()).filter(|o| *o != g).collect();
        others.sort_by_key(|o| drawn(self.gateways[*o], self.gateways[g]));
        for s in free {
            for &o in &others {
                if self.has(o, s) {
                    continue;
                }
                let full = by_zones && *self.zone_of(o, s) >= self.most[self.zones[s]];
                let given = self.has[o].iter().map(|t| *t as usize).find(|&t| {
                    let same = self.zones[t] == self.zones[s];
                    let fits = self.of_zone[g * self.most.len() + self.zones[t]]
                        < self.most[self.zones[t]];
                    !self.has(g, t) && (fits || !by_zones) && (same || !full)
                });
                if let Some(t) = given {
                    self.has[o].retain(|x| *x != t as u32);
                    *self.zone_of(o, t) -= 1;
                    self.wants[o] += 1;
                    self.room[t] += 1;
                    self.take(o, s);
                    self.take(g, t);
                    return true;
                }
            }
        }
        false
    }

    /// What is left would leave a gateway with fewer: it takes those that it draws best, whatever their room.
    fn anything(&mut self) {
        for g in 0..self.gateways.len() {
            if self.wants[g] == 0 {
                continue;
            }
            let mut rest: Vec<usize> = (0..self.servers.len())
                .filter(|s| !self.has(g, *s))
                .collect();
            rest.sort_by_key(|s| {
                (
                    self.room[*s] == 0,
                    drawn(self.servers[*s].key, self.gateways[g]),
                )
            });
            for s in rest.into_iter().take(self.wants[g]) {
                self.take(g, s);
            }
        }
    }
}
