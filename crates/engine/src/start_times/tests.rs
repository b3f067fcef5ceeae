//! Tests of resolving start times while the wall clock is stepped.

use super::{ListOrder, StartTimes, LONG_AGO_US, MAX_DISCOVERY_DELAY_US, MAX_SERVERS};
use crate::ports::{Endpoint, EndpointState, Protocol};
use frosthatch_traffic_control::Micros;

const SECOND_US: Micros = 1_000_000;
const HOUR_US: Micros = 3_600 * SECOND_US;
/// The initial time of the wall clock, in microseconds; the monotonic clock has small values in these tests.
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
fn clock_steps_do_not_change_a_resolved_start() {
    let mut start_times = StartTimes::default();
    let now_us = 100 * SECOND_US;
    let list = [
        endpoint("a", WALL_CLOCK_US - 30 * SECOND_US),
        endpoint("b", 0),
    ];
    assert_eq!(
        start_times.resolve(now_us, WALL_CLOCK_US, ListOrder::First, &list),
        [70 * SECOND_US, LONG_AGO_US]
    );
    for wall_clock_us in [WALL_CLOCK_US - HOUR_US, WALL_CLOCK_US + HOUR_US] {
        assert_eq!(
            start_times.resolve(now_us + SECOND_US, wall_clock_us, ListOrder::Later, &list),
            [70 * SECOND_US, LONG_AGO_US]
        );
    }
}

#[test]
fn a_new_server_has_started_no_earlier_than_the_previous_list() {
    let mut start_times = StartTimes::default();
    start_times.resolve(
        100 * SECOND_US,
        WALL_CLOCK_US,
        ListOrder::First,
        &[endpoint("a", 0)],
    );
    // The wall clock of all machines is set back by an hour before server b starts, and is set forward by an hour after
    // server c has started.
    for (uid, wall_clock_us, started_us) in [
        ("b", WALL_CLOCK_US - HOUR_US, WALL_CLOCK_US - HOUR_US),
        ("c", WALL_CLOCK_US + HOUR_US, WALL_CLOCK_US),
    ] {
        let resolved = start_times.resolve(
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
    // Server a has restarted.
    let resolved = start_times.resolve(
        200 * SECOND_US,
        WALL_CLOCK_US + HOUR_US,
        ListOrder::Later,
        &[endpoint("a", WALL_CLOCK_US)],
    );
    assert!(resolved[0] >= 100 * SECOND_US - MAX_DISCOVERY_DELAY_US);
    assert_eq!(
        start_times.resolve(
            201 * SECOND_US,
            WALL_CLOCK_US,
            ListOrder::Later,
            &[endpoint("d", WALL_CLOCK_US + SECOND_US)]
        ),
        [201 * SECOND_US]
    );
}

#[test]
fn servers_of_a_first_list_count_as_warm_if_most_state_a_start_in_the_future() {
    let future_us = WALL_CLOCK_US + HOUR_US;
    let mut start_times = StartTimes::default();
    let all_in_the_future = [
        endpoint("a", future_us),
        endpoint("b", future_us),
        endpoint("c", future_us),
    ];
    assert_eq!(
        start_times.resolve(
            5 * SECOND_US,
            WALL_CLOCK_US,
            ListOrder::First,
            &all_in_the_future
        ),
        [LONG_AGO_US; 3]
    );
    let mut start_times = StartTimes::default();
    let one_in_the_future = [
        endpoint("a", 0),
        endpoint("b", WALL_CLOCK_US - HOUR_US),
        endpoint("c", future_us),
    ];
    let resolved = start_times.resolve(
        5 * SECOND_US,
        WALL_CLOCK_US,
        ListOrder::First,
        &one_in_the_future,
    );
    assert_eq!(resolved[2], 5 * SECOND_US);
}

#[test]
fn the_number_of_remembered_servers_is_bounded() {
    let mut start_times = StartTimes::default();
    for n in 0..(MAX_SERVERS as u64 * 2) {
        start_times.resolve(
            n,
            WALL_CLOCK_US,
            ListOrder::Later,
            &[endpoint(&n.to_string(), WALL_CLOCK_US)],
        );
    }
    assert!(start_times.servers.len() <= MAX_SERVERS);
}
