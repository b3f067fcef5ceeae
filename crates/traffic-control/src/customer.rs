//! What this gateway knows of one customer's use and of what is left of its quota: levels, told and untold use, places.
//! Knowledge and the arithmetic of its stores; how much of it may pass here is decided in `policy/quota.rs`.

use crate::count_clock::Life;
use crate::decayed::Decayed;
use crate::interface::{Ceiling, Micros, Plan, RequestId, Settings};
use crate::ledger::{Digits, Ledger};
use crate::places::Places;
use crate::shares::Shares;
use std::collections::VecDeque;

pub(crate) const RATE_TAU_US: f64 = 3_000_000.0; // µs; time constant of rates: customers move within seconds
const APART: f64 = 1.5; // times the quota from which a ceiling is in two parts: the quota, and what is above it
const EPOCH_US: Micros = 3_000_000; // µs; many attempts, and short beside how long a gateway's death should be felt
pub(crate) const COUNT_TTL_US: Micros = 60_000_000; // µs; life of a count (the counter's most), and of its name
const GAP_WEIGHT: f64 = 0.5; // of the last time between two requests: of those that come rarely there are few
const HEARD_US: Micros = 1_500_000; // µs; what was heard counts this long, then the even slice holds

#[derive(Default)]
pub(crate) struct Customer {
    pub plan: usize,
    pub width: u32,
    pub keeper: u32,
    pub kept: bool, // this gateway adds up the customer's use: its keeper, or the only one that sees it
    pub level: f64, // in this gateway's bucket
    pub ceiling: f64, // units in this gateway's slice of the ceiling
    pub at: Micros,
    pub active_at: Micros,
    pub gap_us: f64, // mean time between its requests here
    pub open: u32,
    pub demand: Decayed,
    pub others: Decayed,
    pub heard_at: Option<Micros>,
    pub asking: u8,               // asks out for this customer
    pub held: Vec<RequestId>,     // requests that wait for the answer
    pub unposted: f64,            // used and not yet told; below 0: told and not used
    pub leases: VecDeque<Micros>, // as keeper of a cap: places given to others, till when
    pub ledger: Ledger,           // what else is known of its use
    pub first: u32,               // of its set of gateways
    pub told_till: Micros,        // till then the others' word on their use counts
    pub shares: Shares,           // whose the store is while some of them are not heard
    pub spent: f64,               // since then
    pub digits: Option<Digits>,   // how places are written in the count; none: as one sum
    pub places: Places,
    pub fix: f64, // what the call that is out makes up for in the count
    pub tag: u32,
    pub told_in: u64, // epoch in which the count last heard of its places
    pub credit: f64,  // units that the count holds for this gateway, and that were there
    pub later: bool,  // what is untold is looked at again
    pub low_since: Option<Micros>, // the count has been out of step below nothing since then
}

impl Customer {
    /// One that was not known yet, with an empty bucket. `place`: where this gateway stands in its set.
    pub fn new(tag: u32, q: &Quota, width: u32, place: u32, set: &Settings, at: Micros) -> Self {
        Customer {
            tag,
            width,
            at,
            digits: Digits::new(q.most, width, place).filter(|_| q.places && set.counter),
            first: (set.me + set.gateways - place) % set.gateways,
            ledger: Ledger::new(q.rate),
            ..Customer::default()
        }
    }

    pub fn heard(&self, now: Micros) -> bool {
        let heard = self
            .heard_at
            .is_some_and(|t| now.saturating_sub(t) <= HEARD_US);
        self.kept || self.by_peers(now) || heard && !self.ledger.astray(now)
    }

    /// Just now, not only of late.
    pub fn just_heard(&self, now: Micros) -> bool {
        self.heard_at == Some(now)
    }

    /// The even slice of the store is under one request.
    pub fn thin(&self, q: &Quota) -> bool {
        q.most < q.largest * f64::from(self.width)
    }

    /// So many gateways that each sees hardly any of it, and at most the counter or the meter to tell what the others use.
    pub fn rare(&self, q: &Quota) -> bool {
        q.alone && (q.places || self.width > 1)
    }

    /// The ceiling is so far above the quota that what it has above can be held apart.
    pub fn apart(&self, q: &Quota) -> bool {
        let far = |c: Ceiling| c.depth >= APART * q.most && c.rate >= APART * q.rate;
        q.counter && self.rare(q) && q.ceiling.is_some_and(far)
    }

    /// This gateway's part of what all ask for of late.
    pub fn by_demand(&self, now: Micros) -> f64 {
        let (mine, others) = (
            self.demand.at(now, RATE_TAU_US),
            self.others.at(now, RATE_TAU_US),
        );
        if mine + others > 0.0 {
            mine / (mine + others)
        } else {
            0.0
        }
    }

    /// The others of the set tell each use, or those of them that are heard: what they do not tell of is there to be used, less
    /// what is set aside for the rest.
    pub fn by_peers(&self, now: Micros) -> bool {
        now < self.told_till
    }

    /// The others have told all that they let through; their word counts till then.
    pub fn told(&mut self, till: Micros) {
        if till > self.told_till {
            (self.told_till, self.spent) = (till, 0.0);
        }
    }

