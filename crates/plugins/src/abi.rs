//! Version 1 of the interface: what a plug-in is shown and what it may answer. All numbers are little-endian, as WebAssembly
//! has them.
//!
//! ```text
//! request  0 customer u64 | 8 units f64 | 16 milliseconds left u32 | 20 flags u32 (1: safe to repeat)
//! answer   0 customer u64 | 8 units f64 | 16 outcome u32 (200, 429, 502) | 20 milliseconds taken u32
//! both    24 lengths u16 of class, plan, headers, body | 32 class, plan, "name: value\n" each, body's first bytes
//! verdict  0 kind u8 (0 go on, 1 go on with changes, 2 refuse, 3 fail) | 1 lower u8 | 2 length u16 of headers
//!          4 milliseconds u32: the wait of a refusal, or a shorter deadline (0: as it is)
//!          8 units f64, more than asked (0: as they are) | 16 "name: value\n" each
//! ```

/// The version that a module exports as `frosthatch_abi`.
pub const VERSION: i32 = 1;
/// What a plug-in is shown at most: class and plan, headers, body.
pub const NAME_BYTES: usize = 256;
pub const SHOWN_HEADERS: usize = 4_096;
pub const SHOWN_BODY: usize = 4_096;
/// What it may answer at most.
pub const VERDICT_BYTES: usize = 16 + 2_048;
const HEADERS: usize = 16;
/// No refusal sends anybody away for longer.
const MOST_WAIT_MS: u32 = 3_600_000;

/// A request, as plug-ins are shown it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shown {
    pub customer: u64,
    pub units: f64,
    pub left_ms: u32,
    pub repeatable: bool,
    pub class: String,
    pub plan: String,
    /// Chosen by the operator.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served = 200,
    Refused = 429,
    Failed = 502,
}

fn record(shown: &Shown, third: u32, fourth: u32) -> Vec<u8> {
    let cut = |text: &str| text.as_bytes()[..text.len().min(NAME_BYTES)].to_vec();
    let (class, plan) = (cut(&shown.class), cut(&shown.plan));
    let mut headers = Vec::new();
    for (name, value) in &shown.headers {
        if headers.len() + name.len() + value.len() + 3 <= SHOWN_HEADERS {
            headers.extend(format!("{name}: {value}\n").as_bytes());
        }
    }
    let body = &shown.body[..shown.body.len().min(SHOWN_BODY)];
    let mut out = Vec::with_capacity(32 + class.len() + plan.len() + headers.len() + body.len());
    out.extend(shown.customer.to_le_bytes());
    out.extend(shown.units.to_le_bytes());
    out.extend(third.to_le_bytes());
    out.extend(fourth.to_le_bytes());
    for part in [class.len(), plan.len(), headers.len(), body.len()] {
        out.extend((part as u16).to_le_bytes());
    }
    [&class[..], &plan, &headers, body]
        .into_iter()
        .for_each(|part| out.extend(part));
    out
}

pub fn request(shown: &Shown) -> Vec<u8> {
    record(shown, shown.left_ms, u32::from(shown.repeatable))
}

pub fn answer(shown: &Shown, outcome: Outcome, took_ms: u32) -> Vec<u8> {
    record(shown, outcome as u32, took_ms)
}

/// What a plug-in may change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// More than was asked.
    pub units: Option<f64>,
    pub lower: bool,
    /// Sooner than the client leaves.
    pub deadline_ms: Option<u32>,
    /// Of the answer.
    pub headers: Vec<(String, String)>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    GoOn(Changes),
    Refuse { wait_ms: u32 },
    Fail,
}

/// Reads a verdict; what is out of its bounds makes all of it void. `most_units`: of one request.
///
/// # Errors
/// What is wrong with it.
pub fn verdict(bytes: &[u8], shown: &Shown, most_units: f64) -> Result<Verdict, &'static str> {
    let fixed: &[u8; 16] = bytes
        .first_chunk()
        .ok_or("a verdict is shorter than 16 bytes")?;
    if bytes.len() > VERDICT_BYTES {
        return Err("a verdict is too long");
    }
    let length = usize::from(u16::from_le_bytes([fixed[2], fixed[3]]));
    let ms = u32::from_le_bytes([fixed[4], fixed[5], fixed[6], fixed[7]]);
    let units = f64::from_le_bytes([
        fixed[8], fixed[9], fixed[10], fixed[11], fixed[12], fixed[13], fixed[14], fixed[15],
    ]);
    if bytes.len() != 16 + length {
        return Err("a verdict's length of headers is not that of its rest");
    }
    match fixed[0] {
        0 => Ok(Verdict::GoOn(Changes::default())),
        2 if ms <= MOST_WAIT_MS => Ok(Verdict::Refuse { wait_ms: ms }),
        2 => Err("a wait of more than an hour"),
        3 => Ok(Verdict::Fail),
        1 => {
            if fixed[1] > 1 {
                return Err("lower is 0 or 1");
            }
            if ms > shown.left_ms {
                return Err("a deadline can only be shorter");
            }
            let fits = units.is_finite() && units >= shown.units && units <= most_units;
            if units != 0.0 && !fits {
                return Err("units can only go up, to the most of one request");
            }
            Ok(Verdict::GoOn(Changes {
                units: (units != 0.0).then_some(units),
                lower: fixed[1] == 1,
                deadline_ms: (ms > 0).then_some(ms),
                headers: headers(&bytes[16..])?,
            }))
        }
        _ => Err("a verdict of an unknown kind"),
    }
}

/// Header lines of an answer: names of their own (`x-` and not one that the gateway or servers speak), visible ASCII only.
fn headers(bytes: &[u8]) -> Result<Vec<(String, String)>, &'static str> {
    let text = std::str::from_utf8(bytes).map_err(|_| "headers are not UTF-8")?;
    let mut all = Vec::new();
    for line in text.split_terminator('\n') {
        let (name, value) = line
            .split_once(": ")
            .ok_or("a header is \"name: value\" and a line feed")?;
        let token = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        if !name.starts_with("x-") || name.len() > 64 || !name.bytes().all(token) {
            return Err("a header's name is x- and then a-z, 0-9, -");
        }
        if RESERVED.iter().any(|r| name.starts_with(r)) {
            return Err("a header of that name is not a plug-in's");
        }
        if value.len() > 256 || !value.bytes().all(|b| (b' '..=b'~').contains(&b)) {
            return Err("a header's value is visible ASCII, 256 bytes at most");
        }
        all.push((name.to_string(), value.to_string()));
    }
    if all.len() > HEADERS || !bytes.is_empty() && !bytes.ends_with(b"\n") {
        return Err("headers are 16 at most, each with its line feed");
    }
    Ok(all)
}

/// Names that mean something between clients, gateways and servers.
const RESERVED: [&str; 8] = [
    "x-trace-id",
    "x-qos",
    "x-tier",
    "x-api-key",
    "x-expires-in",
    "x-call-terms",
    "x-never-ran",
    "x-ratelimit",
];
