//! Quotas of the gateway binary while the counter is replaced or lost, and by reports of the other gateways.

mod common;
use common::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

type Log = Arc<Mutex<Vec<String>>>;

/// The gateways of one site with their discovery, counter and log lines.
struct Site {
    gateways: Vec<Gateway>,
    _server: Server,
    discovery: Discovery,
    counter: Option<SocketAddr>,
    operator: Option<PathBuf>,
    log: Log,
}

impl Site {
    fn new(gateways: usize, counter: Option<SocketAddr>, operator: Option<PathBuf>) -> Site {
        let server = Server::new(|_| ok(""));
        let discovery = Discovery::new(&endpoint_entry("a", server.address, 0, "Ready"));
        let mut site = Site {
            gateways: Vec::new(),
            _server: server,
            discovery,
            counter,
            operator,
            log: Log::default(),
        };
        for me in 0..gateways {
            let gateway = site.start(me, gateways);
            site.gateways.push(gateway);
        }
        site
    }

    fn start(&self, me: usize, gateways: usize) -> Gateway {
        let config = config_text(self.discovery.address, self.counter, gateways as u32, "")
            .replace("\"me\":0", &format!("\"me\":{me}"))
            // As at a real site: a call that is not answered within 50 ms is abandoned.
            .replace("\"countWaitUs\":200000", "\"countWaitUs\":50000");
        let operator = self
            .operator
            .as_ref()
            .map(|f| f.to_str().expect("the temporary path is UTF-8").to_string());
        let arguments = operator
            .iter()
            .flat_map(|f| ["--operator", f])
            .collect::<Vec<_>>();
        let log = self.log.clone();
        let gateway = Gateway::start_with_log(&config, &arguments, move |line| {
            println!("gateway {me}: {line}");
            log.lock()
                .expect("no thread panics while it holds the log")
                .push(line.into());
        });
        gateway.wait_ready();
        gateway
    }

    /// Sends `requests` requests for six units each, one after another, and returns how many were granted.
    fn count_granted(&self, gateway: usize, customer: u32, plan: &str, requests: usize) -> usize {
        let http_request = ClientRequest::check()
            .with_header("X-Tier", plan)
            .with_header("X-Api-Key", &format!("{customer:016x}"));
        let http_request = http_request.with_header(
            "X-Call-Terms",
            &format!("units=6,spread={},first=0", self.gateways.len()),
        );
        let mut client = self.gateways[gateway].client();
        let answers = (0..requests).filter_map(|_| client.exchange(&http_request.to_text()));
        answers.filter(|m| m.status() == 200).count()
    }

    fn logged(&self, text: &str) -> usize {
        self.log
            .lock()
            .expect("no thread panics while it holds the log")
            .iter()
            .filter(|l| l.contains(text))
            .count()
    }

    fn until_logged(&self, text: &str, times: usize) {
        let since = Instant::now();
        while self.logged(text) < times {
            assert!(
                since.elapsed() < TIMEOUT,
                "{text:?} is logged {times} times"
            );
            sleep(Duration::from_millis(10));
        }
    }
}

/// The bucket of 1,000 units is used up; a counter that restarts empty must not refill it.
#[test]
fn a_replaced_counter_grants_no_second_burst() {
    let counter = SharedCounter::new(1);
    let site = Site::new(2, Some(counter.sides[0]), None);
    let since = Instant::now();
    let mut before = 0;
    // The rate is 500 units a second: units that are added meanwhile are used, too.
    while before * 6 < 1_000 + (since.elapsed().as_secs_f64() * 500.0) as usize - 60 {
        before += site.count_granted(0, 1, "lille", 20) + site.count_granted(1, 1, "lille", 20);
        assert!(since.elapsed() < TIMEOUT, "the bucket is used up");
    }
    counter.replace(false);
    let since = Instant::now();
    let mut after = 0;
    while since.elapsed() < Duration::from_millis(700) {
        after += site.count_granted(0, 1, "lille", 10) + site.count_granted(1, 1, "lille", 10);
    }
    let units_added = since.elapsed().as_secs_f64() * 500.0;
    println!(
        "{} units granted in {:?} after the counter was replaced",
        after * 6,
        since.elapsed()
    );
    assert!(
        (after * 6) as f64 <= units_added + 500.0,
        "{} units granted in {:?} after the counter was replaced, at most {units_added} + 500 allowed",
        after * 6,
        since.elapsed()
    );
    assert!(
        (after * 6) as f64 >= units_added * 0.3,
        "{} units granted in {:?} after the counter was replaced, at least 0.3 of {units_added} expected",
        after * 6,
        since.elapsed()
    );
    site.until_logged("counter doubtful: a total went back", 1);
}

