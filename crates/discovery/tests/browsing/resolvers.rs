//! Queries to resolvers, and how far their replies are trusted.

use crate::world::{
    config, instance_address, zone, ResolverBehavior, World, MILLISECOND_US, SECOND_US, SERVICE,
};
use frosthatch_discovery::dnssd::DnsSdConfig;
use frosthatch_engine::EndpointState;
use frosthatch_test_doubles::{Rr, Zone};
use frosthatch_traffic_control::ListKind;
use std::time::Duration;

/// The interval of rounds is bounded, whatever the TTL.
#[test]
fn the_interval_of_rounds_is_within_bounds_whatever_the_ttl() {
    for (ttl, interval_us) in [
        (0, 100 * MILLISECOND_US),
        (1, 200 * MILLISECOND_US),
        (1 << 31, 200 * MILLISECOND_US),
        (u32::MAX, 200 * MILLISECOND_US),
    ] {
        let mut zone = zone(5);
        zone.ttl_s = ttl;
        let mut world = World::new(config(1), vec![zone]);
        world.run(SECOND_US);
        world.queries_sent_at_us.clear();
        world.run(10 * SECOND_US);
        // A round is a PTR and a SOA query.
        let rounds = 10 * SECOND_US / interval_us;
        let queries = world.queries_sent_at_us.len() as u64 / 2;
        assert!(
            queries <= rounds && queries >= rounds * 9 / 10,
            "TTL {ttl}: {queries} of {rounds}"
        );
    }
}

#[test]
fn the_rate_of_detail_queries_is_bounded() {
    let mut zone_without_additional = zone(500);
    zone_without_additional.additional = false;
    let mut world = World::new(
        DnsSdConfig {
            queries_per_s: 100,
            ..config(1)
        },
        vec![zone_without_additional],
    );
    world.run(10 * SECOND_US);
    // Besides, five times per second: PTR over UDP, PTR over TCP, and SOA.
    assert!(
        world.queries_sent_at_us.len() <= 100 * 10 + 3 * 5 * 10 + 40,
        "{}",
        world.queries_sent_at_us.len()
    );
}

#[test]
fn without_a_complete_reply_the_last_list_stays_in_use() {
    for behavior in [
        ResolverBehavior::Silent,
        ResolverBehavior::Code(2),
        ResolverBehavior::Code(5),
        ResolverBehavior::Garbage,
        ResolverBehavior::CutOff,
        ResolverBehavior::OnlyTruncated,
    ] {
        let mut world = World::new(config(1), vec![zone(10)]);
        world.run(SECOND_US);
        world.resolver_behaviors[0] = behavior;
        world.zones[0].remove_instance(SERVICE, "n1");
        world.run(60 * SECOND_US);
        assert_eq!(
            (world.ready(), world.updates.len()),
            (10, 1),
            "{behavior:?}"
        );
        let logged = world
            .log
            .iter()
            .filter(|line| line.contains("keeping the last list"))
            .count();
        assert_eq!(logged, 1, "{behavior:?}: {:?}", world.log);
        assert!(world.log.len() < 12, "{behavior:?}: {:?}", world.log);
        world.resolver_behaviors[0] = ResolverBehavior::Normal;
        world.run(2 * SECOND_US);
        assert_eq!(world.ready(), 9, "{behavior:?}");
    }
}

#[test]
fn spoofed_replies_are_dropped_and_counted_and_the_true_one_is_used() {
    let mut world = World::new(config(1), vec![zone(10)]);
    world.resolver_behaviors[0] = ResolverBehavior::Spoofed;
    world.run(5 * SECOND_US);
    assert_eq!((world.ready(), world.updates.len()), (10, 1));
    assert!(
        world
            .log
            .iter()
            .any(|line| line.contains("1 answers dropped")),
        "{:?}",
        world.log
    );
    assert!(
        world
            .log
            .iter()
            .any(|line| line.contains("100 answers dropped")),
        "{:?}",
        world.log
    );
}

#[test]
fn nothing_is_reported_until_a_resolver_responds_for_the_first_time() {
    let mut world = World::new(config(1), vec![zone(10)]);
    world.resolver_behaviors[0] = ResolverBehavior::Silent;
    world.run(60 * SECOND_US);
    assert!(world.updates.is_empty());
    world.resolver_behaviors[0] = ResolverBehavior::Normal;
    world.run(SECOND_US);
    assert_eq!(
        (world.updates[0].1, world.ready()),
        (ListKind::Complete, 10)
    );
    assert!(
        world
            .endpoints
            .values()
            .all(|endpoint| endpoint.started_ms == 0),
        "a restarted gateway's fleet is warm"
    );
}

