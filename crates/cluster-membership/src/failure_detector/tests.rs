use super::{DetectorAction, FailureDetector, MIN_SUSPICION_INTERVALS};

const P: u64 = 200_000;

/// Ticks from one time to another; every suspicion is the local one.
fn run(
    detector: &mut FailureDetector,
    from: u64,
    to: u64,
    others: &[&str],
    heard_at: impl Fn(&str, u64) -> u64,
) -> Vec<(u64, DetectorAction)> {
    let mut all = Vec::new();
    let mut actions = Vec::new();
    for now in (from..to).step_by(50_000) {
        detector.tick(
            now,
            50_000,
            others,
            |name| heard_at(name, now),
            &mut actions,
        );
        for action in actions.drain(..) {
            if let DetectorAction::Suspect(name) = &action {
                detector.record_suspicion(now, name, 1, 1);
            }
            all.push((now, action));
        }
    }
    all
}

#[test]
fn a_heard_member_is_not_probed_and_a_silent_one_is_suspected_and_then_dead() {
    let mut detector = FailureDetector::new(P, 1);
    let silent_from = 1_000_000;
    let heard_at = |name: &str, now: u64| {
        if name == "b" {
            now.min(silent_from)
        } else {
            now
        }
    };
    let all = run(&mut detector, 0, 20_000_000, &["a", "b", "c"], heard_at);
    assert!(
        all.iter()
            .all(|(_, a)| !matches!(a, DetectorAction::Ping { target, .. } if target != "b")),
        "{all:?}"
    );
    let time_of =
        |action: DetectorAction| all.iter().find(|(_, a)| *a == action).map(|(at, _)| *at);
    let suspect = time_of(DetectorAction::Suspect("b".into()));
    let dead = time_of(DetectorAction::ConfirmDead("b".into()));
    assert!(suspect.expect("suspected") < silent_from + 4 * P);
    assert!(dead.expect("dead") > suspect.expect("suspected"));
    assert!(all.iter().any(|(_, a)| matches!(
        a,
        DetectorAction::IndirectPing { via, target, .. } if target == "b" && via.len() == 2
    )));
}

#[test]
fn suspectors_shorten_a_suspicion_and_bad_local_health_lengthens_it() {
    let mut detector = FailureDetector::new(P, 1);
    let timeouts: Vec<u64> = (1..=4)
        .map(|n| detector.suspicion_timeout_us(100, n))
        .collect();
    assert!(timeouts.windows(2).all(|w| w[1] < w[0]), "{timeouts:?}");
    assert_eq!(timeouts[3] * 6, timeouts[0]);
    (0..4).for_each(|_| detector.worsen_health());
    assert_eq!(detector.suspicion_timeout_us(100, 4), 2 * timeouts[3]);
    assert_eq!(
        detector.suspicion_timeout_us(2, 1),
        2 * (MIN_SUSPICION_INTERVALS * P as f64) as u64,
        "nobody else is there to accuse"
    );
}

#[test]
fn a_suspect_that_is_heard_is_notified_and_not_confirmed_dead() {
    let mut detector = FailureDetector::new(P, 1);
    detector.record_suspicion(0, "a", 1, 4);
    let all = run(&mut detector, 0, 20_000_000, &["a", "b"], |_, now| now);
    assert!(all
        .iter()
        .any(|(_, a)| *a == DetectorAction::NotifySuspect("a".into())));
    assert!(!all
        .iter()
        .any(|(_, a)| matches!(a, DetectorAction::ConfirmDead(_))));
    detector.clear_suspicion("a");
    let later = run(
        &mut detector,
        20_000_000,
        40_000_000,
        &["a", "b"],
        |_, now| now,
    );
    assert!(later.is_empty());
}

#[test]
fn a_probe_in_flight_during_a_pause_suspects_nobody() {
    let mut detector = FailureDetector::new(P, 1);
    let mut actions = Vec::new();
    detector.tick(0, 50_000, &["a", "b"], |_| 0, &mut actions);
    detector.tick(P, 50_000, &["a", "b"], |_| 0, &mut actions);
    detector.resume_after_pause(P);
    actions.clear();
    detector.tick(P + 50_000, 50_000, &["a", "b"], |_| 0, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
}
