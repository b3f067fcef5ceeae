//! A planned restart while clients receive long answers.
use review_standins_2::*;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const PARTS: usize = 100;
const PART_BYTES: usize = 40_000;
/// The platform's SIGKILL: no sooner than the longest deadline (2 s) and 0.7 s after SIGTERM.
const KILL_AFTER_MS: u64 = 20_000;

/// Gives each answer of 4 MB in parts over 10 s.
fn serve(s: usize) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let Ok(clone) = stream.try_clone() else {
                    return;
                };
                let (mut reader, mut stream) = (BufReader::new(clone), stream);
                while let Some(request) = http::read_message(&mut reader) {
                    let trace = request.header("x-trace-id").to_string();
                    record::note(&format!("node-{s} runs {trace}"));
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                        PARTS * PART_BYTES
                    );
                    let mut result = stream.write_all(head.as_bytes());
                    for part in 0..PARTS {
                        result = result.and_then(|()| stream.write_all(&vec![b'a'; PART_BYTES]));
                        if result.is_err() {
                            record::note(&format!(
                                "node-{s} is cut off in its answer to {trace} after {part} parts"
                            ));
                            return;
                        }
                        record::sleep_ms(100);
                    }
                    record::note(&format!("node-{s} has given its answer to {trace}"));
                }
            });
        }
    });
    address
}

/// Returns the answer's status and the number of the body's bytes that came.
fn receive(mut stream: TcpStream) -> (u16, usize) {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 65_536]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(n) => bytes.extend(&buffer[..n]),
        }
        let head = bytes.windows(4).position(|w| w == b"\r\n\r\n");
        if head.is_some_and(|head| bytes.len() >= head + 4 + PARTS * PART_BYTES) {
            break;
        }
    }
    let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return (0, 0);
    };
    let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    (
        text.split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0),
        bytes.len() - head - 4,
    )
}

fn main() {
    record::begin(Duration::from_secs(60));
    let targets: Vec<String> = (0..6)
        .map(|s| agent::entry(&format!("node-{s}"), serve(s), s as u32 / 2, "Ready"))
        .collect();
    let agent = agent::Agent::start(&targets);
    let mut gateway =
        gateway::Gateway::start(&gateway::Config::new(0, 1, agent.address), None, "n0");
    gateway.wait_ready();
    let clients: Vec<_> = (0..6)
        .map(|c| {
            let address = gateway.address;
            std::thread::spawn(move || {
                let Ok(mut stream) = TcpStream::connect(address) else { return (0, 0) };
                let trace = http::trace();
                let text = format!("GET /balance-check HTTP/1.1\r\nHost: b\r\nX-Trace-Id: {trace}\r\nX-Qos: balance-check\r\nX-Tier: mellem\r\nX-Api-Key: {:016x}\r\nX-Expires-In: 2.0\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", 100 + c);
                let _ = stream.write_all(text.as_bytes());
                let (status, count) = receive(stream);
                record::note(&format!("client of {trace}: status {status}, {count} of {} bytes", PARTS * PART_BYTES));
                (status, count)
            })
        })
        .collect();
    record::sleep_ms(1_000);
    if record::has_trouble() {
        gateway.signal("-TERM");
        let sent = record::now_ms();
        while record::now_ms() < sent + KILL_AFTER_MS as f64 {
            if let Some(status) = gateway.ended() {
                record::note(&format!(
                    "the gateway has ended {:.2} s after SIGTERM: {status}",
                    (record::now_ms() - sent) / 1e3
                ));
                break;
            }
            record::sleep_ms(10);
        }
    }
    let results: Vec<(u16, usize)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let whole = results
        .iter()
        .filter(|(s, n)| *s == 200 && *n == PARTS * PART_BYTES)
        .count();
    let cut = results
        .iter()
        .filter(|(s, n)| *s == 200 && *n < PARTS * PART_BYTES)
        .count();
    let text = format!(
        "{} requests, {whole} whole answers, {cut} answers cut off by the gateway's end",
        results.len()
    );
    if whole + cut == 0 {
        record::finish(2, &text);
    }
    record::finish(i32::from(cut > 0), &text)
}
