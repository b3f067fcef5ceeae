//! An upgrade whose new process fails to start, in a fleet with one policy for all.
use review_standins_2::*;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const GATEWAYS: usize = 3;
/// A gateway that rejects all of so many requests for so long, with no attempt, does not carry on.
const SPAN_MS: f64 = 4_000.0;
const SPAN_REQUESTS: usize = 15;
/// Time within which a new process says yes.
const YES_MS: f64 = 6_000.0;

/// The operator's file of a gateway. The first one leaves its port to the system, as docs/operators/upgrade.md asks.
fn operator_file(me: usize, ports: &[String]) -> String {
    let listen = if me == 0 { "127.0.0.1:0" } else { &ports[me] };
    format!(
        "[fleet]\nname = \"gw-{me}\"\nlisten = \"{listen}\"\nseeds = [\"{}\", \"{}\"]\nkey_file = \"fleet.key\"\n\
         [policy]\nkeepers = [\"gw-0\", \"gw-1\", \"gw-2\"]\nfolder = \"policy-{me}\"\n",
        ports[1], ports[2]
    )
}

fn program(arguments: &[&str]) {
    let output = std::process::Command::new("target/release/frosthatch")
        .args(arguments)
        .output();
    if !output.as_ref().is_ok_and(|o| o.status.success()) {
        record::finish(2, &format!("{arguments:?} failed: {output:?}"));
    }
}

fn is_ready(console: &str) -> bool {
    let address = console.parse().expect("the address is valid");
    let text = "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";
    http::call(address, text, Duration::from_secs(1)).is_some_and(|m| m.status == 200)
}

fn main() {
    record::begin(Duration::from_secs(90));
    // Times of all attempts; only the first gateway gets requests.
    let attempts: Arc<Mutex<Vec<f64>>> = Arc::default();
    let targets: Vec<String> = (0..4)
        .map(|s| {
            let attempts = attempts.clone();
            let address = http::serve(move |r| {
                let trace = r.header("x-trace-id").to_string();
                record::note(&format!("node-{s} runs {trace}"));
                attempts.lock().unwrap().push(record::now_ms());
                http::Reply::Ok(10, trace)
            });
            agent::entry(&format!("node-{s}"), address, s / 2, "Ready")
        })
        .collect();
    let agent = agent::Agent::start(&targets);
    let folder = record::folder();
    let key = folder.join("fleet.key");
    std::fs::write(&key, "0123456789abcdef0123456789abcdef").unwrap();
    let _ = std::process::Command::new("chmod")
        .arg("600")
        .arg(&key)
        .status();
    let sockets: Vec<_> = (0..GATEWAYS)
        .map(|_| std::net::UdpSocket::bind("127.0.0.1:0").expect("a port is free"))
        .collect();
    let ports: Vec<String> = sockets
        .iter()
        .map(|s| s.local_addr().unwrap().to_string())
        .collect();
    drop(sockets);
    let listen = gateway::free_address();
    let consoles: Vec<String> = (0..=GATEWAYS).map(|_| gateway::free_address()).collect();
    let config = |me: usize, console: &str| {
        let mut config = gateway::Config::new(me, GATEWAYS, agent.address);
        if me == 0 {
            config.listen = listen.clone();
        }
        config.console = Some(console.into());
        config
    };
    let gateways: Vec<gateway::Gateway> = (0..GATEWAYS)
        .map(|me| {
            let file = operator_file(me, &ports);
            let path = folder.join(format!("init-{me}.toml"));
            std::fs::write(&path, &file).unwrap();
            let name = format!("gw-{me}");
            let path = path.display().to_string();
            program(&["policy", "init", "--name", &name, "--operator", &path]);
            gateway::Gateway::start(&config(me, &consoles[me]), Some(&file), &format!("n{me}"))
        })
        .collect();
    gateways.iter().for_each(gateway::Gateway::wait_ready);
    record::sleep_ms(3_000);
    let address = gateways[0].address;
    let end = record::now_ms() + 24_000.0;
    // (time, status) of each answer.
    let answers: Arc<Mutex<Vec<(f64, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..4)
        .map(|c| {
            let answers = answers.clone();
            std::thread::spawn(move || {
                while record::now_ms() < end {
                    let trace = http::trace();
                    let text = format!("GET /balance-check HTTP/1.1\r\nHost: b\r\nX-Trace-Id: {trace}\r\nX-Qos: balance-check\r\nX-Tier: ekstra-stor\r\nX-Api-Key: {:016x}\r\nX-Expires-In: 2.0\r\nX-Call-Terms: units=1,spread=1,first=0\r\nConnection: close\r\n\r\n", 1000 + c);
                    let answer = http::call(address, &text, Duration::from_secs(3));
                    let status = answer.map_or(0, |a| a.status);
                    record::note(&format!("client {trace}: {status}"));
                    answers.lock().unwrap().push((record::now_ms(), status));
                    record::sleep_ms(200);
                }
            })
        })
        .collect();
    record::sleep_ms(2_000);
    record::note("a new process of the first gateway is started");
    let new_console = &consoles[GATEWAYS];
    let file = operator_file(0, &ports);
    let mut new_config = config(0, new_console);
    if record::has_trouble() {
        // The start fails: nobody listens where this process looks for discovery, so it never says yes.
        new_config.discovery = gateway::free_address().parse().unwrap();
    }
    let mut new = gateway::Gateway::start(&new_config, Some(&file), "n0-new");
    let started = record::now_ms();
    while !is_ready(new_console) && record::now_ms() < started + YES_MS && new.ended().is_none() {
        record::sleep_ms(10);
    }
    if is_ready(new_console) {
        record::note("the new process says yes");
        gateways[0].signal("-TERM");
    } else {
        record::note("the new process has not said yes in time, and is ended");
        new.signal("-KILL");
        record::sleep_ms(50);
        record::note(&format!("the new process has ended: {:?}", new.ended()));
    }
    let changed = record::now_ms();
    clients.into_iter().for_each(|c| c.join().unwrap());
    record::note(&format!(
        "the first process says ready: {}",
        is_ready(&consoles[0])
    ));
    let attempts = attempts.lock().unwrap();
    let answers = answers.lock().unwrap();
    let before = answers
        .iter()
        .filter(|(at, s)| *at < started && *s == 200)
        .count();
    // The longest span without a served request or an attempt, and what was answered in it.
    let mut marks: Vec<f64> = attempts
        .iter()
        .copied()
        .filter(|at| *at > changed)
        .collect();
    marks.insert(0, changed);
    marks.push(end);
    marks.sort_by(f64::total_cmp);
    let (begin, finish) = marks
        .windows(2)
        .map(|w| (w[0], w[1]))
        .max_by(|a, b| (a.1 - a.0).total_cmp(&(b.1 - b.0)))
        .unwrap();
    let rejected = answers
        .iter()
        .filter(|(at, _)| *at > begin && *at < finish)
        .count();
    let text = format!(
        "{before} served before; afterwards the gateway made no attempt for {:.1} s on end, in which {rejected} requests were answered without one",
        (finish - begin) / 1e3
    );
    if before < 20 {
        record::finish(2, &text);
    }
    let is_broken = finish - begin >= SPAN_MS && rejected >= SPAN_REQUESTS;
    record::finish(i32::from(is_broken), &text)
}
