//! Tests of members that join, leave, die, drain and restart, in virtual time.

mod world;

use frosthatch_cluster_membership::{LifecyclePhase, MembershipConfig};
use world::{address_of, config, World, SECOND_US, TICK_US};

#[test]
fn members_find_each_other_by_seeds_and_have_equal_views() {
    let mut world = World::new(9, 1);
    (0..9).for_each(|n| world.start(n));
    let elapsed_us = world.run_until(5 * SECOND_US, |world| {
        world.views_equal() && world.membership(0).view().ready_count == 9
    });
    assert!(
        elapsed_us.is_some_and(|us| us <= SECOND_US),
        "{elapsed_us:?}"
    );
    assert!(world
        .membership(0)
        .ready_members()
        .contains(&("north", "z2", "n5")));
    world.run(2 * SECOND_US);
    assert!(
        world.now_us - world.membership(3).view().changed_at_us >= 2 * SECOND_US,
        "the view does not change after it has converged"
    );
}

#[test]
fn a_killed_member_is_declared_dead_and_later_forgotten_by_all() {
    let mut world = World::converged(9, 2);
    world.kill(4);
    let elapsed_us = world.run_until(10 * SECOND_US, |world| world.all_see(4, "dead"));
    assert!(
        elapsed_us.is_some_and(|us| us <= 4 * SECOND_US),
        "{elapsed_us:?}"
    );
    assert!(world.views_equal());
    let forgotten_after_us = world.run_until(60 * SECOND_US, |world| world.all_see(4, "unknown"));
    assert!(
        forgotten_after_us.is_some_and(|us| (25 * SECOND_US..40 * SECOND_US).contains(&us)),
        "{forgotten_after_us:?}"
    );
    world.run(30 * SECOND_US);
    assert!(
        world.all_see(4, "unknown"),
        "no member adds the forgotten member again"
    );
    assert!(
        world.node(0).absent_gateways.contains(&4),
        "the forgotten member's gateway number is reported absent"
    );
}

#[test]
fn a_leaving_member_is_gone_at_once_and_no_member_is_declared_dead() {
    let mut world = World::converged(9, 3);
    let now_us = world.now_us;
    let mut outputs = Vec::new();
    world.node(4).membership.leave(now_us, &mut outputs);
    world.run(3 * TICK_US);
    world.kill(4);
    let elapsed_us = world.run_until(5 * SECOND_US, |world| world.all_see(4, "left"));
    assert!(
        elapsed_us.is_some_and(|us| us <= SECOND_US),
        "{elapsed_us:?}"
    );
    world.run(SECOND_US);
    assert!(world.running().iter().all(|n| world.nodes[*n]
        .as_ref()
        .expect("a running member has a node")
        .absent_gateways
        == [4]));
    assert!(
        world.death_log_lines().is_empty(),
        "{:?}",
        world.death_log_lines()
    );
}

#[test]
fn a_draining_member_is_present_but_not_in_the_view_until_it_is_ready_again() {
    let mut world = World::converged(4, 4);
    let now_us = world.now_us;
    world
        .node(1)
        .membership
        .set_phase(now_us, LifecyclePhase::Draining);
    world.run(SECOND_US);
    assert!(
        world.all_see(1, "draining")
            && world.views_equal()
            && world.membership(0).view().ready_count == 3
    );
    let now_us = world.now_us;
    world
        .node(1)
        .membership
        .set_phase(now_us, LifecyclePhase::Ready);
    world.run(SECOND_US);
    assert!(world.all_see(1, "ready") && world.membership(0).view().ready_count == 4);
}

#[test]
fn a_restarted_member_has_another_instance_even_if_its_wall_clock_went_back() {
    for clock_step_ms in [0, 500_000] {
        let mut world = World::converged(5, 5);
        world.now_us += 600 * SECOND_US;
        world.run(2 * SECOND_US);
        world.kill(2);
        world.run(200_000);
        let started_ms = world.now_us / 1_000 - clock_step_ms;
        world.start_with(2, config(2, 5, started_ms));
        let instance_id = world.membership(2).own_record().instance_id;
        let is_known_to_all = |world: &World| {
            world.running().iter().all(|n| {
                world
                    .membership(*n)
                    .members()
                    .any(|m| m.record.instance_id == instance_id && m.record.is_ready())
            })
        };
        let elapsed_us = world.run_until(5 * SECOND_US, is_known_to_all);
        assert!(
            elapsed_us.is_some_and(|us| us <= SECOND_US),
            "{clock_step_ms}: {elapsed_us:?}"
        );
        world.run(10 * SECOND_US);
        assert!(
            is_known_to_all(&world) && world.views_equal() && !world.membership(2).is_superseded,
            "{clock_step_ms}"
        );
    }
}

