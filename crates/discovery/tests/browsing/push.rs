//! Tests of DNS Push Notifications together with browsing rounds.

use crate::world::{
    config_with_push, instance_address, ptr_record, push_message, resolver_address, zone,
    Simulation, MILLISECOND_US, PROPAGATION_US, SECOND_US, SERVICE,
};
use frosthatch_engine::EndpointState;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, ProptestConfig};

#[test]
fn a_pushed_change_is_reported_at_once_and_rounds_are_rare() {
    let mut simulation = Simulation::new(config_with_push(1), vec![zone(10)]);
    simulation.run(2 * SECOND_US);
    assert!(
        simulation
            .log
            .iter()
            .any(|line| line.contains("push in force")),
        "the established session is logged: {:?}",
        simulation.log
    );
    simulation.queries_sent_at_us.clear();
    simulation.run(20 * SECOND_US);
    assert!(
        simulation.queries_sent_at_us.len() < 10 * 2 + 20,
        "expected fewer than 40 queries within 20 s, found {}",
        simulation.queries_sent_at_us.len()
    );
    simulation.change_zone(|zone| zone.remove_instance(SERVICE, "n4"));
    simulation.run(5 * MILLISECOND_US);
    assert_eq!(
        simulation.endpoint_state("n4"),
        Some(EndpointState::Draining)
    );
    simulation.change_zone(|zone| zone.add_instance(SERVICE, "new", instance_address(60), &[]));
    simulation.run(50 * MILLISECOND_US);
    assert_eq!(simulation.endpoint_state("new"), Some(EndpointState::Ready));
    assert!(simulation.endpoints["new"].started_ms > 0);
    simulation.run(60 * SECOND_US);
    assert_eq!(
        simulation.push_connections, 1,
        "the first session stays open: {:?}",
        simulation.log
    );
}

/// Removals of single records are deliberate, so a large number of them is not held back.
#[test]
fn pushed_removals_of_most_instances_one_by_one_take_effect_at_once() {
    let mut simulation = Simulation::new(config_with_push(1), vec![zone(10)]);
    simulation.run(2 * SECOND_US);
    simulation
        .change_zone(|zone| (0..8).for_each(|n| zone.remove_instance(SERVICE, &format!("n{n}"))));
    simulation.run(5 * MILLISECOND_US);
    assert_eq!(simulation.ready_count(), 2);
}

/// Like an empty answer, a pushed removal of all records does not take effect at once.
#[test]
fn a_pushed_removal_of_all_records_leads_to_a_round() {
    let mut simulation = Simulation::new(config_with_push(1), vec![zone(10)]);
    simulation.run(2 * SECOND_US);
    let mut all = ptr_record("n0").encode_for_push(SERVICE, u32::MAX - 1);
    // RDLENGTH 0 and no data (RFC 8765 section 6.3.1).
    let owner = 1 + SERVICE.len() + 1;
    all.truncate(owner + 8);
    all.extend([0, 0]);
    simulation.send_push_message(push_message(&[all]));
    simulation.run(5 * SECOND_US);
    assert_eq!(simulation.ready_count(), 10);
}

#[test]
fn a_pushed_removal_of_an_unknown_instance_changes_nothing() {
    let mut simulation = Simulation::new(config_with_push(1), vec![zone(3)]);
    simulation.run(2 * SECOND_US);
    simulation.send_push_message(push_message(&[
        ptr_record("nobody").encode_for_push(SERVICE, u32::MAX)
    ]));
    simulation.run(2 * SECOND_US);
    assert_eq!(
        (
            simulation.ready_count(),
            simulation.updates.len(),
            simulation.push_connections
        ),
        (3, 1, 1)
    );
}

