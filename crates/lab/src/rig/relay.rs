//! What stands between the processes: an address for each that the others know, and a [`Link`] for each direction between two.
//! Datagrams only pass as the links let them; streams pass through [`Streams`], which can be cut in the middle.

use super::link::{Faults, Link};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::task::AbortHandle;
use tokio::time::sleep;

const MOST_BYTES: usize = 65_536;

struct State {
    start: Instant,
    /// Where each process really listens, once it has said so.
    real: Vec<Option<SocketAddr>>,
    /// By sender and receiver.
    links: HashMap<(usize, usize), Link>,
    /// Datagrams and bytes that each process sent.
    sent: Vec<(u64, u64)>,
    /// The last datagrams that passed, for who plays them again.
    recorded: Vec<(usize, usize, Vec<u8>)>,
    record: usize,
}

pub struct Relay {
    /// What the others know each process by.
    pub addresses: Vec<SocketAddr>,
    sockets: Vec<Arc<UdpSocket>>,
    state: Arc<Mutex<State>>,
    tasks: Vec<AbortHandle>,
}

impl Relay {
    /// For so many processes; the links' chances are drawn from the seed.
    pub fn new(on: &Handle, processes: usize, seed: u64) -> Relay {
        let sockets: Vec<Arc<UdpSocket>> = (0..processes)
            .map(|_| {
                let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
                socket.set_nonblocking(true).expect("a socket");
                let _in = on.enter();
                Arc::new(UdpSocket::from_std(socket).expect("a socket"))
            })
            .collect();
        let addresses: Vec<SocketAddr> = sockets
            .iter()
            .map(|s| s.local_addr().expect("an address"))
            .collect();
        let both = (0..processes).flat_map(|a| (0..processes).map(move |b| (a, b)));
        let seed_of =
            |(a, b): (usize, usize)| seed.wrapping_mul(1_000_003) ^ ((a * 1_000 + b) as u64);
        let state = Arc::new(Mutex::new(State {
            start: Instant::now(),
            real: vec![None; processes],
            links: both.map(|pair| (pair, Link::new(seed_of(pair)))).collect(),
            sent: vec![(0, 0); processes],
            recorded: Vec::new(),
            record: 0,
        }));
        let tasks = (0..processes)
            .map(|to| {
                on.spawn(carry(to, sockets.clone(), state.clone()))
                    .abort_handle()
            })
            .collect();
        Relay {
            addresses,
            sockets,
            state,
            tasks,
        }
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("the relay"))
    }

    /// Tells the relay where a process listens, from wherever that is heard.
    pub fn listening(&self, process: usize) -> impl Fn(SocketAddr) + Send + 'static {
        let state = self.state.clone();
        move |real| state.lock().expect("the relay").real[process] = Some(real)
    }

    pub fn set_all(&self, faults: &Faults) {
        self.with(|s| s.links.values_mut().for_each(|l| l.faults = faults.clone()));
    }

    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        self.with(|s| {
            s.links.entry((from, to)).and_modify(|l| l.faults.cut = cut);
        });
    }

    /// Only processes of one group reach each other; one that is in none reaches nobody.
    pub fn split(&self, groups: &[Vec<usize>]) {
        self.with(|s| {
            for ((a, b), link) in &mut s.links {
                link.faults.cut = !groups.iter().any(|g| g.contains(a) && g.contains(b));
            }
        });
    }

    /// Datagrams and bytes that each process has sent so far.
    pub fn sent(&self) -> Vec<(u64, u64)> {
        self.with(|s| s.sent.clone())
    }

    /// Keeps so many of the datagrams that come from now on.
    pub fn record(&self, most: usize) {
        self.with(|s| (s.record, s.recorded) = (most, Vec::new()));
    }

    /// Plays all that was recorded again, to whom it was meant and as from whom it was.
    pub fn replay(&self) -> usize {
        let (recorded, real) = self.with(|s| (std::mem::take(&mut s.recorded), s.real.clone()));
        for (from, to, bytes) in &recorded {
            let _ = real[*to].map(|real| self.sockets[*from].try_send_to(bytes, real));
        }
        recorded.len()
    }

    /// Sends something to a process as if it came from another.
    pub fn forge(&self, from: usize, to: usize, bytes: &[u8]) {
        let real = self.with(|s| s.real[to]);
        let _ = real.map(|real| self.sockets[from].try_send_to(bytes, real));
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Carries what is sent to a process's known address on to where it listens, as from its sender's known address.
async fn carry(to: usize, sockets: Vec<Arc<UdpSocket>>, state: Arc<Mutex<State>>) {
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        let Ok((n, source)) = sockets[to].recv_from(&mut buffer).await else {
            continue;
        };
        let (copies, from, real) = {
            let mut s = state.lock().expect("the relay");
            // Nobody's that is known: another test's stray, or one that has not said yet where it listens.
            let Some(from) = s.real.iter().position(|r| *r == Some(source)) else {
                continue;
            };
            s.sent[from].0 += 1;
            s.sent[from].1 += n as u64;
            let now = s.start.elapsed().as_micros() as u64;
            let copies = s
                .links
                .get_mut(&(from, to))
                .map_or(Vec::new(), |l| l.pass(now, n));
            if !copies.is_empty() && s.recorded.len() < s.record {
                s.recorded.push((from, to, buffer[..n].to_vec()));
            }
            (copies, from, s.real[to])
        };
        let Some(real) = real else { continue };
        for after in copies {
            if after == 0 {
                let _ = sockets[from].try_send_to(&buffer[..n], real);
                continue;
            }
            let (socket, bytes) = (sockets[from].clone(), buffer[..n].to_vec());
            tokio::spawn(async move {
                sleep(Duration::from_micros(after)).await;
                let _ = socket.try_send_to(&bytes, real);
            });
        }
    }
}

