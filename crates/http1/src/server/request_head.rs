//! Parses and checks request heads, without I/O, before any state is kept for the requests.

use super::bad_request::BadRequest;
use super::call_terms::CallTerms;
use super::http_server::HttpServer;
use super::request::{ClientRequest, PartialRequest, RequestFraming, RequestTarget};
use crate::backend::ForwardedRequest;
use crate::chunked::ChunkedDecoder;
use crate::headers::{announces_close, content_length, find_header};
use crate::limits::{MAX_HEADERS, MAX_HEAD_BYTES, MAX_LONG_BODY_BYTES};
use frosthatch_engine::Protocol;
use frosthatch_traffic_control::{
    CustomerNumber, Effect, Plan, Request, RequestClass, RequestId, Settings,
};
use httparse::{Header, Status, EMPTY_HEADER};
use std::fmt::Write;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum value of `X-Expires-In`, in seconds.
const MAX_CLIENT_TIMEOUT_S: f64 = 3_600.0;

/// Request line and headers of a head with unambiguous framing.
struct RequestParts<'a> {
    method: &'a str,
    path: &'a str,
    headers: &'a [Header<'a>],
    has_body: bool,
}

/// Parsed headers that identify the request and its customer, and state its terms.
struct CallHeaders<'a> {
    trace_id: &'a str,
    request_id: RequestId,
    customer: CustomerNumber,
    plan: &'a Plan,
    client_timeout: Duration,
    terms: CallTerms,
}

impl HttpServer {
    /// Parses and checks the head at the start of `buffer`, which must contain the end of a head.
    pub(super) fn parse_head(&self, buffer: &[u8]) -> Result<PartialRequest, BadRequest> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let head_bytes = match head.parse(buffer) {
            Ok(Status::Complete(head_bytes)) => head_bytes,
            // `contains_head_end` also matches empty lines before the request line; the head after them may be partial.
            Ok(Status::Partial) | Err(_) => return Err(BadRequest::Malformed),
        };
        if head_bytes > MAX_HEAD_BYTES {
            return Err(BadRequest::HeadTooLong);
        }
        let headers = &*head.headers;
        let is_http_1_0 = head.version != Some(1);
        let framing = request_framing(headers, is_http_1_0)?;
        let parts = RequestParts {
            method: head.method.unwrap_or(""),
            path: head.path.unwrap_or(""),
            headers,
            has_body: !framing.is_empty(),
        };
        let expects_continue = !is_http_1_0 && parts.has_body && expects_continue(headers);
        let target = if parts.path == "/ready" && !parts.has_body {
            RequestTarget::Readiness
        } else {
            RequestTarget::Server(Box::new(self.parse_client_request(&parts)?))
        };
        Ok(PartialRequest {
            head_bytes,
            framing,
            body: Vec::new(),
            body_memory: None,
            expects_continue,
            closes_connection: is_http_1_0 || announces_close(headers),
            is_http_1_0,
            target,
        })
    }

    /// Parses and checks a request that is to be forwarded.
    fn parse_client_request(&self, parts: &RequestParts<'_>) -> Result<ClientRequest, BadRequest> {
        let class = find_class(&self.settings, parts.path)?;
        let is_repeatable = class.effect == Effect::Repeatable;
        check_against_class(parts, class, is_repeatable)?;
        let call = CallHeaders::parse(parts.headers, &self.settings)?;
        let head = forwarded_head(parts, call.trace_id, class, is_repeatable)?;
        let request = Request {
            id: call.request_id,
            customer: call.customer.into(),
            plan: call.plan.name.clone(),
            class: class.name.clone(),
            units: call.terms.units,
            gateway_count: call.terms.gateway_count,
            first_gateway: call.terms.first_gateway,
            remaining_us: 0,
            pool: Protocol::Http1 as u8,
            sticky_server: None,
            low_priority: false,
        };
        let forwarded = ForwardedRequest {
            head: head.into(),
            body: Vec::new(),
            body_memory: None,
            class_index: self.engine.counters().class_index(&class.name),
        };
        // The wait is limited to the class's deadline, so that no request's state is kept for longer.
        let deadline = Duration::from_micros(class.deadline_us);
        Ok(ClientRequest {
            request,
            client_timeout: call.client_timeout.min(deadline),
            // Replaced when the request is complete.
            client_deadline: Instant::now(),
            is_repeatable,
            forwarded,
            plugin_headers: self.headers_for_plugins(parts.headers),
        })
    }

    /// Returns the names and values of the headers that the operator's plugins need.
    fn headers_for_plugins(&self, headers: &[Header<'_>]) -> Vec<(String, String)> {
        let Some(plugins) = &self.plugins else {
            return Vec::new();
        };
        let required_input = plugins.required_input();
        let wanted_names = &required_input.0;
        wanted_names
            .iter()
            .filter_map(|name| Some((name.clone(), find_header(headers, name)?.to_string())))
            .collect()
    }
}

