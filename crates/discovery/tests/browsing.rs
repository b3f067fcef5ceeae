//! What is asked, what an answer changes and what is believed: the rules and hard cases of DNS-SD, in virtual time.
#![expect(clippy::default_trait_access, clippy::match_bool)]

mod world;

use frosthatch_discovery::dnssd::DnsSdConfig;
use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_test_doubles::{Rr, Zone};
use frosthatch_traffic_control::ListKind;
use proptest::prelude::*;
use std::time::Duration;
use world::*;

/// What a change may take to be known: a poll, the way there and back, and one lost query.
const KNOWN_US: u64 = 400 * MS;

#[test]
fn the_first_list_is_told_whole_and_is_not_cold() {
    let mut w = World::new(plan(1), vec![zone(10)]);
    w.run(SECOND);
    let (_, kind, members) = &w.tellings[0];
    assert_eq!(
        (*kind, members.len(), w.tellings.len()),
        (ListKind::Complete, 10, 1)
    );
    let m = &w.fleet["n3"];
    assert_eq!(
        (m.address, m.zone.as_str(), m.cell, m.state),
        (at(3), "hall-a", 1, EndpointState::Ready)
    );
    assert!(w
        .fleet
        .values()
        .all(|m| m.started_ms == 0 && m.weight == 1.0));
}

#[test]
fn an_instance_has_one_id_through_case_and_escapes() {
    let mut w = World::new(plan(1), vec![zone(0)]);
    w.zones[0].add_instance(SERVICE, "Till\\0321\\.A", at(0), &[]);
    w.zones[0].remove(SERVICE, |_| true);
    w.zones[0].add(
        SERVICE,
        Rr::Ptr("tILL\\ 1\\046a._TopUp._TCP.Example.ORG".into()),
    );
    w.run(SECOND);
    assert_eq!(w.fleet.keys().collect::<Vec<_>>(), ["till\\0321\\.a"]);
    assert_eq!(w.ready(), 1);
}

#[test]
fn what_additional_records_leave_open_is_asked_for() {
    let mut bare = zone(10);
    bare.additional = false;
    let mut w = World::new(plan(1), vec![bare]);
    w.run(SECOND);
    assert_eq!(w.ready(), 10);
    assert_eq!(w.tellings.len(), 1, "whole at once");
}

/// Nothing new goes there at once, what it has may finish, and then it is gone.
#[test]
fn a_removed_instance_drains_and_then_goes() {
    let mut w = World::new(plan(1), vec![zone(10)]);
    w.run(SECOND);
    w.zones[0].remove_instance(SERVICE, "n4");
    let since = w.now;
    w.run(KNOWN_US);
    assert_eq!(
        (w.state("n4"), w.ready()),
        (Some(EndpointState::Draining), 9)
    );
    assert!(w.tellings[1].0 - since <= KNOWN_US);
    w.run(10 * SECOND);
    assert_eq!(w.state("n4"), None);
    assert!(matches!(&w.tellings[2].2[..], [m] if m.uid == "n4" && m.state == EndpointState::Gone));
}

#[test]
fn one_removed_while_it_drains_by_its_text_stays_draining_and_then_goes() {
    let mut w = World::new(plan(1), vec![zone(3)]);
    w.run(SECOND);
    let full = format!("n1.{SERVICE}");
    w.zones[0].remove(&full, |rr| matches!(rr, Rr::Txt(_)));
    w.zones[0].add(&full, Rr::Txt(vec!["state=draining".into()]));
    w.run(KNOWN_US);
    assert_eq!(w.state("n1"), Some(EndpointState::Draining));
    w.zones[0].remove_instance(SERVICE, "n1");
    w.run(KNOWN_US);
    assert_eq!(w.state("n1"), Some(EndpointState::Draining));
    assert!(!w
        .tellings
        .iter()
        .any(|(_, _, ms)| ms.iter().any(|m| m.state == EndpointState::Gone)));
    w.run(11 * SECOND);
    assert_eq!((w.state("n1"), w.ready()), (None, 2));
}

