//! Simulated servers with a fixed number of cores: a request occupies a core for its work, longer while the server is cold, and
//! queues while all cores are busy. The [`Meter`] reports customers' usage in the answers.

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

/// Share of its capacity that a server has when it starts, as in the gateways' settings (`coldFrom`).
pub const COLD_FROM: f64 = 0.27;
/// Time until a server has its full capacity, as in the gateways' settings (`coldUs`).
pub const WARM_AFTER: Duration = Duration::from_secs(18);
/// Requests that a server processes concurrently.
const CORES: usize = 2;

/// Returns the mean processing time of a request by its path.
fn mean_work(path: &str) -> Duration {
    Duration::from_millis(if path.starts_with("/top-up") { 10 } else { 18 })
}

/// Arrival of a request's first attempt at a server.
#[derive(Clone)]
pub struct Use {
    pub at: Instant,
    pub customer: u32,
}

/// Sums customers' usage over all servers and reports it in answers, delayed: the usage of a completed 1 s period, in percent of
/// the plan's rate.
pub struct Meter {
    start: Instant,
    rates: HashMap<u32, f64>,
    metered: Mutex<Metered>,
    /// Answers carry no usage while this is set.
    pub lost: AtomicBool,
}

#[derive(Default)]
struct Metered {
    /// Server that received each request first.
    seen: HashMap<String, u64>,
    /// Top-ups that reached a second server as well.
    top_ups_at_two_servers: usize,
    uses: Vec<Use>,
    /// Units by customer and period.
    periods: HashMap<(u32, u64), f64>,
}

/// Delay between the end of a period and its first report.
const METER_DELAY: Duration = Duration::from_millis(600);

impl Meter {
    /// Creates a meter; `rates` are the units per second of each customer. The low half of a request's id is its customer.
    pub fn new(rates: impl Iterator<Item = (u32, f64)>) -> Arc<Meter> {
        let (start, rates) = (Instant::now(), rates.collect());
        Arc::new(Meter {
            start,
            rates,
            metered: Mutex::default(),
            lost: AtomicBool::new(false),
        })
    }

    /// Returns all usage so far in order of arrival.
    pub fn uses(&self) -> Vec<Use> {
        self.metered
            .lock()
            .expect("lock is not poisoned")
            .uses
            .clone()
    }

    /// Returns the number of top-ups that reached two servers, each of which deduplicates only its own requests.
    pub fn top_ups_at_two_servers(&self) -> usize {
        self.metered
            .lock()
            .expect("lock is not poisoned")
            .top_ups_at_two_servers
    }

    /// Records a request of one unit at a server, and returns the usage header of its answer.
    fn record_use(&self, id: &str, server: u64, top_up: bool) -> String {
        let now = Instant::now();
        let customer = u64::from_str_radix(id, 16).unwrap_or(0) as u32;
        let mut metered = self.metered.lock().expect("lock is not poisoned");
        let first = match metered.seen.entry(id.into()) {
            Entry::Vacant(place) => {
                place.insert(server);
                true
            }
            Entry::Occupied(place) => {
                let other = *place.get() != server;
                metered.top_ups_at_two_servers += usize::from(other && top_up);
                false
            }
        };
        if first {
            metered.uses.push(Use { at: now, customer });
            *metered
                .periods
                .entry((customer, (now - self.start).as_secs()))
                .or_default() += 1.0;
        }
        let reported_until = (now - self.start).saturating_sub(METER_DELAY).as_secs();
        match (self.rates.get(&customer), reported_until.checked_sub(1)) {
            (Some(rate), Some(period)) if !self.lost.load(Ordering::SeqCst) => {
                let used = metered
                    .periods
                    .get(&(customer, period))
                    .copied()
                    .unwrap_or(0.0);
                format!("X-RateLimit-Used: {:.1}\r\n", 100.0 * used / rate)
            }
            _ => String::new(),
        }
    }
}

/// Number of the next server to start.
static NEXT_SERVER_NUMBER: AtomicU64 = AtomicU64::new(0);

struct State {
    number: u64,
    meter: Option<Arc<Meter>>,
    started_at: Option<Instant>,
    cores: Semaphore,
    /// Discriminant of the current [`Mode`].
    mode: AtomicU8,
    /// Arrival time and work of each request.
    arrivals: Mutex<Vec<(Instant, Duration)>>,
}

/// How a server handles requests.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(u8)]
pub enum Mode {
    /// Processes the request and answers 200.
    Normal,
    /// Answers 500 at once.
    Failing,
    /// Takes ten times the work.
    Slow,
}

/// A running server that ends on drop.
pub struct Server {
    pub address: SocketAddr,
    state: Arc<State>,
    task: AbortHandle,
}

impl Server {
    /// Starts a server on an ephemeral port; one that is not `cold` has its full capacity at once.
    pub fn start(handle: &Handle, cold: bool) -> Server {
        Server::start_at(handle, ([127, 0, 0, 1], 0).into(), cold)
    }

