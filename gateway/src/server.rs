//! The clients' side: reads and checks requests, and gives each its one answer.

use crate::driver::{Answer, Arrival, Driver, Forward, NotTaken, EXPIRES_IN, IDEMPOTENCY_KEY, TRACE_ID};
use crate::upstream::BODY_BYTES;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at, Instant};
use turndeck::{CustomerId, Effect, RequestId, Settings};

const QOS: HeaderName = HeaderName::from_static("x-qos");
const TIER: HeaderName = HeaderName::from_static("x-tier");
const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
const CALL_TERMS: HeaderName = HeaderName::from_static("x-call-terms");

/// A head takes no longer than this to come in, nor a kept connection to be used again.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// No client waits this long.
const MOST_PATIENCE_S: f64 = 3_600.0;

/// What the clients' connections share.
pub struct Door {
    driver: Rc<Driver>,
    settings: Settings,
    leaving: Cell<bool>,
    /// Tells open connections to end once idle.
    close: Notify,
    open: Cell<usize>,
    /// Connections held at most.
    most: usize,
}

impl Door {
    pub fn new(driver: Rc<Driver>, settings: Settings, most: usize) -> Rc<Self> {
        let (leaving, open) = (Cell::new(false), Cell::new(0));
        Rc::new(Door { driver, settings, leaving, close: Notify::new(), open, most })
    }

    /// From now on every answer closes its connection.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Idle connections end now, the others after their answer.
    pub fn close(&self) {
        self.close.notify_waiters();
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Accepts connections for good.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            // Guards against running out of descriptors: those that are idle make room.
            while self.open() >= self.most {
                self.close();
                sleep(Duration::from_millis(5)).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    let door = self.clone();
                    self.open.set(self.open.get() + 1);
                    tokio::task::spawn_local(async move {
                        door.serve(stream).await;
                        door.open.set(door.open.get() - 1);
                    });
                }
                // Out of descriptors, or the client has left again: the next may do better.
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn serve(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.handle(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            // A client's broken connection is its own affair.
            _ = connection.as_mut() => return,
            () = self.close.notified() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    async fn handle(
        self: &Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let mut response = match self.answer(request).await {
            Ok(response) => response,
            Err(refusal) => plain(refusal.status(), refusal.text()),
        };
        if self.leaving.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, BadRequest> {
        let received = Instant::now();
        if request.uri().path() == "/ready" {
            let serving = self.driver.ready() && !self.leaving.get();
            return Ok(match serving {
                true => plain(StatusCode::OK, "ready"),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            });
        }
        let arrival = self.read(request, received).await?;
        let id = arrival.request.id;
        let answer = self.driver.take(arrival).map_err(BadRequest::NotTaken)?;
        let mut waiting = Waiting { driver: &self.driver, id: Some(id) };
        let answer = answer.await;
        waiting.id = None;
        Ok(match answer {
            Ok(Answer::Served(body)) => Response::new(Full::new(body)),
            Ok(Answer::Refused { retry_after }) => refused(retry_after),
            Ok(Answer::Failed(status)) => plain(status, "failed"),
            Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
        })
    }

    async fn read(&self, request: Request<Incoming>, received: Instant) -> Result<Arrival, BadRequest> {
        let (head, body) = request.into_parts();
        let h = &head.headers;
        let path = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        let first = path.path().split('/').nth(1).unwrap_or("");
        let set = &self.settings;
        let class = set.classes.iter().find(|c| c.name == first).ok_or(BadRequest::Path)?;
        if text(h, &QOS)? != class.name {
            return Err(BadRequest::Header(QOS));
        }
        let method = if class.effect == Effect::Repeatable { Method::GET } else { Method::POST };
        if head.method != method {
            return Err(BadRequest::Method);
        }
        let trace = text(h, &TRACE_ID)?;
        let id = hex16(trace).ok_or(BadRequest::Header(TRACE_ID))?;
        let customer = text(h, &API_KEY)?;
        hex16(customer).ok_or(BadRequest::Header(API_KEY))?;
        let plan = text(h, &TIER)?;
        let plan = set.plans.iter().find(|p| p.name == plan).ok_or(BadRequest::Header(TIER))?;
        let patience = text(h, &EXPIRES_IN)?.parse::<f64>().ok();
        let patience =
            patience.filter(|s| (0.0..=MOST_PATIENCE_S).contains(s)).ok_or(BadRequest::Header(EXPIRES_IN))?;
        let terms = Terms::parse(text(h, &CALL_TERMS)?, set).ok_or(BadRequest::Header(CALL_TERMS))?;
        if class.effect != Effect::Repeatable {
            text(h, &IDEMPOTENCY_KEY)?;
        }
        // Nobody waits past the class's deadline, whatever the header says: what is kept for a request is short-lived.
        let patience = Duration::from_secs_f64(patience).min(Duration::from_micros(class.deadline_us));
        let gone_at = received + patience;
        let body = timeout_at(gone_at, Limited::new(body, BODY_BYTES).collect());
        let body = match body.await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(BadRequest::TooLarge),
            Ok(Err(_)) => return Err(BadRequest::Body),
            Err(_) => return Err(BadRequest::Slow),
        };
        if method == Method::GET && !body.is_empty() {
            return Err(BadRequest::Body);
        }
        let request = turndeck::Request {
            id: RequestId(id),
            customer: CustomerId(customer.into()),
            plan: plan.name.clone(),
            class: class.name.clone(),
            units: terms.units,
            width: terms.spread,
            first_gateway: terms.first,
            patience_us: 0,
        };
        let forward = Forward {
            method,
            path,
            host: h.get(HOST).cloned().unwrap_or(HeaderValue::from_static("backend.local")),
            trace_id: h[TRACE_ID].clone(),
            idempotency_key: h.get(IDEMPOTENCY_KEY).cloned(),
            content_type: h.get(CONTENT_TYPE).cloned(),
            body,
        };
        Ok(Arrival { request, gone_at, forward })
    }
}

/// Dropped before the answer: the client has gone.
struct Waiting<'a> {
    driver: &'a Rc<Driver>,
    id: Option<RequestId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.driver.client_gone(id);
        }
    }
}

