//! Which servers get requests.

use crate::common::{sent_server, unlimited_settings, Rig};
use frosthatch_traffic_control::{CompletionStatus, ListKind, ServerEntry};

#[test]
fn a_server_that_fails_fast_does_not_look_idle() {
    let mut rig = Rig::with_servers(unlimited_settings(), 4);
    let mut bad = 0;
    let mut all = 0;
    for _ in 0..200 {
        let (id, actions) = rig.request("c");
        let Some(server) = sent_server(&actions) else {
            continue;
        };
        all += 1;
        let failing = &*server.0 == "s0";
        bad += u32::from(failing);
        let actions = rig.end_attempt_after(
            id,
            0,
            &server,
            if failing {
                CompletionStatus::ServerError
            } else {
                CompletionStatus::Served
            },
            1_000,
        );
        if let Some(second) = sent_server(&actions) {
            assert_ne!(second, server);
            rig.end_attempt_after(id, 1, &second, CompletionStatus::Served, 20_000);
        }
    }
    assert!(bad * 10 < all, "{bad} of {all} went to the failing server");
}

#[test]
fn one_of_many_gateways_does_not_always_begin_with_the_largest_server() {
    let mut settings = unlimited_settings();
    settings.gateways = 12;
    let mut rig = Rig::new(settings);
    let sized = |i: usize| ServerEntry {
        weight: 1.0 + i as f64 / 5.0,
        ..ServerEntry::ready(&format!("s{i}"), "a")
    };
    rig.update_servers(ListKind::Complete, (0..4).map(sized).collect());
    let mut least = 0;
    for _ in 0..200 {
        let (id, actions) = rig.request("c");
        let server = sent_server(&actions).expect("sent");
        least += u32::from(&*server.0 == "s0");
        rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 1_000);
    }
    assert!(
        least >= 8,
        "the smallest of four idle servers got {least} of 200"
    );
}
