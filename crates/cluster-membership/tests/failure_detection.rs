//! Tests of partitions, stopped and starved processes, and datagram loss, in virtual time: no running member is
//! considered dead permanently.

mod world;

use proptest::prelude::{
    any, prop, prop_assert, prop_oneof, proptest, Just, ProptestConfig, Strategy,
};
use world::{World, SECOND_US};

#[test]
fn no_member_is_declared_dead_while_a_link_is_cut_one_way() {
    let mut world = World::converged(5, 7);
    world.is_link_cut = Box::new(|from, to| (from, to) == (1, 3));
    world.run(20 * SECOND_US);
    assert!(
        world.death_log_lines().is_empty(),
        "{:?}",
        world.death_log_lines()
    );
    // Nor is a member declared dead if only member 0 receives its datagrams.
    world.is_link_cut = Box::new(|from, to| from == 1 && to != 0);
    world.run(20 * SECOND_US);
    assert!(
        world.death_log_lines().is_empty(),
        "{:?}",
        world.death_log_lines()
    );
    assert!(world.views_equal());
}

#[test]
fn three_partitions_that_heal_one_after_another_converge_on_one_view() {
    let mut world = World::converged(9, 8);
    world.is_link_cut = Box::new(|a, b| a / 3 != b / 3);
    let elapsed_us = world.run_until(20 * SECOND_US, |world| {
        (0..9).all(|n| world.membership(n).view().ready_count == 3)
    });
    assert!(
        elapsed_us.is_some_and(|us| us <= 6 * SECOND_US),
        "{elapsed_us:?}"
    );
    // The second and third partition merge first, then all three.
    world.is_link_cut = Box::new(|a, b| (a / 3 == 0) != (b / 3 == 0));
    let elapsed_us = world.run_until(20 * SECOND_US, |world| {
        (3..9).all(|n| world.membership(n).view().ready_count == 6)
    });
    assert!(
        elapsed_us.is_some_and(|us| us <= 3 * SECOND_US),
        "{elapsed_us:?}"
    );
    world.is_link_cut = Box::new(|_, _| false);
    let elapsed_us = world.run_until(20 * SECOND_US, |world| {
        world.views_equal() && world.membership(0).view().ready_count == 9
    });
    assert!(
        elapsed_us.is_some_and(|us| us <= 3 * SECOND_US),
        "{elapsed_us:?}"
    );
}

/// A one-way cut lasts so long that one side forgets the other, but not vice versa. The forgotten side must return at
/// once when the link works again.
#[test]
fn a_member_that_others_forgot_is_ready_again_within_3_s() {
    let mut world = World::converged(4, 19);
    world.run(30 * SECOND_US);
    // No datagram from member 3 arrives, whereas it receives those of the others until these have forgotten it.
    world.is_link_cut = Box::new(|from, _| from == 3);
    let forgotten_after_us = world.run_until(90 * SECOND_US, |world| {
        (0..3).all(|n| world.state(3, n) == "unknown")
    });
    assert!(forgotten_after_us.is_some());
    let death_log_lines_before = world.death_log_lines().len();
    world.is_link_cut = Box::new(|_, _| false);
    let elapsed_us = world.run_until(10 * SECOND_US, |world| {
        world.views_equal() && world.membership(0).view().ready_count == 4
    });
    assert!(
        elapsed_us.is_some_and(|us| us <= 3 * SECOND_US),
        "{elapsed_us:?}"
    );
    // Member 3 received nothing after the others had forgotten it, so its health score is high and its suspicion
    // timeouts are long: a wrong suspicion would time out only now.
    world.run(25 * SECOND_US);
    assert!(world.views_equal() && world.membership(3).view().ready_count == 4);
    assert_eq!(
        world.death_log_lines().len(),
        death_log_lines_before,
        "{:?}",
        world.death_log_lines()
    );
}

#[test]
fn a_stopped_member_declares_nobody_dead_when_it_resumes_and_refutes_its_own_death() {
    let mut world = World::converged(7, 9);
    world.node(3).is_stopped = true;
    world.run(10 * SECOND_US);
    assert!(world.all_see(3, "dead"));
    let death_log_lines_before = world.death_log_lines().len();
    world.node(3).is_stopped = false;
    let elapsed_us = world.run_until(10 * SECOND_US, |world| {
        world.all_see(3, "ready") && world.views_equal()
    });
    assert!(
        elapsed_us.is_some_and(|us| us <= 3 * SECOND_US),
        "{elapsed_us:?}"
    );
    assert_eq!(
        world.death_log_lines().len(),
        death_log_lines_before,
        "{:?}",
        world.death_log_lines()
    );
    assert!((0..7)
        .filter(|n| *n != 3)
        .all(|n| world.state(n, 3) == "ready"));
}

