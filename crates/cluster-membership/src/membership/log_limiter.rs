//! Rate limit of log lines.

use crate::token_bucket::TokenBucket;

/// Log lines admitted per second.
const MAX_LINES_PER_S: f64 = 200.0;

/// Admits log lines up to a rate limit and counts the suppressed ones.
pub(super) struct LogLimiter {
    lines: TokenBucket,
    suppressed: u64,
}

impl LogLimiter {
    pub fn new() -> LogLimiter {
        LogLimiter {
            lines: TokenBucket::new(MAX_LINES_PER_S),
            suppressed: 0,
        }
    }

    /// Returns whether a line may be written now, and counts it as suppressed if not.
    pub fn admit(&mut self, now_us: u64) -> bool {
        let is_admitted = self.lines.try_take(now_us, 1.0);
        if !is_admitted {
            self.suppressed += 1;
        }
        is_admitted
    }

    /// Returns the number of suppressed lines once lines are admitted again, and resets it; `None` if there are none.
    pub fn take_suppressed(&mut self, now_us: u64) -> Option<u64> {
        if self.suppressed == 0 || !self.lines.has_tokens(now_us) {
            return None;
        }
        Some(std::mem::take(&mut self.suppressed))
    }
}
