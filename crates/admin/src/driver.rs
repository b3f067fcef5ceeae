//! The sockets of the operators' door.

use crate::call::{AdminCall, CallError};
use crate::metrics::Metrics;
use bytes::Bytes;
use frosthatch_sockets::Uninterrupted;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
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

/// Connections held at most; beyond that the one that has waited longest for its call makes room.
pub const PLACES: usize = 32;
/// A call is whole and answered within this, or its connection ends: longer than patient callers hold one.
const ENDS_WITHIN: Duration = Duration::from_secs(6);
/// A head is no longer than this (hyper's least).
const HEAD_BYTES: usize = 8 << 10;

/// A body is no longer than this.
const BODY_BYTES: usize = 64 << 10;

const JSON: &str = "application/json";
const NO_POLICY: &str = "gateways agree on no policy here\n";
const NO_FLEET: &str = "gateways do not talk to each other here\n";

/// Who does what the calls ask for.
pub trait AdminBackend {
    fn ready(&self) -> bool;
    fn figures(&self) -> Metrics;
    /// Whether such a server is known; it counts as draining from then on.
    fn disable(&self, id: &str) -> bool;
    /// Whether such a server is known.
    fn enable(&self, id: &str) -> bool;
    /// The fleet as JSON; none where gateways do not talk to each other.
    fn fleet(&self) -> Option<String>;
    /// Whether there is a fleet to leave.
    fn leave_fleet(&self) -> bool;
    /// The policy as JSON, and its document; none where gateways agree on none.
    fn policy(&self) -> Option<String>;
    fn document(&self) -> Option<String>;
    /// The number of a proposal of this document, or what is wrong with it; none where gateways agree on none.
    fn propose(&self, document: &str) -> Option<Result<u64, String>>;
    /// Whether a proposal could still be called off.
    fn abort(&self, number: u64) -> bool;
    fn drain(&self);
    fn undrain(&self);
}

/// Answers calls for good.
pub async fn listen(listener: TcpListener, desk: Rc<dyn AdminBackend>) {
    // By number: those that have not brought their call yet are ended by their notice.
    let waiting: Rc<RefCell<BTreeMap<u64, Rc<Notify>>>> = Rc::default();
    let open = Rc::new(Cell::new(0));
    for number in 0.. {
        while open.get() >= PLACES {
            let longest = waiting.borrow_mut().pop_first();
            match longest {
                Some((_, end)) => {
                    end.notify_one();
                    yield_now().await;
                }
                // All of them are being answered.
                None => sleep(Duration::from_millis(2)).await,
            }
        }
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        let end = Rc::new(Notify::new());
        waiting.borrow_mut().insert(number, end.clone());
        open.set(open.get() + 1);
        let (desk, waiting, open) = (desk.clone(), waiting.clone(), open.clone());
        spawn_local(async move {
            let one = one_call(stream, desk, || drop(waiting.borrow_mut().remove(&number)));
            tokio::select! {
                _ = timeout(ENDS_WITHIN, one) => {}
                () = end.notified() => {}
            }
            waiting.borrow_mut().remove(&number);
            open.set(open.get() - 1);
        });
    }
}

