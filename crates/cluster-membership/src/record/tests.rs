use super::{LifecyclePhase, Liveness, MemberRecord, MAX_TEXT_BYTES};

/// Returns the record of a ready member; the member named `n5` has the number 5.
pub fn record(name: &str, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        number: name.trim_start_matches('n').parse().unwrap_or(0),
        zone: "a".into(),
        region: String::new(),
        address: ([127, 0, 0, 1], 7_400).into(),
        instance_id: 1,
        incarnation,
        phase: LifecyclePhase::Ready,
        liveness: Liveness::Alive,
        program: "0.2.0".into(),
    }
}

#[test]
fn higher_incarnation_takes_precedence_and_within_one_incarnation_the_worse_liveness() {
    let alive = record("n1", 5);
    let dead = MemberRecord {
        liveness: Liveness::Dead,
        ..alive.clone()
    };
    let refuted = MemberRecord {
        incarnation: 6,
        ..alive.clone()
    };
    assert!(dead.supersedes(&alive) && !alive.supersedes(&dead));
    assert!(refuted.supersedes(&dead) && !dead.supersedes(&refuted));
    assert!(!alive.supersedes(&alive));
}

#[test]
fn names_that_would_break_a_log_line_are_rejected() {
    assert!(record("n1.example-2_b", 1).is_valid());
    let too_long = "x".repeat(MAX_TEXT_BYTES + 1);
    for name in ["", "a b", "a\nb", "\u{e6}", &too_long] {
        assert!(!record(name, 1).is_valid(), "{name:?}");
    }
}
