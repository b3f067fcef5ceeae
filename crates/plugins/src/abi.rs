//! Version 1 of the binary interface: the record that a plug-in receives and the verdict that it returns. All numbers are
//! little-endian, as in WebAssembly memory.
//!
//! ```text
//! request  0 customer u64 | 8 units f64 | 16 milliseconds left u32 | 20 flags u32 (1: idempotent)
//! answer   0 customer u64 | 8 units f64 | 16 outcome u32 (200, 429, 502) | 20 milliseconds taken u32
//! both    24 lengths u16 of class, plan, headers, body | 32 class, plan, "name: value\n" each, body's first bytes
//! verdict  0 kind u8 (0 continue, 1 continue with changes, 2 reject, 3 fail) | 1 lower u8 | 2 length u16 of headers
//!          4 milliseconds u32: Retry-After of a rejection, or a shorter deadline (0: unchanged)
//!          8 units f64, more than requested (0: unchanged) | 16 "name: value\n" each
//! ```

/// The version that a module has to export as `frosthatch_abi`.
pub const VERSION: i32 = 1;
/// Bytes of the class and of the plan in a record, at most.
pub const MAX_NAME_BYTES: usize = 256;
/// Bytes of all header lines in a record, at most.
pub const MAX_RECORD_HEADER_BYTES: usize = 4_096;
/// Bytes of the body in a record, at most.
pub const MAX_RECORD_BODY_BYTES: usize = 4_096;
/// Bytes of a verdict, at most.
pub const MAX_VERDICT_BYTES: usize = 16 + 2_048;
/// Headers in a verdict, at most.
const MAX_HEADERS: usize = 16;
const MAX_HEADER_NAME_BYTES: usize = 64;
const MAX_HEADER_VALUE_BYTES: usize = 256;
/// The longest Retry-After of a rejection.
const MAX_RETRY_AFTER_MS: u32 = 3_600_000;

/// Prefixes of header names that have a meaning between clients, gateways and servers.
const RESERVED_HEADER_PREFIXES: [&str; 8] = [
    "x-trace-id",
    "x-qos",
    "x-tier",
    "x-api-key",
    "x-expires-in",
    "x-call-terms",
    "x-never-ran",
    "x-ratelimit",
];

/// A request as a plug-in sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shown {
    /// The customer's number.
    pub customer: u64,
    /// Quota units that the request costs.
    pub units: f64,
    /// Milliseconds until the deadline.
    pub left_ms: u32,
    /// Whether the request is idempotent.
    pub repeatable: bool,
    /// The class of the request.
    pub class: String,
    /// The customer's plan.
    pub plan: String,
    /// Names and values of the headers that the operator passes to plug-ins.
    pub headers: Vec<(String, String)>,
    /// The first bytes of the body.
    pub body: Vec<u8>,
}

/// The outcome of a request, as its status code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server responded.
    Served = 200,
    /// The gateway rejected the request.
    Refused = 429,
    /// No server could respond.
    Failed = 502,
}

/// Encodes the record of a request or response; `third` and `fourth` are the two numbers in which these differ.
fn encode_record(shown: &Shown, third: u32, fourth: u32) -> Vec<u8> {
    let class = truncated(&shown.class);
    let plan = truncated(&shown.plan);
    let headers = encode_headers(&shown.headers);
    let body = &shown.body[..shown.body.len().min(MAX_RECORD_BODY_BYTES)];
    let mut record = Vec::with_capacity(32 + class.len() + plan.len() + headers.len() + body.len());
    record.extend(shown.customer.to_le_bytes());
    record.extend(shown.units.to_le_bytes());
    record.extend(third.to_le_bytes());
    record.extend(fourth.to_le_bytes());
    let parts = [class, plan, &headers, body];
    for part in parts {
        record.extend((part.len() as u16).to_le_bytes());
    }
    for part in parts {
        record.extend(part);
    }
    record
}

fn truncated(name: &str) -> &[u8] {
    &name.as_bytes()[..name.len().min(MAX_NAME_BYTES)]
}

/// One line a header; a header that does not fit any more is left out.
fn encode_headers(headers: &[(String, String)]) -> Vec<u8> {
    let mut lines = Vec::new();
    for (name, value) in headers {
        if lines.len() + name.len() + value.len() + 3 <= MAX_RECORD_HEADER_BYTES {
            lines.extend(format!("{name}: {value}\n").as_bytes());
        }
    }
    lines
}

/// Encodes the record of a request, for `on_request`.
pub fn request(shown: &Shown) -> Vec<u8> {
    encode_record(shown, shown.left_ms, u32::from(shown.repeatable))
}

/// Encodes the record of a response after `took_ms`, for `on_answer`.
pub fn answer(shown: &Shown, outcome: Outcome, took_ms: u32) -> Vec<u8> {
    encode_record(shown, outcome as u32, took_ms)
}

