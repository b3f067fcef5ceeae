//! Steps of the wall clock: how the gateway treats a server's boot time doesn't depend on them.

mod common;
use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
/// Concurrent clients, each of which sends a request every `REQUEST_INTERVAL`.
const CLIENTS: usize = 10;
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const SERVICE_TIME: Duration = Duration::from_millis(8);
/// A client's deadline in seconds: too short for a server to become warm within it.
const CLIENT_DEADLINE_S: &str = "0.500";

fn wall_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the wall clock is after 1970")
        .as_millis() as i64
}

/// Starts `n` servers that count their requests and work for `work` on each.
fn servers(n: usize, work: Duration) -> Vec<(Server, Arc<AtomicUsize>)> {
    let entry = |_| {
        let count = Arc::new(AtomicUsize::new(0));
        let counted = count.clone();
        let server = Server::new(move |_| {
            counted.fetch_add(1, Ordering::SeqCst);
            thread::sleep(work);
            ok("served")
        });
        (server, count)
    };
    (0..n).map(entry).collect()
}

/// Sends requests at an even rate for `duration` and returns the share that is served.
fn share_served_over(gateway: &Gateway, duration: Duration) -> f64 {
    let run_client = |client_index: usize| {
        let (mut client, mut served, mut sent) = (gateway.client(), 0, 0);
        let start = Instant::now() + REQUEST_INTERVAL * client_index as u32 / CLIENTS as u32;
        while REQUEST_INTERVAL * sent < duration {
            thread::sleep(
                (start + REQUEST_INTERVAL * sent).saturating_duration_since(Instant::now()),
            );
            sent += 1;
            let request = ClientRequest::check().with_header("X-Expires-In", CLIENT_DEADLINE_S);
            served += usize::from(
                client
                    .exchange(&request.to_text())
                    .is_some_and(|a| a.status() == 200),
            );
        }
        (served, sent as usize)
    };
    let totals: Vec<(usize, usize)> = thread::scope(|scope| {
        let all: Vec<_> = (0..CLIENTS)
            .map(|client_index| scope.spawn(move || run_client(client_index)))
            .collect();
        all.into_iter()
            .map(|c| c.join().expect("the client thread does not panic"))
            .collect()
    });
    let (served, sent) = totals
        .into_iter()
        .fold((0, 0), |sum, each| (sum.0 + each.0, sum.1 + each.1));
    served as f64 / sent as f64
}

fn endpoint_list(servers: &[(Server, Arc<AtomicUsize>)], boot_ms: i64) -> String {
    let entry = |(n, (s, _)): (usize, &(Server, _))| {
        endpoint_entry_with_boot(
            &format!("s{n}"),
            s.address,
            0,
            "Ready",
            boot_ms.max(0) as u128,
        )
    };
    servers
        .iter()
        .enumerate()
        .map(entry)
        .collect::<Vec<_>>()
        .join(",")
}

/// Returns the requests that a server receives in the warm-up window after its start, with the wall clocks of
/// all machines stepped before.
fn requests_to_cold_server(step_ms: i64) -> usize {
    let shim = Shim::new();
    let warm = servers(4, SERVICE_TIME);
    let discovery = Discovery::new(&endpoint_list(&warm, 0));
    let gateway = Gateway::start_with_shim(&config_text(discovery.address, None, 1, ""), &shim);
    gateway.wait_ready();
    share_served_over(&gateway, Duration::from_secs(1));
    shim.set(Fault::WallClockOffsetMs, step_ms);
    let cold = servers(1, SERVICE_TIME);
    let cold_entry = endpoint_entry_with_boot(
        "cold",
        cold[0].0.address,
        0,
        "Ready",
        (wall_ms() + step_ms) as u128,
    );
    discovery.publish_and_wait(true, &[endpoint_list(&warm, 0), cold_entry].join(","));
    share_served_over(&gateway, Duration::from_secs(3));
    cold[0].1.load(Ordering::SeqCst)
}

