//! Tests of the endpoint list: the first list, and added, changed and removed instances.

use crate::world::{
    config, instance_address, zone, Simulation, MILLISECOND_US, PROPAGATION_US, SECOND_US, SERVICE,
};
use frosthatch_discovery::dnssd::DnsSdConfig;
use frosthatch_engine::{Endpoint, EndpointState, Protocol};
use frosthatch_test_doubles::Rr;
use frosthatch_traffic_control::ListKind;

#[test]
fn the_first_list_is_reported_complete_and_not_warming_up() {
    let mut simulation = Simulation::new(config(1), vec![zone(10)]);
    simulation.run(SECOND_US);
    let (_, kind, endpoints) = &simulation.updates[0];
    assert_eq!(
        (*kind, endpoints.len(), simulation.updates.len()),
        (ListKind::Complete, 10, 1)
    );
    let endpoint = &simulation.endpoints["n3"];
    assert_eq!(
        (
            endpoint.address,
            endpoint.zone.as_str(),
            endpoint.cell,
            endpoint.state
        ),
        (instance_address(3), "hall-a", 1, EndpointState::Ready)
    );
    assert!(simulation
        .endpoints
        .values()
        .all(|endpoint| endpoint.started_ms == 0 && endpoint.weight == 1.0));
}

#[test]
fn an_instance_has_one_uid_regardless_of_case_and_escapes() {
    let mut simulation = Simulation::new(config(1), vec![zone(0)]);
    simulation.zones[0].add_instance(SERVICE, "Till\\0321\\.A", instance_address(0), &[]);
    simulation.zones[0].remove(SERVICE, |_| true);
    simulation.zones[0].add(
        SERVICE,
        Rr::Ptr("tILL\\ 1\\046a._TopUp._TCP.Example.ORG".into()),
    );
    simulation.run(SECOND_US);
    assert_eq!(
        simulation.endpoints.keys().collect::<Vec<_>>(),
        ["till\\0321\\.a"]
    );
    assert_eq!(simulation.ready_count(), 1);
}

/// An instance whose PTR record is removed stops receiving new requests at once, and is gone after the drain time, in
/// which requests in flight may finish.
#[test]
fn a_removed_instance_drains_and_is_then_gone() {
    let mut simulation = Simulation::new(config(1), vec![zone(10)]);
    simulation.run(SECOND_US);
    simulation.zones[0].remove_instance(SERVICE, "n4");
    let since_us = simulation.now_us;
    simulation.run(PROPAGATION_US);
    assert_eq!(
        (simulation.endpoint_state("n4"), simulation.ready_count()),
        (Some(EndpointState::Draining), 9)
    );
    assert!(simulation.updates[1].0 - since_us <= PROPAGATION_US);
    simulation.run(10 * SECOND_US);
    assert_eq!(simulation.endpoint_state("n4"), None);
    assert!(
        matches!(&simulation.updates[2].2[..], [endpoint] if endpoint.uid == "n4" && endpoint.state == EndpointState::Gone)
    );
}

#[test]
fn an_instance_removed_while_draining_by_its_attributes_stays_draining_and_is_then_gone() {
    let mut simulation = Simulation::new(config(1), vec![zone(3)]);
    simulation.run(SECOND_US);
    let name = format!("n1.{SERVICE}");
    simulation.zones[0].remove(&name, |record| matches!(record, Rr::Txt(_)));
    simulation.zones[0].add(&name, Rr::Txt(vec!["state=draining".into()]));
    simulation.run(PROPAGATION_US);
    assert_eq!(
        simulation.endpoint_state("n1"),
        Some(EndpointState::Draining)
    );
    simulation.zones[0].remove_instance(SERVICE, "n1");
    simulation.run(PROPAGATION_US);
    assert_eq!(
        simulation.endpoint_state("n1"),
        Some(EndpointState::Draining)
    );
    assert!(!simulation.updates.iter().any(|(_, _, endpoints)| endpoints
        .iter()
        .any(|endpoint| endpoint.state == EndpointState::Gone)));
    simulation.run(11 * SECOND_US);
    assert_eq!(
        (simulation.endpoint_state("n1"), simulation.ready_count()),
        (None, 2)
    );
}

