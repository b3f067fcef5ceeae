//! Relay between the processes: a public address for each process, and a [`Link`] for each direction between two.
//! Datagrams are delivered as their link decides; TCP streams pass through [`StreamRelay`], which can close them in
//! mid-transfer.

use super::link::{Faults, Link};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Size of the receive buffer, above the largest UDP payload.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

struct State {
    start: Instant,
    /// Address on which each process listens, once it has logged it.
    listen_addresses: Vec<Option<SocketAddr>>,
    /// Links by sender and receiver.
    links: HashMap<(usize, usize), Link>,
    /// Number of datagrams and of bytes that each process sent.
    sent: Vec<(u64, u64)>,
    /// Sender, receiver and payload of delivered datagrams, for [`Relay::replay`].
    recorded: Vec<(usize, usize, Vec<u8>)>,
    /// Number of datagrams at which recording stops; 0 records nothing.
    max_recorded: usize,
}

/// Relay of datagrams between processes.
pub struct Relay {
    /// Public address of each process, known to the other processes.
    pub addresses: Vec<SocketAddr>,
    sockets: Vec<Arc<UdpSocket>>,
    state: Arc<Mutex<State>>,
    tasks: Vec<AbortHandle>,
}

impl Relay {
    /// Creates a relay for this number of processes. The seed determines the random decisions of all links.
    pub fn new(on: &Handle, processes: usize, seed: u64) -> Relay {
        let sockets: Vec<Arc<UdpSocket>> = (0..processes)
            .map(|_| {
                let socket =
                    std::net::UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
                socket
                    .set_nonblocking(true)
                    .expect("a valid socket descriptor can be made non-blocking");
                let _guard = on.enter();
                Arc::new(UdpSocket::from_std(socket).expect("the socket is non-blocking"))
            })
            .collect();
        let addresses: Vec<SocketAddr> = sockets
            .iter()
            .map(|s| s.local_addr().expect("a bound socket has an address"))
            .collect();
        let pairs = (0..processes).flat_map(|a| (0..processes).map(move |b| (a, b)));
        let seed_of =
            |(a, b): (usize, usize)| seed.wrapping_mul(1_000_003) ^ ((a * 1_000 + b) as u64);
        let state = Arc::new(Mutex::new(State {
            start: Instant::now(),
            listen_addresses: vec![None; processes],
            links: pairs.map(|pair| (pair, Link::new(seed_of(pair)))).collect(),
            sent: vec![(0, 0); processes],
            recorded: Vec::new(),
            max_recorded: 0,
        }));
        let tasks = (0..processes)
            .map(|to| {
                on.spawn(forward_datagrams(to, sockets.clone(), state.clone()))
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

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self
            .state
            .lock()
            .expect("no thread panics while it holds the state"))
    }

    /// Returns a function that sets the address on which a process listens.
    pub fn listen_address_setter(&self, process: usize) -> impl Fn(SocketAddr) + Send + 'static {
        let state = self.state.clone();
        move |address| {
            state
                .lock()
                .expect("no thread panics while it holds the state")
                .listen_addresses[process] = Some(address)
        }
    }

    /// Sets the faults of all links.
    pub fn set_all_faults(&self, faults: &Faults) {
        self.with_state(|s| {
            s.links
                .values_mut()
                .for_each(|link| link.faults = faults.clone())
        });
    }

    /// Cuts or restores the link from one process to another.
    pub fn set_cut(&self, from: usize, to: usize, cut: bool) {
        self.with_state(|s| {
            s.links
                .entry((from, to))
                .and_modify(|link| link.faults.cut = cut);
        });
    }

    /// Partitions the processes: only processes of the same group reach each other, one in no group reaches none.
    pub fn split(&self, groups: &[Vec<usize>]) {
        self.with_state(|s| {
            for ((a, b), link) in &mut s.links {
                link.faults.cut = !groups.iter().any(|g| g.contains(a) && g.contains(b));
            }
        });
    }

    /// Returns the number of datagrams and of bytes that each process has sent so far.
    pub fn sent(&self) -> Vec<(u64, u64)> {
        self.with_state(|s| s.sent.clone())
    }

    /// Records the next `max_datagrams` delivered datagrams, and discards those recorded before.
    pub fn record_datagrams(&self, max_datagrams: usize) {
        self.with_state(|s| (s.max_recorded, s.recorded) = (max_datagrams, Vec::new()));
    }

    /// Sends the recorded datagrams again, from the same sender to the same receiver and without their links,
    /// clears the record and returns how many it held.
    pub fn replay(&self) -> usize {
        let (recorded, listen_addresses) =
            self.with_state(|s| (std::mem::take(&mut s.recorded), s.listen_addresses.clone()));
        for (from, to, bytes) in &recorded {
            let _ = listen_addresses[*to]
                .map(|address| self.sockets[*from].try_send_to(bytes, address));
        }
        recorded.len()
    }

