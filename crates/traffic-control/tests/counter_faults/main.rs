//! Four gateways, a counter with faults and a meter, in virtual time: how much is admitted beyond quotas, and what customers
//! within their quotas still get.

mod world;

use std::collections::BTreeMap;
use world::{TotalFault, World, CALL_US, GATEWAYS, PLAN, START};

/// Plays with a large plan, and with a small one whose requests may be large beside it, and with windows that end at different times.
fn for_each_plan(play: impl Fn()) {
    for (plan, start) in [
        ((40.0, 80.0, 1.0), 965),
        ((40.0, 80.0, 1.0), 1_003),
        ((6.0, 24.0, 6.0), 965),
        ((6.0, 24.0, 6.0), 1_003),
    ] {
        println!("{plan:?} from {start}");
        PLAN.with(|p| p.set(plan));
        START.with(|s| s.set(start * 1_000_000));
        play();
    }
}

#[test]
fn without_a_fault_quotas_hold() {
    for_each_plan(|| {
        World::new().play_fault(10.0, |_| {}, |_| {}, 1.0, 0.98);
    });
}

/// Only what is admitted in the seconds before the loss is noticed may exceed the quotas.
#[test]
fn quotas_hold_while_the_counter_is_lost() {
    for_each_plan(|| {
        for seconds in [1.0, 10.0, 60.0] {
            let mut world = World::new();
            world.play_fault(
                seconds,
                |w| w.counter.is_lost = true,
                |w| w.counter.is_lost = false,
                4.0,
                0.85,
            );
            if seconds > 5.0 {
                let lost = world
                    .logs
                    .iter()
                    .filter(|l| l.contains("counter lost"))
                    .count();
                assert!((1..=GATEWAYS).contains(&lost), "{:?}", world.logs);
            }
        }
    });
}

fn split_counter(w: &mut World) {
    let copy = w.counter.replicas[0].clone();
    w.counter.replicas.push(copy);
    w.counter.replica_of_gateway = [0, 0, 1, 1];
}

fn heal_counter(w: &mut World) {
    w.counter.replica_of_gateway = [0; GATEWAYS];
}

/// The halves see half of the use each; the meter reports all of it. By itself each half would admit the whole rate, a
/// minute of it too much in all; with a small quota noise hides the split longer.
#[test]
fn quotas_hold_while_the_counter_is_split_and_after_it_heals() {
    for_each_plan(|| {
        let mut world = World::new();
        world.play_fault(60.0, split_counter, heal_counter, 22.0, 0.85);
        assert!(
            world.logs.iter().any(|l| l.contains("counter doubtful")),
            "{:?}",
            world.logs
        );
    });
}

#[test]
fn quotas_hold_for_a_customer_that_moves_while_the_counter_is_split() {
    for_each_plan(|| {
        let mut world = World::new();
        split_counter(&mut world);
        world.run(10.0);
        world.play_fault(10.0, |w| w.moved = true, heal_counter, 6.0, 0.85);
    });
}

fn replace_counter(w: &mut World) {
    w.counter.replicas.push(BTreeMap::new());
    w.counter.replica_of_gateway = [w.counter.replicas.len() - 1; GATEWAYS];
}

#[test]
fn quotas_hold_when_the_counter_restarts_at_zero() {
    for_each_plan(|| {
        let mut world = World::new();
        world.play_fault(10.0, replace_counter, |_| {}, 3.0, 0.95);
        assert!(
            world.logs.iter().any(|l| l.contains("counter doubtful")),
            "{:?}",
            world.logs
        );
    });
}

#[test]
fn quotas_hold_when_the_counter_is_replaced_and_restored() {
    for_each_plan(|| {
        World::new().play_fault(10.0, replace_counter, heal_counter, 4.0, 0.9);
    });
}

#[test]
fn quotas_hold_while_a_third_of_the_counter_is_lost() {
    for_each_plan(|| {
        for part in 0..3 {
            let lose = |w: &mut World| w.counter.lost_part = Some(part);
            World::new().play_fault(10.0, lose, |w| w.counter.lost_part = None, 4.0, 0.85);
        }
    });
}

#[test]
fn quotas_hold_while_replies_are_a_second_late() {
    for_each_plan(|| {
        World::new().play_fault(
            10.0,
            |w| w.counter.delay = 1_000_000,
            |w| w.counter.delay = CALL_US,
            4.0,
            0.85,
        );
    });
}

#[test]
fn quotas_hold_while_totals_are_wrong() {
    for_each_plan(|| {
        for lie in [
            TotalFault::By(500.0),
            TotalFault::By(-500.0),
            TotalFault::NoNumber,
        ] {
            let tell = |w: &mut World| w.counter.total_fault = lie;
            World::new().play_fault(
                10.0,
                tell,
                |w| w.counter.total_fault = TotalFault::None,
                4.0,
                0.85,
            );
        }
    });
}

/// Then each gateway has its even slice, and no more is known.
#[test]
fn quotas_hold_while_counter_and_meter_are_lost() {
    for_each_plan(|| {
        let lose = |w: &mut World| (w.counter.is_lost, w.meter_lost) = (true, true);
        let find = |w: &mut World| (w.counter.is_lost, w.meter_lost) = (false, false);
        World::new().play_fault(10.0, lose, find, 4.0, 0.6);
    });
}

#[test]
fn quotas_hold_when_a_gateway_restarts_while_the_counter_is_lost() {
    for_each_plan(|| {
        let mut world = World::new();
        world.counter.is_lost = true;
        world.run(3.0);
        world.play_fault(
            10.0,
            |w| {
                w.gateways[1] = None;
                w.run(2.0);
                w.start(1);
            },
            |w| w.counter.is_lost = false,
            6.0,
            0.7,
        );
    });
}

/// The usage ledger costs no calls.
#[test]
fn calls_do_not_increase() {
    for_each_plan(|| {
        let mut world = World::new();
        let asked = world.next;
        let counted = world.counted;
        world.run(30.0);
        let calls = (world.counted - counted) as f64 / (world.next - asked) as f64;
        println!("{calls:.3} calls a request");
        assert!(calls <= 0.85, "{calls} calls a request");
    });
}
