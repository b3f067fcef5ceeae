//! One of many gateways uses a subset of many servers, and the rules hold all the same.

mod common;
use common::{count_sends_one_by_one, sent_server, unlimited_settings, Rig};
use frosthatch_traffic_control::{
    CompletionStatus, Effect, Event, Health, ListKind, Scope, ServerEntry, ServerId, Settings,
    SlowStart,
};
use std::collections::BTreeSet;

const GATEWAYS: u32 = 300;
const SERVERS: usize = 200;

fn one_gateway(me: u32, change: impl FnOnce(&mut Settings)) -> Rig {
    let mut settings = Settings {
        gateways: GATEWAYS,
        gateway_index: me,
        ..unlimited_settings()
    };
    change(&mut settings);
    Rig::seeded(settings, u64::from(me))
}

fn entry(n: usize) -> ServerEntry {
    ServerEntry {
        cell: n as u64 / 4,
        ..ServerEntry::ready(&format!("s{n}"), if n < 100 { "a" } else { "b" })
    }
}

/// The servers that so many requests go to, one after the other.
fn used_servers(rig: &mut Rig, requests: usize) -> BTreeSet<ServerId> {
    count_sends_one_by_one(rig, requests, 50_000, 50_000)
        .into_keys()
        .collect()
}

#[test]
fn one_of_many_gateways_uses_few_of_many_servers_and_all_use_all() {
    let mut all = BTreeSet::new();
    for me in 0..GATEWAYS {
        let mut rig = one_gateway(me, |_| {});
        rig.update_servers(ListKind::Complete, (0..SERVERS).map(entry).collect());
        let some = used_servers(&mut rig, 100);
        assert_eq!(some.len(), 7);
        all.extend(some);
    }
    assert_eq!(all.len(), SERVERS);
}

/// When all servers of a subset drain, others replace them at once.
#[test]
fn draining_servers_of_a_subset_are_replaced() {
    let mut rig = one_gateway(7, |_| {});
    rig.update_servers(ListKind::Complete, (0..SERVERS).map(entry).collect());
    let before = used_servers(&mut rig, 200);
    let drains = |n: &usize| before.contains(&entry(*n).server);
    let entries = (0..SERVERS).filter(drains).map(|n| ServerEntry {
        health: Health::Draining,
        ..entry(n)
    });
    rig.update_servers(ListKind::Partial, entries.collect());
    let after = used_servers(&mut rig, 200);
    assert!(
        before.is_disjoint(&after),
        "{:?}",
        before.intersection(&after).collect::<Vec<_>>()
    );
    assert_eq!(after.len(), 7);
}

/// A retry may only go to the cell that drops repeats, of which the subset may have no other server.
#[test]
fn a_retry_leaves_the_subset_where_only_other_servers_drop_repeats() {
    let keyed = Effect::Keyed {
        scope: Scope::Cell,
        window_us: 1_000_000,
    };
    let mut rig = one_gateway(11, |s| s.classes[0].effect = keyed);
    rig.update_servers(ListKind::Complete, (0..SERVERS).map(entry).collect());
    let part = used_servers(&mut rig, 200);
    let cell = |s: &ServerId| s.0[1..].parse::<usize>().expect("its number") / 4;
    let mut left = 0;
    // The retry budget holds ten.
    for _ in 0..10 {
        rig.now += 200_000;
        let (id, actions) = rig.request("c");
        let first = sent_server(&actions).expect("sent");
        let second = sent_server(&rig.end_attempt_after(
            id,
            0,
            &first,
            CompletionStatus::ConnectionLost,
            1_000,
        ))
        .expect("sent again");
        assert_eq!(cell(&first), cell(&second));
        assert_ne!(first, second, "the cell has others");
        left += usize::from(!part.contains(&second));
        rig.end_attempt_after(id, 1, &second, CompletionStatus::Served, 1_000);
    }
    assert!(left > 0, "of most cells the part has one server");
}

