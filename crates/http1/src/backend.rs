//! Attempts at servers, and the pool of connections that they use. A connection carries one request at a time and is
//! closed as soon as it is dropped: nothing is ever sent again by itself.

use crate::conn::{Answer, Conn, Progress, Room, Sending, Unread};
use crate::message::BODY_BYTES;
use crate::staleness::Staleness;
use frosthatch_engine::{
    Attempt, AttemptPermit, AttemptResult, Endpoint, EndpointObserver, EndpointState, Payload,
    Protocol, RequestCounters,
};
use frosthatch_engine::{ForwardedDeadline, WriteDenied};
use frosthatch_traffic_control::{CompletionStatus, ServerId};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};
use tracing::debug;

/// A connection is not used again sooner than this after an answer. Guards against a second answer to the same request, which
/// may come some milliseconds late and would be taken for the next one's: a stray one shows itself meanwhile. Other
/// connections rest less than they would for want of this; one more is opened where all of them do.
const REST: Duration = Duration::from_millis(25);

/// A connection that this machine could not make is tried again after this...
const RECONNECT_AFTER: Duration = Duration::from_millis(5);
/// ...and all of them together no more often than this.
const BETWEEN_RECONNECTS: Duration = Duration::from_millis(2);

/// Why an attempt got no connection.
enum NotConnected {
    /// The server refused, or did not answer.
    Unreachable,
    /// This machine could not connect for as long as the attempt could begin.
    Withheld(WriteDenied),
}

/// What of a client's request goes on to a server.
pub struct Forward {
    /// Its line and its headers, each with its end, but for the time that is left.
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    /// Where the body is kept, if it is long.
    pub room: Option<Room>,
    /// Of its class, by number.
    pub class: usize,
}

impl Forward {
    /// The head as a server gets it.
    fn head(&self, told: &ForwardedDeadline) -> Vec<u8> {
        let left = format!("X-Expires-In: {:.3}\r\n\r\n", told.span().as_secs_f64());
        [&self.head[..], left.as_bytes()].concat()
    }
}

/// A long answer on its way: what has not come yet, and the connection over which it does.
pub struct Passing {
    unread: Unread,
    conn: Conn,
    slot: Slot,
    server: ServerId,
    address: SocketAddr,
    reusable: bool,
}

impl Passing {
    /// How long the whole body is, where its head tells.
    pub fn length(&self) -> Option<usize> {
        self.unread.length()
    }

    /// More of it, in place of what stands in `into`; whether that is the end.
    pub async fn go_on(&mut self, into: &mut Vec<u8>) -> io::Result<bool> {
        self.conn.go_on(&mut self.unread, into).await
    }
}

/// A request on its way to whichever server is chosen.
pub struct Outgoing {
    pub forward: Rc<Forward>,
    pub upstream: Rc<Upstream>,
}

impl Payload for Outgoing {
    fn attempt(&self, server: &ServerId, deadline: Instant, permit: AttemptPermit) -> Attempt {
        let (upstream, forward, server) =
            (self.upstream.clone(), self.forward.clone(), server.clone());
        Box::pin(async move { upstream.attempt(&server, &forward, deadline, &permit).await })
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
    slot: Slot,
}

struct Server {
    address: SocketAddr,
    ready: bool,
    idle: Vec<Idle>,
    /// Ends the attempts that are out once the server is gone.
    gone: Rc<Notify>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.gone.notify_waiters();
    }
}

/// Counts a connection to a server for as long as it is held.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

pub struct Limits {
    pub connect_timeout: Duration,
    /// Idle connections are retired after this, well before a server closes them.
    pub idle: Duration,
    /// Connections to all servers at most.
    pub connections: usize,
    /// Memory that long requests may take together.
    pub long_requests: usize,
}

