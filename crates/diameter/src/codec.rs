//! Messages and AVPs on the wire (RFC 6733 sections 3 and 4).
//!
//! No length field is trusted before its bytes have arrived, and none determines an allocation. Unknown AVPs are kept
//! unchanged and in order.

mod avp;
mod message;
mod validation;

pub use avp::{find, Avp};
pub use message::Message;

use crate::dictionary::{self, result, Kind};

/// Length of a message's header.
pub const HEADER_BYTES: usize = 20;
/// Longest message that is accepted. A longer one ends the connection, because to find its end up to 16 MB would have to
/// be read.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// The command flags (RFC 6733 section 3).
pub mod flag {
    /// R: a request, not an answer.
    pub const REQUEST: u8 = 0x80;
    /// P: may be proxied, relayed or redirected.
    pub const PROXIABLE: u8 = 0x40;
    /// E: an answer with a protocol error.
    pub const ERROR: u8 = 0x20;
    /// T: potentially retransmitted.
    pub const RETRANSMITTED: u8 = 0x10;
    /// Bits without a meaning; they have to be zero.
    pub const RESERVED: u8 = 0x0f;
}

/// A message's header without version and length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// Command flags, see [`flag`].
    pub flags: u8,
    /// Command code, see [`dictionary::command`].
    pub command: u32,
    /// Application-Id, see [`dictionary::application`].
    pub application: u32,
    /// Matches an answer with its request on one connection.
    pub hop_by_hop: u32,
    /// With the Origin-Host, identifies duplicates of a request.
    pub end_to_end: u32,
}

impl Header {
    /// Whether any of these flags is set.
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

/// What is wrong with a message, as its answer reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Result-Code of the answer.
    pub result_code: u32,
    /// Content of the answer's Failed-AVP.
    pub failed_avp: Option<Avp>,
}

impl Fault {
    /// A fault of the message, not of one AVP.
    pub fn new(result_code: u32) -> Fault {
        Fault {
            result_code,
            failed_avp: None,
        }
    }

    /// A fault of this AVP.
    pub fn in_avp(result_code: u32, avp: &Avp) -> Fault {
        Fault {
            result_code,
            failed_avp: Some(avp.clone()),
        }
    }

    /// A required AVP is missing. The Failed-AVP has an example of it, with zeros of the least length (RFC 6733 section
    /// 7.5).
    pub fn missing_avp(code: u32) -> Fault {
        let min_data_bytes = match dictionary::kind(code) {
            Some(Kind::Integer32 | Kind::Unsigned32 | Kind::Time) => 4,
            Some(Kind::Integer64 | Kind::Unsigned64) => 8,
            Some(Kind::Address) => 6,
            _ => 0,
        };
        let example = Avp::new(code, vec![0; min_data_bytes]);
        Fault {
            result_code: result::MISSING_AVP,
            failed_avp: Some(example),
        }
    }
}

/// A message that could not be decoded, with the header that an answer to it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// All zeros if not even the header was complete.
    pub header: Header,
    /// What is wrong with it.
    pub fault: Fault,
}

/// The length of the first message in the buffer; `None` while it is incomplete.
///
/// # Errors
/// Another version, or an impossible length: the stream cannot be read any further.
pub fn frame(buffer: &[u8]) -> Result<Option<usize>, Fault> {
    if buffer.first().is_some_and(|&version| version != 1) {
        return Err(Fault::new(result::UNSUPPORTED_VERSION));
    }
    if buffer.len() < 4 {
        return Ok(None);
    }
    let length = u24_at(buffer, 1) as usize;
    if !(HEADER_BYTES..=MAX_MESSAGE_BYTES).contains(&length) || !length.is_multiple_of(4) {
        return Err(Fault::new(result::INVALID_MESSAGE_LENGTH));
    }
    Ok((buffer.len() >= length).then_some(length))
}

fn u24_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes([0, bytes[offset], bytes[offset + 1], bytes[offset + 2]])
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes([
        bytes[offset],
        bytes[offset + 1],
        bytes[offset + 2],
        bytes[offset + 3],
    ])
}
