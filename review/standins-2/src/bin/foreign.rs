//! Servers that stand still now and then, and that send a second copy of some answers.
use review_standins_2::*;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const SERVERS: u64 = 12;
/// Every server of the standing half stands still for so long, in every such period.
const STANDS_MS: f64 = 250.0;
const PERIOD_MS: f64 = 3_000.0;
/// A second answer follows the first after so long.
const SECOND_AFTER_MS: u64 = 20;
/// One answer in so many has a second copy.
const SPOILT_EVERY: u64 = 4;

static ANSWERS: AtomicU64 = AtomicU64::new(0);
static SECONDS: AtomicU64 = AtomicU64::new(0);

/// Waits while server `s` stands still.
fn wait_while_standing(s: u64) {
    if !record::has_trouble() || s % 2 == 1 {
        return;
    }
    let begin = s as f64 * PERIOD_MS / SERVERS as f64;
    let phase = (record::now_ms() + PERIOD_MS - begin) % PERIOD_MS;
    if phase < STANDS_MS {
        record::sleep_ms((STANDS_MS - phase) as u64 + 1);
    }
}

fn serve(s: u64) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else {
                    return;
                };
                let (mut reader, mut stream) = (BufReader::new(clone), stream);
                while let Some(request) = http::read_message(&mut reader) {
                    wait_while_standing(s);
                    let trace = request.header("x-trace-id").to_string();
                    record::note(&format!("node-{s} runs {trace}"));
                    record::sleep_ms(60);
                    wait_while_standing(s);
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{trace}",
                        trace.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                    let is_spoilt = record::has_trouble()
                        && ANSWERS.fetch_add(1, Ordering::SeqCst) % SPOILT_EVERY == 0;
                    if is_spoilt {
                        let first = record::now_ms();
                        record::sleep_ms(SECOND_AFTER_MS);
                        wait_while_standing(s);
                        SECONDS.fetch_add(1, Ordering::SeqCst);
                        record::note(&format!(
                            "node-{s} sends its answer to {trace} again, {:.0} ms after the first",
                            record::now_ms() - first
                        ));
                        if stream.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

fn main() {
    record::begin(Duration::from_secs(115));
    let targets: Vec<String> = (0..SERVERS)
        .map(|s| agent::entry(&format!("node-{s}"), serve(s), s as u32 / 2, "Ready"))
        .collect();
    let agent = agent::Agent::start(&targets);
    let gateways: Vec<_> = (0..2)
        .map(|me| {
            let config = gateway::Config::new(me, 2, agent.address);
            gateway::Gateway::start(&config, None, &format!("n{me}"))
        })
        .collect();
    gateways.iter().for_each(|g| g.wait_ready());
    let end = record::now_ms() + 100_000.0;
    let clients: Vec<_> = (0..46)
        .map(|c| {
            let address = gateways[c % 2].address;
            std::thread::spawn(move || {
                let (mut served, mut other, mut foreign, mut client) = (0, 0, 0, None);
                while record::now_ms() < end {
                    let Some(mut open) = client.take().or_else(|| http::Client::connect(address, Duration::from_secs(3))) else { continue };
                    let trace = http::trace();
                    let text = format!("GET /balance-check HTTP/1.1\r\nHost: b\r\nX-Trace-Id: {trace}\r\nX-Qos: balance-check\r\nX-Tier: ekstra-stor\r\nX-Api-Key: {:016x}\r\nX-Expires-In: 2.0\r\nX-Call-Terms: units=1,spread=2,first=0\r\n\r\n", 100 + c);
                    let answer = open.exchange(&text);
                    record::note(&format!("client {trace}: {:?}", answer.as_ref().map(|a| a.status)));
                    match answer {
                        Some(answer) => {
                            if answer.status != 200 {
                                other += 1;
                            } else if answer.body == trace {
                                served += 1;
                            } else {
                                foreign += 1;
                                record::note(&format!("BREAK: the client of {trace} gets the answer to {}", answer.body));
                            }
                            client = Some(open);
                        }
                        None => other += 1,
                    }
                    record::sleep_ms(150);
                }
                (served, other, foreign)
            })
        })
        .collect();
    let (mut served, mut other, mut foreign) = (0, 0, 0);
    for c in clients {
        let (s, o, f) = c.join().unwrap();
        served += s;
        other += o;
        foreign += f;
    }
    let text = format!("{served} served, {other} others, {} second answers, {foreign} requests served with the answer to another", SECONDS.load(Ordering::SeqCst));
    if served == 0 {
        record::finish(2, &text);
    }
    record::finish(i32::from(foreign > 0), &text)
}