impl<'a> CallHeaders<'a> {
    fn parse(headers: &[Header<'a>], settings: &'a Settings) -> Result<Self, BadRequest> {
        let trace_id = single_printable_header(headers, "X-Trace-Id")?;
        let request_id = parse_hex16(trace_id).ok_or(BadRequest::header("X-Trace-Id"))?;
        let customer = CustomerNumber::from_hex(single_printable_header(headers, "X-Api-Key")?)
            .ok_or(BadRequest::header("X-Api-Key"))?;
        let plan_name = single_printable_header(headers, "X-Tier")?;
        let plan = settings
            .plans
            .iter()
            .find(|plan| plan.name == plan_name)
            .ok_or(BadRequest::header("X-Tier"))?;
        let client_timeout_s = single_printable_header(headers, "X-Expires-In")?
            .parse::<f64>()
            .ok()
            .filter(|&s| s > 0.0 && s <= MAX_CLIENT_TIMEOUT_S)
            .ok_or(BadRequest::header("X-Expires-In"))?;
        let terms = CallTerms::parse(single_printable_header(headers, "X-Call-Terms")?, settings)
            .ok_or(BadRequest::header("X-Call-Terms"))?;
        Ok(CallHeaders {
            trace_id,
            request_id: RequestId(request_id),
            customer,
            plan,
            client_timeout: Duration::from_secs_f64(client_timeout_s),
            terms,
        })
    }
}

/// Returns whether `buffer`, whose first `scanned_bytes` have been searched before, contains the end of a head.
pub(super) fn contains_head_end(buffer: &[u8], scanned_bytes: usize) -> bool {
    let new_bytes = &buffer[scanned_bytes.saturating_sub(3)..];
    new_bytes.windows(2).any(|w| w == b"\n\n") || new_bytes.windows(3).any(|w| w == b"\n\r\n")
}

/// Determines the framing of a request's body. Rejects ambiguous framing, which would allow request smuggling.
fn request_framing(
    headers: &[Header<'_>],
    is_http_1_0: bool,
) -> Result<RequestFraming, BadRequest> {
    let length = content_length(headers).map_err(|_| BadRequest::header("Content-Length"))?;
    let mut codings = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("transfer-encoding"))
        .map(|h| h.value.trim_ascii());
    let framing = match (length, codings.next(), codings.next()) {
        (length, None, _) => RequestFraming::Length(length.unwrap_or(0)),
        (None, Some(coding), None) if !is_http_1_0 && coding.eq_ignore_ascii_case(b"chunked") => {
            RequestFraming::Chunked(ChunkedDecoder::default())
        }
        _ => return Err(BadRequest::header("Transfer-Encoding")),
    };
    if length.is_some_and(|length| length > MAX_LONG_BODY_BYTES) {
        return Err(BadRequest::BodyTooLong);
    }
    Ok(framing)
}

fn expects_continue(headers: &[Header<'_>]) -> bool {
    find_header(headers, "expect")
        .is_some_and(|value| value.trim().eq_ignore_ascii_case("100-continue"))
}

/// Returns the class that the first segment of the path names.
fn find_class<'a>(settings: &'a Settings, path: &str) -> Result<&'a RequestClass, BadRequest> {
    let first_segment = path
        .strip_prefix('/')
        .and_then(|rest| rest.split(['/', '?']).next());
    let class = settings
        .classes
        .iter()
        .find(|class| Some(&*class.name) == first_segment)
        .ok_or(BadRequest::UnknownClass)?;
    if !path.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(BadRequest::UnknownClass);
    }
    Ok(class)
}

/// Checks that the request's `X-Qos` header, method and body match its class.
fn check_against_class(
    parts: &RequestParts<'_>,
    class: &RequestClass,
    is_repeatable: bool,
) -> Result<(), BadRequest> {
    if single_printable_header(parts.headers, "X-Qos")? != class.name {
        return Err(BadRequest::header("X-Qos"));
    }
    let expected_method = if is_repeatable { "GET" } else { "POST" };
    if parts.method != expected_method {
        return Err(BadRequest::WrongMethod);
    }
    if is_repeatable && parts.has_body {
        return Err(BadRequest::header("Content-Length"));
    }
    Ok(())
}

/// Builds the head to forward, without the body's length and the deadline header.
fn forwarded_head(
    parts: &RequestParts<'_>,
    trace_id: &str,
    class: &RequestClass,
    is_repeatable: bool,
) -> Result<String, BadRequest> {
    let headers = parts.headers;
    let method = parts.method;
    let path = parts.path;
    let host = single_printable_header(headers, "Host").unwrap_or("backend.local");
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Trace-Id: {trace_id}\r\n");
    // A class whose servers deduplicate requests by key requires a key. In the other classes with a body it is optional
    // and forwarded unchanged. No key is generated: that would not make a request repeatable.
    let requires_key = matches!(class.effect, Effect::Keyed { .. });
    if requires_key || !is_repeatable && find_header(headers, "Idempotency-Key").is_some() {
        let key = single_printable_header(headers, "Idempotency-Key")?;
        let _ = write!(head, "Idempotency-Key: {key}\r\n");
    }
    if let Ok(content_type) = single_printable_header(headers, "Content-Type") {
        let _ = write!(head, "Content-Type: {content_type}\r\n");
    }
    Ok(head)
}

/// Returns the value of a header. The header must occur exactly once, and its value must be non-empty printable ASCII,
/// so that it can be forwarded unchanged.
fn single_printable_header<'a>(
    headers: &[Header<'a>],
    name: &'static str,
) -> Result<&'a str, BadRequest> {
    let mut values = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value);
    let value = values.next().ok_or(BadRequest::header(name))?;
    let is_repeated = values.next().is_some();
    let is_printable = value.iter().all(|byte| (b' '..=b'~').contains(byte));
    if value.is_empty() || is_repeated || !is_printable {
        return Err(BadRequest::header(name));
    }
    std::str::from_utf8(value).map_err(|_| BadRequest::header(name))
}

/// Parses exactly 16 hexadecimal digits.
fn parse_hex16(text: &str) -> Option<u64> {
    let is_hex16 = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hex16 {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
