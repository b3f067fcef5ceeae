//! Watchdog of a connection (RFC 3539 section 3.4.1).
//!
//! This module does no I/O and reads no clock: the caller passes the time in microseconds.
//!
//! ```text
//!   INITIAL --up, first time--> OKAY <--3 answers-- REOPEN <--up, again-- DOWN
//!                                | ^                   |                   ^ ^
//!              no answer in Tw   | | any message       | no answer         | |
//!                                v |                   +-------------------+ |
//!                             SUSPECT ------------ nothing in Tw ------------+
//! ```

use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Maximum deviation of Tw from its configured value, chosen at random for each interval (2 s in RFC 3539 section 3.4.1).
const MAX_JITTER_US: u64 = 2_000_000;
/// Number of watchdog answers that a reconnected peer has to send before it gets requests.
const MIN_REOPEN_ANSWERS: u8 = 3;

/// States of the watchdog (RFC 3539 section 3.4.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The peer has never been connected.
    Initial,
    /// The peer is connected; requests may be sent.
    Okay,
    /// The peer is connected but did not answer a watchdog request in time.
    Suspect,
    /// The peer was connected earlier and is not connected now.
    Down,
    /// The peer has reconnected and gets no requests until it has answered `MIN_REOPEN_ANSWERS` watchdog requests.
    Reopen,
}

/// Action that the watchdog requires on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a Device-Watchdog-Request.
    SendRequest,
    /// Send new requests to other peers; pending requests may be sent to other peers as well.
    Failover,
    /// Send requests to the peer again.
    Failback,
    /// Close the connection.
    Close,
}

/// State machine of the watchdog.
pub struct Watchdog {
    /// Mean time without a message after which a watchdog request is sent.
    tw_us: u64,
    status: Status,
    /// Whether a watchdog request is not answered yet.
    is_answer_pending: bool,
    /// Number of watchdog answers since the peer reconnected.
    reopen_answer_count: u8,
    /// Time at which Tw elapses; `u64::MAX` for never.
    due_us: u64,
}

impl Watchdog {
    /// Creates the watchdog of a peer that has never been connected. `tw_us` is the mean time without a message after
    /// which a watchdog request is sent, Tw in RFC 3539.
    pub fn new(tw_us: u64) -> Self {
        Watchdog {
            tw_us,
            status: Status::Initial,
            is_answer_pending: false,
            reopen_answer_count: 0,
            due_us: u64::MAX,
        }
    }

    /// Returns the current state.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Returns the time at which to call [`handle_timeout`](Self::handle_timeout); `u64::MAX` for never.
    pub fn due_us(&self) -> u64 {
        self.due_us
    }

    /// Restarts the timer with a new random deviation.
    fn reset_timer(&mut self, now_us: u64, rng: &mut Pcg64Mcg) {
        // RFC 3539 allows no Tw below 6 s, but a shorter one may be configured, as on loopback. The maximum jitter is
        // Tw / 5 for a Tw below 10 s.
        let max_jitter_us = MAX_JITTER_US.min(self.tw_us / 5).max(1);
        let jitter_us = u64::from(rng.next_u32()) % (2 * max_jitter_us);
        self.due_us = now_us + self.tw_us - max_jitter_us + jitter_us;
    }

    /// Handles the completed capabilities exchange.
    pub fn handle_up(&mut self, now_us: u64, rng: &mut Pcg64Mcg) -> Option<Action> {
        self.reset_timer(now_us, rng);
        let is_reopened = self.status == Status::Down;
        self.status = if is_reopened {
            Status::Reopen
        } else {
            Status::Okay
        };
        self.is_answer_pending = is_reopened;
        self.reopen_answer_count = 0;
        is_reopened.then_some(Action::SendRequest)
    }

    /// Handles the end of the connection.
    pub fn handle_down(&mut self) {
        self.status = Status::Down;
        self.is_answer_pending = false;
        self.due_us = u64::MAX;
    }

    /// Handles a received message. `is_watchdog_answer`: the message is a Device-Watchdog-Answer.
    pub fn handle_message(
        &mut self,
        now_us: u64,
        is_watchdog_answer: bool,
        rng: &mut Pcg64Mcg,
    ) -> Option<Action> {
        if is_watchdog_answer {
            self.is_answer_pending = false;
        }
        match self.status {
            Status::Okay => {
                self.reset_timer(now_us, rng);
                None
            }
            Status::Suspect => {
                self.status = Status::Okay;
                self.reset_timer(now_us, rng);
                Some(Action::Failback)
            }
            Status::Reopen if is_watchdog_answer => {
                self.reopen_answer_count += 1;
                if self.reopen_answer_count < MIN_REOPEN_ANSWERS {
                    return None;
                }
                self.status = Status::Okay;
                self.reset_timer(now_us, rng);
                Some(Action::Failback)
            }
            _ => None,
        }
    }

    /// Handles the timer if Tw has elapsed.
    pub fn handle_timeout(&mut self, now_us: u64, rng: &mut Pcg64Mcg) -> Option<Action> {
        if now_us < self.due_us {
            return None;
        }
        self.reset_timer(now_us, rng);
        match (self.status, self.is_answer_pending) {
            (Status::Okay | Status::Reopen, false) => {
                self.is_answer_pending = true;
                Some(Action::SendRequest)
            }
            (Status::Okay, true) => {
                self.status = Status::Suspect;
                Some(Action::Failover)
            }
            (Status::Suspect | Status::Reopen, _) => {
                self.handle_down();
                Some(Action::Close)
            }
            _ => {
                self.due_us = u64::MAX;
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
