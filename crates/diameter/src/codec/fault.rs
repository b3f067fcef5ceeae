//! Faults in received messages, and the error of a message that cannot be decoded.

use super::avp::Avp;
use super::header::Header;
use crate::dictionary::{self, result, DataFormat};

/// A protocol violation in a message, in the form that the answer reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Result-Code of the answer.
    pub result_code: u32,
    /// Content of the answer's Failed-AVP.
    pub failed_avp: Option<Avp>,
}

impl Fault {
    /// Creates a fault of the message as a whole, without a Failed-AVP.
    pub fn new(result_code: u32) -> Fault {
        Fault {
            result_code,
            failed_avp: None,
        }
    }

    /// Creates a fault of `avp`, which becomes the content of the Failed-AVP.
    pub fn in_avp(result_code: u32, avp: &Avp) -> Fault {
        Fault {
            result_code,
            failed_avp: Some(avp.clone()),
        }
    }

    /// Creates the fault of a missing required AVP. The Failed-AVP contains an example of that AVP, with zeros of the
    /// minimum length (RFC 6733 section 7.5).
    pub fn missing_avp(code: u32) -> Fault {
        let min_data_bytes = match dictionary::data_format(code) {
            Some(DataFormat::Integer32 | DataFormat::Unsigned32 | DataFormat::Time) => 4,
            Some(DataFormat::Integer64 | DataFormat::Unsigned64) => 8,
            Some(DataFormat::Address) => 6,
            _ => 0,
        };
        let example = Avp::new(code, vec![0; min_data_bytes]);
        Fault {
            result_code: result::MISSING_AVP,
            failed_avp: Some(example),
        }
    }
}

/// The error of a message that cannot be decoded, with the header that an answer to the message needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// Header of the message; all zeros if the message is shorter than a header.
    pub header: Header,
    /// The fault that prevented decoding.
    pub fault: Fault,
}
