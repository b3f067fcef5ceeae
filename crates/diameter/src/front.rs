//! The clients' side: accepts their connections, and gives each of their requests its one answer.

use crate::codec::Message;
use crate::credit::{loops, Ask, Credit, Key, Mapping, Taken};
use crate::dictionary::result;
use crate::link::{Event, Link, WriteBudget};
use crate::overload::OverloadReporter;
use crate::peer::{DisconnectCause, Identity, Peer, Role};
use crate::servers::{Outgoing, Servers};
use frosthatch_engine::{Engine, IncomingRequest, Protocol, Response};
use frosthatch_traffic_control::{CustomerId, Request, RequestId, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};
use tokio_rustls::TlsAcceptor;

/// A client's TLS is there within this.
const TLS_WITHIN: Duration = Duration::from_secs(5);

/// What the clients' side needs to know.
pub struct FrontConfig {
    pub me: Identity,
    pub tw_us: u64,
    pub mapping: Mapping,
    /// How long clients wait for an answer, by class (RFC 8506 section 13: the Tx timer).
    pub tx: HashMap<String, Duration>,
    /// Gateways that a customer's requests may come in through: all, from the first on.
    pub gateways: u32,
    pub most_clients: usize,
    /// TLS before anything else (RFC 6733 section 13.1); without, plain TCP.
    pub tls: Option<Arc<rustls::ServerConfig>>,
    /// Bytes of requests that have no answer yet at most; any beyond get 3004.
    pub request_bytes: usize,
    /// Bytes that wait to be written to all clients at most.
    pub queued_bytes: usize,
    pub seed: u64,
}

/// Whoever waits for an answer: the client's connection, and the id on it.
struct Waiter {
    client: u64,
    hop_by_hop: u32,
}

/// A request that is with the decisions.
#[derive(Clone)]
struct Open {
    key: Key,
    charge: bool,
    bytes: usize,
}

pub struct Front {
    plan: RefCell<Rc<FrontConfig>>,
    budget: Rc<WriteBudget>,
    engine: Rc<Engine>,
    servers: Rc<Servers>,
    credit: RefCell<Credit<Waiter>>,
    reporter: RefCell<OverloadReporter>,
    clients: RefCell<HashMap<u64, Rc<Link>>>,
    open: RefCell<HashMap<RequestId, Open>>,
    /// Bytes of theirs.
    open_bytes: Cell<usize>,
    next: Cell<u64>,
    next_client: Cell<u64>,
    leaving: Cell<bool>,
}

impl Front {
    pub fn new(plan: FrontConfig, engine: Rc<Engine>, servers: Rc<Servers>) -> Rc<Front> {
        let credit = RefCell::new(Credit::new(plan.mapping.clone()));
        let next = Cell::new(plan.seed);
        let front = Rc::new(Front {
            budget: WriteBudget::new(plan.queued_bytes),
            plan: RefCell::new(Rc::new(plan)),
            engine,
            servers: servers.clone(),
            credit,
            reporter: RefCell::default(),
            clients: RefCell::default(),
            open: RefCell::default(),
            open_bytes: Cell::new(0),
            next,
            next_client: Cell::new(0),
            leaving: Cell::new(false),
        });
        let told = Rc::downgrade(&front);
        servers.on_restart(move |server| {
            if let Some(front) = told.upgrade() {
                front.credit.borrow_mut().server_lost_sessions(&server.0);
            }
        });
        front
    }

    /// From now on by another plan: each request when it comes, each connection when it is made.
    pub fn reload(&self, plan: FrontConfig) {
        self.budget.set_max_bytes(plan.queued_bytes);
        self.credit.borrow_mut().remap(plan.mapping.clone());
        *self.plan.borrow_mut() = Rc::new(plan);
    }

    fn plan(&self) -> Rc<FrontConfig> {
        self.plan.borrow().clone()
    }

    /// A request is no longer with the decisions.
    fn close(&self, id: RequestId) {
        if let Some(open) = self.open.borrow_mut().remove(&id) {
            self.open_bytes.set(self.open_bytes.get() - open.bytes);
        }
    }

    /// Requests that have no answer yet.
    pub fn held(&self) -> usize {
        self.open.borrow().len()
    }

