//! The shared counts: calls that are out, and what a total says of a customer's store. Arithmetic only.

use crate::count_clock::Life;
use crate::customer::{Customer, Quota, RATE_TAU_US};
use crate::interface::Micros;
use crate::ledger::Evidence;
use std::collections::{BTreeMap, VecDeque};

const LOW_US: Micros = 300_000; // µs; a count out of step for so long is not being put right by who spoilt it
const FIXERS: f64 = 4.0; // one in so many calls that finds a count out of step sets it right

/// A call to the counter.
#[derive(Clone, Copy)]
pub(crate) struct Call {
    pub customer: u32,
    pub amount: f64,
    pub wanted: f64, // of the amount, for requests that wait for the answer
    pub sent: Micros,
    pub life: Life, // of its count, when it was sent
}

/// Calls that are out, by name; answers come in their order.
#[derive(Default)]
pub(crate) struct Counting(BTreeMap<String, VecDeque<Call>>);

impl Counting {
    pub fn sent(&mut self, name: &str, call: Call) {
        self.0.entry(name.to_string()).or_default().push_back(call);
    }

    /// The first call of this name is answered.
    pub fn answered(&mut self, name: &str, total: f64) -> Option<Answer> {
        let calls = self.0.get_mut(name)?;
        let call = calls.pop_front()?;
        let still_out = calls.iter().map(|c| c.amount).sum();
        if calls.is_empty() {
            self.0.remove(name);
        }
        Some(Answer {
            call,
            total,
            still_out,
        })
    }
}

/// A call's answer.
pub(crate) struct Answer {
    pub call: Call,
    pub total: f64,
    still_out: f64, // what other calls of its name add that are out
}

impl Customer {
    /// A total of places, by digits or as a sum that begins anew in each epoch.
    pub fn hear_places(&mut self, q: &Quota, answer: &Answer, now: Micros) {
        let &Answer {
            total, still_out, ..
        } = answer;
        let open = f64::from(self.open);
        let others = if let Some(digits) = self.digits {
            let (mine, others) = digits.read(total);
            self.unposted = if digits.counts() {
                open - mine - still_out
            } else {
                0.0
            };
            self.level = (q.most - others - open).clamp(-q.most, q.most);
            others
        } else {
            self.level = (q.most - total - self.unposted - still_out).clamp(-q.most, q.most);
            (q.most - self.level - open).max(0.0)
        };
        (self.heard_at, self.at) = (Some(now), now);
        self.places.heard(now, others);
    }

    /// What all have used in the count's life, beside what filled in since, is the store's level. What overflowed while
    /// it was full is made up for in the count. `part`: what this gateway takes for its own of what fills in. Why the
    /// total cannot be true, if so, and what of the store the count holds for this gateway.
    pub fn hear_units(
        &mut self,
        q: &Quota,
        part: f64,
        answer: &Answer,
        now: Micros,
        chance: impl FnOnce() -> f64,
    ) -> (Option<Evidence>, f64) {
        let &Answer {
            call,
            total,
            still_out,
        } = answer;
        let life = call.life.number;
        let filled = if q.places {
            0.0
        } else {
            q.rate * call.life.elapsed as f64 / 1e6
        };
        // What this gateway wanted and has not used yet is untold, below nothing.
        let (most, mut level) = (q.most, q.most + filled - total - self.unposted - still_out);
        let unheard_s = self
            .heard_at
            .map_or(0.0, |t| now.saturating_sub(t) as f64 / 1e6);
        // What there can be at most, and what of it the others have left, as far as is known without the count.
        let known = self.level + q.rate * (1.0 - part) * unheard_s;
        let left = match !self.heard(now) && self.ledger.returned(now) {
            false => known - self.ledger.others(now).unwrap_or(0.0) * unheard_s,
            // Each gateway kept its part of the store: with less nobody can be wrong.
            true => self.level,
        };
        // What is asked and not used comes back; places do so all the time.
        let back = f64::from(self.width) * (q.largest + 1.0) + most / 4.0;
        let slack = if q.places { f64::MAX } else { back };
        let judged = self
            .ledger
            .judge(now, life, call.amount, total, most + filled, slack);
        let again = self.ledger.resolve(now, level - left, slack);
        self.unposted += judged.again + again;
        level -= (again * f64::from(self.width)).min((level - left).max(0.0));
        // Guards against a second burst for everyone at the turn of lives: a new count carries on from the level that
        // was known, and what the others have not used since.
        let mut carried = if judged.begins && !q.places {
            (level - left).max(0.0)
        } else {
            0.0
        };
        level -= carried;
        // A total that cannot be true, or could not a moment ago, is taken by its change, as far as that is use.
        let doubt = self.ledger.in_doubt(
            now,
            (level - known).abs() > f64::from(self.width) + most / 8.0,
        );
        if doubt {
            let used = judged.others.min(q.rate * unheard_s + 1.0);
            let fresh = judged.evidence.is_some() || !self.heard(now);
            level = if fresh { left } else { known - used };
            carried /= f64::from(self.width);
        }
        // Of many gateways who makes the count sets it right, later few do, lest all overshoot in turn.
        let few = self.apart(q) || !self.thin(q) && !self.rare(q);
        let fixes = few || total == call.amount || chance() < 1.0 / FIXERS;
        // Guards against making up twice for one lack: who sees that another did so first takes its own back.
        let fixed = std::mem::take(&mut self.fix);
        if fixed > 0.0 && judged.others >= fixed / 2.0 {
            let twice = fixed.min(judged.others);
            self.unposted -= twice;
            level += twice;
        }
        self.low_since = self.low_since.or(Some(now)).filter(|_| level < -most);
        let lasts = self.low_since.is_some_and(|t| now - t >= LOW_US);
        if carried > 0.0 || !doubt && fixes && level > if few { 1.1 } else { 1.5 } * most {
            self.fix = (carried + (level - most).max(0.0)).min(1e6);
            self.unposted += self.fix;
        } else if !doubt && fixes && lasts && !self.apart(q) {
            self.unposted += level.max(-1e6);
            self.low_since = None;
        }
        // Where the others tell each use themselves the count only backs them up.
        let taken = !self.by_peers(now) && (self.rare(q) || !self.ledger.astray(now));
        if taken {
            self.others.add(now, RATE_TAU_US, judged.others.min(most));
            (self.level, self.heard_at, self.at) = (level.clamp(-most, most), Some(now), now);
        }
        // A total in doubt holds nothing for anyone: it would mint a ceiling's worth.
        let sure = taken && !doubt && still_out == 0.0;
        (
            judged.evidence,
            if sure {
                (-self.unposted).min(self.level).max(0.0)
            } else {
                0.0
            },
        )
    }

    /// A call brought no total. `never`: nothing was added; else it may have been.
    pub fn no_total(&mut self, q: &Quota, amount: f64, never: bool, now: Micros) {
        if never {
            self.unposted += amount;
            return;
        }
        // Were it added, it would look like another's at the next answer.
        self.fix = 0.0;
        if !q.places {
            self.ledger.unanswered(now, amount);
        }
    }
}