#[test]
fn a_starved_member_declares_nobody_dead() {
    let mut world = World::converged(7, 10);
    for _ in 0..20 {
        world.node(3).is_stopped = true;
        world.run(600_000);
        world.node(3).is_stopped = false;
        world.run(200_000);
    }
    let death_log_lines_of_starved: Vec<_> = world
        .death_log_lines()
        .into_iter()
        .filter(|(logger, ..)| *logger == 3)
        .collect();
    assert!(
        death_log_lines_of_starved.is_empty(),
        "{death_log_lines_of_starved:?}"
    );
}

#[test]
fn loss_and_jitter_cause_few_false_deaths_which_are_refuted() {
    for (loss, max_false_deaths, seed) in [(0.05, 0, 11), (0.3, 4, 12)] {
        let mut world = World::converged(16, seed);
        world.loss = loss;
        world.delay_range_us = (1_000, 200_000);
        world.run(30 * SECOND_US);
        // A false death is logged by up to 15 members.
        let death_log_lines = world.death_log_lines();
        assert!(
            death_log_lines.len() <= max_false_deaths * 15,
            "{loss}: {death_log_lines:?}"
        );
        world.loss = 0.0;
        world.run(3 * SECOND_US);
        assert!(
            world.views_equal() && world.membership(0).view().ready_count == 16,
            "{loss}"
        );
    }
}

/// An event that concerns one link or member of three, or the whole network.
#[derive(Clone, Debug)]
enum Event {
    CutLink(usize, usize),
    RestoreLinks,
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    SetLoss(bool),
}

/// Generates events, each with the time until the next one in microseconds.
fn events() -> impl Strategy<Value = Vec<(Event, u64)>> {
    let member = 0usize..3;
    let event = prop_oneof![
        (member.clone(), member.clone()).prop_map(|(a, b)| Event::CutLink(a, b)),
        Just(Event::RestoreLinks),
        member.clone().prop_map(Event::Kill),
        member.clone().prop_map(Event::Start),
        member.clone().prop_map(Event::Pause),
        member.prop_map(Event::Resume),
        any::<bool>().prop_map(Event::SetLoss),
    ];
    prop::collection::vec((event, 0u64..3_000_000), 1..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// After any events: once all links work and all members run, every member sees all three as ready and all views
    /// are equal.
    #[test]
    fn running_members_recover_equal_views_after_any_events(events in events(), seed in any::<u64>()) {
        let mut world = World::converged(3, seed);
        let mut cuts: Vec<(usize, usize)> = Vec::new();
        for (event, pause_us) in events {
            match event {
                Event::CutLink(a, b) => cuts.push((a, b)),
                Event::RestoreLinks => cuts.clear(),
                Event::Kill(n) => world.kill(n),
                Event::Start(n) if world.nodes[n].is_none() => world.start(n),
                Event::Start(_) => {}
                Event::Pause(n) => world.nodes[n].iter_mut().for_each(|node| node.is_stopped = true),
                Event::Resume(n) => world.nodes[n].iter_mut().for_each(|node| node.is_stopped = false),
                Event::SetLoss(is_lossy) => world.loss = if is_lossy { 0.4 } else { 0.0 },
            }
            let current_cuts = cuts.clone();
            world.is_link_cut = Box::new(move |a, b| current_cuts.contains(&(a, b)));
            world.run(pause_us);
        }
        world.loss = 0.0;
        world.is_link_cut = Box::new(|_, _| false);
        for n in 0..3 {
            if world.nodes[n].is_none() {
                world.start(n);
            }
            world.node(n).is_stopped = false;
        }
        let elapsed_us = world.run_until(5 * SECOND_US, |world| {
            world.views_equal() && world.membership(0).view().ready_count == 3
        });
        let states: Vec<(bool, usize)> = (0..3)
            .map(|n| (world.membership(n).is_superseded, world.membership(n).view().ready_count))
            .collect();
        prop_assert!(elapsed_us.is_some(), "{:?}", states);
        prop_assert!((0..3).all(|n| !world.membership(n).is_superseded));
    }
}
