//! A lost zone, where each server gets few requests from a gateway.

use crate::common::{sent_server, unlimited_settings, Rig};
use crate::GATEWAYS;
use frosthatch_traffic_control::{CompletionStatus, Event, ListKind, ServerEntry};

/// Where each server gets few requests, its own outcomes show too late that all of its zone is gone.
#[test]
fn a_lost_zone_is_avoided_after_a_few_failures_and_tried_again() {
    let mut settings = unlimited_settings();
    settings.gateways = GATEWAYS;
    let mut rig = Rig::new(settings);
    let entry = |n: usize| ServerEntry::ready(&format!("s{n}"), if n < 30 { "a" } else { "b" });
    rig.update_servers(ListKind::Complete, (0..60).map(entry).collect());
    let play = |rig: &mut Rig, tries: usize, gone: bool| {
        let mut to_a = 0;
        for _ in 0..tries {
            let (id, actions) = rig.request("c");
            let server = sent_server(&actions).expect("a server");
            let in_a = server.0[1..].parse::<usize>().expect("its number") < 30;
            to_a += usize::from(in_a);
            let lost = in_a && gone;
            let status = if lost {
                CompletionStatus::NoConnection
            } else {
                CompletionStatus::Served
            };
            let again = sent_server(&rig.end_attempt_after(
                id,
                0,
                &server,
                status,
                if lost { 250_000 } else { 100_000 },
            ));
            rig.handle(Event::ClientGone(id));
            // Its client does not wait for the retry, which is cancelled.
            if let Some(server) = again {
                rig.end_attempt_after(id, 1, &server, CompletionStatus::Cancelled, 0);
            }
            rig.now += 50_000;
        }
        to_a
    };
    let whole = play(&mut rig, 100, false);
    assert!(whole >= 30, "{whole} of 100 to the first zone");
    play(&mut rig, 20, true);
    let after = play(&mut rig, 100, true);
    assert!(after <= 15, "{after} of 100 to a zone that is gone");
    rig.now += 20_000_000;
    let back = play(&mut rig, 100, false);
    assert!(back >= 20, "{back} of 100 once it is back");
}
