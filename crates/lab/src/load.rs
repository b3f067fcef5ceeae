//! Open-loop HTTP load: requests are sent on schedule, whatever the results of earlier ones.

use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at, Instant};

/// The class of balance checks: name, latency target, and time after which the client leaves.
pub const CHECK: (&str, Duration, Duration) = (
    "balance-check",
    Duration::from_millis(600),
    Duration::from_millis(2_000),
);
/// The class of top-ups: name, latency target, and time after which the client leaves.
pub const TOP_UP: (&str, Duration, Duration) = (
    "top-up",
    Duration::from_millis(300),
    Duration::from_millis(750),
);
/// Share of balance checks among the requests; the others are top-ups.
const CHECK_SHARE: f64 = 0.71;
/// Extra time for an answer that is in flight when the client leaves.
const ANSWER_GRACE: Duration = Duration::from_millis(50);
const CUSTOMER_COUNT: u32 = 400;

/// Result of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A 200 with the expected body.
    Served,
    /// A 429 or 503.
    Refused,
    /// Another status from 500 on.
    Failed,
    /// No answer before the client left, or the connection closed without one.
    Unanswered,
    /// An answer that does not belong to this request, or more than one answer.
    Invalid,
}

/// Timing and result of one request.
#[derive(Clone, Copy)]
pub struct Sample {
    /// Scheduled time, since the start of the load.
    pub due: Duration,
    /// Time from `due` to the last byte of the answer.
    pub latency: Duration,
    /// Latency target of the request's class.
    pub latency_target: Duration,
    pub outcome: Outcome,
}

/// Client connections to a set of gateways, and the results of [`Load::start`].
#[derive(Clone)]
pub struct Load {
    gateways: Arc<Vec<SocketAddr>>,
    idle: Arc<Vec<Mutex<VecDeque<TcpStream>>>>,
    pub samples: Arc<Mutex<Vec<Sample>>>,
}

/// Parameters of one request.
pub struct RequestSpec<'a> {
    pub class: (&'static str, Duration, Duration),
    pub plan: &'a str,
    pub customer: u32,
    pub units: u32,
    /// Trace id, which the body of a genuine answer repeats.
    pub id: u64,
}

impl Load {
    /// Creates a client of these gateways without starting any load.
    pub fn new(gateways: Vec<SocketAddr>) -> Load {
        let idle = Arc::new(
            gateways
                .iter()
                .map(|_| Mutex::default())
                .collect::<Vec<_>>(),
        );
        Load {
            gateways: Arc::new(gateways),
            idle,
            samples: Arc::default(),
        }
    }

    /// Starts a load of `per_s` requests per second at even intervals, for `length`.
    pub fn start(
        handle: &Handle,
        gateways: Vec<SocketAddr>,
        per_s: f64,
        length: Duration,
    ) -> (Load, JoinHandle<()>) {
        let load = Load::new(gateways);
        let l = load.clone();
        let task = handle.spawn(async move {
            let mut rng = Pcg64Mcg::seed_from_u64(11);
            let start = Instant::now();
            let mut tasks = tokio::task::JoinSet::new();
            for n in 0.. {
                let due = Duration::from_secs_f64(f64::from(n) / per_s);
                if due >= length {
                    break;
                }
                sleep_until(start + due).await;
                while tasks.try_join_next().is_some() {}
                let (gateway, class_draw) =
                    (rng.next_u32() as usize % l.gateways.len(), rng.next_u32());
                let (customer, id) = (rng.next_u32() % CUSTOMER_COUNT, rng.next_u64());
                let class = if f64::from(class_draw) < CHECK_SHARE * f64::from(u32::MAX) {
                    CHECK
                } else {
                    TOP_UP
                };
                let l = l.clone();
                tasks.spawn(async move {
                    let spec = RequestSpec {
                        class,
                        plan: "mellem",
                        customer,
                        units: 1,
                        id,
                    };
                    let outcome = l.send_request(gateway, spec, start + due).await;
                    let latency = start.elapsed().saturating_sub(due);
                    let sample = Sample {
                        due,
                        latency,
                        latency_target: class.1,
                        outcome,
                    };
                    l.samples.lock().expect("lock is not poisoned").push(sample);
                });
            }
            while tasks.join_next().await.is_some() {}
        });
        (load, task)
    }