#[test]
fn a_new_instance_is_cold_from_when_it_is_first_seen_unless_it_says_when_it_booted() {
    let mut w = World::new(plan(1), vec![zone(3)]);
    w.run(SECOND);
    let since = w.now / MS;
    w.zones[0].add_instance(SERVICE, "new", at(50), &[]);
    w.zones[0].add_instance(SERVICE, "old", at(51), &["boot=1600000000000"]);
    w.zones[0].add_instance(SERVICE, "ahead", at(52), &["boot=99000000000000"]);
    w.run(KNOWN_US);
    let boot = |uid: &str| w.fleet[uid].started_ms;
    assert!(
        (since..=since + 400).contains(&boot("new")),
        "{} {since}",
        boot("new")
    );
    assert_eq!(boot("old"), 1_600_000_000_000);
    assert!(
        boot("ahead") <= w.now / MS,
        "nothing has booted later than now"
    );
    // It only moved: its warmth goes along.
    let before = boot("new");
    let host = "new.host.example.org";
    w.zones[0].remove(host, |_| true);
    w.zones[0].add(host, Rr::A([127, 1, 9, 9].into()));
    w.run(KNOWN_US);
    assert_eq!(
        w.fleet["new"].address,
        "127.1.9.9:8080".parse().expect("an address")
    );
    assert_eq!(w.fleet["new"].started_ms, before);
}

#[test]
fn another_name_at_the_same_address_is_another_server_and_so_is_the_first_when_it_comes_back() {
    let mut w = World::new(plan(1), vec![zone(3)]);
    w.run(SECOND);
    for (old, new) in [("n1", "m1"), ("m1", "n1")] {
        let since = w.now / MS;
        w.zones[0].remove_instance(SERVICE, old);
        w.zones[0].add_instance(SERVICE, new, at(1), &[]);
        w.run(KNOWN_US);
        assert_eq!(
            (w.state(old), w.state(new)),
            (Some(EndpointState::Draining), Some(EndpointState::Ready))
        );
        assert!(w.fleet[new].started_ms >= since, "{new} is cold");
        assert_eq!(w.fleet[new].address, at(1));
    }
    w.run(20 * SECOND);
    assert_eq!(
        (w.state("m1"), w.state("n1"), w.ready()),
        (None, Some(EndpointState::Ready), 3)
    );
}

#[test]
fn an_instance_stays_where_it_was_until_its_new_target_has_an_address() {
    let mut w = World::new(plan(1), vec![zone(3)]);
    w.run(SECOND);
    let full = format!("n1.{SERVICE}");
    w.zones[0].remove(&full, |rr| matches!(rr, Rr::Srv(..)));
    w.zones[0].add(&full, Rr::Srv(0, 0, 9090, "moved.example.org".into()));
    w.run(5 * SECOND);
    assert_eq!(
        (w.fleet["n1"].address, w.state("n1")),
        (at(1), Some(EndpointState::Ready))
    );
    w.zones[0].add("moved.example.org", Rr::A([127, 1, 8, 8].into()));
    w.run(KNOWN_US);
    assert_eq!(
        w.fleet["n1"].address,
        "127.1.8.8:9090".parse().expect("an address")
    );
    assert_eq!(w.fleet["n1"].started_ms, 0, "it has only moved");
}

#[test]
fn forty_at_once_are_told_and_all_of_them_are_cold() {
    let mut w = World::new(plan(1), vec![zone(10)]);
    w.run(SECOND);
    let since = w.now / MS;
    for n in 10..50 {
        w.zones[0].add_instance(SERVICE, &format!("n{n}"), at(n), &["zone=hall-b"]);
    }
    w.run(SECOND);
    assert_eq!(w.ready(), 50);
    assert_eq!(
        w.fleet.values().filter(|m| m.started_ms >= since).count(),
        40
    );
}

#[test]
fn of_two_thousand_only_the_one_that_changes_reaches_the_decisions() {
    let mut w = World::new(
        DnsSdConfig {
            queries_per_s: 5_000,
            ..plan(1)
        },
        vec![zone(2_000)],
    );
    w.run(3 * SECOND);
    assert_eq!(w.ready(), 2_000);
    assert!(w.streams > 0, "it takes TCP");
    let before = w.tellings.len();
    w.zones[0].remove_instance(SERVICE, "n777");
    let since = w.now;
    w.run(KNOWN_US);
    let [(told, ListKind::Partial, members)] = &w.tellings[before..] else {
        panic!("{} tellings", w.tellings.len() - before)
    };
    assert!(matches!(&members[..], [m] if m.uid == "n777" && m.state == EndpointState::Draining));
    assert!(told - since <= KNOWN_US);
}

