//! How many calls the shared counter bears.

use crate::interface::Micros;

/// Calls a second of all gateways, until the replies tell more; also the most that one gateway makes.
const INITIAL_CALLS_PER_S: f64 = 1500.0;
/// Calls saved up at the start: a query and what follows from it, which may be less urgent.
const INITIAL_TOKENS: f64 = 3.0;
/// Calls a second that are always tried, to notice a recovery.
const MIN_CALLS_PER_S: f64 = 0.2;
/// Calls that are saved up at least...
const MIN_BURST_CALLS: f64 = 4.0;
/// ...or as many as come in this time, as one reply is awaited.
const BURST_S: f64 = 0.05;
/// Calls a second that a second of quick replies wins back, however few they were...
const MAX_RECOVERY_PER_S: f64 = 20.0;
/// ...and for all gateways together.
const MAX_FLEET_RECOVERY_PER_S: f64 = 80.0;
/// A reply later than this may say that calls wait in line...
const MIN_SLOW_REPLY_US: Micros = 30_000;
/// ...if it is also later than so many times the lowest reply time.
const SLOW_REPLY_MULTIPLE: f64 = 2.0;
/// Weight of one reply in the mean reply time: about the last twenty.
const MEAN_REPLY_WEIGHT: f64 = 0.05;
/// Growth of the rate at a quick reply, and before any reply was slow.
const GROWTH_FACTOR: f64 = 1.05;
const STARTUP_GROWTH_FACTOR: f64 = 2.0;
/// The rate falls by this factor at a slow reply.
const BACKOFF_FACTOR: f64 = 0.8;

/// Of more gateways each can make few calls, and sees little of any customer or server.
pub(crate) const MAX_SMALL_FLEET_GATEWAYS: u32 = 8;

/// A token bucket of calls to the counter: as many a second as it replies to quickly. The fleet shares the counter, so each
/// gateway backs off.
pub(crate) struct CounterRateLimiter {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
    adjusted_at: Micros,
    /// Lowest reply time in this interval, and in the previous one.
    lowest_us: [f64; 2],
    mean_us: f64,
    /// Calls a second that are won back in a second of quick replies.
    recovery_per_s: f64,
    /// Whether no reply was slow yet, so that it is unknown what the counter bears.
    in_startup: bool,
}

impl CounterRateLimiter {
    /// A limiter for one of so many gateways. `has_only_counter`: the gateways have nothing but the counter to report to
    /// each other by.
    pub fn new(gateways: u32, has_only_counter: bool) -> Self {
        // Each of many learns by fewer calls, and begins with as much less.
        let startup_share = if has_only_counter {
            (f64::from(MAX_SMALL_FLEET_GATEWAYS) / f64::from(gateways)).min(1.0)
        } else {
            1.0
        };
        CounterRateLimiter {
            rate_per_s: INITIAL_CALLS_PER_S / f64::from(gateways) * startup_share,
            tokens: INITIAL_TOKENS,
            refilled_at: 0,
            adjusted_at: 0,
            lowest_us: [f64::MAX; 2],
            mean_us: 0.0,
            recovery_per_s: MAX_RECOVERY_PER_S.min(MAX_FLEET_RECOVERY_PER_S / f64::from(gateways)),
            in_startup: startup_share < 1.0,
        }
    }

    /// Ends a control interval.
    pub fn end_interval(&mut self) {
        self.lowest_us = [f64::MAX, self.lowest_us[0]];
    }

    /// Calls that are saved up at most.
    fn burst(&self) -> f64 {
        (self.rate_per_s * BURST_S).max(MIN_BURST_CALLS)
    }

    /// How long it takes to save up a call.
    pub fn refill_us(&self) -> f64 {
        1e6 / self.rate_per_s
    }

    /// How long a reply takes on average.
    pub fn mean_reply_us(&self) -> f64 {
        self.mean_us
    }

    /// Takes a call if there is one. `kept_share` of the burst is left for calls that matter more.
    pub fn try_take(&mut self, now: Micros, kept_share: f64) -> bool {
        // Where many gateways start, nothing was saved up before the first call.
        if self.in_startup && self.refilled_at == 0 {
            self.refilled_at = now;
        }
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        let burst = self.burst();
        self.tokens = (self.tokens + self.rate_per_s * elapsed_s).min(1.0 + burst);
        self.refilled_at = now;
        let is_allowed = self.tokens >= 1.0 + kept_share * burst;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    /// Slow, rejected and unanswered calls lower the rate, quick ones raise it where it binds, in steps and by time. Only
    /// calls made since the last adjustment say something of the present rate: those in flight together adjust it once, so
    /// that a pause that delays many calls at once does little. Where a counter loses most of its capacity, the rate falls
    /// slowly.
    pub fn record_reply(&mut self, now: Micros, sent_at: Micros, is_served: bool) {
        let reply_us = (now - sent_at) as f64;
        let since_adjusted_s = (now - self.adjusted_at).min(1_000_000) as f64 / 1e6;
        if is_served {
            self.lowest_us[0] = self.lowest_us[0].min(reply_us);
        }
        self.mean_us += MEAN_REPLY_WEIGHT * (reply_us - self.mean_us);
        // The lowest time is of the last seconds: a counter that has become slow by itself is still worth querying.
        let lowest_us = self.lowest_us[0].min(self.lowest_us[1]);
        let slow_us = (SLOW_REPLY_MULTIPLE * lowest_us).max(MIN_SLOW_REPLY_US as f64);
        let is_quick = is_served && reply_us <= slow_us;
        let does_not_bind = is_quick && self.tokens > 1.0 + self.burst() / 2.0;
        if sent_at < self.adjusted_at || does_not_bind {
            return;
        }
        // A fleet that starts, or restarts, does not begin with all that it could call: its rate doubles until the first
        // slow reply.
        self.in_startup &= is_quick;
        let growth = if self.in_startup {
            STARTUP_GROWTH_FACTOR
        } else {
            GROWTH_FACTOR
        };
        let rate_per_s = if is_quick {
            self.rate_per_s * growth + self.recovery_per_s * since_adjusted_s
        } else {
            self.rate_per_s * BACKOFF_FACTOR
        };
        self.rate_per_s = rate_per_s.clamp(MIN_CALLS_PER_S, INITIAL_CALLS_PER_S);
        self.adjusted_at = now;
    }
}
