//! The list agent, in whatever mood.

use crate::http::{read_message, LONG};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How discovery behaves at the moment.
#[derive(Clone, Copy, PartialEq)]
pub enum Mood {
    Telling,
    Silent,
    Nonsense,
    /// Calls that may wait are never answered, others are.
    DeafToWatches,
    /// As one that is down: what is called now is never answered, also not later.
    Down,
}

struct Told {
    rev: u64,
    all: bool,
    targets: String,
    mood: Mood,
    calls: u64,
    /// Each answer comes so much later.
    delay: Duration,
}

/// Tells every watch the last thing that it was given.
pub struct Discovery {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Discovery {
    pub fn new(targets: &str) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let told = Told {
            rev: 1,
            all: true,
            targets: targets.into(),
            mood: Mood::Telling,
            calls: 0,
            delay: Duration::ZERO,
        };
        let told = Arc::new(Mutex::new(told));
        let shared = told.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let told = shared.clone();
                thread::spawn(move || tell_list(stream, &told));
            }
        });
        Discovery { address, told }
    }

    pub fn mood(&self, mood: Mood) {
        self.told.lock().expect("discovery").mood = mood;
    }

    /// Each answer comes so much later from now on.
    pub fn delay(&self, delay: Duration) {
        self.told.lock().expect("discovery").delay = delay;
    }

    /// A change, or a whole list; returns once the gateway has been told and has asked again.
    pub fn tell(&self, all: bool, targets: &str) {
        self.post(all, targets);
        self.asked_again(2);
    }

    /// The same, and returns at once. A change that nobody asks for before the next is never told.
    pub fn post(&self, all: bool, targets: &str) {
        let mut told = self.told.lock().expect("discovery");
        (told.rev, told.all, told.targets) = (told.rev + 1, all, targets.into());
    }

    /// Waits until the gateway has asked so many times more.
    pub fn asked_again(&self, times: u64) {
        let calls = || self.told.lock().expect("discovery").calls;
        let (before, since) = (calls(), Instant::now());
        while calls() < before + times {
            assert!(since.elapsed() < LONG, "discovery is asked again");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn tell_list(stream: TcpStream, told: &Mutex<Told>) {
    let Ok(mut write) = stream.try_clone() else {
        return;
    };
    let mut read = BufReader::new(stream);
    while let Some(message) = read_message(&mut read) {
        told.lock().expect("discovery").calls += 1;
        let from = message
            .line
            .split_once("from=")
            .and_then(|(_, r)| r.split('&').next()?.parse::<u64>().ok());
        let waits = from.is_some() && !message.line.contains("hold_ms=0 ");
        let (since, mut lost) = (Instant::now(), false);
        let body = loop {
            let told = told.lock().expect("discovery");
            let news = from.is_none_or(|from| from < told.rev);
            match told.mood {
                Mood::Down => lost = true,
                Mood::DeafToWatches if waits => lost = true,
                Mood::Nonsense => break "{\"rev\":true}".to_string(),
                Mood::Telling | Mood::DeafToWatches if news && !lost => {
                    let all = told.all || from.is_none();
                    break format!(
                        "{{\"rev\":{},\"all\":{all},\"targets\":[{}]}}",
                        told.rev, told.targets
                    );
                }
                Mood::Telling | Mood::DeafToWatches
                    if !lost && (!waits || since.elapsed() > Duration::from_millis(500)) =>
                {
                    break format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", told.rev);
                }
                _ => {}
            }
            drop(told);
            thread::sleep(Duration::from_millis(5));
        };
        let delay = told.lock().expect("discovery").delay;
        thread::sleep(delay);
        let _ = write!(
            write,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
    }
}

pub fn target(uid: &str, address: SocketAddr, cell: u64, state: &str) -> String {
    started(uid, address, cell, state, 0)
}

pub fn started(uid: &str, address: SocketAddr, cell: u64, state: &str, boot_ms: u128) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"hall-a","model":"m","pod_group":{cell},"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
    )
}