/// The bounds on how much is asked, whatever the TTL says.
#[test]
fn the_service_is_asked_between_floor_and_ceiling_whatever_the_ttl() {
    for (ttl, apart) in [
        (0, 100 * MS),
        (1, 200 * MS),
        (1 << 31, 200 * MS),
        (u32::MAX, 200 * MS),
    ] {
        let mut z = zone(5);
        z.ttl = ttl;
        let mut w = World::new(plan(1), vec![z]);
        w.run(SECOND);
        w.asked.clear();
        w.run(10 * SECOND);
        // PTR and SOA a round.
        let rounds = 10 * SECOND / apart;
        let asked = w.asked.len() as u64 / 2;
        assert!(
            asked <= rounds && asked >= rounds * 9 / 10,
            "TTL {ttl}: {asked} of {rounds}"
        );
    }
}

#[test]
fn what_is_open_is_asked_at_a_bounded_rate() {
    let mut bare = zone(500);
    bare.additional = false;
    let mut w = World::new(
        DnsSdConfig {
            queries_per_s: 100,
            ..plan(1)
        },
        vec![bare],
    );
    w.run(10 * SECOND);
    // PTR over UDP and TCP, and SOA, five times a second, beside it.
    assert!(
        w.asked.len() <= 100 * 10 + 3 * 5 * 10 + 40,
        "{}",
        w.asked.len()
    );
}

#[test]
fn a_resolver_that_gives_no_whole_answer_keeps_the_last_list() {
    for mood in [
        Mood::Silent,
        Mood::Code(2),
        Mood::Code(5),
        Mood::Garbage,
        Mood::Half,
        Mood::OnlyTruncated,
    ] {
        let mut w = World::new(plan(1), vec![zone(10)]);
        w.run(SECOND);
        w.moods[0] = mood;
        w.zones[0].remove_instance(SERVICE, "n1");
        w.run(60 * SECOND);
        assert_eq!((w.ready(), w.tellings.len()), (10, 1), "{mood:?}");
        let said = w
            .log
            .iter()
            .filter(|l| l.contains("keeping the last list"))
            .count();
        assert_eq!(said, 1, "{mood:?}: {:?}", w.log);
        assert!(w.log.len() < 12, "{mood:?}: {:?}", w.log);
        w.moods[0] = Mood::Fine;
        w.run(2 * SECOND);
        assert_eq!(w.ready(), 9, "{mood:?}");
    }
}

#[test]
fn spoofed_answers_are_dropped_and_counted_and_the_true_one_is_taken() {
    let mut w = World::new(plan(1), vec![zone(10)]);
    w.moods[0] = Mood::Spoofed;
    w.run(5 * SECOND);
    assert_eq!((w.ready(), w.tellings.len()), (10, 1));
    assert!(
        w.log.iter().any(|l| l.contains("1 answers dropped")),
        "{:?}",
        w.log
    );
    assert!(
        w.log.iter().any(|l| l.contains("100 answers dropped")),
        "{:?}",
        w.log
    );
}

#[test]
fn a_resolver_dead_at_the_start_tells_nothing_until_it_answers() {
    let mut w = World::new(plan(1), vec![zone(10)]);
    w.moods[0] = Mood::Silent;
    w.run(60 * SECOND);
    assert!(w.tellings.is_empty());
    w.moods[0] = Mood::Fine;
    w.run(SECOND);
    assert_eq!((w.tellings[0].1, w.ready()), (ListKind::Complete, 10));
    assert!(
        w.fleet.values().all(|m| m.started_ms == 0),
        "a restarted gateway's fleet is warm"
    );
}

#[test]
fn a_zone_that_went_back_is_not_believed_until_it_stays_so() {
    let mut w = World::new(plan(1), vec![zone(10)]);
    w.run(SECOND);
    let serial = w.zones[0].serial;
    w.moods[0] = Mood::Silent;
    w.run(60 * SECOND);
    w.moods[0] = Mood::Fine;
    w.zones[0].remove_instance(SERVICE, "n1");
    w.zones[0].add_instance(SERVICE, "late", at(60), &[]);
    w.zones[0].serial = serial - 5;
    w.run(5 * SECOND);
    assert_eq!(
        (w.state("n1"), w.state("late")),
        (Some(EndpointState::Ready), None)
    );
    assert_eq!(
        w.log
            .iter()
            .filter(|l| l.contains("serial went back"))
            .count(),
        1,
        "{:?}",
        w.log
    );
    w.run(10 * SECOND);
    assert_eq!(
        (w.state("n1"), w.state("late")),
        (Some(EndpointState::Draining), Some(EndpointState::Ready))
    );
}

