//! The watchdog of a connection (RFC 3539 section 3.4.1). No I/O and no clock: times are microseconds, handed in.
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

/// Largest deviation of Tw from its configured value, drawn anew each time (RFC 3539 section 3.4.1: 2 s).
const MAX_JITTER_US: u64 = 2_000_000;
/// Watchdog answers that a reopened connection has to give before requests are sent on it.
const REOPEN_ANSWERS: u8 = 3;

/// The states of RFC 3539 section 3.4.1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Never connected.
    Initial,
    /// Connected; requests may be sent.
    Okay,
    /// A watchdog request has not been answered in time.
    Suspect,
    /// Not connected, but it was before.
    Down,
    /// Connected again, but not yet trusted with requests.
    Reopen,
}

/// What the watchdog requires from the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a Device-Watchdog-Request.
    SendRequest,
    /// Send new requests to other peers; pending ones may be sent to others as well.
    Failover,
    /// The peer is back: it gets requests again.
    Failback,
    /// Close the connection.
    Close,
}

/// The watchdog's state machine.
pub struct Watchdog {
    tw_us: u64,
    status: Status,
    is_answer_pending: bool,
    /// Watchdog answers since the connection was reopened.
    reopen_answers: u8,
    due_us: u64,
}

impl Watchdog {
    /// `tw_us`: the mean time without a message after which a watchdog request is sent, Tw in RFC 3539.
    pub fn new(tw_us: u64) -> Self {
        Watchdog {
            tw_us,
            status: Status::Initial,
            is_answer_pending: false,
            reopen_answers: 0,
            due_us: u64::MAX,
        }
    }

    /// The current state.
    pub fn status(&self) -> Status {
        self.status
    }

    /// When [`handle_timeout`](Self::handle_timeout) is to be called; `u64::MAX` for never.
    pub fn due_us(&self) -> u64 {
        self.due_us
    }

    fn reset_timer(&mut self, now_us: u64, rng: &mut Pcg64Mcg) {
        // RFC 3539 allows no Tw below 6 s. Shorter ones, as on loopback, get a jitter in proportion.
        let max_jitter_us = MAX_JITTER_US.min(self.tw_us / 5).max(1);
        let jitter_us = u64::from(rng.next_u32()) % (2 * max_jitter_us);
        self.due_us = now_us + self.tw_us - max_jitter_us + jitter_us;
    }

    /// Capabilities have been exchanged.
    pub fn handle_up(&mut self, now_us: u64, rng: &mut Pcg64Mcg) -> Option<Action> {
        self.reset_timer(now_us, rng);
        let is_reopened = self.status == Status::Down;
        self.status = if is_reopened {
            Status::Reopen
        } else {
            Status::Okay
        };
        self.is_answer_pending = is_reopened;
        self.reopen_answers = 0;
        is_reopened.then_some(Action::SendRequest)
    }

    /// The connection is closed.
    pub fn handle_down(&mut self) {
        self.status = Status::Down;
        self.is_answer_pending = false;
        self.due_us = u64::MAX;
    }

    /// A message was received; `is_watchdog_answer`: it was a Device-Watchdog-Answer.
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
                self.reopen_answers += 1;
                if self.reopen_answers < REOPEN_ANSWERS {
                    return None;
                }
                self.status = Status::Okay;
                self.reset_timer(now_us, rng);
                Some(Action::Failback)
            }
            _ => None,
        }
    }

    /// Acts on the timer if Tw has elapsed.
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
