//! Estimates the idle time from which on a connection should not be reused.

use std::time::Duration;

const BUCKET_COUNT: usize = 12;
/// Idle time at which the first bucket begins. Bucket `i` covers idle times from `FIRST_BUCKET_IDLE_TIME * 2^i` up to
/// `FIRST_BUCKET_IDLE_TIME * 2^(i + 1)`. The first bucket also covers all shorter idle times, the last one all longer
/// ones.
const FIRST_BUCKET_IDLE_TIME: Duration = Duration::from_millis(12);
/// Minimum decayed number of lost requests at which connections with a bucket's idle times are no longer reused: some
/// requests are lost at any idle time.
const MIN_LOST: f64 = 3.0;
/// Minimum lost fraction of a bucket's requests at which connections with its idle times are no longer reused.
const MIN_LOST_FRACTION: f64 = 0.12;
/// Factor by which [`StalenessEstimator::decay`] multiplies the counts once a second, so that idle times with too many
/// lost requests are tried again.
const DECAY_PER_SECOND: f64 = 0.93;

/// Estimates the idle time from which on connections fail too often, from the outcomes of requests on reused
/// connections.
///
/// A server may close an idle connection sooner than it should, without the gateway noticing: the server then
/// answers the next request with a reset, and may have executed the request.
#[derive(Default)]
pub struct StalenessEstimator {
    buckets: [IdleTimeBucket; BUCKET_COUNT],
}

/// Decayed counts of the requests on connections within a range of idle times.
#[derive(Default, Clone, Copy)]
struct IdleTimeBucket {
    requests: f64,
    lost_requests: f64,
}

impl IdleTimeBucket {
    /// Returns whether too many requests of this bucket were lost.
    fn loses_too_many(&self) -> bool {
        self.lost_requests >= MIN_LOST && self.lost_requests >= self.requests * MIN_LOST_FRACTION
    }
}

impl StalenessEstimator {
    /// Maximum time from the start of a request to a failure of its connection, mostly a reset, that is attributed to
    /// the connection's idle time.
    pub const STALE_FAILURE_WINDOW: Duration = Duration::from_millis(10);

    /// Records a request on a connection that was idle for `idle_time`; `is_lost` states whether the connection failed
    /// within [`Self::STALE_FAILURE_WINDOW`].
    pub fn record_use(&mut self, idle_time: Duration, is_lost: bool) {
        let doublings = (idle_time.as_secs_f64() / FIRST_BUCKET_IDLE_TIME.as_secs_f64())
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
    pub fn max_idle_time(&self) -> Duration {
        match self.buckets.iter().position(IdleTimeBucket::loses_too_many) {
            Some(index) => FIRST_BUCKET_IDLE_TIME * (1 << index),
            None => Duration::MAX,
        }
    }
}
