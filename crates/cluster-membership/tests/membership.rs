//! Members that join, leave, die, drain and restart, in virtual time.

mod world;

use frosthatch_cluster_membership::{LifecyclePhase, MembershipConfig};
use world::{address_of, config, World, S, TICK};

#[test]
fn members_find_each_other_by_seeds_and_have_equal_views() {
    let mut world = World::new(9, 1);
    (0..9).for_each(|n| world.start(n));
    let took = world.until(5 * S, |world| {
        world.views_equal() && world.fleet(0).view().ready_count == 9
    });
    assert!(took.is_some_and(|us| us <= S), "{took:?}");
    assert!(world
        .fleet(0)
        .ready_members()
        .contains(&("north", "z2", "n5")));
    world.run(2 * S);
    assert!(
        world.now - world.fleet(3).view().changed_at_us >= 2 * S,
        "nothing has changed since"
    );
}

#[test]
fn a_killed_member_is_confirmed_dead_and_later_forgotten_by_all() {
    let mut world = World::settled(9, 2);
    world.kill(4);
    let took = world.until(10 * S, |world| world.all_hold(4, "dead"));
    assert!(took.is_some_and(|us| us <= 4 * S), "{took:?}");
    assert!(world.views_equal());
    let forgotten = world.until(60 * S, |world| world.all_hold(4, "unknown"));
    assert!(
        forgotten.is_some_and(|us| (25 * S..40 * S).contains(&us)),
        "{forgotten:?}"
    );
    world.run(30 * S);
    assert!(world.all_hold(4, "unknown"), "nobody learns of it again");
    assert!(
        world.node(0).absent.contains(&4),
        "nothing comes through it any more"
    );
}

#[test]
fn a_leaving_member_is_gone_at_once_and_nobody_is_suspected() {
    let mut world = World::settled(9, 3);
    let now = world.now;
    let mut outputs = Vec::new();
    world.node(4).membership.leave(now, &mut outputs);
    world.run(3 * TICK);
    world.kill(4);
    let took = world.until(5 * S, |world| world.all_hold(4, "left"));
    assert!(took.is_some_and(|us| us <= S), "{took:?}");
    world.run(S);
    assert!(world
        .running()
        .iter()
        .all(|n| world.nodes[*n].as_ref().expect("it runs").absent == [4]));
    assert!(world.accusations().is_empty(), "{:?}", world.accusations());
}

#[test]
fn a_draining_member_is_present_but_not_in_the_view_until_it_is_ready_again() {
    let mut world = World::settled(4, 4);
    let now = world.now;
    world
        .node(1)
        .membership
        .set_phase(now, LifecyclePhase::Draining);
    world.run(S);
    assert!(
        world.all_hold(1, "draining")
            && world.views_equal()
            && world.fleet(0).view().ready_count == 3
    );
    let now = world.now;
    world
        .node(1)
        .membership
        .set_phase(now, LifecyclePhase::Ready);
    world.run(S);
    assert!(world.all_hold(1, "ready") && world.fleet(0).view().ready_count == 4);
}

#[test]
fn a_restarted_member_has_another_instance_even_if_its_wall_clock_went_back() {
    for clock_step_ms in [0, 500_000] {
        let mut world = World::settled(5, 5);
        world.now += 600 * S;
        world.run(2 * S);
        world.kill(2);
        world.run(200_000);
        let started = world.now / 1_000 - clock_step_ms;
        world.start_with(2, config(2, 5, started));
        let instance_id = world.fleet(2).own_record().instance_id;
        let known = |world: &World| {
            world.running().iter().all(|n| {
                world
                    .fleet(*n)
                    .members()
                    .any(|m| m.record.instance_id == instance_id && m.record.is_ready())
            })
        };
        let took = world.until(5 * S, known);
        assert!(took.is_some_and(|us| us <= S), "{clock_step_ms}: {took:?}");
        world.run(10 * S);
        assert!(
            known(&world) && world.views_equal() && !world.fleet(2).superseded,
            "{clock_step_ms}"
        );
    }
}

