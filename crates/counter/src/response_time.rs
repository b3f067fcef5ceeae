//! The usual response time of the counter, and the silence that follows from it.

use std::cell::Cell;
use std::time::Duration;

/// A connection with calls pending counts as silent after this many usual response times without any data.
const SILENCE_RESPONSE_TIMES: f64 = 4.0;
/// The least silence, as a share of the call timeout: a short delay of a fast counter is not a failure.
const MIN_SILENCE_SHARE: f64 = 0.4;
/// The longest silence, however slow the counter was before.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Weight of one reply in the usual response time: about the last ten replies matter.
const REPLY_WEIGHT: f64 = 0.1;
/// Growth of the usual response time with each connection that falls silent. Without it, replies of a counter that has
/// become slower would always come too late to be seen.
const GROWTH_ON_SILENCE: f64 = 1.5;

/// A moving average of response times over all connections.
pub struct ResponseTime {
    usual: Cell<Duration>,
    call_timeout: Duration,
}

impl ResponseTime {
    /// Nothing is known yet: a reply may take as long as a call waits.
    pub fn new(call_timeout: Duration) -> Self {
        ResponseTime {
            usual: Cell::new(call_timeout),
            call_timeout,
        }
    }

    /// Takes the response time of one call.
    pub fn record(&self, response_time: Duration) {
        let response_time = response_time.min(MAX_SILENCE);
        let usual = self.usual.get();
        self.usual
            .set(usual.mul_f64(1.0 - REPLY_WEIGHT) + response_time.mul_f64(REPLY_WEIGHT));
    }

    /// Takes note of a connection that fell silent.
    pub fn record_silence(&self) {
        let usual = self.usual.get().mul_f64(GROWTH_ON_SILENCE);
        self.usual.set(usual.min(self.call_timeout));
    }

    /// How long a connection with calls pending may be without data before it counts as silent.
    pub fn silence_timeout(&self) -> Duration {
        let min_silence = self.call_timeout.mul_f64(MIN_SILENCE_SHARE);
        self.usual
            .get()
            .mul_f64(SILENCE_RESPONSE_TIMES)
            .max(min_silence)
            .min(MAX_SILENCE)
    }
}
