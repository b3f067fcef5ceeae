//! Tests of the encoding of all that members send each other against recorded bytes, which other versions of the
//! program have to be able to read. `RECORD=1 cargo test --test golden_forms` records them anew.

mod world;

use frosthatch_cluster_membership::gauges::{Gauge, GaugeSnapshot};
use frosthatch_cluster_membership::record::stable_hash;
use frosthatch_cluster_membership::usage_counters::UsageKey;
use frosthatch_cluster_membership::wire::{
    DatagramBody, DatagramHeader, DatagramWriter, IndirectPing, MemberUpdate,
};
use frosthatch_cluster_membership::{LifecyclePhase, Liveness, MemberRecord, Output};
use std::fmt::Write;
use world::{address_of, config, keys, World, SECOND_US, TICK_US};

fn compare_with_recorded(file: &str, actual: &str) {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, actual)
            .expect("RECORD needs a writable directory tests/golden");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("the recorded file exists"),
        actual,
        "the encoding equals the recorded one (left)"
    );
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn full_header() -> DatagramHeader {
    DatagramHeader {
        from: "n3".into(),
        instance_id: 0x1122_3344_5566_7788,
        incarnation: 1_700_000_000_123,
        to_instance_id: 42,
        sequence: 7,
        ping: 9,
        acks: vec![1, 300],
        indirect_pings: vec![IndirectPing {
            target: "n5".into(),
            ping: 77,
        }],
        bucket_digests: vec![1, u32::MAX],
        wants_digests: true,
        usage_after: 5,
        usage_up_to: 900,
        is_usage_complete: true,
        usage_received: 1_234_567,
        wanted_gateways: vec![0, u16::MAX],
        gauges_received: 3,
    }
}

fn record(phase: LifecyclePhase, liveness: Liveness) -> MemberRecord {
    MemberRecord {
        name: "n12".into(),
        number: 12,
        zone: "a".into(),
        region: "north".into(),
        address: ([127, 0, 0, 1], 7_400).into(),
        instance_id: 99,
        incarnation: 1_700_000_000_124,
        phase,
        liveness,
        program: "0.2.0".into(),
    }
}

/// Returns a datagram body in which no field is empty.
fn full_body() -> Vec<u8> {
    let header = full_header();
    let mut writer = DatagramWriter::new(&header);
    assert!(writer.add_message(b"a message".to_vec()));
    for phase in [
        LifecyclePhase::Joining,
        LifecyclePhase::Ready,
        LifecyclePhase::Draining,
        LifecyclePhase::Left,
    ] {
        for liveness in [Liveness::Alive, Liveness::Suspect, Liveness::Dead] {
            assert!(writer.add_member(
                MemberUpdate {
                    record: record(phase, liveness),
                    age_s: 5,
                    suspectors: vec![1, 70_000]
                },
                0
            ));
        }
    }
    for (window, tag) in [(0, 7), (0, 8), (3, 7)] {
        assert!(writer.add_usage(
            UsageKey {
                gateway: 300,
                instance_id: 1 << 40,
                window
            },
            tag,
            2_500
        ));
    }
    let gauge = |name: &str, value| Gauge {
        name: name.into(),
        value,
        age_ms: 9,
    };
    let gauges = vec![gauge("strain", 0.5), gauge("policy", 7.0)];
    assert!(writer.add_gauges(GaugeSnapshot { version: 3, gauges }));
    writer.finish(header)
}

#[test]
fn encoded_datagrams_equal_the_recorded_ones() {
    let mut text = String::new();
    writeln!(text, "full body {}", hex(&full_body())).expect("writing to a string cannot fail");
    let minimal = DatagramHeader {
        from: "n0".into(),
        ..DatagramHeader::default()
    };
    writeln!(
        text,
        "least body {}",
        hex(&DatagramWriter::new(&minimal).finish(minimal.clone()))
    )
    .expect("writing to a string cannot fail");
    writeln!(text, "sealed {}", hex(&keys().seal(b"some text")))
        .expect("writing to a string cannot fail");
    for phase in [
        LifecyclePhase::Joining,
        LifecyclePhase::Ready,
        LifecyclePhase::Draining,
        LifecyclePhase::Left,
    ] {
        for liveness in [Liveness::Alive, Liveness::Suspect, Liveness::Dead] {
            let record = record(phase, liveness);
            writeln!(text, "record {} {:016x}", record.state(), record.digest())
                .expect("writing to a string cannot fail");
        }
    }
    writeln!(text, "hash {:016x}", stable_hash("n12")).expect("writing to a string cannot fail");
    compare_with_recorded("datagrams.txt", &text);
}

