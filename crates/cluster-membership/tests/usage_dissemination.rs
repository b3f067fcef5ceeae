//! Use that members tell each other, in virtual time: once each, whatever is lost, late or twice; past a cut, a restart, a stop.
#![expect(clippy::semicolon_if_nothing_returned)]

mod world;

use frosthatch_cluster_membership::usage_counters::WINDOW_US;
use frosthatch_cluster_membership::{MembershipConfig, Output};
use world::{address_of, config, World, S, TICK};

fn told(w: &World, who: usize, tag: u32) -> f64 {
    w.nodes[who]
        .as_ref()
        .and_then(|n| n.peer_usage.get(&tag))
        .copied()
        .unwrap_or(0.0)
}

#[test]
fn use_is_told_to_all_others_once() {
    let mut w = World::settled(4, 1);
    w.node(0).membership.record_usage(9, 2.5);
    w.node(1).membership.record_usage(9, 1.0);
    w.run(S / 2);
    let all: Vec<f64> = (0..4).map(|n| told(&w, n, 9)).collect();
    assert_eq!(all, [1.0, 2.5, 3.5, 3.5]);
    for n in 0..4 {
        let now = w.now;
        let heard = w
            .node(n)
            .reported_at
            .values()
            .filter(|at| **at + 3 * TICK > now)
            .count();
        assert_eq!(heard, 3, "{n} hears all others in full");
    }
}

#[test]
fn loss_disorder_and_repetition_change_no_total() {
    let mut w = World::settled(3, 2);
    (w.loss, w.delay) = (0.3, (1_000, 150_000));
    w.record = Some(Vec::new());
    let mut sum = 0.0;
    for n in 0..200 {
        let units = 1.0 + f64::from(n % 3);
        w.node(0).membership.record_usage(5, units);
        sum += units;
        w.run(TICK);
        let old = w
            .record
            .as_ref()
            .and_then(|r| r.get(r.len().checked_sub(1 + n as usize % 40)?))
            .cloned();
        old.into_iter()
            .for_each(|(from, to, bytes)| w.deliver(to, address_of(from), &bytes));
    }
    w.loss = 0.0;
    w.run(S);
    assert!(
        (told(&w, 1, 5) - sum).abs() < 0.5 && (told(&w, 2, 5) - sum).abs() < 0.5,
        "{sum}"
    );
}

#[test]
fn a_cut_heals_without_counting_twice() {
    let mut w = World::settled(4, 3);
    w.cut = Box::new(|a, b| a / 2 != b / 2);
    for _ in 0..100 {
        (0..4).for_each(|n| w.node(n).membership.record_usage(1, 1.0));
        w.run(TICK);
    }
    w.run(S / 2);
    assert!(
        (0..4).all(|n| (told(&w, n, 1) - 100.0).abs() < 0.1),
        "only the neighbour's"
    );
    w.cut = Box::new(|_, _| false);
    w.run(3 * S);
    assert!(
        (0..4).all(|n| (told(&w, n, 1) - 300.0).abs() < 0.1),
        "all of all others'"
    );
    w.run(S);
    assert!((0..4).all(|n| (told(&w, n, 1) - 300.0).abs() < 0.1), "once");
}

#[test]
fn what_one_does_not_hear_itself_it_hears_by_another() {
    let mut w = World::settled(3, 4);
    w.cut = Box::new(|a, b| (a.min(b), a.max(b)) == (0, 1));
    w.run(3 * S);
    w.node(0).membership.record_usage(3, 7.0);
    w.run(3 * S);
    assert_eq!((told(&w, 1, 3), told(&w, 2, 3)), (7.0, 7.0));
    assert!(w.accusations().is_empty());
}

#[test]
fn a_restarted_one_is_another_life_and_learns_what_it_did_before() {
    let mut w = World::settled(3, 5);
    w.node(0).membership.record_usage(4, 5.0);
    w.run(S);
    w.kill(0);
    w.run(TICK);
    w.start(0);
    w.run(2 * S);
    assert_eq!(
        (told(&w, 0, 4), w.node(0).past_usage.get(&4)),
        (0.0, Some(&5.0)),
        "its own, of before"
    );
    w.node(0).membership.record_usage(4, 2.0);
    w.run(S);
    assert_eq!((told(&w, 1, 4), told(&w, 2, 4)), (7.0, 7.0));
}

