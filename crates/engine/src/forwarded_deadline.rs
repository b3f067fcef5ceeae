//! The remaining time that a request states to a server.

use crate::attempt_permit::WriteDenied;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum time by which writing may exceed its allowance, and thus the error of the forwarded time. The rest of
/// the protocol's tolerance is reserved for delays of the process.
const MAX_STALENESS: Duration = Duration::from_millis(50);

/// The remaining time that the head of a request states: the time that the gateway waits for the response, less an
/// allowance for writing a long body.
///
/// The head is written before the body, so the allowance is deducted in advance.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedDeadline {
    created_at: Instant,
    remaining: Duration,
    write_allowance: Duration,
}

impl ForwardedDeadline {
    /// Computes the remaining time of an attempt that is awaited until `deadline`. With `has_long_body`, a quarter of
    /// it is deducted for writing the body.
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

    /// Returns the remaining time to state in the request head.
    pub fn remaining(&self) -> Duration {
        self.remaining - self.write_allowance
    }

    /// Returns the deadline that the server computes from the stated time if the last byte of the request arrives now.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.remaining()
    }

    /// Checks that the stated time is still correct for a request whose last byte is written now.
    ///
    /// # Errors
    /// Returns [`WriteDenied::ForwardedDeadlineStale`] if writing has taken longer than the allowance and tolerance.
    pub fn check(&self) -> Result<(), WriteDenied> {
        if self.created_at.elapsed() > self.write_allowance + MAX_STALENESS {
            return Err(WriteDenied::ForwardedDeadlineStale);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
