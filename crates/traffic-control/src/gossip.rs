//! Encoding and decoding of the messages between gateways.

/// Encoded steps per unit: units, rates and levels are encoded in steps of 1/8.
const FIXED_POINT_SCALE: f64 = 8.0;
/// Fractions are encoded as tenths.
const FRACTION_SCALE: f64 = 10.0;

const KIND_CELL_REPORTS: u8 = 2;
const KIND_QUOTA_REQUEST: u8 = 3;
const KIND_QUOTA_GRANT: u8 = 4;

const CELL_REPORT_BYTES: usize = 3;
const QUOTA_REQUEST_BYTES: usize = 11;
const QUOTA_GRANT_BYTES: usize = 10;

/// Report on one admission cell (a pair of class and plan) of the sender.
pub(crate) struct CellReport {
    /// Share of the cell's requests that are admitted, from 0 to 1.
    pub fraction: f64,
    /// Admitted requests per second.
    pub admitted_per_s: f64,
}

/// Report of usage and request for units, sent to a customer's owner: the gateway that grants units of its quota.
pub(crate) struct QuotaRequest {
    pub tag: u32,
    /// Index of the customer's plan.
    pub plan: u8,
    /// Number of gateways that the customer uses.
    pub gateway_count: u16,
    /// Units of the customer's quota that the gateway requests.
    pub wanted_units: f64,
    /// Units that the gateway used without a grant and has not reported yet; negative for units that it returns.
    pub unreported_units: f64,
}

/// Reply of a customer's owner to a [`QuotaRequest`].
pub(crate) struct QuotaGrant {
    pub tag: u32,
    pub granted_units: f64,
    /// Level of the customer's token bucket before the grant, in units.
    pub level: f64,
    /// Demand of the customer at all gateways, in units per second.
    pub demand_per_s: f64,
}

/// A message between gateways.
pub(crate) enum Message {
    /// Admission fractions and admitted rates of the sender, in the order of its cells.
    CellReports(Vec<CellReport>),
    /// Usage of a customer, and the units that the sender requests.
    QuotaRequest(QuotaRequest),
    /// Units granted to the receiver.
    QuotaGrant(QuotaGrant),
}

/// Returns the tag by which gateways identify a customer: the 32-bit FNV-1a hash of its name.
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

/// Encodes a message. Cell reports that do not fit into `max_bytes` are left out.
pub(crate) fn encode(message: &Message, max_bytes: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    match message {
        Message::CellReports(reports) => {
            bytes.push(KIND_CELL_REPORTS);
            let max_reports = max_bytes.saturating_sub(1) / CELL_REPORT_BYTES;
            for report in reports.iter().take(max_reports) {
                bytes.push((report.fraction * FRACTION_SCALE).round() as u8);
                bytes.extend(encode_fixed_point(report.admitted_per_s));
            }
        }
        Message::QuotaRequest(request) => {
            bytes.push(KIND_QUOTA_REQUEST);
            bytes.extend(request.tag.to_le_bytes());
            bytes.push(request.plan);
            bytes.extend(request.gateway_count.to_le_bytes());
            bytes.extend(encode_fixed_point(request.wanted_units));
            bytes.extend(encode_fixed_point(request.unreported_units));
        }
        Message::QuotaGrant(grant) => {
            bytes.push(KIND_QUOTA_GRANT);
            bytes.extend(grant.tag.to_le_bytes());
            bytes.extend(encode_fixed_point(grant.granted_units));
            bytes.extend(encode_fixed_point(grant.level));
            bytes.extend(encode_fixed_point(grant.demand_per_s));
        }
    }
    bytes
}

/// Decodes a message; `None` if its kind is unknown or its length is wrong.
pub(crate) fn decode(bytes: &[u8]) -> Option<Message> {
    let (kind, body) = bytes.split_first()?;
    match (*kind, body.len()) {
        (KIND_CELL_REPORTS, length) if length % CELL_REPORT_BYTES == 0 => {
            let reports = body.chunks_exact(CELL_REPORT_BYTES).map(decode_cell_report);
            Some(Message::CellReports(reports.collect()))
        }
        (KIND_QUOTA_REQUEST, QUOTA_REQUEST_BYTES) => {
            Some(Message::QuotaRequest(decode_quota_request(body)))
        }
        (KIND_QUOTA_GRANT, QUOTA_GRANT_BYTES) => {
            Some(Message::QuotaGrant(decode_quota_grant(body)))
        }
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
