//! Estimates the idle time from which on a connection should not be reused.

use std::time::Duration;

const BUCKET_COUNT: usize = 12;
/// Idle time at which the first bucket begins: bucket `i` covers the idle times from `2^i` times this to twice that.
/// The first bucket also covers all shorter idle times, the last one all longer ones.
const FIRST_BUCKET_AGE: Duration = Duration::from_millis(12);
/// Minimum number of lost requests at which a bucket is too old: some requests are lost at any idle time.
const MIN_LOST: f64 = 3.0;
/// Minimum fraction of a bucket's requests that are lost at which the bucket is too old.
const MIN_LOST_FRACTION: f64 = 0.12;
/// Factor on the counts each second, so that an idle time that was too old is tried again.
const DECAY_PER_SECOND: f64 = 0.93;

/// Estimator of the maximum idle time, from the outcomes of requests on reused connections by their idle time.
///
/// A server may close an idle connection sooner than it should, without the gateway noticing: it then answers the next
/// request with a reset, and may have executed it.
#[derive(Default)]
pub struct StalenessEstimator {
    buckets: [AgeBucket; BUCKET_COUNT],
}

/// Decayed counts of the requests on connections within a range of idle times.
#[derive(Default, Clone, Copy)]
struct AgeBucket {
    requests: f64,
    lost_requests: f64,
}

impl AgeBucket {
    /// Returns whether too many requests of this bucket were lost.
    fn is_too_old(&self) -> bool {
        self.lost_requests >= MIN_LOST && self.lost_requests >= self.requests * MIN_LOST_FRACTION
    }
}

impl StalenessEstimator {
    /// Maximum time from the start of a request to a reset that is attributed to a stale connection.
    pub const STALE_RESET_WINDOW: Duration = Duration::from_millis(10);

    /// Records a request on a connection that was idle for `idle`; `is_lost` states whether it was lost to a reset.
    pub fn record_use(&mut self, idle: Duration, is_lost: bool) {
        let doublings = (idle.as_secs_f64() / FIRST_BUCKET_AGE.as_secs_f64())
            .max(1.0)
            .log2() as usize;
        let last_bucket = self.buckets.len() - 1;
        let bucket = &mut self.buckets[doublings.min(last_bucket)];
        bucket.requests += 1.0;
        bucket.lost_requests += f64::from(u8::from(is_lost));
    }

    /// Reduces the weight of old outcomes. Must be called once a second.
    pub fn decay(&mut self) {
        for bucket in &mut self.buckets {
            bucket.requests *= DECAY_PER_SECOND;
            bucket.lost_requests *= DECAY_PER_SECOND;
        }
    }

    /// Returns the idle time from which on too many requests are lost, or `Duration::MAX` if there is none.
    pub fn max_idle_age(&self) -> Duration {
        match self.buckets.iter().position(AgeBucket::is_too_old) {
            Some(index) => FIRST_BUCKET_AGE * (1 << index),
            None => Duration::MAX,
        }
    }
}
