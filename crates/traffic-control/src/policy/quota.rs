//! How much of a customer's quota, ceiling or cap may pass here. Whoever knows is asked: this gateway where it alone sees
//! the customer or adds up for all, the other gateways where they tell each use, the counter, and unheard the meter and
//! chance. Each answers in one form, a [`Word`].
//! Guards: no gateway, or fleet of them, passes on more than the quota pays for, and none draws past its slice of a ceiling.

use super::{random_unit, CUSTOMER_IDLE_TIMEOUT_US, MAX_CUSTOMERS};
use crate::customer::{Customer, Quota, DEMAND_TAU_US};
use crate::gateway::Gateway;
use crate::interface::{Action, Ceiling, Micros, Plan, RequestId};

const COUNT_TOLERANCE: f64 = 1.1; // times the quota that a count may let pass: it is put right from a tenth above it
const MAX_SPARSE_STALENESS_US: Micros = 100_000; // µs; what was heard is as good as now: a few requests of one customer
pub(super) const RESERVATION_US: Micros = 1_500_000; // µs; what was asked for ahead is kept this long: a few requests of one customer
const QUERY_RESULTS_TAU_US: f64 = 20_000_000.0; // µs; memory for how many asks found room
const GUESS_COST_FACTOR: f64 = 2.0; // times its cost that a guess of room must earn: many gateways guess alike
const MIN_EXCESS_VALUE: f64 = 0.5; // of its worth that a request beyond the quota has to earn: the queues that it fills cost more
const PRIOR_SUCCESSES: f64 = 1.0; // customers with room that are taken as seen, before any was asked for

/// What may pass here, as far as is known now.
pub(super) struct QuotaEstimate {
    /// Surely so much...
    pub certain_units: f64,
    /// ...surely not more...
    pub possible_units: f64,
    /// ...and, with nobody left to ask, so much.
    pub likely_units: f64,
    /// It was heard from whoever adds up, and not too long ago.
    pub is_synced: bool,
}

impl QuotaEstimate {
    /// None: somebody has to be asked.
    pub fn says(&self, units: f64) -> Option<bool> {
        (self.certain_units >= units || self.possible_units < units)
            .then_some(self.certain_units >= units)
    }
}

/// Beyond its quota a request earns more than half of what it does within, less what that costs.
pub(super) fn excess_pays(plan: &Plan) -> bool {
    plan.excess_weight - plan.overrun_cost > MIN_EXCESS_VALUE
}

/// A part of the rate by the meter alone: what this gateway used, and an even part of what all left unused; where all
/// used too much, as much less as they did. If all keep to it at the same figure, it is the rate in sum.
pub(super) fn rate_share_by_meter(own: f64, all: f64, rate: f64, width: f64) -> f64 {
    ((own + (rate - all).max(0.0) / width) / rate.max(all).max(1e-9)).min(1.0)
}

impl Customer {
    /// This gateway's part of the quota: of recent demand, or unheard what the meter leaves to it; floored at the even
    /// slice.
    pub(super) fn rate_share(&self, q: &Quota, now: Micros) -> f64 {
        let width = f64::from(self.width);
        if self.is_owner {
            return 1.0;
        }
        if self.follows_peer_reports(now) {
            return self.shares.reachable_share();
        }
        let by_meter =
            |all| rate_share_by_meter(self.ledger.own_usage_per_s(now), all, q.rate_per_s, width);
        let part = match self.is_synced(now) {
            true => self.demand_share(now),
            false if q.limits_concurrency => 0.0,
            // Of gateways that tell each other none is heard: what was set aside for them is not used here.
            false if !self.shares.all_reachable() => {
                return self
                    .ledger
                    .metered_usage(now)
                    .map_or(0.0, by_meter)
                    .max(self.shares.reachable_share())
            }
            false => self.ledger.metered_usage(now).map_or(0.0, by_meter),
        };
        part.max(1.0 / width)
    }

