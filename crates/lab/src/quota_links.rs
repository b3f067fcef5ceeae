//! `quota-links`: four gateways that tell each other what customers use, no counter, and faults on what goes between them. One
//! customer asks for six times its quota, another for three quarters of it, both unevenly: what the honest one is served, what
//! the greedy one gets beyond its quota, and how long after a fault all is as before.

use crate::figures::Figures;
use crate::load::{self, poisson_interval, Load, Outcome, RequestSpec, CHECK};
use crate::servers::{all_ready, Server};
use crate::site::{pause, Node};
use crate::testbed::{fleet_file, Faults, Process, Relay, Testbed, TimelineAction};
use frosthatch_test_doubles::{write_config_file, Discovery};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::time::Instant;

const GATEWAYS: usize = 4;
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(8);
const PLAN: &str = "counted-large";
/// The plan's quota and ceiling, as the lab's settings have them.
const QUOTA: (f64, f64) = (40.0, 80.0);
const CEILING: (f64, f64) = (85.0, 170.0);
/// Customers: their key, requests a second, and the parts of the gateways in them.
const HONEST: (u32, f64, [u32; GATEWAYS]) = (71, 30.0, [40, 30, 20, 10]);
const GREEDY: (u32, f64, [u32; GATEWAYS]) = (72, 240.0, [40, 30, 20, 10]);

struct Fault {
    name: &'static str,
    begin: TimelineAction,
    end: TimelineAction,
}

fn faults() -> Vec<Fault> {
    let cut = |who: usize| TimelineAction::Split {
        groups: vec![vec![who], (0..GATEWAYS).filter(|g| *g != who).collect()],
    };
    let loss = Faults {
        loss: 0.3,
        ..Faults::default()
    };
    let one_way = TimelineAction::Cut {
        from: vec![0],
        to: vec![1, 2, 3],
    };
    let (kill, start) = (
        TimelineAction::Kill { who: vec![3] },
        TimelineAction::Start { who: vec![3] },
    );
    vec![
        Fault {
            name: "nothing",
            begin: TimelineAction::Heal,
            end: TimelineAction::Heal,
        },
        Fault {
            name: "cut_least",
            begin: cut(3),
            end: TimelineAction::Heal,
        },
        Fault {
            name: "cut_most",
            begin: cut(0),
            end: TimelineAction::Heal,
        },
        Fault {
            name: "cut_one_way",
            begin: one_way,
            end: TimelineAction::Heal,
        },
        Fault {
            name: "one_link",
            begin: TimelineAction::Split {
                groups: vec![vec![0, 2, 3], vec![1, 2, 3]],
            },
            end: TimelineAction::Heal,
        },
        Fault {
            name: "halves",
            begin: TimelineAction::Split {
                groups: vec![vec![0, 3], vec![1, 2]],
            },
            end: TimelineAction::Heal,
        },
        Fault {
            name: "loss_30",
            begin: TimelineAction::Links { faults: loss },
            end: TimelineAction::Heal,
        },
        Fault {
            name: "killed",
            begin: kill,
            end: start,
        },
        Fault {
            name: "stopped",
            begin: TimelineAction::Stop { who: vec![3] },
            end: TimelineAction::Continue { who: vec![3] },
        },
    ]
}

#[derive(Clone, Copy)]
struct Sample {
    due: f64,
    customer: u32,
    served: bool,
    /// Its gateway was there to take it.
    taken: bool,
}

/// What one fault did: share of the honest customer's requests that was served while it lasted, in the 2 s after it and in what
/// follows; units a second of the greedy one; units above quota and ceiling.
struct Row {
    name: &'static str,
    during: f64,
    right_after: f64,
    later: f64,
    greedy: [f64; 2],
    over_quota: f64,
    over_ceiling: f64,
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let lasts = Duration::from_secs(seconds.unwrap_or(10));
    let next = Mutex::new(faults().into_iter().enumerate());
    let rows = Mutex::new(Vec::new());
    std::thread::scope(|s| {
        // Installations at once: they share this machine's cores.
        for _ in 0..4 {
            s.spawn(|| loop {
                let Some((n, fault)) = next.lock().expect("lock is not poisoned").next() else {
                    return;
                };
                let row = one(&fault, lasts, n as u64);
                rows.lock().expect("lock is not poisoned").push((n, row));
            });
        }
    });
    let mut rows = rows.into_inner().expect("lock is not poisoned");
    rows.sort_by_key(|(n, _)| *n);
    for (_, r) in rows {
        let name = |what: &str| format!("{}_{what}", r.name);
        figures.at_least(&name("honest_during"), r.during, "of-asked", 0.95);
        figures.at_least(&name("honest_2s_after"), r.right_after, "of-asked", 0.95);
        figures.at_least(&name("honest_later"), r.later, "of-asked", 0.99);
        figures.record(&name("greedy_during"), r.greedy[0], "units/s");
        figures.at_least(&name("greedy_after"), r.greedy[1], "units/s", 0.9 * QUOTA.0);
        figures.at_most(
            &name("over_quota"),
            r.over_quota,
            "units",
            0.5 * QUOTA.0 * lasts.as_secs_f64(),
        );
        figures.at_most(&name("over_ceiling"), r.over_ceiling, "units", 0.0);
    }
}

