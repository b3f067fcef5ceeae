//! The bytes of messages between gateways: a codec, with the module's figures passed in.

/// Units, rates and levels travel as counts of this part of one.
const FIXED_POINT_SCALE: f64 = 8.0;
const CELL_REPORTS: u8 = 2;
const QUOTA_REQUEST: u8 = 3;
const QUOTA_GRANT: u8 = 4;
const CELL_REPORT_BYTES: usize = 3;

/// What a gateway tells of one class and plan.
pub(crate) struct CellReport {
    pub fraction: f64,
    pub admitted_per_s: f64,
}

pub(crate) enum Message {
    /// Fractions and admitted rates of the sender.
    CellReports(Vec<CellReport>),
    /// To a customer's keeper: `wanted` units of its quota, `extra` used without asking, below 0 given back.
    QuotaRequest {
        tag: u32,
        plan: u8,
        width: u16,
        wanted: f64,
        extra: f64,
    },
    /// From the keeper: units granted, the store's level before, and what is asked a second by all.
    QuotaGrant {
        tag: u32,
        granted: f64,
        level: f64,
        demand: f64,
    },
}

/// A customer's short name among gateways (FNV-1a, 32 bits).
pub(crate) fn customer_tag(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    })
}

fn encode_fixed_point(v: f64) -> [u8; 2] {
    ((v * FIXED_POINT_SCALE).round() as i16).to_le_bytes()
}

/// At most `most` bytes; cells that do not fit are left out.
pub(crate) fn encode(message: &Message, most: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    match message {
        Message::CellReports(cells) => {
            bytes.push(CELL_REPORTS);
            for c in cells
                .iter()
                .take(most.saturating_sub(1) / CELL_REPORT_BYTES)
            {
                bytes.push((c.fraction * 10.0).round() as u8);
                bytes.extend(encode_fixed_point(c.admitted_per_s));
            }
        }
        Message::QuotaRequest {
            tag,
            plan,
            width,
            wanted,
            extra,
        } => {
            bytes.push(QUOTA_REQUEST);
            bytes.extend(tag.to_le_bytes());
            bytes.push(*plan);
            bytes.extend(width.to_le_bytes());
            bytes.extend(encode_fixed_point(*wanted));
            bytes.extend(encode_fixed_point(*extra));
        }
        Message::QuotaGrant {
            tag,
            granted,
            level,
            demand,
        } => {
            bytes.push(QUOTA_GRANT);
            bytes.extend(tag.to_le_bytes());
            bytes.extend(encode_fixed_point(*granted));
            bytes.extend(encode_fixed_point(*level));
            bytes.extend(encode_fixed_point(*demand));
        }
    }
    bytes
}

/// `None` for bytes that no gateway sends.
pub(crate) fn decode(bytes: &[u8]) -> Option<Message> {
    let (kind, rest) = bytes.split_first()?;
    let pair = |i: usize| [rest[i], rest[i + 1]];
    let value = |i: usize| f64::from(i16::from_le_bytes(pair(i))) / FIXED_POINT_SCALE;
    let tag = || u32::from_le_bytes([rest[0], rest[1], rest[2], rest[3]]);
    match (*kind, rest.len()) {
        (CELL_REPORTS, n) if n % CELL_REPORT_BYTES == 0 => {
            let rate = |c: &[u8]| f64::from(i16::from_le_bytes([c[1], c[2]])) / FIXED_POINT_SCALE;
            let cell = |c: &[u8]| CellReport {
                fraction: f64::from(c[0]) / 10.0,
                admitted_per_s: rate(c),
            };
            Some(Message::CellReports(
                rest.chunks_exact(CELL_REPORT_BYTES).map(cell).collect(),
            ))
        }
        (QUOTA_REQUEST, 11) => Some(Message::QuotaRequest {
            tag: tag(),
            plan: rest[4],
            width: u16::from_le_bytes(pair(5)),
            wanted: value(7),
            extra: value(9),
        }),
        (QUOTA_GRANT, 10) => Some(Message::QuotaGrant {
            tag: tag(),
            granted: value(4),
            level: value(6),
            demand: value(8),
        }),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