#[test]
fn an_empty_answer_counts_when_heard_twice_and_held() {
    for nxdomain in [false, true] {
        let mut w = World::new(
            DnsSdConfig {
                loss_hold: Duration::from_secs(3),
                ..plan(1)
            },
            vec![zone(4)],
        );
        if !nxdomain {
            // The name stays: NOERROR and no records.
            w.zones[0].add(&format!("keeps.{SERVICE}"), Rr::A([127, 0, 0, 9].into()));
        }
        w.run(SECOND);
        for n in 0..4 {
            w.zones[0].remove_instance(SERVICE, &format!("n{n}"));
        }
        w.run(2_900 * MS);
        assert_eq!(w.ready(), 4, "held");
        w.run(SECOND);
        assert_eq!(w.ready(), 0, "and then believed");
    }
}

/// One moment's nothing is nothing.
#[test]
fn an_empty_answer_heard_once_changes_nothing() {
    let mut w = World::new(
        DnsSdConfig {
            loss_hold: Duration::ZERO,
            ..plan(1)
        },
        vec![zone(4)],
    );
    w.run(SECOND);
    let full = std::mem::replace(&mut w.zones[0], Zone::new("example.org"));
    w.zones[0].serial = full.serial;
    w.run(500 * MS);
    w.zones[0] = full;
    w.run(5 * SECOND);
    assert_eq!((w.ready(), w.tellings.len()), (4, 1));
}

#[test]
fn a_sudden_loss_of_most_is_held_back_and_then_believed() {
    let mut w = World::new(plan(1), vec![zone(10)]);
    w.run(SECOND);
    for n in 0..6 {
        w.zones[0].remove_instance(SERVICE, &format!("n{n}"));
    }
    w.run(9 * SECOND);
    assert_eq!(w.ready(), 10);
    assert_eq!(
        w.log.iter().filter(|l| l.contains("6 of 10")).count(),
        1,
        "{:?}",
        w.log
    );
    w.run(2 * SECOND);
    assert_eq!(w.ready(), 4);
}

/// The rule: one resolver leads. What another one, that took over, does not name goes when it has said so twice.
#[test]
fn of_two_resolvers_that_disagree_the_leading_one_is_heard() {
    let mut other = zone(10);
    other.remove_instance(SERVICE, "n9");
    other.add_instance(SERVICE, "n10", at(10), &[]);
    let mut w = World::new(plan(2), vec![zone(10), other]);
    w.run(5 * SECOND);
    assert_eq!(
        (w.state("n9"), w.state("n10")),
        (Some(EndpointState::Ready), None),
        "the first leads"
    );
    w.moods[0] = Mood::Silent;
    w.run(900 * MS);
    assert_eq!(
        (w.state("n9"), w.state("n10")),
        (Some(EndpointState::Ready), Some(EndpointState::Ready))
    );
    w.run(2 * SECOND);
    assert_eq!(
        (w.state("n9"), w.state("n10")),
        (Some(EndpointState::Draining), Some(EndpointState::Ready))
    );
    w.moods[0] = Mood::Fine;
    let before = w.tellings.len();
    w.run(5 * SECOND);
    assert_eq!(w.tellings.len(), before, "the second leads until it fails");
}

#[test]
fn answers_from_a_cache_add_and_remove_nothing_unless_the_operator_says_so() {
    for cached_answers in [false, true] {
        let mut z = zone(10);
        z.authoritative = false;
        let mut w = World::new(
            DnsSdConfig {
                cached_answers,
                ..plan(1)
            },
            vec![z],
        );
        w.run(SECOND);
        w.zones[0].remove_instance(SERVICE, "n1");
        w.zones[0].add_instance(SERVICE, "new", at(60), &[]);
        w.run(5 * SECOND);
        let state = if cached_answers {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        };
        assert_eq!(
            (w.state("n1"), w.state("new")),
            (Some(state), Some(EndpointState::Ready))
        );
    }
}

