//! The remaining time that a server is informed of.

use crate::attempt_permit::WriteDenied;
use std::time::Duration;
use tokio::time::Instant;

/// A write that takes longer than was allowed for makes the forwarded time wrong by this much at most; the rest of the
/// protocol's tolerance is for a process that is held up.
const MAX_STALENESS: Duration = Duration::from_millis(50);

/// The remaining time that the head of a request states: how long the gateway will wait for the response.
///
/// The head is written before the body, so the time that a long body takes to be written is deducted beforehand.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedDeadline {
    created_at: Instant,
    remaining: Duration,
    write_allowance: Duration,
}

impl ForwardedDeadline {
    /// For an attempt that is awaited until `deadline`. `has_long_body`: writing the body may take a while.
    pub fn new(deadline: Instant, has_long_body: bool) -> Self {
        let created_at = Instant::now();
        let remaining = deadline.saturating_duration_since(created_at);
        let write_allowance = if has_long_body {
            remaining / 4
        } else {
            Duration::ZERO
        };
        ForwardedDeadline {
            created_at,
            remaining,
            write_allowance,
        }
    }

    /// The remaining time to state in the request.
    pub fn remaining(&self) -> Duration {
        self.remaining - self.write_allowance
    }

    /// Until when the server works if the request is complete now.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.remaining()
    }

    /// Checks that the stated time still holds for a request whose last byte is written now.
    ///
    /// # Errors
    /// [`WriteDenied::ToldTimeStale`] if the writing has taken too long.
    pub fn check(&self) -> Result<(), WriteDenied> {
        if self.created_at.elapsed() > self.write_allowance + MAX_STALENESS {
            return Err(WriteDenied::ForwardedDeadlineStale);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
