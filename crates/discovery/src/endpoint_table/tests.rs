//! Tests of the endpoint table.

use super::{EndpointTable, MAX_MARKS, TAKEOVER_DRAIN_US};
use frosthatch_engine::{Endpoint, EndpointState, Protocol};
use frosthatch_traffic_control::ListKind;

fn ready_endpoint(uid: &str) -> Endpoint {
    Endpoint {
        uid: uid.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: String::new(),
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_ms: 0,
        protocol: Protocol::Http1,
    }
}

#[test]
fn endpoints_that_a_new_source_lacks_drain_and_are_then_removed() {
    let mut table = EndpointTable::default();
    table.apply_update(
        0,
        ListKind::Complete,
        vec![ready_endpoint("a"), ready_endpoint("b")],
    );
    table.begin_takeover();
    let update = table.apply_update(
        1,
        ListKind::Complete,
        vec![ready_endpoint("b"), ready_endpoint("c")],
    );
    let state = |uid: &str| {
        update
            .iter()
            .find(|endpoint| endpoint.uid == uid)
            .map(|endpoint| endpoint.state)
    };
    assert_eq!(state("a"), Some(EndpointState::Draining));
    assert_eq!(
        (state("b"), state("c")),
        (Some(EndpointState::Ready), Some(EndpointState::Ready))
    );
    assert!(table.remove_drained(TAKEOVER_DRAIN_US).is_empty());
    let gone = table.remove_drained(TAKEOVER_DRAIN_US + 1);
    assert_eq!(
        gone.iter()
            .map(|endpoint| (endpoint.uid.as_str(), endpoint.state))
            .collect::<Vec<_>>(),
        [("a", EndpointState::Gone)]
    );
    assert!(table.remove_drained(u64::MAX).is_empty());
}

#[test]
fn an_endpoint_that_the_new_source_lists_later_is_not_removed() {
    let mut table = EndpointTable::default();
    table.apply_update(0, ListKind::Complete, vec![ready_endpoint("a")]);
    table.begin_takeover();
    table.apply_update(1, ListKind::Complete, vec![]);
    table.apply_update(2, ListKind::Partial, vec![ready_endpoint("a")]);
    assert!(table.remove_drained(u64::MAX).is_empty());
}

/// While an endpoint is out, the source's list may still show it as ready, and it may restart.
#[test]
fn an_endpoint_taken_out_by_hand_drains_until_it_is_put_back_and_warms_up_then() {
    let mut table = EndpointTable::default();
    table.apply_update(
        0,
        ListKind::Complete,
        vec![ready_endpoint("a"), ready_endpoint("b")],
    );
    assert_eq!(table.take_out(5_000_000, "nobody"), None);
    let update = table
        .take_out(5_000_000, "a")
        .expect("the endpoint is listed");
    assert_eq!(
        (update[0].uid.as_str(), update[0].state),
        ("a", EndpointState::Draining)
    );
    table
        .take_out(6_000_000, "a")
        .expect("the endpoint is already out");
    for list in [
        vec![ready_endpoint("a")],
        vec![Endpoint {
            state: EndpointState::Gone,
            ..ready_endpoint("a")
        }],
        vec![ready_endpoint("a")],
    ] {
        for endpoint in table.apply_update(7_000_000, ListKind::Partial, list) {
            assert_ne!(endpoint.state, EndpointState::Ready);
        }
    }
    let update = table.put_back(9_000_000, "a").expect("the endpoint is out");
    assert_eq!(
        (update[0].state, update[0].started_ms),
        (EndpointState::Ready, 9_000)
    );
    // The start time in the list is used once it is later than the time of the mark.
    let update = table.apply_update(
        0,
        ListKind::Partial,
        vec![Endpoint {
            started_ms: 8_000,
            ..ready_endpoint("a")
        }],
    );
    assert_eq!(update[0].started_ms, 8_000);
    assert_eq!(table.put_back(9_000_000, "nobody"), None);
    assert_eq!(
        table
            .put_back(9_000_000, "b")
            .expect("the endpoint is listed")[0]
            .started_ms,
        0
    );
}

#[test]
fn marks_are_bounded_and_those_on_listed_endpoints_stay() {
    let mut table = EndpointTable::default();
    for n in 0..MAX_MARKS + 10 {
        let uid = format!("s-{n}");
        let listed = ready_endpoint("kept");
        table.apply_update(0, ListKind::Complete, vec![listed, ready_endpoint(&uid)]);
        table.take_out(n as u64, "kept");
        table
            .take_out(n as u64, &uid)
            .expect("the endpoint is listed");
    }
    assert_eq!(table.marks.len(), MAX_MARKS);
    assert_eq!(
        table
            .effective_endpoints()
            .find(|endpoint| endpoint.uid == "kept")
            .map(|endpoint| endpoint.state),
        Some(EndpointState::Draining)
    );
}

/// Without a takeover, a complete list replaces the previous list.
#[test]
fn a_complete_list_of_the_same_source_removes_the_endpoints_that_it_lacks() {
    let mut table = EndpointTable::default();
    table.apply_update(
        0,
        ListKind::Complete,
        vec![ready_endpoint("a"), ready_endpoint("b")],
    );
    assert_eq!(
        table.apply_update(1, ListKind::Complete, vec![ready_endpoint("b")]),
        vec![ready_endpoint("b")]
    );
    assert_eq!(table.source_endpoints().count(), 1);
}
