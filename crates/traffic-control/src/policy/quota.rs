//! How much of a customer's quota, ceiling or cap may pass here. Whoever knows is asked: this gateway where it alone sees
//! the customer or adds up for all, the other gateways where they tell each use, the counter, and unheard the meter and
//! chance. Each answers in one form, a [`Word`].
//! Guards: no gateway, or fleet of them, passes on more than the quota pays for, and none draws past its slice of a ceiling.

use super::{chance, CUSTOMERS_MAX, IDLE_US};
use crate::customer::{Customer, Quota, RATE_TAU_US};
use crate::gateway::Gateway;
use crate::interface::{Action, Ceiling, Micros, Plan, RequestId};

const QUOTA_MOST: f64 = 1.1; // times the quota that a count may let pass: it is put right from a tenth above it
const FRESH_US: Micros = 100_000; // µs; what was heard is as good as now: a few requests of one customer
pub(super) const LENT_US: Micros = 1_500_000; // µs; what was asked for ahead is kept this long: a few requests of one customer
const ODDS_TAU_US: f64 = 20_000_000.0; // µs; memory for how many asks found room
const BLIND: f64 = 2.0; // times its cost that a guess of room must earn: many gateways guess alike
const EXCESS: f64 = 0.5; // of its worth that a request beyond the quota has to earn: the queues that it fills cost more
const UNTOLD: f64 = 1.0; // customers with room that are taken as seen, before any was asked for

/// What may pass here, as far as is known now.
pub(super) struct Word {
    /// Surely so much...
    pub least: f64,
    /// ...surely not more...
    pub most: f64,
    /// ...and, with nobody left to ask, so much.
    pub likely: f64,
    /// It was heard from whoever adds up, and not too long ago.
    pub heard: bool,
}

impl Word {
    /// None: somebody has to be asked.
    pub fn says(&self, units: f64) -> Option<bool> {
        (self.least >= units || self.most < units).then_some(self.least >= units)
    }
}

/// Beyond its quota a request earns more than half of what it does within, less what that costs.
pub(super) fn earns_beyond(plan: &Plan) -> bool {
    plan.excess_weight - plan.overrun_cost > EXCESS
}

/// A part of the rate by the meter alone: what this gateway used, and an even part of what all left unused; where all
/// used too much, as much less as they did. If all keep to it at the same figure, it is the rate in sum.
pub(super) fn part_by_meter(own: f64, all: f64, rate: f64, width: f64) -> f64 {
    ((own + (rate - all).max(0.0) / width) / rate.max(all).max(1e-9)).min(1.0)
}

impl Customer {
    /// This gateway's part of the quota: of recent demand, or unheard what the meter leaves to it; floored at the even
    /// slice.
    pub(super) fn part(&self, q: &Quota, now: Micros) -> f64 {
        let width = f64::from(self.width);
        if self.kept {
            return 1.0;
        }
        if self.by_peers(now) {
            return self.shares.part();
        }
        let by_meter = |all| part_by_meter(self.ledger.own(now), all, q.rate, width);
        let part = match self.heard(now) {
            true => self.by_demand(now),
            false if q.places => 0.0,
            // Of gateways that tell each other none is heard: what was set aside for them is not used here.
            false if !self.shares.all_heard() => {
                return self
                    .ledger
                    .figure(now)
                    .map_or(0.0, by_meter)
                    .max(self.shares.part())
            }
            false => self.ledger.figure(now).map_or(0.0, by_meter),
        };
        part.max(1.0 / width)
    }

    /// Fills the bucket and the slice of the ceiling.
    pub(super) fn refill(&mut self, q: &Quota, now: Micros) {
        let (s, width) = (
            now.saturating_sub(self.at) as f64 / 1e6,
            f64::from(self.width),
        );
        self.at = now;
        // Unheard, the slice of many gateways is less than one request: it is saved up to the largest.
        let part = self.part(q, now);
        let slice = (q.most * part).max(q.largest).min(q.most);
        let heard = self.heard(now);
        // What was told is no longer ours to use: a slice under one request begins afresh.
        let over = !heard && self.thin(q) && self.heard_at.take().is_some();
        self.level = self.level.min(if over { 0.0 } else { q.most });
        let fill = match heard && self.rare(q) {
            // All see the same store, and the others use it meanwhile.
            true if !q.places => q.rate - self.others.per_s(now, RATE_TAU_US),
            _ if heard && q.places => 0.0,
            _ => q.rate * part,
        };
        self.level = (self.level + fill * s).min(if heard && !self.by_peers(now) {
            q.most
        } else {
            slice
        });
        // A restarted gateway begins with nothing of the ceiling, so that no restart mints a second burst.
        let ceiling = q.ceiling.unwrap_or(Ceiling {
            rate: 0.0,
            depth: 0.0,
        });
        let (rate, depth) = match self.apart(q) {
            true => (
                ceiling.rate - QUOTA_MOST * q.rate,
                ceiling.depth - QUOTA_MOST * q.most,
            ),
            false => (ceiling.rate, ceiling.depth),
        };
        self.ceiling = (self.ceiling + rate / width * s).min(depth / width);
        self.leases.retain(|&t| t > now);
        if q.places && self.kept {
            self.level = q.most - f64::from(self.open) - self.leases.len() as f64;
        }
    }

