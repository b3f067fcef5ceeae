//! A customer with a ceiling, whose key is written in more than one way.
use review_standins_2::*;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The ceiling: 1.7 times the quota (55 units a second, 127 at once), with a slack of 10%.
const RATE: f64 = 93.5;
const DEPTH: f64 = 216.0;
const SLACK: f64 = 21.6;

fn main() {
    record::begin(Duration::from_secs(100));
    let arrivals: Arc<Mutex<Vec<(f64, f64)>>> = Arc::default();
    let begun: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut targets = Vec::new();
    for s in 0..8 {
        let (arrivals, begun) = (arrivals.clone(), begun.clone());
        let address = http::serve(move |r| {
            let units: f64 = r
                .body
                .strip_prefix("units=")
                .and_then(|u| u.parse().ok())
                .unwrap_or(0.0);
            let trace = r.header("x-trace-id");
            // The first attempt of a request takes its units from the ceiling, no further one does.
            if begun.lock().unwrap().insert(trace.to_string()) {
                arrivals.lock().unwrap().push((record::now_ms(), units));
            }
            record::note(&format!("s{s} runs {trace} units {units}"));
            http::Reply::Ok(10, "done".into())
        });
        targets.push(agent::entry(&format!("s-{s}"), address, s / 2, "Ready"));
    }
    let agent = agent::Agent::start(&targets);
    let counter = counter::start();
    let gateways: Vec<_> = (0..2)
        .map(|me| {
            let mut config = gateway::Config::new(me, 2, agent.address);
            config.counter = Some(counter);
            let ceiling = format!(
                "\"capDepth\":{DEPTH:.1},\"capSlack\":{SLACK:.1},\"ceilingRate\":{RATE:.1}"
            );
            config.settings = config.settings.replace(
                "\"capDepth\":326.0,\"capSlack\":33.0,\"ceilingRate\":150.0",
                &ceiling,
            );
            gateway::Gateway::start(&config, None, &format!("n{me}"))
        })
        .collect();
    gateways.iter().for_each(|g| g.wait_ready());
    record::sleep_ms(500);
    // One customer; with trouble, some clients write its number in capital letters.
    let forms: &[&str] = if record::has_trouble() {
        &["00000000abcdefab", "00000000ABCDEFAB"]
    } else {
        &["00000000abcdefab"]
    };
    let end = record::now_ms() + 40_000.0;
    let workers: Vec<_> = (0..24)
        .map(|w| {
            let (address, form) = (gateways[w % 2].address, forms[w / 2 % forms.len()]);
            std::thread::spawn(move || {
                let (mut served, mut refused) = (0, 0);
                let mut client = None;
                while record::now_ms() < end {
                    let mut c = match client.take().or_else(|| http::Client::connect(address, Duration::from_secs(3))) {
                        Some(c) => c,
                        None => continue,
                    };
                    let trace = http::trace();
                    let text = format!("POST /top-up HTTP/1.1\r\nHost: b\r\nX-Trace-Id: {trace}\r\nX-Qos: top-up\r\nX-Tier: ekstra-stor\r\nX-Api-Key: {form}\r\nX-Expires-In: 0.750\r\nIdempotency-Key: {trace}{trace}\r\nContent-Length: 7\r\nX-Call-Terms: units=6,spread=2,first=0\r\n\r\nunits=6");
                    let answer = c.exchange(&text);
                    record::note(&format!("client {form} {trace}: {}", answer.as_ref().map_or(0, |a| a.status)));
                    match answer {
                        Some(a) => {
                            if a.status == 200 { served += 1 } else { refused += 1 }
                            client = Some(c);
                        }
                        None => refused += 1,
                    }
                    record::sleep_ms(550);
                }
                (served, refused)
            })
        })
        .collect();
    let (mut served, mut refused) = (0, 0);
    for w in workers {
        let (s, r) = w.join().unwrap();
        served += s;
        refused += r;
    }
    let (mut store, mut last, mut lowest, mut total) = (DEPTH, 0.0, DEPTH, 0.0);
    for &(at, units) in arrivals.lock().unwrap().iter() {
        store = f64::min(DEPTH, store + (at - last) / 1e3 * RATE) - units;
        last = at;
        total += units;
        lowest = f64::min(lowest, store);
    }
    let limit = -(SLACK + RATE * 0.150);
    let text = format!("served {served}, refused {refused}, {total} units reached servers; lowest level of the ceiling's store {lowest:.1}, limit {limit:.1}");
    if total == 0.0 {
        record::finish(2, &text);
    }
    record::finish(i32::from(lowest < limit), &text)
}
