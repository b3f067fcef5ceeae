//! DNS Push Notifications beside the rounds.

use crate::world::{
    config_with_push, instance_address, ptr_record, push_message, resolver_address, zone, World,
    MILLISECOND_US, PROPAGATION_US, SECOND_US, SERVICE,
};
use frosthatch_engine::EndpointState;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, ProptestConfig};

#[test]
fn a_pushed_change_is_reported_at_once_and_rounds_are_rare() {
    let mut world = World::new(config_with_push(1), vec![zone(10)]);
    world.run(2 * SECOND_US);
    assert!(
        world.log.iter().any(|line| line.contains("push in force")),
        "{:?}",
        world.log
    );
    world.queries_sent_at_us.clear();
    world.run(20 * SECOND_US);
    assert!(
        world.queries_sent_at_us.len() < 10 * 2 + 20,
        "{}",
        world.queries_sent_at_us.len()
    );
    world.change_zone(|zone| zone.remove_instance(SERVICE, "n4"));
    world.run(5 * MILLISECOND_US);
    assert_eq!(world.state("n4"), Some(EndpointState::Draining));
    world.change_zone(|zone| zone.add_instance(SERVICE, "new", instance_address(60), &[]));
    world.run(50 * MILLISECOND_US);
    assert_eq!(world.state("new"), Some(EndpointState::Ready));
    assert!(world.endpoints["new"].started_ms > 0);
    world.run(60 * SECOND_US);
    assert_eq!(world.push_connections, 1, "{:?}", world.log);
}

/// Removals of single records are deliberate, however many there are.
#[test]
fn pushed_removals_of_most_instances_one_by_one_take_effect_at_once() {
    let mut world = World::new(config_with_push(1), vec![zone(10)]);
    world.run(2 * SECOND_US);
    world.change_zone(|zone| (0..8).for_each(|n| zone.remove_instance(SERVICE, &format!("n{n}"))));
    world.run(5 * MILLISECOND_US);
    assert_eq!(world.ready(), 2);
}

/// The removal of all records at once is trusted no more than an empty answer.
#[test]
fn a_pushed_removal_of_all_records_leads_to_a_round() {
    let mut world = World::new(config_with_push(1), vec![zone(10)]);
    world.run(2 * SECOND_US);
    let mut all = ptr_record("n0").encode_for_push(SERVICE, u32::MAX - 1);
    // RDLENGTH 0 and no data (RFC 8765 section 6.3.1).
    let owner = 1 + SERVICE.len() + 1;
    all.truncate(owner + 8);
    all.extend([0, 0]);
    world.send_push_message(push_message(&[all]));
    world.run(5 * SECOND_US);
    assert_eq!(world.ready(), 10);
}

#[test]
fn a_pushed_removal_of_an_unknown_instance_changes_nothing() {
    let mut world = World::new(config_with_push(1), vec![zone(3)]);
    world.run(2 * SECOND_US);
    world.send_push_message(push_message(&[
        ptr_record("nobody").encode_for_push(SERVICE, u32::MAX)
    ]));
    world.run(2 * SECOND_US);
    assert_eq!(
        (world.ready(), world.updates.len(), world.push_connections),
        (3, 1, 1)
    );
}

#[test]
fn changes_lost_with_a_session_are_found_by_rounds() {
    let mut world = World::new(config_with_push(1), vec![zone(10)]);
    world.run(2 * SECOND_US);
    world.zones[0].remove_instance(SERVICE, "n1");
    world.zones[0].remove_instance(SERVICE, "n2");
    // Only the first of two removals is pushed before the connection ends.
    world.send_push_message(push_message(&[
        ptr_record("n1").encode_for_push(SERVICE, u32::MAX)
    ]));
    world.drop_push_connection();
    world.push_server_is_up = false;
    world.run(PROPAGATION_US);
    assert_eq!(
        (world.state("n1"), world.state("n2")),
        (Some(EndpointState::Draining), Some(EndpointState::Draining))
    );
    world.zones[0].remove_instance(SERVICE, "n3");
    world.run(PROPAGATION_US);
    assert_eq!(
        world.state("n3"),
        Some(EndpointState::Draining),
        "asked as before"
    );
    world.push_server_is_up = true;
    world.run(30 * SECOND_US);
    let sessions = world
        .log
        .iter()
        .filter(|line| line.contains("push in force"))
        .count();
    assert_eq!(sessions, 2, "{:?}", world.log);
}

/// Rounds beside push find changes that were not pushed.
#[test]
fn a_session_that_pushes_nothing_is_detected() {
    let mut world = World::new(config_with_push(1), vec![zone(10)]);
    world.run(3 * SECOND_US);
    world.push_server_is_silent = true;
    world.change_zone(|zone| zone.remove_instance(SERVICE, "n1"));
    world.run(2_100 * MILLISECOND_US);
    assert_eq!(
        world.state("n1"),
        Some(EndpointState::Draining),
        "within a check"
    );
    world.run(1_100 * MILLISECOND_US);
    assert!(
        world
            .log
            .iter()
            .any(|line| line.contains("did not tell a change")),
        "{:?}",
        world.log
    );
    world.change_zone(|zone| zone.remove_instance(SERVICE, "n2"));
    world.run(PROPAGATION_US);
    assert_eq!(
        world.state("n2"),
        Some(EndpointState::Draining),
        "asked as before"
    );
}

#[test]
fn connections_to_a_push_server_that_refuses_back_off() {
    let mut world = World::new(config_with_push(1), vec![zone(3)]);
    world.push_server_is_up = false;
    world.run(600 * SECOND_US);
    assert!(
        (8..=20).contains(&world.push_connections),
        "{}",
        world.push_connections
    );
    assert_eq!(world.ready(), 3);
}

#[test]
fn an_invalid_message_ends_the_session_and_nothing_else() {
    let mut world = World::new(config_with_push(1), vec![zone(3)]);
    world.run(2 * SECOND_US);
    world.send_push_message(vec![
        0, 0, 0x30, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41, 0xff, 0xff, 1,
    ]);
    world.run(10 * MILLISECOND_US);
    assert!(
        world.log.iter().any(|line| line.contains("makes no sense")),
        "{:?}",
        world.log
    );
    world.run(10 * SECOND_US);
    assert_eq!((world.ready(), world.push_connections), (3, 2));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Arbitrary bytes from the push server and on the sockets of queries cause no panic, no loss and no flood of log lines.
    #[test]
    fn arbitrary_input_harms_nothing(
        noise in proptest::collection::vec((1u64..40, proptest::collection::vec(any::<u8>(), 0..200)), 1..60),
    ) {
        let mut world = World::new(config_with_push(1), vec![zone(5)]);
        world.run(2 * SECOND_US);
        for (query_id, bytes) in noise {
            world.send_push_message(bytes.clone());
            world.inject_datagram(query_id, resolver_address(0), bytes);
            world.run(20 * MILLISECOND_US);
        }
        prop_assert_eq!(world.ready(), 5);
        prop_assert!(world.log.len() < 40);
    }
}
