//! Replayed and forged datagrams, and the rotation of keys, in virtual time.

mod world;

use frosthatch_cluster_membership::seal::Keys;
use frosthatch_cluster_membership::LifecyclePhase;
use std::collections::BTreeMap;
use world::{address_of, World, S, TICK};

/// What a replay must not change: views and usage of all members, and how many lines they logged.
type Snapshot = (Vec<u64>, Vec<BTreeMap<u32, f64>>, usize);

fn snapshot(world: &mut World) -> Snapshot {
    let mut digests = Vec::new();
    let mut usage = Vec::new();
    let mut log_lines = 0;
    for n in 0..4 {
        let node = world.node(n);
        digests.push(node.membership.view().digest);
        usage.push(node.peer_usage.clone());
        usage.push(node.past_usage.clone());
        log_lines += node.logs.len();
    }
    (digests, usage, log_lines)
}

#[test]
fn replayed_datagrams_change_nothing() {
    let mut world = World::settled(4, 14);
    world.record = Some(Vec::new());
    world.node(0).membership.record_usage(1, 3.0);
    world.run(S);
    let recorded = world.record.take().expect("recorded");
    let now = world.now;
    world
        .node(1)
        .membership
        .set_phase(now, LifecyclePhase::Draining);
    world.run(60 * S);
    // One member has restarted since, so that no recorded datagram names its instance.
    world.kill(2);
    world.run(S);
    world.start(2);
    world.run(3 * S);
    let (digests, usage, log_lines) = snapshot(&mut world);
    for (from, to, bytes) in &recorded {
        world.deliver(*to, address_of(*from), bytes);
    }
    world.run(3 * S);
    let (digests_after, usage_after, log_lines_after) = snapshot(&mut world);
    assert_eq!((digests, usage), (digests_after, usage_after));
    assert_eq!(log_lines, log_lines_after);
}

#[test]
fn a_flood_of_invalid_datagrams_is_logged_once_and_does_not_cut_members_off() {
    let mut world = World::settled(3, 15);
    let sealed_by_other_key = Keys::from_secret(0, &[8; 40])
        .expect("a key")
        .seal(&[1; 100]);
    for n in 0..40u32 {
        for k in 0..5_000u32 {
            let from = ([10, 0, (k % 3) as u8, 9], 9).into();
            world.deliver(1, from, &sealed_by_other_key);
            if k % 50 == 0 {
                world.deliver(1, from, &vec![n as u8; 1_000 + k as usize % 500]);
            }
        }
        world.run(TICK);
    }
    let lines = world
        .node(1)
        .logs
        .iter()
        .filter(|(_, line)| line.contains("flood"))
        .count();
    assert_eq!(lines, 1);
    assert!(world.accusations().is_empty() && world.all_hold(1, "ready"));
}

#[test]
fn a_key_is_rotated_while_the_cluster_is_partitioned() {
    let mut world = World::settled(4, 16);
    let a = "a".repeat(40);
    let b = "b".repeat(40);
    let parse = |text: &str| Keys::parse(text.as_bytes()).expect("keys");
    let set_keys = |world: &mut World, members: std::ops::Range<usize>, text: String| {
        members.for_each(|n| world.node(n).membership.set_keys(parse(&text)));
    };
    set_keys(&mut world, 0..4, format!("1 {a}"));
    world.run(S);
    world.cut = Box::new(|x, y| x / 2 != y / 2);
    world.run(S);
    // One half is a step ahead of the other when they meet.
    set_keys(&mut world, 0..2, format!("1 {a}\n2 {b}"));
    set_keys(&mut world, 2..4, format!("1 {a}\n2 {b}"));
    world.run(S);
    set_keys(&mut world, 0..2, format!("2 {b}\n1 {a}"));
    world.cut = Box::new(|_, _| false);
    world.run(4 * S);
    assert!(world.views_equal() && world.fleet(0).view().ready_count == 4);
    set_keys(&mut world, 2..4, format!("2 {b}\n1 {a}"));
    set_keys(&mut world, 0..4, format!("2 {b}"));
    world.run(4 * S);
    assert!(world.views_equal() && world.fleet(0).view().ready_count == 4);
    // A member that still has the old key is heard by nobody.
    set_keys(&mut world, 3..4, format!("1 {a}"));
    world.run(10 * S);
    assert!((0..3).all(|n| world.state(3, n) == "dead"));
}
