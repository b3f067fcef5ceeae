//! Tests of the interpretation of the records of instances and services.

use crate::world::{
    config, instance_address, ptr_record, resolver_address, zone, Simulation, PROPAGATION_US,
    SECOND_US, SERVICE,
};
use frosthatch_discovery::dnssd::DnsSdConfig;
use frosthatch_engine::EndpointState;
use frosthatch_test_doubles::Rr;

#[test]
fn records_missing_from_the_additional_section_are_queried() {
    let mut zone_without_additional = zone(10);
    zone_without_additional.additional = false;
    let mut simulation = Simulation::new(config(1), vec![zone_without_additional]);
    simulation.run(SECOND_US);
    assert_eq!(simulation.ready_count(), 10);
    assert_eq!(simulation.updates.len(), 1, "the first report is complete");
}

#[test]
fn a_higher_priority_value_serves_only_when_no_lower_one_is_ready() {
    let mut simulation = Simulation::new(config(1), vec![zone(2)]);
    let name = format!("spare.{SERVICE}");
    simulation.zones[0].add_instance(SERVICE, "spare", instance_address(70), &[]);
    simulation.zones[0].remove(&name, |record| matches!(record, Rr::Srv(..)));
    simulation.zones[0].add(&name, Rr::Srv(5, 0, 8080, "spare.host.example.org".into()));
    simulation.run(SECOND_US);
    assert_eq!(
        (
            simulation.endpoint_state("n0"),
            simulation.endpoint_state("spare")
        ),
        (Some(EndpointState::Ready), Some(EndpointState::Draining))
    );
    for n in ["n0", "n1"] {
        let name = format!("{n}.{SERVICE}");
        simulation.zones[0].remove(&name, |record| matches!(record, Rr::Txt(_)));
        simulation.zones[0].add(&name, Rr::Txt(vec!["state=draining".into()]));
    }
    simulation.run(PROPAGATION_US);
    assert_eq!(
        (
            simulation.endpoint_state("n0"),
            simulation.endpoint_state("spare")
        ),
        (Some(EndpointState::Draining), Some(EndpointState::Ready))
    );
}

#[test]
fn srv_weights_are_scaled_and_weight_0_beside_others_is_minimal() {
    let mut simulation = Simulation::new(config(1), vec![zone(3)]);
    for (n, weight) in [(0, 100), (1, 50)] {
        let name = format!("n{n}.{SERVICE}");
        simulation.zones[0].remove(&name, |record| matches!(record, Rr::Srv(..)));
        simulation.zones[0].add(
            &name,
            Rr::Srv(0, weight, 8080, format!("n{n}.host.example.org")),
        );
    }
    simulation.run(SECOND_US);
    let weight = |uid: &str| simulation.endpoints[uid].weight;
    assert_eq!((weight("n0"), weight("n1"), weight("n2")), (1.0, 0.5, 0.01));
}

#[test]
fn an_invalid_txt_record_excludes_only_its_instance_and_is_logged_once() {
    let mut simulation = Simulation::new(config(1), vec![zone(3)]);
    simulation.zones[0].add_instance(SERVICE, "bad", instance_address(80), &["cell=many"]);
    simulation.run(10 * SECOND_US);
    assert_eq!(
        (simulation.ready_count(), simulation.endpoint_state("bad")),
        (3, None)
    );
    assert_eq!(
        simulation
            .log
            .iter()
            .filter(|line| line.contains("TXT key cell"))
            .count(),
        1,
        "the invalid TXT record is logged once: {:?}",
        simulation.log
    );
    let name = format!("bad.{SERVICE}");
    simulation.zones[0].remove(&name, |record| matches!(record, Rr::Txt(_)));
    simulation.zones[0].add(&name, Rr::Txt(vec!["cell=4".into()]));
    simulation.run(PROPAGATION_US);
    assert_eq!(simulation.endpoints["bad"].cell, 4);
}

#[test]
fn loops_of_aliases_and_targets_end_after_a_bounded_number_of_queries() {
    let mut simulation = Simulation::new(config(1), vec![zone(2)]);
    let zone = &mut simulation.zones[0];
    // An SRV record whose target is the instance itself, one whose target is the service, and a loop of CNAMEs.
    for (n, target) in [
        ("self", format!("self.{SERVICE}")),
        ("up", SERVICE.into()),
        ("round", "a.example.org".into()),
    ] {
        let name = format!("{n}.{SERVICE}");
        zone.add(&name, Rr::Srv(0, 0, 1, target));
        zone.add(&name, Rr::Txt(vec![]));
        zone.add(SERVICE, Rr::Ptr(name));
    }
    zone.add(SERVICE, Rr::Ptr(SERVICE.into()));
    zone.add("a.example.org", Rr::Cname("b.example.org".into()));
    zone.add("b.example.org", Rr::Cname("a.example.org".into()));
    simulation.run(10 * SECOND_US);
    assert_eq!(simulation.ready_count(), 2);
    // At most 51 rounds in 10 s, each with two queries for the service, an A and an AAAA query for each of three
    // hosts, and 8 follow-up queries for the loop of CNAMEs.
    assert!(
        simulation.queries_sent_at_us.len() < 51 * (2 + 3 * 2 + 8),
        "expected fewer than 816 queries within 10 s, found {}",
        simulation.queries_sent_at_us.len()
    );
}

#[test]
fn an_alias_of_the_service_is_followed() {
    let mut config = config(1);
    config.services = vec!["_alias._tcp.example.org".into()];
    let mut simulation = Simulation::new(config, vec![zone(3)]);
    simulation.zones[0].add("_alias._tcp.example.org", Rr::Cname(SERVICE.into()));
    simulation.run(SECOND_US);
    assert_eq!(simulation.ready_count(), 3);
}

#[test]
fn instances_of_several_subtypes_are_combined() {
    let mut config = DnsSdConfig {
        resolvers: vec![resolver_address(0)],
        ..DnsSdConfig::default()
    };
    let subtype_a = format!("_a._sub.{SERVICE}");
    let subtype_b = format!("_b._sub.{SERVICE}");
    config
        .add_services(&[&subtype_a, &subtype_b])
        .expect("the names are subtypes of one service");
    assert!(config
        .clone()
        .add_services(&["_other._tcp.example.org"])
        .is_err());
    let mut simulation = Simulation::new(config, vec![zone(4)]);
    for (n, subtype) in [
        (0, &subtype_a),
        (1, &subtype_a),
        (1, &subtype_b),
        (2, &subtype_b),
    ] {
        simulation.zones[0].add(subtype, ptr_record(&format!("n{n}")));
    }
    simulation.run(SECOND_US);
    assert_eq!(
        simulation.endpoints.keys().collect::<Vec<_>>(),
        ["n0", "n1", "n2"]
    );
}

#[test]
fn instances_of_other_domains_and_beyond_the_limit_are_ignored() {
    let mut simulation = Simulation::new(
        DnsSdConfig {
            max_instances: 3,
            ..config(1)
        },
        vec![zone(5)],
    );
    simulation.zones[0].add(SERVICE, Rr::Ptr("evil._topup._tcp.example.net".into()));
    simulation.run(SECOND_US);
    assert_eq!(simulation.ready_count(), 3);
    assert!(
        simulation
            .log
            .iter()
            .any(|line| line.contains("another service or domain")),
        "the instance of another domain is logged: {:?}",
        simulation.log
    );
    assert!(
        simulation
            .log
            .iter()
            .any(|line| line.contains("most_instances")),
        "the limit on instances is logged: {:?}",
        simulation.log
    );
}
