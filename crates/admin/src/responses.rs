//! The responses to calls.

use crate::call::{AdminCall, CallError};
use crate::driver::{AdminBackend, MAX_BODY_BYTES};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::{Response, StatusCode};

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";
const TOML: &str = "application/toml";
const NO_POLICY: &str = "gateways agree on no policy here\n";
const NO_FLEET: &str = "gateways do not talk to each other here\n";
const NO_DOCUMENT: &str = "no document is in force: each gateway's own files are\n";

pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Carries out a call that has no body, and responds.
pub(crate) fn respond(
    backend: &dyn AdminBackend,
    call: Result<AdminCall, CallError>,
) -> HttpResponse {
    match call {
        Ok(call) => respond_to_call(backend, call),
        Err(error) => error_response(&error),
    }
}

fn respond_to_call(backend: &dyn AdminBackend, call: AdminCall) -> HttpResponse {
    match call {
        AdminCall::Ready if backend.ready() => text(StatusCode::OK, "ready\n"),
        AdminCall::Ready => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        AdminCall::Metrics => text(StatusCode::OK, backend.metrics().to_statsd()),
        AdminCall::Disable(id) => mark_response(backend.disable(&id)),
        AdminCall::Enable(id) => mark_response(backend.enable(&id)),
        AdminCall::Fleet => found_or(backend.fleet(), JSON, NO_FLEET),
        AdminCall::Policy => found_or(backend.policy(), JSON, NO_POLICY),
        AdminCall::Document => found_or(backend.document(), TOML, NO_DOCUMENT),
        AdminCall::Propose => respond_to_proposal(backend, None),
        AdminCall::Abort(number) if backend.abort(number) => text(StatusCode::OK, "called off\n"),
        AdminCall::Abort(_) => text(
            StatusCode::CONFLICT,
            "it is not known here, over, or may be in force already\n",
        ),
        AdminCall::LeaveFleet if backend.leave_fleet() => text(StatusCode::OK, "left\n"),
        AdminCall::LeaveFleet => text(StatusCode::NOT_FOUND, NO_FLEET),
        AdminCall::Drain => {
            backend.drain();
            text(StatusCode::OK, "draining\n")
        }
        AdminCall::Undrain => {
            backend.undrain();
            text(StatusCode::OK, "back to work\n")
        }
    }
}

/// Proposes a document; `None`: it is too long or did not arrive completely.
pub(crate) fn respond_to_proposal(
    backend: &dyn AdminBackend,
    document: Option<Bytes>,
) -> HttpResponse {
    let document = document.as_ref();
    let document = document.and_then(|bytes| std::str::from_utf8(bytes).ok());
    let Some(document) = document else {
        let hint = format!("send a document of {MAX_BODY_BYTES} bytes of UTF-8 at most\n");
        return text(StatusCode::BAD_REQUEST, hint);
    };
    match backend.propose(document) {
        None => text(StatusCode::NOT_FOUND, NO_POLICY),
        Some(Ok(number)) => typed(
            StatusCode::ACCEPTED,
            format!("{{\"number\":{number}}}"),
            JSON,
        ),
        Some(Err(why)) => text(StatusCode::UNPROCESSABLE_ENTITY, why + "\n"),
    }
}

/// A second call on one connection is not served.
pub(crate) fn second_call_response() -> HttpResponse {
    text(StatusCode::BAD_REQUEST, "one call a connection\n")
}

fn error_response(error: &CallError) -> HttpResponse {
    match error {
        CallError::Path => text(StatusCode::NOT_FOUND, "no such call\n"),
        CallError::Method(allowed) => {
            let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "another method\n");
            let allowed = HeaderValue::from_static(allowed);
            response.headers_mut().insert(ALLOW, allowed);
            response
        }
        CallError::Number => text(StatusCode::BAD_REQUEST, "name one proposal, as ?number=7\n"),
        CallError::Id => text(StatusCode::BAD_REQUEST, "name one server, as ?id=s-1\n"),
    }
}

fn mark_response(is_known: bool) -> HttpResponse {
    if is_known {
        text(StatusCode::OK, "done\n")
    } else {
        text(StatusCode::NOT_FOUND, "no such server is listed\n")
    }
}

fn found_or(
    content: Option<String>,
    content_type: &'static str,
    missing: &'static str,
) -> HttpResponse {
    match content {
        Some(content) => typed(StatusCode::OK, content, content_type),
        None => text(StatusCode::NOT_FOUND, missing),
    }
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    typed(status, body, TEXT)
}

fn typed(status: StatusCode, body: impl Into<Bytes>, content_type: &'static str) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