    /// Starts a server that listens on `at`.
    pub fn start_at(handle: &Handle, at: SocketAddr, cold: bool) -> Server {
        Server::with_meter(handle, at, cold, None)
    }

    /// Starts a server whose answers report usage by `meter`.
    pub fn with_meter(
        handle: &Handle,
        at: SocketAddr,
        cold: bool,
        meter: Option<Arc<Meter>>,
    ) -> Server {
        let listener = std::net::TcpListener::bind(at).expect("a loopback port can be bound");
        let address = listener
            .local_addr()
            .expect("a bound socket has a local address");
        listener
            .set_nonblocking(true)
            .expect("the listener can be made non-blocking");
        let started_at = cold.then(Instant::now);
        let number = NEXT_SERVER_NUMBER.fetch_add(1, Ordering::SeqCst);
        let state = State {
            number,
            meter,
            started_at,
            cores: Semaphore::new(CORES),
            mode: AtomicU8::new(Mode::Normal as u8),
            arrivals: Mutex::default(),
        };
        let state = Arc::new(state);
        let serving = state.clone();
        let task = handle.spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            // Dropping this task drops the set and so closes all connections.
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

    pub fn set_mode(&self, mode: Mode) {
        self.state.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Returns the number of requests that arrived since `since`.
    pub fn requests_since(&self, since: Instant) -> usize {
        self.state
            .arrivals
            .lock()
            .expect("lock is not poisoned")
            .iter()
            .rev()
            .take_while(|(at, _)| *at >= since)
            .count()
    }

    /// Simulates a crash: connections are reset and new ones refused.
    pub fn kill(&self) {
        self.task.abort();
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> usize {
        self.state
            .arrivals
            .lock()
            .expect("lock is not poisoned")
            .len()
    }

    /// Returns how long after `since` the last request arrived, or `None` if there was none.
    pub fn last_request_after(&self, since: Instant) -> Option<Duration> {
        let arrivals = self.state.arrivals.lock().expect("lock is not poisoned");
        arrivals
            .iter()
            .rev()
            .find(|(at, _)| *at > since)
            .map(|(at, _)| *at - since)
    }

    /// Returns the maximum work that arrived within any period of `window`, as a multiple of the server's capacity in it.
    pub fn max_overload_ratio(&self, window: Duration) -> f64 {
        let Some(started_at) = self.state.started_at else {
            return 0.0;
        };
        let arrivals = self.state.arrivals.lock().expect("lock is not poisoned");
        let (mut from, mut work, mut worst) = (0, Duration::ZERO, 0.0f64);
        for (n, (at, w)) in arrivals.iter().enumerate() {
            work += *w;
            while *at - arrivals[from].0 > window {
                work -= arrivals[from].1;
                from += 1;
            }
            // The capacity is lowest at the start of the window, and none exists before the server starts.
            let start = at
                .checked_sub(window)
                .map_or(started_at, |s| s.max(started_at));
            let capacity_s =
                window.as_secs_f64() * CORES as f64 * capacity_share(Some(started_at), start);
            worst = worst.max(work.as_secs_f64() / capacity_s);
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

/// Returns the share of a server's full capacity at `now`; `start` is `None` for a warm server.
fn capacity_share(start: Option<Instant>, now: Instant) -> f64 {
    let Some(start) = start else { return 1.0 };
    let age = now.saturating_duration_since(start).as_secs_f64() / WARM_AFTER.as_secs_f64();
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
        // The work is 0.5 to 1.5 times the mean, derived from the id so that a further attempt takes the same work.
        let random_bits = u64::from_str_radix(&id, 16)
            .unwrap_or(0)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            >> 32;
        let work = mean_work(path).mul_f64(0.5 + random_bits as f64 / f64::from(u32::MAX));
        state
            .arrivals
            .lock()
            .expect("lock is not poisoned")
            .push((Instant::now(), work));
        let usage_header = state.meter.as_ref().map_or(String::new(), |meter| {
            meter.record_use(&id, state.number, path.starts_with("/top-up"))
        });
        let mode = state.mode.load(Ordering::SeqCst);
        if mode == Mode::Failing as u8 {
            let answer = format!(
                "HTTP/1.1 500 Internal Server Error\r\n{usage_header}Content-Length: 0\r\n\r\n"
            );
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
        sleep(work.div_f64(capacity_share(state.started_at, Instant::now()))).await;
        drop(core);
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{usage_header}Content-Length: {}\r\n\r\n{id}",
            id.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Formats the endpoint list in which all servers are ready and in one cell.
pub fn all_ready(servers: &[Server]) -> String {
    let format_entry =
        |(n, s): (usize, &Server)| endpoint_entry(&format!("s{n}"), s.address, 1, "Ready");
    servers
        .iter()
        .enumerate()
        .map(format_entry)
        .collect::<Vec<_>>()
        .join(",")
}