/// The servers that are known, with the connections to each.
pub struct Upstream {
    limits: Limits,
    /// Connections to all servers at most, as things stand.
    connections: Cell<usize>,
    servers: RefCell<HashMap<ServerId, Server>>,
    /// Who stands at an address: more than one for as long as news that the older ones are gone has not come.
    at: RefCell<HashMap<SocketAddr, Vec<ServerId>>>,
    open: Rc<Cell<usize>>,
    tally: Rc<RequestCounters>,
    staleness: RefCell<Staleness>,
    /// When the next connection is tried again that this machine could not make.
    next_reconnect: Cell<Instant>,
    /// What is left of the memory for long requests.
    room: Arc<AtomicUsize>,
}

impl Upstream {
    pub fn new(limits: Limits, tally: Rc<RequestCounters>) -> Self {
        let room = Arc::new(AtomicUsize::new(limits.long_requests));
        let (servers, at, open, staleness) = Default::default();
        let (connections, next_reconnect) =
            (Cell::new(limits.connections), Cell::new(Instant::now()));
        Upstream {
            limits,
            connections,
            servers,
            at,
            open,
            tally,
            staleness,
            next_reconnect,
            room,
        }
    }

    /// Holds to so many connections from now on.
    pub fn hold_to(&self, connections: usize) {
        self.connections.set(connections);
    }

    /// Where new requests for a server may go, and what tells that it is gone; none if it drains or is gone.
    fn wanted(&self, server: &ServerId) -> Option<(SocketAddr, Rc<Notify>)> {
        let servers = self.servers.borrow();
        let s = servers.get(server).filter(|s| s.ready)?;
        Some((s.address, s.gone.clone()))
    }

    /// How long a connection may be idle.
    fn most_idle(&self) -> Duration {
        self.limits.idle.min(self.staleness.borrow().limit())
    }

    /// The idle connection used last that can be used again: the others can age and be retired.
    fn take(&self, server: &ServerId) -> Option<Idle> {
        let mut servers = self.servers.borrow_mut();
        let (idle, most) = (&mut servers.get_mut(server)?.idle, self.most_idle());
        while let Some(rested) = idle.iter().rposition(|i| i.since.elapsed() >= REST) {
            let i = idle.remove(rested);
            if i.since.elapsed() < most && i.conn.quiet() {
                return Some(i);
            }
        }
        None
    }

    fn put_back(&self, server: &ServerId, address: SocketAddr, conn: Conn, slot: Slot) {
        let mut servers = self.servers.borrow_mut();
        let home = servers
            .get_mut(server)
            .filter(|s| s.ready && s.address == address);
        if let Some(home) = home.filter(|_| conn.quiet()) {
            home.idle.push(Idle {
                conn,
                since: Instant::now(),
                slot,
            });
        }
    }

    /// A long answer has been passed on whole.
    pub fn passed(&self, passing: Passing) {
        let Passing {
            conn,
            slot,
            server,
            address,
            reusable,
            ..
        } = passing;
        if reusable {
            self.put_back(&server, address, conn, slot);
        }
    }

    /// Room for the body of a long request.
    pub fn room(&self) -> Room {
        Room::new(self.room.clone())
    }

    /// Closes what has stood idle for long or was closed by its server.
    pub fn sweep(&self) {
        self.staleness.borrow_mut().fade();
        let (now, most) = (Instant::now(), self.most_idle());
        for s in self.servers.borrow_mut().values_mut() {
            s.idle
                .retain(|i| now.duration_since(i.since) < most && i.conn.quiet());
        }
    }

    /// Makes room for one more connection, at the cost of the one that has been idle longest.
    fn slot(&self) -> Option<Slot> {
        if self.open.get() >= self.connections.get() {
            let mut servers = self.servers.borrow_mut();
            let oldest = |s: &&mut Server| s.idle.first().map(|i| i.since);
            let s = servers
                .values_mut()
                .filter(|s| !s.idle.is_empty())
                .min_by_key(oldest)?;
            s.idle.remove(0);
        }
        self.open.set(self.open.get() + 1);
        Some(Slot(self.open.clone()))
    }

