//! Tests of the usage that members report to each other, in virtual time: each unit is counted exactly once, even if
//! datagrams are lost, delayed or duplicated, and across partitions, restarts and pauses.

mod world;

use frosthatch_cluster_membership::usage_counters::WINDOW_US;
use frosthatch_cluster_membership::{MembershipConfig, Output};
use world::{address_of, config, World, SECOND_US, TICK_US};

/// Returns the units of the customer `tag` that other members reported to the member `n`.
fn peer_usage(world: &World, n: usize, tag: u32) -> f64 {
    world.nodes[n]
        .as_ref()
        .and_then(|node| node.peer_usage.get(&tag))
        .copied()
        .unwrap_or(0.0)
}

#[test]
fn usage_reaches_all_other_members_once() {
    let mut world = World::converged(4, 1);
    world.node(0).membership.record_usage(9, 2.5);
    world.node(1).membership.record_usage(9, 1.0);
    world.run(SECOND_US / 2);
    let totals: Vec<f64> = (0..4).map(|n| peer_usage(&world, n, 9)).collect();
    assert_eq!(totals, [1.0, 2.5, 3.5, 3.5]);
    for n in 0..4 {
        let now_us = world.now_us;
        let reported = world
            .node(n)
            .last_complete_report_at_us
            .values()
            .filter(|at| **at + 3 * TICK_US > now_us)
            .count();
        assert_eq!(
            reported, 3,
            "member {n} has recent complete reports of all others"
        );
    }
}

#[test]
fn loss_reordering_and_duplication_change_no_total() {
    let mut world = World::converged(3, 2);
    world.loss = 0.3;
    world.delay_range_us = (1_000, 150_000);
    world.recorded_datagrams = Some(Vec::new());
    let mut expected_units = 0.0;
    for n in 0..200 {
        let units = 1.0 + f64::from(n % 3);
        world.node(0).membership.record_usage(5, units);
        expected_units += units;
        world.run(TICK_US);
        let repeated = world
            .recorded_datagrams
            .as_ref()
            .and_then(|r| r.get(r.len().checked_sub(1 + n as usize % 40)?))
            .cloned();
        if let Some((from, to, bytes)) = repeated {
            world.deliver(to, address_of(from), &bytes);
        }
    }
    world.loss = 0.0;
    world.run(SECOND_US);
    assert!(
        (peer_usage(&world, 1, 5) - expected_units).abs() < 0.5
            && (peer_usage(&world, 2, 5) - expected_units).abs() < 0.5,
        "expected {expected_units} units"
    );
}

#[test]
fn a_healed_partition_counts_no_usage_twice() {
    let mut world = World::converged(4, 3);
    world.is_link_cut = Box::new(|a, b| a / 2 != b / 2);
    for _ in 0..100 {
        (0..4).for_each(|n| world.node(n).membership.record_usage(1, 1.0));
        world.run(TICK_US);
    }
    world.run(SECOND_US / 2);
    assert!(
        (0..4).all(|n| (peer_usage(&world, n, 1) - 100.0).abs() < 0.1),
        "only the usage of the other member in the same partition"
    );
    world.is_link_cut = Box::new(|_, _| false);
    world.run(3 * SECOND_US);
    assert!(
        (0..4).all(|n| (peer_usage(&world, n, 1) - 300.0).abs() < 0.1),
        "all usage of the three other members"
    );
    world.run(SECOND_US);
    assert!(
        (0..4).all(|n| (peer_usage(&world, n, 1) - 300.0).abs() < 0.1),
        "no usage is counted twice"
    );
}

#[test]
fn usage_is_relayed_by_a_third_member_where_a_link_is_cut() {
    let mut world = World::converged(3, 4);
    world.is_link_cut = Box::new(|a, b| (a.min(b), a.max(b)) == (0, 1));
    world.run(3 * SECOND_US);
    world.node(0).membership.record_usage(3, 7.0);
    world.run(3 * SECOND_US);
    assert_eq!(
        (peer_usage(&world, 1, 3), peer_usage(&world, 2, 3)),
        (7.0, 7.0)
    );
    assert!(world.death_log_lines().is_empty());
}

#[test]
fn a_restarted_member_learns_the_usage_of_its_earlier_instance() {
    let mut world = World::converged(3, 5);
    world.node(0).membership.record_usage(4, 5.0);
    world.run(SECOND_US);
    world.kill(0);
    world.run(TICK_US);
    world.start(0);
    world.run(2 * SECOND_US);
    assert_eq!(
        (
            peer_usage(&world, 0, 4),
            world.node(0).earlier_usage.get(&4)
        ),
        (0.0, Some(&5.0)),
        "usage of its earlier instance is reported as admitted before the gateway became known"
    );
    world.node(0).membership.record_usage(4, 2.0);
    world.run(SECOND_US);
    assert_eq!(
        (peer_usage(&world, 1, 4), peer_usage(&world, 2, 4)),
        (7.0, 7.0)
    );
}