/// The changes that a plug-in makes to a request and its response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Quota units of the request, more than requested.
    pub units: Option<f64>,
    /// Whether the request gets a lower priority.
    pub lower: bool,
    /// A shorter deadline, from now.
    pub deadline_ms: Option<u32>,
    /// Headers that the response gets in addition.
    pub headers: Vec<(String, String)>,
}

/// What a plug-in decided about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The request continues with these changes.
    GoOn(Changes),
    /// The request is rejected.
    Refuse {
        /// The client may retry after this time.
        wait_ms: u32,
    },
    /// The request fails.
    Fail,
}

/// The fixed first part of an encoded verdict.
struct VerdictHead {
    kind: u8,
    lower: u8,
    header_bytes: usize,
    ms: u32,
    units: f64,
}

impl VerdictHead {
    const BYTES: usize = 16;

    fn decode(bytes: &[u8; 16]) -> VerdictHead {
        VerdictHead {
            kind: bytes[0],
            lower: bytes[1],
            header_bytes: usize::from(u16::from_le_bytes([bytes[2], bytes[3]])),
            ms: u32::from_le_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]),
            units: f64::from_le_bytes([
                bytes[8], bytes[9], bytes[10], bytes[11], bytes[12], bytes[13], bytes[14],
                bytes[15],
            ]),
        }
    }
}

/// Decodes a verdict on the request `shown`. A verdict with any value out of its bounds is rejected as a whole. `max_units`
/// is the largest cost of one request.
///
/// # Errors
/// The rule that the verdict breaks.
pub fn verdict(bytes: &[u8], shown: &Shown, max_units: f64) -> Result<Verdict, &'static str> {
    let head = bytes
        .first_chunk()
        .map(VerdictHead::decode)
        .ok_or("a verdict is shorter than 16 bytes")?;
    if bytes.len() > MAX_VERDICT_BYTES {
        return Err("a verdict is too long");
    }
    if bytes.len() != VerdictHead::BYTES + head.header_bytes {
        return Err("a verdict's length of headers is not that of its rest");
    }
    match head.kind {
        0 => Ok(Verdict::GoOn(Changes::default())),
        1 => {
            let headers = &bytes[VerdictHead::BYTES..];
            decode_changes(&head, headers, shown, max_units).map(Verdict::GoOn)
        }
        2 if head.ms <= MAX_RETRY_AFTER_MS => Ok(Verdict::Refuse { wait_ms: head.ms }),
        2 => Err("a wait of more than an hour"),
        3 => Ok(Verdict::Fail),
        _ => Err("a verdict of an unknown kind"),
    }
}

fn decode_changes(
    head: &VerdictHead,
    headers: &[u8],
    shown: &Shown,
    max_units: f64,
) -> Result<Changes, &'static str> {
    if head.lower > 1 {
        return Err("lower is 0 or 1");
    }
    if head.ms > shown.left_ms {
        return Err("a deadline can only be shorter");
    }
    let units = head.units;
    let is_in_range = units.is_finite() && units >= shown.units && units <= max_units;
    if units != 0.0 && !is_in_range {
        return Err("units can only go up, to the most of one request");
    }
    Ok(Changes {
        units: (units != 0.0).then_some(units),
        lower: head.lower == 1,
        deadline_ms: (head.ms > 0).then_some(head.ms),
        headers: decode_headers(headers)?,
    })
}

/// Decodes the header lines of a verdict, each with its line feed.
fn decode_headers(bytes: &[u8]) -> Result<Vec<(String, String)>, &'static str> {
    let text = std::str::from_utf8(bytes).map_err(|_| "headers are not UTF-8")?;
    let mut headers = Vec::new();
    for line in text.split_terminator('\n') {
        let (name, value) = line
            .split_once(": ")
            .ok_or("a header is \"name: value\" and a line feed")?;
        check_header(name, value)?;
        headers.push((name.to_string(), value.to_string()));
    }
    if headers.len() > MAX_HEADERS || !bytes.is_empty() && !bytes.ends_with(b"\n") {
        return Err("headers are 16 at most, each with its line feed");
    }
    Ok(headers)
}

/// A plug-in may only set `x-` headers that the gateway and the servers do not use, with visible ASCII.
fn check_header(name: &str, value: &str) -> Result<(), &'static str> {
    let is_name_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let is_name = name.starts_with("x-")
        && name.len() <= MAX_HEADER_NAME_BYTES
        && name.bytes().all(is_name_byte);
    if !is_name {
        return Err("a header's name is x- and then a-z, 0-9, -");
    }
    if RESERVED_HEADER_PREFIXES
        .iter()
        .any(|prefix| name.starts_with(prefix))
    {
        return Err("a header of that name is not a plug-in's");
    }
    let is_visible = |b: u8| (b' '..=b'~').contains(&b);
    if value.len() > MAX_HEADER_VALUE_BYTES || !value.bytes().all(is_visible) {
        return Err("a header's value is visible ASCII, 256 bytes at most");
    }
    Ok(())
}
