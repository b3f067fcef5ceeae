//! Clients that ask when it is time, whatever became of what they asked before.

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

/// The brief's classes: share, what is wanted within, and when the client leaves.
pub const CHECK: (&str, Duration, Duration) = (
    "balance-check",
    Duration::from_millis(600),
    Duration::from_millis(2_000),
);
pub const TOP_UP: (&str, Duration, Duration) = (
    "top-up",
    Duration::from_millis(300),
    Duration::from_millis(750),
);
const CHECKS: f64 = 0.71;
/// An answer may cross the client's leaving.
const GRACE: Duration = Duration::from_millis(50);
const CUSTOMERS: u32 = 400;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Got {
    Served,
    Refused,
    Failed,
    /// Neither an answer nor an end before the client left, or an end without an answer.
    Nothing,
    /// Something that is no answer to this request, or more than one.
    Wrong,
}

#[derive(Clone, Copy)]
pub struct Shot {
    /// Since the start of the load.
    pub due: Duration,
    /// From due to the answer's last byte.
    pub took: Duration,
    pub wanted: Duration,
    pub got: Got,
}

#[derive(Clone)]
pub struct Load {
    gateways: Arc<Vec<SocketAddr>>,
    idle: Arc<Vec<Mutex<VecDeque<TcpStream>>>>,
    pub shots: Arc<Mutex<Vec<Shot>>>,
}

/// One request, in the terms of the platform.
pub struct Shape<'a> {
    pub class: (&'static str, Duration, Duration),
    pub plan: &'a str,
    pub customer: u32,
    pub units: u32,
    pub id: u64,
}

impl Load {
    /// Connections to these gateways, and no load yet.
    pub fn to(gateways: Vec<SocketAddr>) -> Load {
        let idle = Arc::new(
            gateways
                .iter()
                .map(|_| Mutex::default())
                .collect::<Vec<_>>(),
        );
        Load {
            gateways: Arc::new(gateways),
            idle,
            shots: Arc::default(),
        }
    }

    /// `per_s` requests a second at even distances, for so long.
    pub fn start(
        on: &Handle,
        gateways: Vec<SocketAddr>,
        per_s: f64,
        length: Duration,
    ) -> (Load, JoinHandle<()>) {
        let load = Load::to(gateways);
        let l = load.clone();
        let task = on.spawn(async move {
            let mut rng = Pcg64Mcg::seed_from_u64(11);
            let start = Instant::now();
            let mut out = tokio::task::JoinSet::new();
            for n in 0.. {
                let due = Duration::from_secs_f64(f64::from(n) / per_s);
                if due >= length {
                    break;
                }
                sleep_until(start + due).await;
                while out.try_join_next().is_some() {}
                let (gateway, draw) = (rng.next_u32() as usize % l.gateways.len(), rng.next_u32());
                let (customer, id) = (rng.next_u32() % CUSTOMERS, rng.next_u64());
                let class = if f64::from(draw) < CHECKS * f64::from(u32::MAX) {
                    CHECK
                } else {
                    TOP_UP
                };
                let l = l.clone();
                out.spawn(async move {
                    let shape = Shape {
                        class,
                        plan: "mellem",
                        customer,
                        units: 1,
                        id,
                    };
                    let got = l.ask(gateway, shape, start + due).await;
                    let took = start.elapsed().saturating_sub(due);
                    let shot = Shot {
                        due,
                        took,
                        wanted: class.1,
                        got,
                    };
                    l.shots.lock().expect("shots").push(shot);
                });
            }
            while out.join_next().await.is_some() {}
        });
        (load, task)
    }

    pub async fn ask(&self, gateway: usize, shape: Shape<'_>, due: Instant) -> Got {
        let Shape {
            class: (class, _, patience),
            plan,
            customer,
            units,
            id,
        } = shape;
        let (method, more, body) = match class {
            "top-up" => (
                "POST",
                format!("Idempotency-Key: {id:016x}{id:016x}\r\nContent-Length: 9\r\n"),
                "amount=50",
            ),
            _ => ("GET", String::new(), ""),
        };
        let left = (due + patience)
            .saturating_duration_since(Instant::now())
            .as_secs_f64();
        let request = format!(
            "{method} /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id:016x}\r\nX-Qos: {class}\r\n\
             X-Tier: {plan}\r\nX-Api-Key: {customer:016x}\r\nX-Expires-In: {left:.3}\r\n\
             X-Call-Terms: units={units},spread={},first=0\r\n{more}\r\n{body}",
            self.gateways.len()
        );
        let by = due + patience + GRACE;
        timeout_at(by, self.converse(gateway, &request, id))
            .await
            .unwrap_or(Got::Nothing)
    }

    async fn converse(&self, gateway: usize, request: &str, id: u64) -> Got {
        loop {
            let kept = self.idle[gateway].lock().expect("connections").pop_front();
            let reused = kept.is_some();
            let stream = match kept {
                Some(stream) => Ok(stream),
                None => TcpStream::connect(self.gateways[gateway]).await,
            };
            let Ok(mut stream) = stream else {
                return Got::Nothing;
            };
            let _ = stream.set_nodelay(true);
            let mut buffer = Vec::new();
            let (status, close, body) = match answer(&mut stream, request, &mut buffer).await {
                Some(whole) => whole,
                // It was closed between two requests: once more on a new one.
                None if reused && buffer.is_empty() => continue,
                None => return Got::Nothing,
            };
            if !close {
                self.idle[gateway]
                    .lock()
                    .expect("connections")
                    .push_front(stream);
            }
            return match status {
                200 if body == format!("{id:016x}").as_bytes() => Got::Served,
                429 | 503 => Got::Refused,
                500.. => Got::Failed,
                _ => Got::Wrong,
            };
        }
    }
}

/// Status, whether the connection ends, and the body of the one answer; more than one answer has status 0.
async fn answer(
    stream: &mut TcpStream,
    request: &str,
    buffer: &mut Vec<u8>,
) -> Option<(u16, bool, Vec<u8>)> {
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut whole = None;
    while whole.is_none_or(|whole| buffer.len() < whole) {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok());
            whole = Some(end + 4 + length.unwrap_or(0usize));
        }
    }
    let head = String::from_utf8_lossy(buffer).to_string();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let close = head.to_ascii_lowercase().contains("connection: close");
    let body = buffer[head.find("\r\n\r\n")? + 4..].to_vec();
    Some(if buffer.len() > whole? {
        (0, true, body)
    } else {
        (status, close, body)
    })
}

/// The share `p` of the way through sorted times, in milliseconds.
pub fn percentile(times: &mut [Duration], p: f64) -> f64 {
    times.sort_unstable();
    let at = ((times.len() as f64 - 1.0) * p).round().max(0.0) as usize;
    times.get(at).map_or(f64::NAN, |t| t.as_secs_f64() * 1e3)
}

/// Units that do not fit a store that fills at a rate, of those that came between two times.
pub fn beyond(uses: &[(f64, f64)], rate: f64, depth: f64, from: f64, to: f64) -> f64 {
    let (mut level, mut at, mut over) = (depth, 0.0, 0.0);
    for &(t, units) in uses {
        level = (level + (t - at) * rate).min(depth);
        at = t;
        if level >= units {
            level -= units;
        } else if (from..to).contains(&t) {
            over += units;
        }
    }
    over
}

/// From one Poisson arrival to the next.
pub fn apart(rng: &mut Pcg64Mcg, per_s: f64) -> Duration {
    let chance = (f64::from(rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0);
    Duration::from_secs_f64(-chance.ln() / per_s)
}