    /// Takes no new requests from now on.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Says goodbye to all clients.
    pub fn goodbye(&self) {
        self.clients
            .borrow()
            .values()
            .for_each(|link| link.disconnect(DisconnectCause::Rebooting));
    }

    /// Accepts connections for good.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            while self.clients.borrow().len() >= self.plan().most_clients {
                sleep(Duration::from_millis(20)).await;
            }
            let number = self.next_client.get();
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.next_client.set(number + 1);
                    drop(spawn_local(self.clone().serve(number, stream)));
                }
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn serve(self: Rc<Self>, number: u64, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (plan, engine) = (self.plan(), self.engine.clone());
        let peer = Peer::new(
            plan.me.clone(),
            Role::Client,
            plan.tw_us,
            false,
            plan.seed ^ number,
        );
        let (link, to_write) = Link::new(peer, Rc::new(move || engine.now()), self.budget.clone());
        self.clients.borrow_mut().insert(number, link.clone());
        let host = RefCell::new(String::new());
        let events = |event| match event {
            Event::Up(remote) => *host.borrow_mut() = remote.host,
            Event::Request(ccr) => self.request(number, &link, &host.borrow(), ccr),
            // Its watchdog is its own matter; answers to nothing are dropped.
            _ => {}
        };
        match plan.tls.clone().map(TlsAcceptor::from) {
            None => drop(link.run(stream, to_write, events).await),
            Some(tls) => {
                if let Ok(Ok(stream)) = timeout(TLS_WITHIN, tls.accept(stream)).await {
                    let _ = link.run(stream, to_write, events).await;
                }
            }
        }
        self.clients.borrow_mut().remove(&number);
        self.gone(number);
    }

    /// A client has gone: what only it waits for is called off.
    fn gone(&self, client: u64) {
        let open: Vec<_> = self
            .open
            .borrow()
            .iter()
            .map(|(id, of)| (*id, of.clone()))
            .collect();
        let its = |w: &Waiter| w.client == client;
        for (id, Open { key, charge, .. }) in open {
            // A charge that is out may have run: called off and then repeated it could run elsewhere, too. It goes on to
            // its end, and the repeat gets the same answer.
            if charge {
                self.credit.borrow_mut().unwait(&key, its);
            } else if self.credit.borrow_mut().leave(&key, its) {
                self.close(id);
                self.engine.client_gone(id);
            }
        }
    }

    fn request(self: &Rc<Self>, client: u64, link: &Link, from: &str, ccr: Message) {
        let refuse = |code| {
            link.send_answer(&link.own_answer(&ccr, code));
        };
        let plan = self.plan();
        if self.leaving.get() || self.open_bytes.get() + ccr.memory_bytes() > plan.request_bytes {
            return refuse(result::TOO_BUSY);
        }
        if loops(&ccr, &plan.me.host) {
            return refuse(result::LOOP_DETECTED);
        }
        let waiter = Waiter {
            client,
            hop_by_hop: ccr.header.hop_by_hop,
        };
        let taken = self
            .credit
            .borrow_mut()
            .take(self.engine.now(), &ccr, waiter);
        match taken {
            Taken::Joins => {}
            Taken::Again(mut answer) => {
                answer.header.hop_by_hop = ccr.header.hop_by_hop;
                link.send_answer(&answer);
            }
            Taken::Faulty(fault) => {
                let mut answer = link.own_answer(&ccr, fault.result_code);
                if let Some(avp) = fault.failed_avp {
                    let failed = crate::dictionary::code::FAILED_AVP;
                    answer
                        .avps
                        .push(crate::codec::Avp::of_group(failed, &[avp]));
                }
                link.send_answer(&answer);
            }
            Taken::Ask(key, ask) => self.ask(link, from, key, ask, ccr),
        }
    }

    fn ask(self: &Rc<Self>, link: &Link, from: &str, key: Key, ask: Ask, ccr: Message) {
        // A session's server that takes nothing new: elsewhere if it may move, else nothing is sent.
        let pin = match ask.server {
            Some(server) if self.servers.takes(&server) => {
                Some((ServerId(server.as_str().into()), ask.may_move))
            }
            Some(_) if !ask.may_move => {
                let answer = link.own_answer(&ccr, result::UNABLE_TO_DELIVER);
                return self.answer(&key, &ccr, &answer, None);
            }
            _ => None,
        };
        self.next.set(
            self.next
                .get()
                .wrapping_mul(0x5851_F42D_4C95_7F2D)
                .wrapping_add(0x1405_7B7E_F767_814F),
        );
        let id = RequestId(self.next.get());
        let plan = self.plan();
        let charge = ask.class == plan.mapping.charge;
        let tx = plan
            .tx
            .get(&ask.class)
            .copied()
            .unwrap_or(Duration::from_secs(10));
        let request = Request {
            id,
            customer: CustomerId(ask.customer.as_str().into()),
            plan: ask.plan,
            class: ask.class,
            units: ask.units,
            gateway_count: plan.gateways,
            first_gateway: 0,
            remaining_us: 0,
            pool: Protocol::Diameter as u8,
            sticky_server: pin,
            low_priority: false,
        };
        let bytes = ccr.memory_bytes();
        let ccr = Rc::new(ccr);
        let answered_by = Rc::new(RefCell::new(None));
        let payload = Box::new(Outgoing {
            ccr: ccr.clone(),
            from: from.into(),
            servers: self.servers.clone(),
            answered_by: answered_by.clone(),
            again: Rc::default(),
        });
        let arrival = IncomingRequest {
            request,
            gone_at: Instant::now() + tx,
            payload,
        };
        self.open.borrow_mut().insert(
            id,
            Open {
                key: key.clone(),
                charge,
                bytes,
            },
        );
        self.open_bytes.set(self.open_bytes.get() + bytes);
        let Ok(answer) = self.engine.submit(arrival) else {
            self.close(id);
            return self.answer(
                &key,
                &ccr,
                &link.own_answer(&ccr, result::UNABLE_TO_COMPLY),
                None,
            );
        };
        let (front, own) = (
            self.clone(),
            link.own_answer(&ccr, result::UNABLE_TO_COMPLY),
        );
        spawn_local(async move {
            // Ended without one: its clients have gone.
            let Ok(answer) = answer.await else { return };
            front.close(id);
            let by = answered_by.borrow().clone();
            let refused = matches!(answer, Response::Rejected { .. });
            let mut answer = match answer {
                Response::Served(bytes) => Message::decode(bytes).unwrap_or(own),
                Response::Rejected { retry_after } => refusal(own, retry_after),
                // Of HTTP only is an answer passed on in parts.
                Response::Failed { .. } | Response::Streaming(..) => own,
            };
            {
                let (mut reporter, now) = (front.reporter.borrow_mut(), front.engine.now());
                reporter.record_answer(now, refused);
                reporter.add_report(now, &ccr, &mut answer);
            }
            front.answer(&key, &ccr, &answer, by.as_ref().map(|s| &*s.0));
        });
    }

    /// Gives the one answer to whoever waits for it.
    fn answer(&self, key: &Key, ccr: &Message, answer: &Message, server: Option<&str>) {
        let now = self.engine.now();
        let waiting = self
            .credit
            .borrow_mut()
            .finished(now, key, ccr, answer, server);
        for w in waiting {
            let link = self.clients.borrow().get(&w.client).cloned();
            if let Some(link) = link {
                let mut answer = answer.clone();
                answer.header.hop_by_hop = w.hop_by_hop;
                link.send_answer(&answer);
            }
        }
    }
}

/// Nothing ran, and when to come back: DIAMETER_TOO_BUSY (RFC 6733 section 7.1.3).
fn refusal(mut answer: Message, retry_after: Duration) -> Message {
    use crate::codec::{flag, Avp};
    use crate::dictionary::code;
    answer.avps.retain(|a| a.code != code::RESULT_CODE);
    answer.header.flags |= flag::ERROR;
    let text = format!("refused; come back in {} ms", retry_after.as_millis());
    answer
        .with(Avp::of_u32(code::RESULT_CODE, result::TOO_BUSY))
        .with(Avp::of_text(code::ERROR_MESSAGE, &text).optional())
}
