//! Log lines on the state of the counter: each change once, and not too often.

use super::usage_ledger::CounterEvidence;
use crate::interface::Micros;

/// The counter is lost after so long without a reply, though there were calls.
const COUNTER_LOST_TIMEOUT_US: Micros = 1_500_000;
/// Without new evidence for so long the counter is trusted again; also the least time between two such log lines.
const COUNTER_RECOVERED_TIMEOUT_US: Micros = 10_000_000;

/// What was last logged of the counter.
#[derive(Default)]
pub(crate) struct CounterMonitor {
    replied_at: Option<Micros>,
    is_lost: bool,
    doubted_at: Option<Micros>,
    logged_at: Option<Micros>,
}

impl CounterMonitor {
    /// Records the end of a call. Returns a log line when the counter is lost or replies again.
    pub fn record_call(&mut self, now: Micros, replied: bool) -> Option<String> {
        let silent_us = now.saturating_sub(*self.replied_at.get_or_insert(now));
        if replied {
            self.replied_at = Some(now);
            return std::mem::take(&mut self.is_lost).then(|| "counter answers again".into());
        }
        let newly_lost = !self.is_lost && silent_us >= COUNTER_LOST_TIMEOUT_US && self.may_log(now);
        self.is_lost |= newly_lost;
        newly_lost.then(|| format!("counter lost: no answer for {} ms", silent_us / 1_000))
    }

    /// Records evidence that totals are not true, at a name or in what a server's meter reported. Returns a log line for
    /// the first of a series.
    pub fn record_evidence(
        &mut self,
        now: Micros,
        evidence: CounterEvidence,
        place: &str,
    ) -> Option<String> {
        let is_new = self.doubted_at.replace(now).is_none() && self.may_log(now);
        is_new.then(|| format!("counter doubtful: {} ({place})", evidence.text()))
    }

    /// Ends a doubt for which no evidence came for a while. Returns a log line if it did.
    pub fn clear_expired_doubt(&mut self, now: Micros) -> Option<String> {
        let is_over = self
            .doubted_at
            .is_some_and(|at| now.saturating_sub(at) >= COUNTER_RECOVERED_TIMEOUT_US);
        if !is_over {
            return None;
        }
        self.doubted_at = None;
        Some("counter whole again".into())
    }

    fn may_log(&mut self, now: Micros) -> bool {
        let may = self
            .logged_at
            .is_none_or(|at| now.saturating_sub(at) >= COUNTER_RECOVERED_TIMEOUT_US);
        if may {
            self.logged_at = Some(now);
        }
        may
    }
}