#[test]
fn a_higher_priority_serves_only_when_no_lower_one_is_ready() {
    let mut w = World::new(plan(1), vec![zone(2)]);
    let full = format!("spare.{SERVICE}");
    w.zones[0].add_instance(SERVICE, "spare", at(70), &[]);
    w.zones[0].remove(&full, |rr| matches!(rr, Rr::Srv(..)));
    w.zones[0].add(&full, Rr::Srv(5, 0, 8080, "spare.host.example.org".into()));
    w.run(SECOND);
    assert_eq!(
        (w.state("n0"), w.state("spare")),
        (Some(EndpointState::Ready), Some(EndpointState::Draining))
    );
    for n in ["n0", "n1"] {
        let full = format!("{n}.{SERVICE}");
        w.zones[0].remove(&full, |rr| matches!(rr, Rr::Txt(_)));
        w.zones[0].add(&full, Rr::Txt(vec!["state=draining".into()]));
    }
    w.run(KNOWN_US);
    assert_eq!(
        (w.state("n0"), w.state("spare")),
        (Some(EndpointState::Draining), Some(EndpointState::Ready))
    );
}

#[test]
fn weights_are_shares_and_none_beside_some_is_next_to_none() {
    let mut w = World::new(plan(1), vec![zone(3)]);
    for (n, weight) in [(0, 100), (1, 50)] {
        let full = format!("n{n}.{SERVICE}");
        w.zones[0].remove(&full, |rr| matches!(rr, Rr::Srv(..)));
        w.zones[0].add(
            &full,
            Rr::Srv(0, weight, 8080, format!("n{n}.host.example.org")),
        );
    }
    w.run(SECOND);
    let share = |uid: &str| w.fleet[uid].weight;
    assert_eq!((share("n0"), share("n1"), share("n2")), (1.0, 0.5, 0.01));
}

#[test]
fn a_bad_text_leaves_out_that_entry_alone_and_is_told_once() {
    let mut w = World::new(plan(1), vec![zone(3)]);
    w.zones[0].add_instance(SERVICE, "bad", at(80), &["cell=many"]);
    w.run(10 * SECOND);
    assert_eq!((w.ready(), w.state("bad")), (3, None));
    assert_eq!(
        w.log.iter().filter(|l| l.contains("TXT key cell")).count(),
        1,
        "{:?}",
        w.log
    );
    let full = format!("bad.{SERVICE}");
    w.zones[0].remove(&full, |rr| matches!(rr, Rr::Txt(_)));
    w.zones[0].add(&full, Rr::Txt(vec!["cell=4".into()]));
    w.run(KNOWN_US);
    assert_eq!(w.fleet["bad"].cell, 4);
}

#[test]
fn loops_of_aliases_and_services_end() {
    let mut w = World::new(plan(1), vec![zone(2)]);
    let zone = &mut w.zones[0];
    // An SRV whose target is the instance itself, one that stands for the service, and CNAMEs that go round.
    for (n, target) in [
        ("self", format!("self.{SERVICE}")),
        ("up", SERVICE.into()),
        ("round", "a.example.org".into()),
    ] {
        let full = format!("{n}.{SERVICE}");
        zone.add(&full, Rr::Srv(0, 0, 1, target));
        zone.add(&full, Rr::Txt(vec![]));
        zone.add(SERVICE, Rr::Ptr(full));
    }
    zone.add(SERVICE, Rr::Ptr(SERVICE.into()));
    zone.add("a.example.org", Rr::Cname("b.example.org".into()));
    zone.add("b.example.org", Rr::Cname("a.example.org".into()));
    w.run(10 * SECOND);
    assert_eq!(w.ready(), 2);
    // Two a round for the service, and for each of three hosts A and AAAA as often at most.
    assert!(w.asked.len() < 51 * (2 + 3 * 2 + 8), "{}", w.asked.len());
}

#[test]
fn an_alias_of_the_service_is_followed() {
    let mut plan = plan(1);
    plan.services = vec!["_alias._tcp.example.org".into()];
    let mut w = World::new(plan, vec![zone(3)]);
    w.zones[0].add("_alias._tcp.example.org", Rr::Cname(SERVICE.into()));
    w.run(SECOND);
    assert_eq!(w.ready(), 3);
}

#[test]
fn subtypes_are_added_up() {
    let mut p = DnsSdConfig {
        resolvers: vec![resolver(0)],
        ..DnsSdConfig::default()
    };
    let (a, b) = (format!("_a._sub.{SERVICE}"), format!("_b._sub.{SERVICE}"));
    p.set_services(&[&a, &b]).expect("subtypes of one service");
    assert!(p
        .clone()
        .set_services(&["_other._tcp.example.org"])
        .is_err());
    let mut w = World::new(p, vec![zone(4)]);
    for (n, sub) in [(0, &a), (1, &a), (1, &b), (2, &b)] {
        w.zones[0].add(sub, ptr(&format!("n{n}")));
    }
    w.run(SECOND);
    assert_eq!(w.fleet.keys().collect::<Vec<_>>(), ["n0", "n1", "n2"]);
}

