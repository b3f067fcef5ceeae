//! `counter-faults`: four gateways, servers that report usage, and a shared counter with one fault after another. Customers far
//! above their quota run beside compliant ones; measures the excess usage and what compliant customers are still served.

use crate::figures::Figures;
use crate::load::{poisson_interval, units_over_bucket, Load, Outcome, RequestSpec, CHECK, TOP_UP};
use crate::servers::{all_ready, Meter, Server, Use};
use crate::site::{pause, Node, Peers};
use frosthatch_test_doubles::{AnswerFault, Discovery, SharedCounter};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::time::Instant;

const GATEWAYS: usize = 4;
/// Load before a fault.
const LOAD_BEFORE: Duration = Duration::from_secs(8);
/// Load after a fault.
const LOAD_AFTER: Duration = Duration::from_secs(10);
/// Number of concurrent installations, which share this machine's cores.
const MAX_CONCURRENT_CASES: usize = 4;

/// A plan of the lab's settings: name, quota in units per second, burst in units, and ceiling (units per second, units), if any.
struct Quota {
    plan: &'static str,
    rate: f64,
    burst: f64,
    ceiling: Option<(f64, f64)>,
}

const COUNTED: Quota = Quota {
    plan: "counted",
    rate: 6.0,
    burst: 24.0,
    ceiling: None,
};
const LARGE: Quota = Quota {
    plan: "counted-large",
    rate: 40.0,
    burst: 80.0,
    ceiling: Some((85.0, 170.0)),
};

/// A customer: its key, its quota, and its request rate relative to the quota.
struct Customer {
    key: u32,
    quota: &'static Quota,
    rate_multiple: f64,
}

impl Customer {
    fn is_compliant(&self) -> bool {
        self.rate_multiple <= 1.0
    }

    /// Chooses the gateway of a request by a random number. Gateways are used unevenly: one of them gets 55 %. A customer that has
    /// `moved` uses only the next gateway.
    fn gateway(&self, draw: u32, moved: bool) -> usize {
        let place = match draw % 100 {
            _ if moved => 1,
            0..55 => 0,
            55..80 => 1,
            80..92 => 2,
            _ => 3,
        };
        (self.key as usize + place) % GATEWAYS
    }
}

fn customers() -> Vec<Customer> {
    let mut all = Vec::new();
    let mut add = |quota, rate_multiple| {
        let key = 100 + all.len() as u32;
        all.push(Customer {
            key,
            quota,
            rate_multiple,
        });
    };
    (0..14).for_each(|n| add(&COUNTED, [0.3, 0.5, 0.6, 0.8][n % 4]));
    (0..3).for_each(|n| add(&LARGE, [0.5, 0.7, 0.9][n]));
    (0..2).for_each(|_| add(&LARGE, 3.0));
    (0..2).for_each(|_| add(&COUNTED, 4.0));
    all
}

/// A fault: its name, its duration in seconds, and the functions that begin and end it.
struct Fault {
    name: &'static str,
    duration_s: u64,
    begin: fn(&SharedCounter, &Meter),
    end: fn(&SharedCounter, &Meter),
    /// From the middle of the fault on, each customer uses only the next gateway.
    moves: bool,
}

const fn fault(
    name: &'static str,
    duration_s: u64,
    begin: fn(&SharedCounter, &Meter),
    end: fn(&SharedCounter, &Meter),
) -> Fault {
    Fault {
        name,
        duration_s,
        begin,
        end,
        moves: false,
    }
}

