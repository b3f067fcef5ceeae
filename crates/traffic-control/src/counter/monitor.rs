//! Log lines about the state of the counter: one for each change, at a limited rate.

use super::usage_ledger::CounterEvidence;
use crate::interface::Micros;

/// Time since the last reply after which an unanswered call shows that the counter is lost.
const COUNTER_LOST_TIMEOUT_US: Micros = 1_500_000;
/// Time without new evidence after which a doubted counter is trusted again; also the minimum interval between two
/// log lines that report a loss or a doubt.
const COUNTER_RECOVERED_TIMEOUT_US: Micros = 10_000_000;

/// State of the counter as it was last logged.
#[derive(Default)]
pub(crate) struct CounterMonitor {
    /// Time of the last reply, or of the first call while there was none.
    replied_at: Option<Micros>,
    is_lost: bool,
    /// Time of the latest evidence against the totals; `None` while they are trusted.
    doubted_at: Option<Micros>,
    /// Time of the last log line that reported a loss or a doubt.
    logged_at: Option<Micros>,
}

impl CounterMonitor {
    /// Records the end of a call. Returns a log line when the counter is lost, and when it replies again after a
    /// loss. While the interval to the next log line lasts, a loss is neither recorded nor logged.
    pub fn record_call(&mut self, now: Micros, replied: bool) -> Option<String> {
        let silent_us = now.saturating_sub(*self.replied_at.get_or_insert(now));
        if replied {
            self.replied_at = Some(now);
            return std::mem::take(&mut self.is_lost).then(|| "counter answers again".into());
        }
        let newly_lost =
            !self.is_lost && silent_us >= COUNTER_LOST_TIMEOUT_US && self.take_log_permit(now);
        self.is_lost |= newly_lost;
        newly_lost.then(|| format!("counter lost: no answer for {} ms", silent_us / 1_000))
    }

    /// Records evidence that a total cannot be true. `source` is the name of the count, or the server that reported
    /// the meter reading. Returns a log line for the first evidence of a doubt, unless the interval to the next log
    /// line lasts.
    pub fn record_evidence(
        &mut self,
        now: Micros,
        evidence: CounterEvidence,
        source: &str,
    ) -> Option<String> {
        let is_new = self.doubted_at.replace(now).is_none() && self.take_log_permit(now);
        is_new.then(|| format!("counter doubtful: {} ({source})", evidence.description()))
    }

    /// Ends the doubt if no evidence came for `COUNTER_RECOVERED_TIMEOUT_US`. Returns a log line if it ended.
    pub fn clear_expired_doubt(&mut self, now: Micros) -> Option<String> {
        let has_expired = self
            .doubted_at
            .is_some_and(|at| now.saturating_sub(at) >= COUNTER_RECOVERED_TIMEOUT_US);
        if !has_expired {
            return None;
        }
        self.doubted_at = None;
        Some("counter trusted again".into())
    }

    /// Returns true if a log line is allowed now, and then starts the interval to the next one.
    fn take_log_permit(&mut self, now: Micros) -> bool {
        let is_allowed = self
            .logged_at
            .is_none_or(|at| now.saturating_sub(at) >= COUNTER_RECOVERED_TIMEOUT_US);
        if is_allowed {
            self.logged_at = Some(now);
        }
        is_allowed
    }
}
