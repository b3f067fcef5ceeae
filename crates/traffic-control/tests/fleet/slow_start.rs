//! What all gateways together send to a server in slow start.

use crate::fleet;
use frosthatch_traffic_control::{
    Action, CompletionStatus, Event, ListKind, Micros, RequestId, ServerEntry, ServerId, Settings,
    Timer,
};

/// What a server that has just started gets of a whole fleet, in the worst span of the time that the settings name, beside what
/// they allow it then. Each gateway hears of the start at another moment, every fifth begins anew in the middle, and `warm`
/// says whether one warm server is left, which cannot do all that is asked for. A server works on as many at once as it has cores, and the others wait.
fn worst_span_of_server_in_slow_start(
    gateways: u32,
    cores: usize,
    warm: bool,
    seed: u64,
) -> (usize, f64) {
    const WORK_US: Micros = 50_000;
    let change = |s: &mut Settings| {
        (s.plans[0].rate, s.plans[0].burst) = (1e6, 1e6);
        s.counter = true;
    };
    let list = |at: Micros| {
        let cold = ServerEntry {
            started_us: at,
            ..ServerEntry::ready("cold", "a")
        };
        [warm.then(|| ServerEntry::ready("warm", "a")), Some(cold)]
            .into_iter()
            .flatten()
            .collect()
    };
    let mut rigs = fleet(gateways, change);
    let cold = Settings::example().slow_start;
    let begins = rigs[0].now;
    let mut dice = seed;
    let mut draw = |below: u64| {
        dice = dice
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (dice >> 33) % below
    };
    // By time: who has something to do, and what: an answer, news of the start, a new beginning, an interval, a request.
    enum Due {
        Answer(usize, RequestId, u32, ServerId, CompletionStatus, Micros),
        News(usize),
        Anew(usize),
        Interval(usize),
        Request(usize),
    }
    let mut due: std::collections::BTreeMap<(Micros, u64), Due> = Default::default();
    let mut n = 0;
    let mut at =
        |due: &mut std::collections::BTreeMap<(Micros, u64), Due>, t: Micros, what: Due| {
            n += 1;
            due.insert((t, n), what);
        };
    for g in 0..rigs.len() {
        at(&mut due, begins + draw(1_000_000), Due::News(g));
        if g % 5 == 4 {
            at(&mut due, begins + 2_000_000 + draw(1_000_000), Due::Anew(g));
        }
        (1..6).for_each(|s| at(&mut due, begins + s * 1_000_000, Due::Interval(g)));
    }
    for k in 0..300 * cores as u64 {
        at(
            &mut due,
            begins + k * 20_000 / cores as u64,
            Due::Request(draw(rigs.len() as u64) as usize),
        );
    }
    let mut to_cold: Vec<Micros> = Vec::new();
    let mut attempts: std::collections::BTreeMap<(usize, RequestId), u32> = Default::default();
    let warmth = |now: Micros| {
        let age = (now - begins) as f64 / cold.duration_us as f64;
        cold.initial_share + (1.0 - cold.initial_share) * age.min(1.0)
    };
    // When each core of the warm server and of the cold one is free.
    let mut free = vec![vec![0; cores]; 2];
    while let Some(((now, _), what)) = due.pop_first() {
        let (g, actions) = match what {
            Due::Answer(g, id, attempt, server, status, took) => {
                rigs[g].now = now;
                (g, rigs[g].end_attempt(id, attempt, &server, status, took))
            }
            Due::News(g) => {
                rigs[g].now = now;
                (g, rigs[g].update_servers(ListKind::Complete, list(begins)))
            }
            Due::Anew(g) => {
                let fresh = fleet(gateways, change).swap_remove(g);
                rigs[g] = fresh;
                rigs[g].now = now;
                (g, rigs[g].update_servers(ListKind::Complete, list(begins)))
            }
            Due::Interval(g) => {
                rigs[g].now = now;
                (g, rigs[g].handle(Event::Timer(Timer::Interval)))
            }
            Due::Request(g) => {
                rigs[g].now = now;
                (
                    g,
                    rigs[g]
                        .request_with(|r| {
                            (r.id.0, r.gateway_count) = (r.id.0 * 1_000 + g as u64, 1)
                        })
                        .1,
                )
            }
        };
        for action in actions {
            if let Action::Send {
                request,
                server,
                timeout_us,
                ..
            } = action
            {
                let is_cold = &*server.0 == "cold";
                if is_cold {
                    to_cold.push(now);
                }
                let n = attempts.entry((g, request)).or_default();
                let speed = if is_cold { warmth(now) } else { 1.0 };
                let core = free[usize::from(is_cold)].iter_mut().min().expect("cores");
                let done = now.max(*core) + (WORK_US as f64 / speed) as Micros;
                // Who has given up is not worked for.
                let (status, took) = match done - now > timeout_us {
                    true => (CompletionStatus::NoAnswer, timeout_us),
                    false => (CompletionStatus::Served, done - now),
                };
                *core = if status == CompletionStatus::Served {
                    done
                } else {
                    *core
                };
                at(
                    &mut due,
                    now + took,
                    Due::Answer(g, request, *n, server, status, took),
                );
                *n += 1;
            }
        }
    }
    // A multiple of what its warmth lets it do.
    let allowed = |from: Micros| {
        cold.overload_multiple * warmth(from) * cores as f64 * cold.overload_after_us as f64
            / WORK_US as f64
    };
    let over = |from: Micros| {
        let sent = to_cold
            .iter()
            .filter(|t| (from..from + cold.overload_after_us).contains(*t))
            .count();
        (sent, allowed(from))
    };
    let by_excess =
        |a: &(usize, f64), b: &(usize, f64)| (a.0 as f64 - a.1).total_cmp(&(b.0 as f64 - b.1));
    to_cold
        .iter()
        .map(|t| over(*t))
        .max_by(by_excess)
        .unwrap_or((0, 1.0))
}

/// Guards against a server that falls under the sum of what all gateways send, each by its own part and by what it saved up.
#[test]
fn all_gateways_together_do_not_overload_a_server_in_slow_start() {
    let fleets = [2, 3, 20, 30, 300]
        .into_iter()
        .flat_map(|g| [1, 4].map(|cores| (g, cores)));
    for (gateways, cores, warm) in
        fleets.flat_map(|(g, cores)| [true, false].map(|warm| (g, cores, warm)))
    {
        for seed in 1..4 {
            let (sent, allowed) = worst_span_of_server_in_slow_start(gateways, cores, warm, seed);
            let most = allowed + 2.0 * allowed.sqrt() + 2.0;
            let what = format!(
                "{gateways} gateways, {cores} cores, warm {warm}: {sent} sent, {most:.1} at most"
            );
            println!("{what}");
            assert!(sent > 0 && sent as f64 <= most, "{what}");
        }
    }
}
