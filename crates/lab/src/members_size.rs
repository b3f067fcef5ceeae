//! `members-size`: the members' state machine in virtual time, 4 to 1,000 of them, with loss: how soon a death is known to all, who is
//! accused wrongly, and what a member costs in bytes, memory and processor time.

use crate::figures::Figures;
use crate::site::memory_mb;
use std::time::Duration;

#[path = "../../cluster-membership/tests/world/mod.rs"]
mod world;
use world::{World, SECOND_US};

const SIZES: [usize; 4] = [4, 64, 300, 1_000];
const LOSSES: [f64; 3] = [0.0, 0.05, 0.3];

struct Row {
    size: usize,
    loss: f64,
    /// Until a death is known to half of them, and to all.
    half: f64,
    all: f64,
    accused: usize,
    bytes_s: f64,
    messages_s: f64,
    busy: f64,
    longest: Duration,
    /// Calls that took more than a millisecond, of a million.
    over_1ms: f64,
    /// MB that the process holds with all worlds in it.
    memory: f64,
}

pub fn play(seconds: Option<u64>, figures: &mut Figures) {
    let lasts = seconds.unwrap_or(10) * SECOND_US;
    for size in SIZES {
        let before = memory_mb(std::process::id());
        let rows = std::thread::scope(|s| {
            let each = LOSSES.map(|loss| s.spawn(move || one(size, loss, lasts)));
            each.map(|row| row.join().expect("a world"))
        });
        let held = rows.iter().map(|r| r.memory).fold(0.0, f64::max) - before;
        // What was on its way between them is in it.
        let each = held * 1_024.0 / (LOSSES.len() * size) as f64;
        rows.into_iter().for_each(|row| tell(row, figures));
        figures.show(&format!("{size}_memory_each"), each, "kB");
    }
}

fn tell(r: Row, figures: &mut Figures) {
    let name = |what: &str| format!("{}_loss_{}_{what}", r.size, r.loss * 100.0);
    figures.show(&name("death_known_to_half"), r.half, "s");
    figures.at_most(&name("death_known_to_all"), r.all, "s", 15.0);
    match r.loss < 0.1 {
        true => figures.at_most(&name("accused"), r.accused as f64, "members", 0.0),
        false => figures.show(&name("accused"), r.accused as f64, "members"),
    }
    figures.show(&name("bytes_each"), r.bytes_s, "B/s");
    figures.at_most(&name("messages_each"), r.messages_s, "1/s", 440.0);
    figures.show(&name("busy_each"), r.busy, "of-a-core");
    // On a machine that others use a call's time of the processor holds interruptions, too: some in a million.
    figures.show(
        &name("longest_at_once"),
        r.longest.as_secs_f64() * 1e3,
        "ms",
    );
    figures.at_most(&name("over_1ms_at_once"), r.over_1ms, "of-a-million", 20.0);
}

fn one(size: usize, loss: f64, lasts: u64) -> Row {
    let mut w = World::converged(size, size as u64);
    // Tables of a thousand take a while to fill.
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
    w.run(lasts);
    let seconds = lasts as f64 / 1e6;
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
    let memory = memory_mb(std::process::id());
    let mut accused: Vec<String> = w.death_log_lines().into_iter().map(|a| a.2).collect();
    accused
        .iter_mut()
        .for_each(|l| l.truncate(l.find(':').unwrap_or(0)));
    accused.sort();
    accused.dedup();
    let dies = size / 2;
    w.kill(dies);
    let from = w.now_us;
    let by = |w: &World| {
        w.running()
            .iter()
            .filter(|n| w.state(dies, **n) == "dead")
            .count()
    };
    let half = w
        .run_until(60 * SECOND_US, |w| 2 * by(w) >= size - 1)
        .map_or(f64::INFINITY, |us| us as f64 / 1e6);
    let all = w.run_until(60 * SECOND_US, |w| by(w) == size - 1);
    let all = all.map_or(f64::INFINITY, |_| (w.now_us - from) as f64 / 1e6);
    Row {
        size,
        loss,
        half,
        all,
        accused: accused.len(),
        bytes_s,
        messages_s,
        busy,
        longest,
        over_1ms,
        memory,
    }
}
