//! The average response time of the counter, and the silence timeout derived from it.

use std::cell::Cell;
use std::time::Duration;

/// Silence timeout, as a multiple of the average response time.
const SILENCE_TIMEOUT_FACTOR: f64 = 4.0;
/// Minimum of the silence timeout, as a fraction of the call timeout, since a short delay of a fast counter is not a
/// failure.
const MIN_SILENCE_TIMEOUT_FRACTION: f64 = 0.4;
/// Maximum of the silence timeout, however slow the counter was before.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Weight of one reply in the moving average, so that about the last ten replies determine it.
const REPLY_WEIGHT: f64 = 0.1;
/// Factor by which each silent connection raises the average response time. Without it, every connection to a counter
/// that has become slower would be closed before the reply arrives that would raise the average.
const SILENCE_GROWTH_FACTOR: f64 = 1.5;

/// The exponential moving average of response times over all connections.
pub struct ResponseTime {
    average: Cell<Duration>,
    call_timeout: Duration,
}

impl ResponseTime {
    /// Starts with the call timeout as the average, since no response time is known yet.
    pub fn new(call_timeout: Duration) -> Self {
        ResponseTime {
            average: Cell::new(call_timeout),
            call_timeout,
        }
    }

    /// Adds the response time of one call, capped at [`MAX_SILENCE_TIMEOUT`], to the average.
    pub fn record(&self, response_time: Duration) {
        let response_time = response_time.min(MAX_SILENCE_TIMEOUT);
        let average = self.average.get();
        self.average
            .set(average.mul_f64(1.0 - REPLY_WEIGHT) + response_time.mul_f64(REPLY_WEIGHT));
    }

    /// Raises the average, up to the call timeout, since a connection became silent.
    pub fn record_silence(&self) {
        let average = self.average.get().mul_f64(SILENCE_GROWTH_FACTOR);
        self.average.set(average.min(self.call_timeout));
    }

    /// Returns how long a connection with pending calls may receive no data before it counts as silent.
    pub fn silence_timeout(&self) -> Duration {
        let min_silence_timeout = self.call_timeout.mul_f64(MIN_SILENCE_TIMEOUT_FRACTION);
        self.average
            .get()
            .mul_f64(SILENCE_TIMEOUT_FACTOR)
            .max(min_silence_timeout)
            .min(MAX_SILENCE_TIMEOUT)
    }
}
