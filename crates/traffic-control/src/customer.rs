//! What this gateway knows of one customer's use and of what is left of its quota: levels, told and untold use, places.
//! Knowledge and the arithmetic of its stores; how much of it may pass here is decided in `policy/quota.rs`.

use crate::concurrency_permits::ConcurrencyPermits;
use crate::counter_window::CounterWindow;
use crate::decaying_sum::DecayingSum;
use crate::interface::{Ceiling, Micros, Plan, RequestId, Settings};
use crate::ledger::{PermitDigits, UsageLedger};
use crate::shares::StoreShares;
use std::collections::VecDeque;

pub(crate) const DEMAND_TAU_US: f64 = 3_000_000.0; // µs; time constant of rates: customers move within seconds
const SEPARATE_CEILING_FACTOR: f64 = 1.5; // times the quota from which a ceiling is in two parts: the quota, and what is above it
const PERMIT_EPOCH_US: Micros = 3_000_000; // µs; many attempts, and short beside how long a gateway's death should be felt
pub(crate) const COUNTER_WINDOW_US: Micros = 60_000_000; // µs; life of a count (the counter's most), and of its name
const MEAN_GAP_WEIGHT: f64 = 0.5; // of the last time between two requests: of those that come rarely there are few
const SYNC_TIMEOUT_US: Micros = 1_500_000; // µs; what was heard counts this long, then the even slice holds

#[derive(Default)]
pub(crate) struct Customer {
    pub plan: usize,
    pub width: u32,
    pub owner: u32,
    pub is_owner: bool, // this gateway adds up the customer's use: its keeper, or the only one that sees it
    pub level: f64,     // in this gateway's bucket
    pub ceiling_level: f64, // units in this gateway's slice of the ceiling
    pub refilled_at: Micros,
    pub active_at: Micros,
    pub mean_gap_us: f64, // mean time between its requests here
    pub open_attempts: u32,
    pub demand: DecayingSum,
    pub others_demand: DecayingSum,
    pub synced_at: Option<Micros>,
    pub queries_in_flight: u8,               // asks out for this customer
    pub waiting_requests: Vec<RequestId>,    // requests that wait for the answer
    pub unreported: f64,                     // used and not yet told; below 0: told and not used
    pub granted_permits: VecDeque<Micros>, // as keeper of a cap: places given to others, till when
    pub ledger: UsageLedger,               // what else is known of its use
    pub first_gateway: u32,                // of its set of gateways
    pub peer_reports_until: Micros,        // till then the others' word on their use counts
    pub shares: StoreShares,               // whose the store is while some of them are not heard
    pub used_since_reports: f64,           // since then
    pub permit_digits: Option<PermitDigits>, // how places are written in the count; none: as one sum
    pub permits: ConcurrencyPermits,
    pub count_correction: f64, // what the call that is out makes up for in the count
    pub tag: u32,
    pub reported_epoch: u64, // epoch in which the count last heard of its places
    pub reserved_units: f64, // units that the count holds for this gateway, and that were there
    pub report_scheduled: bool, // what is untold is looked at again
    pub low_since: Option<Micros>, // the count has been out of step below nothing since then
}

impl Customer {
    /// One that was not known yet, with an empty bucket. `place`: where this gateway stands in its set.
    pub fn new(tag: u32, q: &Quota, width: u32, place: u32, set: &Settings, at: Micros) -> Self {
        Customer {
            tag,
            width,
            refilled_at: at,
            permit_digits: PermitDigits::new(q.capacity, width, place)
                .filter(|_| q.limits_concurrency && set.counter),
            first_gateway: (set.me + set.gateways - place) % set.gateways,
            ledger: UsageLedger::new(q.rate_per_s),
            ..Customer::default()
        }
    }

    pub fn is_synced(&self, now: Micros) -> bool {
        let heard = self
            .synced_at
            .is_some_and(|t| now.saturating_sub(t) <= SYNC_TIMEOUT_US);
        self.is_owner || self.follows_peer_reports(now) || heard && !self.ledger.is_unreliable(now)
    }

    /// Just now, not only of late.
    pub fn is_synced_now(&self, now: Micros) -> bool {
        self.synced_at == Some(now)
    }