    /// One attempt. Whatever happens, it ends by `deadline`, but for what comes of a long answer after its first bytes.
    pub async fn attempt(
        &self,
        server: &ServerId,
        forward: &Forward,
        deadline: Instant,
        permit: &AttemptPermit,
    ) -> AttemptResult {
        let never = AttemptResult::without_answer(CompletionStatus::NoConnection);
        let Some((address, gone)) = self.wanted(server) else {
            return never;
        };
        let shortage = Cell::new(false);
        let connection = timeout_at(
            deadline,
            self.connection(server, address, permit, &shortage),
        );
        let (conn, slot, idle) = match connection.await {
            Ok(Ok(connection)) => connection,
            // That this machine could not connect says nothing of the server.
            Ok(Err(NotConnected::Withheld(reason))) => {
                debug!(server = %server.0, %reason, written = 0, "attempt.withheld");
                return AttemptResult::without_answer(CompletionStatus::NotSent);
            }
            Err(_) if shortage.get() => {
                return AttemptResult::without_answer(CompletionStatus::NotSent)
            }
            Ok(Err(NotConnected::Unreachable)) | Err(_) => return never,
        };
        let told = ForwardedDeadline::new(deadline, forward.body.len() > BODY_BYTES);
        let head = forward.head(&told);
        let length = head.len() + forward.body.len();
        let (written, withheld) = (Cell::new(0), Cell::new(None));
        // While it connected the server may have begun to drain, or moved: nothing new goes there. Nor does what may not
        // begin any more; that says nothing of the server.
        let may = |progress| {
            let there = || self.wanted(server).is_some_and(|(now, _)| now == address);
            let allowed = match progress {
                Progress::NotBegun if !there() => Err(WriteDenied::ServerNotReady),
                Progress::NotBegun => permit.check(),
                Progress::Begun => permit.check().and_then(|()| told.check()),
            };
            withheld.set(allowed.err());
            allowed
        };
        let whole = || {
            permit.written(Some(told.until()));
            self.tally.attempted(forward.class);
        };
        let request = [&head[..], &forward.body[..]];
        let sending = Sending {
            request,
            written: &written,
            may: &may,
            whole: &whole,
        };
        let begun = Instant::now();
        let answer = tokio::select! {
            answer = timeout_at(deadline, conn.ask(sending, BODY_BYTES)) => answer,
            () = gone.notified() => Ok(Err(io::ErrorKind::ConnectionAborted.into())),
        };
        if let Some(reason) = withheld.get() {
            debug!(server = %server.0, %reason, written = written.get(), "attempt.withheld");
        }
        match withheld.get() {
            // The server did not read: nobody is there, for all that can be told.
            Some(WriteDenied::ToldTimeStale) => return never,
            Some(_) => {
                if written.get() == 0 {
                    self.put_back(server, address, conn, slot);
                }
                return AttemptResult::without_answer(CompletionStatus::NotSent);
            }
            None => {}
        }
        if idle.is_some() && written.get() == 0 && matches!(answer, Ok(Err(_))) {
            // It went stale in the very moment.
            return AttemptResult::without_answer(CompletionStatus::NotSent);
        }
        if let Some(idle) = idle {
            let lost = matches!(answer, Ok(Err(_))) && begun.elapsed() < Staleness::AT_ONCE;
            self.staleness.borrow_mut().note(idle, lost);
        }
        match answer {
            Ok(Ok(mut answer)) => {
                let status = status(&answer);
                let rest = match answer.rest.take() {
                    Some(unread) => {
                        let (server, reusable) = (server.clone(), answer.reusable);
                        Some(Box::new(Passing {
                            unread,
                            conn,
                            slot,
                            server,
                            address,
                            reusable,
                        }) as Box<dyn Any>)
                    }
                    None if answer.reusable => {
                        self.put_back(server, address, conn, slot);
                        None
                    }
                    None => None,
                };
                AttemptResult {
                    status,
                    body: answer.body,
                    rest,
                    metered_use: answer.metered_use,
                    load_report: answer.report,
                }
            }
            // Not written whole: it never began. Else it may have run, or may yet.
            _ if written.get() < length => never,
            Ok(Err(_)) => AttemptResult::without_answer(CompletionStatus::ConnectionLost),
            Err(_) => AttemptResult::without_answer(CompletionStatus::NoAnswer),
        }
    }

