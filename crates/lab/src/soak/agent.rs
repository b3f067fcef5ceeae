//! The list agent of each gateway, in whatever mood; and the list that all of them tell.

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

/// How often an agent looks for news.
const LOOK: Duration = Duration::from_millis(5);
/// Calls of a time of trouble may be waited for so long.
const TROUBLE_LASTS: Duration = Duration::from_millis(2_000);
/// Whatever an agent does, a change counts as told after this.
pub const TOLD_WITHIN: Duration = Duration::from_secs(6);

/// How one gateway's agent behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mood {
    Telling = 0,
    /// Calls that wait are never answered, others are.
    DeafToWatches = 1,
    /// It answers nothing and learns nothing.
    Down = 2,
    /// Each answer takes over a second.
    Slow = 3,
    /// Calls that wait end by a close.
    EndsWatches = 4,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

/// The list of servers, as discovery has it.
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

/// One gateway's agent. It stands at two addresses, as a new configuration may move discovery.
pub struct Agent {
    gateway: usize,
    pub addresses: [SocketAddr; 2],
    mood: AtomicU8,
    /// The list as this agent has it.
    known: Mutex<(u64, String)>,
    /// Changes that the gateway has not heard of: which server, and the version that tells it.
    untold: Mutex<Vec<(String, u64)>>,
    /// When it last was in another mood than telling, or an answer of such a time was still on its way.
    troubled_at: Mutex<Option<Instant>>,
    history: Arc<History>,
}

impl Agent {
    pub fn start(on: &Handle, gateway: usize, history: &Arc<History>) -> Arc<Agent> {
        let listen = || {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            listener.set_nonblocking(true).expect("a listener");
            (listener.local_addr().expect("an address"), listener)
        };
        let (first, second) = (listen(), listen());
        let agent = Arc::new(Agent {
            gateway,
            addresses: [first.0, second.0],
            mood: AtomicU8::new(Mood::Telling as u8),
            known: Mutex::default(),
            untold: Mutex::default(),
            troubled_at: Mutex::default(),
            history: history.clone(),
        });
        for (_, listener) in [first, second] {
            let agent = agent.clone();
            on.spawn(async move {
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

    fn mood(&self) -> Mood {
        match self.mood.load(Ordering::SeqCst) {
            1 => Mood::DeafToWatches,
            2 => Mood::Down,
            3 => Mood::Slow,
            4 => Mood::EndsWatches,
            _ => Mood::Telling,
        }
    }

    /// Another mood; one that is back from being down learns the list as it is.
    pub fn set_mood(&self, mood: Mood, list: &List) {
        let was = self.mood();
        if was != Mood::Telling {
            self.note_trouble();
        }
        self.mood.store(mood as u8, Ordering::SeqCst);
        if was == Mood::Down && mood != Mood::Down {
            self.learn(list, None);
        }
    }

    fn note_trouble(&self) {
        *self.troubled_at.lock().expect("a time") = Some(Instant::now());
    }

    /// Whether news reach the gateway at once, for all that it does itself.
    fn tells_at_once(&self) -> bool {
        let troubled_at = *self.troubled_at.lock().expect("a time");
        self.mood() == Mood::Telling && troubled_at.is_none_or(|at| at.elapsed() > TROUBLE_LASTS)
    }

    /// Learns the list as it is now. `drains`: the server that this change takes away.
    pub fn learn(&self, list: &List, drains: Option<&str>) {
        let now = Instant::now();
        if let Some(uid) = drains {
            self.untold
                .lock()
                .expect("changes")
                .push((uid.to_string(), list.rev));
        }
        if self.mood() == Mood::Down {
            return;
        }
        *self.known.lock().expect("a list") = (list.rev, list.text());
        let mut untold = self.untold.lock().expect("changes");
        let at_once = self.tells_at_once();
        // Else it counts when it is heard, and at the latest then.
        let at = if at_once { now } else { now + TOLD_WITHIN };
        for (uid, _) in untold.iter() {
            let mut seen = self.history.seen();
            let told = seen.told.entry((self.gateway, uid.clone())).or_insert(at);
            *told = (*told).min(at);
        }
        if at_once {
            untold.clear();
        }
    }

    /// The list of this version was written to the gateway.
    fn written(&self, rev: u64) {
        let now = Instant::now();
        for (uid, _) in self
            .untold
            .lock()
            .expect("changes")
            .extract_if(.., |(_, since)| *since <= rev)
        {
            let mut seen = self.history.seen();
            let told = seen.told.entry((self.gateway, uid)).or_insert(now);
            *told = (*told).min(now);
        }
    }
}

/// The list and all agents.
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

    fn change(&self, drains: Option<&str>, change: impl FnOnce(&mut BTreeMap<String, Entry>)) {
        let mut list = self.list.lock().expect("a list");
        list.rev += 1;
        change(&mut list.entries);
        self.agents
            .iter()
            .for_each(|agent| agent.learn(&list, drains));
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

    pub fn set_mood(&self, gateway: usize, mood: Mood) {
        self.agents[gateway].set_mood(mood, &self.list.lock().expect("a list"));
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
        let waits = from.is_some() && hold.is_some_and(|hold| hold > 0);
        let (rev, text) = loop {
            let mood = agent.mood();
            // What is called while it is down is never answered.
            if mood == Mood::Down || mood == Mood::DeafToWatches && waits {
                sleep(Duration::from_secs(30)).await;
                return;
            }
            if mood == Mood::EndsWatches && waits {
                return;
            }
            let (rev, text) = agent.known.lock().expect("a list").clone();
            if from.is_none_or(|from| from < rev) {
                break (rev, text);
            }
            if Instant::now() >= until {
                break (0, format!(r#"{{"rev":{rev},"all":false,"targets":[]}}"#));
            }
            sleep(LOOK).await;
        };
        if agent.mood() == Mood::Slow {
            sleep(Duration::from_millis(1_200)).await;
            agent.note_trouble();
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if stream.write_all((head + &text).as_bytes()).await.is_err() {
            return;
        }
        agent.written(rev);
    }
}
