//! The shared counts: calls that are out, and what a total says of a customer's store. Arithmetic only.

use crate::counter_window::CounterWindow;
use crate::customer::{Customer, Quota, DEMAND_TAU_US};
use crate::interface::Micros;
use crate::ledger::CounterEvidence;
use std::collections::{BTreeMap, VecDeque};

const PERSISTENT_LOW_US: Micros = 300_000; // µs; a count out of step for so long is not being put right by who spoilt it
const GATEWAYS_PER_CORRECTION: f64 = 4.0; // one in so many calls that finds a count out of step sets it right

/// A call to the counter.
#[derive(Clone, Copy)]
pub(crate) struct CounterCall {
    pub customer: u32,
    pub amount: f64,
    pub wanted_units: f64, // of the amount, for requests that wait for the answer
    pub sent_at: Micros,
    pub window: CounterWindow, // of its count, when it was sent
}

/// Calls that are out, by name; answers come in their order.
#[derive(Default)]
pub(crate) struct CallsInFlight(BTreeMap<String, VecDeque<CounterCall>>);

impl CallsInFlight {
    pub fn record_sent(&mut self, name: &str, call: CounterCall) {
        self.0.entry(name.to_string()).or_default().push_back(call);
    }

    /// The first call of this name is answered.
    pub fn match_reply(&mut self, name: &str, total: f64) -> Option<CounterReply> {
        let calls = self.0.get_mut(name)?;
        let call = calls.pop_front()?;
        let still_out = calls.iter().map(|c| c.amount).sum();
        if calls.is_empty() {
            self.0.remove(name);
        }
        Some(CounterReply {
            call,
            total,
            in_flight_amount: still_out,
        })
    }
}

/// A call's answer.
pub(crate) struct CounterReply {
    pub call: CounterCall,
    pub total: f64,
    in_flight_amount: f64, // what other calls of its name add that are out
}

impl Customer {
    /// A total of places, by digits or as a sum that begins anew in each epoch.
    pub fn sync_permits(&mut self, q: &Quota, answer: &CounterReply, now: Micros) {
        let &CounterReply {
            total,
            in_flight_amount: still_out,
            ..
        } = answer;
        let open = f64::from(self.open_attempts);
        let others = if let Some(digits) = self.permit_digits {
            let (mine, others) = digits.decode(total);
            self.unreported = if digits.is_member() {
                open - mine - still_out
            } else {
                0.0
            };
            self.level = (q.capacity - others - open).clamp(-q.capacity, q.capacity);
            others
        } else {
            self.level =
                (q.capacity - total - self.unreported - still_out).clamp(-q.capacity, q.capacity);
            (q.capacity - self.level - open).max(0.0)
        };
        (self.synced_at, self.refilled_at) = (Some(now), now);
        self.permits.record_use_by_others(now, others);
    }

