//! Encodes responses to clients.

use frosthatch_engine::Response;

/// Reply to a valid request.
pub(super) enum Reply {
    /// Reply to a query of the gateway's readiness.
    Readiness { is_ready: bool },
    /// Reply to any other request.
    Response {
        response: Response,
        /// Additional header lines, each with its line end.
        extra_headers: String,
    },
}

/// Encodes a response of the engine. Must not be called with [`Response::Streaming`], which is relayed; encodes it as
/// 502.
pub(super) fn encode_engine_response(
    response: &Response,
    closes_connection: bool,
    extra_headers: &str,
) -> Vec<u8> {
    match response {
        Response::Served(body) => encode_response("200 OK", extra_headers, closes_connection, body),
        Response::Rejected { retry_after } => {
            let retry_after_s = retry_after.as_secs_f64();
            let headers = format!("Retry-After: {retry_after_s:.3}\r\n{extra_headers}");
            encode_response(
                "429 Too Many Requests",
                &headers,
                closes_connection,
                b"refused",
            )
        }
        Response::Failed { timed_out: true } => encode_response(
            "504 Gateway Timeout",
            extra_headers,
            closes_connection,
            b"failed",
        ),
        Response::Failed { .. } | Response::Streaming(..) => encode_response(
            "502 Bad Gateway",
            extra_headers,
            closes_connection,
            b"failed",
        ),
    }
}

/// Encodes the reply to a query of the gateway's readiness.
pub(super) fn encode_readiness(is_ready: bool, closes_connection: bool) -> Vec<u8> {
    if is_ready {
        encode_response("200 OK", "", closes_connection, b"ready")
    } else {
        encode_response(
            "503 Service Unavailable",
            "",
            closes_connection,
            b"not ready",
        )
    }
}

/// Encodes the head of a response. Each line of `headers` and `framing` must have its line end.
pub(super) fn encode_response_head(
    status: &str,
    headers: &str,
    closes_connection: bool,
    framing: &str,
) -> String {
    let close = if closes_connection {
        "Connection: close\r\n"
    } else {
        ""
    };
    format!("HTTP/1.1 {status}\r\n{headers}{close}{framing}\r\n")
}

/// Encodes a response with its body. Each line of `headers` must have its line end.
pub(super) fn encode_response(
    status: &str,
    headers: &str,
    closes_connection: bool,
    body: &[u8],
) -> Vec<u8> {
    let framing = format!("Content-Length: {}\r\n", body.len());
    let head = encode_response_head(status, headers, closes_connection, &framing);
    [head.as_bytes(), body].concat()
}
