//! How many calls the shared counter bears.

use crate::interface::Micros;

const CALLS_START: f64 = 1500.0; // calls a second to the counter, all gateways, until its answers tell more
const FIRST: f64 = 3.0; // calls saved up at the start: an ask and what follows from it, which may be less urgent
const CALLS_LEAST: f64 = 0.2; // calls a second that are always tried, to see it recover
const CALLS_AT_ONCE: f64 = 4.0; // calls saved up at least, for a rush...
const CALLS_AT_ONCE_S: f64 = 0.05; // s; ...or what is answered while one is awaited
const CALLS_BACK: f64 = 20.0; // calls a second that a second of quick answers wins back, however few they were...
const CALLS_BACK_ALL: f64 = 80.0; // ...and all gateways together at most
const SLOW_CALL_US: Micros = 30_000; // µs; an answer later than this may say that calls wait in line...
const USUAL_WEIGHT: f64 = 0.05; // of one answer in the mean answer time: about the last twenty
const SLOW_CALL: f64 = 2.0; // ...and later than so many of the least answer time, which may be long by itself

/// Gateways: of more each has few calls, and sees little of any customer or server.
pub(crate) const FEW: u32 = 8;

/// Calls to the counter: as many a second as it answers quickly. The fleet shares it, so each backs off.
pub(crate) struct Calls {
    rate: f64,
    tokens: f64,
    at: Micros,
    moved_at: Micros,
    least_us: [f64; 2], // least answer time in this interval and in the one before
    usual_us: f64,      // mean answer time of late
    back: f64,          // calls a second won back in a second of quick answers
    begins: bool,       // no answer was slow yet: what the counter bears is unknown
}

impl Calls {
    /// `alone`: the gateways have nothing but the counter to tell each other by.
    pub fn new(gateways: u32, alone: bool) -> Self {
        // Each of many learns by fewer calls, and begins with as much less.
        let many = if alone {
            (f64::from(FEW) / f64::from(gateways)).min(1.0)
        } else {
            1.0
        };
        let rate = CALLS_START / f64::from(gateways) * many;
        let back = CALLS_BACK.min(CALLS_BACK_ALL / f64::from(gateways));
        Calls {
            rate,
            tokens: FIRST,
            at: 0,
            moved_at: 0,
            least_us: [f64::MAX; 2],
            usual_us: 0.0,
            back,
            begins: many < 1.0,
        }
    }

    /// Another control interval begins.
    pub fn interval(&mut self) {
        self.least_us = [f64::MAX, self.least_us[0]];
    }

    fn saved(&self) -> f64 {
        (self.rate * CALLS_AT_ONCE_S).max(CALLS_AT_ONCE)
    }

    /// How long it takes to save up a call.
    pub fn pause_us(&self) -> f64 {
        1e6 / self.rate
    }

    /// How long an answer takes.
    pub fn usual_us(&self) -> f64 {
        self.usual_us
    }

    /// No more at once than are answered while one waits; `spared` of these are left for calls that matter more.
    pub fn take(&mut self, now: Micros, spared: f64) -> bool {
        // Nothing was saved up before the first call where many begin.
        self.at = if self.begins && self.at == 0 {
            now
        } else {
            self.at
        };
        let (s, most) = (now.saturating_sub(self.at) as f64 / 1e6, self.saved());
        self.tokens = (self.tokens + self.rate * s).min(1.0 + most);
        self.at = now;
        let may = self.tokens >= 1.0 + spared * most;
        self.tokens -= f64::from(u8::from(may));
        may
    }

    /// Slow, refused and unanswered calls lower the rate, quick ones raise it where it binds, in steps and by time.
    /// Only calls made since the last move tell of the present rate: those that were out together move it once. Guards
    /// against any pause that spoils many calls at once; lowers too slowly where a counter loses most of its capacity.
    pub fn learn(&mut self, now: Micros, sent: Micros, served: bool) {
        let (took, s) = (
            (now - sent) as f64,
            (now - self.moved_at).min(1_000_000) as f64 / 1e6,
        );
        if served {
            self.least_us[0] = self.least_us[0].min(took);
        }
        self.usual_us += USUAL_WEIGHT * (took - self.usual_us);
        // What is usual goes by the last seconds: a counter that has become slow by itself is still worth asking.
        let least = self.least_us[0].min(self.least_us[1]);
        let quick = served && took <= (SLOW_CALL * least).max(SLOW_CALL_US as f64);
        if sent < self.moved_at || quick && self.tokens > 1.0 + self.saved() / 2.0 {
            return;
        }
        // Doubled until the first that is slow: guards against a fleet that begins, or begins anew, with all it could ask.
        self.begins &= quick;
        let factor = if self.begins { 2.0 } else { 1.05 };
        let (up, down) = (self.rate * factor + self.back * s, self.rate * 0.8);
        self.rate = if quick { up } else { down }.clamp(CALLS_LEAST, CALLS_START);
        self.moved_at = now;
    }
}
