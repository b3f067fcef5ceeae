//! Fault proxy in front of each server: records when bytes arrive from the gateway, and delays, fragments or cuts them.

use socket2::SockRef;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Maximum number of buffered bytes in either direction.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Poll interval of a stalled path.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes per write on a trickling path.
const TRICKLE_BYTES: usize = 24;

/// State of the path between the gateways and one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum PathState {
    /// Bytes pass unchanged.
    Open = 0,
    /// Nothing passes in either direction; bytes that are sent meanwhile arrive later.
    Held = 1,
    /// Answers arrive in small pieces.
    Trickles = 2,
    /// A connection is reset in the middle of a request.
    CutsRequests = 3,
    /// A connection is reset in the middle of an answer.
    CutsAnswers = 4,
}

/// Path to one server, shared by its connections.
#[derive(Clone, Default)]
pub struct Path {
    state: Arc<AtomicU8>,
    /// Number of connections that the proxy will reset when the server ends them.
    resets: Arc<AtomicU8>,
}

impl Path {
    pub fn set_state(&self, state: PathState) {
        self.state.store(state as u8, Ordering::SeqCst);
    }

    fn state(&self) -> PathState {
        match self.state.load(Ordering::SeqCst) {
            1 => PathState::Held,
            2 => PathState::Trickles,
            3 => PathState::CutsRequests,
            4 => PathState::CutsAnswers,
            _ => PathState::Open,
        }
    }

    /// Makes the proxy reset the next connection that the server ends.
    pub fn reset_next(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }

    /// Consumes one pending reset, and returns whether there was one.
    fn take_reset(&self) -> bool {
        let taken = |n: u8| n.checked_sub(1);
        self.resets
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, taken)
            .is_ok()
    }

    async fn wait_until_open(&self) {
        while self.state() == PathState::Held {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Arrival times of the bytes of a connection from the gateway: total bytes so far, and when they arrived.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<(usize, Instant)>>>);

impl Arrivals {
    fn record(&self, bytes: usize) {
        let mut all = self.0.lock().expect("lock is not poisoned");
        let before = all.last().map_or(0, |(end, _)| *end);
        all.push((before + bytes, Instant::now()));
    }

    /// Returns when the byte at this offset arrived.
    pub fn time_of(&self, offset: usize) -> Instant {
        let all = self.0.lock().expect("lock is not poisoned");
        let found = all.iter().find(|(end, _)| *end > offset).or(all.last());
        found.map_or_else(Instant::now, |(_, at)| *at)
    }
}

/// Places a proxy between a gateway's connection and a server; returns the server's end and the arrival times.
pub fn insert_proxy(
    tasks: &mut JoinSet<()>,
    stream: TcpStream,
    path: Path,
) -> (DuplexStream, Arrivals) {
    let _ = stream.set_nodelay(true);
    let (inner, outer) = tokio::io::duplex(MAX_BUFFERED_BYTES);
    let arrivals = Arrivals::default();
    tasks.spawn(pump(stream, outer, path, arrivals.clone()));
    (inner, arrivals)
}

/// State of a connection after its path was held.
#[derive(PartialEq)]
enum HeldConnection {
    Open,
    /// The gateway closed the connection meanwhile.
    Closed,
}

/// Waits while the path is held; records and buffers the bytes that arrive meanwhile.
async fn wait_while_held(
    path: &Path,
    from: &mut OwnedReadHalf,
    arrivals: &Arrivals,
    kept: &mut Vec<u8>,
) -> HeldConnection {
    let mut chunk = vec![0; 64 << 10];
    while path.state() == PathState::Held {
        tokio::select! {
            read = from.read(&mut chunk), if kept.len() < MAX_BUFFERED_BYTES => match read {
                Ok(0) | Err(_) => return HeldConnection::Closed,
                Ok(n) => {
                    arrivals.record(n);
                    kept.extend_from_slice(&chunk[..n]);
                }
            },
            () = sleep(POLL_INTERVAL) => {}
        }
    }
    HeldConnection::Open
}

async fn pump(stream: TcpStream, server: DuplexStream, path: Path, arrivals: Arrivals) {
    let (mut from_server, mut to_server) = tokio::io::split(server);
    let (mut from_gateway, mut to_gateway) = stream.into_split();
    let requests = async {
        let mut chunk = vec![0; 64 << 10];
        while let Ok(n @ 1..) = from_gateway.read(&mut chunk).await {
            arrivals.record(n);
            if path.state() == PathState::CutsRequests {
                return true;
            }
            let mut bytes = chunk[..n].to_vec();
            // If the gateway closed the connection while the path was held, the proxy resets it, as a host does that was unreachable
            // meanwhile; the server never sees the request.
            if wait_while_held(&path, &mut from_gateway, &arrivals, &mut bytes).await
                == HeldConnection::Closed
            {
                return true;
            }
            if to_server.write_all(&bytes).await.is_err() {
                return false;
            }
        }
        false
    };
    let answers = async {
        let mut chunk = vec![0; 64 << 10];
        loop {
            let n = match from_server.read(&mut chunk).await {
                Ok(0) | Err(_) => return path.take_reset(),
                Ok(n) => n,
            };
            path.wait_until_open().await;
            let state = path.state();
            let bytes = if state == PathState::CutsAnswers {
                &chunk[..n / 2]
            } else {
                &chunk[..n]
            };
            let piece = if state == PathState::Trickles {
                TRICKLE_BYTES
            } else {
                bytes.len().max(1)
            };
            for part in bytes.chunks(piece) {
                if to_gateway.write_all(part).await.is_err() {
                    return false;
                }
                if state == PathState::Trickles {
                    sleep(Duration::from_millis(1)).await;
                }
            }
            if state == PathState::CutsAnswers {
                return true;
            }
        }
    };
    let reset = tokio::select! {
        reset = requests => reset,
        reset = answers => reset,
    };
    if reset {
        let _ = SockRef::from(to_gateway.as_ref()).set_linger(Some(Duration::ZERO));
        // Dropping the write half would send a FIN before the reset.
        to_gateway.forget();
    }
}
