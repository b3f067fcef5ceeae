//! The line protocol of the shared counter. A call is the line `bump NAME AMOUNT TTL` with the TTL in milliseconds; a
//! reply is one line.

use frosthatch_engine::CounterCall;
use std::io::Write;

/// Upper bound of the length of a partial line; a longer one is invalid.
const MAX_LINE_BYTES: usize = 256;

/// A reply of the counter.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The amount was added; the value is the new total of the name in the call.
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

/// Parses a complete line; returns `None` if it is not a reply.
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

/// Returns whether a partial line may be the beginning of a reply.
pub fn may_begin_reply(partial: &[u8]) -> bool {
    let is_compatible = |prefix: &[u8]| prefix.starts_with(partial) || partial.starts_with(prefix);
    let is_known_reply = is_compatible(b"ok ") || is_compatible(b"busy") || is_compatible(b"error");
    partial.len() <= MAX_LINE_BYTES && is_known_reply
}

#[cfg(test)]
mod tests;