#[test]
fn a_new_instance_warms_up_from_when_it_is_first_seen_unless_it_gives_its_boot_time() {
    let mut simulation = Simulation::new(config(1), vec![zone(3)]);
    simulation.run(SECOND_US);
    let since_ms = simulation.now_us / MILLISECOND_US;
    simulation.zones[0].add_instance(SERVICE, "new", instance_address(50), &[]);
    simulation.zones[0].add_instance(
        SERVICE,
        "old",
        instance_address(51),
        &["boot=1600000000000"],
    );
    simulation.zones[0].add_instance(
        SERVICE,
        "ahead",
        instance_address(52),
        &["boot=99000000000000"],
    );
    simulation.run(PROPAGATION_US);
    let started_ms = |uid: &str| simulation.endpoints[uid].started_ms;
    assert!(
        (since_ms..=since_ms + 400).contains(&started_ms("new")),
        "start time {} is not within 400 ms after {since_ms}",
        started_ms("new")
    );
    assert_eq!(started_ms("old"), 1_600_000_000_000);
    assert!(
        started_ms("ahead") <= simulation.now_us / MILLISECOND_US,
        "a boot time in the future is capped to the current time"
    );
    // A new address of the same instance does not make it warm up again.
    let before = started_ms("new");
    let host = "new.host.example.org";
    simulation.zones[0].remove(host, |_| true);
    simulation.zones[0].add(host, Rr::A([127, 1, 9, 9].into()));
    simulation.run(PROPAGATION_US);
    assert_eq!(
        simulation.endpoints["new"].address,
        "127.1.9.9:8080"
            .parse()
            .expect("the literal is a valid socket address")
    );
    assert_eq!(simulation.endpoints["new"].started_ms, before);
}

#[test]
fn another_name_at_the_same_address_is_a_new_instance_and_so_is_one_that_comes_back() {
    let mut simulation = Simulation::new(config(1), vec![zone(3)]);
    simulation.run(SECOND_US);
    for (old, new) in [("n1", "m1"), ("m1", "n1")] {
        let since_ms = simulation.now_us / MILLISECOND_US;
        simulation.zones[0].remove_instance(SERVICE, old);
        simulation.zones[0].add_instance(SERVICE, new, instance_address(1), &[]);
        simulation.run(PROPAGATION_US);
        assert_eq!(
            (
                simulation.endpoint_state(old),
                simulation.endpoint_state(new)
            ),
            (Some(EndpointState::Draining), Some(EndpointState::Ready))
        );
        assert!(
            simulation.endpoints[new].started_ms >= since_ms,
            "{new} warms up as a new instance"
        );
        assert_eq!(simulation.endpoints[new].address, instance_address(1));
    }
    simulation.run(20 * SECOND_US);
    assert_eq!(
        (
            simulation.endpoint_state("m1"),
            simulation.endpoint_state("n1"),
            simulation.ready_count()
        ),
        (None, Some(EndpointState::Ready), 3)
    );
}

#[test]
fn an_instance_keeps_its_address_until_its_new_target_has_one() {
    let mut simulation = Simulation::new(config(1), vec![zone(3)]);
    simulation.run(SECOND_US);
    let name = format!("n1.{SERVICE}");
    simulation.zones[0].remove(&name, |record| matches!(record, Rr::Srv(..)));
    simulation.zones[0].add(&name, Rr::Srv(0, 0, 9090, "moved.example.org".into()));
    simulation.run(5 * SECOND_US);
    assert_eq!(
        (
            simulation.endpoints["n1"].address,
            simulation.endpoint_state("n1")
        ),
        (instance_address(1), Some(EndpointState::Ready))
    );
    simulation.zones[0].add("moved.example.org", Rr::A([127, 1, 8, 8].into()));
    simulation.run(PROPAGATION_US);
    assert_eq!(
        simulation.endpoints["n1"].address,
        "127.1.8.8:9090"
            .parse()
            .expect("the literal is a valid socket address")
    );
    assert_eq!(
        simulation.endpoints["n1"].started_ms, 0,
        "a new address does not make the instance warm up"
    );
}

