//! Endpoint list agents of the soak, one per gateway, with switchable fault modes, and the endpoint list that all of them serve.

use super::record::History;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::time::sleep;

/// Interval at which a waiting call checks for a new list.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time after a fault mode within which the gateway may still wait for calls that it made during the fault.
const FAULT_AFTERMATH: Duration = Duration::from_millis(2_000);
/// Time after which a gateway is considered to know a change, whatever its agent does.
pub const CHANGE_KNOWN_WITHIN: Duration = Duration::from_secs(6);

/// How the agent of one gateway behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Answers all calls.
    Normal = 0,
    /// Long polls are never answered; other calls are.
    IgnoresLongPolls = 1,
    /// Answers nothing and receives no list.
    Down = 2,
    /// Each answer takes more than one second.
    Slow = 3,
    /// Long polls end with a closed connection.
    ClosesLongPolls = 4,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
/// State of a server in the list.
pub enum State {
    Ready,
    Draining,
}

#[derive(Clone, Debug)]
struct Entry {
    endpoint: SocketAddr,
    cell: u64,
    boot_ms: u64,
    state: State,
}

/// The current endpoint list.
#[derive(Default)]
pub struct List {
    rev: u64,
    entries: BTreeMap<String, Entry>,
}

impl List {
    fn text(&self) -> String {
        let one = |(uid, e): (&String, &Entry)| {
            let state = if e.state == State::Ready {
                "Ready"
            } else {
                "Terminating"
            };
            format!(
                r#"{{"uid":"{uid}","endpoint":"{}","az":"hall-a","model":"m","pod_group":{},"state":"{state}","capacity_hint":1.0,"boot_ms":{}}}"#,
                e.endpoint, e.cell, e.boot_ms
            )
        };
        let all: Vec<String> = self.entries.iter().map(one).collect();
        format!(
            r#"{{"rev":{},"all":true,"targets":[{}]}}"#,
            self.rev,
            all.join(",")
        )
    }
}

/// The agent of one gateway. It listens on two addresses, since a reload may change the discovery address.
pub struct Agent {
    gateway: usize,
    pub addresses: [SocketAddr; 2],
    mode: AtomicU8,
    /// Version and text of the list that this agent serves.
    served_list: Mutex<(u64, String)>,
    /// Drains and removals that the gateway has not received: server, and the first list version with the change.
    undelivered_drains: Mutex<Vec<(String, u64)>>,
    /// When the agent last left a fault mode or finished an answer that such a mode had delayed.
    last_fault_at: Mutex<Option<Instant>>,
    history: Arc<History>,
}

impl Agent {
    pub fn start(handle: &Handle, gateway: usize, history: &Arc<History>) -> Arc<Agent> {
        let listen = || {
            let listener =
                std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
            listener
                .set_nonblocking(true)
                .expect("the listener can be made non-blocking");
            (
                listener
                    .local_addr()
                    .expect("a bound socket has a local address"),
                listener,
            )
        };
        let (first, second) = (listen(), listen());
        let agent = Arc::new(Agent {
            gateway,
            addresses: [first.0, second.0],
            mode: AtomicU8::new(Mode::Normal as u8),
            served_list: Mutex::default(),
            undelivered_drains: Mutex::default(),
            last_fault_at: Mutex::default(),
            history: history.clone(),
        });
        for (_, listener) in [first, second] {
            let agent = agent.clone();
            handle.spawn(async move {
                let Ok(listener) = TcpListener::from_std(listener) else {
                    return;
                };
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(stream, agent.clone()));
                }
            });
        }
        agent
    }

    fn mode(&self) -> Mode {
        match self.mode.load(Ordering::SeqCst) {
            1 => Mode::IgnoresLongPolls,
            2 => Mode::Down,
            3 => Mode::Slow,
            4 => Mode::ClosesLongPolls,
            _ => Mode::Normal,
        }
    }

    /// Changes the mode. An agent that leaves [`Mode::Down`] receives the current list.
    pub fn set_mode(&self, mode: Mode, list: &List) {
        let was = self.mode();
        if was != Mode::Normal {
            self.record_fault();
        }
        self.mode.store(mode as u8, Ordering::SeqCst);
        if was == Mode::Down && mode != Mode::Down {
            self.receive_list(list, None);
        }
    }

    fn record_fault(&self) {
        *self.last_fault_at.lock().expect("lock is not poisoned") = Some(Instant::now());
    }

    /// Returns whether changes reach the gateway at once: neither a fault mode nor its aftermath delays calls.
    fn delivers_at_once(&self) -> bool {
        let last_fault_at = *self.last_fault_at.lock().expect("lock is not poisoned");
        self.mode() == Mode::Normal && last_fault_at.is_none_or(|at| at.elapsed() > FAULT_AFTERMATH)
    }

    /// Receives the current list. `drained_or_removed` is the server that this change drains or
    /// removes, if any.
    pub fn receive_list(&self, list: &List, drained_or_removed: Option<&str>) {
        let now = Instant::now();
        if let Some(uid) = drained_or_removed {
            self.undelivered_drains
                .lock()
                .expect("lock is not poisoned")
                .push((uid.to_string(), list.rev));
        }
        if self.mode() == Mode::Down {
            return;
        }
        *self.served_list.lock().expect("lock is not poisoned") = (list.rev, list.text());
        let mut undelivered_drains = self
            .undelivered_drains
            .lock()
            .expect("lock is not poisoned");
        let at_once = self.delivers_at_once();
        // If the mode delays calls, the gateway knows the change once `record_delivery` reports the list, at the latest after
        // `CHANGE_KNOWN_WITHIN`.
        let at = if at_once {
            now
        } else {
            now + CHANGE_KNOWN_WITHIN
        };
        for (uid, _) in undelivered_drains.iter() {
            let mut observations = self.history.observations();
            let known_at = observations
                .drain_known_at
                .entry((self.gateway, uid.clone()))
                .or_insert(at);
            *known_at = (*known_at).min(at);
        }
        if at_once {
            undelivered_drains.clear();
        }
    }

    /// Records that the list of this version was written to the gateway.
    fn record_delivery(&self, rev: u64) {
        let now = Instant::now();
        for (uid, _) in self
            .undelivered_drains
            .lock()
            .expect("lock is not poisoned")
            .extract_if(.., |(_, since)| *since <= rev)
        {
            let mut observations = self.history.observations();
            let known_at = observations
                .drain_known_at
                .entry((self.gateway, uid))
                .or_insert(now);
            *known_at = (*known_at).min(now);
        }
    }
}

