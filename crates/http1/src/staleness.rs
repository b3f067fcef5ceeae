//! From which age on an idle connection should not be used any more.

use std::time::Duration;

/// A server that closes an idle connection may do so unseen, and sooner than it should: a request written to it then is
/// answered by a reset, and may have run. How such requests ended, by how long their connections had been idle, tells
/// from when on none should be written.
#[derive(Default)]
pub struct Staleness([Tally; 12]);

#[derive(Default, Clone, Copy)]
struct Tally {
    used: f64,
    lost: f64,
}

impl Staleness {
    /// Ages from here on are told apart, by doubling; this is as good as in use.
    const LEAST: Duration = Duration::from_millis(12);
    /// A reset that comes sooner than this after a request is taken for the answer to a stale one.
    pub const AT_ONCE: Duration = Duration::from_millis(10);
    /// Lost at least, and as a share of those used, before an age is held to be too old: some are lost at any age.
    const MANY: f64 = 3.0;
    const SHARE: f64 = 0.12;
    /// What is kept of the tallies each second, so that an age is tried again.
    const KEPT: f64 = 0.93;

    pub fn note(&mut self, idle: Duration, lost: bool) {
        let doublings = (idle.as_secs_f64() / Self::LEAST.as_secs_f64())
            .max(1.0)
            .log2() as usize;
        let tally = &mut self.0[doublings.min(self.0.len() - 1)];
        tally.used += 1.0;
        tally.lost += f64::from(u8::from(lost));
    }

    pub fn fade(&mut self) {
        for tally in &mut self.0 {
            (tally.used, tally.lost) = (tally.used * Self::KEPT, tally.lost * Self::KEPT);
        }
    }

    /// The age from which on too many are lost.
    pub fn limit(&self) -> Duration {
        let old = |t: &Tally| t.lost >= Self::MANY && t.lost >= t.used * Self::SHARE;
        match self.0.iter().position(old) {
            Some(n) => Self::LEAST * (1 << n),
            None => Duration::MAX,
        }
    }
}
