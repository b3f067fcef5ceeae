//! The shared counter, as a test scripts it.

use crate::http::LONG;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Name, amount and life of a call; none: it is none.
pub fn parse(line: &str) -> Option<(&str, f64, Duration)> {
    let mut words = line.split(' ');
    let ("bump", name) = (words.next()?, words.next()?) else {
        return None;
    };
    let (amount, life) = (
        words.next()?.parse().ok()?,
        words.next()?.parse::<u64>().ok()?,
    );
    words
        .next()
        .is_none()
        .then_some((name, amount, Duration::from_millis(life.min(60_000))))
}

/// A counter whose answer to each line is up to the test; none closes the connection. Answers after a delay.
pub struct Counter {
    pub address: SocketAddr,
    pub lines: Receiver<String>,
}

impl Counter {
    pub fn new(
        answer: impl Fn(u64, &str) -> Option<(Duration, String)> + Send + Sync + 'static,
    ) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, lines) = channel();
        let (answer, number) = (Arc::new(answer), Arc::new(AtomicU64::new(0)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (tell, answer, number) = (tell.clone(), answer.clone(), number.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut write) = stream.try_clone() else {
                        return;
                    };
                    for line in BufReader::new(stream).lines().map_while(Result::ok) {
                        let _ = tell.send(line.clone());
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
        Counter { address, lines }
    }

    pub fn line(&self) -> String {
        self.lines.recv_timeout(LONG).expect("a call comes")
    }
}
