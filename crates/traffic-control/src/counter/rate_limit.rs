//! Limits the calls to the shared counter to the rate at which it replies quickly.

use crate::interface::Micros;

/// Initial rate of all gateways together, in calls a second, less in a large fleet that has only the counter; also
/// the maximum rate of one gateway.
const INITIAL_CALLS_PER_S: f64 = 1500.0;
/// Tokens at the start: enough for a query and the less urgent calls that follow from it.
const INITIAL_TOKENS: f64 = 3.0;
/// Minimum rate, so that a recovery of the counter is noticed.
const MIN_CALLS_PER_S: f64 = 0.2;
/// Minimum burst in calls.
const MIN_BURST_CALLS: f64 = 4.0;
/// Burst as seconds of the rate, where that is more than `MIN_BURST_CALLS`: the calls that come while one reply is
/// awaited.
const BURST_S: f64 = 0.05;
/// Calls a second that one second of quick replies adds to a gateway's rate, however low that is.
const MAX_RECOVERY_PER_S: f64 = 20.0;
/// Calls a second that one second of quick replies adds to the rates of all gateways together.
const MAX_FLEET_RECOVERY_PER_S: f64 = 80.0;
/// Reply time above which a reply is slow, if it also exceeds `SLOW_REPLY_MULTIPLE` times the lowest one: calls
/// then queue at the counter.
const MIN_SLOW_REPLY_US: Micros = 30_000;
/// Multiple of the lowest reply time above which a reply is slow, if it also exceeds `MIN_SLOW_REPLY_US`.
const SLOW_REPLY_MULTIPLE: f64 = 2.0;
/// Weight of one reply in the mean reply time, which covers about the last twenty.
const MEAN_REPLY_WEIGHT: f64 = 0.05;
/// Growth of the rate at a quick reply.
const GROWTH_FACTOR: f64 = 1.05;
/// Growth of the rate at a quick reply during the startup of a large fleet that has only the counter.
const STARTUP_GROWTH_FACTOR: f64 = 2.0;
/// Factor on the rate at a slow reply.
const BACKOFF_FACTOR: f64 = 0.8;

/// Number of gateways up to which a fleet is small. In a larger one each gateway can make few calls, and sees
/// little of any one customer or server.
pub(crate) const MAX_SMALL_FLEET_GATEWAYS: u32 = 8;

/// A token bucket of calls to the counter. Quick replies raise its rate; slow and missing ones lower it. All
/// gateways share the counter, so each of them backs off.
pub(crate) struct CounterRateLimiter {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
    adjusted_at: Micros,
    /// Lowest reply times of the current control interval and of the previous one.
    lowest_us: [f64; 2],
    /// Mean reply time.
    mean_us: f64,
    /// Calls a second that one second of quick replies adds to the rate.
    recovery_per_s: f64,
    /// Whether the rate still doubles at each quick reply: in a large fleet, until the first slow one shows what
    /// the counter can take.
    in_startup: bool,
}

impl CounterRateLimiter {
    /// Creates the limiter of one of `gateways` gateways. `has_only_counter`: the gateways learn of each other's
    /// usage from the counter alone.
    pub fn new(gateways: u32, has_only_counter: bool) -> Self {
        // In a large fleet each gateway learns from fewer calls, so it starts at a proportionally lower rate.
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

    /// Returns the maximum number of calls saved up.
    fn burst(&self) -> f64 {
        (self.rate_per_s * BURST_S).max(MIN_BURST_CALLS)
    }

    /// Returns the time in which one call is saved up.
    pub fn refill_us(&self) -> f64 {
        1e6 / self.rate_per_s
    }

    /// Returns the mean reply time.
    pub fn mean_reply_us(&self) -> f64 {
        self.mean_us
    }

    /// Takes a call if one is saved up. `kept_share` of the burst is left for more important calls.
    pub fn try_take(&mut self, now: Micros, kept_share: f64) -> bool {
        // In a large fleet the time before the first call earns no tokens beyond `INITIAL_TOKENS`.
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

    /// Adjusts the rate after a call. Slow, rejected and unanswered calls lower it; quick ones raise it unless more
    /// than half of the burst is saved up, by a factor and by the time since the last adjustment. Only calls sent
    /// since the last adjustment count, as only they reflect the present rate: calls in flight together adjust it
    /// once, so a pause that delays many calls at once has little effect. Where a counter loses most of its
    /// capacity, the rate falls slowly.
    pub fn record_reply(&mut self, now: Micros, sent_at: Micros, has_reply: bool) {
        let reply_us = (now - sent_at) as f64;
        let since_adjusted_s = (now - self.adjusted_at).min(1_000_000) as f64 / 1e6;
        if has_reply {
            self.lowest_us[0] = self.lowest_us[0].min(reply_us);
        }
        self.mean_us += MEAN_REPLY_WEIGHT * (reply_us - self.mean_us);
        // The lowest time covers only the last seconds: a counter that has become slow under any load is still
        // worth querying.
        let lowest_us = self.lowest_us[0].min(self.lowest_us[1]);
        let slow_us = (SLOW_REPLY_MULTIPLE * lowest_us).max(MIN_SLOW_REPLY_US as f64);
        let is_quick = has_reply && reply_us <= slow_us;
        let does_not_limit = is_quick && self.tokens > 1.0 + self.burst() / 2.0;
        if sent_at < self.adjusted_at || does_not_limit {
            return;
        }
        // A large fleet that starts or restarts does not begin at its full rate: the rate doubles until the first
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
