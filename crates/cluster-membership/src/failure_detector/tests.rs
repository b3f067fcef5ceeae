use super::{DetectorAction, FailureDetector, MIN_SUSPICION_INTERVALS};

const PROBE_INTERVAL_US: u64 = 200_000;

/// Ticks the detector every 50 ms from `from_us` up to `to_us` and records each suspicion as this member's own.
/// Returns the actions with their times.
fn run(
    detector: &mut FailureDetector,
    from_us: u64,
    to_us: u64,
    others: &[&str],
    last_received_at: impl Fn(&str, u64) -> u64,
) -> Vec<(u64, DetectorAction)> {
    let mut all = Vec::new();
    let mut actions = Vec::new();
    for now_us in (from_us..to_us).step_by(50_000) {
        detector.tick(
            now_us,
            50_000,
            others,
            |name| last_received_at(name, now_us),
            &mut actions,
        );
        for action in actions.drain(..) {
            if let DetectorAction::Suspect(name) = &action {
                detector.record_suspicion(now_us, name, 1, 1);
            }
            all.push((now_us, action));
        }
    }
    all
}

#[test]
fn a_member_that_sends_is_not_probed_and_a_silent_one_is_suspected_and_then_declared_dead() {
    let mut detector = FailureDetector::new(PROBE_INTERVAL_US, 1);
    let silent_from_us = 1_000_000;
    let last_received_at = |name: &str, now_us: u64| {
        if name == "b" {
            now_us.min(silent_from_us)
        } else {
            now_us
        }
    };
    let all = run(
        &mut detector,
        0,
        20_000_000,
        &["a", "b", "c"],
        last_received_at,
    );
    assert!(
        all.iter()
            .all(|(_, a)| !matches!(a, DetectorAction::Ping { target, .. } if target != "b")),
        "{all:?}"
    );
    let time_of = |action: DetectorAction| {
        all.iter()
            .find(|(_, a)| *a == action)
            .map(|(at_us, _)| *at_us)
    };
    let suspected_at_us = time_of(DetectorAction::Suspect("b".into()));
    let dead_at_us = time_of(DetectorAction::DeclareDead("b".into()));
    assert!(
        suspected_at_us.expect("the silent member is suspected")
            < silent_from_us + 4 * PROBE_INTERVAL_US
    );
    assert!(
        dead_at_us.expect("the silent member is declared dead")
            > suspected_at_us.expect("the silent member is suspected")
    );
    assert!(all.iter().any(|(_, a)| matches!(
        a,
        DetectorAction::IndirectPing { via, target, .. } if target == "b" && via.len() == 2
    )));
}

#[test]
fn more_suspectors_shorten_the_suspicion_timeout_and_bad_local_health_lengthens_it() {
    let mut detector = FailureDetector::new(PROBE_INTERVAL_US, 1);
    let timeouts: Vec<u64> = (1..=4)
        .map(|n| detector.suspicion_timeout_us(100, n))
        .collect();
    assert!(timeouts.windows(2).all(|w| w[1] < w[0]), "{timeouts:?}");
    assert_eq!(timeouts[3] * 6, timeouts[0]);
    (0..4).for_each(|_| detector.worsen_health());
    assert_eq!(detector.suspicion_timeout_us(100, 4), 2 * timeouts[3]);
    assert_eq!(
        detector.suspicion_timeout_us(2, 1),
        2 * (MIN_SUSPICION_INTERVALS * PROBE_INTERVAL_US as f64) as u64,
        "in a cluster of two no other member can confirm the suspicion"
    );
}

#[test]
fn a_suspect_that_sends_is_notified_and_not_declared_dead() {
    let mut detector = FailureDetector::new(PROBE_INTERVAL_US, 1);
    detector.record_suspicion(0, "a", 1, 4);
    let all = run(&mut detector, 0, 20_000_000, &["a", "b"], |_, now_us| {
        now_us
    });
    assert!(all
        .iter()
        .any(|(_, a)| *a == DetectorAction::NotifySuspect("a".into())));
    assert!(!all
        .iter()
        .any(|(_, a)| matches!(a, DetectorAction::DeclareDead(_))));
    detector.clear_suspicion("a");
    let later = run(
        &mut detector,
        20_000_000,
        40_000_000,
        &["a", "b"],
        |_, now_us| now_us,
    );
    assert!(later.is_empty());
}

#[test]
fn a_probe_in_flight_during_a_pause_causes_no_suspicion() {
    let mut detector = FailureDetector::new(PROBE_INTERVAL_US, 1);
    let mut actions = Vec::new();
    detector.tick(0, 50_000, &["a", "b"], |_| 0, &mut actions);
    detector.tick(PROBE_INTERVAL_US, 50_000, &["a", "b"], |_| 0, &mut actions);
    detector.resume_after_pause(PROBE_INTERVAL_US);
    actions.clear();
    detector.tick(
        PROBE_INTERVAL_US + 50_000,
        50_000,
        &["a", "b"],
        |_| 0,
        &mut actions,
    );
    assert!(actions.is_empty(), "{actions:?}");
}
