//! Version 1 of the binary interface of plug-ins: encodes the record that a plug-in receives and decodes the verdict
//! that the plug-in returns. All numbers are little-endian, as in WebAssembly memory.
//!
//! ```text
//! request  0 customer u64 | 8 units f64 | 16 remaining milliseconds u32 | 20 flags u32 (1: idempotent)
//! answer   0 customer u64 | 8 units f64 | 16 outcome u32 (200, 429, 502) | 20 elapsed milliseconds u32
//! both    24 lengths u16 of class, plan, headers, body | 32 class, plan, "name: value\n" each, body's first bytes
//! verdict  0 kind u8 (0 continue, 1 continue with changes, 2 reject, 3 fail) | 1 lower (priority) u8 (0 or 1)
//!          2 length u16 of headers
//!          4 milliseconds u32: Retry-After of a rejection, or the time until a shorter deadline (0: unchanged)
//!          8 units f64, more than requested (0: unchanged) | 16 "name: value\n" each
//! ```

/// The version of the interface; a module has to return it from its exported function `frosthatch_abi`.
pub const VERSION: i32 = 1;
/// Maximum length of the class and of the plan in a record; longer names are truncated.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum total length of the header lines in a record.
pub const MAX_RECORD_HEADER_BYTES: usize = 4_096;
/// Maximum length of the body in a record; a longer body is truncated.
pub const MAX_RECORD_BODY_BYTES: usize = 4_096;
/// Maximum length of a verdict.
pub const MAX_VERDICT_BYTES: usize = 16 + 2_048;
/// Maximum number of headers in a verdict.
const MAX_HEADERS: usize = 16;
/// Maximum length of a header name in a verdict.
const MAX_HEADER_NAME_BYTES: usize = 64;
/// Maximum length of a header value in a verdict.
const MAX_HEADER_VALUE_BYTES: usize = 256;
/// Maximum Retry-After of a rejection: one hour.
const MAX_RETRY_AFTER_MS: u32 = 3_600_000;

/// Prefixes of the header names that clients, gateways and servers use; a plug-in must not set these headers.
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
pub struct VisibleRequest {
    /// The number of the customer.
    pub customer: u64,
    /// Quota units that the request costs.
    pub units: f64,
    /// Time until the deadline, in milliseconds.
    pub left_ms: u32,
    /// Whether the request is idempotent.
    pub repeatable: bool,
    /// The class of the request.
    pub class: String,
    /// The plan of the customer.
    pub plan: String,
    /// Names and values of the headers that the operator passes to plug-ins.
    pub headers: Vec<(String, String)>,
    /// The first bytes of the body.
    pub body: Vec<u8>,
}

/// The outcome of a request; the value is the status code in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server answered the request.
    Served = 200,
    /// The gateway rejected the request.
    Rejected = 429,
    /// No server could answer the request.
    Failed = 502,
}

/// Encodes the record of a request or a response, which differ only in the numbers at the offsets 16 and 20.
fn encode_record(
    request: &VisibleRequest,
    remaining_ms_or_outcome: u32,
    flags_or_elapsed_ms: u32,
) -> Vec<u8> {
    let class = truncated(&request.class);
    let plan = truncated(&request.plan);
    let headers = encode_headers(&request.headers);
    let body = &request.body[..request.body.len().min(MAX_RECORD_BODY_BYTES)];
    let mut record = Vec::with_capacity(32 + class.len() + plan.len() + headers.len() + body.len());
    record.extend(request.customer.to_le_bytes());
    record.extend(request.units.to_le_bytes());
    record.extend(remaining_ms_or_outcome.to_le_bytes());
    record.extend(flags_or_elapsed_ms.to_le_bytes());
    let fields = [class, plan, &headers, body];
    for field in fields {
        record.extend((field.len() as u16).to_le_bytes());
    }
    for field in fields {
        record.extend(field);
    }
    record
}

/// Returns at most [`MAX_NAME_BYTES`] bytes of a name.
fn truncated(name: &str) -> &[u8] {
    &name.as_bytes()[..name.len().min(MAX_NAME_BYTES)]
}

/// Encodes each header as a line; omits each header with which the lines would exceed
/// [`MAX_RECORD_HEADER_BYTES`], while shorter ones after it may still fit.
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
pub fn encode_request_record(request: &VisibleRequest) -> Vec<u8> {
    encode_record(request, request.left_ms, u32::from(request.repeatable))
}

/// Encodes the record of a response that was available after `elapsed_ms`, for `on_answer`.
pub fn encode_response_record(
    request: &VisibleRequest,
    outcome: Outcome,
    elapsed_ms: u32,
) -> Vec<u8> {
    encode_record(request, outcome as u32, elapsed_ms)
}

/// The changes that plug-ins make to a request and its response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The raised cost of the request, in quota units.
    pub units: Option<f64>,
    /// Whether the priority of the request is lowered.
    pub lower: bool,
    /// The shortened time until the deadline, in milliseconds.
    pub deadline_ms: Option<u32>,
    /// Headers added to the response.
    pub headers: Vec<(String, String)>,
}