#[test]
fn of_two_processes_with_one_name_the_older_one_falls_silent() {
    // Also where the older one is not a seed, which others contact in any case.
    for (count, twice) in [(4, 2), (17, 7)] {
        check_two_processes_with_one_name(count, twice);
    }
}

/// The first `count - 1` members run, then a second process starts under the name of the member `twice`.
fn check_two_processes_with_one_name(count: usize, twice: usize) {
    let mut world = World::new(count, 6);
    (0..count - 1).for_each(|n| world.start(n));
    world.run(10 * S);
    let other = count - 1;
    let twin = config(twice, count, world.now / 1_000);
    world.start_with(
        other,
        MembershipConfig {
            advertise: address_of(other),
            ..twin
        },
    );
    world.run(3 * S);
    assert!(
        world.fleet(twice).superseded && !world.fleet(other).superseded,
        "{count}"
    );
    assert!(world
        .node(twice)
        .logs
        .iter()
        .any(|(_, line)| line.contains(&format!("a later process runs as n{twice}"))));
    let instance_id = world.fleet(other).own_record().instance_id;
    for n in (0..count).filter(|n| *n != twice) {
        assert!(
            world.fleet(n).members().any(
                |m| m.record.name == format!("n{twice}") && m.record.instance_id == instance_id
            ),
            "{n}"
        );
    }
    let before = world.node(twice).messages;
    world.run(5 * S);
    assert_eq!(world.node(twice).messages, before);
    assert!(world
        .fleet(other)
        .members()
        .all(|m| m.record.state() == "ready"));
}

#[test]
fn lost_seeds_matter_only_to_members_that_join() {
    let mut world = World::new(8, 13);
    (0..7).for_each(|n| world.start(n));
    world.run(3 * S);
    (0..3).for_each(|n| world.kill(n));
    let took = world.until(20 * S, |world| {
        (3..7).all(|n| world.fleet(n).view().ready_count == 4)
    });
    assert!(took.is_some_and(|us| us <= 8 * S), "{took:?}");
    // A new member that has a running one among its seeds joins.
    let newcomer = config(7, 8, world.now / 1_000);
    world.start_with(
        7,
        MembershipConfig {
            seeds: vec![address_of(0), address_of(5)],
            ..newcomer
        },
    );
    world.run(3 * S);
    assert!(world.views_equal() && world.fleet(7).view().ready_count == 5);
}

#[test]
fn gauges_reach_other_members_with_their_age() {
    let mut world = World::settled(3, 17);
    let now = world.now;
    world.node(0).membership.set_gauge(now, "strain", 0.5);
    world.run(S);
    let (value, measured_at) = world.fleet(2).gauge("n0", "strain").expect("it is known");
    assert!(value == 0.5 && measured_at.abs_diff(now) < 100_000);
    let now = world.now;
    world.node(0).membership.set_gauge(now, "strain", 0.75);
    world.run(S);
    assert_eq!(
        world.fleet(1).gauge("n0", "strain").map(|(value, _)| value),
        Some(0.75)
    );
}

#[test]
fn absent_gateways_are_known_while_the_cluster_grows_and_shrinks() {
    let mut world = World::new(9, 18);
    (0..2).for_each(|n| world.start(n));
    world.run(2 * S);
    assert_eq!(world.node(0).absent, (2..9).collect::<Vec<u32>>());
    for n in 2..9 {
        world.start(n);
        world.run(500_000);
    }
    world.run(S);
    assert!(world.node(0).absent.is_empty() && world.fleet(0).view().ready_count == 9);
    for n in 2..9 {
        let now = world.now;
        let mut outputs = Vec::new();
        world.node(n).membership.leave(now, &mut outputs);
        world.run(2 * TICK);
        world.kill(n);
        world.run(300_000);
    }
    world.run(S);
    assert_eq!(world.node(1).absent, (2..9).collect::<Vec<u32>>());
    assert!(world.accusations().is_empty(), "{:?}", world.accusations());
}
