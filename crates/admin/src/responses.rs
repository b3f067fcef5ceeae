//! Carries out calls on the backend and builds their HTTP responses.

use crate::call::{AdminCall, CallError};
use crate::driver::{AdminBackend, MAX_BODY_BYTES};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::{Response, StatusCode};

const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";
const JSON_CONTENT_TYPE: &str = "application/json";
const TOML_CONTENT_TYPE: &str = "application/toml";
const NO_POLICY: &str = "policy agreement between gateways is not configured\n";
const NO_FLEET: &str = "cluster membership is not configured\n";
const NO_DOCUMENT: &str = "no document is in force: each gateway's own files are\n";

pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Carries out a call without a body and returns its response.
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
        AdminCall::Ready if backend.is_ready() => text_response(StatusCode::OK, "ready\n"),
        AdminCall::Ready => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        AdminCall::Metrics => text_response(StatusCode::OK, backend.collect_metrics().to_statsd()),
        AdminCall::Disable(id) => server_change_response(backend.disable_server(&id)),
        AdminCall::Enable(id) => server_change_response(backend.enable_server(&id)),
        AdminCall::Fleet => content_or_not_found(backend.fleet_json(), JSON_CONTENT_TYPE, NO_FLEET),
        AdminCall::Policy => {
            content_or_not_found(backend.policy_status_json(), JSON_CONTENT_TYPE, NO_POLICY)
        }
        AdminCall::Document => {
            content_or_not_found(backend.policy_document(), TOML_CONTENT_TYPE, NO_DOCUMENT)
        }
        AdminCall::Propose => respond_to_proposal(backend, None),
        AdminCall::Abort(number) if backend.abort_proposal(number) => {
            text_response(StatusCode::OK, "proposal aborted\n")
        }
        AdminCall::Abort(_) => text_response(
            StatusCode::CONFLICT,
            "it is not known here, over, or may be in force already\n",
        ),
        AdminCall::LeaveFleet if backend.leave_fleet() => text_response(StatusCode::OK, "left\n"),
        AdminCall::LeaveFleet => text_response(StatusCode::NOT_FOUND, NO_FLEET),
        AdminCall::Drain => {
            backend.drain();
            text_response(StatusCode::OK, "draining\n")
        }
        AdminCall::Undrain => {
            backend.undrain();
            text_response(StatusCode::OK, "back to work\n")
        }
    }
}

/// Proposes a policy document and returns the response; `None` stands for a document that is too long or incomplete.
pub(crate) fn respond_to_proposal(
    backend: &dyn AdminBackend,
    document: Option<Bytes>,
) -> HttpResponse {
    let document = document.as_ref();
    let document = document.and_then(|bytes| std::str::from_utf8(bytes).ok());
    let Some(document) = document else {
        let hint =
            format!("the document must arrive completely, in UTF-8 and with at most {MAX_BODY_BYTES} bytes\n");
        return text_response(StatusCode::BAD_REQUEST, hint);
    };
    match backend.propose(document) {
        None => text_response(StatusCode::NOT_FOUND, NO_POLICY),
        Some(Ok(number)) => response_with_type(
            StatusCode::ACCEPTED,
            format!("{{\"number\":{number}}}"),
            JSON_CONTENT_TYPE,
        ),
        Some(Err(reason)) => text_response(StatusCode::UNPROCESSABLE_ENTITY, reason + "\n"),
    }
}

/// Returns the response to a further call on a connection, which is not served.
pub(crate) fn second_call_response() -> HttpResponse {
    text_response(
        StatusCode::BAD_REQUEST,
        "only one call per connection is allowed\n",
    )
}

fn error_response(error: &CallError) -> HttpResponse {
    match error {
        CallError::UnknownPath => text_response(StatusCode::NOT_FOUND, "no such call\n"),
        CallError::MethodNotAllowed(allowed) => {
            let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "another method\n");
            let allowed = HeaderValue::from_static(allowed);
            response.headers_mut().insert(ALLOW, allowed);
            response
        }
        CallError::InvalidProposalNumber => {
            text_response(StatusCode::BAD_REQUEST, "name one proposal, as ?number=7\n")
        }
        CallError::InvalidServerId => {
            text_response(StatusCode::BAD_REQUEST, "name one server, as ?id=s-1\n")
        }
    }
}

fn server_change_response(is_known: bool) -> HttpResponse {
    if is_known {
        text_response(StatusCode::OK, "done\n")
    } else {
        text_response(StatusCode::NOT_FOUND, "no such server is listed\n")
    }
}

fn content_or_not_found(
    content: Option<String>,
    content_type: &'static str,
    missing_text: &'static str,
) -> HttpResponse {
    match content {
        Some(content) => response_with_type(StatusCode::OK, content, content_type),
        None => text_response(StatusCode::NOT_FOUND, missing_text),
    }
}

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    response_with_type(status, body, TEXT_CONTENT_TYPE)
}

fn response_with_type(
    status: StatusCode,
    body: impl Into<Bytes>,
    content_type: &'static str,
) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