/// What all gateways together send to a server in slow start within the stated time does not overload it, though
/// only some of them use it, and each has nowhere else to go: all servers are in slow start.
#[test]
fn servers_in_slow_start_are_not_overloaded_by_the_gateways_that_use_them() {
    let cold = SlowStart {
        initial_share: 0.27,
        duration_us: 18_000_000,
        overload_multiple: 4.0,
        overload_after_us: 3_000_000,
    };
    let mut to_each = std::collections::BTreeMap::<ServerId, usize>::new();
    for me in 0..GATEWAYS {
        let mut rig = one_gateway(me, |s| s.slow_start = cold);
        rig.update_servers(ListKind::Complete, (0..SERVERS).map(entry).collect());
        // Latencies are measured first.
        used_servers(&mut rig, 20);
        rig.interval();
        let now = rig.now;
        rig.update_servers(
            ListKind::Complete,
            (0..SERVERS)
                .map(|n| ServerEntry {
                    started_us: now,
                    ..entry(n)
                })
                .collect(),
        );
        for _ in 0..60 {
            rig.now += 50_000;
            let (id, actions) = rig.request("c");
            if let Some(server) = sent_server(&actions) {
                *to_each.entry(server.clone()).or_default() += 1;
                rig.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
            }
        }
    }
    // Each did 30 a second for all gateways before; cold 0.27 of it, times 4, for 3 s.
    let allowed = 30.0 * 0.27 * 4.0 * 3.0;
    let sum = to_each.values().sum::<usize>() as f64;
    let most = to_each.values().max().copied().unwrap_or(0) as f64;
    assert!(most < allowed, "{most} to one of {allowed}");
    assert!(
        sum > allowed * SERVERS as f64 / 5.0,
        "{sum}: they are used, so that they grow warm"
    );
}

/// Where gateways know which of them are present, the remaining ones take all servers over; a few use all servers.
#[test]
fn the_remaining_gateways_use_all_servers_together() {
    let (numbers, left): (Vec<u32>, Vec<u32>) =
        ((0..30).collect(), (0..30).filter(|n| n % 3 > 0).collect());
    let of = |gateways: &[u32], shown: &[u32]| {
        let mut all = BTreeSet::new();
        for me in gateways {
            let mut rig = one_gateway(*me, |s| s.gateways = 30);
            rig.update_servers(ListKind::Complete, (0..60).map(entry).collect());
            rig.handle(Event::Gateways(shown.to_vec()));
            all.extend(used_servers(&mut rig, 400));
        }
        all.len()
    };
    assert_eq!(of(&numbers, &numbers), 60);
    assert_eq!(of(&left, &left), 60);
    // Before they know of it some servers are used by none.
    assert!(of(&left[..9], &numbers) < 60);
    assert_eq!(of(&left[..9], &left[..9]), 60);
    // A gateway that sees no other uses all servers; one that is not in its own view counts itself.
    assert_eq!(of(&[4], &[]), 60);
    assert_eq!(of(&[4], &left[3..17]), 12);
}

/// All servers of a gateway fail, though they are listed: it uses others, and its own again once they recover.
#[test]
fn a_gateway_whose_servers_all_fail_uses_others() {
    let mut rig = one_gateway(7, |_| {});
    rig.update_servers(ListKind::Complete, (0..SERVERS).map(entry).collect());
    let part = used_servers(&mut rig, 200);
    let mut served = 0;
    for _ in 0..200 {
        rig.now += 50_000;
        let (id, actions) = rig.request("c");
        let first = sent_server(&actions).expect("sent");
        let bad = part.contains(&first);
        rig.end_attempt_after(
            id,
            0,
            &first,
            if bad {
                CompletionStatus::NoConnection
            } else {
                CompletionStatus::Served
            },
            1_000,
        );
        rig.handle(Event::ClientGone(id));
        served += usize::from(!bad);
    }
    assert!(served > 120, "{served} of 200");
    used_servers(&mut rig, 600);
    let after = used_servers(&mut rig, 200);
    assert!(after.is_subset(&part) && after.len() > 3, "{after:?}");
}
