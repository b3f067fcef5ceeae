//! The counter's protocol: one line a call, `bump NAME AMOUNT TTL` with the TTL in milliseconds, and one line a reply.

use frosthatch_engine::CounterCall;
use std::io::Write;

/// A partial line that is longer than this is invalid.
const MAX_LINE_BYTES: usize = 256;

/// One reply of the counter.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The amount was added; the count is now this.
    Total(f64),
    /// The amount was added, but the reply does not state a valid total.
    InvalidTotal,
    /// The counter is overloaded or reports an error: nothing was added.
    Rejected,
}

/// Appends a call to `buffer`.
pub fn write_call(call: &CounterCall, buffer: &mut Vec<u8>) {
    // Writing to a vector cannot fail.
    let _ = write!(
        buffer,
        "bump {} {} {}\r\n",
        call.name, call.amount, call.ttl_ms
    );
}

/// Reads a complete line; `None` if it is not a reply.
pub fn parse_reply(line: &[u8]) -> Option<Reply> {
    let text = std::str::from_utf8(line).ok()?.trim_end();
    match text {
        "busy" | "error" => return Some(Reply::Rejected),
        "ok" => return Some(Reply::InvalidTotal),
        _ => {}
    }
    let total = text.strip_prefix("ok ")?.parse::<f64>();
    Some(match total {
        Ok(total) if total.is_finite() => Reply::Total(total),
        _ => Reply::InvalidTotal,
    })
}

/// Whether a partial line may be the beginning of a reply.
pub fn may_begin_reply(partial: &[u8]) -> bool {
    let is_compatible = |prefix: &[u8]| prefix.starts_with(partial) || partial.starts_with(prefix);
    let is_known_reply = is_compatible(b"ok ") || is_compatible(b"busy") || is_compatible(b"error");
    partial.len() <= MAX_LINE_BYTES && is_known_reply
}

#[cfg(test)]
mod tests;