#[test]
fn changes_lost_with_a_session_are_found_by_rounds() {
    let mut simulation = Simulation::new(config_with_push(1), vec![zone(10)]);
    simulation.run(2 * SECOND_US);
    simulation.zones[0].remove_instance(SERVICE, "n1");
    simulation.zones[0].remove_instance(SERVICE, "n2");
    // Only the first of two removals is pushed before the connection ends.
    simulation.send_push_message(push_message(&[
        ptr_record("n1").encode_for_push(SERVICE, u32::MAX)
    ]));
    simulation.drop_push_connection();
    simulation.push_server_is_up = false;
    simulation.run(PROPAGATION_US);
    assert_eq!(
        (
            simulation.endpoint_state("n1"),
            simulation.endpoint_state("n2")
        ),
        (Some(EndpointState::Draining), Some(EndpointState::Draining))
    );
    simulation.zones[0].remove_instance(SERVICE, "n3");
    simulation.run(PROPAGATION_US);
    assert_eq!(
        simulation.endpoint_state("n3"),
        Some(EndpointState::Draining),
        "without push, rounds find the removal"
    );
    simulation.push_server_is_up = true;
    simulation.run(30 * SECOND_US);
    let sessions = simulation
        .log
        .iter()
        .filter(|line| line.contains("push in force"))
        .count();
    assert_eq!(
        sessions, 2,
        "two sessions are established: {:?}",
        simulation.log
    );
}

/// Rounds during a push session find changes that the server did not push.
#[test]
fn a_session_that_pushes_nothing_is_detected() {
    let mut simulation = Simulation::new(config_with_push(1), vec![zone(10)]);
    simulation.run(3 * SECOND_US);
    simulation.push_server_is_silent = true;
    simulation.change_zone(|zone| zone.remove_instance(SERVICE, "n1"));
    simulation.run(2_100 * MILLISECOND_US);
    assert_eq!(
        simulation.endpoint_state("n1"),
        Some(EndpointState::Draining),
        "a check round finds the removal"
    );
    simulation.run(1_100 * MILLISECOND_US);
    assert!(
        simulation
            .log
            .iter()
            .any(|line| line.contains("did not push a change")),
        "the end of the session is logged: {:?}",
        simulation.log
    );
    simulation.change_zone(|zone| zone.remove_instance(SERVICE, "n2"));
    simulation.run(PROPAGATION_US);
    assert_eq!(
        simulation.endpoint_state("n2"),
        Some(EndpointState::Draining),
        "without push, rounds find the removal"
    );
}

#[test]
fn connections_to_a_push_server_that_refuses_back_off() {
    let mut simulation = Simulation::new(config_with_push(1), vec![zone(3)]);
    simulation.push_server_is_up = false;
    simulation.run(600 * SECOND_US);
    assert!(
        (8..=20).contains(&simulation.push_connections),
        "expected 8 to 20 connections within 600 s, found {}",
        simulation.push_connections
    );
    assert_eq!(simulation.ready_count(), 3);
}

#[test]
fn an_invalid_message_ends_the_session_and_nothing_else() {
    let mut simulation = Simulation::new(config_with_push(1), vec![zone(3)]);
    simulation.run(2 * SECOND_US);
    simulation.send_push_message(vec![
        0, 0, 0x30, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41, 0xff, 0xff, 1,
    ]);
    simulation.run(10 * MILLISECOND_US);
    assert!(
        simulation
            .log
            .iter()
            .any(|line| line.contains("invalid message from the server")),
        "the end of the session is logged: {:?}",
        simulation.log
    );
    simulation.run(10 * SECOND_US);
    assert_eq!(
        (simulation.ready_count(), simulation.push_connections),
        (3, 2)
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Arbitrary bytes from the push server and on the sockets of queries cause no panic, no loss of endpoints and no
    /// flood of log lines.
    #[test]
    fn arbitrary_input_does_not_change_the_endpoints(
        noise in proptest::collection::vec((1u64..40, proptest::collection::vec(any::<u8>(), 0..200)), 1..60),
    ) {
        let mut simulation = Simulation::new(config_with_push(1), vec![zone(5)]);
        simulation.run(2 * SECOND_US);
        for (query_id, bytes) in noise {
            simulation.send_push_message(bytes.clone());
            simulation.inject_datagram(query_id, resolver_address(0), bytes);
            simulation.run(20 * MILLISECOND_US);
        }
        prop_assert_eq!(simulation.ready_count(), 5);
        prop_assert!(simulation.log.len() < 40);
    }
}
