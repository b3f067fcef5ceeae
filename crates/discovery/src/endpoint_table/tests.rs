use super::{EndpointTable, LINGER_US, MOST_MARKS};
use frosthatch_engine::Protocol;
use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_traffic_control::ListKind;

fn member(uid: &str) -> Endpoint {
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
fn a_source_that_takes_over_lets_the_others_finish_and_then_go() {
    let mut roster = EndpointTable::default();
    roster.hear(0, ListKind::Complete, vec![member("a"), member("b")]);
    roster.take_over();
    let told = roster.hear(1, ListKind::Complete, vec![member("b"), member("c")]);
    let state = |uid: &str| told.iter().find(|m| m.uid == uid).map(|m| m.state);
    assert_eq!(state("a"), Some(EndpointState::Draining));
    assert_eq!(
        (state("b"), state("c")),
        (Some(EndpointState::Ready), Some(EndpointState::Ready))
    );
    assert!(roster.due(LINGER_US).is_empty());
    let gone = roster.due(LINGER_US + 1);
    assert_eq!(
        gone.iter()
            .map(|m| (m.uid.as_str(), m.state))
            .collect::<Vec<_>>(),
        [("a", EndpointState::Gone)]
    );
    assert!(roster.due(u64::MAX).is_empty());
}

#[test]
fn one_that_the_new_source_names_later_stays() {
    let mut roster = EndpointTable::default();
    roster.hear(0, ListKind::Complete, vec![member("a")]);
    roster.take_over();
    roster.hear(1, ListKind::Complete, vec![]);
    roster.hear(2, ListKind::Partial, vec![member("a")]);
    assert!(roster.due(u64::MAX).is_empty());
}

/// Guards against a list that still calls it ready, and against a server that was restarted meanwhile.
#[test]
fn a_server_taken_out_by_hand_drains_until_it_is_put_back_and_is_cold_then() {
    let mut roster = EndpointTable::default();
    roster.hear(0, ListKind::Complete, vec![member("a"), member("b")]);
    assert_eq!(roster.take_out(5_000_000, "nobody"), None);
    let told = roster.take_out(5_000_000, "a").expect("known");
    assert_eq!(
        (told[0].uid.as_str(), told[0].state),
        ("a", EndpointState::Draining)
    );
    roster.take_out(6_000_000, "a").expect("a second call out");
    for list in [
        vec![member("a")],
        vec![Endpoint {
            state: EndpointState::Gone,
            ..member("a")
        }],
        vec![member("a")],
    ] {
        for told in roster.hear(7_000_000, ListKind::Partial, list) {
            assert_ne!(told.state, EndpointState::Ready);
        }
    }
    let told = roster.put_back(9_000_000, "a").expect("known");
    assert_eq!(
        (told[0].state, told[0].started_ms),
        (EndpointState::Ready, 9_000)
    );
    // The list's own word on its start counts once it is later than the mark.
    let told = roster.hear(
        0,
        ListKind::Partial,
        vec![Endpoint {
            started_ms: 8_000,
            ..member("a")
        }],
    );
    assert_eq!(told[0].started_ms, 8_000);
    assert_eq!(roster.put_back(9_000_000, "nobody"), None);
    assert_eq!(
        roster.put_back(9_000_000, "b").expect("known")[0].started_ms,
        0
    );
}

#[test]
fn marks_are_bounded_and_those_of_listed_servers_stay() {
    let mut roster = EndpointTable::default();
    for n in 0..MOST_MARKS + 10 {
        let uid = format!("s-{n}");
        let kept = member("kept");
        roster.hear(0, ListKind::Complete, vec![kept, member(&uid)]);
        roster.take_out(n as u64, "kept");
        roster.take_out(n as u64, &uid).expect("known");
    }
    assert_eq!(roster.marks.len(), MOST_MARKS);
    assert_eq!(
        roster.heard().find(|m| m.uid == "kept").map(|m| m.state),
        Some(EndpointState::Draining)
    );
}

/// The list agent's whole lists mean what they say.
#[test]
fn a_whole_list_of_the_same_source_forgets_what_it_leaves_out() {
    let mut roster = EndpointTable::default();
    roster.hear(0, ListKind::Complete, vec![member("a"), member("b")]);
    assert_eq!(
        roster.hear(1, ListKind::Complete, vec![member("b")]),
        vec![member("b")]
    );
    assert_eq!(roster.known().count(), 1);
}
