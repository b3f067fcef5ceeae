//! Discovery's agent: whole lists, and watches that answer when the list changes.

use crate::http::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Entry of the list.
pub fn entry(uid: &str, endpoint: SocketAddr, pod: u32, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"hall-a","model":"std-2core","pod_group":{pod},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// Entry of a server that speaks Diameter.
pub fn diameter_entry(uid: &str, endpoint: SocketAddr, pod: u32, state: &str) -> String {
    entry(uid, endpoint, pod, state)
        .replace("\"boot_ms\":0", "\"boot_ms\":0,\"proto\":\"diameter\"")
}

#[derive(Clone)]
pub struct Agent {
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    pub address: SocketAddr,
}

impl Agent {
    pub fn start(targets: &[String]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let state = Arc::new((Mutex::new((2, targets.join(","))), Condvar::new()));
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || {
                    let Ok(clone) = stream.try_clone() else {
                        return;
                    };
                    let (mut reader, mut stream) = (BufReader::new(clone), stream);
                    while let Some(request) = read_message(&mut reader) {
                        let parameter = |name: &str| {
                            let query = request.path().split_once('?').map_or("", |(_, q)| q);
                            query.split('&').find_map(|p| {
                                p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok()
                            })
                        };
                        let (lock, changed) = &*shared;
                        let mut guard = lock.lock().expect("no thread panics");
                        let mut is_change = true;
                        if let Some(from) = parameter("from") {
                            let end = Instant::now()
                                + Duration::from_millis(
                                    parameter("hold_ms").unwrap_or(0).min(60_000),
                                );
                            while guard.0 <= from && Instant::now() < end {
                                guard = changed
                                    .wait_timeout(guard, end - Instant::now())
                                    .expect("no thread panics")
                                    .0;
                            }
                            is_change = guard.0 > from;
                        }
                        let body = if is_change {
                            format!(
                                r#"{{"rev":{},"all":true,"targets":[{}]}}"#,
                                guard.0, guard.1
                            )
                        } else {
                            format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, guard.0)
                        };
                        drop(guard);
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if stream.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Agent { state, address }
    }

    /// Replaces the list.
    pub fn set(&self, targets: &[String]) {
        let (lock, changed) = &*self.state;
        let mut guard = lock.lock().expect("no thread panics");
        guard.0 += 1;
        guard.1 = targets.join(",");
        changed.notify_all();
    }
}
