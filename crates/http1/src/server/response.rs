//! Answers as they are written.

use frosthatch_engine::Response;

/// What a request that is in order gets.
pub(super) enum Reply {
    Ready(bool),
    Answer(Response),
}

impl Reply {
    /// `added`: more header lines.
    pub(super) fn text(&self, close: bool, added: &str) -> Vec<u8> {
        match self {
            Reply::Ready(true) => response("200 OK", "", close, b"ready"),
            Reply::Ready(false) => response("503 Service Unavailable", "", close, b"not ready"),
            Reply::Answer(Response::Served(body)) => response("200 OK", added, close, body),
            Reply::Answer(Response::Rejected { retry_after }) => {
                let when = format!("Retry-After: {:.3}\r\n{added}", retry_after.as_secs_f64());
                response("429 Too Many Requests", &when, close, b"refused")
            }
            Reply::Answer(Response::Failed { timed_out: true }) => {
                response("504 Gateway Timeout", added, close, b"failed")
            }
            Reply::Answer(Response::Failed { .. } | Response::Streaming(..)) => {
                response("502 Bad Gateway", added, close, b"failed")
            }
        }
    }
}

/// The head of an answer; each of the `headers`, and what tells the `framing`, has its end.
pub(super) fn answer_head(status: &str, headers: &str, close: bool, framing: &str) -> String {
    let close = if close { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 {status}\r\n{headers}{close}{framing}\r\n")
}

/// An answer as it is written; each of the `headers` has its end.
pub(super) fn response(status: &str, headers: &str, close: bool, body: &[u8]) -> Vec<u8> {
    let head = answer_head(
        status,
        headers,
        close,
        &format!("Content-Length: {}\r\n", body.len()),
    );
    [head.as_bytes(), body].concat()
}
