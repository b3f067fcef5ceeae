//! Measures the wall-clock time that a gateway takes to handle one request and its answer, by numbers of servers and customers.
//! The gateway is one of 100 and has a counter that replies at once.

use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, ListKind, Plan, Request, ServerEntry,
    Settings, Timer,
};
use std::hint::black_box;
use std::time::Instant;

const REQUESTS_PER_RUN: u64 = 40_000;
const RUNS: usize = 5;

fn settings() -> Settings {
    let plan = |name: &str, rate: f64, max_open| Plan {
        name: name.into(),
        rate,
        burst: rate * 4.0,
        max_open,
        ..Settings::example().plans[0].clone()
    };
    let plans = vec![
        plan("small", 2.0, 0),
        plan("places", 0.0, 4),
        plan("large", 50.0, 0),
    ];
    Settings {
        gateways: 100,
        has_counter: true,
        plans,
        ..Settings::example()
    }
}

/// Returns the mean time of a request in ns.
fn mean_ns_per_request(server_count: usize, customer_count: u64) -> f64 {
    let mut gateway = Gateway::new(settings(), 7).expect("the settings are valid");
    let mut actions = Vec::new();
    let mut now = 1_000_000_000;
    let entries = (0..server_count)
        .map(|n| ServerEntry::ready(&format!("s{n}"), "a"))
        .collect();
    gateway.handle(
        now,
        Event::Servers {
            kind: ListKind::Complete,
            entries,
        },
        &mut actions,
    );
    let names: Vec<String> = (0..customer_count)
        .map(|n| format!("customer-{n}"))
        .collect();
    let started_at = Instant::now();
    for id in 0..REQUESTS_PER_RUN {
        now += 1_000;
        if id % 1_000 == 0 {
            gateway.handle(now, Event::Timer(Timer::Interval), &mut actions);
        }
        let plan = ["small", "places", "large"][(id % 3) as usize];
        let mut request = Request::new(
            id,
            &names[(id * 7_919 % customer_count) as usize],
            plan,
            "read",
            1_000_000,
        );
        request.gateway_count = 100;
        actions.clear();
        gateway.handle(now, Event::Request(request), &mut actions);
        let mut handled = 0;
        while handled < actions.len() {
            let event = match actions[handled].clone() {
                Action::Send {
                    request, server, ..
                } => Event::Outcome(
                    AttemptOutcome::new(request, 0, server, CompletionStatus::Served, 20_000)
                        .closing(),
                ),
                Action::AddToCounter { name, amount, .. } => Event::CounterReply {
                    name,
                    status: CompletionStatus::Served,
                    total: amount,
                },
                // Other actions lead to a timer event.
                _ => Event::Timer(Timer::Customer(0)),
            };
            gateway.handle(now, event, &mut actions);
            handled += 1;
        }
    }
    black_box(gateway.open_requests());
    started_at.elapsed().as_nanos() as f64 / REQUESTS_PER_RUN as f64
}

fn main() {
    for server_count in [10, 200, 5_000] {
        for customer_count in [100, 20_000] {
            let mut run_means_ns: Vec<f64> = (0..RUNS)
                .map(|_| mean_ns_per_request(server_count, customer_count))
                .collect();
            run_means_ns.sort_by(f64::total_cmp);
            println!(
                "{server_count:5} servers {customer_count:6} customers: median {:7.0} ns per request, minimum {:.0} ns",
                run_means_ns[RUNS / 2],
                run_means_ns[0]
            );
        }
    }
}