    /// What the ceiling has above the quota does not hold the units here.
    pub(super) fn short(&self, q: &Quota, units: f64) -> bool {
        self.apart(q) && self.ceiling < units
    }

    /// Units worth asking for beside a request's, for those that come soon: not more than an even slice of the store, and
    /// none of one that is not well filled or whose customer asks for too much.
    pub(super) fn ahead(&self, q: &Quota, now: Micros) -> f64 {
        let well =
            self.ledger.busy(now) <= 1.0 && self.heard_at.is_some() && self.level >= q.most / 2.0;
        let soon = self.demand.per_s(now, RATE_TAU_US) * LENT_US as f64 / 1e6;
        if self.apart(q) && well {
            soon.min(q.most / f64::from(self.width))
        } else {
            0.0
        }
    }

    /// What was asked for ahead and not used in time goes back.
    pub(super) fn lapse(&mut self, now: Micros) {
        if self
            .heard_at
            .is_none_or(|at| now.saturating_sub(at) >= LENT_US)
        {
            self.credit = 0.0;
        }
    }

    /// Keeps so many places for this gateway's next requests, as far as the count holds them for it and there is room
    /// for all. True: a look is due a while from now.
    pub(super) fn keep(&mut self, wanted: u32) -> bool {
        let most = self.held_free() as u32;
        self.places.keep(wanted.min(most))
    }

    /// A while has passed: what nobody needed is kept no more. True: another look is due.
    pub(super) fn keep_less(&mut self) -> bool {
        let Some(unneeded) = self.places.unneeded() else {
            return false;
        };
        self.places.keep(self.places.spare.saturating_sub(unneeded))
    }

    /// What the store surely holds for this gateway, and what it holds at most: since told, the others used the whole
    /// rate, or nothing.
    fn bounds(&self, q: &Quota, now: Micros) -> (f64, f64) {
        let rare = self.rare(q);
        if self.kept || !rare && self.ledger.astray(now) {
            return (self.level, self.level);
        }
        let own = f64::from(self.places.spare).max(self.credit);
        // Unheard, or the count is out of step: it may be right again by now.
        let Some(at) = self.heard_at.filter(|_| !q.places && self.level > -q.most) else {
            return (own, f64::MAX);
        };
        let busy = if rare { self.ledger.busy(now) } else { 1.0 };
        let since = now.saturating_sub(at) as f64 / 1e6 * q.rate * busy;
        // Of many gateways some have asked in vain just now, and what they asked for is back soon.
        let old = rare && now.saturating_sub(at) > FRESH_US;
        let most = if old {
            f64::MAX
        } else {
            self.level + since * (1.0 - self.part(q, now))
        };
        let above = if self.apart(q) && at != now {
            self.ceiling.max(self.credit)
        } else {
            f64::MAX
        };
        (own.max(self.level - since).min(above), most)
    }

    /// What may pass here of its quota. `over`: what passing on beyond it costs, beside what it earns within.
    pub(super) fn word(&self, q: &Quota, over: f64, now: Micros, attempt_s: f64) -> Word {
        if self.by_peers(now) && !q.places {
            // Until the others have told again, each keeps to its part of what is there: all see the same store.
            let share = self.by_demand(now).max(1.0 / f64::from(self.width))
                * (self.level + self.spent)
                - self.spent;
            let may = if self.spent == 0.0 {
                self.level
            } else {
                self.level.min(share)
            };
            return Word {
                least: may,
                most: may,
                likely: may,
                heard: true,
            };
        }
        // Not told just now, places are a guess: passed on blindly if that earns more than it costs.
        let guessed = (self.digits.is_some() || self.by_epochs(q)) && !self.just_heard(now);
        let free = q.most - f64::from(self.open);
        let room = guessed
            .then(|| self.places.room(now, attempt_s * 1e6, free))
            .flatten();
        let pays = |p: f64| {
            if p > (1.0 - p) * over * BLIND {
                1.0
            } else {
                0.0
            }
        };
        let (least, most) = self.bounds(q, now);
        Word {
            least,
            most,
            likely: room.map_or(self.level, pays),
            heard: self.heard(now),
        }
    }
}

