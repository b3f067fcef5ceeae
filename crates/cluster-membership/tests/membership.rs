//! Who is in the fleet, in virtual time: joins, leaves, deaths, restarts, cuts, stops, twins, keys, replays.

mod world;

use frosthatch_cluster_membership::seal::Keys;
use frosthatch_cluster_membership::LifecyclePhase;
use proptest::prelude::*;
use world::{address_of, config, World, S, TICK};

#[test]
fn all_find_each_other_by_seeds_and_see_the_same() {
    let mut w = World::new(9, 1);
    (0..9).for_each(|n| w.start(n));
    let took = w.until(5 * S, |w| w.views_equal() && w.fleet(0).view().ready == 9);
    assert!(took.is_some_and(|us| us <= S), "{took:?}");
    assert!(w.fleet(0).ready().contains(&("north", "z2", "n5")));
    w.run(2 * S);
    assert!(
        w.now - w.fleet(3).view().since >= 2 * S,
        "nothing has changed since"
    );
}

#[test]
fn one_that_is_killed_is_held_dead_by_all_and_forgotten_by_all() {
    let mut w = World::settled(9, 2);
    w.kill(4);
    let took = w.until(10 * S, |w| w.all_hold(4, "dead"));
    assert!(took.is_some_and(|us| us <= 4 * S), "{took:?}");
    assert!(w.views_equal());
    let forgotten = w.until(60 * S, |w| w.all_hold(4, "unknown"));
    assert!(
        forgotten.is_some_and(|us| (25 * S..40 * S).contains(&us)),
        "{forgotten:?}"
    );
    w.run(30 * S);
    assert!(w.all_hold(4, "unknown"), "nobody learns of it again");
    assert!(
        w.node(0).absent.contains(&4),
        "nothing comes through it any more"
    );
}

#[test]
fn one_that_leaves_is_gone_at_once_and_nobody_is_accused() {
    let mut w = World::settled(9, 3);
    let now = w.now;
    let mut out = Vec::new();
    w.node(4).membership.leave(now, &mut out);
    w.run(3 * TICK);
    w.kill(4);
    let took = w.until(5 * S, |w| w.all_hold(4, "left"));
    assert!(took.is_some_and(|us| us <= S), "{took:?}");
    w.run(S);
    assert!(w
        .running()
        .iter()
        .all(|n| w.nodes[*n].as_ref().expect("it runs").absent == [4]));
    assert!(w.accusations().is_empty(), "{:?}", w.accusations());
}

#[test]
fn one_that_drains_is_there_and_not_in_the_view_and_back_again() {
    let mut w = World::settled(4, 4);
    let now = w.now;
    w.node(1)
        .membership
        .set_phase(now, LifecyclePhase::Draining);
    w.run(S);
    assert!(w.all_hold(1, "draining") && w.views_equal() && w.fleet(0).view().ready == 3);
    let now = w.now;
    w.node(1).membership.set_phase(now, LifecyclePhase::Ready);
    w.run(S);
    assert!(w.all_hold(1, "ready") && w.fleet(0).view().ready == 4);
}

#[test]
fn one_that_restarts_is_the_same_name_and_another_life_also_where_its_clock_went_back() {
    for back in [0, 500_000] {
        let mut w = World::settled(5, 5);
        w.now += 600 * S;
        w.run(2 * S);
        w.kill(2);
        w.run(200_000);
        let started = w.now / 1_000 - back;
        w.start_with(2, config(2, 5, started));
        let instance_id = w.fleet(2).me().instance_id;
        let known = |w: &World| {
            w.running().iter().all(|n| {
                w.fleet(*n)
                    .members()
                    .any(|m| m.record.instance_id == instance_id && m.record.is_ready())
            })
        };
        let took = w.until(5 * S, known);
        assert!(took.is_some_and(|us| us <= S), "{back}: {took:?}");
        w.run(10 * S);
        assert!(
            known(&w) && w.views_equal() && !w.fleet(2).superseded,
            "{back}"
        );
    }
}

/// Two processes run as n2: the later one has the name, the other one is told and talks no more.
#[test]
fn of_two_under_one_name_the_older_one_is_told_and_goes_silent() {
    // Also where the earlier one is no seed that others call in any case.
    for (of, twice) in [(4, 2), (17, 7)] {
        two_under_one_name(of, twice);
    }
}