#[test]
fn forty_new_instances_at_once_are_reported_and_warm_up() {
    let mut simulation = Simulation::new(config(1), vec![zone(10)]);
    simulation.run(SECOND_US);
    let since_ms = simulation.now_us / MILLISECOND_US;
    for n in 10..50 {
        simulation.zones[0].add_instance(
            SERVICE,
            &format!("n{n}"),
            instance_address(n),
            &["zone=hall-b"],
        );
    }
    simulation.run(SECOND_US);
    assert_eq!(simulation.ready_count(), 50);
    assert_eq!(
        simulation
            .endpoints
            .values()
            .filter(|endpoint| endpoint.started_ms >= since_ms)
            .count(),
        40
    );
}

#[test]
fn of_two_thousand_instances_only_the_changed_one_is_reported() {
    let mut simulation = Simulation::new(
        DnsSdConfig {
            queries_per_s: 5_000,
            ..config(1)
        },
        vec![zone(2_000)],
    );
    simulation.run(3 * SECOND_US);
    assert_eq!(simulation.ready_count(), 2_000);
    assert!(
        simulation.tcp_queries > 0,
        "a reply with 2,000 instances requires TCP"
    );
    let before = simulation.updates.len();
    simulation.zones[0].remove_instance(SERVICE, "n777");
    let since_us = simulation.now_us;
    simulation.run(PROPAGATION_US);
    let [(updated_at_us, ListKind::Partial, endpoints)] = &simulation.updates[before..] else {
        panic!(
            "expected one partial update, found {} updates",
            simulation.updates.len() - before
        )
    };
    assert!(
        matches!(&endpoints[..], [endpoint] if endpoint.uid == "n777" && endpoint.state == EndpointState::Draining)
    );
    assert!(updated_at_us - since_us <= PROPAGATION_US);
}

/// An instance that was known before the start and is not resolved yet is reported as it was known.
#[test]
fn a_known_instance_without_an_address_yet_stays_in_the_first_list() {
    let known = Endpoint {
        uid: "n1".into(),
        address: instance_address(99),
        zone: "hall-a".into(),
        cell: 1,
        state: EndpointState::Ready,
        weight: 1.0,
        started_ms: 5,
        protocol: Protocol::default(),
    };
    let mut simulation = Simulation::with_known_endpoints(config(1), vec![zone(3)], vec![known]);
    simulation.zones[0].remove("n1.host.example.org", |_| true);
    simulation.run(2 * SECOND_US);
    assert_eq!(
        (
            simulation.ready_count(),
            simulation.endpoints["n1"].address,
            simulation.endpoints["n1"].started_ms
        ),
        (3, instance_address(99), 5)
    );
}

/// When the gateway starts, a resolver may have no records yet or may have loaded only part of the zone. An empty first
/// list must not remove the known endpoints at once.
#[test]
fn an_empty_first_list_does_not_remove_known_endpoints_at_once() {
    let known = Endpoint {
        uid: "n1".into(),
        address: instance_address(1),
        zone: String::new(),
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_ms: 0,
        protocol: Protocol::default(),
    };
    let mut simulation =
        Simulation::with_known_endpoints(config(1), vec![zone(0)], vec![known.clone()]);
    simulation.run(9 * SECOND_US);
    assert!(simulation.updates.is_empty());
    simulation.run(2 * SECOND_US);
    assert!(
        matches!(&simulation.updates[..], [(_, ListKind::Complete, endpoints)] if endpoints.is_empty())
    );
    let mut simulation = Simulation::with_known_endpoints(config(1), vec![zone(0)], vec![known]);
    simulation.run(5 * SECOND_US);
    simulation.zones[0].add_instance(SERVICE, "n1", instance_address(1), &[]);
    simulation.run(SECOND_US);
    assert_eq!(
        (
            simulation.ready_count(),
            simulation.endpoints["n1"].started_ms
        ),
        (1, 0),
        "an instance of the first list is not warming up"
    );
}