    /// Fills the bucket and the slice of the ceiling.
    pub(super) fn refill(&mut self, q: &Quota, now: Micros) {
        let (s, width) = (
            now.saturating_sub(self.refilled_at) as f64 / 1e6,
            f64::from(self.width),
        );
        self.refilled_at = now;
        // Unheard, the slice of many gateways is less than one request: it is saved up to the largest.
        let part = self.rate_share(q, now);
        let slice = (q.capacity * part).max(q.max_request_units).min(q.capacity);
        let heard = self.is_synced(now);
        // What was told is no longer ours to use: a slice under one request begins afresh.
        let over = !heard && self.is_undersized(q) && self.synced_at.take().is_some();
        self.level = self.level.min(if over { 0.0 } else { q.capacity });
        let fill = match heard && self.is_sparse(q) {
            // All see the same store, and the others use it meanwhile.
            true if !q.limits_concurrency => {
                q.rate_per_s - self.others_demand.per_s(now, DEMAND_TAU_US)
            }
            _ if heard && q.limits_concurrency => 0.0,
            _ => q.rate_per_s * part,
        };
        self.level = (self.level + fill * s).min(if heard && !self.follows_peer_reports(now) {
            q.capacity
        } else {
            slice
        });
        // A restarted gateway begins with nothing of the ceiling, so that no restart mints a second burst.
        let ceiling = q.ceiling.unwrap_or(Ceiling {
            rate: 0.0,
            depth: 0.0,
        });
        let (rate, depth) = match self.has_separate_ceiling(q) {
            true => (
                ceiling.rate - COUNT_TOLERANCE * q.rate_per_s,
                ceiling.depth - COUNT_TOLERANCE * q.capacity,
            ),
            false => (ceiling.rate, ceiling.depth),
        };
        self.ceiling_level = (self.ceiling_level + rate / width * s).min(depth / width);
        self.granted_permits.retain(|&t| t > now);
        if q.limits_concurrency && self.is_owner {
            self.level =
                q.capacity - f64::from(self.open_attempts) - self.granted_permits.len() as f64;
        }
    }

    /// What the ceiling has above the quota does not hold the units here.
    pub(super) fn is_short_of_ceiling(&self, q: &Quota, units: f64) -> bool {
        self.has_separate_ceiling(q) && self.ceiling_level < units
    }

    /// Units worth asking for beside a request's, for those that come soon: not more than an even slice of the store, and
    /// none of one that is not well filled or whose customer asks for too much.
    pub(super) fn prefetch_units(&self, q: &Quota, now: Micros) -> f64 {
        let well = self.ledger.overuse_factor(now) <= 1.0
            && self.synced_at.is_some()
            && self.level >= q.capacity / 2.0;
        let soon = self.demand.per_s(now, DEMAND_TAU_US) * RESERVATION_US as f64 / 1e6;
        if self.has_separate_ceiling(q) && well {
            soon.min(q.capacity / f64::from(self.width))
        } else {
            0.0
        }
    }

    /// What was asked for ahead and not used in time goes back.
    pub(super) fn release_expired_reservation(&mut self, now: Micros) {
        if self
            .synced_at
            .is_none_or(|at| now.saturating_sub(at) >= RESERVATION_US)
        {
            self.reserved_units = 0.0;
        }
    }

    /// Keeps so many places for this gateway's next requests, as far as the count holds them for it and there is room
    /// for all. True: a look is due a while from now.
    pub(super) fn set_spare_permits(&mut self, wanted: u32) -> bool {
        let most = self.unused_permits() as u32;
        self.permits.set_spare(wanted.min(most))
    }

    /// A while has passed: what nobody needed is kept no more. True: another look is due.
    pub(super) fn release_unneeded_permits(&mut self) -> bool {
        let Some(unneeded) = self.permits.take_unneeded() else {
            return false;
        };
        self.permits
            .set_spare(self.permits.spare.saturating_sub(unneeded))
    }