    /// How many times its quota it uses, by the meter: without a counter that is all there is to go by.
    pub fn busy(&self, q: &Quota, now: Micros) -> f64 {
        self.ledger
            .busy_after(now, if q.counter { 0.0 } else { self.gap_us })
    }

    /// A request came.
    pub fn asks(&mut self, now: Micros, units: f64) {
        if self.active_at > 0 {
            let gap = now.saturating_sub(self.active_at) as f64;
            self.gap_us += GAP_WEIGHT * (gap - self.gap_us);
        }
        self.demand.add(now, RATE_TAU_US, units);
        self.active_at = now;
    }

    /// Units are used here, within the store or beyond it.
    pub fn used(&mut self, now: Micros, units: f64, within: bool) {
        if within {
            self.level -= units;
            self.unposted += units;
            self.spent += units;
            self.credit = (self.credit - units).max(0.0);
        }
        self.ledger.used(now, units);
    }

    /// What was guessed turned out to be so much more.
    pub fn settled(&mut self, beyond: f64) {
        (self.level, self.unposted) = (self.level - beyond, self.unposted + beyond);
    }

    /// All that the count holds for this gateway beside what is in use.
    pub fn kept_back(&self) -> f64 {
        f64::from(self.places.spare) + self.credit
    }

    /// A call with `wanted` units beside what is untold: the amount to add.
    pub fn called(&mut self, wanted: f64) -> f64 {
        let kept = self.kept_back();
        let amount = self.unposted + kept + wanted;
        (self.asking, self.unposted) = (1, -kept - wanted);
        amount
    }

    /// As keeper: so many places that others gave back, or took until `lapse`.
    pub fn lease(&mut self, q: &Quota, taken: f64, lapse: Micros) {
        self.leases
            .drain(..(-taken).clamp(0.0, self.leases.len() as f64) as usize);
        self.leases.extend(std::iter::repeat_n(
            lapse,
            taken.clamp(0.0, q.most) as usize,
        ));
    }

    /// So many gateways that digits do not hold their places. Then their sum begins anew again and again: it forgets by
    /// itself what a gateway that died, or has no call left, does not take back.
    pub fn by_epochs(&self, q: &Quota) -> bool {
        q.places && self.digits.is_none() && q.alone
    }

    /// Name and life of its count now.
    pub fn count(&self, q: &Quota, wall: Micros, life: Life) -> (String, Micros) {
        let (life, ttl_us) = match self.by_epochs(q) {
            true => (self.epoch(wall), 2 * EPOCH_US),
            false => (life.number, COUNT_TTL_US),
        };
        (format!("{:08x}:{life}", self.tag), ttl_us)
    }

    /// Each customer's begins at another time.
    fn epoch(&self, wall: Micros) -> u64 {
        (wall + Micros::from(self.tag) % EPOCH_US) / EPOCH_US
    }

    /// In a new epoch nothing is told yet of what is open.
    pub fn turn(&mut self, q: &Quota, wall: Micros) {
        let epoch = self.epoch(wall);
        if self.by_epochs(q) && std::mem::replace(&mut self.told_in, epoch) != epoch {
            self.unposted = f64::from(self.open);
        }
    }

    /// An attempt begins or ends; where only attempts are capped, that is what the keeper adds up. How many places the
    /// count would hold for this gateway's next requests then; none: it does not count by them.
    pub fn place(&mut self, q: &Quota, begins: bool, now: Micros, wall: Micros) -> Option<u32> {
        self.open = if begins {
            self.open + 1
        } else {
            self.open.saturating_sub(1)
        };
        let untold = self.by_epochs(q) && self.told_in != self.epoch(wall);
        if !q.places || self.kept || untold {
            return None;
        }
        self.unposted += if begins { 1.0 } else { -1.0 };
        self.level += if begins {
            -1.0
        } else {
            f64::from(u8::from(self.heard(now)))
        };
        let spare = self.places.spare;
        Some(if begins {
            spare.saturating_sub(1)
        } else {
            spare + 1
        })
    }

    /// Places that the count holds for this gateway, not in use, and for which there is room.
    pub fn held_free(&self) -> f64 {
        self.digits
            .map_or(0.0, |_| self.level.min(-self.unposted).max(0.0))
    }
}

/// A plan's quota as a store: of units, or of places that attempts take and, unheard, give back in time.
#[derive(Clone, Copy)]
pub(crate) struct Quota {
    pub rate: f64,
    pub most: f64,
    pub largest: f64,
    pub places: bool,
    pub ceiling: Option<Ceiling>,
    pub stake: f64, // what is lost by passing on beyond it, beside the plan where that is most
    pub alone: bool, // many gateways, which tell each other nothing: there is the counter at most
    pub counter: bool, // there is one
}

impl Quota {
    /// By plan, while an attempt takes so long. `few`: gateways, of more each has few calls.
    pub fn all(set: &Settings, attempt_s: f64, few: u32) -> Vec<Quota> {
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
                rate,
                most,
                largest,
                places,
                ceiling: p.ceiling,
                stake,
                alone,
                counter,
            }
        };
        set.plans.iter().map(store).collect()
    }
}
