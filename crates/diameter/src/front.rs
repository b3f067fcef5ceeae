//! Accepts connections from clients, submits their requests to the engine, and answers each request once.

mod in_flight;
mod requests;

use crate::credit::{CreditControl, CreditControlConfig};
use crate::link::{Event, Link, WriteBudget, TLS_HANDSHAKE_TIMEOUT};
use crate::overload::OverloadReporter;
use crate::peer::{DisconnectCause, Identity, Peer, Role};
use crate::servers::Servers;
use frosthatch_engine::Engine;
use in_flight::InFlightRequests;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;

/// Interval at which the number of clients is checked while it is at `max_clients`.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before the next attempt to accept a connection after one failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Configuration of a [`Frontend`].
pub struct FrontendConfig {
    /// Identity that the gateway sends to clients.
    pub identity: Identity,
    /// Watchdog interval Tw in microseconds.
    pub watchdog_interval_us: u64,
    /// Classes, plans and limits of credit control.
    pub mapping: CreditControlConfig,
    /// Time that clients wait for an answer, by class (the Tx timer of RFC 8506 section 13).
    pub transaction_timeouts: HashMap<String, Duration>,
    /// Number of gateways. A customer's requests may arrive at any gateway from 0 to `gateway_count - 1`.
    pub gateway_count: u32,
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// TLS configuration, applied from the start of a connection (RFC 6733 section 13.1); `None` for plain TCP.
    pub tls: Option<Arc<rustls::ServerConfig>>,
    /// Maximum memory use of requests in flight, in bytes. Requests beyond it are answered with `TOO_BUSY`.
    pub max_request_bytes: usize,
    /// Maximum number of bytes queued for writing to all clients.
    pub max_queued_bytes: usize,
    /// Seed for request ids and for each connection's identifiers and timers.
    pub seed: u64,
}

/// A client that waits for an answer, with the Hop-by-Hop Identifier of its request.
struct WaitingClient {
    client_id: u64,
    hop_by_hop: u32,
}

/// Serves the Diameter clients of the gateway.
pub struct Frontend {
    config: RefCell<Rc<FrontendConfig>>,
    budget: Rc<WriteBudget>,
    engine: Rc<Engine>,
    servers: Rc<Servers>,
    credit: RefCell<CreditControl<WaitingClient>>,
    overload_reporter: RefCell<OverloadReporter>,
    clients: RefCell<HashMap<u64, Rc<Link>>>,
    in_flight: RefCell<InFlightRequests>,
    last_request_id: Cell<u64>,
    next_client_id: Cell<u64>,
    is_draining: Cell<bool>,
}

impl Frontend {
    /// Creates a `Frontend` without connections, which removes a server's sessions when `servers` reports its restart.
    pub fn new(config: FrontendConfig, engine: Rc<Engine>, servers: Rc<Servers>) -> Rc<Frontend> {
        let frontend = Rc::new(Frontend {
            budget: WriteBudget::new(config.max_queued_bytes),
            engine,
            servers: servers.clone(),
            credit: RefCell::new(CreditControl::new(config.mapping.clone())),
            overload_reporter: RefCell::default(),
            clients: RefCell::default(),
            in_flight: RefCell::default(),
            last_request_id: Cell::new(config.seed),
            next_client_id: Cell::new(0),
            is_draining: Cell::new(false),
            config: RefCell::new(Rc::new(config)),
        });
        let weak_frontend = Rc::downgrade(&frontend);
        servers.set_restart_callback(move |server| {
            if let Some(frontend) = weak_frontend.upgrade() {
                frontend.credit.borrow_mut().remove_sessions_of(&server.0);
            }
        });
        frontend
    }

    /// Applies a new configuration to subsequent requests and connections.
    pub fn reload(&self, config: FrontendConfig) {
        self.budget.set_max_bytes(config.max_queued_bytes);
        self.credit.borrow_mut().set_mapping(config.mapping.clone());
        *self.config.borrow_mut() = Rc::new(config);
    }

    fn config(&self) -> Rc<FrontendConfig> {
        self.config.borrow().clone()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Rejects all subsequent requests.
    pub fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// Disconnects all clients.
    pub fn disconnect_clients(&self) {
        self.clients
            .borrow()
            .values()
            .for_each(|link| link.disconnect(DisconnectCause::Rebooting));
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            while self.clients.borrow().len() >= self.config().max_clients {
                sleep(CAPACITY_CHECK_INTERVAL).await;
            }
            let client_id = self.next_client_id.get();
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.next_client_id.set(client_id + 1);
                    drop(spawn_local(self.clone().serve(client_id, stream)));
                }
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Serves one client until its connection ends.
    async fn serve(self: Rc<Self>, client_id: u64, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let config = self.config();
        let engine = self.engine.clone();
        let peer = Peer::new(
            config.identity.clone(),
            Role::Client,
            config.watchdog_interval_us,
            false,
            config.seed ^ client_id,
        );
        let (link, queued_messages) =
            Link::new(peer, Rc::new(move || engine.now_us()), self.budget.clone());
        self.clients.borrow_mut().insert(client_id, link.clone());
        let client_host = RefCell::new(String::new());
        let on_event = |event| match event {
            Event::Up(remote) => *client_host.borrow_mut() = remote.host,
            Event::Request(ccr) => {
                self.handle_request(client_id, &link, &client_host.borrow(), ccr);
            }
            // The gateway sends no requests to clients, so failovers and answers have no effect.
            _ => {}
        };
        if let Some(tls) = config.tls.clone() {
            let handshake = TlsAcceptor::from(tls).accept(stream);
            if let Ok(Ok(stream)) = timeout(TLS_HANDSHAKE_TIMEOUT, handshake).await {
                let _ = link.run(stream, queued_messages, on_event).await;
            }
        } else {
            let _ = link.run(stream, queued_messages, on_event).await;
        }
        self.clients.borrow_mut().remove(&client_id);
        self.cancel_requests_of(client_id);
    }

    /// Removes the client from the requests that it waits for. Of the requests that no other client waits for, cancels
    /// those that no server has, and suspends the others.
    fn cancel_requests_of(&self, client_id: u64) {
        let is_disconnected = |client: &WaitingClient| client.client_id == client_id;
        let in_flight = self.in_flight.borrow().snapshot();
        for (id, request) in in_flight {
            if request.history.may_have_executed() {
                // If the request were cancelled, the client's retry would be sent while a server still has the first
                // copy, and a charge could be executed twice. The request therefore stays open, and the retry gets its
                // answer. Nothing is begun for it while no client waits.
                let has_no_clients = self
                    .credit
                    .borrow_mut()
                    .remove_clients(&request.key, is_disconnected);
                if has_no_clients {
                    self.engine.suspend(id);
                }
            } else if self.credit.borrow_mut().cancel_for_clients(
                &request.key,
                &request.ccr,
                is_disconnected,
            ) {
                self.in_flight.borrow_mut().remove(id);
                self.engine.client_gone(id);
            }
        }
    }
}

#[cfg(test)]
mod tests;
