//! The count service.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Totals by name, with the end of each name's life.
type Totals = Mutex<HashMap<String, (f64, Instant)>>;

fn bump(totals: &Totals, name: &str, amount: f64, life_ms: u64) -> f64 {
    let now = Instant::now();
    let end = now + Duration::from_millis(life_ms.clamp(1, 60_000));
    let mut totals = totals.lock().expect("no thread panics");
    let total = totals.entry(name.to_string()).or_insert((0.0, end));
    if total.1 <= now {
        *total = (0.0, end);
    }
    total.0 += amount;
    total.0
}

fn reply(totals: &Totals, line: &str) -> String {
    match line.split_whitespace().collect::<Vec<_>>()[..] {
        ["ping"] => "pong".to_string(),
        ["bump", name, amount, life] => match (amount.parse(), life.parse()) {
            (Ok(amount), Ok(life)) => format!("ok {}", bump(totals, name, amount, life)),
            _ => "error".into(),
        },
        _ => "error".into(),
    }
}

/// Starts a counter that answers every call after 1 ms.
pub fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let totals: Arc<Totals> = Arc::default();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let totals = totals.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else {
                    return;
                };
                let mut stream = stream;
                for line in BufReader::new(clone).lines().map_while(Result::ok) {
                    std::thread::sleep(Duration::from_millis(1));
                    let reply = reply(&totals, &line);
                    if stream.write_all(format!("{reply}\r\n").as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
