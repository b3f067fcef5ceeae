//! Tests of start times under steps of the wall clock.

use super::{ListOrder, StartTimes, LONG_AGO, MAX_DISCOVERY_DELAY_US, MAX_SERVERS};
use crate::ports::{Endpoint, EndpointState, Protocol};
use frosthatch_traffic_control::Micros;

const SECOND_US: Micros = 1_000_000;
const HOUR_US: Micros = 3_600 * SECOND_US;
/// How far the wall clock is ahead of the gateway's clock at first.
const WALL_CLOCK_US: Micros = 1_000 * HOUR_US;

fn endpoint(uid: &str, started_us: Micros) -> Endpoint {
    Endpoint {
        uid: uid.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: String::new(),
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_ms: started_us / 1_000,
        protocol: Protocol::Http1,
    }
}

#[test]
fn a_start_is_resolved_once_and_no_clock_step_changes_it() {
    let mut starts = StartTimes::default();
    let now_us = 100 * SECOND_US;
    let list = [
        endpoint("a", WALL_CLOCK_US - 30 * SECOND_US),
        endpoint("b", 0),
    ];
    assert_eq!(
        starts.resolve(now_us, WALL_CLOCK_US, ListOrder::First, &list),
        [70 * SECOND_US, LONG_AGO]
    );
    for wall_clock_us in [WALL_CLOCK_US - HOUR_US, WALL_CLOCK_US + HOUR_US] {
        assert_eq!(
            starts.resolve(now_us + SECOND_US, wall_clock_us, ListOrder::Later, &list),
            [70 * SECOND_US, LONG_AGO]
        );
    }
}

#[test]
fn a_server_that_joins_is_no_older_than_the_previous_list() {
    let mut starts = StartTimes::default();
    starts.resolve(
        100 * SECOND_US,
        WALL_CLOCK_US,
        ListOrder::First,
        &[endpoint("a", 0)],
    );
    // The clock of all machines went back an hour, or forward, before the server started.
    for (uid, wall_clock_us, started_us) in [
        ("b", WALL_CLOCK_US - HOUR_US, WALL_CLOCK_US - HOUR_US),
        ("c", WALL_CLOCK_US + HOUR_US, WALL_CLOCK_US),
    ] {
        let resolved = starts.resolve(
            101 * SECOND_US,
            wall_clock_us,
            ListOrder::Later,
            &[endpoint(uid, started_us)],
        );
        assert!(
            (101 * SECOND_US - MAX_DISCOVERY_DELAY_US - SECOND_US..=101 * SECOND_US)
                .contains(&resolved[0]),
            "{uid}: {resolved:?}"
        );
    }
    // The first server has restarted.
    let resolved = starts.resolve(
        200 * SECOND_US,
        WALL_CLOCK_US + HOUR_US,
        ListOrder::Later,
        &[endpoint("a", WALL_CLOCK_US)],
    );
    assert!(resolved[0] >= 100 * SECOND_US - MAX_DISCOVERY_DELAY_US);
    assert_eq!(
        starts.resolve(
            201 * SECOND_US,
            WALL_CLOCK_US,
            ListOrder::Later,
            &[endpoint("d", WALL_CLOCK_US + SECOND_US)]
        ),
        [201 * SECOND_US]
    );
}

#[test]
fn a_fleet_that_was_running_before_is_warm_whatever_its_starts_say() {
    let future_us = WALL_CLOCK_US + HOUR_US;
    let mut starts = StartTimes::default();
    let all_in_the_future = [
        endpoint("a", future_us),
        endpoint("b", future_us),
        endpoint("c", future_us),
    ];
    assert_eq!(
        starts.resolve(
            5 * SECOND_US,
            WALL_CLOCK_US,
            ListOrder::First,
            &all_in_the_future
        ),
        [LONG_AGO; 3]
    );
    let mut starts = StartTimes::default();
    let one_in_the_future = [
        endpoint("a", 0),
        endpoint("b", WALL_CLOCK_US - HOUR_US),
        endpoint("c", future_us),
    ];
    let resolved = starts.resolve(
        5 * SECOND_US,
        WALL_CLOCK_US,
        ListOrder::First,
        &one_in_the_future,
    );
    assert_eq!(resolved[2], 5 * SECOND_US);
}

#[test]
fn the_number_of_remembered_servers_is_bounded() {
    let mut starts = StartTimes::default();
    for n in 0..(MAX_SERVERS as u64 * 2) {
        starts.resolve(
            n,
            WALL_CLOCK_US,
            ListOrder::Later,
            &[endpoint(&n.to_string(), WALL_CLOCK_US)],
        );
    }
    assert!(starts.servers.len() <= MAX_SERVERS);
}