#[test]
fn instances_of_other_domains_and_beyond_the_bound_are_passed_over() {
    let mut w = World::new(
        DnsSdConfig {
            most_instances: 3,
            ..plan(1)
        },
        vec![zone(5)],
    );
    w.zones[0].add(SERVICE, Rr::Ptr("evil._topup._tcp.example.net".into()));
    w.run(SECOND);
    assert_eq!(w.ready(), 3);
    assert!(
        w.log
            .iter()
            .any(|l| l.contains("another service or domain")),
        "{:?}",
        w.log
    );
    assert!(
        w.log.iter().any(|l| l.contains("most_instances")),
        "{:?}",
        w.log
    );
}

/// One that is known from before and not yet described goes on as it was.
#[test]
fn a_known_instance_without_an_address_yet_stays_in_the_first_list() {
    let known = Endpoint {
        uid: "n1".into(),
        address: at(99),
        zone: "hall-a".into(),
        cell: 1,
        state: EndpointState::Ready,
        weight: 1.0,
        started_ms: 5,
        protocol: Default::default(),
    };
    let mut w = World::knowing(plan(1), vec![zone(3)], vec![known]);
    w.zones[0].remove("n1.host.example.org", |_| true);
    w.run(2 * SECOND);
    assert_eq!(
        (w.ready(), w.fleet["n1"].address, w.fleet["n1"].started_ms),
        (3, at(99), 5)
    );
}

/// Guards against a resolver that knows nothing yet, or a zone that is half loaded, when the gateway starts.
#[test]
fn a_first_list_that_is_empty_does_not_take_the_known_servers_away_at_once() {
    let known = Endpoint {
        uid: "n1".into(),
        address: at(1),
        zone: String::new(),
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_ms: 0,
        protocol: Default::default(),
    };
    let mut w = World::knowing(plan(1), vec![zone(0)], vec![known.clone()]);
    w.run(9 * SECOND);
    assert!(w.tellings.is_empty());
    w.run(2 * SECOND);
    assert!(matches!(&w.tellings[..], [(_, ListKind::Complete, members)] if members.is_empty()));
    let mut w = World::knowing(plan(1), vec![zone(0)], vec![known]);
    w.run(5 * SECOND);
    w.zones[0].add_instance(SERVICE, "n1", at(1), &[]);
    w.run(SECOND);
    assert_eq!(
        (w.ready(), w.fleet["n1"].started_ms),
        (1, 0),
        "it is the first list, and warm"
    );
}

// ---- Push ------------------------------------------------------------------------------------------------

#[test]
fn a_pushed_change_is_known_at_once_and_the_service_is_asked_seldom() {
    let mut w = World::new(with_push(1), vec![zone(10)]);
    w.run(2 * SECOND);
    assert!(
        w.log.iter().any(|l| l.contains("push in force")),
        "{:?}",
        w.log
    );
    w.asked.clear();
    w.run(20 * SECOND);
    assert!(w.asked.len() < 10 * 2 + 20, "{}", w.asked.len());
    w.change(|z| z.remove_instance(SERVICE, "n4"));
    w.run(5 * MS);
    assert_eq!(w.state("n4"), Some(EndpointState::Draining));
    w.change(|z| z.add_instance(SERVICE, "new", at(60), &[]));
    w.run(50 * MS);
    assert_eq!(w.state("new"), Some(EndpointState::Ready));
    assert!(w.fleet["new"].started_ms > 0);
    w.run(60 * SECOND);
    assert_eq!(w.connects, 1, "{:?}", w.log);
}

/// Pushed one by one they are meant, however many.
#[test]
fn most_of_the_fleet_pushed_away_one_by_one_goes_at_once() {
    let mut w = World::new(with_push(1), vec![zone(10)]);
    w.run(2 * SECOND);
    w.change(|z| (0..8).for_each(|n| z.remove_instance(SERVICE, &format!("n{n}"))));
    w.run(5 * MS);
    assert_eq!(w.ready(), 2);
}