fn two_under_one_name(of: usize, twice: usize) {
    let mut w = World::new(of, 6);
    (0..of - 1).for_each(|n| w.start(n));
    w.run(10 * S);
    let other = of - 1;
    let twin = config(twice, of, w.now / 1_000);
    w.start_with(
        other,
        frosthatch_cluster_membership::MembershipConfig {
            advertise: address_of(other),
            ..twin
        },
    );
    w.run(3 * S);
    assert!(
        w.fleet(twice).superseded && !w.fleet(other).superseded,
        "{of}"
    );
    assert!(w
        .node(twice)
        .logs
        .iter()
        .any(|(_, l)| l.contains(&format!("a later process runs as n{twice}"))));
    let instance_id = w.fleet(other).me().instance_id;
    for n in (0..of).filter(|n| *n != twice) {
        assert!(
            w.fleet(n).members().any(
                |m| m.record.name == format!("n{twice}") && m.record.instance_id == instance_id
            ),
            "{n}"
        );
    }
    let before = w.node(twice).messages;
    w.run(5 * S);
    assert_eq!(w.node(twice).messages, before);
    assert!(w
        .fleet(other)
        .members()
        .all(|m| m.record.state() == "ready"));
}

#[test]
fn a_link_that_is_cut_one_way_makes_nobody_dead() {
    let mut w = World::settled(5, 7);
    w.cut = Box::new(|from, to| (from, to) == (1, 3));
    w.run(20 * S);
    assert!(w.accusations().is_empty(), "{:?}", w.accusations());
    // Also where all that it says is lost but to one.
    w.cut = Box::new(|from, to| from == 1 && to != 0);
    w.run(20 * S);
    assert!(w.accusations().is_empty(), "{:?}", w.accusations());
    assert!(w.views_equal());
}

#[test]
fn three_parts_that_heal_in_another_order_come_to_one_view() {
    let mut w = World::settled(9, 8);
    w.cut = Box::new(|a, b| a / 3 != b / 3);
    let took = w.until(20 * S, |w| (0..9).all(|n| w.fleet(n).view().ready == 3));
    assert!(took.is_some_and(|us| us <= 6 * S), "{took:?}");
    // The last two parts first, then all.
    w.cut = Box::new(|a, b| (a / 3 == 0) != (b / 3 == 0));
    let took = w.until(20 * S, |w| (3..9).all(|n| w.fleet(n).view().ready == 6));
    assert!(took.is_some_and(|us| us <= 3 * S), "{took:?}");
    w.cut = Box::new(|_, _| false);
    let took = w.until(20 * S, |w| w.views_equal() && w.fleet(0).view().ready == 9);
    assert!(took.is_some_and(|us| us <= 3 * S), "{took:?}");
}

/// Cut one way for so long that one side has forgotten the other, which has not.
#[test]
fn one_that_was_forgotten_on_one_side_only_is_heard_again_at_once() {
    let mut w = World::settled(4, 19);
    w.run(30 * S);
    // 3 hears all; nobody hears 3.
    w.cut = Box::new(|from, _| from == 3);
    let forgotten = w.until(90 * S, |w| (0..3).all(|n| w.state(3, n) == "unknown"));
    assert!(forgotten.is_some());
    let accused = w.accusations().len();
    w.cut = Box::new(|_, _| false);
    let took = w.until(10 * S, |w| w.views_equal() && w.fleet(0).view().ready == 4);
    assert!(took.is_some_and(|us| us <= 3 * S), "{took:?}");
    // Whoever hears nobody accuses slowly.
    w.run(25 * S);
    assert!(w.views_equal() && w.fleet(3).view().ready == 4);
    assert_eq!(w.accusations().len(), accused, "{:?}", w.accusations());
}

#[test]
fn one_that_was_stopped_accuses_nobody_and_hears_of_itself() {
    let mut w = World::settled(7, 9);
    w.node(3).stopped = true;
    w.run(10 * S);
    assert!(w.all_hold(3, "dead"));
    let accused = w.accusations().len();
    w.node(3).stopped = false;
    let took = w.until(10 * S, |w| w.all_hold(3, "ready") && w.views_equal());
    assert!(took.is_some_and(|us| us <= 3 * S), "{took:?}");
    assert_eq!(w.accusations().len(), accused, "{:?}", w.accusations());
    assert!((0..7).filter(|n| *n != 3).all(|n| w.state(n, 3) == "ready"));
}

/// Also where it does not run again and again for a while.
#[test]
fn one_that_is_starved_accuses_nobody() {
    let mut w = World::settled(7, 10);
    for _ in 0..20 {
        w.node(3).stopped = true;
        w.run(600_000);
        w.node(3).stopped = false;
        w.run(200_000);
    }
    let by_it: Vec<_> = w
        .accusations()
        .into_iter()
        .filter(|(by, ..)| *by == 3)
        .collect();
    assert!(by_it.is_empty(), "{by_it:?}");
}

