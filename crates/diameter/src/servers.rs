//! Diameter servers: a connection to each, kept open, over which requests go and answers come in any order.

use crate::codec::Message;
use crate::credit::{forwarded, verdict, Verdict};
use crate::link::{Event, Link, LinkEnd, SentAttempt, WriteBudget};
use crate::overload::{announce_support, OverloadAbatement};
use crate::peer::{DisconnectCause, Identity, Peer, Role};
use frosthatch_engine::{
    Attempt, AttemptPermit, AttemptResult, Endpoint, EndpointObserver, EndpointState, Payload,
    Protocol,
};
use frosthatch_log::log_line;
use frosthatch_traffic_control::{CompletionStatus, ServerId};
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustls::pki_types::ServerName;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tokio_rustls::TlsConnector;

/// Pauses between attempts to connect (RFC 6733 section 2.1 calls it Tc), doubled each time.
const PAUSE_LEAST: Duration = Duration::from_millis(100);
const PAUSE_MOST: Duration = Duration::from_secs(30);

/// A server's TLS is there within this.
const TLS_WITHIN: Duration = Duration::from_secs(5);

/// What connecting to servers needs to know.
pub struct ServersConfig {
    pub me: Identity,
    pub tw_us: u64,
    pub connect_timeout: Duration,
    /// Requests out at one server at most.
    pub most_pending: usize,
    /// TLS before anything else, and the name that servers' certificates must have; without, plain TCP.
    pub tls: Option<(Arc<rustls::ClientConfig>, ServerName<'static>)>,
    /// Bytes that wait to be written to all servers at most.
    pub queued_bytes: usize,
    pub seed: u64,
}

struct Pending {
    answer: oneshot::Sender<Option<Message>>,
    /// Where its last byte stands in what is written there.
    end: u64,
}

#[derive(Default)]
struct Server {
    address: Option<SocketAddr>,
    ready: Cell<bool>,
    /// Its watchdog is answered.
    okay: Cell<bool>,
    /// It was, on this connection: its end is news.
    served: Cell<bool>,
    link: RefCell<Option<Rc<Link>>>,
    /// By Hop-by-Hop id.
    pending: RefCell<HashMap<u32, Pending>>,
    /// It was up before.
    was_up: Cell<bool>,
    state_id: Cell<Option<u32>>,
    /// How much less it wants to be asked.
    heeded: RefCell<OverloadAbatement>,
    task: RefCell<Option<AbortHandle>>,
}

impl Server {
    /// It is gone, or elsewhere: its connection ends.
    fn stop(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.lose();
    }

    /// A server that drains is told goodbye once nothing is out there.
    fn end_drained(&self) {
        let link = self.link.borrow().clone();
        if let (false, true, Some(link)) =
            (self.ready.get(), self.pending.borrow().is_empty(), link)
        {
            if link.is_open() {
                link.disconnect(DisconnectCause::DoNotWantToTalkToYou);
            }
        }
    }

    /// Everything that is out there has ended: what was written may have run.
    fn lose(&self) {
        let link = self.link.borrow().clone();
        for (_, p) in self.pending.borrow_mut().drain() {
            let may_have_run = link.as_ref().is_none_or(|l| l.has_written(p.end));
            if may_have_run {
                drop(p.answer);
            } else {
                let _ = p.answer.send(None);
            }
        }
    }
}

/// Told when a server has restarted and forgotten its sessions.
type Restarted = Box<dyn Fn(&ServerId)>;

pub struct Servers {
    plan: RefCell<Rc<ServersConfig>>,
    budget: Rc<WriteBudget>,
    clock: Rc<dyn Fn() -> u64>,
    servers: RefCell<HashMap<ServerId, Rc<Server>>>,
    restarted: RefCell<Option<Restarted>>,
    rng: RefCell<Pcg64Mcg>,
    me: Weak<Servers>,
}

impl Servers {
    pub fn new(plan: ServersConfig, clock: Rc<dyn Fn() -> u64>) -> Rc<Servers> {
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(plan.seed));
        Rc::new_cyclic(|me| Servers {
            rng,
            budget: WriteBudget::new(plan.queued_bytes),
            plan: RefCell::new(Rc::new(plan)),
            clock,
            servers: RefCell::default(),
            restarted: RefCell::new(None),
            me: me.clone(),
        })
    }

    /// From now on by another plan: each connection when it is made anew.
    pub fn reload(&self, plan: ServersConfig) {
        self.budget.set_max_bytes(plan.queued_bytes);
        *self.plan.borrow_mut() = Rc::new(plan);
    }

    fn plan(&self) -> Rc<ServersConfig> {
        self.plan.borrow().clone()
    }

