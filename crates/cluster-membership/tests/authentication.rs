//! Tests of replayed and forged datagrams and of key rotation, in virtual time.

mod world;

use frosthatch_cluster_membership::seal::Keys;
use frosthatch_cluster_membership::LifecyclePhase;
use std::collections::BTreeMap;
use world::{address_of, World, SECOND_US, TICK_US};

/// The state that a replay must not change: view digests and usage of all members, and the number of their log lines.
type Snapshot = (Vec<u64>, Vec<BTreeMap<u32, f64>>, usize);

fn snapshot(world: &mut World) -> Snapshot {
    let mut digests = Vec::new();
    let mut usage = Vec::new();
    let mut log_line_count = 0;
    for n in 0..4 {
        let node = world.node(n);
        digests.push(node.membership.view().digest);
        usage.push(node.peer_usage.clone());
        usage.push(node.earlier_usage.clone());
        log_line_count += node.log_lines.len();
    }
    (digests, usage, log_line_count)
}

#[test]
fn replayed_datagrams_change_nothing() {
    let mut world = World::converged(4, 14);
    world.recorded_datagrams = Some(Vec::new());
    world.node(0).membership.record_usage(1, 3.0);
    world.run(SECOND_US);
    let recorded = world
        .recorded_datagrams
        .take()
        .expect("`recorded_datagrams` was set before the run");
    let now_us = world.now_us;
    world
        .node(1)
        .membership
        .set_phase(now_us, LifecyclePhase::Draining);
    world.run(60 * SECOND_US);
    // One member restarts, so that no recorded datagram names its instance.
    world.kill(2);
    world.run(SECOND_US);
    world.start(2);
    world.run(3 * SECOND_US);
    let (digests, usage, log_line_count) = snapshot(&mut world);
    for (from, to, bytes) in &recorded {
        world.deliver(*to, address_of(*from), bytes);
    }
    world.run(3 * SECOND_US);
    let (digests_after, usage_after, log_line_count_after) = snapshot(&mut world);
    assert_eq!((digests, usage), (digests_after, usage_after));
    assert_eq!(log_line_count, log_line_count_after);
}

#[test]
fn a_flood_of_invalid_datagrams_is_logged_once_and_no_member_is_declared_dead() {
    let mut world = World::converged(3, 15);
    let sealed_by_other_key = Keys::from_secret(0, &[8; 40])
        .expect("the secret is long enough")
        .seal(&[1; 100]);
    for n in 0..40u32 {
        for k in 0..5_000u32 {
            let from = ([10, 0, (k % 3) as u8, 9], 9).into();
            world.deliver(1, from, &sealed_by_other_key);
            if k % 50 == 0 {
                world.deliver(1, from, &vec![n as u8; 1_000 + k as usize % 500]);
            }
        }
        world.run(TICK_US);
    }
    let flood_lines = world
        .node(1)
        .log_lines
        .iter()
        .filter(|(_, line)| line.contains("flood"))
        .count();
    assert_eq!(flood_lines, 1);
    assert!(world.death_log_lines().is_empty() && world.all_see(1, "ready"));
}

#[test]
fn a_key_is_rotated_while_the_cluster_is_partitioned() {
    let mut world = World::converged(4, 16);
    let secret_a = "a".repeat(40);
    let secret_b = "b".repeat(40);
    let parse = |text: &str| Keys::parse(text.as_bytes()).expect("the key file is valid");
    let set_keys = |world: &mut World, members: std::ops::Range<usize>, text: String| {
        members.for_each(|n| world.node(n).membership.set_keys(parse(&text)));
    };
    set_keys(&mut world, 0..4, format!("1 {secret_a}"));
    world.run(SECOND_US);
    world.is_link_cut = Box::new(|x, y| x / 2 != y / 2);
    world.run(SECOND_US);
    // One half is a step ahead of the other in the rotation when the partition heals.
    set_keys(&mut world, 0..2, format!("1 {secret_a}\n2 {secret_b}"));
    set_keys(&mut world, 2..4, format!("1 {secret_a}\n2 {secret_b}"));
    world.run(SECOND_US);
    set_keys(&mut world, 0..2, format!("2 {secret_b}\n1 {secret_a}"));
    world.is_link_cut = Box::new(|_, _| false);
    world.run(4 * SECOND_US);
    assert!(world.views_equal() && world.membership(0).view().ready_count == 4);
    set_keys(&mut world, 2..4, format!("2 {secret_b}\n1 {secret_a}"));
    set_keys(&mut world, 0..4, format!("2 {secret_b}"));
    world.run(4 * SECOND_US);
    assert!(world.views_equal() && world.membership(0).view().ready_count == 4);
    // The other members reject the datagrams of a member that still has the old key.
    set_keys(&mut world, 3..4, format!("1 {secret_a}"));
    world.run(10 * SECOND_US);
    assert!((0..3).all(|n| world.state(3, n) == "dead"));
}
