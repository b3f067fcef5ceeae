//! Tests of a lost zone where each server gets few requests from a gateway.

use crate::common::{sent_server, unlimited_settings, TestGateway};
use crate::GATEWAYS;
use frosthatch_traffic_control::{CompletionStatus, Event, ListKind, ServerEntry};

/// Each server gets few requests, so that its own outcomes show too late that its whole zone is lost.
#[test]
fn a_lost_zone_is_avoided_after_a_few_failures_and_used_after_its_recovery() {
    let mut settings = unlimited_settings();
    settings.gateways = GATEWAYS;
    let mut gateway = TestGateway::new(settings);
    let entry = |n: usize| ServerEntry::ready(&format!("s{n}"), if n < 30 { "a" } else { "b" });
    gateway.update_servers(ListKind::Complete, (0..60).map(entry).collect());
    let count_sends_to_a = |gateway: &mut TestGateway, tries: usize, is_zone_lost: bool| {
        let mut to_a = 0;
        for _ in 0..tries {
            let (id, actions) = gateway.request("c");
            let server = sent_server(&actions).expect("ready servers are listed");
            let in_a = server.0[1..]
                .parse::<usize>()
                .expect("server names end in a number")
                < 30;
            to_a += usize::from(in_a);
            let fails = in_a && is_zone_lost;
            let status = if fails {
                CompletionStatus::NoConnection
            } else {
                CompletionStatus::Served
            };
            let retry_server = sent_server(&gateway.end_attempt_after(
                id,
                0,
                &server,
                status,
                if fails { 250_000 } else { 100_000 },
            ));
            gateway.handle(Event::ClientGone(id));
            // The client does not wait for the retry, which is cancelled.
            if let Some(server) = retry_server {
                gateway.end_attempt_after(id, 1, &server, CompletionStatus::Cancelled, 0);
            }
            gateway.now += 50_000;
        }
        to_a
    };
    let before = count_sends_to_a(&mut gateway, 100, false);
    assert!(
        before >= 30,
        "{before} of 100 requests went to zone `a` before its loss, minimum 30"
    );
    count_sends_to_a(&mut gateway, 20, true);
    let after = count_sends_to_a(&mut gateway, 100, true);
    assert!(
        after <= 15,
        "{after} of 100 requests went to the lost zone, limit 15"
    );
    gateway.now += 20_000_000;
    let recovered = count_sends_to_a(&mut gateway, 100, false);
    assert!(
        recovered >= 20,
        "{recovered} of 100 requests went to the recovered zone, minimum 20"
    );
}