    /// Sends a datagram to a process with the public address of another as its source.
    pub fn forge(&self, from: usize, to: usize, bytes: &[u8]) {
        let address = self.with_state(|s| s.listen_addresses[to]);
        let _ = address.map(|address| self.sockets[from].try_send_to(bytes, address));
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Forwards datagrams sent to the public address of process `to`, with the public address of the sender as their
/// source.
async fn forward_datagrams(to: usize, sockets: Vec<Arc<UdpSocket>>, state: Arc<Mutex<State>>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let Ok((n, source)) = sockets[to].recv_from(&mut buffer).await else {
            continue;
        };
        let (copies, from, address) = {
            let mut s = state
                .lock()
                .expect("no thread panics while it holds the state");
            // Drops datagrams from unknown sources: processes of another test, or processes whose listen address is
            // not set yet.
            let Some(from) = s.listen_addresses.iter().position(|r| *r == Some(source)) else {
                continue;
            };
            s.sent[from].0 += 1;
            s.sent[from].1 += n as u64;
            let now_us = s.start.elapsed().as_micros() as u64;
            let copies = s
                .links
                .get_mut(&(from, to))
                .map_or(Vec::new(), |link| link.deliver(now_us, n));
            if !copies.is_empty() && s.recorded.len() < s.max_recorded {
                s.recorded.push((from, to, buffer[..n].to_vec()));
            }
            (copies, from, s.listen_addresses[to])
        };
        let Some(address) = address else { continue };
        for delay_us in copies {
            if delay_us == 0 {
                let _ = sockets[from].try_send_to(&buffer[..n], address);
                continue;
            }
            let (socket, bytes) = (sockets[from].clone(), buffer[..n].to_vec());
            tokio::spawn(async move {
                sleep(Duration::from_micros(delay_us)).await;
                let _ = socket.try_send_to(&bytes, address);
            });
        }
    }
}

/// Relay of TCP streams to one address, which can delay them and close them in mid-transfer.
pub struct StreamRelay {
    pub address: SocketAddr,
    state: Arc<Mutex<StreamState>>,
    task: AbortHandle,
}

#[derive(Default)]
struct StreamState {
    /// New streams are closed as soon as they are accepted.
    cut: bool,
    /// Bytes that may still pass, over all streams together; `None` means no limit.
    remaining_bytes: Option<u64>,
    delay: Duration,
    open_streams: Vec<AbortHandle>,
}

impl StreamRelay {
    /// Starts a relay to `target` on an address of its own.
    pub fn to(on: &Handle, target: SocketAddr) -> StreamRelay {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        listener
            .set_nonblocking(true)
            .expect("a valid socket descriptor can be made non-blocking");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let state: Arc<Mutex<StreamState>> = Arc::default();
        let shared = state.clone();
        let task = on.spawn(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                return;
            };
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    continue;
                };
                let mut s = shared
                    .lock()
                    .expect("no thread panics while it holds the state");
                if s.cut {
                    continue;
                }
                s.open_streams.retain(|t| !t.is_finished());
                let state = shared.clone();
                s.open_streams
                    .push(tokio::spawn(relay_stream(client, target, state)).abort_handle());
            }
        });
        StreamRelay {
            address,
            state,
            task: task.abort_handle(),
        }
    }

    /// With `cut`, closes all streams at once, in mid-transfer, and closes new ones as soon as they are accepted;
    /// without, relays new streams again. Both remove the limit set by [`StreamRelay::cut_after`].
    pub fn set_cut(&self, cut: bool) {
        let mut s = self
            .state
            .lock()
            .expect("no thread panics while it holds the state");
        s.cut = cut;
        s.remaining_bytes = None;
        if cut {
            s.open_streams.drain(..).for_each(|t| t.abort());
        }
    }

    /// Closes every stream at its next byte once `bytes` more bytes have passed over all streams together, and
    /// closes new ones as soon as they are accepted.
    pub fn cut_after(&self, bytes: u64) {
        self.state
            .lock()
            .expect("no thread panics while it holds the state")
            .remaining_bytes = Some(bytes);
    }

    /// Delays each read of up to 16 KiB by `delay` from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state
            .lock()
            .expect("no thread panics while it holds the state")
            .delay = delay;
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.task.abort();
        self.state
            .lock()
            .expect("no thread panics while it holds the state")
            .open_streams
            .drain(..)
            .for_each(|t| t.abort());
    }
}

/// Connects to `target` and copies data in both directions until one of them ends.
async fn relay_stream(
    client: tokio::net::TcpStream,
    target: SocketAddr,
    state: Arc<Mutex<StreamState>>,
) {
    let Ok(server) = tokio::net::TcpStream::connect(target).await else {
        return;
    };
    let ((mut from_client, mut to_client), (mut from_server, mut to_server)) =
        (client.into_split(), server.into_split());
    tokio::select! {
        () = copy_direction(&mut from_client, &mut to_server, &state) => {}
        () = copy_direction(&mut from_server, &mut to_client, &state) => {}
    }
}

/// Copies data from one side to the other until it ends or the byte limit is reached.
async fn copy_direction(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    state: &Mutex<StreamState>,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(n) = from.read(&mut buffer).await else {
            return;
        };
        let (allowed, delay) = {
            let mut s = state
                .lock()
                .expect("no thread panics while it holds the state");
            let allowed = s.remaining_bytes.map_or(n, |remaining| {
                n.min(usize::try_from(remaining).unwrap_or(n))
            });
            s.remaining_bytes = s
                .remaining_bytes
                .map(|remaining| remaining - allowed as u64);
            s.cut |= allowed < n;
            (allowed, s.delay)
        };
        if n == 0 {
            return;
        }
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if to.write_all(&buffer[..allowed]).await.is_err() || allowed < n {
            return;
        }
    }
}
