//! Random event streams with fixed seeds: what must hold whatever happens.
#![expect(clippy::too_many_lines, clippy::unreadable_literal)]

mod common;

use frosthatch_traffic_control::{
    Action, AttemptOutcome, Ceiling, CompletionStatus, Effect, Event, Gateway, Health, ListKind,
    Micros, Request, RequestId, Scope, ServerEntry, ServerId, Settings, Timer,
};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, BTreeSet};

fn settings() -> Settings {
    let mut s = common::unlimited_settings();
    (
        s.gateways,
        s.peer_messages,
        s.peer_messages_per_s,
        s.counter,
    ) = (3, true, 100.0, true);
    s.plans[0].ceiling = Some(Ceiling {
        rate: 50.0,
        depth: 30.0,
    });
    s.classes[0].effect = Effect::Keyed {
        scope: Scope::Cell,
        window_us: 500_000,
    };
    s
}

const STATUSES: [CompletionStatus; 6] = [
    CompletionStatus::Served,
    CompletionStatus::ServerError,
    CompletionStatus::Rejected,
    CompletionStatus::NoAnswer,
    CompletionStatus::NoConnection,
    CompletionStatus::ConnectionLost,
];

/// Plays the stream and checks every action; returns all actions, and what the ceiling slice let through.
fn play(steps: &[(u8, u8, u32)]) -> (Vec<Action>, f64) {
    let mut g = Gateway::new(settings(), 5).expect("settings");
    let start: Micros = 7_000_000;
    let (mut now, mut next) = (start, 1u64);
    let mut listed: BTreeSet<ServerId> = BTreeSet::new();
    let mut out: Vec<(RequestId, u32, ServerId, Micros)> = Vec::new();
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut answered: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut deadlines: BTreeMap<RequestId, Micros> = BTreeMap::new();
    let mut timers: Vec<(Micros, Timer)> = Vec::new();
    let (mut all, mut drawn) = (Vec::new(), 0.0);
    let drain = |n: usize| (0..n).map(|_| (5u8, 3u8, 5_000_000u32));
    for (kind, pick, us) in steps.iter().copied().chain(drain(400)) {
        let mut events = Vec::new();
        let until = now + Micros::from(us);
        // What falls due before the next step comes first: time-outs cut to the client's deadline, then timers.
        timers.sort_by_key(|t| t.0);
        out.sort_by_key(|o| deadlines[&o.0]);
        let timer_at = timers.first().map_or(Micros::MAX, |t| t.0);
        let overdue = out
            .first()
            .map(|o| deadlines[&o.0])
            .filter(|d| *d <= until.min(timer_at));
        if let Some(at) = overdue {
            let (id, n, server, sent) = out.remove(0);
            now = now.max(at);
            let mut o = AttemptOutcome::new(id, n, server, CompletionStatus::NoAnswer, now - sent);
            o.closed = answered.contains_key(&id);
            events.push(Event::Outcome(o));
        }
        match timers
            .first()
            .copied()
            .filter(|t| t.0 <= until && overdue.is_none())
        {
            Some((at, t)) => {
                timers.remove(0);
                now = now.max(at);
                events.push(Event::Timer(t));
            }
            None if overdue.is_some() => {}
            None => match kind % 6 {
                0 | 1 => {
                    now = until;
                    let mut r = Request::new(next, "c", "basic", "read", 2_000_000);
                    (r.gateway_count, r.id) = (3, RequestId(next));
                    next += 1;
                    deadlines.insert(r.id, now + 2_000_000);
                    events.push(Event::Request(r));
                }
                2 => {
                    now = until;
                    let health =
                        [Health::Ready, Health::Draining, Health::Removed][usize::from(pick) % 3];
                    let entry = ServerEntry {
                        health,
                        cell: u64::from(pick % 2),
                        ..ServerEntry::ready(&format!("s{}", pick % 5), "a")
                    };
                    if health == Health::Ready {
                        listed.insert(entry.server.clone());
                    } else {
                        listed.remove(&entry.server);
                    }
                    events.push(Event::Servers {
                        kind: ListKind::Partial,
                        entries: vec![entry],
                    });
                }
                3 => events.push(Event::Peer {
                    from: u32::from(pick % 3),
                    bytes: vec![1, pick, 0, 0, pick],
                }),
                _ if !out.is_empty() => {
                    let (id, n, server, sent) = out.remove(usize::from(pick) % out.len());
                    now = until;
                    let status = STATUSES[usize::from(pick) % 6];
                    let mut o = AttemptOutcome::new(id, n, server, status, now - sent);
                    o.closed = answered.contains_key(&id) || status == CompletionStatus::Served;
                    if status == CompletionStatus::Served {
                        answered.entry(id).or_insert(1);
                    }
                    events.push(Event::Outcome(o));
                }
                _ => now = until,
            },
        }
        for event in events {
            let mut actions = Vec::new();
            g.handle(now, event, &mut actions);
            for a in &actions {
                match a {
                    Action::Send {
                        request, server, ..
                    } => {
                        assert!(
                            listed.contains(server),
                            "sent to a server that drains or is gone"
                        );
                        assert!(!answered.contains_key(request), "sent after the answer");
                        let n = attempts.entry(*request).or_default();
                        drawn += f64::from(u8::from(*n == 0));
                        out.push((*request, *n, server.clone(), now));
                        *n += 1;
                    }
                    Action::Reject { request, .. } | Action::Fail { request, .. } => {
                        *answered.entry(*request).or_default() += 1;
                        assert_eq!(answered[request], 1, "one answer each");
                        assert!(now <= deadlines[request], "answered in time");
                    }
                    Action::SetTimer { after_us, timer } => timers.push((now + after_us, *timer)),
                    _ => {}
                }
            }
            all.extend(actions);
        }
        let slice = 10.0 + 50.0 / 3.0 * ((now - start) as f64 / 1e6);
        assert!(drawn <= slice + 1e-6, "{drawn} drawn of a slice of {slice}");
    }
    let unanswered = deadlines
        .keys()
        .filter(|id| !answered.contains_key(id))
        .count();
    assert_eq!(unanswered, 0, "every request is answered");
    (all, drawn)
}

proptest! {
    #![proptest_config(Config { cases: 64, rng_seed: RngSeed::Fixed(20261128), failure_persistence: None, ..Config::default() })]

    #[test]
    fn the_rules_hold_and_the_same_events_give_the_same_actions(
        steps in proptest::collection::vec((any::<u8>(), any::<u8>(), 0u32..200_000), 1..300)
    ) {
        let (first, drawn) = play(&steps);
        let (second, _) = play(&steps);
        prop_assert_eq!(first, second);
        prop_assert!(drawn >= 0.0);
    }
}
