use super::{Action, Status, Watchdog, MAX_JITTER_US};
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

const TW_US: u64 = 30_000_000;

/// A watchdog and its random number generator.
struct Harness(Watchdog, Pcg64Mcg);

impl Harness {
    fn new_connected() -> Harness {
        let mut harness = Harness(Watchdog::new(TW_US), Pcg64Mcg::seed_from_u64(3));
        assert_eq!(harness.0.handle_up(0, &mut harness.1), None);
        harness
    }

    /// Lets the timer expire. Returns the time of expiry and the resulting action.
    fn expire(&mut self) -> (u64, Option<Action>) {
        let due_us = self.0.due_us();
        (due_us, self.0.handle_timeout(due_us, &mut self.1))
    }
}

#[test]
fn a_silent_peer_is_queried_then_suspected_then_disconnected() {
    let mut harness = Harness::new_connected();
    let (due_us, action) = harness.expire();
    assert_eq!(action, Some(Action::SendRequest));
    assert!((TW_US - MAX_JITTER_US..=TW_US + MAX_JITTER_US).contains(&due_us));
    assert_eq!(harness.expire().1, Some(Action::Failover));
    assert_eq!(harness.0.status(), Status::Suspect);
    assert_eq!(harness.expire().1, Some(Action::Close));
    assert_eq!(
        (harness.0.status(), harness.0.due_us()),
        (Status::Down, u64::MAX)
    );
}

#[test]
fn any_message_restarts_tw_and_ends_the_suspect_state() {
    let mut harness = Harness::new_connected();
    assert_eq!(
        harness.0.handle_message(TW_US / 2, false, &mut harness.1),
        None
    );
    assert!(harness.0.due_us() > TW_US);
    harness.expire();
    harness.expire();
    let now_us = harness.0.due_us() - 1;
    assert_eq!(
        harness.0.handle_message(now_us, false, &mut harness.1),
        Some(Action::Failback)
    );
    assert_eq!(harness.0.status(), Status::Okay);
    // The watchdog request is still unanswered, so the next expiry leads to SUSPECT without another request.
    assert_eq!(harness.expire().1, Some(Action::Failover));
}

#[test]
fn a_reconnected_peer_gets_requests_after_three_watchdog_answers() {
    let mut harness = Harness::new_connected();
    harness.0.handle_down();
    assert_eq!(
        harness.0.handle_up(0, &mut harness.1),
        Some(Action::SendRequest)
    );
    assert_eq!(harness.0.handle_message(1, true, &mut harness.1), None);
    assert_eq!(harness.expire().1, Some(Action::SendRequest));
    assert_eq!(harness.0.handle_message(2, true, &mut harness.1), None);
    assert_eq!(harness.expire().1, Some(Action::SendRequest));
    assert_eq!(
        harness.0.handle_message(3, true, &mut harness.1),
        Some(Action::Failback)
    );
    let mut harness = Harness::new_connected();
    harness.0.handle_down();
    harness.0.handle_up(0, &mut harness.1);
    assert_eq!(
        harness.expire().1,
        Some(Action::Close),
        "a reconnected peer that does not answer the first watchdog request is disconnected"
    );
}