    /// A connection on which nothing is out, and how long it has been idle if it is not new. Where this machine lacks what
    /// a new one takes it is tried again for as long as the attempt may begin; `shortage` tells of that.
    async fn connection(
        &self,
        server: &ServerId,
        address: SocketAddr,
        permit: &AttemptPermit,
        shortage: &Cell<bool>,
    ) -> Result<(Conn, Slot, Option<Duration>), NotConnected> {
        loop {
            if let Some(Idle { conn, since, slot }) = self.take(server) {
                return Ok((conn, slot, Some(since.elapsed())));
            }
            if let Some(slot) = self.slot() {
                let opening = timeout(self.limits.connect_timeout, Conn::open(address));
                match opening.await {
                    Ok(Ok(conn)) => return Ok((conn, slot, None)),
                    Ok(Err(e)) if e.is_local() => {
                        debug!(server = %server.0, reason = %e, "connect.shortage")
                    }
                    Ok(Err(_)) | Err(_) => return Err(NotConnected::Unreachable),
                }
            }
            shortage.set(true);
            permit.check().map_err(NotConnected::Withheld)?;
            self.wait_out_shortage().await;
        }
    }

    /// Waits before a connection is tried again that this machine could not make: all of them together are tried so often
    /// a second at most.
    async fn wait_out_shortage(&self) {
        let earliest = Instant::now() + RECONNECT_AFTER;
        let at = earliest.max(self.next_reconnect.get());
        self.next_reconnect.set(at + BETWEEN_RECONNECTS);
        sleep_until(at).await;
    }
}

impl EndpointObserver for Upstream {
    /// Connections to what is gone, draining or moved go.
    fn update(&self, whole: bool, members: &[Endpoint]) {
        let (mut servers, mut at) = (self.servers.borrow_mut(), self.at.borrow_mut());
        let ours = |m: &&Endpoint| m.protocol == Protocol::Http1;
        if whole {
            let named: HashSet<&str> = members
                .iter()
                .filter(ours)
                .map(|m| m.uid.as_str())
                .collect();
            servers.retain(|id, s| {
                let stays = named.contains(&*id.0);
                if !stays {
                    leave(&mut at, id, s.address);
                }
                stays
            });
        }
        for m in members.iter().filter(ours) {
            let id = ServerId(m.uid.as_str().into());
            if m.state == EndpointState::Gone {
                if let Some(s) = servers.remove(&id) {
                    leave(&mut at, &id, s.address);
                }
                continue;
            }
            let before = servers.get(&id).map(|s| s.address);
            let fresh = || Server {
                address: m.address,
                ready: false,
                idle: Vec::new(),
                gone: Rc::default(),
            };
            let s = servers.entry(id.clone()).or_insert_with(fresh);
            s.ready = m.state == EndpointState::Ready;
            if !s.ready || s.address != m.address {
                s.idle.clear();
            }
            s.address = m.address;
            if before == Some(m.address) {
                continue;
            }
            if let Some(before) = before {
                leave(&mut at, &id, before);
            }
            // Guards against reaching a new server under the name of the one that stood there before: addresses are
            // used again, and news that the old one is gone may come later.
            let there = at.entry(m.address).or_default();
            for old in there.iter() {
                if let Some(old) = servers.get_mut(old) {
                    old.ready = false;
                    old.idle.clear();
                }
            }
            there.push(id);
        }
    }
}

/// A server stands at an address no longer.
fn leave(at: &mut HashMap<SocketAddr, Vec<ServerId>>, id: &ServerId, address: SocketAddr) {
    if let Some(there) = at.get_mut(&address) {
        there.retain(|i| i != id);
        if there.is_empty() {
            at.remove(&address);
        }
    }
}

fn status(answer: &Answer) -> CompletionStatus {
    match answer.status {
        200 => CompletionStatus::Served,
        503 | 504 if answer.never_ran => CompletionStatus::Rejected,
        _ => CompletionStatus::ServerError,
    }
}

/// Sweeps the pool for good.
pub async fn sweep(upstream: Rc<Upstream>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        upstream.sweep();
    }
}