impl Gateway {
    /// `place`: where this gateway stands in the customer's set.
    pub(super) fn customer(
        &mut self,
        tag: u32,
        plan: usize,
        width: u32,
        keeper: u32,
        place: u32,
    ) -> Option<&mut Customer> {
        if !self.customers.contains_key(&tag) {
            (self.customers.len() < CUSTOMERS_MAX).then_some(())?;
            let (q, set, now) = (&self.quotas[plan], &self.set, self.now);
            let at = self.started.unwrap_or(now).max(now.saturating_sub(IDLE_US));
            // What others told of a customer that was not known here is used all the same.
            let unseen = self.peers.unseen.remove(&tag).filter(|_| !q.places);
            let known = unseen.map_or(q.most, |u| u.left(q, now));
            let mut c = Customer::new(tag, q, width, place, set, at);
            // Where gateways tell, the parts of those that do not are set aside; else the even slice is all there is.
            let most = if set.usage_report_ttl_us > 0 && !q.places {
                q.most
            } else {
                q.most / f64::from(width)
            };
            c.level = known.clamp(-q.most, most);
            self.peers.tell(now, set, q, &mut c);
            c.kept = width <= 1 || (keeper == set.me && set.peer_messages && !set.counter);
            c.keeper = keeper;
            self.customers.insert(tag, c);
        }
        // Moved to another plan: what it has left goes with it.
        let c = self.customers.get_mut(&tag)?;
        c.plan = plan;
        Some(c)
    }

    /// Exception to the even slice, for want of a call: what asks found says if passing on blindly pays, and of who asks
    /// for too much as many pass as leave the quota used in sum.
    pub(super) fn blind(&mut self, plan: usize, rare: bool, over: f64, busy: f64) -> bool {
        // A place beyond the cap is held for as long as one within, and in the way of the next.
        let times = if self.quotas[plan].places { BLIND } else { 1.0 };
        let [none, room] = self.odds[plan].map(|n| n.at(self.now, ODDS_TAU_US));
        let untold = if rare { UNTOLD } else { 0.0 };
        let pays = none + room + untold >= 1.0 && room + untold > none * (over + 1.0) * times;
        pays && chance(&mut self.rng) * busy * busy < 1.0
    }

    /// An ask was answered, and found room or none.
    pub(super) fn found(&mut self, plan: usize, room: bool) {
        self.odds[plan][usize::from(room)].add(self.now, ODDS_TAU_US, 1.0);
    }

    /// The request is about to be sent on: its units are drawn. False: the ceiling forbids it.
    pub(super) fn draw(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(p) = self.requests.get(&id) else {
            return false;
        };
        let (units, Some(c)) = (p.units, self.customers.get_mut(&p.customer)) else {
            return true;
        };
        let q = self.quotas[c.plan];
        c.refill(&q, self.now);
        // One of many takes what the count holds for it already from the quota, all else from what the ceiling has above.
        let granted = c.credit > 0.0 && c.credit >= units && c.level >= units;
        if c.ceiling < units && !granted && q.ceiling.is_some() {
            return false;
        }
        c.ceiling = if granted {
            c.ceiling
        } else {
            (c.ceiling - units).max(0.0)
        };
        let within = !q.places && c.level >= units;
        c.used(self.now, units, within);
        if within && self.set.usage_report_ttl_us > 0 {
            c.shares.used(self.now, self.set.me, units);
            out.push(Action::ReportUsage {
                tag: p.customer,
                units,
            });
        }
        true
    }

    /// The other gateways told what they let through. A restarted gateway's use counts on: it is of another life.
    /// What was used while a gateway was not heard comes out of what was set aside for it.
    pub(super) fn on_used(&mut self, heard: &[u32], uses: &[(u32, u32, f64)], past: &[(u32, f64)]) {
        let now = self.now;
        for &(from, tag, units) in uses {
            let Some(c) = self.customers.get_mut(&tag) else {
                self.peers.unseen(now, CUSTOMERS_MAX, tag, units, false);
                continue;
            };
            let q = self.quotas[c.plan];
            self.peers.tell(now, &self.set, &q, c);
            let common = c.shares.told(now, &q, from, units, heard.contains(&from));
            // What the counter told already is not to be taken twice.
            if common > 0.0 && (c.by_peers(now) || !c.heard(now)) {
                c.refill(&q, now);
                c.level = (c.level - common).max(-q.most);
                c.others.add(now, RATE_TAU_US, common);
            }
        }
        for &(tag, units) in past {
            // It may be older than what the store has been filled with since: it empties the store and no more.
            match self.customers.get_mut(&tag) {
                Some(c) => c.level = (c.level - units).max(c.level.min(0.0)),
                None => self.peers.unseen(now, CUSTOMERS_MAX, tag, units, true),
            }
        }
        heard
            .iter()
            .filter(|g| **g < self.set.gateways)
            .for_each(|g| self.peers.told(now, *g));
    }
}