/// A relay of streams to one address: it can hold them back, and cut them in the middle of what they carry.
pub struct Streams {
    pub address: SocketAddr,
    state: Arc<Mutex<Piped>>,
    task: AbortHandle,
}

#[derive(Default)]
struct Piped {
    /// New streams are closed at once, and those that are there have ended.
    cut: bool,
    /// Bytes that still pass, over all streams; none: without end.
    left: Option<u64>,
    delay: Duration,
    open: Vec<AbortHandle>,
}

impl Streams {
    pub fn to(on: &Handle, target: SocketAddr) -> Streams {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let state: Arc<Mutex<Piped>> = Arc::default();
        let piped = state.clone();
        let task = on.spawn(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                return;
            };
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    continue;
                };
                let mut s = piped.lock().expect("streams");
                if s.cut {
                    continue;
                }
                s.open.retain(|t| !t.is_finished());
                let of = piped.clone();
                s.open
                    .push(tokio::spawn(pipe(client, target, of)).abort_handle());
            }
        });
        Streams {
            address,
            state,
            task: task.abort_handle(),
        }
    }

    /// Cuts all streams at once, in the middle of whatever they carry, or lets new ones pass again.
    pub fn cut(&self, cut: bool) {
        let mut s = self.state.lock().expect("streams");
        s.cut = cut;
        s.left = None;
        if cut {
            s.open.drain(..).for_each(|t| t.abort());
        }
    }

    /// Cuts all streams once so many bytes more have passed.
    pub fn cut_after(&self, bytes: u64) {
        self.state.lock().expect("streams").left = Some(bytes);
    }

    pub fn delay(&self, delay: Duration) {
        self.state.lock().expect("streams").delay = delay;
    }
}

impl Drop for Streams {
    fn drop(&mut self) {
        self.task.abort();
        self.state
            .lock()
            .expect("streams")
            .open
            .drain(..)
            .for_each(|t| t.abort());
    }
}

async fn pipe(client: tokio::net::TcpStream, target: SocketAddr, state: Arc<Mutex<Piped>>) {
    let Ok(server) = tokio::net::TcpStream::connect(target).await else {
        return;
    };
    let ((mut from_client, mut to_client), (mut from_server, mut to_server)) =
        (client.into_split(), server.into_split());
    tokio::select! {
        () = one_way(&mut from_client, &mut to_server, &state) => {}
        () = one_way(&mut from_server, &mut to_client, &state) => {}
    }
}

async fn one_way(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    state: &Mutex<Piped>,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(n) = from.read(&mut buffer).await else {
            return;
        };
        let (may, delay) = {
            let mut s = state.lock().expect("streams");
            let may = s
                .left
                .map_or(n, |left| n.min(usize::try_from(left).unwrap_or(n)));
            s.left = s.left.map(|left| left - may as u64);
            s.cut |= may < n;
            (may, s.delay)
        };
        if n == 0 {
            return;
        }
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if to.write_all(&buffer[..may]).await.is_err() || may < n {
            return;
        }
    }
}
