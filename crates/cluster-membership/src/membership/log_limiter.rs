//! Rate limit of log lines.

use crate::token_bucket::TokenBucket;

const MAX_LINES_PER_S: f64 = 200.0;

/// Admits lines up to a rate and counts those that it suppresses.
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

    /// Whether a line may be written now.
    pub fn admit(&mut self, now_us: u64) -> bool {
        let is_admitted = self.lines.try_take(now_us, 1.0);
        if !is_admitted {
            self.suppressed += 1;
        }
        is_admitted
    }

    /// How many lines were suppressed, once lines are admitted again.
    pub fn take_suppressed(&mut self, now_us: u64) -> Option<u64> {
        if self.suppressed == 0 || !self.lines.has_tokens(now_us) {
            return None;
        }
        Some(std::mem::take(&mut self.suppressed))
    }
}
