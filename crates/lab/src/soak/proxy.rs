//! A fault proxy before each server: it notes when bytes came from the gateway, and holds, trickles or cuts them.

use socket2::SockRef;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Bytes that are under way in either direction at most.
const UNDER_WAY: usize = 4 << 20;
/// How often a path that holds looks whether it still does.
const LOOK: Duration = Duration::from_millis(5);
/// Pieces of a path that trickles.
const PIECE: usize = 24;

/// How the way between gateways and one server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Way {
    Open = 0,
    /// Nothing passes, in either direction; what was sent arrives later.
    Held = 1,
    /// Answers come in small pieces.
    Trickles = 2,
    /// A connection is reset in the midst of what the gateway sends.
    CutsRequests = 3,
    /// A connection is reset in the midst of an answer.
    CutsAnswers = 4,
}

/// The way to one server, shared by its connections.
#[derive(Clone, Default)]
pub struct Path {
    way: Arc<AtomicU8>,
    /// Connections that are to end by a reset.
    resets: Arc<AtomicU8>,
}

impl Path {
    pub fn set(&self, way: Way) {
        self.way.store(way as u8, Ordering::SeqCst);
    }

    fn way(&self) -> Way {
        match self.way.load(Ordering::SeqCst) {
            1 => Way::Held,
            2 => Way::Trickles,
            3 => Way::CutsRequests,
            4 => Way::CutsAnswers,
            _ => Way::Open,
        }
    }

    /// The next connection whose server ends it is reset.
    pub fn reset_next(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }

    fn takes_reset(&self) -> bool {
        let taken = |n: u8| n.checked_sub(1);
        self.resets
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, taken)
            .is_ok()
    }

    async fn wait_until_open(&self) {
        while self.way() == Way::Held {
            sleep(LOOK).await;
        }
    }
}

/// When the bytes of a connection came from the gateway.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<(usize, Instant)>>>);

impl Arrivals {
    fn note(&self, bytes: usize) {
        let mut all = self.0.lock().expect("arrivals");
        let before = all.last().map_or(0, |(end, _)| *end);
        all.push((before + bytes, Instant::now()));
    }

    /// When the byte at this place came.
    pub fn of(&self, place: usize) -> Instant {
        let all = self.0.lock().expect("arrivals");
        let found = all.iter().find(|(end, _)| *end > place).or(all.last());
        found.map_or_else(Instant::now, |(_, at)| *at)
    }
}

/// Puts a proxy between a gateway's connection and a server, which gets the returned stream.
pub fn between(tasks: &mut JoinSet<()>, stream: TcpStream, path: Path) -> (DuplexStream, Arrivals) {
    let _ = stream.set_nodelay(true);
    let (inner, outer) = tokio::io::duplex(UNDER_WAY);
    let arrivals = Arrivals::default();
    tasks.spawn(pump(stream, outer, path, arrivals.clone()));
    (inner, arrivals)
}

/// What became of a connection while its way was held.
#[derive(PartialEq)]
enum Held {
    Stays,
    /// The gateway closed it meanwhile.
    Left,
}

/// Waits until the way is open; what comes meanwhile is noted and kept.
async fn hold(
    path: &Path,
    from: &mut OwnedReadHalf,
    arrivals: &Arrivals,
    kept: &mut Vec<u8>,
) -> Held {
    let mut chunk = vec![0; 64 << 10];
    while path.way() == Way::Held {
        tokio::select! {
            read = from.read(&mut chunk), if kept.len() < UNDER_WAY => match read {
                Ok(0) | Err(_) => return Held::Left,
                Ok(n) => {
                    arrivals.note(n);
                    kept.extend_from_slice(&chunk[..n]);
                }
            },
            () = sleep(LOOK) => {}
        }
    }
    Held::Stays
}

async fn pump(stream: TcpStream, server: DuplexStream, path: Path, arrivals: Arrivals) {
    let (mut from_server, mut to_server) = tokio::io::split(server);
    let (mut from_gateway, mut to_gateway) = stream.into_split();
    let requests = async {
        let mut chunk = vec![0; 64 << 10];
        while let Ok(n @ 1..) = from_gateway.read(&mut chunk).await {
            arrivals.note(n);
            if path.way() == Way::CutsRequests {
                return true;
            }
            let mut bytes = chunk[..n].to_vec();
            // A machine that is back resets what was left meanwhile; it never hears of it.
            if hold(&path, &mut from_gateway, &arrivals, &mut bytes).await == Held::Left {
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
                Ok(0) | Err(_) => return path.takes_reset(),
                Ok(n) => n,
            };
            path.wait_until_open().await;
            let way = path.way();
            let bytes = if way == Way::CutsAnswers {
                &chunk[..n / 2]
            } else {
                &chunk[..n]
            };
            let piece = if way == Way::Trickles {
                PIECE
            } else {
                bytes.len().max(1)
            };
            for part in bytes.chunks(piece) {
                if to_gateway.write_all(part).await.is_err() {
                    return false;
                }
                if way == Way::Trickles {
                    sleep(Duration::from_millis(1)).await;
                }
            }
            if way == Way::CutsAnswers {
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
        // Its end would be an orderly one.
        to_gateway.forget();
    }
}