#[test]
fn a_zone_whose_serial_goes_back_is_used_only_once_it_stays_so() {
    let mut world = World::new(config(1), vec![zone(10)]);
    world.run(SECOND_US);
    let serial = world.zones[0].serial;
    world.resolver_behaviors[0] = ResolverBehavior::Silent;
    world.run(60 * SECOND_US);
    world.resolver_behaviors[0] = ResolverBehavior::Normal;
    world.zones[0].remove_instance(SERVICE, "n1");
    world.zones[0].add_instance(SERVICE, "late", instance_address(60), &[]);
    world.zones[0].serial = serial - 5;
    world.run(5 * SECOND_US);
    assert_eq!(
        (world.state("n1"), world.state("late")),
        (Some(EndpointState::Ready), None)
    );
    assert_eq!(
        world
            .log
            .iter()
            .filter(|line| line.contains("serial went back"))
            .count(),
        1,
        "{:?}",
        world.log
    );
    world.run(10 * SECOND_US);
    assert_eq!(
        (world.state("n1"), world.state("late")),
        (Some(EndpointState::Draining), Some(EndpointState::Ready))
    );
}

#[test]
fn an_empty_answer_is_used_once_it_has_lasted() {
    for nxdomain in [false, true] {
        let mut world = World::new(
            DnsSdConfig {
                mass_loss_hold: Duration::from_secs(3),
                ..config(1)
            },
            vec![zone(4)],
        );
        if !nxdomain {
            // The name stays: NOERROR and no records.
            world.zones[0].add(&format!("keeps.{SERVICE}"), Rr::A([127, 0, 0, 9].into()));
        }
        world.run(SECOND_US);
        for n in 0..4 {
            world.zones[0].remove_instance(SERVICE, &format!("n{n}"));
        }
        world.run(2_900 * MILLISECOND_US);
        assert_eq!(world.ready(), 4, "held");
        world.run(SECOND_US);
        assert_eq!(world.ready(), 0, "and then believed");
    }
}

/// An empty answer has to be confirmed by a second one.
#[test]
fn an_empty_answer_for_a_moment_changes_nothing() {
    let mut world = World::new(
        DnsSdConfig {
            mass_loss_hold: Duration::ZERO,
            ..config(1)
        },
        vec![zone(4)],
    );
    world.run(SECOND_US);
    let full_zone = std::mem::replace(&mut world.zones[0], Zone::new("example.org"));
    world.zones[0].serial = full_zone.serial;
    world.run(500 * MILLISECOND_US);
    world.zones[0] = full_zone;
    world.run(5 * SECOND_US);
    assert_eq!((world.ready(), world.updates.len()), (4, 1));
}

#[test]
fn a_sudden_loss_of_most_instances_is_held_back_and_then_used() {
    let mut world = World::new(config(1), vec![zone(10)]);
    world.run(SECOND_US);
    for n in 0..6 {
        world.zones[0].remove_instance(SERVICE, &format!("n{n}"));
    }
    world.run(9 * SECOND_US);
    assert_eq!(world.ready(), 10);
    assert_eq!(
        world
            .log
            .iter()
            .filter(|line| line.contains("6 of 10"))
            .count(),
        1,
        "{:?}",
        world.log
    );
    world.run(2 * SECOND_US);
    assert_eq!(world.ready(), 4);
}

/// One resolver leads. Instances that its successor lacks are removed once a second answer has confirmed it.
#[test]
fn of_two_resolvers_that_disagree_the_leading_one_is_used() {
    let mut other = zone(10);
    other.remove_instance(SERVICE, "n9");
    other.add_instance(SERVICE, "n10", instance_address(10), &[]);
    let mut world = World::new(config(2), vec![zone(10), other]);
    world.run(5 * SECOND_US);
    assert_eq!(
        (world.state("n9"), world.state("n10")),
        (Some(EndpointState::Ready), None),
        "the first leads"
    );
    world.resolver_behaviors[0] = ResolverBehavior::Silent;
    world.run(900 * MILLISECOND_US);
    assert_eq!(
        (world.state("n9"), world.state("n10")),
        (Some(EndpointState::Ready), Some(EndpointState::Ready))
    );
    world.run(2 * SECOND_US);
    assert_eq!(
        (world.state("n9"), world.state("n10")),
        (Some(EndpointState::Draining), Some(EndpointState::Ready))
    );
    world.resolver_behaviors[0] = ResolverBehavior::Normal;
    let before = world.updates.len();
    world.run(5 * SECOND_US);
    assert_eq!(
        world.updates.len(),
        before,
        "the second leads until it fails"
    );
}

#[test]
fn answers_from_a_cache_remove_instances_only_if_configured() {
    for cached_answers in [false, true] {
        let mut zone = zone(10);
        zone.authoritative = false;
        let mut world = World::new(
            DnsSdConfig {
                trusts_cached_answers: cached_answers,
                ..config(1)
            },
            vec![zone],
        );
        world.run(SECOND_US);
        world.zones[0].remove_instance(SERVICE, "n1");
        world.zones[0].add_instance(SERVICE, "new", instance_address(60), &[]);
        world.run(5 * SECOND_US);
        let state = if cached_answers {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        };
        assert_eq!(
            (world.state("n1"), world.state("new")),
            (Some(state), Some(EndpointState::Ready))
        );
    }
}
