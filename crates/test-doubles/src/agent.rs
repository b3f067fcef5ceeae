//! Test double of the list agent, which serves the endpoint list to gateways.

use crate::http::{read_message, TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How [`Discovery`] answers calls.
#[derive(Clone, Copy, PartialEq)]
pub enum DiscoveryMode {
    /// Answers each call with the latest list or change; a watch without news is answered after 500 ms, whatever
    /// its `hold_ms`.
    Answering,
    /// Leaves calls open until the mode changes.
    Silent,
    /// Answers with a body that is not an endpoint list.
    InvalidBody,
    /// Answers calls that don't wait for a change, and never answers calls that do (watches).
    IgnoresWatches,
    /// Simulates a service that is down: never answers a call that is open while this mode is set, even after the
    /// mode changes (to a mode other than `InvalidBody`).
    Down,
}

/// The published endpoint list and how it is served.
struct DiscoveryState {
    rev: u64,
    /// `targets` is the whole list; otherwise it holds changes to the previous revision.
    all: bool,
    targets: String,
    mode: DiscoveryMode,
    calls: u64,
    /// Time by which each answer is delayed.
    delay: Duration,
}

/// Test double of the discovery service: answers each call with the latest list or change that was published.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

impl Discovery {
    /// Starts the service with a whole list of `targets`, JSON objects separated by commas.
    pub fn new(targets: &str) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let state = DiscoveryState {
            rev: 1,
            all: true,
            targets: targets.into(),
            mode: DiscoveryMode::Answering,
            calls: 0,
            delay: Duration::ZERO,
        };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Discovery { address, state }
    }

    /// Changes the mode, also for calls that are open.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        self.state
            .lock()
            .expect("no thread panics while it holds the state")
            .mode = mode;
    }

    /// Delays each answer by this much from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state
            .lock()
            .expect("no thread panics while it holds the state")
            .delay = delay;
    }

    /// Publishes a change, or a whole list if `all` is set, and waits until the gateway has fetched it and called
    /// again.
    pub fn publish_and_wait(&self, all: bool, targets: &str) {
        self.publish(all, targets);
        self.wait_for_calls(2);
    }

    /// Publishes a change or a whole list and returns at once. A change that is not fetched before the next one is
    /// published is never sent.
    pub fn publish(&self, all: bool, targets: &str) {
        let mut state = self
            .state
            .lock()
            .expect("no thread panics while it holds the state");
        (state.rev, state.all, state.targets) = (state.rev + 1, all, targets.into());
    }

    /// Waits until the gateway has made `times` more calls.
    pub fn wait_for_calls(&self, times: u64) {
        let calls = || {
            self.state
                .lock()
                .expect("no thread panics while it holds the state")
                .calls
        };
        let (calls_before, start) = (calls(), Instant::now());
        while calls() < calls_before + times {
            assert!(
                start.elapsed() < TIMEOUT,
                "the gateway makes {times} more calls to discovery within {TIMEOUT:?}"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Answers the calls of one connection as the current mode says.
fn serve(stream: TcpStream, state: &Mutex<DiscoveryState>) {
    let Ok(mut write) = stream.try_clone() else {
        return;
    };
    let mut read = BufReader::new(stream);
    while let Some(message) = read_message(&mut read) {
        state
            .lock()
            .expect("no thread panics while it holds the state")
            .calls += 1;
        let from = message
            .line
            .split_once("from=")
            .and_then(|(_, r)| r.split('&').next()?.parse::<u64>().ok());
        let is_watch = from.is_some() && !message.line.contains("hold_ms=0 ");
        let (received, mut never_answered) = (Instant::now(), false);
        let body = loop {
            let state = state
                .lock()
                .expect("no thread panics while it holds the state");
            let has_update = from.is_none_or(|from| from < state.rev);
            match state.mode {
                DiscoveryMode::Down => never_answered = true,
                DiscoveryMode::IgnoresWatches if is_watch => never_answered = true,
                DiscoveryMode::InvalidBody => break "{\"rev\":true}".to_string(),
                DiscoveryMode::Answering | DiscoveryMode::IgnoresWatches
                    if has_update && !never_answered =>
                {
                    let all = state.all || from.is_none();
                    break format!(
                        "{{\"rev\":{},\"all\":{all},\"targets\":[{}]}}",
                        state.rev, state.targets
                    );
                }
                DiscoveryMode::Answering | DiscoveryMode::IgnoresWatches
                    if !never_answered
                        && (!is_watch || received.elapsed() > Duration::from_millis(500)) =>
                {
                    break format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", state.rev);
                }
                _ => {}
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        };
        let delay = state
            .lock()
            .expect("no thread panics while it holds the state")
            .delay;
        thread::sleep(delay);
        let _ = write!(
            write,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
    }
}

/// Returns the JSON object of an endpoint list entry with `boot_ms` 0.
pub fn endpoint_entry(uid: &str, address: SocketAddr, cell: u64, state: &str) -> String {
    endpoint_entry_with_boot(uid, address, cell, state, 0)
}

/// Returns the JSON object of an endpoint list entry.
pub fn endpoint_entry_with_boot(
    uid: &str,
    address: SocketAddr,
    cell: u64,
    state: &str,
    boot_ms: u128,
) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"hall-a","model":"m","pod_group":{cell},"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
    )
}
