//! How many calls the shared counter bears.

use crate::interface::Micros;

const INITIAL_CALLS_PER_S: f64 = 1500.0; // calls a second to the counter, all gateways, until its answers tell more
const INITIAL_TOKENS: f64 = 3.0; // calls saved up at the start: an ask and what follows from it, which may be less urgent
const MIN_CALLS_PER_S: f64 = 0.2; // calls a second that are always tried, to see it recover
const MIN_BURST_CALLS: f64 = 4.0; // calls saved up at least, for a rush...
const BURST_S: f64 = 0.05; // s; ...or what is answered while one is awaited
const MAX_RECOVERY_PER_S: f64 = 20.0; // calls a second that a second of quick answers wins back, however few they were...
const MAX_FLEET_RECOVERY_PER_S: f64 = 80.0; // ...and all gateways together at most
const MIN_SLOW_REPLY_US: Micros = 30_000; // µs; an answer later than this may say that calls wait in line...
const MEAN_REPLY_WEIGHT: f64 = 0.05; // of one answer in the mean answer time: about the last twenty
const SLOW_REPLY_MULTIPLE: f64 = 2.0; // ...and later than so many of the least answer time, which may be long by itself

/// Gateways: of more each has few calls, and sees little of any customer or server.
pub(crate) const MAX_SMALL_FLEET_GATEWAYS: u32 = 8;

/// Calls to the counter: as many a second as it answers quickly. The fleet shares it, so each backs off.
pub(crate) struct CounterRateLimiter {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
    adjusted_at: Micros,
    lowest_us: [f64; 2], // least answer time in this interval and in the one before
    mean_us: f64,        // mean answer time of late
    recovery_per_s: f64, // calls a second won back in a second of quick answers
    in_startup: bool,    // no answer was slow yet: what the counter bears is unknown
}

impl CounterRateLimiter {
    /// `alone`: the gateways have nothing but the counter to tell each other by.
    pub fn new(gateways: u32, alone: bool) -> Self {
        // Each of many learns by fewer calls, and begins with as much less.
        let many = if alone {
            (f64::from(MAX_SMALL_FLEET_GATEWAYS) / f64::from(gateways)).min(1.0)
        } else {
            1.0
        };
        let rate = INITIAL_CALLS_PER_S / f64::from(gateways) * many;
        let back = MAX_RECOVERY_PER_S.min(MAX_FLEET_RECOVERY_PER_S / f64::from(gateways));
        CounterRateLimiter {
            rate_per_s: rate,
            tokens: INITIAL_TOKENS,
            refilled_at: 0,
            adjusted_at: 0,
            lowest_us: [f64::MAX; 2],
            mean_us: 0.0,
            recovery_per_s: back,
            in_startup: many < 1.0,
        }
    }

    /// Another control interval begins.
    pub fn end_interval(&mut self) {
        self.lowest_us = [f64::MAX, self.lowest_us[0]];
    }

    fn burst(&self) -> f64 {
        (self.rate_per_s * BURST_S).max(MIN_BURST_CALLS)
    }

    /// How long it takes to save up a call.
    pub fn refill_us(&self) -> f64 {
        1e6 / self.rate_per_s
    }

    /// How long an answer takes.
    pub fn mean_reply_us(&self) -> f64 {
        self.mean_us
    }

    /// No more at once than are answered while one waits; `spared` of these are left for calls that matter more.
    pub fn try_take(&mut self, now: Micros, spared: f64) -> bool {
        // Nothing was saved up before the first call where many begin.
        self.refilled_at = if self.in_startup && self.refilled_at == 0 {
            now
        } else {
            self.refilled_at
        };
        let (s, most) = (
            now.saturating_sub(self.refilled_at) as f64 / 1e6,
            self.burst(),
        );
        self.tokens = (self.tokens + self.rate_per_s * s).min(1.0 + most);
        self.refilled_at = now;
        let may = self.tokens >= 1.0 + spared * most;
        self.tokens -= f64::from(u8::from(may));
        may
    }

    /// Slow, refused and unanswered calls lower the rate, quick ones raise it where it binds, in steps and by time.
    /// Only calls made since the last move tell of the present rate: those that were out together move it once. Guards
    /// against any pause that spoils many calls at once; lowers too slowly where a counter loses most of its capacity.
    pub fn record_reply(&mut self, now: Micros, sent: Micros, served: bool) {
        let (took, s) = (
            (now - sent) as f64,
            (now - self.adjusted_at).min(1_000_000) as f64 / 1e6,
        );
        if served {
            self.lowest_us[0] = self.lowest_us[0].min(took);
        }
        self.mean_us += MEAN_REPLY_WEIGHT * (took - self.mean_us);
        // What is usual goes by the last seconds: a counter that has become slow by itself is still worth asking.
        let least = self.lowest_us[0].min(self.lowest_us[1]);
        let quick = served && took <= (SLOW_REPLY_MULTIPLE * least).max(MIN_SLOW_REPLY_US as f64);
        if sent < self.adjusted_at || quick && self.tokens > 1.0 + self.burst() / 2.0 {
            return;
        }
        // Doubled until the first that is slow: guards against a fleet that begins, or begins anew, with all it could ask.
        self.in_startup &= quick;
        let factor = if self.in_startup { 2.0 } else { 1.05 };
        let (up, down) = (
            self.rate_per_s * factor + self.recovery_per_s * s,
            self.rate_per_s * 0.8,
        );
        self.rate_per_s = if quick { up } else { down }.clamp(MIN_CALLS_PER_S, INITIAL_CALLS_PER_S);
        self.adjusted_at = now;
    }
}
