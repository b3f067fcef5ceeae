//! Recorded bytes of everything that members send each other: another version of the program has to read them.
//! `RECORD=1 cargo test --test golden_forms` records them anew.

mod world;

use frosthatch_cluster_membership::gauges::Gauge;
use frosthatch_cluster_membership::record::hash;
use frosthatch_cluster_membership::usage_counters::UsageKey;
use frosthatch_cluster_membership::wire::{
    DatagramBody, DatagramHeader, DatagramWriter, MemberUpdate,
};
use frosthatch_cluster_membership::{LifecyclePhase, Liveness, MemberRecord, Output};
use std::fmt::Write;
use world::{keys, plan, World, S, TICK};

fn compare_with_recorded(file: &str, now: &str) {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, now).expect("written");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("a recorded file"),
        now,
        "recorded on the left"
    );
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn full_head() -> DatagramHeader {
    DatagramHeader {
        from: "n3".into(),
        life: 0x1122_3344_5566_7788,
        incarnation: 1_700_000_000_123,
        to: 42,
        number: 7,
        ping: 9,
        acks: vec![1, 300],
        asks: vec![("n5".into(), 77)],
        buckets: vec![1, u32::MAX],
        back: true,
        base: 5,
        upto: 900,
        complete: true,
        have: 1_234_567,
        wanted: vec![0, u16::MAX],
        facts_have: 3,
    }
}

fn record(phase: LifecyclePhase, verdict: Liveness) -> MemberRecord {
    MemberRecord {
        name: "n12".into(),
        number: 12,
        zone: "a".into(),
        region: "north".into(),
        address: ([127, 0, 0, 1], 7_400).into(),
        instance_id: 99,
        incarnation: 1_700_000_000_124,
        phase,
        verdict,
        program: "0.2.0".into(),
    }
}

/// One datagram's body with something in each field.
fn full_body() -> Vec<u8> {
    let head = full_head();
    let mut writer = DatagramWriter::new(&head);
    assert!(writer.post(b"a message".to_vec()));
    for phase in [
        LifecyclePhase::Joining,
        LifecyclePhase::Ready,
        LifecyclePhase::Draining,
        LifecyclePhase::Left,
    ] {
        for verdict in [Liveness::Alive, Liveness::Suspect, Liveness::Dead] {
            assert!(writer.member(
                MemberUpdate {
                    record: record(phase, verdict),
                    age_s: 5,
                    by: vec![1, 70_000]
                },
                0
            ));
        }
    }
    for (window, tag) in [(0, 7), (0, 8), (3, 7)] {
        assert!(writer.usage(
            UsageKey {
                gateway: 300,
                life: 1 << 40,
                window
            },
            tag,
            2_500
        ));
    }
    let fact = |name: &str, value| Gauge {
        name: name.into(),
        value,
        age_ms: 9,
    };
    assert!(writer.facts(3, vec![fact("strain", 0.5), fact("policy", 7.0)]));
    writer.finish(head)
}

#[test]
fn the_bytes_of_a_datagram_are_those_that_were_recorded() {
    let mut text = String::new();
    writeln!(text, "full body {}", hex(&full_body())).expect("to memory");
    let least = DatagramHeader {
        from: "n0".into(),
        ..DatagramHeader::default()
    };
    writeln!(
        text,
        "least body {}",
        hex(&DatagramWriter::new(&least).finish(least.clone()))
    )
    .expect("to memory");
    writeln!(text, "sealed {}", hex(&keys().seal(b"some text"))).expect("to memory");
    for phase in [
        LifecyclePhase::Joining,
        LifecyclePhase::Ready,
        LifecyclePhase::Draining,
        LifecyclePhase::Left,
    ] {
        for verdict in [Liveness::Alive, Liveness::Suspect, Liveness::Dead] {
            let record = record(phase, verdict);
            writeln!(text, "record {} {:016x}", record.state(), record.digest())
                .expect("to memory");
        }
    }
    writeln!(text, "hash {:016x}", hash("n12")).expect("to memory");
    compare_with_recorded("datagrams.txt", &text);
}

#[test]
fn a_recorded_datagram_is_read_into_the_same_fields() {
    let body = DatagramBody::read(&full_body()).expect("a body");
    assert_eq!(body.head, full_head());
    assert_eq!(body.members.len(), 12);
    assert_eq!(body.post, b"a message");
}

/// FNV-1a, 64 bits, of all that was sent, and how many datagrams that were.
fn digest_of_sent(world: &mut World) -> String {
    let sent = world.record.take().unwrap_or_default();
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let line =
        |(from, to, bytes): &(usize, usize, Vec<u8>)| format!("{from} {to} {}\n", hex(bytes));
    let digest = sent
        .iter()
        .flat_map(|s| line(s).into_bytes())
        .fold(0xcbf2_9ce4_8422_2325, step);
    world.record = Some(Vec::new());
    format!("{} {digest:016x}", sent.len())
}

/// Members join, tell use and figures, are lost, suspected, return, are cut off, leave; every datagram of theirs counts.
#[test]
fn what_a_fleet_sends_is_what_was_recorded() {
    let mut text = String::from("# what happens: datagrams, digest\n");
    for seed in 1..4 {
        let mut world = World::new(6, seed);
        world.record = Some(Vec::new());
        (0..6).for_each(|n| world.start(n));
        world.run(3 * S);
        let mut note = |what: &str, world: &mut World| {
            let sent = digest_of_sent(world);
            writeln!(text, "{seed} {what}: {sent}").expect("to memory");
        };
        note("join", &mut world);
        for n in 0..30 {
            world.node(n % 6).fleet.record_usage(n as u32 % 4, 1.5);
            world.run(TICK);
        }
        note("use", &mut world);
        let now = world.now;
        assert!(world.node(2).fleet.set_gauge(now, "strain", 0.25));
        let mut out = Vec::new();
        world
            .node(1)
            .fleet
            .send_message(now, "n3", b"a message".to_vec(), &mut out);
        for output in out {
            if let Output::Send { bytes, .. } = output {
                world.deliver(3, world::at(1), &bytes);
            }
        }
        world.run(S);
        note("figures", &mut world);
        world.kill(4);
        world.run(8 * S);
        note("death", &mut world);
        let restarted = plan(4, 6, world.now / 1_000);
        world.start_with(4, restarted);
        world.run(2 * S);
        note("return", &mut world);
        world.cut = Box::new(|a, b| a / 3 != b / 3);
        world.run(8 * S);
        world.cut = Box::new(|_, _| false);
        world.run(8 * S);
        note("cut and heal", &mut world);
        (world.loss, world.delay) = (0.3, (1_000, 150_000));
        world.run(5 * S);
        (world.loss, world.delay) = (0.0, (1_000, 1_000));
        note("loss", &mut world);
        let now = world.now;
        let mut out = Vec::new();
        world.node(5).fleet.leave(now, &mut out);
        for output in out {
            if let Output::Send { bytes, .. } = output {
                world.deliver(0, world::at(5), &bytes);
            }
        }
        world.kill(5);
        world.run(3 * S);
        note("leave", &mut world);
    }
    compare_with_recorded("fleet.txt", &text);
}