/// The endpoint list and all agents.
pub struct Discovery {
    pub agents: Vec<Arc<Agent>>,
    list: Mutex<List>,
}

impl Discovery {
    pub fn new(agents: Vec<Arc<Agent>>) -> Discovery {
        Discovery {
            agents,
            list: Mutex::default(),
        }
    }

    fn change(
        &self,
        drained_or_removed: Option<&str>,
        change: impl FnOnce(&mut BTreeMap<String, Entry>),
    ) {
        let mut list = self.list.lock().expect("lock is not poisoned");
        list.rev += 1;
        change(&mut list.entries);
        self.agents
            .iter()
            .for_each(|agent| agent.receive_list(&list, drained_or_removed));
    }

    pub fn add(&self, uid: &str, endpoint: SocketAddr, cell: u64, boot_ms: u64) {
        let entry = Entry {
            endpoint,
            cell,
            boot_ms,
            state: State::Ready,
        };
        self.change(None, |entries| {
            entries.insert(uid.into(), entry);
        });
    }

    pub fn drain(&self, uid: &str) {
        self.change(Some(uid), |entries| {
            if let Some(entry) = entries.get_mut(uid) {
                entry.state = State::Draining;
            }
        });
    }

    pub fn remove(&self, uid: &str) {
        self.change(Some(uid), |entries| {
            entries.remove(uid);
        });
    }

    pub fn set_mode(&self, gateway: usize, mode: Mode) {
        self.agents[gateway].set_mode(mode, &self.list.lock().expect("lock is not poisoned"));
    }
}

async fn serve(mut stream: TcpStream, agent: Arc<Agent>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
                return;
            }
        };
        let line = String::from_utf8_lossy(&buffer[..end])
            .lines()
            .next()
            .unwrap_or("")
            .to_string();
        buffer.drain(..end);
        let from = line
            .split_once("from=")
            .and_then(|(_, r)| r.split('&').next()?.parse::<u64>().ok());
        let hold = line
            .split_once("hold_ms=")
            .and_then(|(_, r)| r.split(' ').next()?.parse::<u64>().ok());
        let until = Instant::now() + Duration::from_millis(hold.unwrap_or(0));
        let is_long_poll = from.is_some() && hold.is_some_and(|hold| hold > 0);
        let (rev, text) = loop {
            let mode = agent.mode();
            // Calls made while the agent is down are never answered.
            if mode == Mode::Down || mode == Mode::IgnoresLongPolls && is_long_poll {
                sleep(Duration::from_secs(30)).await;
                return;
            }
            if mode == Mode::ClosesLongPolls && is_long_poll {
                return;
            }
            let (rev, text) = agent
                .served_list
                .lock()
                .expect("lock is not poisoned")
                .clone();
            if from.is_none_or(|from| from < rev) {
                break (rev, text);
            }
            if Instant::now() >= until {
                break (0, format!(r#"{{"rev":{rev},"all":false,"targets":[]}}"#));
            }
            sleep(LIST_CHECK_INTERVAL).await;
        };
        if agent.mode() == Mode::Slow {
            sleep(Duration::from_millis(1_200)).await;
            agent.record_fault();
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if stream.write_all((head + &text).as_bytes()).await.is_err() {
            return;
        }
        agent.record_delivery(rev);
    }
}