const FAULTS: [Fault; 15] = [
    fault("nothing", 10, |_, _| {}, |_, _| {}),
    fault(
        "lost_1s",
        1,
        |c, _| c.set_silent(None, true),
        |c, _| c.set_silent(None, false),
    ),
    fault(
        "lost_10s",
        10,
        |c, _| c.set_silent(None, true),
        |c, _| c.set_silent(None, false),
    ),
    fault(
        "lost_60s",
        60,
        |c, _| c.set_silent(None, true),
        |c, _| c.set_silent(None, false),
    ),
    fault(
        "one_part_lost",
        10,
        |c, _| c.set_silent(Some(0), true),
        |c, _| c.set_silent(Some(0), false),
    ),
    fault("split", 60, |c, _| c.split(), |c, _| c.heal()),
    Fault {
        moves: true,
        ..fault("split_and_move", 20, |c, _| c.split(), |c, _| c.heal())
    },
    fault("swapped", 10, |c, _| c.replace(false), |_, _| {}),
    fault("swapped_broken", 10, |c, _| c.replace(true), |_, _| {}),
    fault(
        "swapped_back",
        10,
        |c, _| c.replace(false),
        |c, _| c.restore_original(),
    ),
    fault(
        "late_1s",
        10,
        |c, _| c.set_delay(Duration::from_secs(1)),
        |c, _| c.set_delay(Duration::ZERO),
    ),
    fault(
        "lies_higher",
        10,
        |c, _| c.set_answer_fault(Some((30, AnswerFault::Higher(500.0)))),
        |c, _| c.set_answer_fault(None),
    ),
    fault(
        "lies_lower",
        10,
        |c, _| c.set_answer_fault(Some((30, AnswerFault::Lower(500.0)))),
        |c, _| c.set_answer_fault(None),
    ),
    fault(
        "no_number",
        10,
        |c, _| c.set_answer_fault(Some((30, AnswerFault::NotANumber))),
        |c, _| c.set_answer_fault(None),
    ),
    fault(
        "counter_and_meter_lost",
        10,
        |c, m| set_counter_and_meter_lost(c, m, true),
        |c, m| set_counter_and_meter_lost(c, m, false),
    ),
];

fn set_counter_and_meter_lost(counter: &SharedCounter, meter: &Meter, lost: bool) {
    counter.set_silent(None, lost);
    meter.lost.store(lost, std::sync::atomic::Ordering::SeqCst);
}

/// Results of one fault.
#[derive(Clone)]
struct Row {
    name: &'static str,
    /// Units above a ceiling and its slack, relative to what the ceiling grants during the fault.
    over_ceiling: f64,
    /// Units above a quota, relative to what the quota grants from the fault's start to the end of the load.
    over_quota: f64,
    /// Share of compliant customers' requests served in time during the fault, relative to the share before it.
    compliant: f64,
    /// Seconds from the fault's end until usage and served shares stay in their normal range.
    normal_after: f64,
    unanswered: usize,
    calls_per_request: f64,
}

pub fn run(seconds: Option<u64>, figures: &mut Figures) {
    for peers in [false, true] {
        let rows = Mutex::new(Vec::new());
        let next = Mutex::new(0..FAULTS.len());
        thread::scope(|s| {
            for _ in 0..MAX_CONCURRENT_CASES {
                s.spawn(|| loop {
                    let Some(n) = next.lock().expect("lock is not poisoned").next() else {
                        return;
                    };
                    let row = run_case(&FAULTS[n], seconds, peers);
                    rows.lock().expect("lock is not poisoned").push((n, row));
                });
            }
        });
        let mut rows = rows.into_inner().expect("lock is not poisoned");
        rows.sort_by_key(|(n, _)| *n);
        for (_, row) in rows {
            record_row(&row, if peers { "peers" } else { "alone" }, figures);
        }
    }
}

fn record_row(row: &Row, mode: &str, figures: &mut Figures) {
    let name = |what: &str| format!("{mode}_{}_{what}", row.name);
    figures.at_most(&name("over_ceiling"), row.over_ceiling, "of-ceiling", 0.05);
    // Without usage exchange between gateways a split is detected late, and later still for a small quota.
    let split = row.name.starts_with("split");
    let max_over_quota = match (mode, split) {
        ("peers", _) => 0.05,
        (_, true) => 0.6,
        (_, false) => 0.25,
    };
    figures.at_most(
        &name("over_quota"),
        row.over_quota,
        "of-quota",
        max_over_quota,
    );
    let min_served = if mode == "peers" { 0.95 } else { 0.85 };
    figures.at_least(&name("honest"), row.compliant, "of-before", min_served);
    match mode == "alone" && split {
        true => figures.record(&name("normal_after"), row.normal_after, "s"),
        false => figures.at_most(&name("normal_after"), row.normal_after, "s", MAX_RECOVERY_S),
    }
    figures.at_most(&name("unanswered"), row.unanswered as f64, "requests", 0.0);
    figures.record(&name("calls"), row.calls_per_request, "calls/request");
}