    /// Sends a request that is due at `due` to the gateway with this index, and returns its result.
    pub async fn send_request(
        &self,
        gateway: usize,
        spec: RequestSpec<'_>,
        due: Instant,
    ) -> Outcome {
        let RequestSpec {
            class: (class, _, client_timeout),
            plan,
            customer,
            units,
            id,
        } = spec;
        let (method, more, body) = match class {
            "top-up" => (
                "POST",
                format!("Idempotency-Key: {id:016x}{id:016x}\r\nContent-Length: 9\r\n"),
                "amount=50",
            ),
            _ => ("GET", String::new(), ""),
        };
        let left = (due + client_timeout)
            .saturating_duration_since(Instant::now())
            .as_secs_f64();
        let request = format!(
            "{method} /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id:016x}\r\nX-Qos: {class}\r\n\
             X-Tier: {plan}\r\nX-Api-Key: {customer:016x}\r\nX-Expires-In: {left:.3}\r\n\
             X-Call-Terms: units={units},spread={},first=0\r\n{more}\r\n{body}",
            self.gateways.len()
        );
        let deadline = due + client_timeout + ANSWER_GRACE;
        timeout_at(deadline, self.exchange(gateway, &request, id))
            .await
            .unwrap_or(Outcome::Unanswered)
    }

    async fn exchange(&self, gateway: usize, request: &str, id: u64) -> Outcome {
        loop {
            let idle_connection = self.idle[gateway]
                .lock()
                .expect("lock is not poisoned")
                .pop_front();
            let reused = idle_connection.is_some();
            let stream = match idle_connection {
                Some(stream) => Ok(stream),
                None => TcpStream::connect(self.gateways[gateway]).await,
            };
            let Ok(mut stream) = stream else {
                return Outcome::Unanswered;
            };
            let _ = stream.set_nodelay(true);
            let mut buffer = Vec::new();
            let (status, close, body) = match read_response(&mut stream, request, &mut buffer).await
            {
                Some(response) => response,
                // The gateway closed the idle connection: the request is sent once more on another one.
                None if reused && buffer.is_empty() => continue,
                None => return Outcome::Unanswered,
            };
            if !close {
                self.idle[gateway]
                    .lock()
                    .expect("lock is not poisoned")
                    .push_front(stream);
            }
            return match status {
                200 if body == format!("{id:016x}").as_bytes() => Outcome::Served,
                429 | 503 => Outcome::Refused,
                500.. => Outcome::Failed,
                _ => Outcome::Invalid,
            };
        }
    }
}

/// Sends a request and returns the answer's status, whether the connection closes, and the body. Status 0 stands for bytes after
/// the first answer.
async fn read_response(
    stream: &mut TcpStream,
    request: &str,
    buffer: &mut Vec<u8>,
) -> Option<(u16, bool, Vec<u8>)> {
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut expected_len = None;
    while expected_len.is_none_or(|expected_len| buffer.len() < expected_len) {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok());
            expected_len = Some(end + 4 + length.unwrap_or(0usize));
        }
    }
    let head = String::from_utf8_lossy(buffer).to_string();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let close = head.to_ascii_lowercase().contains("connection: close");
    let body = buffer[head.find("\r\n\r\n")? + 4..].to_vec();
    Some(if buffer.len() > expected_len? {
        (0, true, body)
    } else {
        (status, close, body)
    })
}

/// Returns the quantile `p` (0 to 1) of the times in milliseconds, or NaN if there are none. Sorts the times.
pub fn percentile(times: &mut [Duration], p: f64) -> f64 {
    times.sort_unstable();
    let at = ((times.len() as f64 - 1.0) * p).round().max(0.0) as usize;
    times.get(at).map_or(f64::NAN, |t| t.as_secs_f64() * 1e3)
}

/// Returns the units that exceed a token bucket of `rate` and `depth`, of those used between `from` and `to`. All times are in
/// seconds; `uses` are pairs of time and units in order of time.
pub fn units_over_bucket(uses: &[(f64, f64)], rate: f64, depth: f64, from: f64, to: f64) -> f64 {
    let (mut tokens, mut at, mut excess_units) = (depth, 0.0, 0.0);
    for &(t, units) in uses {
        tokens = (tokens + (t - at) * rate).min(depth);
        at = t;
        if tokens >= units {
            tokens -= units;
        } else if (from..to).contains(&t) {
            excess_units += units;
        }
    }
    excess_units
}

/// Draws the time between two arrivals of a Poisson process.
pub fn poisson_interval(rng: &mut Pcg64Mcg, per_s: f64) -> Duration {
    let chance = (f64::from(rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0);
    Duration::from_secs_f64(-chance.ln() / per_s)
}