    /// What the store surely holds for this gateway, and what it holds at most: since told, the others used the whole
    /// rate, or nothing.
    fn level_bounds(&self, q: &Quota, now: Micros) -> (f64, f64) {
        let rare = self.is_sparse(q);
        if self.is_owner || !rare && self.ledger.is_unreliable(now) {
            return (self.level, self.level);
        }
        let own = f64::from(self.permits.spare).max(self.reserved_units);
        // Unheard, or the count is out of step: it may be right again by now.
        let Some(at) = self
            .synced_at
            .filter(|_| !q.limits_concurrency && self.level > -q.capacity)
        else {
            return (own, f64::MAX);
        };
        let busy = if rare {
            self.ledger.overuse_factor(now)
        } else {
            1.0
        };
        let since = now.saturating_sub(at) as f64 / 1e6 * q.rate_per_s * busy;
        // Of many gateways some have asked in vain just now, and what they asked for is back soon.
        let old = rare && now.saturating_sub(at) > MAX_SPARSE_STALENESS_US;
        let most = if old {
            f64::MAX
        } else {
            self.level + since * (1.0 - self.rate_share(q, now))
        };
        let above = if self.has_separate_ceiling(q) && at != now {
            self.ceiling_level.max(self.reserved_units)
        } else {
            f64::MAX
        };
        (own.max(self.level - since).min(above), most)
    }

    /// What may pass here of its quota. `over`: what passing on beyond it costs, beside what it earns within.
    pub(super) fn estimate(
        &self,
        q: &Quota,
        over: f64,
        now: Micros,
        attempt_s: f64,
    ) -> QuotaEstimate {
        if self.follows_peer_reports(now) && !q.limits_concurrency {
            // Until the others have told again, each keeps to its part of what is there: all see the same store.
            let share = self.demand_share(now).max(1.0 / f64::from(self.width))
                * (self.level + self.used_since_reports)
                - self.used_since_reports;
            let may = if self.used_since_reports == 0.0 {
                self.level
            } else {
                self.level.min(share)
            };
            return QuotaEstimate {
                certain_units: may,
                possible_units: may,
                likely_units: may,
                is_synced: true,
            };
        }
        // Not told just now, places are a guess: passed on blindly if that earns more than it costs.
        let guessed =
            (self.permit_digits.is_some() || self.counts_in_epochs(q)) && !self.is_synced_now(now);
        let free = q.capacity - f64::from(self.open_attempts);
        let room = guessed
            .then(|| {
                self.permits
                    .availability_probability(now, attempt_s * 1e6, free)
            })
            .flatten();
        let pays = |p: f64| {
            if p > (1.0 - p) * over * GUESS_COST_FACTOR {
                1.0
            } else {
                0.0
            }
        };
        let (least, most) = self.level_bounds(q, now);
        QuotaEstimate {
            certain_units: least,
            possible_units: most,
            likely_units: room.map_or(self.level, pays),
            is_synced: self.is_synced(now),
        }
    }
}

impl Gateway {
    /// `place`: where this gateway stands in the customer's set.
    pub(super) fn customer_state(
        &mut self,
        tag: u32,
        plan: usize,
        width: u32,
        keeper: u32,
        place: u32,
    ) -> Option<&mut Customer> {
        if !self.customers.contains_key(&tag) {
            (self.customers.len() < MAX_CUSTOMERS).then_some(())?;
            let (q, set, now) = (&self.quotas[plan], &self.settings, self.now);
            let at = self
                .started_at
                .unwrap_or(now)
                .max(now.saturating_sub(CUSTOMER_IDLE_TIMEOUT_US));
            // What others told of a customer that was not known here is used all the same.
            let unseen = self
                .peer_reports
                .unknown_customers
                .remove(&tag)
                .filter(|_| !q.limits_concurrency);
            let known = unseen.map_or(q.capacity, |u| u.remaining_units(q, now));
            let mut c = Customer::new(tag, q, width, place, set, at);
            // Where gateways tell, the parts of those that do not are set aside; else the even slice is all there is.
            let most = if set.usage_report_ttl_us > 0 && !q.limits_concurrency {
                q.capacity
            } else {
                q.capacity / f64::from(width)
            };
            c.level = known.clamp(-q.capacity, most);
            self.peer_reports.update_customer(now, set, q, &mut c);
            c.is_owner = width <= 1 || (keeper == set.me && set.peer_messages && !set.counter);
            c.owner = keeper;
            self.customers.insert(tag, c);
        }
        // Moved to another plan: what it has left goes with it.
        let c = self.customers.get_mut(&tag)?;
        c.plan = plan;
        Some(c)
    }