/// Guards against taking a cold server for a warm one, or the reverse, because clocks differ.
#[test]
fn a_cold_server_gets_less_load_whatever_the_wall_clock_does() {
    let steps = [0, -HOUR_MS, HOUR_MS, 5_000, -5_000];
    let sent: Vec<usize> = thread::scope(|scope| {
        let all: Vec<_> = steps
            .iter()
            .map(|step| scope.spawn(|| requests_to_cold_server(*step)))
            .collect();
        all.into_iter()
            .map(|t| t.join().expect("the trial's thread does not panic"))
            .collect()
    });
    println!("requests in the warm-up window, by step in ms: {steps:?} {sent:?}");
    let without_step = sent[0];
    for (step, sent) in steps.iter().zip(&sent) {
        assert!(
            *sent <= without_step + without_step / 2 + 10,
            "{sent} requests with a step of {step} ms, at most 1.5 times {without_step} (without a step) + 10 allowed"
        );
        assert!(
            *sent >= without_step / 4,
            "{sent} requests with a step of {step} ms, at least a quarter of {without_step} (without a step) expected"
        );
    }
}

/// Guards against treating warm servers as cold when the gateway starts with another clock than theirs.
#[test]
fn a_warm_fleet_is_used_whatever_clock_the_gateway_starts_with() {
    let trial = |step_ms: i64| {
        let shim = Shim::new();
        shim.set(Fault::WallClockOffsetMs, step_ms);
        let warm = servers(4, SERVICE_TIME * 5 / 2);
        let discovery = Discovery::new(&endpoint_list(&warm, wall_ms() - 60_000));
        let gateway = Gateway::start_with_shim(&config_text(discovery.address, None, 1, ""), &shim);
        gateway.wait_ready();
        share_served_over(&gateway, Duration::from_millis(2_400))
    };
    let trial = &trial;
    let steps = [0, -HOUR_MS, HOUR_MS, -90_000];
    let served: Vec<f64> = thread::scope(|scope| {
        let all: Vec<_> = steps
            .iter()
            .map(|step| scope.spawn(move || trial(*step)))
            .collect();
        all.into_iter()
            .map(|t| t.join().expect("the trial's thread does not panic"))
            .collect()
    });
    println!("share served, by step in ms: {steps:?} {served:?}");
    assert!(
        served.iter().all(|share| *share >= 0.99),
        "{steps:?} ms: {served:?}"
    );
}

/// Guards against a customer who gets a quota at each of two counter names: a gateway that restarts after a step
/// has to use the same names as the others.
#[test]
fn gateways_on_either_side_of_a_step_count_under_the_same_names() {
    let counter = ScriptedCounter::new(|_, _| Some((Duration::ZERO, "ok 1".into())));
    let server = Server::new(|_| ok("served"));
    let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
    let text = config_text(discovery.address, Some(counter.address), 2, "");
    let start = |shim: &Shim| {
        let gateway = Gateway::start_with_shim(&text, shim);
        gateway.wait_ready();
        gateway
    };
    let names = |gateway: &Gateway| {
        let request = ClientRequest::check()
            .with_header("X-Tier", "small")
            .with_header("X-Call-Terms", "units=3,spread=2,first=0");
        let since = Instant::now();
        let mut names = Vec::new();
        // The connection to the counter may not be up yet.
        while names.len() < 2 && since.elapsed() < TIMEOUT {
            gateway.request(
                &request
                    .clone()
                    .with_header("X-Trace-Id", ClientRequest::check().header("X-Trace-Id")),
            );
            names.extend(counter.lines.recv_timeout(Duration::from_millis(100)).ok());
        }
        let name = |line: &String| line.split(' ').nth(1).map(String::from);
        names.iter().filter_map(name).collect::<Vec<String>>()
    };
    for step_ms in [-HOUR_MS, HOUR_MS] {
        let (running_shim, restarted_shim) = (Shim::new(), Shim::new());
        let running = start(&running_shim);
        names(&running);
        running_shim.set(Fault::WallClockOffsetMs, step_ms);
        restarted_shim.set(Fault::WallClockOffsetMs, step_ms);
        let restarted = start(&restarted_shim);
        // The running gateway reads the wall clock once a second.
        thread::sleep(Duration::from_millis(1_500));
        while counter.lines.try_recv().is_ok() {}
        // The counters' period may roll over between the two.
        let mut seen = Vec::new();
        let same = (0..3).any(|_| {
            let (running_names, restarted_names) = (names(&running), names(&restarted));
            let same = running_names
                .iter()
                .any(|name| restarted_names.contains(name));
            seen.push((running_names, restarted_names));
            same
        });
        assert!(same, "counter names after a step of {step_ms} ms: {seen:?}");
    }
}
