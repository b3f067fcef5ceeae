//! Tests of the queries to resolvers, and of the extent to which their replies are trusted.

use crate::world::{
    config, instance_address, zone, ResolverBehavior, Simulation, MILLISECOND_US, SECOND_US,
    SERVICE,
};
use frosthatch_discovery::dnssd::DnsSdConfig;
use frosthatch_engine::EndpointState;
use frosthatch_test_doubles::{Rr, Zone};
use frosthatch_traffic_control::ListKind;
use std::time::Duration;

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
        let mut simulation = Simulation::new(config(1), vec![zone]);
        simulation.run(SECOND_US);
        simulation.queries_sent_at_us.clear();
        simulation.run(10 * SECOND_US);
        // A round sends one PTR and one SOA query.
        let rounds = 10 * SECOND_US / interval_us;
        let queries = simulation.queries_sent_at_us.len() as u64 / 2;
        assert!(
            queries <= rounds && queries >= rounds * 9 / 10,
            "TTL {ttl}: {queries} rounds, expected 90% to 100% of {rounds}"
        );
    }
}

#[test]
fn the_rate_of_detail_queries_is_bounded() {
    let mut zone_without_additional = zone(500);
    zone_without_additional.additional = false;
    let mut simulation = Simulation::new(
        DnsSdConfig {
            queries_per_s: 100,
            ..config(1)
        },
        vec![zone_without_additional],
    );
    simulation.run(10 * SECOND_US);
    // In addition to the detail queries, five rounds per second each send a PTR query over UDP, one over TCP, and a
    // SOA query. The last term is a margin.
    assert!(
        simulation.queries_sent_at_us.len() <= 100 * 10 + 3 * 5 * 10 + 40,
        "expected at most 1,190 queries within 10 s, found {}",
        simulation.queries_sent_at_us.len()
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
        let mut simulation = Simulation::new(config(1), vec![zone(10)]);
        simulation.run(SECOND_US);
        simulation.resolver_behaviors[0] = behavior;
        simulation.zones[0].remove_instance(SERVICE, "n1");
        simulation.run(60 * SECOND_US);
        assert_eq!(
            (simulation.ready_count(), simulation.updates.len()),
            (10, 1),
            "{behavior:?}: the last list stays in use"
        );
        let logged = simulation
            .log
            .iter()
            .filter(|line| line.contains("keeping the last list"))
            .count();
        assert_eq!(
            logged, 1,
            "{behavior:?}: the use of the last list is logged once: {:?}",
            simulation.log
        );
        assert!(
            simulation.log.len() < 12,
            "{behavior:?}: fewer than 12 lines are logged: {:?}",
            simulation.log
        );
        simulation.resolver_behaviors[0] = ResolverBehavior::Normal;
        simulation.run(2 * SECOND_US);
        assert_eq!(
            simulation.ready_count(),
            9,
            "{behavior:?}: complete replies are used again"
        );
    }
}

#[test]
fn spoofed_replies_are_dropped_and_counted_and_the_genuine_one_is_used() {
    let mut simulation = Simulation::new(config(1), vec![zone(10)]);
    simulation.resolver_behaviors[0] = ResolverBehavior::Spoofed;
    simulation.run(5 * SECOND_US);
    assert_eq!(
        (simulation.ready_count(), simulation.updates.len()),
        (10, 1)
    );
    assert!(
        simulation
            .log
            .iter()
            .any(|line| line.contains("dropped 1 datagrams")),
        "the first dropped datagram is logged: {:?}",
        simulation.log
    );
    assert!(
        simulation
            .log
            .iter()
            .any(|line| line.contains("dropped 100 datagrams")),
        "the hundredth dropped datagram is logged: {:?}",
        simulation.log
    );
}

#[test]
fn nothing_is_reported_until_a_resolver_responds_for_the_first_time() {
    let mut simulation = Simulation::new(config(1), vec![zone(10)]);
    simulation.resolver_behaviors[0] = ResolverBehavior::Silent;
    simulation.run(60 * SECOND_US);
    assert!(simulation.updates.is_empty());
    simulation.resolver_behaviors[0] = ResolverBehavior::Normal;
    simulation.run(SECOND_US);
    assert_eq!(
        (simulation.updates[0].1, simulation.ready_count()),
        (ListKind::Complete, 10)
    );
    assert!(
        simulation
            .endpoints
            .values()
            .all(|endpoint| endpoint.started_ms == 0),
        "the endpoints of the first list are not warming up"
    );
}

#[test]
fn a_zone_whose_serial_goes_back_is_used_only_once_the_older_serial_has_lasted() {
    let mut simulation = Simulation::new(config(1), vec![zone(10)]);
    simulation.run(SECOND_US);
    let serial = simulation.zones[0].serial;
    simulation.resolver_behaviors[0] = ResolverBehavior::Silent;
    simulation.run(60 * SECOND_US);
    simulation.resolver_behaviors[0] = ResolverBehavior::Normal;
    simulation.zones[0].remove_instance(SERVICE, "n1");
    simulation.zones[0].add_instance(SERVICE, "late", instance_address(60), &[]);
    simulation.zones[0].serial = serial - 5;
    simulation.run(5 * SECOND_US);
    assert_eq!(
        (
            simulation.endpoint_state("n1"),
            simulation.endpoint_state("late")
        ),
        (Some(EndpointState::Ready), None)
    );
    assert_eq!(
        simulation
            .log
            .iter()
            .filter(|line| line.contains("serial went back"))
            .count(),
        1,
        "the older serial is logged once: {:?}",
        simulation.log
    );
    simulation.run(10 * SECOND_US);
    assert_eq!(
        (
            simulation.endpoint_state("n1"),
            simulation.endpoint_state("late")
        ),
        (Some(EndpointState::Draining), Some(EndpointState::Ready))
    );
}

