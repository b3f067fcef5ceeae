//! Diameter servers that hold requests until a test answers them.
#![allow(dead_code)]

use frosthatch_diameter::codec::Message;
use frosthatch_test_doubles::diameter::*;
use frosthatch_test_doubles::TIMEOUT;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which a test checks what it waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A server that holds its requests unanswered while `is_holding` is set.
pub struct HoldingServer {
    pub server: DiameterServer,
    pub host: &'static str,
    pub is_holding: Arc<AtomicBool>,
}

impl HoldingServer {
    pub fn new(host: &'static str) -> HoldingServer {
        let is_holding = Arc::new(AtomicBool::new(false));
        let holds = is_holding.clone();
        let answer =
            move |ccr: &Message| (!holds.load(Ordering::SeqCst)).then(|| success_answer(ccr, host));
        HoldingServer {
            server: DiameterServer::new(host, answer),
            host,
            is_holding,
        }
    }

    /// Answers a held request on the connection to the gateway.
    pub fn answer(&self, held: &Message) {
        self.send(&success_answer(held, self.host));
    }

    /// Answers a held request with a Result-Code.
    pub fn answer_with(&self, held: &Message, result_code: u32) {
        self.send(&answer_with_result(held, self.host, result_code));
    }

    fn send(&self, answer: &Message) {
        let answer = answer.encode();
        for stream in self.server.streams.lock().expect("not poisoned").iter_mut() {
            let _ = stream.write_all(&answer);
        }
    }

    /// Returns whether the gateway has ended every connection.
    pub fn is_disconnected(&self) -> bool {
        let streams = self.server.streams.lock().expect("not poisoned");
        streams.iter().all(has_ended)
    }
}

fn has_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Waits until one of the servers has received a request. Returns it, its server, and the other server.
pub fn next_held<'a>(
    a: &'a HoldingServer,
    b: &'a HoldingServer,
) -> (Message, &'a HoldingServer, &'a HoldingServer) {
    let since = Instant::now();
    loop {
        assert!(since.elapsed() < TIMEOUT, "a server receives the request");
        for (server, other) in [(a, b), (b, a)] {
            if let Ok(held) = server.server.requests.recv_timeout(POLL_INTERVAL) {
                return (held, server, other);
            }
        }
    }
}