/// Usage in datagrams that were queued at the socket during a pause is counted, but these datagrams do not prove that
/// their senders are running now.
#[test]
fn datagrams_that_waited_during_a_pause_are_not_current_reports() {
    let mut world = World::converged(2, 6);
    world.node(0).is_stopped = true;
    world.run(SECOND_US / 10);
    world.node(1).membership.record_usage(1, 3.0);
    world.run(10 * SECOND_US);
    let reported_before = world.node(0).last_complete_report_at_us[&1];
    world.is_link_cut = Box::new(|_, _| true);
    world.node(0).is_stopped = false;
    world.run(4 * TICK_US);
    assert_eq!(
        (
            peer_usage(&world, 0, 1),
            world.node(0).last_complete_report_at_us[&1]
        ),
        (3.0, reported_before)
    );
    world.is_link_cut = Box::new(|_, _| false);
    world.run(2 * SECOND_US);
    assert!(world.node(0).last_complete_report_at_us[&1] > reported_before);
}

#[test]
fn a_clock_step_of_an_hour_loses_no_usage_and_causes_no_death() {
    let mut world = World::converged(2, 7);
    world.node(0).membership.record_usage(1, 3.0);
    world.run(SECOND_US);
    world.node(0).clock_skew_us += 3_600 * SECOND_US;
    world.node(0).membership.record_usage(1, 2.0);
    world.run(SECOND_US);
    world.node(1).membership.record_usage(1, 1.0);
    world.run(SECOND_US);
    assert_eq!(
        (peer_usage(&world, 1, 1), peer_usage(&world, 0, 1)),
        (5.0, 1.0)
    );
    assert!(world.death_log_lines().is_empty());
}

#[test]
fn an_insufficient_budget_is_kept_and_shared_by_all_members() {
    let mut world = World::new(4, 8);
    world.start_with(
        0,
        MembershipConfig {
            bytes_per_s: 8_000,
            messages_per_s: 20,
            ..config(0, 4, 1_000)
        },
    );
    (1..4).for_each(|n| world.start(n));
    world.run(3 * SECOND_US);
    let sent_before = world.node(0).sent_bytes;
    for round in 0..200u32 {
        for n in 0..20 {
            let tag = round % 50 * 20 + n;
            world.node(0).membership.record_usage(tag, 1.0);
        }
        world.run(TICK_US);
    }
    let bytes_per_s = (world.node(0).sent_bytes - sent_before) as f64 / 10.0;
    assert!(
        (4_000.0..12_000.0).contains(&bytes_per_s),
        "sent {bytes_per_s} bytes per second"
    );
    let known_customers: Vec<usize> = (1..4).map(|n| world.node(n).peer_usage.len()).collect();
    assert!(
        known_customers.iter().all(|n| *n > 100),
        "{known_customers:?}"
    );
    assert!(
        world.death_log_lines().is_empty(),
        "membership takes precedence over usage: {:?}",
        world.death_log_lines()
    );
}

#[test]
fn usage_of_ever_new_customers_stays_within_the_limit_of_counters() {
    let mut world = World::new(2, 9);
    for n in 0..2 {
        world.start_with(
            n,
            MembershipConfig {
                max_usage_counters: 500,
                ..config(n, 2, 1_000)
            },
        );
    }
    for n in 0..20_000 {
        world.node(n as usize % 2).membership.record_usage(n, 1.0);
        if n % 20 == 0 {
            world.run(TICK_US);
        }
    }
    assert!((0..2).all(|n| world.membership(n).usage().counters().len() <= 500));
    assert!(world.now_us > 2 * WINDOW_US);
}

/// Once the byte budget is spent, messages are sent at once but without gossip, which is sent later.
#[test]
fn messages_are_not_delayed_by_a_spent_budget_and_carry_no_gossip_then() {
    let mut world = World::new(2, 6);
    for n in 0..2 {
        world.start_with(
            n,
            MembershipConfig {
                bytes_per_s: 2_000,
                ..config(n, 2, 1_000)
            },
        );
    }
    world.run(3 * SECOND_US);
    // This is more usage than a datagram holds.
    (0..400).for_each(|tag| world.node(0).membership.record_usage(tag, 1_000.0));
    world.run(2 * TICK_US);
    let mut sent_bytes = 0;
    let mut received = 0;
    for n in 0..50u8 {
        let now_us = world.now_us + u64::from(n) * SECOND_US / 100;
        let mut outputs = Vec::new();
        world
            .node(0)
            .membership
            .send_message(now_us, "n1", vec![n; 60], &mut outputs);
        for output in outputs {
            let Output::Send { bytes, .. } = output else {
                continue;
            };
            sent_bytes += bytes.len();
            let mut received_outputs = Vec::new();
            world.node(1).membership.handle_datagram(
                now_us,
                address_of(0),
                &bytes,
                &mut received_outputs,
            );
            let message = Output::MessageReceived {
                from: "n0".into(),
                bytes: vec![n; 60],
            };
            received += usize::from(received_outputs.contains(&message));
        }
    }
    assert_eq!(received, 50);
    assert!(
        sent_bytes < 50 * 200,
        "sent {sent_bytes} bytes for fifty messages of 60 bytes"
    );
    world.run(60 * SECOND_US);
    assert!(
        (peer_usage(&world, 1, 399) - 1_000.0).abs() < 0.1,
        "all usage arrives after the budget has recovered"
    );
}
