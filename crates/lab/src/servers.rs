//! Servers with cores: a request takes its work, longer while the server is cold, and waits while all cores are busy.

use frosthatch_test_doubles::endpoint_entry;
use std::collections::hash_map::Entry;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

/// How servers warm, as the settings tell the gateways.
pub const COLD_FROM: f64 = 0.27;
pub const WARM_AFTER: Duration = Duration::from_secs(18);
const CORES: usize = 2;

/// Mean work of a request, by its path.
fn mean_work(path: &str) -> Duration {
    Duration::from_millis(if path.starts_with("/top-up") { 10 } else { 18 })
}

/// A first attempt as it came to a server.
#[derive(Clone)]
pub struct Use {
    pub at: Instant,
    pub customer: u32,
}

/// Adds up what customers use over all servers, and tells it in answers, late: the use in a period that has finished, in
/// percent of the plan's rate.
pub struct Meter {
    start: Instant,
    rates: HashMap<u32, f64>,
    of: Mutex<Metered>,
    pub lost: AtomicBool,
}

#[derive(Default)]
struct Metered {
    /// Which server saw a request first, and top-ups that came to another one as well.
    seen: HashMap<String, u64>,
    elsewhere: usize,
    uses: Vec<Use>,
    /// By customer and period.
    periods: HashMap<(u32, u64), f64>,
}

/// A finished period is told so long after its end.
const METER_LATE: Duration = Duration::from_millis(600);

impl Meter {
    /// `rates`: units a second of each customer. The low half of a request's id names its customer.
    pub fn new(rates: impl Iterator<Item = (u32, f64)>) -> Arc<Meter> {
        let (start, rates) = (Instant::now(), rates.collect());
        Arc::new(Meter {
            start,
            rates,
            of: Mutex::default(),
            lost: AtomicBool::new(false),
        })
    }

    /// All that was used so far, in the order in which it came.
    pub fn uses(&self) -> Vec<Use> {
        self.of.lock().expect("uses").uses.clone()
    }

    /// Top-ups that came to two servers: each has its own memory of repeats.
    pub fn elsewhere(&self) -> usize {
        self.of.lock().expect("uses").elsewhere
    }

    /// Notes a request of one unit at a server; the header that its answer tells.
    fn note(&self, id: &str, server: u64, top_up: bool) -> String {
        let now = Instant::now();
        let customer = u64::from_str_radix(id, 16).unwrap_or(0) as u32;
        let mut of = self.of.lock().expect("uses");
        let first = match of.seen.entry(id.into()) {
            Entry::Vacant(place) => {
                place.insert(server);
                true
            }
            Entry::Occupied(place) => {
                let other = *place.get() != server;
                of.elsewhere += usize::from(other && top_up);
                false
            }
        };
        if first {
            of.uses.push(Use { at: now, customer });
            *of.periods
                .entry((customer, (now - self.start).as_secs()))
                .or_default() += 1.0;
        }
        let told = (now - self.start).saturating_sub(METER_LATE).as_secs();
        match (self.rates.get(&customer), told.checked_sub(1)) {
            (Some(rate), Some(period)) if !self.lost.load(Ordering::SeqCst) => {
                let used = of.periods.get(&(customer, period)).copied().unwrap_or(0.0);
                format!("X-RateLimit-Used: {:.1}\r\n", 100.0 * used / rate)
            }
            _ => String::new(),
        }
    }
}

/// Servers are numbered as they start.
static STARTED: AtomicU64 = AtomicU64::new(0);

struct State {
    number: u64,
    meter: Option<Arc<Meter>>,
    born: Option<Instant>,
    cores: Semaphore,
    /// What comes of a request.
    mode: AtomicU8,
    /// When each request came, and the work that it takes.
    arrivals: Mutex<Vec<(Instant, Duration)>>,
}

/// What a server does with what comes.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(u8)]
pub enum Mode {
    Well,
    /// An error at once.
    Failing,
    /// Ten times the work.
    Slow,
}

pub struct Server {
    pub address: SocketAddr,
    state: Arc<State>,
    task: AbortHandle,
}

impl Server {
    /// `cold`: it starts now; else long ago.
    pub fn start(on: &Handle, cold: bool) -> Server {
        Server::start_at(on, ([127, 0, 0, 1], 0).into(), cold)
    }

    pub fn start_at(on: &Handle, at: SocketAddr, cold: bool) -> Server {
        Server::with_meter(on, at, cold, None)
    }