#[test]
fn a_full_body_decodes_to_the_same_fields() {
    let body = DatagramBody::decode(&full_body()).expect("a written body decodes");
    assert_eq!(body.header, full_header());
    assert_eq!(body.members.len(), 12);
    assert_eq!(body.message, b"a message");
}

/// Returns the number of datagrams sent since the last call, and the FNV-1a hash (64 bits) of all of them.
fn digest_of_sent(world: &mut World) -> String {
    let sent = world.recorded_datagrams.take().unwrap_or_default();
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let line = |(from, to_instance_id, bytes): &(usize, usize, Vec<u8>)| {
        format!("{from} {to_instance_id} {}\n", hex(bytes))
    };
    let digest = sent
        .iter()
        .flat_map(|s| line(s).into_bytes())
        .fold(0xcbf2_9ce4_8422_2325, step);
    world.recorded_datagrams = Some(Vec::new());
    format!("{} {digest:016x}", sent.len())
}

/// Delivers the datagrams in `outputs` at once.
fn deliver_all(world: &mut World, from: usize, to: usize, outputs: Vec<Output>) {
    for output in outputs {
        if let Output::Send { bytes, .. } = output {
            world.deliver(to, address_of(from), &bytes);
        }
    }
}

/// Runs a cluster whose members join, report usage and gauges, die, restart, are partitioned, lose datagrams, and
/// leave. Returns a digest of the datagrams of each step.
fn run_all_events(seed: u64) -> String {
    let mut text = String::new();
    let mut world = World::new(6, seed);
    world.recorded_datagrams = Some(Vec::new());
    let mut record_step = |step: &str, world: &mut World| {
        let sent = digest_of_sent(world);
        writeln!(text, "{seed} {step}: {sent}").expect("writing to a string cannot fail");
    };
    (0..6).for_each(|n| world.start(n));
    world.run(3 * SECOND_US);
    record_step("join", &mut world);
    for n in 0..30 {
        world.node(n % 6).membership.record_usage(n as u32 % 4, 1.5);
        world.run(TICK_US);
    }
    record_step("use", &mut world);
    send_gauge_and_message(&mut world);
    record_step("figures", &mut world);
    world.kill(4);
    world.run(8 * SECOND_US);
    record_step("death", &mut world);
    let restarted = config(4, 6, world.now_us / 1_000);
    world.start_with(4, restarted);
    world.run(2 * SECOND_US);
    record_step("return", &mut world);
    world.is_link_cut = Box::new(|a, b| a / 3 != b / 3);
    world.run(8 * SECOND_US);
    world.is_link_cut = Box::new(|_, _| false);
    world.run(8 * SECOND_US);
    record_step("cut and heal", &mut world);
    world.loss = 0.3;
    world.delay_range_us = (1_000, 150_000);
    world.run(5 * SECOND_US);
    world.loss = 0.0;
    world.delay_range_us = (1_000, 1_000);
    record_step("loss", &mut world);
    let now_us = world.now_us;
    let mut outputs = Vec::new();
    world.node(5).membership.leave(now_us, &mut outputs);
    deliver_all(&mut world, 5, 0, outputs);
    world.kill(5);
    world.run(3 * SECOND_US);
    record_step("leave", &mut world);
    text
}

fn send_gauge_and_message(world: &mut World) {
    let now_us = world.now_us;
    assert!(world.node(2).membership.set_gauge(now_us, "strain", 0.25));
    let mut outputs = Vec::new();
    world
        .node(1)
        .membership
        .send_message(now_us, "n3", b"a message".to_vec(), &mut outputs);
    deliver_all(world, 1, 3, outputs);
    world.run(SECOND_US);
}

#[test]
fn datagrams_of_a_cluster_equal_the_recorded_ones() {
    let mut text = String::from("# what happens: datagrams, digest\n");
    for seed in 1..4 {
        text.push_str(&run_all_events(seed));
    }
    compare_with_recorded("fleet.txt", &text);
}