struct Terms {
    units: f64,
    spread: u32,
    first: u32,
}

impl Terms {
    /// `units=2,spread=3,first=1`, each in its range.
    fn parse(text: &str, set: &Settings) -> Option<Terms> {
        fn find<T: FromStr>(text: &str, name: &str) -> Option<T> {
            let mut parts = text.split(',').filter_map(|p| p.trim().split_once('='));
            parts.find(|(n, _)| *n == name)?.1.parse().ok()
        }
        let terms =
            Terms { units: find(text, "units")?, spread: find(text, "spread")?, first: find(text, "first")? };
        let fine = terms.units > 0.0
            && terms.units <= set.most_units
            && (1..=set.gateways).contains(&terms.spread)
            && terms.first < set.gateways;
        fine.then_some(terms)
    }
}

/// What is wrong with a request that is turned away unread.
enum BadRequest {
    Path,
    Method,
    Header(HeaderName),
    Body,
    TooLarge,
    Slow,
    NotTaken(NotTaken),
}

impl BadRequest {
    fn status(&self) -> StatusCode {
        match self {
            BadRequest::Path => StatusCode::NOT_FOUND,
            BadRequest::Method => StatusCode::METHOD_NOT_ALLOWED,
            BadRequest::Header(_) | BadRequest::Body => StatusCode::BAD_REQUEST,
            BadRequest::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BadRequest::Slow => StatusCode::REQUEST_TIMEOUT,
            BadRequest::NotTaken(NotTaken::Duplicate) => StatusCode::CONFLICT,
            BadRequest::NotTaken(NotTaken::Full) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn text(&self) -> String {
        match self {
            BadRequest::Path => "no such class".into(),
            BadRequest::Method => "not the class's method".into(),
            BadRequest::Header(name) => format!("{name} is missing or makes no sense"),
            BadRequest::Body => "the body does not fit the request".into(),
            BadRequest::TooLarge => "the body is too large".into(),
            BadRequest::Slow => "the body came too late".into(),
            BadRequest::NotTaken(NotTaken::Duplicate) => "a request with this id is open".into(),
            BadRequest::NotTaken(NotTaken::Full) => "too many requests are held".into(),
        }
    }
}

/// A header that must be there once, as text.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, BadRequest> {
    let mut all = headers.get_all(name).iter();
    let value = all.next().and_then(|v| v.to_str().ok()).filter(|v| !v.is_empty());
    value.filter(|_| all.next().is_none()).ok_or_else(|| BadRequest::Header(name.clone()))
}

fn hex16(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn refused(retry_after: Duration) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused");
    if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}