    pub fn with_meter(
        on: &Handle,
        at: SocketAddr,
        cold: bool,
        meter: Option<Arc<Meter>>,
    ) -> Server {
        let listener = std::net::TcpListener::bind(at).expect("a port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a listener");
        let born = cold.then(Instant::now);
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let state = State {
            number,
            meter,
            born,
            cores: Semaphore::new(CORES),
            mode: AtomicU8::new(Mode::Well as u8),
            arrivals: Mutex::default(),
        };
        let state = Arc::new(state);
        let serving = state.clone();
        let task = on.spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            // Dropped with this task, and its connections with it.
            let mut open = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        open.spawn(serve(stream, serving.clone()));
                    },
                    Some(_) = open.join_next() => {}
                }
            }
        });
        Server {
            address,
            state,
            task: task.abort_handle(),
        }
    }

    pub fn set(&self, mode: Mode) {
        self.state.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Requests that came since then.
    pub fn came_since(&self, since: Instant) -> usize {
        self.state
            .arrivals
            .lock()
            .expect("arrivals")
            .iter()
            .rev()
            .take_while(|(at, _)| *at >= since)
            .count()
    }

    /// Its process dies: connections are reset, new ones refused.
    pub fn kill(&self) {
        self.task.abort();
    }

    pub fn served(&self) -> usize {
        self.state.arrivals.lock().expect("arrivals").len()
    }

    /// How long after that time the last request came; none if none did.
    pub fn last_after(&self, since: Instant) -> Option<Duration> {
        let arrivals = self.state.arrivals.lock().expect("arrivals");
        arrivals
            .iter()
            .rev()
            .find(|(at, _)| *at > since)
            .map(|(at, _)| *at - since)
    }

    /// The most work that came within any such window, as a multiple of what the server could do in it.
    pub fn worst_multiple(&self, window: Duration) -> f64 {
        let Some(born) = self.state.born else {
            return 0.0;
        };
        let arrivals = self.state.arrivals.lock().expect("arrivals");
        let (mut from, mut work, mut worst) = (0, Duration::ZERO, 0.0f64);
        for (n, (at, w)) in arrivals.iter().enumerate() {
            work += *w;
            while *at - arrivals[from].0 > window {
                work -= arrivals[from].1;
                from += 1;
            }
            // At the window's start it could do least; before it was born nothing.
            let start = at.checked_sub(window).map_or(born, |s| s.max(born));
            let can = window.as_secs_f64() * CORES as f64 * warmth(Some(born), start);
            worst = worst.max(work.as_secs_f64() / can);
            debug_assert!(from <= n);
        }
        worst
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Share of its capacity at a time.
fn warmth(born: Option<Instant>, now: Instant) -> f64 {
    let Some(born) = born else { return 1.0 };
    let age = now.saturating_duration_since(born).as_secs_f64() / WARM_AFTER.as_secs_f64();
    COLD_FROM + (1.0 - COLD_FROM) * age.min(1.0)
}

async fn serve(mut stream: TcpStream, state: Arc<State>) {
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
        let head = String::from_utf8_lossy(&buffer[..end]).to_string();
        let header = |name: &str| {
            let mut lines = head.lines().filter_map(|l| l.split_once(':'));
            lines
                .find(|(n, _)| n.eq_ignore_ascii_case(name))
                .map(|(_, v)| v.trim().to_string())
        };
        let length = header("content-length").map_or(0, |l| l.parse().unwrap_or(0));
        while buffer.len() < end + length {
            if !matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
                return;
            }
        }
        buffer.drain(..end + length);
        let id = header("x-trace-id").unwrap_or_default();
        let path = head.split(' ').nth(1).unwrap_or("");
        // Drawn from the id, so that a further attempt takes the same: half to one and a half of the mean.
        let chance = u64::from_str_radix(&id, 16)
            .unwrap_or(0)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            >> 32;
        let work = mean_work(path).mul_f64(0.5 + chance as f64 / f64::from(u32::MAX));
        state
            .arrivals
            .lock()
            .expect("arrivals")
            .push((Instant::now(), work));
        let told = state.meter.as_ref().map_or(String::new(), |meter| {
            meter.note(&id, state.number, path.starts_with("/top-up"))
        });
        let mode = state.mode.load(Ordering::SeqCst);
        if mode == Mode::Failing as u8 {
            let answer =
                format!("HTTP/1.1 500 Internal Server Error\r\n{told}Content-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let work = if mode == Mode::Slow as u8 {
            work * 10
        } else {
            work
        };
        let Ok(core) = state.cores.acquire().await else {
            return;
        };
        sleep(work.div_f64(warmth(state.born, Instant::now()))).await;
        drop(core);
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{told}Content-Length: {}\r\n\r\n{id}",
            id.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// The list in which all of them are ready, in one cell.
pub fn all_ready(servers: &[Server]) -> String {
    let one = |(n, s): (usize, &Server)| endpoint_entry(&format!("s{n}"), s.address, 1, "Ready");
    servers
        .iter()
        .enumerate()
        .map(one)
        .collect::<Vec<_>>()
        .join(",")
}
