//! Responses of servers, and the parser of their heads.

use super::body::{RemainingBody, ResponseFraming};
use crate::chunked::ChunkedDecoder;
use crate::error::MessageError;
use crate::headers::{announces_close, content_length, find_header};
use crate::limits::MAX_HEADERS;
use bytes::Bytes;
use frosthatch_traffic_control::LoadMetric;
use httparse::{Header, Status, EMPTY_HEADER};

/// Header with the server's load report.
const LOAD_METRICS_HEADER: &str = "endpoint-load-metrics";
/// Header with the customer's use over all gateways, as the server meters it, as a percentage of the customer's rate
/// limit or concurrency limit.
const METERED_USE_HEADER: &str = "x-ratelimit-used";
/// Header by which a server guarantees, with the value `1`, that it has not executed the request.
const NEVER_RAN_HEADER: &str = "x-never-ran";

/// Response of a server, complete except for the part in `rest`.
#[derive(Default)]
pub struct ServerResponse {
    /// Status code.
    pub status: u16,
    /// Body, or its beginning if `rest` is present.
    pub body: Bytes,
    /// Whether the server guarantees that the request was not executed.
    pub never_ran: bool,
    /// The customer's use over all gateways as a fraction of its rate limit or concurrency limit, if the server reports
    /// it.
    pub metered_use: Option<f64>,
    /// Load metrics that the server reports.
    pub load_report: Vec<(LoadMetric, f64)>,
    /// Whether the connection stays open and no bytes follow the response on it.
    pub is_connection_reusable: bool,
    /// Whether bytes that answer no request were read behind the response.
    pub has_excess_bytes: bool,
    /// Unread part of a long body.
    pub rest: Option<RemainingBody>,
}

/// Parsed head of a response.
pub(super) enum ResponseHead {
    /// Interim response (1xx), which the final response follows.
    Interim,
    /// Final response, still without its body, and the framing of the body.
    Final(ServerResponse, ResponseFraming),
}

/// Parses the head at the start of `buffer`. Returns the head and its length in bytes, or `None` if it is incomplete.
pub(super) fn parse_response_head(
    buffer: &[u8],
) -> Result<Option<(ResponseHead, usize)>, MessageError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_bytes = match head.parse(buffer).map_err(|_| MessageError::Head)? {
        Status::Complete(head_bytes) => head_bytes,
        Status::Partial => return Ok(None),
    };
    let status = head.code.unwrap_or(0);
    let is_interim = (100..200).contains(&status) && status != 101;
    if is_interim {
        return Ok(Some((ResponseHead::Interim, head_bytes)));
    }
    let headers = &*head.headers;
    let framing = response_framing(status, headers)?;
    let is_persistent = head.version == Some(1)
        && !announces_close(headers)
        && !matches!(framing, ResponseFraming::UntilClose);
    let response = ServerResponse {
        status,
        body: Bytes::new(),
        never_ran: find_header(headers, NEVER_RAN_HEADER) == Some("1"),
        metered_use: find_header(headers, METERED_USE_HEADER)
            .and_then(parse_quantity)
            .map(|percent| percent / 100.0),
        load_report: find_header(headers, LOAD_METRICS_HEADER)
            .map_or_else(Vec::new, parse_load_report),
        is_connection_reusable: is_persistent,
        has_excess_bytes: false,
        rest: None,
    };
    Ok(Some((ResponseHead::Final(response, framing), head_bytes)))
}

/// Determines the framing of a response's body.
fn response_framing(status: u16, headers: &[Header<'_>]) -> Result<ResponseFraming, MessageError> {
    let codings: Vec<&str> = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("transfer-encoding"))
        .map(|h| std::str::from_utf8(h.value).unwrap_or(""))
        .collect();
    match (content_length(headers)?, &codings[..]) {
        (Some(length), []) => Ok(ResponseFraming::Length(length)),
        (None, []) if status == 204 || status == 304 => Ok(ResponseFraming::Length(0)),
        (None, [coding]) if coding.trim().eq_ignore_ascii_case("chunked") => {
            Ok(ResponseFraming::Chunked(ChunkedDecoder::default()))
        }
        (None, []) if status == 200 => Ok(ResponseFraming::UntilClose),
        // The end of the body is ambiguous with both headers, and unknown with another coding.
        _ => Err(MessageError::Framing),
    }
}

/// Parses a finite number that is not negative.
fn parse_quantity(text: &str) -> Option<f64> {
    let value: f64 = text.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// Parses a load report such as `TEXT inflight=7, latency_ms=12.5`. Skips unknown and malformed metrics.
fn parse_load_report(text: &str) -> Vec<(LoadMetric, f64)> {
    text.strip_prefix("TEXT ").map_or_else(Vec::new, |metrics| {
        metrics.split(',').filter_map(parse_load_metric).collect()
    })
}

fn parse_load_metric(text: &str) -> Option<(LoadMetric, f64)> {
    let (name, value) = text.split_once('=')?;
    let metric = match name.trim() {
        "inflight" => LoadMetric::Inflight,
        "queue" => LoadMetric::Queue,
        "latency_ms" => LoadMetric::ServiceMs,
        _ => return None,
    };
    Some((metric, parse_quantity(value)?))
}

#[cfg(test)]
mod tests;
