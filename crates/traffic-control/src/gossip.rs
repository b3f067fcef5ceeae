//! The bytes of messages between gateways: a codec, with the module's figures passed in.

/// Units, rates and levels travel as counts of this part of one.
const EIGHTHS: f64 = 8.0;
const NEWS: u8 = 2;
const ASK: u8 = 3;
const ANSWER: u8 = 4;
const CELL: usize = 3;

/// What a gateway tells of one class and plan.
pub(crate) struct CellNews {
    pub fraction: f64,
    pub admitted: f64,
}

pub(crate) enum Message {
    /// Fractions and admitted rates of the sender.
    News(Vec<CellNews>),
    /// To a customer's keeper: `wanted` units of its quota, `extra` used without asking, below 0 given back.
    Ask {
        tag: u32,
        plan: u8,
        width: u16,
        wanted: f64,
        extra: f64,
    },
    /// From the keeper: units granted, the store's level before, and what is asked a second by all.
    Answer {
        tag: u32,
        granted: f64,
        level: f64,
        demand: f64,
    },
}

/// A customer's short name among gateways (FNV-1a, 32 bits).
pub(crate) fn tag(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    })
}

fn eighths(v: f64) -> [u8; 2] {
    ((v * EIGHTHS).round() as i16).to_le_bytes()
}

/// At most `most` bytes; cells that do not fit are left out.
pub(crate) fn encode(message: &Message, most: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    match message {
        Message::News(cells) => {
            bytes.push(NEWS);
            for c in cells.iter().take(most.saturating_sub(1) / CELL) {
                bytes.push((c.fraction * 10.0).round() as u8);
                bytes.extend(eighths(c.admitted));
            }
        }
        Message::Ask {
            tag,
            plan,
            width,
            wanted,
            extra,
        } => {
            bytes.push(ASK);
            bytes.extend(tag.to_le_bytes());
            bytes.push(*plan);
            bytes.extend(width.to_le_bytes());
            bytes.extend(eighths(*wanted));
            bytes.extend(eighths(*extra));
        }
        Message::Answer {
            tag,
            granted,
            level,
            demand,
        } => {
            bytes.push(ANSWER);
            bytes.extend(tag.to_le_bytes());
            bytes.extend(eighths(*granted));
            bytes.extend(eighths(*level));
            bytes.extend(eighths(*demand));
        }
    }
    bytes
}

/// `None` for bytes that no gateway sends.
pub(crate) fn decode(bytes: &[u8]) -> Option<Message> {
    let (kind, rest) = bytes.split_first()?;
    let pair = |i: usize| [rest[i], rest[i + 1]];
    let value = |i: usize| f64::from(i16::from_le_bytes(pair(i))) / EIGHTHS;
    let tag = || u32::from_le_bytes([rest[0], rest[1], rest[2], rest[3]]);
    match (*kind, rest.len()) {
        (NEWS, n) if n % CELL == 0 => {
            let rate = |c: &[u8]| f64::from(i16::from_le_bytes([c[1], c[2]])) / EIGHTHS;
            let cell = |c: &[u8]| CellNews {
                fraction: f64::from(c[0]) / 10.0,
                admitted: rate(c),
            };
            Some(Message::News(rest.chunks_exact(CELL).map(cell).collect()))
        }
        (ASK, 11) => Some(Message::Ask {
            tag: tag(),
            plan: rest[4],
            width: u16::from_le_bytes(pair(5)),
            wanted: value(7),
            extra: value(9),
        }),
        (ANSWER, 10) => Some(Message::Answer {
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