#[test]
fn loss_and_jitter_accuse_few_and_all_of_them_refute() {
    for (loss, most, seed) in [(0.05, 0, 11), (0.3, 4, 12)] {
        let mut w = World::settled(16, seed);
        (w.loss, w.delay) = (loss, (1_000, 200_000));
        w.run(30 * S);
        let accusations = w.accusations();
        assert!(accusations.len() <= most * 15, "{loss}: {accusations:?}");
        w.loss = 0.0;
        w.run(3 * S);
        assert!(w.views_equal() && w.fleet(0).view().ready == 16, "{loss}");
    }
}

#[test]
fn seeds_that_are_gone_for_good_are_missed_by_nobody_but_newcomers() {
    let mut w = World::new(8, 13);
    (0..7).for_each(|n| w.start(n));
    w.run(3 * S);
    (0..3).for_each(|n| w.kill(n));
    let took = w.until(20 * S, |w| (3..7).all(|n| w.fleet(n).view().ready == 4));
    assert!(took.is_some_and(|us| us <= 8 * S), "{took:?}");
    // A newcomer that is told of one that lives gets in.
    let newcomer = config(7, 8, w.now / 1_000);
    w.start_with(
        7,
        frosthatch_cluster_membership::MembershipConfig {
            seeds: vec![address_of(0), address_of(5)],
            ..newcomer
        },
    );
    w.run(3 * S);
    assert!(w.views_equal() && w.fleet(7).view().ready == 5);
}

#[test]
fn what_was_recorded_a_minute_ago_changes_nothing() {
    let mut w = World::settled(4, 14);
    w.record = Some(Vec::new());
    w.node(0).membership.record_usage(1, 3.0);
    w.run(S);
    let recorded = w.record.take().expect("recorded");
    let now = w.now;
    w.node(1)
        .membership
        .set_phase(now, LifecyclePhase::Draining);
    w.run(60 * S);
    // One of them has restarted since: no datagram names its life.
    w.kill(2);
    w.run(S);
    w.start(2);
    w.run(3 * S);
    let before: Vec<_> = (0..4)
        .map(|n| {
            (
                w.fleet(n).view().digest,
                w.node(n).peer_usage.clone(),
                w.node(n).past_usage.clone(),
            )
        })
        .collect();
    let logs: usize = (0..4).map(|n| w.node(n).logs.len()).sum();
    for (from, to, bytes) in &recorded {
        w.deliver(*to, address_of(*from), bytes);
    }
    w.run(3 * S);
    let after: Vec<_> = (0..4)
        .map(|n| {
            (
                w.fleet(n).view().digest,
                w.node(n).peer_usage.clone(),
                w.node(n).past_usage.clone(),
            )
        })
        .collect();
    assert_eq!(before, after);
    assert_eq!(logs, (0..4).map(|n| w.node(n).logs.len()).sum::<usize>());
}

#[test]
fn a_flood_of_garbage_is_told_once_and_keeps_nobody_from_being_heard() {
    let mut w = World::settled(3, 15);
    let other = Keys::from_secret(0, &[8; 40])
        .expect("a key")
        .seal(&[1; 100]);
    for n in 0..40u32 {
        for k in 0..5_000u32 {
            let from = ([10, 0, (k % 3) as u8, 9], 9).into();
            w.deliver(1, from, &other);
            if k % 50 == 0 {
                w.deliver(1, from, &vec![n as u8; 1_000 + k as usize % 500]);
            }
        }
        w.run(TICK);
    }
    let lines = w
        .node(1)
        .logs
        .iter()
        .filter(|(_, l)| l.contains("flood"))
        .count();
    assert_eq!(lines, 1);
    assert!(w.accusations().is_empty() && w.all_hold(1, "ready"));
}

#[test]
fn a_key_is_replaced_while_the_fleet_is_in_two_parts() {
    let mut w = World::settled(4, 16);
    let (a, b) = ("a".repeat(40), "b".repeat(40));
    let read = |text: &str| Keys::read(text.as_bytes()).expect("keys");
    let set = |w: &mut World, which: std::ops::Range<usize>, text: String| {
        which.for_each(|n| w.node(n).membership.set_keys(read(&text)));
    };
    set(&mut w, 0..4, format!("1 {a}"));
    w.run(S);
    w.cut = Box::new(|x, y| x / 2 != y / 2);
    w.run(S);
    // One half is a step ahead of the other when they meet.
    set(&mut w, 0..2, format!("1 {a}\n2 {b}"));
    set(&mut w, 2..4, format!("1 {a}\n2 {b}"));
    w.run(S);
    set(&mut w, 0..2, format!("2 {b}\n1 {a}"));
    w.cut = Box::new(|_, _| false);
    w.run(4 * S);
    assert!(w.views_equal() && w.fleet(0).view().ready == 4);
    set(&mut w, 2..4, format!("2 {b}\n1 {a}"));
    set(&mut w, 0..4, format!("2 {b}"));
    w.run(4 * S);
    assert!(w.views_equal() && w.fleet(0).view().ready == 4);
    // One that was forgotten is heard by nobody.
    set(&mut w, 3..4, format!("1 {a}"));
    w.run(10 * S);
    assert!((0..3).all(|n| w.state(3, n) == "dead"));
}