    /// The even slice of the store is under one request.
    pub fn is_undersized(&self, q: &Quota) -> bool {
        q.capacity < q.max_request_units * f64::from(self.width)
    }

    /// So many gateways that each sees hardly any of it, and at most the counter or the meter to tell what the others use.
    pub fn is_sparse(&self, q: &Quota) -> bool {
        q.is_counter_only && (q.limits_concurrency || self.width > 1)
    }

    /// The ceiling is so far above the quota that what it has above can be held apart.
    pub fn has_separate_ceiling(&self, q: &Quota) -> bool {
        let far = |c: Ceiling| {
            c.depth >= SEPARATE_CEILING_FACTOR * q.capacity
                && c.rate >= SEPARATE_CEILING_FACTOR * q.rate_per_s
        };
        q.has_counter && self.is_sparse(q) && q.ceiling.is_some_and(far)
    }

    /// This gateway's part of what all ask for of late.
    pub fn demand_share(&self, now: Micros) -> f64 {
        let (mine, others) = (
            self.demand.at(now, DEMAND_TAU_US),
            self.others_demand.at(now, DEMAND_TAU_US),
        );
        if mine + others > 0.0 {
            mine / (mine + others)
        } else {
            0.0
        }
    }

    /// The others of the set tell each use, or those of them that are heard: what they do not tell of is there to be used, less
    /// what is set aside for the rest.
    pub fn follows_peer_reports(&self, now: Micros) -> bool {
        now < self.peer_reports_until
    }

    /// The others have told all that they let through; their word counts till then.
    pub fn extend_peer_reports(&mut self, till: Micros) {
        if till > self.peer_reports_until {
            (self.peer_reports_until, self.used_since_reports) = (till, 0.0);
        }
    }

    /// How many times its quota it uses, by the meter: without a counter that is all there is to go by.
    pub fn overuse_factor(&self, q: &Quota, now: Micros) -> f64 {
        self.ledger
            .overuse_factor_after(now, if q.has_counter { 0.0 } else { self.mean_gap_us })
    }

    /// A request came.
    pub fn record_demand(&mut self, now: Micros, units: f64) {
        if self.active_at > 0 {
            let gap = now.saturating_sub(self.active_at) as f64;
            self.mean_gap_us += MEAN_GAP_WEIGHT * (gap - self.mean_gap_us);
        }
        self.demand.add(now, DEMAND_TAU_US, units);
        self.active_at = now;
    }

    /// Units are used here, within the store or beyond it.
    pub fn record_usage(&mut self, now: Micros, units: f64, within: bool) {
        if within {
            self.level -= units;
            self.unreported += units;
            self.used_since_reports += units;
            self.reserved_units = (self.reserved_units - units).max(0.0);
        }
        self.ledger.record_own_usage(now, units);
    }

    /// What was guessed turned out to be so much more.
    pub fn settle_units(&mut self, beyond: f64) {
        (self.level, self.unreported) = (self.level - beyond, self.unreported + beyond);
    }

    /// All that the count holds for this gateway beside what is in use.
    pub fn reserved(&self) -> f64 {
        f64::from(self.permits.spare) + self.reserved_units
    }

    /// A call with `wanted` units beside what is untold: the amount to add.
    pub fn take_report_amount(&mut self, wanted: f64) -> f64 {
        let kept = self.reserved();
        let amount = self.unreported + kept + wanted;
        (self.queries_in_flight, self.unreported) = (1, -kept - wanted);
        amount
    }

    /// As keeper: so many places that others gave back, or took until `lapse`.
    pub fn update_granted_permits(&mut self, q: &Quota, taken: f64, lapse: Micros) {
        self.granted_permits
            .drain(..(-taken).clamp(0.0, self.granted_permits.len() as f64) as usize);
        self.granted_permits.extend(std::iter::repeat_n(
            lapse,
            taken.clamp(0.0, q.capacity) as usize,
        ));
    }

    /// So many gateways that digits do not hold their places. Then their sum begins anew again and again: it forgets by
    /// itself what a gateway that died, or has no call left, does not take back.
    pub fn counts_in_epochs(&self, q: &Quota) -> bool {
        q.limits_concurrency && self.permit_digits.is_none() && q.is_counter_only
    }

