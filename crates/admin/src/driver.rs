//! The sockets of the admin API: one call a connection.

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

/// Connections held at most; beyond that the one that has waited longest for its call is closed.
pub const MAX_CONNECTIONS: usize = 32;
/// A call is complete and answered within this, or its connection is closed: longer than patient callers wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest head (hyper's least).
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Longest body.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 10;
/// How often it is looked whether a connection has become free while all are being answered.
const FULL_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Carries calls out.
pub trait AdminBackend {
    /// Whether the gateway is ready.
    fn ready(&self) -> bool;
    /// All metrics now.
    fn metrics(&self) -> Metrics;
    /// Takes a server out: it counts as draining from then on. False if it is not known.
    fn disable(&self, id: &str) -> bool;
    /// Puts a server back. False if it is not known.
    fn enable(&self, id: &str) -> bool;
    /// The cluster as JSON; `None` where there is none.
    fn fleet(&self) -> Option<String>;
    /// Leaves the cluster. False where there is none.
    fn leave_fleet(&self) -> bool;
    /// The policy's status as JSON; `None` where gateways agree on none.
    fn policy(&self) -> Option<String>;
    /// The policy's document; `None` where none is in force.
    fn document(&self) -> Option<String>;
    /// Proposes a document: the proposal's number, or what is wrong with the document; `None` where gateways agree on no policy.
    fn propose(&self, document: &str) -> Option<Result<u64, String>>;
    /// Aborts a proposal. False if that is not possible any more.
    fn abort(&self, number: u64) -> bool;
    /// Drains the gateway.
    fn drain(&self);
    /// Ends the drain.
    fn undrain(&self);
}

/// Connections that have not brought their call yet, by number; each is closed by its notice.
type WaitingConnections = Rc<RefCell<BTreeMap<u64, Rc<Notify>>>>;

/// Accepts and answers calls. Never returns.
pub async fn listen(listener: TcpListener, backend: Rc<dyn AdminBackend>) {
    let waiting = WaitingConnections::default();
    let open = Rc::new(Cell::new(0));
    for number in 0.. {
        make_room(&waiting, &open).await;
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let close = Rc::new(Notify::new());
        waiting.borrow_mut().insert(number, close.clone());
        open.set(open.get() + 1);
        let backend = backend.clone();
        let waiting = waiting.clone();
        let open = open.clone();
        spawn_local(async move {
            let on_call = || drop(waiting.borrow_mut().remove(&number));
            let connection = serve_connection(stream, backend, on_call);
            tokio::select! {
                _ = timeout(CALL_TIMEOUT, connection) => {}
                () = close.notified() => {}
            }
            waiting.borrow_mut().remove(&number);
            open.set(open.get() - 1);
        });
    }
}

/// Returns once another connection may be accepted.
async fn make_room(waiting: &WaitingConnections, open: &Cell<usize>) {
    while open.get() >= MAX_CONNECTIONS {
        let longest_waiting = waiting.borrow_mut().pop_first();
        if let Some((_, close)) = longest_waiting {
            close.notify_one();
            yield_now().await;
        } else {
            // All of them are being answered.
            sleep(FULL_POLL_INTERVAL).await;
        }
    }
}

/// Serves one call and the end of its connection.
async fn serve_connection(stream: TcpStream, backend: Rc<dyn AdminBackend>, on_call: impl Fn()) {
    let _ = stream.set_nodelay(true);
    let has_call = Cell::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        on_call();
        let is_second = has_call.replace(true);
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
    // What the peer does wrong costs its own connection only.
    let _ = http.serve_connection(stream, service).await;
}

async fn serve_call(backend: &dyn AdminBackend, request: Request<Incoming>) -> HttpResponse {
    let uri = request.uri();
    let call = AdminCall::read(request.method().as_str(), uri.path(), uri.query());
    if call == Ok(AdminCall::Propose) {
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
        let document = body.await.ok().map(|body| body.to_bytes());
        respond_to_proposal(backend, document)
    } else {
        respond(backend, call)
    }
}
