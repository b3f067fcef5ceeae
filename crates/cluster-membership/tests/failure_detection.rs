//! Partitions, stopped and starved processes, and loss, in virtual time: members that run are not held dead for good.

mod world;

use proptest::prelude::{
    any, prop, prop_assert, prop_oneof, proptest, Just, ProptestConfig, Strategy,
};
use world::{World, S};

#[test]
fn a_link_that_is_cut_one_way_makes_nobody_dead() {
    let mut world = World::settled(5, 7);
    world.cut = Box::new(|from, to| (from, to) == (1, 3));
    world.run(20 * S);
    assert!(world.accusations().is_empty(), "{:?}", world.accusations());
    // Also where only one other member receives anything from it.
    world.cut = Box::new(|from, to| from == 1 && to != 0);
    world.run(20 * S);
    assert!(world.accusations().is_empty(), "{:?}", world.accusations());
    assert!(world.views_equal());
}

#[test]
fn three_partitions_that_heal_in_another_order_converge_on_one_view() {
    let mut world = World::settled(9, 8);
    world.cut = Box::new(|a, b| a / 3 != b / 3);
    let took = world.until(20 * S, |world| {
        (0..9).all(|n| world.fleet(n).view().ready_count == 3)
    });
    assert!(took.is_some_and(|us| us <= 6 * S), "{took:?}");
    // The last two partitions heal first, then all.
    world.cut = Box::new(|a, b| (a / 3 == 0) != (b / 3 == 0));
    let took = world.until(20 * S, |world| {
        (3..9).all(|n| world.fleet(n).view().ready_count == 6)
    });
    assert!(took.is_some_and(|us| us <= 3 * S), "{took:?}");
    world.cut = Box::new(|_, _| false);
    let took = world.until(20 * S, |world| {
        world.views_equal() && world.fleet(0).view().ready_count == 9
    });
    assert!(took.is_some_and(|us| us <= 3 * S), "{took:?}");
}

/// A link is cut one way for so long that one side has forgotten the other, but not vice versa.
#[test]
fn a_member_forgotten_on_one_side_only_returns_at_once() {
    let mut world = World::settled(4, 19);
    world.run(30 * S);
    // The member 3 hears all, and nobody hears it.
    world.cut = Box::new(|from, _| from == 3);
    let forgotten = world.until(90 * S, |world| {
        (0..3).all(|n| world.state(3, n) == "unknown")
    });
    assert!(forgotten.is_some());
    let accusations_before = world.accusations().len();
    world.cut = Box::new(|_, _| false);
    let took = world.until(10 * S, |world| {
        world.views_equal() && world.fleet(0).view().ready_count == 4
    });
    assert!(took.is_some_and(|us| us <= 3 * S), "{took:?}");
    // A member that hears nobody suspects slowly.
    world.run(25 * S);
    assert!(world.views_equal() && world.fleet(3).view().ready_count == 4);
    assert_eq!(
        world.accusations().len(),
        accusations_before,
        "{:?}",
        world.accusations()
    );
}

#[test]
fn a_stopped_member_suspects_nobody_and_refutes_its_death() {
    let mut world = World::settled(7, 9);
    world.node(3).stopped = true;
    world.run(10 * S);
    assert!(world.all_hold(3, "dead"));
    let accusations_before = world.accusations().len();
    world.node(3).stopped = false;
    let took = world.until(10 * S, |world| {
        world.all_hold(3, "ready") && world.views_equal()
    });
    assert!(took.is_some_and(|us| us <= 3 * S), "{took:?}");
    assert_eq!(
        world.accusations().len(),
        accusations_before,
        "{:?}",
        world.accusations()
    );
    assert!((0..7)
        .filter(|n| *n != 3)
        .all(|n| world.state(n, 3) == "ready"));
}

#[test]
fn a_starved_member_suspects_nobody() {
    let mut world = World::settled(7, 10);
    for _ in 0..20 {
        world.node(3).stopped = true;
        world.run(600_000);
        world.node(3).stopped = false;
        world.run(200_000);
    }
    let by_starved: Vec<_> = world
        .accusations()
        .into_iter()
        .filter(|(by, ..)| *by == 3)
        .collect();
    assert!(by_starved.is_empty(), "{by_starved:?}");
}

#[test]
fn loss_and_jitter_cause_few_suspicions_which_are_refuted() {
    for (loss, max_accusations, seed) in [(0.05, 0, 11), (0.3, 4, 12)] {
        let mut world = World::settled(16, seed);
        world.loss = loss;
        world.delay = (1_000, 200_000);
        world.run(30 * S);
        let accusations = world.accusations();
        assert!(
            accusations.len() <= max_accusations * 15,
            "{loss}: {accusations:?}"
        );
        world.loss = 0.0;
        world.run(3 * S);
        assert!(
            world.views_equal() && world.fleet(0).view().ready_count == 16,
            "{loss}"
        );
    }
}

/// What happens to one of three members.
#[derive(Clone, Debug)]
enum Event {
    Cut(usize, usize),
    Heal,
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    LoseDatagrams(bool),
}

/// Events, each with the time until the next one.
fn events() -> impl Strategy<Value = Vec<(Event, u64)>> {
    let member = 0usize..3;
    let event = prop_oneof![
        (member.clone(), member.clone()).prop_map(|(a, b)| Event::Cut(a, b)),
        Just(Event::Heal),
        member.clone().prop_map(Event::Kill),
        member.clone().prop_map(Event::Start),
        member.clone().prop_map(Event::Pause),
        member.prop_map(Event::Resume),
        any::<bool>().prop_map(Event::LoseDatagrams),
    ];
    prop::collection::vec((event, 0u64..3_000_000), 1..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Whatever happened: once all links work and all members run, none is held dead and all have equal views.
    #[test]
    fn running_members_do_not_hold_each_other_dead_for_good(events in events(), seed in any::<u64>()) {
        let mut world = World::settled(3, seed);
        let mut cuts: Vec<(usize, usize)> = Vec::new();
        for (event, pause) in events {
            match event {
                Event::Cut(a, b) => cuts.push((a, b)),
                Event::Heal => cuts.clear(),
                Event::Kill(n) => world.kill(n),
                Event::Start(n) if world.nodes[n].is_none() => world.start(n),
                Event::Start(_) => {}
                Event::Pause(n) => world.nodes[n].iter_mut().for_each(|node| node.stopped = true),
                Event::Resume(n) => world.nodes[n].iter_mut().for_each(|node| node.stopped = false),
                Event::LoseDatagrams(on) => world.loss = if on { 0.4 } else { 0.0 },
            }
            let current_cuts = cuts.clone();
            world.cut = Box::new(move |a, b| current_cuts.contains(&(a, b)));
            world.run(pause);
        }
        world.loss = 0.0;
        world.cut = Box::new(|_, _| false);
        for n in 0..3 {
            if world.nodes[n].is_none() {
                world.start(n);
            }
            world.node(n).stopped = false;
        }
        let took = world.until(5 * S, |world| world.views_equal() && world.fleet(0).view().ready_count == 3);
        let states: Vec<(bool, usize)> = (0..3)
            .map(|n| (world.fleet(n).superseded, world.fleet(n).view().ready_count))
            .collect();
        prop_assert!(took.is_some(), "{:?}", states);
        prop_assert!((0..3).all(|n| !world.fleet(n).superseded));
    }
}
