//! The bytes of messages between gateways.

/// Units, rates and levels travel as counts of this part of one.
const FIXED_POINT_SCALE: f64 = 8.0;
/// Fractions travel as tenths.
const FRACTION_SCALE: f64 = 10.0;

const CELL_REPORTS: u8 = 2;
const QUOTA_REQUEST: u8 = 3;
const QUOTA_GRANT: u8 = 4;

const CELL_REPORT_BYTES: usize = 3;
const QUOTA_REQUEST_BYTES: usize = 11;
const QUOTA_GRANT_BYTES: usize = 10;

/// The state of one class and plan at a gateway.
pub(crate) struct CellReport {
    pub fraction: f64,
    pub admitted_per_s: f64,
}

/// From a gateway to a customer's owner.
pub(crate) struct QuotaRequest {
    pub tag: u32,
    /// Index of the customer's plan.
    pub plan: u8,
    /// Gateways that the customer uses.
    pub gateway_count: u16,
    /// Units of its quota that are wanted.
    pub wanted_units: f64,
    /// Units that were used without asking; negative: given back.
    pub unreported_units: f64,
}

/// From a customer's owner to a gateway.
pub(crate) struct QuotaGrant {
    pub tag: u32,
    pub granted_units: f64,
    /// The store's level before the grant.
    pub level: f64,
    /// Demand at all gateways, in units a second.
    pub demand_per_s: f64,
}

/// A message between gateways.
pub(crate) enum Message {
    /// Fractions and admitted rates of the sender.
    CellReports(Vec<CellReport>),
    /// Use of a customer, and what is wanted of its quota.
    QuotaRequest(QuotaRequest),
    /// What is granted of a customer's quota.
    QuotaGrant(QuotaGrant),
}

/// A customer's short name among gateways (FNV-1a, 32 bits).
pub(crate) fn customer_tag(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

fn encode_fixed_point(value: f64) -> [u8; 2] {
    ((value * FIXED_POINT_SCALE).round() as i16).to_le_bytes()
}

fn decode_fixed_point(bytes: [u8; 2]) -> f64 {
    f64::from(i16::from_le_bytes(bytes)) / FIXED_POINT_SCALE
}

/// The bytes of a message, at most `max_bytes`; reports of cells that do not fit are left out.
pub(crate) fn encode(message: &Message, max_bytes: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    match message {
        Message::CellReports(reports) => {
            bytes.push(CELL_REPORTS);
            let max_reports = max_bytes.saturating_sub(1) / CELL_REPORT_BYTES;
            for report in reports.iter().take(max_reports) {
                bytes.push((report.fraction * FRACTION_SCALE).round() as u8);
                bytes.extend(encode_fixed_point(report.admitted_per_s));
            }
        }
        Message::QuotaRequest(request) => {
            bytes.push(QUOTA_REQUEST);
            bytes.extend(request.tag.to_le_bytes());
            bytes.push(request.plan);
            bytes.extend(request.gateway_count.to_le_bytes());
            bytes.extend(encode_fixed_point(request.wanted_units));
            bytes.extend(encode_fixed_point(request.unreported_units));
        }
        Message::QuotaGrant(grant) => {
            bytes.push(QUOTA_GRANT);
            bytes.extend(grant.tag.to_le_bytes());
            bytes.extend(encode_fixed_point(grant.granted_units));
            bytes.extend(encode_fixed_point(grant.level));
            bytes.extend(encode_fixed_point(grant.demand_per_s));
        }
    }
    bytes
}

/// The message of these bytes; `None` for bytes that no gateway sends.
pub(crate) fn decode(bytes: &[u8]) -> Option<Message> {
    let (kind, body) = bytes.split_first()?;
    match (*kind, body.len()) {
        (CELL_REPORTS, length) if length % CELL_REPORT_BYTES == 0 => {
            let reports = body.chunks_exact(CELL_REPORT_BYTES).map(decode_cell_report);
            Some(Message::CellReports(reports.collect()))
        }
        (QUOTA_REQUEST, QUOTA_REQUEST_BYTES) => {
            Some(Message::QuotaRequest(decode_quota_request(body)))
        }
        (QUOTA_GRANT, QUOTA_GRANT_BYTES) => Some(Message::QuotaGrant(decode_quota_grant(body))),
        _ => None,
    }
}

fn decode_cell_report(body: &[u8]) -> CellReport {
    CellReport {
        fraction: f64::from(body[0]) / FRACTION_SCALE,
        admitted_per_s: decode_fixed_point([body[1], body[2]]),
    }
}

fn decode_quota_request(body: &[u8]) -> QuotaRequest {
    QuotaRequest {
        tag: decode_tag(body),
        plan: body[4],
        gateway_count: u16::from_le_bytes([body[5], body[6]]),
        wanted_units: decode_fixed_point([body[7], body[8]]),
        unreported_units: decode_fixed_point([body[9], body[10]]),
    }
}

fn decode_quota_grant(body: &[u8]) -> QuotaGrant {
    QuotaGrant {
        tag: decode_tag(body),
        granted_units: decode_fixed_point([body[4], body[5]]),
        level: decode_fixed_point([body[6], body[7]]),
        demand_per_s: decode_fixed_point([body[8], body[9]]),
    }
}

fn decode_tag(body: &[u8]) -> u32 {
    u32::from_le_bytes([body[0], body[1], body[2], body[3]])
}

#[cfg(test)]
mod tests;
