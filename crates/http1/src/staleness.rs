//! Learns from which age on an idle connection should not be used any more.

use std::time::Duration;

const BUCKET_COUNT: usize = 12;
/// Upper end of the first bucket; each further bucket covers twice the age of the one before.
const FIRST_BUCKET_AGE: Duration = Duration::from_millis(12);
/// Fewer lost requests than this do not condemn an age: some are lost at any age.
const MIN_LOST: f64 = 3.0;
/// Nor does a smaller fraction of the requests.
const MIN_LOST_FRACTION: f64 = 0.12;
/// What remains of the counts each second, so that an age that was condemned is used again.
const DECAY_PER_SECOND: f64 = 0.93;

/// Outcomes of requests on connections that were idle before, by how long they had been idle.
///
/// A server that closes an idle connection may do so unnoticed, and sooner than it should: a request written to it then
/// is answered by a reset, and may have run.
#[derive(Default)]
pub struct StalenessEstimator {
    buckets: [AgeBucket; BUCKET_COUNT],
}

#[derive(Default, Clone, Copy)]
struct AgeBucket {
    used: f64,
    lost: f64,
}

impl AgeBucket {
    fn is_too_old(&self) -> bool {
        self.lost >= MIN_LOST && self.lost >= self.used * MIN_LOST_FRACTION
    }
}

impl StalenessEstimator {
    /// A reset within this time after a request is attributed to a stale connection.
    pub const STALE_RESET_WINDOW: Duration = Duration::from_millis(10);

    /// Counts a request on a connection that had been idle for `idle`, and whether it was lost to a reset.
    pub fn record_use(&mut self, idle: Duration, is_lost: bool) {
        let doublings = (idle.as_secs_f64() / FIRST_BUCKET_AGE.as_secs_f64())
            .max(1.0)
            .log2() as usize;
        let last_bucket = self.buckets.len() - 1;
        let bucket = &mut self.buckets[doublings.min(last_bucket)];
        bucket.used += 1.0;
        bucket.lost += f64::from(u8::from(is_lost));
    }

    /// Lets old outcomes fade; to be called once a second.
    pub fn decay(&mut self) {
        for bucket in &mut self.buckets {
            bucket.used *= DECAY_PER_SECOND;
            bucket.lost *= DECAY_PER_SECOND;
        }
    }

    /// The age from which on too many requests are lost; `Duration::MAX` if there is none.
    pub fn max_idle_age(&self) -> Duration {
        match self.buckets.iter().position(AgeBucket::is_too_old) {
            Some(index) => FIRST_BUCKET_AGE * (1 << index),
            None => Duration::MAX,
        }
    }
}