    /// Exception to the even slice, for want of a call: what asks found says if passing on blindly pays, and of who asks
    /// for too much as many pass as leave the quota used in sum.
    pub(super) fn admits_blindly(&mut self, plan: usize, rare: bool, over: f64, busy: f64) -> bool {
        // A place beyond the cap is held for as long as one within, and in the way of the next.
        let times = if self.quotas[plan].limits_concurrency {
            GUESS_COST_FACTOR
        } else {
            1.0
        };
        let [none, room] = self.query_results[plan].map(|n| n.at(self.now, QUERY_RESULTS_TAU_US));
        let untold = if rare { PRIOR_SUCCESSES } else { 0.0 };
        let pays = none + room + untold >= 1.0 && room + untold > none * (over + 1.0) * times;
        pays && random_unit(&mut self.rng) * busy * busy < 1.0
    }

    /// An ask was answered, and found room or none.
    pub(super) fn record_query_result(&mut self, plan: usize, room: bool) {
        self.query_results[plan][usize::from(room)].add(self.now, QUERY_RESULTS_TAU_US, 1.0);
    }

    /// The request is about to be sent on: its units are drawn. False: the ceiling forbids it.
    pub(super) fn charge_quota(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(p) = self.requests.get(&id) else {
            return false;
        };
        let (units, Some(c)) = (p.units, self.customers.get_mut(&p.customer)) else {
            return true;
        };
        let q = self.quotas[c.plan];
        c.refill(&q, self.now);
        // One of many takes what the count holds for it already from the quota, all else from what the ceiling has above.
        let granted = c.reserved_units > 0.0 && c.reserved_units >= units && c.level >= units;
        if c.ceiling_level < units && !granted && q.ceiling.is_some() {
            return false;
        }
        c.ceiling_level = if granted {
            c.ceiling_level
        } else {
            (c.ceiling_level - units).max(0.0)
        };
        let within = !q.limits_concurrency && c.level >= units;
        c.record_usage(self.now, units, within);
        if within && self.settings.usage_report_ttl_us > 0 {
            c.shares.record_usage(self.now, self.settings.me, units);
            out.push(Action::ReportUsage {
                tag: p.customer,
                units,
            });
        }
        true
    }

    /// The other gateways told what they let through. A restarted gateway's use counts on: it is of another life.
    /// What was used while a gateway was not heard comes out of what was set aside for it.
    pub(super) fn on_usage_reported(
        &mut self,
        heard: &[u32],
        uses: &[(u32, u32, f64)],
        past: &[(u32, f64)],
    ) {
        let now = self.now;
        for &(from, tag, units) in uses {
            let Some(c) = self.customers.get_mut(&tag) else {
                self.peer_reports
                    .record_unknown_customer(now, MAX_CUSTOMERS, tag, units, false);
                continue;
            };
            let q = self.quotas[c.plan];
            self.peer_reports
                .update_customer(now, &self.settings, &q, c);
            let common = c
                .shares
                .charge_reported(now, &q, from, units, heard.contains(&from));
            // What the counter told already is not to be taken twice.
            if common > 0.0 && (c.follows_peer_reports(now) || !c.is_synced(now)) {
                c.refill(&q, now);
                c.level = (c.level - common).max(-q.capacity);
                c.others_demand.add(now, DEMAND_TAU_US, common);
            }
        }
        for &(tag, units) in past {
            // It may be older than what the store has been filled with since: it empties the store and no more.
            match self.customers.get_mut(&tag) {
                Some(c) => c.level = (c.level - units).max(c.level.min(0.0)),
                None => {
                    self.peer_reports
                        .record_unknown_customer(now, MAX_CUSTOMERS, tag, units, true)
                }
            }
        }
        heard
            .iter()
            .filter(|g| **g < self.settings.gateways)
            .for_each(|g| self.peer_reports.record_usage_report(now, *g));
    }
}
