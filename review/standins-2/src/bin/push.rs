//! Servers begin to drain while the push session of DNS-SD is silent.
use review_standins_2::*;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SERVERS: usize = 8;

fn main() {
    record::begin(Duration::from_secs(100));
    // (time, server) of each attempt's first sight.
    let attempts: Arc<Mutex<Vec<(f64, usize)>>> = Arc::default();
    let dns = dns::Dns::start();
    let ids: Vec<String> = (0..SERVERS).map(|s| format!("node-{s}")).collect();
    for s in 0..SERVERS {
        let attempts = attempts.clone();
        let address = http::serve(move |r| {
            attempts.lock().unwrap().push((record::now_ms(), s));
            record::note(&format!("node-{s} runs {}", r.header("x-trace-id")));
            http::Reply::Ok(10, "done".into())
        });
        dns.replace(&[], &[(&ids[s], address, &["zone=hall-a"])]);
    }
    let agent = agent::Agent::start(&[]);
    let operator = format!(
        "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [\"{}\"]\nresolvers = [\"{}\"]\n[dns-sd.push]\nservers = [\"{}\"]\n",
        dns::SERVICE, dns.resolver, dns.push
    );
    let gateway = gateway::Gateway::start(
        &gateway::Config::new(0, 1, agent.address),
        Some(&operator),
        "n0",
    );
    gateway.wait_ready();
    let end = record::now_ms() + 20_000.0;
    let clients: Vec<_> = (0..8)
        .map(|c| {
            let address = gateway.address;
            std::thread::spawn(move || {
                let (mut served, mut other, mut client) = (0, 0, None);
                while record::now_ms() < end {
                    let Some(mut open) = client.take().or_else(|| http::Client::connect(address, Duration::from_secs(3))) else { continue };
                    let trace = http::trace();
                    let text = format!("GET /balance-check HTTP/1.1\r\nHost: b\r\nX-Trace-Id: {trace}\r\nX-Qos: balance-check\r\nX-Tier: mellem\r\nX-Api-Key: {:016x}\r\nX-Expires-In: 2.0\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", 100 + c);
                    let answer = open.exchange(&text);
                    record::note(&format!("client {trace}: {:?}", answer.as_ref().map(|a| a.status)));
                    match answer {
                        Some(answer) => {
                            if answer.status == 200 { served += 1 } else { other += 1 }
                            client = Some(open);
                        }
                        None => other += 1,
                    }
                    record::sleep_ms(190);
                }
                (served, other)
            })
        })
        .collect();
    record::sleep_ms(3_000);
    if dns.sessions() == 0 {
        record::finish(2, "the gateway opened no push session");
    }
    let silent_at = record::now_ms();
    if record::has_trouble() {
        dns.silence();
        record::note("all open push sessions fall silent");
    }
    record::sleep_ms(500);
    // A quarter of the servers.
    dns.set_txt(&["node-0", "node-1"], &["zone=hall-a", "state=draining"]);
    let told_at = if record::has_trouble() {
        silent_at + 6_000.0
    } else {
        record::now_ms()
    };
    record::note("node-0 and node-1 begin to drain");
    let (mut served, mut other) = (0, 0);
    for c in clients {
        let (s, o) = c.join().unwrap();
        served += s;
        other += o;
    }
    let limit = told_at + 500.0 + 50.0;
    let attempts = attempts.lock().unwrap();
    let late: Vec<f64> = attempts
        .iter()
        .filter(|(at, s)| *s < 2 && *at > limit)
        .map(|(at, _)| at - told_at)
        .collect();
    let text = format!(
        "{} attempts, {served} served, {other} others; {} attempts at draining servers later than 550 ms after the drain counts as told, the last {:.1} s after it",
        attempts.len(), late.len(), late.last().unwrap_or(&0.0) / 1e3
    );
    if served == 0 {
        record::finish(2, &text);
    }
    record::finish(i32::from(!late.is_empty()), &text)
}