/// All at once is no better than an empty answer.
#[test]
fn a_whole_set_pushed_away_is_asked_after() {
    let mut w = World::new(with_push(1), vec![zone(10)]);
    w.run(2 * SECOND);
    let mut all = ptr("n0").pushed(SERVICE, u32::MAX - 1);
    // RDLENGTH 0 and no data (RFC 8765 section 6.3.1).
    let owner = 1 + SERVICE.len() + 1;
    all.truncate(owner + 8);
    all.extend([0, 0]);
    w.push_raw(push(&[all]));
    w.run(5 * SECOND);
    assert_eq!(w.ready(), 10);
}

#[test]
fn a_remove_of_something_unknown_changes_nothing() {
    let mut w = World::new(with_push(1), vec![zone(3)]);
    w.run(2 * SECOND);
    w.push_raw(push(&[ptr("nobody").pushed(SERVICE, u32::MAX)]));
    w.run(2 * SECOND);
    assert_eq!((w.ready(), w.tellings.len(), w.connects), (3, 1, 1));
}

#[test]
fn a_session_that_dies_in_a_change_is_made_good_by_asking() {
    let mut w = World::new(with_push(1), vec![zone(10)]);
    w.run(2 * SECOND);
    w.zones[0].remove_instance(SERVICE, "n1");
    w.zones[0].remove_instance(SERVICE, "n2");
    // The first of two removals came before the end.
    w.push_raw(push(&[ptr("n1").pushed(SERVICE, u32::MAX)]));
    w.push_dies();
    w.push_up = false;
    w.run(KNOWN_US);
    assert_eq!(
        (w.state("n1"), w.state("n2")),
        (Some(EndpointState::Draining), Some(EndpointState::Draining))
    );
    w.zones[0].remove_instance(SERVICE, "n3");
    w.run(KNOWN_US);
    assert_eq!(
        w.state("n3"),
        Some(EndpointState::Draining),
        "asked as before"
    );
    w.push_up = true;
    w.run(30 * SECOND);
    let back = w.log.iter().filter(|l| l.contains("push in force")).count();
    assert_eq!(back, 2, "{:?}", w.log);
}

/// The rounds that go on beside push find what it keeps to itself.
#[test]
fn a_session_that_tells_nothing_is_found_out() {
    let mut w = World::new(with_push(1), vec![zone(10)]);
    w.run(3 * SECOND);
    w.push_mute = true;
    w.change(|z| z.remove_instance(SERVICE, "n1"));
    w.run(2_100 * MS);
    assert_eq!(
        w.state("n1"),
        Some(EndpointState::Draining),
        "within a check"
    );
    w.run(1_100 * MS);
    assert!(
        w.log.iter().any(|l| l.contains("did not tell a change")),
        "{:?}",
        w.log
    );
    w.change(|z| z.remove_instance(SERVICE, "n2"));
    w.run(KNOWN_US);
    assert_eq!(
        w.state("n2"),
        Some(EndpointState::Draining),
        "asked as before"
    );
}

#[test]
fn a_push_server_that_refuses_is_tried_ever_more_seldom() {
    let mut w = World::new(with_push(1), vec![zone(3)]);
    w.push_up = false;
    w.run(600 * SECOND);
    assert!((8..=20).contains(&w.connects), "{}", w.connects);
    assert_eq!(w.ready(), 3);
}

#[test]
fn nonsense_on_a_session_ends_it_and_nothing_else() {
    let mut w = World::new(with_push(1), vec![zone(3)]);
    w.run(2 * SECOND);
    w.push_raw(vec![
        0, 0, 0x30, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41, 0xff, 0xff, 1,
    ]);
    w.run(10 * MS);
    assert!(
        w.log.iter().any(|l| l.contains("makes no sense")),
        "{:?}",
        w.log
    );
    w.run(10 * SECOND);
    assert_eq!((w.ready(), w.connects), (3, 2));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever comes from wherever: no panic, nothing is lost, and no more is asked than allowed.
    #[test]
    fn arbitrary_input_harms_nothing(
        noise in proptest::collection::vec((1u64..40, proptest::collection::vec(any::<u8>(), 0..200)), 1..60),
    ) {
        let mut w = World::new(with_push(1), vec![zone(5)]);
        w.run(2 * SECOND);
        for (query, bytes) in noise {
            w.push_raw(bytes.clone());
            w.forge(query, resolver(0), bytes);
            w.run(20 * MS);
        }
        prop_assert_eq!(w.ready(), 5);
        prop_assert!(w.log.len() < 40);
    }
}
