//! `members-size`: the membership state machine with 4 to 1,000 members in virtual time, with datagram loss. Measures the time until
//! all know of a crash, false positives, and each member's traffic, memory and CPU time.

use crate::figures::Figures;
use crate::site::memory_mb;
use std::time::Duration;

#[path = "../../cluster-membership/tests/world/mod.rs"]
mod world;
use world::{World, SECOND_US};

const SIZES: [usize; 4] = [4, 64, 300, 1_000];
const LOSSES: [f64; 3] = [0.0, 0.05, 0.3];

/// Results of one size and loss rate.
struct Row {
    size: usize,
    loss: f64,
    /// Seconds until half of the members know of a crash.
    half_s: f64,
    /// Seconds until all members know of a crash.
    all: f64,
    /// Running members that were declared dead.
    accused: usize,
    bytes_s: f64,
    messages_s: f64,
    /// CPU time of a member, in seconds per second.
    busy: f64,
    /// Longest call.
    longest: Duration,
    /// Calls longer than 1 ms, per million calls.
    over_1ms: f64,
    /// Resident memory of this process in MB, with the simulations of all loss rates.
    memory_mb: f64,
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let duration_us = seconds.unwrap_or(10) * SECOND_US;
    for size in SIZES {
        let before = memory_mb(std::process::id());
        let rows = std::thread::scope(|s| {
            let each = LOSSES.map(|loss| s.spawn(move || simulate(size, loss, duration_us)));
            each.map(|row| row.join().expect("a simulation does not panic"))
        });
        let memory_growth = rows.iter().map(|r| r.memory_mb).fold(0.0, f64::max) - before;
        // The memory growth includes simulated messages in flight.
        let each = memory_growth * 1_024.0 / (LOSSES.len() * size) as f64;
        rows.into_iter().for_each(|row| record_row(row, figures));
        figures.record(&format!("{size}_memory_each"), each, "kB");
    }
}

fn record_row(r: Row, figures: &mut Figures) {
    let name = |what: &str| format!("{}_loss_{}_{what}", r.size, r.loss * 100.0);
    figures.record(&name("death_known_to_half"), r.half_s, "s");
    figures.at_most(&name("death_known_to_all"), r.all, "s", 15.0);
    match r.loss < 0.1 {
        true => figures.at_most(&name("accused"), r.accused as f64, "members", 0.0),
        false => figures.record(&name("accused"), r.accused as f64, "members"),
    }
    figures.record(&name("bytes_each"), r.bytes_s, "B/s");
    figures.at_most(&name("messages_each"), r.messages_s, "1/s", 440.0);
    figures.record(&name("busy_each"), r.busy, "of-a-core");
    // On a shared machine, preemption lengthens some calls: a few per million may exceed 1 ms.
    figures.record(
        &name("longest_at_once"),
        r.longest.as_secs_f64() * 1e3,
        "ms",
    );
    figures.at_most(&name("over_1ms_at_once"), r.over_1ms, "of-a-million", 20.0);
}

fn simulate(size: usize, loss: f64, duration_us: u64) -> Row {
    let mut w = World::converged(size, size as u64);
    // Member tables of 1,000 entries take a while to fill.
    w.run_until(20 * SECOND_US, |w| {
        w.membership(size - 1).view().ready_count == size && w.views_equal()
    });
    w.loss = loss;
    w.delay_range_us = (500, 3_000);
    for n in 0..size {
        let node = w.node(n);
        (
            node.sent_bytes,
            node.sent_datagrams,
            node.processor_time,
            node.longest_call,
        ) = (0, 0, Duration::ZERO, Duration::ZERO);
        (node.call_count, node.calls_over_1ms) = (0, 0);
        node.log_lines.clear();
    }
    w.run(duration_us);
    let seconds = duration_us as f64 / 1e6;
    let each = |f: fn(&world::Node) -> f64| {
        let all = w.nodes.iter().flatten().map(f);
        all.sum::<f64>() / size as f64 / seconds
    };
    let (bytes_s, messages_s) = (
        each(|n| n.sent_bytes as f64),
        each(|n| n.sent_datagrams as f64),
    );
    let busy = each(|n| n.processor_time.as_secs_f64());
    let longest = w
        .nodes
        .iter()
        .flatten()
        .map(|n| n.longest_call)
        .max()
        .unwrap_or_default();
    let sum = |f: fn(&world::Node) -> u64| w.nodes.iter().flatten().map(f).sum::<u64>() as f64;
    let over_1ms = 1e6 * sum(|n| n.calls_over_1ms) / sum(|n| n.call_count);
    let memory_mb = memory_mb(std::process::id());
    let mut accused: Vec<String> = w.death_log_lines().into_iter().map(|a| a.2).collect();
    accused
        .iter_mut()
        .for_each(|l| l.truncate(l.find(':').unwrap_or(0)));
    accused.sort();
    accused.dedup();
    let crashed = size / 2;
    w.kill(crashed);
    let from = w.now_us;
    let detected_by = |w: &World| {
        w.running()
            .iter()
            .filter(|n| w.state(crashed, **n) == "dead")
            .count()
    };
    let half_s = w
        .run_until(60 * SECOND_US, |w| 2 * detected_by(w) >= size - 1)
        .map_or(f64::INFINITY, |us| us as f64 / 1e6);
    let all = w.run_until(60 * SECOND_US, |w| detected_by(w) == size - 1);
    let all = all.map_or(f64::INFINITY, |_| (w.now_us - from) as f64 / 1e6);
    Row {
        size,
        loss,
        half_s,
        all,
        accused: accused.len(),
        bytes_s,
        messages_s,
        busy,
        longest,
        over_1ms,
        memory_mb,
    }
}