    pub fn on_restart(&self, restarted: impl Fn(&ServerId) + 'static) {
        *self.restarted.borrow_mut() = Some(Box::new(restarted));
    }

    /// Whether new requests may go there.
    pub fn takes(&self, server: &str) -> bool {
        let servers = self.servers.borrow();
        servers
            .get(&ServerId(server.into()))
            .is_some_and(|s| s.ready.get() && s.okay.get())
    }

    /// Says goodbye to all of them: nothing is held any more.
    pub fn leave(&self) {
        for s in self.servers.borrow().values() {
            s.ready.set(false);
            if let Some(link) = &*s.link.borrow() {
                link.disconnect(DisconnectCause::Rebooting);
            }
        }
    }

    /// Keeps a connection to one server for good.
    async fn keep(self: Rc<Self>, id: ServerId, s: Weak<Server>, address: SocketAddr) {
        let mut pause = PAUSE_LEAST;
        let mut seed = self.plan().seed;
        loop {
            seed = seed
                .wrapping_mul(0x5851_F42D_4C95_7F2D)
                .wrapping_add(u64::from(address.port()) | 1);
            let Some(server) = s.upgrade() else { return };
            // One that drains is left alone.
            while !server.ready.get() {
                sleep(PAUSE_LEAST).await;
            }
            let plan = self.plan();
            let connect = timeout(plan.connect_timeout, frosthatch_sockets::connect(address)).await;
            if let Ok(Ok(stream)) = connect {
                let again = server.was_up.get();
                let peer = Peer::new(plan.me.clone(), Role::Server, plan.tw_us, again, seed);
                let (link, to_write) = Link::new(peer, self.clock.clone(), self.budget.clone());
                *server.link.borrow_mut() = Some(link.clone());
                let events = |event| self.event(&id, &server, event);
                let why = match plan.tls.clone() {
                    None => link.run(stream, to_write, events).await,
                    Some((tls, name)) => {
                        let connect = TlsConnector::from(tls).connect(name, stream);
                        match timeout(TLS_WITHIN, connect).await {
                            Ok(Ok(stream)) => link.run(stream, to_write, events).await,
                            Ok(Err(error)) => LinkEnd::TlsFailed(error),
                            Err(_) => LinkEnd::TlsTimeout,
                        }
                    }
                };
                server.okay.set(false);
                server.lose();
                *server.link.borrow_mut() = None;
                if server.served.take() {
                    log_line!("diameter: server {}: {why}", id.0);
                }
                if server.was_up.get() && !again {
                    pause = PAUSE_LEAST;
                }
            }
            drop(server);
            sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MOST);
        }
    }

    fn event(&self, id: &ServerId, s: &Server, event: Event) {
        match event {
            Event::Up(remote) => {
                let before = s.state_id.replace(remote.state_id);
                // RFC 6733 section 8.16: another Origin-State-Id, and what it knew is gone.
                let again = s.was_up.replace(true);
                if let (true, Some(restarted)) = (
                    again && before != remote.state_id,
                    &*self.restarted.borrow(),
                ) {
                    restarted(id);
                }
                // One that was up before is believed when it has answered for a while.
                s.okay.set(!again);
                s.served.set(!again);
            }
            Event::Failover => {
                s.okay.set(false);
                s.lose();
            }
            Event::Failback => {
                s.okay.set(true);
                s.served.set(true);
            }
            Event::PeerClosing => s.okay.set(false),
            // What nobody waits for any more, or never has: dropped.
            Event::Answer(answer) => {
                let pending = s.pending.borrow_mut().remove(&answer.header.hop_by_hop);
                if let Some(p) = pending {
                    let _ = p.answer.send(Some(answer));
                }
            }
            // Servers ask nothing of clients here (RAR and ASR are left out).
            Event::Request(request) => {
                if let Some(link) = &*s.link.borrow() {
                    let answer =
                        link.own_answer(&request, crate::dictionary::result::UNABLE_TO_DELIVER);
                    let _ = link.send(&answer);
                }
            }
        }
    }

    async fn attempt(
        &self,
        id: &ServerId,
        ccr: &Message,
        from: &str,
        again: bool,
        deadline: Instant,
        permit: AttemptPermit,
    ) -> AttemptResult {
        let never = AttemptResult::without_answer(CompletionStatus::NoConnection);
        let Some(s) = self.servers.borrow().get(id).cloned() else {
            return never;
        };
        let link = s
            .link
            .borrow()
            .clone()
            .filter(|l| l.is_open() && s.ready.get() && s.okay.get());
        let Some(link) = link else { return never };
        if s.pending.borrow().len() >= self.plan().most_pending {
            return never;
        }
        if s.heeded
            .borrow()
            .draw_abated((self.clock)(), &mut self.rng.borrow_mut())
        {
            return AttemptResult::without_answer(CompletionStatus::Rejected);
        }
        let hop = link.next_hop_by_hop();
        let mut message = forwarded(ccr, from, hop, again);
        announce_support(&mut message);
        if permit.check().is_err() {
            return AttemptResult::without_answer(CompletionStatus::NotSent);
        }
        let Some(SentAttempt { end, mut denied }) = link.send_attempt(&message, permit) else {
            return never;
        };
        let (sender, answer) = oneshot::channel();
        s.pending.borrow_mut().insert(
            hop,
            Pending {
                answer: sender,
                end,
            },
        );
        // Called off, or given up: an answer that comes later finds nobody.
        let _forget = Forget {
            server: s.clone(),
            hop,
        };
        let answered = timeout_at(deadline, answer);
        let answered = tokio::select! {
            biased;
            Ok(_) = &mut denied => return AttemptResult::without_answer(CompletionStatus::NotSent),
            answered = answered => answered,
        };
        match answered {
            Ok(Ok(Some(answer))) => {
                s.heeded.borrow_mut().update((self.clock)(), &answer);
                let status = match verdict(&answer) {
                    Verdict::Answered => CompletionStatus::Served,
                    Verdict::TurnedAway => CompletionStatus::Rejected,
                    Verdict::Error => CompletionStatus::ServerError,
                };
                AttemptResult {
                    body: answer.encode().into(),
                    ..AttemptResult::without_answer(status)
                }
            }
            Ok(Ok(None)) => never,
            Ok(Err(_)) => AttemptResult::without_answer(CompletionStatus::ConnectionLost),
            // Also where it is not written yet: the connection cannot take it back.
            Err(_) => AttemptResult::without_answer(CompletionStatus::NoAnswer),
        }
    }
}