/// Maximum number of seconds from a fault's end to normal operation.
const MAX_RECOVERY_S: f64 = 8.0;

/// Result of one request.
struct Sample {
    due: Duration,
    customer: usize,
    outcome: Outcome,
    in_time: bool,
}

fn run_case(fault: &Fault, seconds: Option<u64>, peers: bool) -> Row {
    let fault_duration =
        Duration::from_secs(seconds.map_or(fault.duration_s, |s| s.min(fault.duration_s)));
    let runtime = Runtime::new().expect("the Tokio runtime can be built");
    let handle = runtime.handle();
    let all_customers = Arc::new(customers());
    let meter = Meter::new(all_customers.iter().map(|c| (c.key, c.quota.rate)));
    let anywhere = ([127, 0, 0, 1], 0).into();
    let servers: Vec<Server> = (0..5)
        .map(|_| Server::with_meter(handle, anywhere, false, Some(meter.clone())))
        .collect();
    let agent = Discovery::new(&all_ready(&servers));
    let counter = SharedCounter::new(3);
    let peers = peers.then(|| Peers::new(GATEWAYS));
    let gateways: Vec<_> = (0..GATEWAYS)
        .map(|me| {
            let counter = Some(counter.sides[me / (GATEWAYS / 2)]);
            let node = Node {
                gateways: GATEWAYS,
                me,
                discovery: agent.address,
                counter,
                sockets: 1_024,
                memory_mb: 64,
            };
            node.start(peers.as_ref().map(Peers::path))
        })
        .collect();
    let load = Load::new(gateways.iter().map(|g| g.address).collect());
    let samples: Arc<Mutex<Vec<Sample>>> = Arc::default();
    let start = Instant::now() + Duration::from_millis(100);
    let length = LOAD_BEFORE + fault_duration + LOAD_AFTER;
    let moves = fault.moves;
    let tasks: Vec<_> = (0..all_customers.len())
        .map(|n| {
            let (all_customers, load, samples) =
                (all_customers.clone(), load.clone(), samples.clone());
            handle.spawn(async move {
                let c = &all_customers[n];
                let mut rng = Pcg64Mcg::seed_from_u64(u64::from(c.key));
                let mut due = Duration::ZERO;
                let mut in_flight = tokio::task::JoinSet::new();
                loop {
                    due += poisson_interval(&mut rng, c.quota.rate * c.rate_multiple);
                    if due >= length {
                        break;
                    }
                    let moved = moves && due >= LOAD_BEFORE + fault_duration / 2;
                    let (gateway, id) = (
                        c.gateway(rng.next_u32(), moved),
                        u64::from(rng.next_u32()) << 32 | u64::from(c.key),
                    );
                    let class = if rng.next_u32() % 100 < 71 {
                        CHECK
                    } else {
                        TOP_UP
                    };
                    tokio::time::sleep_until(start + due).await;
                    let (load, samples) = (load.clone(), samples.clone());
                    let (plan, key) = (c.quota.plan, c.key);
                    in_flight.spawn(async move {
                        let spec = RequestSpec {
                            class,
                            plan,
                            customer: key,
                            units: 1,
                            id,
                        };
                        let outcome = load.send_request(gateway, spec, start + due).await;
                        let in_time = start.elapsed().saturating_sub(due) <= class.1;
                        samples.lock().expect("lock is not poisoned").push(Sample {
                            due,
                            customer: n,
                            outcome,
                            in_time,
                        });
                    });
                    while in_flight.try_join_next().is_some() {}
                }
                while in_flight.join_next().await.is_some() {}
            })
        })
        .collect();
    pause((start + LOAD_BEFORE).saturating_duration_since(Instant::now()));
    (fault.begin)(&counter, &meter);
    pause((start + LOAD_BEFORE + fault_duration).saturating_duration_since(Instant::now()));
    (fault.end)(&counter, &meter);
    runtime.block_on(async {
        for task in tasks {
            let _ = task.await;
        }
    });
    let samples = samples.lock().expect("lock is not poisoned");
    let uses = meter.uses();
    evaluate(
        fault,
        fault_duration,
        &all_customers,
        &samples,
        &uses,
        start,
        counter.calls(),
    )
}