    /// What all have used in the count's life, beside what filled in since, is the store's level. What overflowed while
    /// it was full is made up for in the count. `part`: what this gateway takes for its own of what fills in. Why the
    /// total cannot be true, if so, and what of the store the count holds for this gateway.
    pub fn sync_units(
        &mut self,
        q: &Quota,
        part: f64,
        answer: &CounterReply,
        now: Micros,
        chance: impl FnOnce() -> f64,
    ) -> (Option<CounterEvidence>, f64) {
        let &CounterReply {
            call,
            total,
            in_flight_amount: still_out,
        } = answer;
        let life = call.window.number;
        let filled = if q.limits_concurrency {
            0.0
        } else {
            q.rate_per_s * call.window.elapsed_us as f64 / 1e6
        };
        // What this gateway wanted and has not used yet is untold, below nothing.
        let (most, mut level) = (
            q.capacity,
            q.capacity + filled - total - self.unreported - still_out,
        );
        let unheard_s = self
            .synced_at
            .map_or(0.0, |t| now.saturating_sub(t) as f64 / 1e6);
        // What there can be at most, and what of it the others have left, as far as is known without the count.
        let known = self.level + q.rate_per_s * (1.0 - part) * unheard_s;
        let left = match !self.is_synced(now) && self.ledger.has_recently_recovered(now) {
            false => known - self.ledger.metered_others_usage(now).unwrap_or(0.0) * unheard_s,
            // Each gateway kept its part of the store: with less nobody can be wrong.
            true => self.level,
        };
        // What is asked and not used comes back; places do so all the time.
        let back = f64::from(self.width) * (q.max_request_units + 1.0) + most / 4.0;
        let slack = if q.limits_concurrency { f64::MAX } else { back };
        let judged = self
            .ledger
            .assess_total(now, life, call.amount, total, most + filled, slack);
        let again = self.ledger.resolve_uncertain(now, level - left, slack);
        self.unreported += judged.units_to_add_again + again;
        level -= (again * f64::from(self.width)).min((level - left).max(0.0));
        // Guards against a second burst for everyone at the turn of lives: a new count carries on from the level that
        // was known, and what the others have not used since.
        let mut carried = if judged.begins_window && !q.limits_concurrency {
            (level - left).max(0.0)
        } else {
            0.0
        };
        level -= carried;
        // A total that cannot be true, or could not a moment ago, is taken by its change, as far as that is use.
        let doubt = self.ledger.update_doubt(
            now,
            (level - known).abs() > f64::from(self.width) + most / 8.0,
        );
        if doubt {
            let used = judged.others_units.min(q.rate_per_s * unheard_s + 1.0);
            let fresh = judged.evidence.is_some() || !self.is_synced(now);
            level = if fresh { left } else { known - used };
            carried /= f64::from(self.width);
        }
        // Of many gateways who makes the count sets it right, later few do, lest all overshoot in turn.
        let few = self.has_separate_ceiling(q) || !self.is_undersized(q) && !self.is_sparse(q);
        let fixes = few || total == call.amount || chance() < 1.0 / GATEWAYS_PER_CORRECTION;
        // Guards against making up twice for one lack: who sees that another did so first takes its own back.
        let fixed = std::mem::take(&mut self.count_correction);
        if fixed > 0.0 && judged.others_units >= fixed / 2.0 {
            let twice = fixed.min(judged.others_units);
            self.unreported -= twice;
            level += twice;
        }
        self.low_since = self.low_since.or(Some(now)).filter(|_| level < -most);
        let lasts = self.low_since.is_some_and(|t| now - t >= PERSISTENT_LOW_US);
        if carried > 0.0 || !doubt && fixes && level > if few { 1.1 } else { 1.5 } * most {
            self.count_correction = (carried + (level - most).max(0.0)).min(1e6);
            self.unreported += self.count_correction;
        } else if !doubt && fixes && lasts && !self.has_separate_ceiling(q) {
            self.unreported += level.max(-1e6);
            self.low_since = None;
        }
        // Where the others tell each use themselves the count only backs them up.
        let taken = !self.follows_peer_reports(now)
            && (self.is_sparse(q) || !self.ledger.is_unreliable(now));
        if taken {
            self.others_demand
                .add(now, DEMAND_TAU_US, judged.others_units.min(most));
            (self.level, self.synced_at, self.refilled_at) =
                (level.clamp(-most, most), Some(now), now);
        }
        // A total in doubt holds nothing for anyone: it would mint a ceiling's worth.
        let sure = taken && !doubt && still_out == 0.0;
        (
            judged.evidence,
            if sure {
                (-self.unreported).min(self.level).max(0.0)
            } else {
                0.0
            },
        )
    }

    /// A call brought no total. `never`: nothing was added; else it may have been.
    pub fn record_missing_total(&mut self, q: &Quota, amount: f64, never: bool, now: Micros) {
        if never {
            self.unreported += amount;
            return;
        }
        // Were it added, it would look like another's at the next answer.
        self.count_correction = 0.0;
        if !q.limits_concurrency {
            self.ledger.record_unanswered_call(now, amount);
        }
    }
}
