//! Rate limit for the browser's log lines: a burst, then one line per interval.

use super::events::Output;
use std::collections::BTreeSet;

/// Maximum number of lines in a burst.
const MAX_BURST_LINES: u64 = 8;
/// Time after which one more line is allowed, in microseconds.
const LINE_INTERVAL_US: u64 = 2_000_000;

/// Emits log lines within a rate limit.
pub(super) struct LogLimiter {
    available_lines: u64,
    refilled_at_us: u64,
    logged_once: BTreeSet<&'static str>,
    deferred: Vec<String>,
}

impl LogLimiter {
    pub(super) fn new(now_us: u64) -> Self {
        LogLimiter {
            available_lines: MAX_BURST_LINES,
            refilled_at_us: now_us,
            logged_once: BTreeSet::new(),
            deferred: Vec::new(),
        }
    }

    /// Emits a line, or drops it once the rate limit is reached.
    pub(super) fn log(&mut self, now_us: u64, line: String, out: &mut Vec<Output>) {
        let earned = now_us.saturating_sub(self.refilled_at_us) / LINE_INTERVAL_US;
        self.available_lines = (self.available_lines + earned).min(MAX_BURST_LINES);
        self.refilled_at_us += earned * LINE_INTERVAL_US;
        if self.available_lines > 0 {
            self.available_lines -= 1;
            out.push(Output::Log(line));
        }
    }

    /// Emits a line the first time this method receives it.
    pub(super) fn log_once(&mut self, now_us: u64, line: &'static str, out: &mut Vec<Output>) {
        if self.logged_once.insert(line) {
            self.log(now_us, line.into(), out);
        }
    }

    /// Stores a line until [`LogLimiter::flush`] emits it.
    pub(super) fn defer(&mut self, line: String) {
        self.deferred.push(line);
    }

    /// Emits the deferred lines, within the rate limit.
    pub(super) fn flush(&mut self, now_us: u64, out: &mut Vec<Output>) {
        for line in std::mem::take(&mut self.deferred) {
            self.log(now_us, line, out);
        }
    }
}