/// The decision of a plug-in about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The request continues with these changes.
    GoOn(Changes),
    /// The request is rejected.
    Refuse {
        /// The time after which the client may retry, in milliseconds.
        wait_ms: u32,
    },
    /// The request fails.
    Fail,
}

/// The fixed-length head of an encoded verdict.
struct VerdictHead {
    kind: u8,
    lower: u8,
    header_bytes: usize,
    /// Retry-After of a rejection, or a shorter deadline, in milliseconds.
    duration_ms: u32,
    units: f64,
}

impl VerdictHead {
    const BYTES: usize = 16;

    fn decode(bytes: &[u8; 16]) -> VerdictHead {
        VerdictHead {
            kind: bytes[0],
            lower: bytes[1],
            header_bytes: usize::from(u16::from_le_bytes([bytes[2], bytes[3]])),
            duration_ms: u32::from_le_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]),
            units: f64::from_le_bytes([
                bytes[8], bytes[9], bytes[10], bytes[11], bytes[12], bytes[13], bytes[14],
                bytes[15],
            ]),
        }
    }
}

/// Decodes a verdict on a request. A verdict with any value out of bounds is rejected as a whole. `max_units` is the
/// maximum cost of one request.
///
/// # Errors
/// Returns the rule that the verdict violates.
pub fn decode_verdict(
    bytes: &[u8],
    request: &VisibleRequest,
    max_units: f64,
) -> Result<Verdict, &'static str> {
    let head = bytes
        .first_chunk()
        .map(VerdictHead::decode)
        .ok_or("the verdict is shorter than 16 bytes")?;
    if bytes.len() > MAX_VERDICT_BYTES {
        return Err("the verdict is longer than 2064 bytes");
    }
    if bytes.len() != VerdictHead::BYTES + head.header_bytes {
        return Err("the header length in the verdict does not match the length of the verdict");
    }
    match head.kind {
        0 => Ok(Verdict::GoOn(Changes::default())),
        1 => {
            let headers = &bytes[VerdictHead::BYTES..];
            decode_changes(&head, headers, request, max_units).map(Verdict::GoOn)
        }
        2 if head.duration_ms <= MAX_RETRY_AFTER_MS => Ok(Verdict::Refuse {
            wait_ms: head.duration_ms,
        }),
        2 => Err("the Retry-After of the verdict exceeds one hour"),
        3 => Ok(Verdict::Fail),
        _ => Err("the verdict has an unknown kind"),
    }
}

fn decode_changes(
    head: &VerdictHead,
    headers: &[u8],
    request: &VisibleRequest,
    max_units: f64,
) -> Result<Changes, &'static str> {
    if head.lower > 1 {
        return Err("the field lower (offset 1) of the verdict is neither 0 nor 1");
    }
    if head.duration_ms > request.left_ms {
        return Err("the deadline of the verdict is later than that of the request");
    }
    let units = head.units;
    let is_in_range = units.is_finite() && units >= request.units && units <= max_units;
    if units != 0.0 && !is_in_range {
        return Err("the units of the verdict are below those of the request or above the maximum of one request");
    }
    Ok(Changes {
        units: (units != 0.0).then_some(units),
        lower: head.lower == 1,
        deadline_ms: (head.duration_ms > 0).then_some(head.duration_ms),
        headers: decode_headers(headers)?,
    })
}

/// Decodes the header lines of a verdict, each of which ends with a line feed.
fn decode_headers(bytes: &[u8]) -> Result<Vec<(String, String)>, &'static str> {
    let text =
        std::str::from_utf8(bytes).map_err(|_| "the headers of the verdict are not UTF-8")?;
    let mut headers = Vec::new();
    for line in text.split_terminator('\n') {
        let (name, value) = line
            .split_once(": ")
            .ok_or("a header line of the verdict is not \"name: value\" and a line feed")?;
        check_header(name, value)?;
        headers.push((name.to_string(), value.to_string()));
    }
    if headers.len() > MAX_HEADERS || !bytes.is_empty() && !bytes.ends_with(b"\n") {
        return Err(
            "the verdict has more than 16 headers, or its last header line has no line feed",
        );
    }
    Ok(headers)
}

/// Checks a header of a verdict: the name has to start with `x-` and must not be reserved, and the value has to be
/// visible ASCII.
fn check_header(name: &str, value: &str) -> Result<(), &'static str> {
    let is_name_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let is_name = name.starts_with("x-")
        && name.len() <= MAX_HEADER_NAME_BYTES
        && name.bytes().all(is_name_byte);
    if !is_name {
        return Err("a header name of the verdict is not x- and up to 62 of a-z, 0-9, -");
    }
    if RESERVED_HEADER_PREFIXES
        .iter()
        .any(|prefix| name.starts_with(prefix))
    {
        return Err("a header name of the verdict is reserved");
    }
    let is_visible = |b: u8| (b' '..=b'~').contains(&b);
    if value.len() > MAX_HEADER_VALUE_BYTES || !value.bytes().all(is_visible) {
        return Err("a header value of the verdict is not visible ASCII of at most 256 bytes");
    }
    Ok(())
}
