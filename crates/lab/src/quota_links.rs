//! `quota-links`: four gateways that exchange customers' usage without a shared counter, with faults on the links between them. One
//! customer sends six times its quota, another three quarters of it, both unevenly over the gateways. Measures what the compliant
//! customer is served, the other one's usage above its quota, and the recovery after a fault.

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
/// Load before a fault.
const LOAD_BEFORE: Duration = Duration::from_secs(6);
/// Load after a fault.
const LOAD_AFTER: Duration = Duration::from_secs(8);
const PLAN: &str = "counted-large";
/// Quota of the plan in the lab's settings: units per second, and burst in units.
const QUOTA: (f64, f64) = (40.0, 80.0);
/// Ceiling of the plan: units per second, and depth in units.
const CEILING: (f64, f64) = (85.0, 170.0);
/// The customer below its quota: key, requests per second, and the share of each gateway in percent.
const CUSTOMER_BELOW_QUOTA: (u32, f64, [u32; GATEWAYS]) = (71, 30.0, [40, 30, 20, 10]);
/// The customer above its quota: key, requests per second, and the share of each gateway in percent.
const CUSTOMER_ABOVE_QUOTA: (u32, f64, [u32; GATEWAYS]) = (72, 240.0, [40, 30, 20, 10]);

/// A fault: its name in the figures, and the actions that begin and end it.
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

/// Result of one request.
#[derive(Clone, Copy)]
struct Sample {
    /// Scheduled time in seconds since the start of the load.
    due: f64,
    customer: u32,
    served: bool,
    /// The gateway was running.
    gateway_running: bool,
}