fn one(fault: &Fault, lasts: Duration, seed: u64) -> Row {
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    let servers: Vec<Server> = (0..8).map(|_| Server::start(handle, false)).collect();
    let agent = Discovery::new(&all_ready(&servers));
    let relay = Relay::new(handle, GATEWAYS, seed);
    let key = write_config_file("a key of the lab's own, long enough for all");
    let processes = (0..GATEWAYS).map(|me| {
        let discovery = agent.address;
        let node = Node {
            gateways: GATEWAYS,
            me,
            discovery,
            counter: None,
            sockets: 1_024,
            memory_mb: 64,
        };
        Process::new(node, Some(fleet_file(&relay, me, &key, "")))
    });
    let mut testbed = Testbed::new(processes.collect(), relay);
    testbed.start_all();
    testbed.wait_until_all_found();
    let load = Load::new(testbed.addresses());
    let samples: Arc<Mutex<Vec<Sample>>> = Arc::default();
    let start = Instant::now() + Duration::from_millis(100);
    let length = BEFORE + lasts + AFTER;
    let there = Arc::new(Mutex::new([true; GATEWAYS]));
    let load = Arc::new(Mutex::new(load));
    let tasks = [HONEST, GREEDY].map(|(key, per_s, parts)| {
        let (load, samples, there) = (load.clone(), samples.clone(), there.clone());
        handle.spawn(run_customer(
            load, samples, there, start, length, key, per_s, parts,
        ))
    });
    pause((start + BEFORE).saturating_duration_since(Instant::now()));
    let tell = |testbed: &Testbed| {
        for (n, p) in testbed.processes.iter().enumerate() {
            there.lock().expect("lock is not poisoned")[n] = p.is_running();
        }
    };
    if let TimelineAction::Kill { who } | TimelineAction::Stop { who } = &fault.begin {
        who.iter()
            .for_each(|w| there.lock().expect("lock is not poisoned")[*w] = false);
    }
    testbed.apply(&fault.begin);
    pause((start + BEFORE + lasts).saturating_duration_since(Instant::now()));
    testbed.apply(&fault.end);
    if let TimelineAction::Start { who } = &fault.end {
        who.iter().for_each(|w| testbed.wait_ready(*w));
        *load.lock().expect("lock is not poisoned") = Load::new(testbed.addresses());
    }
    tell(&testbed);
    runtime.block_on(async {
        for task in tasks {
            let _ = task.await;
        }
    });
    let _ = std::fs::remove_file(&key);
    let samples = samples.lock().expect("lock is not poisoned");
    row(fault.name, lasts, &samples)
}

#[allow(clippy::too_many_arguments)]
async fn run_customer(
    load: Arc<Mutex<Load>>,
    samples: Arc<Mutex<Vec<Sample>>>,
    there: Arc<Mutex<[bool; GATEWAYS]>>,
    start: Instant,
    length: Duration,
    key: u32,
    per_s: f64,
    parts: [u32; GATEWAYS],
) {
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(key));
    let mut due = Duration::ZERO;
    let mut out = tokio::task::JoinSet::new();
    loop {
        due += poisson_interval(&mut rng, per_s);
        if due >= length {
            break;
        }
        let mut draw = rng.next_u32() % parts.iter().sum::<u32>();
        let part = |p: &u32| {
            let mine = draw < *p;
            draw = draw.wrapping_sub(*p);
            mine
        };
        let gateway = parts.iter().position(part).unwrap_or(0);
        let id = u64::from(rng.next_u32()) << 32 | u64::from(key);
        tokio::time::sleep_until(start + due).await;
        let (load, samples) = (
            load.lock().expect("lock is not poisoned").clone(),
            samples.clone(),
        );
        let taken = there.lock().expect("lock is not poisoned")[gateway];
        out.spawn(async move {
            let shape = RequestSpec {
                class: CHECK,
                plan: PLAN,
                customer: key,
                units: 1,
                id,
            };
            let served =
                taken && load.send_request(gateway, shape, start + due).await == Outcome::Served;
            let sample = Sample {
                due: due.as_secs_f64(),
                customer: key,
                served,
                taken,
            };
            samples.lock().expect("lock is not poisoned").push(sample);
        });
        while out.try_join_next().is_some() {}
    }
    while out.join_next().await.is_some() {}
}

fn row(name: &'static str, lasts: Duration, samples: &[Sample]) -> Row {
    let (from, to) = (BEFORE.as_secs_f64(), (BEFORE + lasts).as_secs_f64());
    let end = to + AFTER.as_secs_f64();
    let of = |key: u32, a: f64, b: f64| {
        let these = samples
            .iter()
            .filter(|s| s.customer == key && s.taken && (a..b).contains(&s.due));
        let (asked, served) = these.fold((0.0, 0.0), |(n, k), s| {
            (n + 1.0, k + f64::from(u8::from(s.served)))
        });
        (served / f64::max(asked, 1.0), served / (b - a))
    };
    let units_over_bucket = |(rate, depth): (f64, f64)| {
        let mut due: Vec<f64> = samples
            .iter()
            .filter(|s| s.served && s.customer == GREEDY.0)
            .map(|s| s.due)
            .collect();
        due.sort_by(f64::total_cmp);
        let uses: Vec<(f64, f64)> = due.into_iter().map(|t| (t, 1.0)).collect();
        // A request is on its way for a moment: what came within it may have been sent in any order.
        load::units_over_bucket(&uses, rate, depth + rate * 0.15, from, f64::INFINITY)
    };
    Row {
        name,
        during: of(HONEST.0, from + 1.0, to).0,
        right_after: of(HONEST.0, to, to + 2.0).0,
        later: of(HONEST.0, to + 2.0, end).0,
        greedy: [of(GREEDY.0, from + 1.0, to).1, of(GREEDY.0, to, end).1],
        over_quota: units_over_bucket(QUOTA),
        over_ceiling: units_over_bucket(CEILING),
    }
}