#[test]
fn figures_reach_the_others_with_their_age() {
    let mut w = World::settled(3, 17);
    let now = w.now;
    w.node(0).membership.set_gauge(now, "strain", 0.5);
    w.run(S);
    let (value, found) = w.fleet(2).gauge("n0", "strain").expect("it is known");
    assert!(value == 0.5 && found.abs_diff(now) < 100_000);
    let now = w.now;
    w.node(0).membership.set_gauge(now, "strain", 0.75);
    w.run(S);
    assert_eq!(w.fleet(1).gauge("n0", "strain").map(|f| f.0), Some(0.75));
}

#[test]
fn a_fleet_that_grows_and_shrinks_in_seconds_knows_who_is_absent() {
    let mut w = World::new(9, 18);
    (0..2).for_each(|n| w.start(n));
    w.run(2 * S);
    assert_eq!(w.node(0).absent, (2..9).collect::<Vec<u32>>());
    for n in 2..9 {
        w.start(n);
        w.run(500_000);
    }
    w.run(S);
    assert!(w.node(0).absent.is_empty() && w.fleet(0).view().ready == 9);
    for n in 2..9 {
        let now = w.now;
        let mut out = Vec::new();
        w.node(n).membership.leave(now, &mut out);
        w.run(2 * TICK);
        w.kill(n);
        w.run(300_000);
    }
    w.run(S);
    assert_eq!(w.node(1).absent, (2..9).collect::<Vec<u32>>());
    assert!(w.accusations().is_empty(), "{:?}", w.accusations());
}

/// What happens to three members, one thing after another.
#[derive(Clone, Debug)]
enum Do {
    Cut(usize, usize),
    Heal,
    Kill(usize),
    Start(usize),
    Stop(usize),
    Go(usize),
    Lose(bool),
}

fn things() -> impl Strategy<Value = Vec<(Do, u64)>> {
    let who = 0usize..3;
    let one = prop_oneof![
        (who.clone(), who.clone()).prop_map(|(a, b)| Do::Cut(a, b)),
        Just(Do::Heal),
        who.clone().prop_map(Do::Kill),
        who.clone().prop_map(Do::Start),
        who.clone().prop_map(Do::Stop),
        who.prop_map(Do::Go),
        any::<bool>().prop_map(Do::Lose),
    ];
    prop::collection::vec((one, 0u64..3_000_000), 1..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Whatever happened: once all links are whole and all run, nobody that lives is held dead, and all see the same.
    #[test]
    fn no_two_that_live_hold_each_other_dead_for_good(things in things(), seed in any::<u64>()) {
        let mut w = World::settled(3, seed);
        let mut cuts: Vec<(usize, usize)> = Vec::new();
        for (what, pause) in things {
            match what {
                Do::Cut(a, b) => cuts.push((a, b)),
                Do::Heal => cuts.clear(),
                Do::Kill(n) => w.kill(n),
                Do::Start(n) if w.nodes[n].is_none() => w.start(n),
                Do::Start(_) => {}
                Do::Stop(n) => w.nodes[n].iter_mut().for_each(|node| node.stopped = true),
                Do::Go(n) => w.nodes[n].iter_mut().for_each(|node| node.stopped = false),
                Do::Lose(on) => w.loss = if on { 0.4 } else { 0.0 },
            }
            let now = cuts.clone();
            w.cut = Box::new(move |a, b| now.contains(&(a, b)));
            w.run(pause);
        }
        (w.loss, w.cut) = (0.0, Box::new(|_, _| false));
        for n in 0..3 {
            if w.nodes[n].is_none() {
                w.start(n);
            }
            w.node(n).stopped = false;
        }
        let took = w.until(5 * S, |w| w.views_equal() && w.fleet(0).view().ready == 3);
        prop_assert!(took.is_some(), "{:?}", (0..3).map(|n| (w.fleet(n).superseded, w.fleet(n).view().ready)).collect::<Vec<_>>());
        prop_assert!((0..3).all(|n| !w.fleet(n).superseded));
    }
}