/// Results of one fault.
struct Row {
    name: &'static str,
    /// Share of the compliant customer's requests served during the fault.
    during: f64,
    /// Share of the compliant customer's requests served in the 2 s after the fault.
    right_after: f64,
    /// Share of the compliant customer's requests served after these 2 s.
    later: f64,
    /// Units per second served to the customer above its quota, during the fault and after it.
    above_quota_per_s: [f64; 2],
    /// Units above the quota.
    over_quota: f64,
    /// Units above the ceiling.
    over_ceiling: f64,
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    let fault_duration = Duration::from_secs(seconds.unwrap_or(10));
    let next = Mutex::new(faults().into_iter().enumerate());
    let rows = Mutex::new(Vec::new());
    std::thread::scope(|s| {
        // Four concurrent installations, which share this machine's cores.
        for _ in 0..4 {
            s.spawn(|| loop {
                let Some((n, fault)) = next.lock().expect("lock is not poisoned").next() else {
                    return;
                };
                let row = run_case(&fault, fault_duration, n as u64);
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
        figures.record(&name("greedy_during"), r.above_quota_per_s[0], "units/s");
        figures.at_least(
            &name("greedy_after"),
            r.above_quota_per_s[1],
            "units/s",
            0.9 * QUOTA.0,
        );
        figures.at_most(
            &name("over_quota"),
            r.over_quota,
            "units",
            0.5 * QUOTA.0 * fault_duration.as_secs_f64(),
        );
        figures.at_most(&name("over_ceiling"), r.over_ceiling, "units", 0.0);
    }
}

fn run_case(fault: &Fault, fault_duration: Duration, seed: u64) -> Row {
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
    let length = LOAD_BEFORE + fault_duration + LOAD_AFTER;
    let running = Arc::new(Mutex::new([true; GATEWAYS]));
    let load = Arc::new(Mutex::new(load));
    let tasks = [CUSTOMER_BELOW_QUOTA, CUSTOMER_ABOVE_QUOTA].map(|(key, per_s, gateway_shares)| {
        let (load, samples, running) = (load.clone(), samples.clone(), running.clone());
        handle.spawn(run_customer(
            load,
            samples,
            running,
            start,
            length,
            key,
            per_s,
            gateway_shares,
        ))
    });
    pause((start + LOAD_BEFORE).saturating_duration_since(Instant::now()));
    let update_running = |testbed: &Testbed| {
        for (n, p) in testbed.processes.iter().enumerate() {
            running.lock().expect("lock is not poisoned")[n] = p.is_running();
        }
    };
    if let TimelineAction::Kill { who } | TimelineAction::Stop { who } = &fault.begin {
        who.iter()
            .for_each(|w| running.lock().expect("lock is not poisoned")[*w] = false);
    }
    testbed.apply(&fault.begin);
    pause((start + LOAD_BEFORE + fault_duration).saturating_duration_since(Instant::now()));
    testbed.apply(&fault.end);
    if let TimelineAction::Start { who } = &fault.end {
        who.iter().for_each(|w| testbed.wait_ready(*w));
        *load.lock().expect("lock is not poisoned") = Load::new(testbed.addresses());
    }
    update_running(&testbed);
    runtime.block_on(async {
        for task in tasks {
            let _ = task.await;
        }
    });
    let _ = std::fs::remove_file(&key);
    let samples = samples.lock().expect("lock is not poisoned");
    evaluate(fault.name, fault_duration, &samples)
}

#[allow(clippy::too_many_arguments)]
/// Sends the requests of one customer at random times, `per_s` on average.
async fn run_customer(
    load: Arc<Mutex<Load>>,
    samples: Arc<Mutex<Vec<Sample>>>,
    running: Arc<Mutex<[bool; GATEWAYS]>>,
    start: Instant,
    length: Duration,
    key: u32,
    per_s: f64,
    gateway_shares: [u32; GATEWAYS],
) {
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(key));
    let mut due = Duration::ZERO;
    let mut in_flight = tokio::task::JoinSet::new();
    loop {
        due += poisson_interval(&mut rng, per_s);
        if due >= length {
            break;
        }
        let mut draw = rng.next_u32() % gateway_shares.iter().sum::<u32>();
        let is_drawn = |p: &u32| {
            let drawn = draw < *p;
            draw = draw.wrapping_sub(*p);
            drawn
        };
        let gateway = gateway_shares.iter().position(is_drawn).unwrap_or(0);
        let id = u64::from(rng.next_u32()) << 32 | u64::from(key);
        tokio::time::sleep_until(start + due).await;
        let (load, samples) = (
            load.lock().expect("lock is not poisoned").clone(),
            samples.clone(),
        );
        let gateway_running = running.lock().expect("lock is not poisoned")[gateway];
        in_flight.spawn(async move {
            let request_spec = RequestSpec {
                class: CHECK,
                plan: PLAN,
                customer: key,
                units: 1,
                id,
            };
            let served = gateway_running
                && load.send_request(gateway, request_spec, start + due).await == Outcome::Served;
            let sample = Sample {
                due: due.as_secs_f64(),
                customer: key,
                served,
                gateway_running,
            };
            samples.lock().expect("lock is not poisoned").push(sample);
        });
        while in_flight.try_join_next().is_some() {}
    }
    while in_flight.join_next().await.is_some() {}
}

fn evaluate(name: &'static str, fault_duration: Duration, samples: &[Sample]) -> Row {
    let (from, to) = (
        LOAD_BEFORE.as_secs_f64(),
        (LOAD_BEFORE + fault_duration).as_secs_f64(),
    );
    let end = to + LOAD_AFTER.as_secs_f64();
    let served_share_and_rate = |key: u32, a: f64, b: f64| {
        let selected = samples
            .iter()
            .filter(|s| s.customer == key && s.gateway_running && (a..b).contains(&s.due));
        let (sent, served) = selected.fold((0.0, 0.0), |(n, k), s| {
            (n + 1.0, k + f64::from(u8::from(s.served)))
        });
        (served / f64::max(sent, 1.0), served / (b - a))
    };
    let units_over_bucket = |(rate, depth): (f64, f64)| {
        let mut due: Vec<f64> = samples
            .iter()
            .filter(|s| s.served && s.customer == CUSTOMER_ABOVE_QUOTA.0)
            .map(|s| s.due)
            .collect();
        due.sort_by(f64::total_cmp);
        let uses: Vec<(f64, f64)> = due.into_iter().map(|t| (t, 1.0)).collect();
        // Requests are in flight for up to 150 ms and may arrive in any order: the depth grows by what the rate grants then.
        load::units_over_bucket(&uses, rate, depth + rate * 0.15, from, f64::INFINITY)
    };
    Row {
        name,
        during: served_share_and_rate(CUSTOMER_BELOW_QUOTA.0, from + 1.0, to).0,
        right_after: served_share_and_rate(CUSTOMER_BELOW_QUOTA.0, to, to + 2.0).0,
        later: served_share_and_rate(CUSTOMER_BELOW_QUOTA.0, to + 2.0, end).0,
        above_quota_per_s: [
            served_share_and_rate(CUSTOMER_ABOVE_QUOTA.0, from + 1.0, to).1,
            served_share_and_rate(CUSTOMER_ABOVE_QUOTA.0, to, end).1,
        ],
        over_quota: units_over_bucket(QUOTA),
        over_ceiling: units_over_bucket(CEILING),
    }
}