/// One call, and the end of its connection.
async fn one_call(stream: TcpStream, desk: Rc<dyn AdminBackend>, came: impl Fn()) {
    let _ = stream.set_nodelay(true);
    let answered = Cell::new(false);
    let serve = service_fn(|request: Request<Incoming>| {
        came();
        // Never a second call, whatever the client pipelines.
        let (again, desk) = (answered.replace(true), desk.clone());
        async move {
            let call = AdminCall::read(
                request.method().as_str(),
                request.uri().path(),
                request.uri().query(),
            );
            Ok::<_, Infallible>(match call {
                _ if again => answer(StatusCode::BAD_REQUEST, "one call a connection\n"),
                Ok(AdminCall::Propose) => {
                    let body = Limited::new(request.into_body(), BODY_BYTES)
                        .collect()
                        .await;
                    proposed(&*desk, body.ok().map(|b| b.to_bytes()))
                }
                call => answered_by(&*desk, call),
            })
        }
    });
    let mut http = http1::Builder::new();
    http.keep_alive(false)
        .max_buf_size(HEAD_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(ENDS_WITHIN);
    // What the peer does wrong costs its own connection only.
    let _ = http
        .serve_connection(TokioIo::new(Uninterrupted(stream)), serve)
        .await;
}

/// `document`: none if it is too long, or did not come whole.
fn proposed(desk: &dyn AdminBackend, document: Option<Bytes>) -> Response<Full<Bytes>> {
    let text = document.as_ref().and_then(|d| std::str::from_utf8(d).ok());
    match text.map(|text| desk.propose(text)) {
        None => answer(
            StatusCode::BAD_REQUEST,
            format!("send a document of {BODY_BYTES} bytes of UTF-8 at most\n"),
        ),
        Some(None) => answer(StatusCode::NOT_FOUND, NO_POLICY),
        Some(Some(Ok(number))) => typed(
            StatusCode::ACCEPTED,
            format!("{{\"number\":{number}}}"),
            JSON,
        ),
        Some(Some(Err(why))) => answer(StatusCode::UNPROCESSABLE_ENTITY, why + "\n"),
    }
}

fn answered_by(
    desk: &dyn AdminBackend,
    call: Result<AdminCall, CallError>,
) -> Response<Full<Bytes>> {
    let known = |known: bool| match known {
        true => answer(StatusCode::OK, "done\n"),
        false => answer(StatusCode::NOT_FOUND, "no such server is listed\n"),
    };
    match call {
        Ok(AdminCall::Ready) if desk.ready() => answer(StatusCode::OK, "ready\n"),
        Ok(AdminCall::Ready) => answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        Ok(AdminCall::Metrics) => answer(StatusCode::OK, desk.figures().text()),
        Ok(AdminCall::Disable(id)) => known(desk.disable(&id)),
        Ok(AdminCall::Enable(id)) => known(desk.enable(&id)),
        Ok(AdminCall::Fleet) => match desk.fleet() {
            Some(json) => typed(StatusCode::OK, json, JSON),
            None => answer(StatusCode::NOT_FOUND, NO_FLEET),
        },
        Ok(AdminCall::Policy) => match desk.policy() {
            Some(json) => typed(StatusCode::OK, json, JSON),
            None => answer(StatusCode::NOT_FOUND, NO_POLICY),
        },
        Ok(AdminCall::Document) => match desk.document() {
            Some(text) => typed(StatusCode::OK, text, "application/toml"),
            None => answer(
                StatusCode::NOT_FOUND,
                "no document is in force: each gateway's own files are\n",
            ),
        },
        Ok(AdminCall::Propose) => proposed(desk, None),
        Ok(AdminCall::Abort(number)) if desk.abort(number) => {
            answer(StatusCode::OK, "called off\n")
        }
        Ok(AdminCall::Abort(_)) => answer(
            StatusCode::CONFLICT,
            "it is not known here, over, or may be in force already\n",
        ),
        Ok(AdminCall::LeaveFleet) if desk.leave_fleet() => answer(StatusCode::OK, "left\n"),
        Ok(AdminCall::LeaveFleet) => answer(StatusCode::NOT_FOUND, NO_FLEET),
        Ok(AdminCall::Drain) => {
            desk.drain();
            answer(StatusCode::OK, "draining\n")
        }
        Ok(AdminCall::Undrain) => {
            desk.undrain();
            answer(StatusCode::OK, "back to work\n")
        }
        Err(CallError::Path) => answer(StatusCode::NOT_FOUND, "no such call\n"),
        Err(CallError::Method(right)) => {
            let mut answer = answer(StatusCode::METHOD_NOT_ALLOWED, "another method\n");
            answer
                .headers_mut()
                .insert(ALLOW, hyper::header::HeaderValue::from_static(right));
            answer
        }
        Err(CallError::Number) => {
            answer(StatusCode::BAD_REQUEST, "name one proposal, as ?number=7\n")
        }
        Err(CallError::Id) => answer(StatusCode::BAD_REQUEST, "name one server, as ?id=s-1\n"),
    }
}

fn answer(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    typed(status, text, "text/plain; charset=utf-8")
}

fn typed(status: StatusCode, text: impl Into<Bytes>, of: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(of));
    answer
}
