//! Serves the admin API over TCP: accepts connections and serves one call on each.

use crate::call::AdminCall;
use crate::metrics::Metrics;
use crate::responses::{respond, respond_to_proposal, second_call_response, HttpResponse};
use frosthatch_sockets::Uninterrupted;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Maximum number of open connections. Above it, the connection that has been open longest without a call is closed.
pub const MAX_CONNECTIONS: usize = 32;
/// Time within which a call has to be received and answered before its connection is closed; longer than the
/// 5 s for which the `frosthatch` command waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum length of a request head; the smallest that hyper accepts.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum length of a request body.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 10;
/// Interval of the checks for a closed connection while all connections have a call in progress.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Delay before the next attempt after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Carries out the calls of the admin API.
pub trait AdminBackend {
    /// Returns whether the gateway is ready.
    fn is_ready(&self) -> bool;
    /// Returns the current values of all metrics.
    fn collect_metrics(&self) -> Metrics;
    /// Takes a server out of service: it is treated as draining. Returns false if the server is unknown.
    fn disable_server(&self, id: &str) -> bool;
    /// Puts a server back into service. Returns false if the server is unknown.
    fn enable_server(&self, id: &str) -> bool;
    /// Returns the cluster membership as JSON; `None` if the gateway is not in a cluster.
    fn fleet_json(&self) -> Option<String>;
    /// Leaves the cluster. Returns false if the gateway is not in a cluster.
    fn leave_fleet(&self) -> bool;
    /// Returns the status of the policy as JSON; `None` if the gateways do not agree on a policy.
    fn policy_status_json(&self) -> Option<String>;
    /// Returns the policy document in force; `None` if there is none.
    fn policy_document(&self) -> Option<String>;
    /// Proposes a policy document. Returns the proposal's number, or why the document is invalid; `None` if the
    /// gateways do not agree on a policy.
    fn propose(&self, document: &str) -> Option<Result<u64, String>>;
    /// Aborts a proposal. Returns false if the proposal is unknown or can no longer be aborted.
    fn abort_proposal(&self, proposal_number: u64) -> bool;
    /// Drains the gateway.
    fn drain(&self);
    /// Ends the drain of the gateway.
    fn undrain(&self);
}

/// The connections that have not sent a call yet, by sequence number. Notifying an entry closes its connection.
type WaitingConnections = Rc<RefCell<BTreeMap<u64, Rc<Notify>>>>;

/// Accepts connections and serves their calls. Never returns.
pub async fn listen(listener: TcpListener, backend: Rc<dyn AdminBackend>) {
    let waiting_connections = WaitingConnections::default();
    let open_connections = Rc::new(Cell::new(0));
    for sequence_number in 0.. {
        wait_for_capacity(&waiting_connections, &open_connections).await;
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let close = Rc::new(Notify::new());
        waiting_connections
            .borrow_mut()
            .insert(sequence_number, close.clone());
        open_connections.set(open_connections.get() + 1);
        let backend = backend.clone();
        let waiting_connections = waiting_connections.clone();
        let open_connections = open_connections.clone();
        spawn_local(async move {
            let on_call = || drop(waiting_connections.borrow_mut().remove(&sequence_number));
            let connection = serve_connection(stream, backend, on_call);
            tokio::select! {
                _ = timeout(CALL_TIMEOUT, connection) => {}
                () = close.notified() => {}
            }
            waiting_connections.borrow_mut().remove(&sequence_number);
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Waits until fewer than [`MAX_CONNECTIONS`] connections are open. Closes connections without a call, those open
/// longest first, to get there.
async fn wait_for_capacity(
    waiting_connections: &WaitingConnections,
    open_connections: &Cell<usize>,
) {
    while open_connections.get() >= MAX_CONNECTIONS {
        let longest_waiting = waiting_connections.borrow_mut().pop_first();
        if let Some((_, close)) = longest_waiting {
            close.notify_one();
            yield_now().await;
        } else {
            // Every open connection has a call in progress.
            sleep(CAPACITY_POLL_INTERVAL).await;
        }
    }
}

/// Serves the first call of a connection and rejects later ones. `on_call` runs whenever a call arrives.
async fn serve_connection(stream: TcpStream, backend: Rc<dyn AdminBackend>, on_call: impl Fn()) {
    let _ = stream.set_nodelay(true);
    let has_received_call = Cell::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        on_call();
        let is_second = has_received_call.replace(true);
        let backend = backend.clone();
        async move {
            Ok::<_, Infallible>(if is_second {
                second_call_response()
            } else {
                serve_call(&*backend, request).await
            })
        }
    });
    let mut http = http1::Builder::new();
    http.keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(CALL_TIMEOUT);
    let stream = TokioIo::new(Uninterrupted(stream));
    // A protocol error affects only this connection.
    let _ = http.serve_connection(stream, service).await;
}

async fn serve_call(backend: &dyn AdminBackend, request: Request<Incoming>) -> HttpResponse {
    let uri = request.uri();
    let call = AdminCall::parse(request.method().as_str(), uri.path(), uri.query());
    if call == Ok(AdminCall::Propose) {
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
        let document = body.await.ok().map(|body| body.to_bytes());
        respond_to_proposal(backend, document)
    } else {
        respond(backend, call)
    }
}
