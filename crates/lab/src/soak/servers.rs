//! Servers of the soak: each behind a fault proxy, each with a mood, and with a memory of keys that its cell shares.

use super::proxy::{self, Path};
use super::record::{Attempt, Class, History};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

/// Work of one request.
pub const WORK: Duration = Duration::from_millis(15);
/// Requests that a server works on at once.
pub const CORES: usize = 2;
/// How long servers remember a key.
pub const WINDOW: Duration = Duration::from_millis(750);

/// What a server does with what comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mood {
    Well = 0,
    /// Begins what comes and never answers.
    Hangs = 1,
    /// 500, after it has run.
    Fails = 2,
    /// Turned away, never run.
    TurnsAway = 3,
    /// Begins what comes, then resets the connection.
    Resets = 4,
    /// Answers, and closes each connection without saying so.
    Closes = 5,
    /// Answers without a length, and some of these are reset on the way.
    NoLength = 6,
    /// Ten times the work.
    Slow = 7,
}

impl Mood {
    fn of(number: u8) -> Mood {
        match number {
            1 => Mood::Hangs,
            2 => Mood::Fails,
            3 => Mood::TurnsAway,
            4 => Mood::Resets,
            5 => Mood::Closes,
            6 => Mood::NoLength,
            7 => Mood::Slow,
            _ => Mood::Well,
        }
    }
}

/// The keys that the servers of all cells remember.
pub type Memory = Arc<Mutex<HashMap<(u64, u64), Instant>>>;

struct Shared {
    uid: String,
    cell: u64,
    mood: AtomicU8,
    path: Path,
    cores: Semaphore,
    memory: Memory,
    history: Arc<History>,
}

pub struct Server {
    pub uid: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
}

impl Server {
    /// `fresh`: it starts now, and is cold.
    pub fn start(
        on: &Handle,
        uid: String,
        cell: u64,
        fresh: bool,
        memory: &Memory,
        history: &Arc<History>,
    ) -> Server {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a listener");
        let shared = Arc::new(Shared {
            uid: uid.clone(),
            cell,
            mood: AtomicU8::new(Mood::Well as u8),
            path: Path::default(),
            cores: Semaphore::new(CORES),
            memory: memory.clone(),
            history: history.clone(),
        });
        if fresh {
            history.seen().started.insert(uid.clone(), Instant::now());
        }
        let serving = shared.clone();
        let task = on.spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            let mut open = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        let (inner, arrivals) = proxy::between(&mut open, stream, serving.path.clone());
                        open.spawn(serve(inner, arrivals, serving.clone()));
                    },
                    Some(_) = open.join_next() => {}
                }
            }
        });
        Server {
            uid,
            address,
            shared,
            task: task.abort_handle(),
        }
    }

    pub fn set_mood(&self, mood: Mood) {
        self.shared.mood.store(mood as u8, Ordering::SeqCst);
    }

    pub fn path(&self) -> &Path {
        &self.shared.path
    }

    /// Its process dies.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Head {
    id: u64,
    class: Option<Class>,
    told: Duration,
    length: usize,
}

fn read_head(text: &str) -> Head {
    let header = |name: &str| {
        let mut lines = text.lines().filter_map(|line| line.split_once(':'));
        lines
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim().to_string())
    };
    let class = text
        .split(' ')
        .nth(1)
        .and_then(|path| Class::named(path.trim_start_matches('/')));
    let told = header("x-expires-in")
        .and_then(|t| t.parse().ok())
        .unwrap_or(0.0);
    Head {
        id: header("x-trace-id")
            .and_then(|id| u64::from_str_radix(&id, 16).ok())
            .unwrap_or(0),
        class,
        told: Duration::from_secs_f64(told),
        length: header("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0),
    }
}

/// Whether a connection goes on.
#[derive(PartialEq)]
enum Then {
    Next,
    Close,
    Reset,
}

async fn serve(mut stream: DuplexStream, arrivals: proxy::Arrivals, shared: Arc<Shared>) {
    let mut buffer = Vec::new();
    let mut begins = 0;
    loop {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
                return;
            }
        };
        let head = read_head(&String::from_utf8_lossy(&buffer[..end]));
        let length = end + head.length;
        while buffer.len() < length {
            if !matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
                return;
            }
        }
        buffer.drain(..length);
        let (first_byte_at, whole_at) = (arrivals.of(begins), arrivals.of(begins + length - 1));
        begins += length;
        let mood = Mood::of(shared.mood.load(Ordering::SeqCst));
        let ran = mood != Mood::TurnsAway;
        let effect = ran && shared.has_effect(&head);
        shared.history.seen().attempts.push(Attempt {
            id: head.id,
            server: shared.uid.clone(),
            first_byte_at,
            whole_at,
            told: head.told,
            ran,
            effect,
        });
        match shared.answer(&mut stream, mood, head.id).await {
            Then::Next => {}
            Then::Close => return,
            Then::Reset => {
                shared.path.reset_next();
                let _ = stream.shutdown().await;
                return;
            }
        }
    }
}

impl Shared {
    /// Whether a request has an effect: keyed ones whose key the cell remembers have none.
    fn has_effect(&self, head: &Head) -> bool {
        if head.class != Some(Class::TopUp) {
            return true;
        }
        let (mut memory, now) = (self.memory.lock().expect("a memory"), Instant::now());
        match memory.get(&(self.cell, head.id)) {
            Some(since) if now.duration_since(*since) < WINDOW => false,
            _ => {
                memory.insert((self.cell, head.id), now);
                true
            }
        }
    }

    async fn answer(&self, stream: &mut DuplexStream, mood: Mood, id: u64) -> Then {
        let body = format!("made for {id:016x}");
        let whole = |status: &str, more: &str| {
            format!(
                "HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if mood == Mood::Hangs {
            sleep(Duration::from_secs(20)).await;
            return Then::Close;
        }
        if mood == Mood::TurnsAway {
            let text = whole("503 Service Unavailable", "X-Never-Ran: 1\r\n");
            return Shared::write(stream, &text, Then::Next).await;
        }
        let Ok(core) = self.cores.acquire().await else {
            return Then::Close;
        };
        sleep(if mood == Mood::Slow { WORK * 10 } else { WORK }).await;
        drop(core);
        match mood {
            Mood::Fails => {
                Shared::write(stream, &whole("500 Internal Server Error", ""), Then::Next).await
            }
            Mood::Resets => Then::Reset,
            Mood::Closes => Shared::write(stream, &whole("200 OK", ""), Then::Close).await,
            Mood::NoLength => {
                let text = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
                // The end by a reset is no end.
                let (text, then) = match id % 3 {
                    0 => (&text[..text.len() - 4], Then::Reset),
                    _ => (&text[..], Then::Close),
                };
                Shared::write(stream, text, then).await
            }
            _ => Shared::write(stream, &whole("200 OK", ""), Then::Next).await,
        }
    }

    async fn write(stream: &mut DuplexStream, text: &str, then: Then) -> Then {
        match stream.write_all(text.as_bytes()).await {
            Ok(()) => then,
            Err(_) => Then::Close,
        }
    }
}
