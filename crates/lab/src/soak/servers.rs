//! Servers of the soak: each behind a fault proxy, with a switchable fault mode and a deduplication store shared by its cell.

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

/// Processing time of one request.
pub const WORK: Duration = Duration::from_millis(15);
/// Requests that a server processes concurrently.
pub const CORES: usize = 2;
/// How long servers deduplicate by a key.
pub const WINDOW: Duration = Duration::from_millis(750);

/// How a server handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Answers 200 after the work.
    Normal = 0,
    /// Runs requests and never answers.
    Hangs = 1,
    /// Answers 500 after running the request.
    Fails = 2,
    /// Rejects requests with 503 without running them.
    Rejects = 3,
    /// Runs requests, then resets the connection.
    Resets = 4,
    /// Answers, and closes each connection without announcing it.
    Closes = 5,
    /// Answers without `Content-Length`; a third of the answers is truncated by a reset.
    NoLength = 6,
    /// Takes ten times the work.
    Slow = 7,
}

impl Mode {
    fn from_number(number: u8) -> Mode {
        match number {
            1 => Mode::Hangs,
            2 => Mode::Fails,
            3 => Mode::Rejects,
            4 => Mode::Resets,
            5 => Mode::Closes,
            6 => Mode::NoLength,
            7 => Mode::Slow,
            _ => Mode::Normal,
        }
    }
}

/// Deduplication stores of all cells: time of the first use by cell and key.
pub type DedupStores = Arc<Mutex<HashMap<(u64, u64), Instant>>>;

struct Shared {
    uid: String,
    cell: u64,
    mode: AtomicU8,
    path: Path,
    cores: Semaphore,
    dedup_stores: DedupStores,
    history: Arc<History>,
}

/// A running server that ends on drop.
pub struct Server {
    pub uid: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
}

impl Server {
    /// Starts a server; a `fresh` one is cold, and its start is recorded for the oracle.
    pub fn start(
        handle: &Handle,
        uid: String,
        cell: u64,
        fresh: bool,
        dedup_stores: &DedupStores,
        history: &Arc<History>,
    ) -> Server {
        let listener =
            std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        let address = listener
            .local_addr()
            .expect("a bound socket has a local address");
        listener
            .set_nonblocking(true)
            .expect("the listener can be made non-blocking");
        let shared = Arc::new(Shared {
            uid: uid.clone(),
            cell,
            mode: AtomicU8::new(Mode::Normal as u8),
            path: Path::default(),
            cores: Semaphore::new(CORES),
            dedup_stores: dedup_stores.clone(),
            history: history.clone(),
        });
        if fresh {
            history
                .observations()
                .started
                .insert(uid.clone(), Instant::now());
        }
        let serving = shared.clone();
        let task = handle.spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            let mut open = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        let (inner, arrivals) = proxy::insert_proxy(&mut open, stream, serving.path.clone());
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

    pub fn set_mode(&self, mode: Mode) {
        self.shared.mode.store(mode as u8, Ordering::SeqCst);
    }

    pub fn path(&self) -> &Path {
        &self.shared.path
    }

    /// Simulates a crash.
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
    remaining_time: Duration,
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
    let remaining_time = header("x-expires-in")
        .and_then(|t| t.parse().ok())
        .unwrap_or(0.0);
    Head {
        id: header("x-trace-id")
            .and_then(|id| u64::from_str_radix(&id, 16).ok())
            .unwrap_or(0),
        class,
        remaining_time: Duration::from_secs_f64(remaining_time),
        length: header("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0),
    }
}

/// What happens to the connection after an answer.
#[derive(PartialEq)]
enum NextStep {
    Next,
    Close,
    Reset,
}

async fn serve(mut stream: DuplexStream, arrivals: proxy::Arrivals, shared: Arc<Shared>) {
    let mut buffer = Vec::new();
    let mut request_start = 0;
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
        let (first_byte_at, completed_at) = (
            arrivals.time_of(request_start),
            arrivals.time_of(request_start + length - 1),
        );
        request_start += length;
        let mode = Mode::from_number(shared.mode.load(Ordering::SeqCst));
        let ran = mode != Mode::Rejects;
        let effect = ran && shared.has_effect(&head);
        shared.history.observations().attempts.push(Attempt {
            id: head.id,
            server: shared.uid.clone(),
            first_byte_at,
            completed_at,
            remaining_time: head.remaining_time,
            ran,
            effect,
        });
        match shared.answer(&mut stream, mode, head.id).await {
            NextStep::Next => {}
            NextStep::Close => return,
            NextStep::Reset => {
                shared.path.reset_next();
                let _ = stream.shutdown().await;
                return;
            }
        }
    }
}

impl Shared {
    /// Returns whether a request has an effect: a keyed request that repeats a key within [`WINDOW`] in the cell has none.
    fn has_effect(&self, head: &Head) -> bool {
        if head.class != Some(Class::TopUp) {
            return true;
        }
        let (mut dedup_stores, now) = (
            self.dedup_stores.lock().expect("lock is not poisoned"),
            Instant::now(),
        );
        match dedup_stores.get(&(self.cell, head.id)) {
            Some(since) if now.duration_since(*since) < WINDOW => false,
            _ => {
                dedup_stores.insert((self.cell, head.id), now);
                true
            }
        }
    }

    async fn answer(&self, stream: &mut DuplexStream, mode: Mode, id: u64) -> NextStep {
        let body = format!("made for {id:016x}");
        let whole = |status: &str, more: &str| {
            format!(
                "HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if mode == Mode::Hangs {
            sleep(Duration::from_secs(20)).await;
            return NextStep::Close;
        }
        if mode == Mode::Rejects {
            let text = whole("503 Service Unavailable", "X-Never-Ran: 1\r\n");
            return Shared::write(stream, &text, NextStep::Next).await;
        }
        let Ok(core) = self.cores.acquire().await else {
            return NextStep::Close;
        };
        sleep(if mode == Mode::Slow { WORK * 10 } else { WORK }).await;
        drop(core);
        match mode {
            Mode::Fails => {
                Shared::write(
                    stream,
                    &whole("500 Internal Server Error", ""),
                    NextStep::Next,
                )
                .await
            }
            Mode::Resets => NextStep::Reset,
            Mode::Closes => Shared::write(stream, &whole("200 OK", ""), NextStep::Close).await,
            Mode::NoLength => {
                let text = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
                // Without a length the connection's orderly end is the answer's end; a reset truncates the answer.
                let (text, next_step) = match id % 3 {
                    0 => (&text[..text.len() - 4], NextStep::Reset),
                    _ => (&text[..], NextStep::Close),
                };
                Shared::write(stream, text, next_step).await
            }
            _ => Shared::write(stream, &whole("200 OK", ""), NextStep::Next).await,
        }
    }

    async fn write(stream: &mut DuplexStream, text: &str, next_step: NextStep) -> NextStep {
        match stream.write_all(text.as_bytes()).await {
            Ok(()) => next_step,
            Err(_) => NextStep::Close,
        }
    }
}
