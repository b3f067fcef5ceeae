//! The watchdog of a connection (RFC 3539 section 3.4.1). No I/O and no clock.
//!
//! ```text
//!   INITIAL --up, first time--> OKAY <--3 answers-- REOPEN <--up, again-- DOWN
//!                                | ^                   |                   ^ ^
//!              no answer in Tw   | | anything heard    | no answer         | |
//!                                v |                   +-------------------+ |
//!                             SUSPECT ------------ nothing in Tw ------------+
//! ```

use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Tw is drawn anew each time, so far around its middle at most (RFC 3539 section 3.4.1: 2 s).
const JITTER_US: u64 = 2_000_000;
/// Answers that a connection which came up again gives before it is believed.
const ANSWERS: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Initial,
    Okay,
    Suspect,
    Down,
    Reopen,
}

/// What the watchdog wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Send a DWR.
    Ask,
    /// New requests go elsewhere; what is out there may move.
    Failover,
    /// The peer is back.
    Failback,
    Close,
}

pub struct Watchdog {
    tw_us: u64,
    status: Status,
    pending: bool,
    answers: u8,
    due: u64,
}

impl Watchdog {
    pub fn new(tw_us: u64) -> Self {
        Watchdog {
            tw_us,
            status: Status::Initial,
            pending: false,
            answers: 0,
            due: u64::MAX,
        }
    }

    pub fn status(&self) -> Status {
        self.status
    }

    pub fn due(&self) -> u64 {
        self.due
    }

    fn set(&mut self, now: u64, rng: &mut Pcg64Mcg) {
        // A Tw below the RFC's 6 s, as on loopback, has a jitter in proportion.
        let around = JITTER_US.min(self.tw_us / 5).max(1);
        let jitter = u64::from(rng.next_u32()) % (2 * around);
        self.due = now + self.tw_us - around + jitter;
    }

    /// The connection is up, capabilities and all.
    pub fn up(&mut self, now: u64, rng: &mut Pcg64Mcg) -> Option<Act> {
        self.set(now, rng);
        let again = self.status == Status::Down;
        self.status = if again { Status::Reopen } else { Status::Okay };
        (self.pending, self.answers) = (again, 0);
        again.then_some(Act::Ask)
    }

    pub fn down(&mut self) {
        self.status = Status::Down;
        (self.pending, self.due) = (false, u64::MAX);
    }

    /// Something came; `answer`: a DWA.
    pub fn heard(&mut self, now: u64, answer: bool, rng: &mut Pcg64Mcg) -> Option<Act> {
        if answer {
            self.pending = false;
        }
        match self.status {
            Status::Okay => {
                self.set(now, rng);
                None
            }
            Status::Suspect => {
                self.status = Status::Okay;
                self.set(now, rng);
                Some(Act::Failback)
            }
            Status::Reopen if answer => {
                self.answers += 1;
                if self.answers < ANSWERS {
                    return None;
                }
                self.status = Status::Okay;
                self.set(now, rng);
                Some(Act::Failback)
            }
            _ => None,
        }
    }

    /// Tw is over.
    pub fn tick(&mut self, now: u64, rng: &mut Pcg64Mcg) -> Option<Act> {
        if now < self.due {
            return None;
        }
        self.set(now, rng);
        match (self.status, self.pending) {
            (Status::Okay | Status::Reopen, false) => {
                self.pending = true;
                Some(Act::Ask)
            }
            (Status::Okay, true) => {
                self.status = Status::Suspect;
                Some(Act::Failover)
            }
            (Status::Suspect | Status::Reopen, _) => {
                self.down();
                Some(Act::Close)
            }
            _ => {
                self.due = u64::MAX;
                None
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_pcg::rand_core::SeedableRng;

    const TW: u64 = 30_000_000;

    struct Bench(Watchdog, Pcg64Mcg);

    impl Bench {
        fn up() -> Bench {
            let mut b = Bench(Watchdog::new(TW), Pcg64Mcg::seed_from_u64(3));
            assert_eq!(b.0.up(0, &mut b.1), None);
            b
        }

        fn tick(&mut self) -> (u64, Option<Act>) {
            let at = self.0.due();
            (at, self.0.tick(at, &mut self.1))
        }
    }

    #[test]
    fn a_silent_peer_is_asked_then_suspected_then_left() {
        let mut b = Bench::up();
        let (at, act) = b.tick();
        assert_eq!(act, Some(Act::Ask));
        assert!((TW - JITTER_US..=TW + JITTER_US).contains(&at));
        assert_eq!(b.tick().1, Some(Act::Failover));
        assert_eq!(b.0.status(), Status::Suspect);
        assert_eq!(b.tick().1, Some(Act::Close));
        assert_eq!((b.0.status(), b.0.due()), (Status::Down, u64::MAX));
    }

    #[test]
    fn anything_heard_puts_tw_off_and_takes_a_suspect_back() {
        let mut b = Bench::up();
        assert_eq!(b.0.heard(TW / 2, false, &mut b.1), None);
        assert!(b.0.due() > TW);
        b.tick();
        b.tick();
        let now = b.0.due() - 1;
        assert_eq!(b.0.heard(now, false, &mut b.1), Some(Act::Failback));
        assert_eq!(b.0.status(), Status::Okay);
        // The answer is still owed: nothing more is asked before it is suspected again.
        assert_eq!(b.tick().1, Some(Act::Failover));
    }

    #[test]
    fn one_that_came_up_again_is_believed_after_three_answers() {
        let mut b = Bench::up();
        b.0.down();
        assert_eq!(b.0.up(0, &mut b.1), Some(Act::Ask));
        assert_eq!(b.0.heard(1, true, &mut b.1), None);
        assert_eq!(b.tick().1, Some(Act::Ask));
        assert_eq!(b.0.heard(2, true, &mut b.1), None);
        assert_eq!(b.tick().1, Some(Act::Ask));
        assert_eq!(b.0.heard(3, true, &mut b.1), Some(Act::Failback));
        let mut b = Bench::up();
        b.0.down();
        b.0.up(0, &mut b.1);
        assert_eq!(
            b.tick().1,
            Some(Act::Close),
            "it does not even answer the first"
        );
    }
}
