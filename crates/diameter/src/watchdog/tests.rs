use super::{Action, Status, Watchdog, MAX_JITTER_US};
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

const TW: u64 = 30_000_000;

struct Harness {
    watchdog: Watchdog,
    rng: Pcg64Mcg,
}

impl Harness {
    fn new_up() -> Harness {
        let mut harness = Harness {
            watchdog: Watchdog::new(TW),
            rng: Pcg64Mcg::seed_from_u64(3),
        };
        assert_eq!(harness.up(0), None);
        harness
    }

    fn up(&mut self, now: u64) -> Option<Action> {
        self.watchdog.handle_up(now, &mut self.rng)
    }

    fn receive(&mut self, now: u64, is_watchdog_answer: bool) -> Option<Action> {
        self.watchdog
            .handle_message(now, is_watchdog_answer, &mut self.rng)
    }

    /// Lets the timer expire: when that is, and what follows.
    fn expire(&mut self) -> (u64, Option<Action>) {
        let due = self.watchdog.due_us();
        (due, self.watchdog.handle_timeout(due, &mut self.rng))
    }
}

#[test]
fn a_silent_peer_is_queried_then_suspected_then_disconnected() {
    let mut harness = Harness::new_up();
    let (due, action) = harness.expire();
    assert_eq!(action, Some(Action::SendRequest));
    assert!((TW - MAX_JITTER_US..=TW + MAX_JITTER_US).contains(&due));
    assert_eq!(harness.expire().1, Some(Action::Failover));
    assert_eq!(harness.watchdog.status(), Status::Suspect);
    assert_eq!(harness.expire().1, Some(Action::Close));
    assert_eq!(
        (harness.watchdog.status(), harness.watchdog.due_us()),
        (Status::Down, u64::MAX)
    );
}

#[test]
fn any_message_restarts_tw_and_clears_a_suspicion() {
    let mut harness = Harness::new_up();
    assert_eq!(harness.receive(TW / 2, false), None);
    assert!(harness.watchdog.due_us() > TW);
    harness.expire();
    harness.expire();
    let now = harness.watchdog.due_us() - 1;
    assert_eq!(harness.receive(now, false), Some(Action::Failback));
    assert_eq!(harness.watchdog.status(), Status::Okay);
    // The answer is still pending: no other request is sent before the peer is suspected again.
    assert_eq!(harness.expire().1, Some(Action::Failover));
}

#[test]
fn a_reopened_connection_is_trusted_after_three_answers() {
    let mut harness = Harness::new_up();
    harness.watchdog.handle_down();
    assert_eq!(harness.up(0), Some(Action::SendRequest));
    assert_eq!(harness.receive(1, true), None);
    assert_eq!(harness.expire().1, Some(Action::SendRequest));
    assert_eq!(harness.receive(2, true), None);
    assert_eq!(harness.expire().1, Some(Action::SendRequest));
    assert_eq!(harness.receive(3, true), Some(Action::Failback));
    let mut harness = Harness::new_up();
    harness.watchdog.handle_down();
    harness.up(0);
    assert_eq!(
        harness.expire().1,
        Some(Action::Close),
        "it does not even answer the first"
    );
}