fn evaluate(
    fault: &Fault,
    fault_duration: Duration,
    all_customers: &[Customer],
    samples: &[Sample],
    uses: &[Use],
    start: Instant,
    calls: u64,
) -> Row {
    let (from, to) = (
        LOAD_BEFORE.as_secs_f64(),
        (LOAD_BEFORE + fault_duration).as_secs_f64(),
    );
    let end = (LOAD_BEFORE + fault_duration + LOAD_AFTER).as_secs_f64();
    let (mut over_ceiling, mut over_quota, mut abnormal) = (0.0f64, 0.0f64, to);
    for c in all_customers {
        let customer_uses = uses.iter().filter(|u| u.customer == c.key);
        let customer_uses: Vec<(f64, f64)> = customer_uses
            .map(|u| ((Instant::from_std(u.at) - start).as_secs_f64(), 1.0))
            .collect();
        let q = c.quota;
        // Requests are in flight for up to 150 ms and may arrive in any order: the depth grows by what the rate grants then.
        let depth = q.burst + q.rate * 0.15;
        over_quota = over_quota.max(
            units_over_bucket(&customer_uses, q.rate, depth, from, end) / (q.rate * (end - from)),
        );
        if let Some((rate, depth)) = q.ceiling {
            let over = units_over_bucket(&customer_uses, rate, depth + rate * 0.15, from, end);
            over_ceiling = over_ceiling.max(over / (rate * (to - from).max(1.0)));
        }
        // In normal operation a customer above its quota uses about the quota in each second.
        if !c.is_compliant() {
            for second in to as u64..end as u64 - 1 {
                let (a, b) = (second as f64, second as f64 + 2.0);
                let used: f64 = customer_uses
                    .iter()
                    .filter(|(t, _)| (a..b).contains(t))
                    .map(|(_, u)| u)
                    .sum();
                let expected = 2.0 * q.rate;
                if !(0.6 * expected..=1.4 * expected + 4.0).contains(&used) {
                    abnormal = abnormal.max(b);
                }
            }
        }
    }
    let share = |a: f64, b: f64| {
        let compliant = |s: &&Sample| {
            all_customers[s.customer].is_compliant() && (a..b).contains(&s.due.as_secs_f64())
        };
        let (mut good, mut all) = (0.0, 0.0);
        for s in samples.iter().filter(compliant) {
            all += 1.0;
            good += f64::from(u8::from(s.outcome == Outcome::Served && s.in_time));
        }
        good / f64::max(all, 1.0)
    };
    // The first 2 s are a warm-up.
    let before = share(2.0, from);
    for second in to as u64..end as u64 - 1 {
        if share(second as f64, second as f64 + 2.0) < 0.9 * before {
            abnormal = abnormal.max(second as f64 + 2.0);
        }
    }
    Row {
        name: fault.name,
        over_ceiling,
        over_quota,
        compliant: share(from, to) / before.max(1e-9),
        normal_after: abnormal - to,
        unanswered: samples
            .iter()
            .filter(|s| matches!(s.outcome, Outcome::Unanswered | Outcome::Invalid))
            .count(),
        calls_per_request: calls as f64 / samples.len().max(1) as f64,
    }
}
