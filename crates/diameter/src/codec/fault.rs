//! What is wrong with a message.

use super::avp::Avp;
use super::header::Header;
use crate::dictionary::{self, result, Kind};

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
