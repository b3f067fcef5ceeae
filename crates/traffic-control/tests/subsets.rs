//! Tests of a gateway that, as one of many, uses only a subset of many servers.

mod common;
use common::{count_sends_one_by_one, sent_server, unlimited_settings, TestGateway};
use frosthatch_traffic_control::{
    CompletionStatus, Effect, Event, Health, ListKind, Scope, ServerEntry, ServerId, Settings,
    SlowStart,
};
use std::collections::BTreeSet;

const GATEWAYS: u32 = 300;
const SERVERS: usize = 200;

/// Creates the gateway with this index in a fleet of 300, with settings that `change` has adjusted.
fn start_gateway(gateway_index: u32, change: impl FnOnce(&mut Settings)) -> TestGateway {
    let mut settings = Settings {
        gateways: GATEWAYS,
        gateway_index,
        ..unlimited_settings()
    };
    change(&mut settings);
    TestGateway::with_seed(settings, u64::from(gateway_index))
}

/// Returns the list entry of server `n`: four servers share a cell, and the first hundred are in zone `a`.
fn entry(n: usize) -> ServerEntry {
    ServerEntry {
        cell: n as u64 / 4,
        ..ServerEntry::ready(&format!("s{n}"), if n < 100 { "a" } else { "b" })
    }
}

/// Sends requests one at a time and returns the servers that got them.
fn used_servers(gateway: &mut TestGateway, requests: usize) -> BTreeSet<ServerId> {
    count_sends_one_by_one(gateway, requests, 50_000, 50_000)
        .into_keys()
        .collect()
}

#[test]
fn one_of_many_gateways_uses_few_of_many_servers_and_all_use_all() {
    let mut all = BTreeSet::new();
    for gateway_index in 0..GATEWAYS {
        let mut gateway = start_gateway(gateway_index, |_| {});
        gateway.update_servers(ListKind::Complete, (0..SERVERS).map(entry).collect());
        let used = used_servers(&mut gateway, 100);
        assert_eq!(used.len(), 7);
        all.extend(used);
    }
    assert_eq!(all.len(), SERVERS);
}

/// When all servers of a subset drain, others replace them at once.
#[test]
fn draining_servers_of_a_subset_are_replaced() {
    let mut gateway = start_gateway(7, |_| {});
    gateway.update_servers(ListKind::Complete, (0..SERVERS).map(entry).collect());
    let before = used_servers(&mut gateway, 200);
    let drains = |n: &usize| before.contains(&entry(*n).server);
    let entries = (0..SERVERS).filter(drains).map(|n| ServerEntry {
        health: Health::Draining,
        ..entry(n)
    });
    gateway.update_servers(ListKind::Partial, entries.collect());
    let after = used_servers(&mut gateway, 200);
    assert!(
        before.is_disjoint(&after),
        "{:?}",
        before.intersection(&after).collect::<Vec<_>>()
    );
    assert_eq!(after.len(), 7);
}

/// A retry may only go to the cell that drops repeats, and the subset may hold no other server of this cell.
#[test]
fn a_retry_leaves_the_subset_where_only_other_servers_drop_repeats() {
    let keyed = Effect::Keyed {
        scope: Scope::Cell,
        window_us: 1_000_000,
    };
    let mut gateway = start_gateway(11, |s| s.classes[0].effect = keyed);
    gateway.update_servers(ListKind::Complete, (0..SERVERS).map(entry).collect());
    let subset = used_servers(&mut gateway, 200);
    let cell = |s: &ServerId| {
        s.0[1..]
            .parse::<usize>()
            .expect("server names end in a number")
            / 4
    };
    let mut outside_subset = 0;
    // The retry budget holds ten retries.
    for _ in 0..10 {
        gateway.now += 200_000;
        let (id, actions) = gateway.request("c");
        let first = sent_server(&actions).expect("a ready server is listed");
        let second = sent_server(&gateway.end_attempt_after(
            id,
            0,
            &first,
            CompletionStatus::ConnectionLost,
            1_000,
        ))
        .expect("the cell has other servers");
        assert_eq!(cell(&first), cell(&second));
        assert_ne!(
            first, second,
            "the retry goes to another server of the cell"
        );
        outside_subset += usize::from(!subset.contains(&second));
        gateway.end_attempt_after(id, 1, &second, CompletionStatus::Served, 1_000);
    }
    assert!(
        outside_subset > 0,
        "some retries go to servers outside the subset"
    );
}

