//! What a decision costs: processor time of a request with its answer, by how many servers and customers there are.
//! Gateways: one of 100, with a counter that answers at once.

use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, ListKind, Plan, Request, ServerEntry,
    Settings, Timer,
};
use std::hint::black_box;
use std::time::Instant;

const REQUESTS: u64 = 40_000;
const PLAYS: usize = 5;

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

/// Mean time of a request, in ns.
fn play(servers: usize, customers: u64) -> f64 {
    let mut gateway = Gateway::new(settings(), 7).expect("settings");
    let mut out = Vec::new();
    let mut now = 1_000_000_000;
    let entries = (0..servers)
        .map(|n| ServerEntry::ready(&format!("s{n}"), "a"))
        .collect();
    gateway.handle(
        now,
        Event::Servers {
            kind: ListKind::Complete,
            entries,
        },
        &mut out,
    );
    let names: Vec<String> = (0..customers).map(|n| format!("customer-{n}")).collect();
    let began = Instant::now();
    for id in 0..REQUESTS {
        now += 1_000;
        if id % 1_000 == 0 {
            gateway.handle(now, Event::Timer(Timer::Interval), &mut out);
        }
        let plan = ["small", "places", "large"][(id % 3) as usize];
        let mut request = Request::new(
            id,
            &names[(id * 7_919 % customers) as usize],
            plan,
            "read",
            1_000_000,
        );
        request.gateway_count = 100;
        out.clear();
        gateway.handle(now, Event::Request(request), &mut out);
        let mut k = 0;
        while k < out.len() {
            let event = match out[k].clone() {
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
                _ => Event::Timer(Timer::Customer(0)),
            };
            gateway.handle(now, event, &mut out);
            k += 1;
        }
    }
    black_box(gateway.open_requests());
    began.elapsed().as_nanos() as f64 / REQUESTS as f64
}

fn main() {
    for servers in [10, 200, 5_000] {
        for customers in [100, 20_000] {
            let mut ns: Vec<f64> = (0..PLAYS).map(|_| play(servers, customers)).collect();
            ns.sort_by(f64::total_cmp);
            println!(
                "{servers:5} servers {customers:6} customers: {:7.0} ns a request (least {:.0})",
                ns[PLAYS / 2],
                ns[0]
            );
        }
    }
}
