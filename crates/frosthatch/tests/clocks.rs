//! A wall clock that is stepped: what a server's start means does not change with it.

mod common;
use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
/// Clients that ask at the same time, and how often each of them does.
const CLIENTS: usize = 10;
const EVERY: Duration = Duration::from_millis(40);
const WORK: Duration = Duration::from_millis(8);
/// What a client waits, in seconds: too short for a server to grow warm meanwhile.
const PATIENCE: &str = "0.500";

fn wall_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time")
        .as_millis() as i64
}

/// Servers that count what comes, and work so long on each.
fn servers(n: usize, work: Duration) -> Vec<(Server, Arc<AtomicUsize>)> {
    let one = |_| {
        let count = Arc::new(AtomicUsize::new(0));
        let counted = count.clone();
        let server = Server::new(move |_| {
            counted.fetch_add(1, Ordering::SeqCst);
            thread::sleep(work);
            ok("served")
        });
        (server, count)
    };
    (0..n).map(one).collect()
}

/// Asks at an even rate for so long; the share that is served.
fn ask_for(gateway: &Gateway, time: Duration) -> f64 {
    let ask = |nth: usize| {
        let (mut client, mut served, mut asked) = (gateway.client(), 0, 0);
        let start = Instant::now() + EVERY * nth as u32 / CLIENTS as u32;
        while EVERY * asked < time {
            thread::sleep((start + EVERY * asked).saturating_duration_since(Instant::now()));
            asked += 1;
            let ask = ClientRequest::check().with_header("X-Expires-In", PATIENCE);
            served += usize::from(
                client
                    .exchange(&ask.to_text())
                    .is_some_and(|a| a.status() == 200),
            );
        }
        (served, asked as usize)
    };
    let ended: Vec<(usize, usize)> = thread::scope(|scope| {
        let all: Vec<_> = (0..CLIENTS)
            .map(|nth| scope.spawn(move || ask(nth)))
            .collect();
        all.into_iter()
            .map(|c| c.join().expect("a client ends"))
            .collect()
    });
    let (served, asked) = ended
        .into_iter()
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    served as f64 / asked as f64
}

fn listed(servers: &[(Server, Arc<AtomicUsize>)], boot_ms: i64) -> String {
    let one = |(n, (s, _)): (usize, &(Server, _))| {
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
        .map(one)
        .collect::<Vec<_>>()
        .join(",")
}

/// Requests that a server gets in the window of the settings after it has started, with the wall clock of all machines
/// stepped before.
fn sent_to_a_cold_server(step_ms: i64) -> usize {
    let shim = Shim::new();
    let warm = servers(4, WORK);
    let discovery = Discovery::new(&listed(&warm, 0));
    let gateway = Gateway::start_with_shim(&config_text(discovery.address, None, 1, ""), &shim);
    gateway.wait_ready();
    ask_for(&gateway, Duration::from_secs(1));
    shim.set(Fault::WallClockOffsetMs, step_ms);
    let cold = servers(1, WORK);
    let told = endpoint_entry_with_boot(
        "cold",
        cold[0].0.address,
        0,
        "Ready",
        (wall_ms() + step_ms) as u128,
    );
    discovery.publish_and_wait(true, &[listed(&warm, 0), told].join(","));
    ask_for(&gateway, Duration::from_secs(3));
    cold[0].1.load(Ordering::SeqCst)
}

/// Guards against a cold server that is taken for a warm one, or the other way round, by another clock than its own.
#[test]
fn a_cold_server_is_spared_whatever_the_wall_clock_does() {
    let steps = [0, -HOUR_MS, HOUR_MS, 5_000, -5_000];
    let sent: Vec<usize> = thread::scope(|scope| {
        let all: Vec<_> = steps
            .iter()
            .map(|step| scope.spawn(|| sent_to_a_cold_server(*step)))
            .collect();
        all.into_iter()
            .map(|t| t.join().expect("a trial ends"))
            .collect()
    });
    println!("sent in the window, by step in ms: {steps:?} {sent:?}");
    let still = sent[0];
    for (step, sent) in steps.iter().zip(&sent) {
        assert!(
            *sent <= still + still / 2 + 10,
            "{sent} with a step of {step} ms, {still} with none"
        );
        assert!(
            *sent >= still / 4,
            "{sent} with a step of {step} ms, {still} with none"
        );
    }
}

/// Guards against a warm fleet that is refused: the gateway starts with a clock of another time than its servers'.
#[test]
fn a_warm_fleet_is_used_whatever_clock_the_gateway_starts_with() {
    let trial = |step_ms: i64| {
        let shim = Shim::new();
        shim.set(Fault::WallClockOffsetMs, step_ms);
        let warm = servers(4, WORK * 5 / 2);
        let discovery = Discovery::new(&listed(&warm, wall_ms() - 60_000));
        let gateway = Gateway::start_with_shim(&config_text(discovery.address, None, 1, ""), &shim);
        gateway.wait_ready();
        ask_for(&gateway, Duration::from_millis(2_400))
    };
    let trial = &trial;
    let steps = [0, -HOUR_MS, HOUR_MS, -90_000];
    let served: Vec<f64> = thread::scope(|scope| {
        let all: Vec<_> = steps
            .iter()
            .map(|step| scope.spawn(move || trial(*step)))
            .collect();
        all.into_iter()
            .map(|t| t.join().expect("a trial ends"))
            .collect()
    });
    println!("served, by step in ms: {steps:?} {served:?}");
    assert!(
        served.iter().all(|share| *share >= 0.99),
        "{steps:?} ms: {served:?}"
    );
}

/// Guards against a customer who has a quota at each of two counts: a gateway that restarts after a step has to meet the
/// others under the same names.
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
        let ask = ClientRequest::check()
            .with_header("X-Tier", "small")
            .with_header("X-Call-Terms", "units=3,spread=2,first=0");
        let since = Instant::now();
        let mut names = Vec::new();
        // The connection to the counter may not be up yet.
        while names.len() < 2 && since.elapsed() < TIMEOUT {
            gateway.request(
                &ask.clone()
                    .with_header("X-Trace-Id", ClientRequest::check().header("X-Trace-Id")),
            );
            names.extend(counter.lines.recv_timeout(Duration::from_millis(100)).ok());
        }
        let name = |line: &String| line.split(' ').nth(1).map(String::from);
        names.iter().filter_map(name).collect::<Vec<String>>()
    };
    for step_ms in [-HOUR_MS, HOUR_MS] {
        let (old, young) = (Shim::new(), Shim::new());
        let running = start(&old);
        names(&running);
        old.set(Fault::WallClockOffsetMs, step_ms);
        young.set(Fault::WallClockOffsetMs, step_ms);
        let restarted = start(&young);
        // The running one looks at the wall clock once a second.
        thread::sleep(Duration::from_millis(1_500));
        while counter.lines.try_recv().is_ok() {}
        // A new life of all counts may begin between the two.
        let mut seen = Vec::new();
        let same = (0..3).any(|_| {
            let (one, other) = (names(&running), names(&restarted));
            let same = one.iter().any(|name| other.contains(name));
            seen.push((one, other));
            same
        });
        assert!(same, "step of {step_ms} ms: {seen:?}");
    }
}
