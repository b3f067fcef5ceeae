//! Tests of which servers get requests.

use crate::common::{sent_server, unlimited_settings, TestGateway};
use frosthatch_traffic_control::{CompletionStatus, ListKind, ServerEntry};

#[test]
fn a_server_that_fails_fast_does_not_look_idle() {
    let mut gateway = TestGateway::with_servers(unlimited_settings(), 4);
    let mut to_failing = 0;
    let mut all = 0;
    for _ in 0..200 {
        let (id, actions) = gateway.request("c");
        let Some(server) = sent_server(&actions) else {
            continue;
        };
        all += 1;
        let is_failing = &*server.0 == "s0";
        to_failing += u32::from(is_failing);
        let actions = gateway.end_attempt_after(
            id,
            0,
            &server,
            if is_failing {
                CompletionStatus::ServerError
            } else {
                CompletionStatus::Served
            },
            1_000,
        );
        if let Some(second) = sent_server(&actions) {
            assert_ne!(second, server);
            gateway.end_attempt_after(id, 1, &second, CompletionStatus::Served, 20_000);
        }
    }
    assert!(
        to_failing * 10 < all,
        "{to_failing} of {all} requests went to the failing server, limit is a tenth"
    );
}

#[test]
fn one_of_many_gateways_does_not_always_prefer_the_largest_server() {
    let mut settings = unlimited_settings();
    settings.gateways = 12;
    let mut gateway = TestGateway::new(settings);
    let entry = |i: usize| ServerEntry {
        weight: 1.0 + i as f64 / 5.0,
        ..ServerEntry::ready(&format!("s{i}"), "a")
    };
    gateway.update_servers(ListKind::Complete, (0..4).map(entry).collect());
    let mut to_smallest = 0;
    for _ in 0..200 {
        let (id, actions) = gateway.request("c");
        let server = sent_server(&actions).expect("a ready server is listed");
        to_smallest += u32::from(&*server.0 == "s0");
        gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 1_000);
    }
    assert!(
        to_smallest >= 8,
        "the smallest of four idle servers got {to_smallest} of 200 requests, minimum 8"
    );
}