/// No request waits for a silent counter, and the log reports its loss once, and its return.
#[test]
fn a_lost_counter_is_logged_once_and_delays_no_request() {
    let counter = SharedCounter::new(3);
    let site = Site::new(2, Some(counter.sides[0]), None);
    site.count_granted(0, 1, "lille", 5);
    counter.set_silent(None, true);
    let (since, mut customers) = (Instant::now(), 2..);
    while site.logged("counter lost") == 0 {
        assert!(
            since.elapsed() < TIMEOUT,
            "the log reports the state of the counter"
        );
        for customer in customers.by_ref().take(20) {
            let sent_at = Instant::now();
            assert_eq!(site.count_granted(0, customer, "lille", 1), 1);
            assert!(
                sent_at.elapsed() < Duration::from_secs(2),
                "the request is answered within 2 s"
            );
        }
    }
    for customer in 0..200 {
        site.count_granted(0, customer, "lille", 1);
    }
    assert_eq!(site.logged("counter lost"), 1);
    counter.set_silent(None, false);
    let since = Instant::now();
    while site.logged("counter answers again") == 0 {
        assert!(
            since.elapsed() < TIMEOUT,
            "the log reports the state of the counter"
        );
        for customer in 0..20 {
            site.count_granted(0, customer, "small", 1);
        }
        sleep(Duration::from_millis(20));
    }
}

/// A total that is not a number affects only its own call: the connection stays open for all others.
#[test]
fn a_total_that_is_not_a_number_affects_no_other_name() {
    let counter = SharedCounter::new(1);
    counter.set_answer_fault(Some((50, AnswerFault::NotANumber)));
    let site = Site::new(2, Some(counter.sides[0]), None);
    for customer in 0..100 {
        assert_eq!(site.count_granted(0, customer, "lille", 1), 1);
    }
    let (calls, connections) = (counter.calls(), counter.connections());
    assert!(calls >= 20, "{calls} calls, expected 20 or more");
    assert!(
        connections <= 8,
        "{connections} connections for {calls} calls"
    );
}

/// Returns UDP addresses of this test's own: a port that was free a moment ago could be taken by another test.
fn own_addresses(gateways: u8) -> Vec<SocketAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let first = NEXT.fetch_add(gateways, Ordering::SeqCst);
    let address = |n| {
        (
            [127, 128 + (process >> 8) as u8 % 64, process as u8, n],
            7_400,
        )
            .into()
    };
    (first..first + gateways).map(address).collect()
}

fn write_peers_file(gateways: u8) -> PathBuf {
    let key = write_config_file("a key that is known to nobody but the test\n");
    let addresses: Vec<String> = own_addresses(gateways)
        .iter()
        .map(|a| format!("\"{a}\""))
        .collect();
    write_config_file(&format!(
        "[peers]\ngateways = [{}]\nkey_file = \"{}\"\ntick_ms = 20\n",
        addresses.join(", "),
        key.display()
    ))
}

/// Without a counter, a bucket of 6 units that is used up at one gateway is used up at the other; this still
/// holds after either of them has restarted without state.
#[test]
fn units_used_at_one_gateway_count_at_the_others_also_after_a_restart() {
    let mut site = Site::new(2, None, Some(write_peers_file(2)));
    (0..2).for_each(|n| site.until_logged(&format!("member gateway-{n}: ready"), 1));
    sleep(Duration::from_millis(500));
    assert_eq!(
        site.count_granted(0, 1, "small", 3),
        1,
        "one gateway grants the whole bucket"
    );
    sleep(Duration::from_millis(500));
    assert_eq!(site.count_granted(1, 1, "small", 3), 0);
    for restarted in 0..2 {
        let ready = format!("member gateway-{restarted}: ready");
        let times = site.logged(&ready);
        site.gateways.remove(restarted);
        let gateway = site.start(restarted, 2);
        site.gateways.insert(restarted, gateway);
        // The restarted gateway and the other one receive each other's messages.
        site.until_logged(&ready, times + 1);
        sleep(Duration::from_millis(500));
        assert_eq!(
            (
                site.count_granted(0, 1, "small", 3),
                site.count_granted(1, 1, "small", 3)
            ),
            (0, 0)
        );
    }
    // Another customer is served.
    assert_eq!(site.count_granted(1, 2, "small", 1), 1);
}

#[test]
fn check_reports_a_mistake_in_the_peers_table_by_its_key() {
    let discovery = Discovery::new("");
    let short = write_config_file("too short");
    let cases = [
        ("gateways = [\"127.0.0.1:1\"]\n", "peers.gateways"),
        (
            "gateways = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n",
            "peers.key_file is missing",
        ),
        (
            &format!(
                "gateways = [\"127.0.0.1:1\", \"x\"]\nkey_file = \"{}\"\n",
                short.display()
            ),
            "fewer than 32 bytes",
        ),
        (
            &format!(
                "gateways = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nkey_file = \"{}\"\ntick_ms = 1\n",
                short.display()
            ),
            "tick_ms is 1",
        ),
    ];
    for (text, expected) in cases {
        let file = write_config_file(&format!("[peers]\n{text}"));
        let config = write_config_file(&config_text(discovery.address, None, 2, ""));
        let out = gateway_command(&config)
            .args([
                "--operator",
                file.to_str().expect("the temporary path is UTF-8"),
                "check",
            ])
            .output();
        let out =
            String::from_utf8_lossy(&out.expect("the gateway binary runs").stdout).to_string();
        assert!(out.contains(expected), "expected {expected:?} in {out:?}");
    }
}