/// What waited while a process was stopped is told as use, but its words of then do not count as heard now.
#[test]
fn words_that_waited_while_a_process_was_stopped_are_not_heard_as_new() {
    let mut w = World::settled(2, 6);
    w.node(0).stopped = true;
    w.run(S / 10);
    w.node(1).membership.record_usage(1, 3.0);
    w.run(10 * S);
    let was = w.node(0).reported_at[&1];
    w.cut = Box::new(|_, _| true);
    w.node(0).stopped = false;
    w.run(4 * TICK);
    assert_eq!((told(&w, 0, 1), w.node(0).reported_at[&1]), (3.0, was));
    w.cut = Box::new(|_, _| false);
    w.run(2 * S);
    assert!(w.node(0).reported_at[&1] > was);
}

#[test]
fn a_clock_that_steps_by_an_hour_harms_nobody() {
    let mut w = World::settled(2, 7);
    w.node(0).membership.record_usage(1, 3.0);
    w.run(S);
    w.node(0).skew += 3_600 * S;
    w.node(0).membership.record_usage(1, 2.0);
    w.run(S);
    w.node(1).membership.record_usage(1, 1.0);
    w.run(S);
    assert_eq!((told(&w, 1, 1), told(&w, 0, 1)), (5.0, 1.0));
    assert!(w.accusations().is_empty());
}

#[test]
fn a_budget_that_is_too_small_is_shared_and_kept() {
    let mut w = World::new(4, 8);
    w.start_with(
        0,
        MembershipConfig {
            bytes_per_s: 8_000,
            messages_per_s: 20,
            ..config(0, 4, 1_000)
        },
    );
    (1..4).for_each(|n| w.start(n));
    w.run(3 * S);
    let before = w.node(0).bytes;
    for round in 0..200u32 {
        (0..20).for_each(|n| w.node(0).membership.record_usage(round % 50 * 20 + n, 1.0));
        w.run(TICK);
    }
    let bytes = (w.node(0).bytes - before) as f64 / 10.0;
    assert!(
        (4_000.0..12_000.0).contains(&bytes),
        "{bytes} bytes a second"
    );
    let heard: Vec<usize> = (1..4).map(|n| w.node(n).peer_usage.len()).collect();
    assert!(heard.iter().all(|n| *n > 100), "{heard:?}");
    assert!(
        w.accusations().is_empty(),
        "members come before use: {:?}",
        w.accusations()
    );
}

#[test]
fn use_that_never_ends_stays_within_the_entries() {
    let mut w = World::new(2, 9);
    (0..2).for_each(|n| {
        w.start_with(
            n,
            MembershipConfig {
                most_entries: 500,
                ..config(n, 2, 1_000)
            },
        )
    });
    for n in 0..20_000 {
        w.node(n as usize % 2).membership.record_usage(n, 1.0);
        if n % 20 == 0 {
            w.run(TICK);
        }
    }
    assert!((0..2).all(|n| w.fleet(n).usage().counters().len() <= 500));
    assert!(w.now > 2 * WINDOW_US);
}

/// Letters go whatever else there is to tell: once the budget of bytes is spent they go alone, and what is told waits.
#[test]
fn letters_are_not_held_up_and_do_not_carry_what_the_budget_does_not_bear() {
    let mut w = World::new(2, 6);
    for n in 0..2 {
        w.start_with(
            n,
            MembershipConfig {
                bytes_per_s: 2_000,
                ..config(n, 2, 1_000)
            },
        );
    }
    w.run(3 * S);
    // More than a datagram holds.
    (0..400).for_each(|tag| w.node(0).membership.record_usage(tag, 1_000.0));
    w.run(2 * TICK);
    let (mut bytes, mut came) = (0, 0);
    for n in 0..50u8 {
        // As a keeper of many is asked.
        let now = w.now + u64::from(n) * S / 100;
        let mut out = Vec::new();
        w.node(0)
            .membership
            .send_message(now, "n1", vec![n; 60], &mut out);
        for o in out {
            let Output::Send { bytes: sent, .. } = o else {
                continue;
            };
            bytes += sent.len();
            let mut there = Vec::new();
            w.node(1)
                .membership
                .handle_datagram(now, address_of(0), &sent, &mut there);
            let read = Output::MessageReceived {
                from: "n0".into(),
                bytes: vec![n; 60],
            };
            came += usize::from(there.contains(&read));
        }
    }
    assert_eq!(came, 50);
    assert!(bytes < 50 * 200, "{bytes} bytes for fifty letters of 60");
    w.run(60 * S);
    assert!(
        (told(&w, 1, 399) - 1_000.0).abs() < 0.1,
        "and all is told in the end"
    );
}