#[test]
fn an_empty_answer_is_used_once_it_has_lasted() {
    for nxdomain in [false, true] {
        let mut simulation = Simulation::new(
            DnsSdConfig {
                mass_loss_hold: Duration::from_secs(3),
                ..config(1)
            },
            vec![zone(4)],
        );
        if !nxdomain {
            // A record below the service's name keeps that name in the zone: the answer is NOERROR without records.
            simulation.zones[0].add(&format!("keeps.{SERVICE}"), Rr::A([127, 0, 0, 9].into()));
        }
        simulation.run(SECOND_US);
        for n in 0..4 {
            simulation.zones[0].remove_instance(SERVICE, &format!("n{n}"));
        }
        simulation.run(2_900 * MILLISECOND_US);
        assert_eq!(
            simulation.ready_count(),
            4,
            "an empty answer is held back at first"
        );
        simulation.run(SECOND_US);
        assert_eq!(
            simulation.ready_count(),
            0,
            "an empty answer that has lasted is used"
        );
    }
}

/// A second empty answer has to confirm the first.
#[test]
fn a_momentary_empty_answer_changes_nothing() {
    let mut simulation = Simulation::new(
        DnsSdConfig {
            mass_loss_hold: Duration::ZERO,
            ..config(1)
        },
        vec![zone(4)],
    );
    simulation.run(SECOND_US);
    let full_zone = std::mem::replace(&mut simulation.zones[0], Zone::new("example.org"));
    simulation.zones[0].serial = full_zone.serial;
    simulation.run(500 * MILLISECOND_US);
    simulation.zones[0] = full_zone;
    simulation.run(5 * SECOND_US);
    assert_eq!((simulation.ready_count(), simulation.updates.len()), (4, 1));
}

#[test]
fn a_sudden_loss_of_most_instances_is_held_back_and_then_used() {
    let mut simulation = Simulation::new(config(1), vec![zone(10)]);
    simulation.run(SECOND_US);
    for n in 0..6 {
        simulation.zones[0].remove_instance(SERVICE, &format!("n{n}"));
    }
    simulation.run(9 * SECOND_US);
    assert_eq!(simulation.ready_count(), 10);
    assert_eq!(
        simulation
            .log
            .iter()
            .filter(|line| line.contains("6 of 10"))
            .count(),
        1,
        "the loss of 6 of 10 instances is logged once: {:?}",
        simulation.log
    );
    simulation.run(2 * SECOND_US);
    assert_eq!(simulation.ready_count(), 4);
}

/// When another resolver takes the lead, instances that it lacks are removed once a second answer has confirmed that
/// they are missing.
#[test]
fn of_two_resolvers_that_disagree_the_leading_one_is_used() {
    let mut other = zone(10);
    other.remove_instance(SERVICE, "n9");
    other.add_instance(SERVICE, "n10", instance_address(10), &[]);
    let mut simulation = Simulation::new(config(2), vec![zone(10), other]);
    simulation.run(5 * SECOND_US);
    assert_eq!(
        (
            simulation.endpoint_state("n9"),
            simulation.endpoint_state("n10")
        ),
        (Some(EndpointState::Ready), None),
        "the first resolver leads"
    );
    simulation.resolver_behaviors[0] = ResolverBehavior::Silent;
    simulation.run(900 * MILLISECOND_US);
    assert_eq!(
        (
            simulation.endpoint_state("n9"),
            simulation.endpoint_state("n10")
        ),
        (Some(EndpointState::Ready), Some(EndpointState::Ready))
    );
    simulation.run(2 * SECOND_US);
    assert_eq!(
        (
            simulation.endpoint_state("n9"),
            simulation.endpoint_state("n10")
        ),
        (Some(EndpointState::Draining), Some(EndpointState::Ready))
    );
    simulation.resolver_behaviors[0] = ResolverBehavior::Normal;
    let before = simulation.updates.len();
    simulation.run(5 * SECOND_US);
    assert_eq!(
        simulation.updates.len(),
        before,
        "the second resolver leads until it fails"
    );
}

#[test]
fn answers_from_a_cache_remove_instances_only_if_configured() {
    for trusts_cached_answers in [false, true] {
        let mut zone = zone(10);
        zone.authoritative = false;
        let mut simulation = Simulation::new(
            DnsSdConfig {
                trusts_cached_answers,
                ..config(1)
            },
            vec![zone],
        );
        simulation.run(SECOND_US);
        simulation.zones[0].remove_instance(SERVICE, "n1");
        simulation.zones[0].add_instance(SERVICE, "new", instance_address(60), &[]);
        simulation.run(5 * SECOND_US);
        let state = if trusts_cached_answers {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        };
        assert_eq!(
            (
                simulation.endpoint_state("n1"),
                simulation.endpoint_state("new")
            ),
            (Some(state), Some(EndpointState::Ready))
        );
    }
}