    /// Name and life of its count now.
    pub fn counter_name(&self, q: &Quota, wall: Micros, life: CounterWindow) -> (String, Micros) {
        let (life, ttl_us) = match self.counts_in_epochs(q) {
            true => (self.epoch(wall), 2 * PERMIT_EPOCH_US),
            false => (life.number, COUNTER_WINDOW_US),
        };
        (format!("{:08x}:{life}", self.tag), ttl_us)
    }

    /// Each customer's begins at another time.
    fn epoch(&self, wall: Micros) -> u64 {
        (wall + Micros::from(self.tag) % PERMIT_EPOCH_US) / PERMIT_EPOCH_US
    }

    /// In a new epoch nothing is told yet of what is open.
    pub fn begin_epoch_if_due(&mut self, q: &Quota, wall: Micros) {
        let epoch = self.epoch(wall);
        if self.counts_in_epochs(q) && std::mem::replace(&mut self.reported_epoch, epoch) != epoch {
            self.unreported = f64::from(self.open_attempts);
        }
    }

    /// An attempt begins or ends; where only attempts are capped, that is what the keeper adds up. How many places the
    /// count would hold for this gateway's next requests then; none: it does not count by them.
    pub fn record_attempt(
        &mut self,
        q: &Quota,
        begins: bool,
        now: Micros,
        wall: Micros,
    ) -> Option<u32> {
        self.open_attempts = if begins {
            self.open_attempts + 1
        } else {
            self.open_attempts.saturating_sub(1)
        };
        let untold = self.counts_in_epochs(q) && self.reported_epoch != self.epoch(wall);
        if !q.limits_concurrency || self.is_owner || untold {
            return None;
        }
        self.unreported += if begins { 1.0 } else { -1.0 };
        self.level += if begins {
            -1.0
        } else {
            f64::from(u8::from(self.is_synced(now)))
        };
        let spare = self.permits.spare;
        Some(if begins {
            spare.saturating_sub(1)
        } else {
            spare + 1
        })
    }

    /// Places that the count holds for this gateway, not in use, and for which there is room.
    pub fn unused_permits(&self) -> f64 {
        self.permit_digits
            .map_or(0.0, |_| self.level.min(-self.unreported).max(0.0))
    }
}

/// A plan's quota as a store: of units, or of places that attempts take and, unheard, give back in time.
#[derive(Clone, Copy)]
pub(crate) struct Quota {
    pub rate_per_s: f64,
    pub capacity: f64,
    pub max_request_units: f64,
    pub limits_concurrency: bool,
    pub ceiling: Option<Ceiling>,
    pub relative_cost: f64, // what is lost by passing on beyond it, beside the plan where that is most
    pub is_counter_only: bool, // many gateways, which tell each other nothing: there is the counter at most
    pub has_counter: bool,     // there is one
}

impl Quota {
    /// By plan, while an attempt takes so long. `few`: gateways, of more each has few calls.
    pub fn for_plans(set: &Settings, attempt_s: f64, few: u32) -> Vec<Quota> {
        let counter = set.counter;
        let alone =
            (counter || !set.peer_messages) && set.usage_report_ttl_us == 0 && set.gateways > few;
        let cost = |p: &Plan| p.price * p.overrun_cost;
        let most_cost = set.plans.iter().map(cost).fold(0.0, f64::max);
        let store = |p: &Plan| {
            let most = if p.max_open > 0 {
                f64::from(p.max_open)
            } else {
                1e12
            };
            let (rate, most, largest) = match p.rate > 0.0 {
                true => (p.rate, p.burst, set.max_units),
                false => (most / attempt_s, most, 1.0),
            };
            let places = p.rate <= 0.0 && p.max_open > 0;
            let stake = if most_cost > 0.0 {
                cost(p) / most_cost
            } else {
                1.0
            };
            Quota {
                rate_per_s: rate,
                capacity: most,
                max_request_units: largest,
                limits_concurrency: places,
                ceiling: p.ceiling,
                relative_cost: stake,
                is_counter_only: alone,
                has_counter: counter,
            }
        };
        set.plans.iter().map(store).collect()
    }
}