/// With all servers in slow start no gateway has a warm server to choose, and only some gateways use each server. All gateways
/// together must not overload any server within 3 s.
#[test]
fn servers_in_slow_start_are_not_overloaded_by_the_gateways_that_use_them() {
    let cold = SlowStart {
        initial_share: 0.27,
        duration_us: 18_000_000,
        overload_multiple: 4.0,
        overload_after_us: 3_000_000,
    };
    let mut to_each = std::collections::BTreeMap::<ServerId, usize>::new();
    for gateway_index in 0..GATEWAYS {
        let mut gateway = start_gateway(gateway_index, |s| s.slow_start = cold);
        gateway.update_servers(ListKind::Complete, (0..SERVERS).map(entry).collect());
        // The gateway measures latencies before the servers restart.
        used_servers(&mut gateway, 20);
        gateway.run_interval();
        let now = gateway.now;
        gateway.update_servers(
            ListKind::Complete,
            (0..SERVERS)
                .map(|n| ServerEntry {
                    started_us: now,
                    ..entry(n)
                })
                .collect(),
        );
        for _ in 0..60 {
            gateway.now += 50_000;
            let (id, actions) = gateway.request("c");
            if let Some(server) = sent_server(&actions) {
                *to_each.entry(server.clone()).or_default() += 1;
                gateway.end_attempt_after(id, 0, &server, CompletionStatus::Served, 0);
            }
        }
    }
    // A warm server completed 30 requests a second for all gateways; one in slow start may get 0.27 of that, times 4, for 3 s.
    let allowed = 30.0 * 0.27 * 4.0 * 3.0;
    let sum = to_each.values().sum::<usize>() as f64;
    let largest = to_each.values().max().copied().unwrap_or(0) as f64;
    assert!(
        largest < allowed,
        "{largest} requests went to one server, limit {allowed}"
    );
    assert!(
        sum > allowed * SERVERS as f64 / 5.0,
        "servers in slow start got {sum} requests in all, too few to warm up"
    );
}

/// Gateways that know which gateways are present together use all servers after others have left.
#[test]
fn the_remaining_gateways_use_all_servers_together() {
    let (every_gateway, remaining): (Vec<u32>, Vec<u32>) =
        ((0..30).collect(), (0..30).filter(|n| n % 3 > 0).collect());
    let used_by = |gateways: &[u32], present: &[u32]| {
        let mut all = BTreeSet::new();
        for gateway_index in gateways {
            let mut gateway = start_gateway(*gateway_index, |s| s.gateways = 30);
            gateway.update_servers(ListKind::Complete, (0..60).map(entry).collect());
            gateway.handle(Event::Gateways(present.to_vec()));
            all.extend(used_servers(&mut gateway, 400));
        }
        all.len()
    };
    assert_eq!(used_by(&every_gateway, &every_gateway), 60);
    assert_eq!(used_by(&remaining, &remaining), 60);
    // Before the remaining gateways know that others have left, some servers are used by no gateway.
    assert!(used_by(&remaining[..9], &every_gateway) < 60);
    assert_eq!(used_by(&remaining[..9], &remaining[..9]), 60);
    // A gateway that sees no other gateway uses all servers. One that is not among the present gateways adds itself, here as the
    // fifteenth.
    assert_eq!(used_by(&[4], &[]), 60);
    assert_eq!(used_by(&[4], &remaining[3..17]), 12);
}

/// When all servers of its subset fail but remain listed, a gateway uses others, and returns to its subset once they recover.
#[test]
fn a_gateway_whose_subset_fails_uses_other_servers() {
    let mut gateway = start_gateway(7, |_| {});
    gateway.update_servers(ListKind::Complete, (0..SERVERS).map(entry).collect());
    let subset = used_servers(&mut gateway, 200);
    let mut served = 0;
    for _ in 0..200 {
        gateway.now += 50_000;
        let (id, actions) = gateway.request("c");
        let first = sent_server(&actions).expect("a ready server is listed");
        let is_failing = subset.contains(&first);
        gateway.end_attempt_after(
            id,
            0,
            &first,
            if is_failing {
                CompletionStatus::NoConnection
            } else {
                CompletionStatus::Served
            },
            1_000,
        );
        gateway.handle(Event::ClientGone(id));
        served += usize::from(!is_failing);
    }
    assert!(
        served > 120,
        "{served} of 200 requests went to healthy servers, minimum 121"
    );
    used_servers(&mut gateway, 600);
    let after = used_servers(&mut gateway, 200);
    assert!(
        after.is_subset(&subset) && after.len() > 3,
        "a gateway returns to its subset: {after:?}"
    );
}
