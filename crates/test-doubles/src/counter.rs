//! Test double of the counter service whose answers a test scripts.

use crate::http::TIMEOUT;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Parses a `bump` line into name, amount and lifetime, which is at most 60 s; `None` if the line is not such a call.
pub fn parse_bump(line: &str) -> Option<(&str, f64, Duration)> {
    let mut words = line.split(' ');
    let ("bump", name) = (words.next()?, words.next()?) else {
        return None;
    };
    let (amount, lifetime_ms) = (
        words.next()?.parse().ok()?,
        words.next()?.parse::<u64>().ok()?,
    );
    words
        .next()
        .is_none()
        .then_some((name, amount, Duration::from_millis(lifetime_ms.min(60_000))))
}

/// Counter service whose answers the test specifies and that passes on each line that it receives.
pub struct ScriptedCounter {
    pub address: SocketAddr,
    /// Lines received over all connections.
    pub lines: Receiver<String>,
}

impl ScriptedCounter {
    /// Starts the service. `answer` gets the number of the line, counted from 0 over all connections, and its text;
    /// it returns the answer and the delay before it, or `None` to close the connection.
    pub fn new(
        answer: impl Fn(u64, &str) -> Option<(Duration, String)> + Send + Sync + 'static,
    ) -> ScriptedCounter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let (line_sender, lines) = channel();
        let (answer, number) = (Arc::new(answer), Arc::new(AtomicU64::new(0)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (line_sender, answer, number) =
                    (line_sender.clone(), answer.clone(), number.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut write) = stream.try_clone() else {
                        return;
                    };
                    for line in BufReader::new(stream).lines().map_while(Result::ok) {
                        let _ = line_sender.send(line.clone());
                        let Some((delay, text)) =
                            answer(number.fetch_add(1, Ordering::SeqCst), &line)
                        else {
                            let _ = write.shutdown(std::net::Shutdown::Both);
                            return;
                        };
                        thread::sleep(delay);
                        let _ = write.write_all(format!("{text}\r\n").as_bytes());
                    }
                });
            }
        });
        ScriptedCounter { address, lines }
    }

    /// Returns the next line received.
    pub fn next_line(&self) -> String {
        self.lines
            .recv_timeout(TIMEOUT)
            .expect("the gateway calls the counter within 20 s")
    }
}