#[test]
fn of_two_processes_with_one_name_the_older_one_stops_sending() {
    // With 17 members, n7 is not a seed, so the other members do not contact its address in any case.
    for (count, duplicated) in [(4, 2), (17, 7)] {
        check_two_processes_with_one_name(count, duplicated);
    }
}

/// Starts the first `count - 1` members, and later a second process under the name of the member `duplicated`.
fn check_two_processes_with_one_name(count: usize, duplicated: usize) {
    let mut world = World::new(count, 6);
    (0..count - 1).for_each(|n| world.start(n));
    world.run(10 * SECOND_US);
    let newer = count - 1;
    let newer_config = config(duplicated, count, world.now_us / 1_000);
    world.start_with(
        newer,
        MembershipConfig {
            advertise: address_of(newer),
            ..newer_config
        },
    );
    world.run(3 * SECOND_US);
    assert!(
        world.membership(duplicated).is_superseded && !world.membership(newer).is_superseded,
        "{count}"
    );
    assert!(world
        .node(duplicated)
        .log_lines
        .iter()
        .any(|(_, line)| line.contains(&format!("a later process runs as n{duplicated}"))));
    let instance_id = world.membership(newer).own_record().instance_id;
    for n in (0..count).filter(|n| *n != duplicated) {
        assert!(
            world
                .membership(n)
                .members()
                .any(|m| m.record.name == format!("n{duplicated}")
                    && m.record.instance_id == instance_id),
            "{n}"
        );
    }
    let sent_before = world.node(duplicated).sent_datagrams;
    world.run(5 * SECOND_US);
    assert_eq!(world.node(duplicated).sent_datagrams, sent_before);
    assert!(world
        .membership(newer)
        .members()
        .all(|m| m.record.state() == "ready"));
}

#[test]
fn a_cluster_survives_the_loss_of_its_seeds_and_one_running_seed_suffices_to_join() {
    let mut world = World::new(8, 13);
    (0..7).for_each(|n| world.start(n));
    world.run(3 * SECOND_US);
    (0..3).for_each(|n| world.kill(n));
    let elapsed_us = world.run_until(20 * SECOND_US, |world| {
        (3..7).all(|n| world.membership(n).view().ready_count == 4)
    });
    assert!(
        elapsed_us.is_some_and(|us| us <= 8 * SECOND_US),
        "{elapsed_us:?}"
    );
    // A new member joins if one of its seeds is running.
    let newcomer = config(7, 8, world.now_us / 1_000);
    world.start_with(
        7,
        MembershipConfig {
            seeds: vec![address_of(0), address_of(5)],
            ..newcomer
        },
    );
    world.run(3 * SECOND_US);
    assert!(world.views_equal() && world.membership(7).view().ready_count == 5);
}

#[test]
fn gauges_reach_other_members_with_their_age() {
    let mut world = World::converged(3, 17);
    let now_us = world.now_us;
    world.node(0).membership.set_gauge(now_us, "strain", 0.5);
    world.run(SECOND_US);
    let (value, measured_at_us) = world
        .membership(2)
        .gauge("n0", "strain")
        .expect("the gauge has reached the member");
    assert!(value == 0.5 && measured_at_us.abs_diff(now_us) < 100_000);
    let now_us = world.now_us;
    world.node(0).membership.set_gauge(now_us, "strain", 0.75);
    world.run(SECOND_US);
    assert_eq!(
        world
            .membership(1)
            .gauge("n0", "strain")
            .map(|(value, _)| value),
        Some(0.75)
    );
}

#[test]
fn absent_gateways_are_reported_while_the_cluster_grows_and_shrinks() {
    let mut world = World::new(9, 18);
    (0..2).for_each(|n| world.start(n));
    world.run(2 * SECOND_US);
    assert_eq!(world.node(0).absent_gateways, (2..9).collect::<Vec<u32>>());
    for n in 2..9 {
        world.start(n);
        world.run(500_000);
    }
    world.run(SECOND_US);
    assert!(
        world.node(0).absent_gateways.is_empty() && world.membership(0).view().ready_count == 9
    );
    for n in 2..9 {
        let now_us = world.now_us;
        let mut outputs = Vec::new();
        world.node(n).membership.leave(now_us, &mut outputs);
        world.run(2 * TICK_US);
        world.kill(n);
        world.run(300_000);
    }
    world.run(SECOND_US);
    assert_eq!(world.node(1).absent_gateways, (2..9).collect::<Vec<u32>>());
    assert!(
        world.death_log_lines().is_empty(),
        "{:?}",
        world.death_log_lines()
    );
}