struct Forget {
    server: Rc<Server>,
    hop: u32,
}

impl Drop for Forget {
    fn drop(&mut self) {
        self.server.pending.borrow_mut().remove(&self.hop);
        self.server.end_drained();
    }
}

impl EndpointObserver for Servers {
    fn update(&self, whole: bool, members: &[Endpoint]) {
        let mut servers = self.servers.borrow_mut();
        let ours = |m: &&Endpoint| m.protocol == Protocol::Diameter;
        if whole {
            let named: HashSet<&str> = members
                .iter()
                .filter(ours)
                .map(|m| m.uid.as_str())
                .collect();
            servers.retain(|id, s| {
                let stays = named.contains(&*id.0);
                if !stays {
                    s.stop();
                }
                stays
            });
        }
        for m in members.iter().filter(ours) {
            let id = ServerId(m.uid.as_str().into());
            if m.state == EndpointState::Gone {
                if let Some(s) = servers.remove(&id) {
                    s.stop();
                }
                continue;
            }
            let moved = servers
                .get(&id)
                .is_none_or(|s| s.address != Some(m.address));
            if moved {
                let server = Rc::new(Server {
                    address: Some(m.address),
                    ..Server::default()
                });
                if let Some(me) = self.me.upgrade() {
                    let keep = me.keep(id.clone(), Rc::downgrade(&server), m.address);
                    *server.task.borrow_mut() = Some(tokio::task::spawn_local(keep).abort_handle());
                }
                if let Some(before) = servers.insert(id.clone(), server) {
                    before.stop();
                }
            }
            if let Some(s) = servers.get(&id) {
                s.ready.set(m.state == EndpointState::Ready);
                s.end_drained();
            }
        }
    }
}

/// A request on its way to whichever server is chosen.
pub struct Outgoing {
    pub ccr: Rc<Message>,
    /// The client's peer, which goes into the Route-Record.
    pub from: String,
    pub servers: Rc<Servers>,
    /// Whose answer came last.
    pub answered_by: Rc<RefCell<Option<ServerId>>>,
    /// An attempt before may have run.
    pub again: Rc<Cell<bool>>,
}

impl Payload for Outgoing {
    fn attempt(&self, server: &ServerId, deadline: Instant, permit: AttemptPermit) -> Attempt {
        let (ccr, from, servers) = (self.ccr.clone(), self.from.clone(), self.servers.clone());
        let (by, again, server) = (self.answered_by.clone(), self.again.clone(), server.clone());
        Box::pin(async move {
            let ended = servers
                .attempt(&server, &ccr, &from, again.get(), deadline, permit)
                .await;
            if ended.status == CompletionStatus::Served {
                *by.borrow_mut() = Some(server);
            }
            again.set(again.get() || !ended.status.never_ran());
            ended
        })
    }
}
