//! Diameter messages, which consist of a header and AVPs (RFC 6733 section 3).

use super::avp::{find, Avp};
use super::big_endian::{u24_at, u32_at};
use super::fault::{DecodeError, Fault};
use super::header::{flag, Header, HEADER_BYTES};
use super::read_avp::decode_all;
use super::validation;
use crate::dictionary::{code, result};
use bytes::Bytes;

/// A Diameter request or answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Command flags, command code, application and identifiers.
    pub header: Header,
    /// All AVPs in wire order, including unknown ones.
    pub avps: Vec<Avp>,
}

impl Message {
    /// Creates a message without AVPs.
    pub fn new(header: Header) -> Message {
        Message {
            header,
            avps: Vec::new(),
        }
    }

    /// Decodes one message, whose length was determined by [`first_message_length`](super::first_message_length).
    ///
    /// # Errors
    /// Returns the message's header and first fault if the message cannot be decoded.
    pub fn decode(bytes: Bytes) -> Result<Message, DecodeError> {
        if bytes.len() < HEADER_BYTES {
            return Err(DecodeError {
                header: Header::default(),
                fault: Fault::new(result::INVALID_MESSAGE_LENGTH),
            });
        }
        let header = Header {
            flags: bytes[4],
            command: u24_at(&bytes, 5),
            application: u32_at(&bytes, 8),
            hop_by_hop: u32_at(&bytes, 12),
            end_to_end: u32_at(&bytes, 16),
        };
        let decode_error = |fault| DecodeError { header, fault };
        // Only answers may have the E bit (RFC 6733 section 3).
        let is_erroneous_request =
            header.has_any_flag(flag::REQUEST) && header.has_any_flag(flag::ERROR);
        if header.has_any_flag(flag::RESERVED) || is_erroneous_request {
            return Err(decode_error(Fault::new(result::INVALID_HDR_BITS)));
        }
        let avps = decode_all(bytes.slice(HEADER_BYTES..)).map_err(decode_error)?;
        Ok(Message { header, avps })
    }

    /// Returns the message in wire format.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![1, 0, 0, 0, self.header.flags];
        out.extend(&self.header.command.to_be_bytes()[1..]);
        out.extend(self.header.application.to_be_bytes());
        out.extend(self.header.hop_by_hop.to_be_bytes());
        out.extend(self.header.end_to_end.to_be_bytes());
        self.avps.iter().for_each(|avp| avp.write(&mut out));
        let length = (out.len() as u32).to_be_bytes();
        out[1..4].copy_from_slice(&length[1..]);
        out
    }

    /// Creates an answer to this request that contains only the request's Session-Id, which comes first (RFC 6733 section
    /// 6.2).
    pub fn answer(&self) -> Message {
        let flags = self.header.flags & flag::PROXIABLE;
        let mut answer = Message::new(Header {
            flags,
            ..self.header
        });
        answer.avps.extend(self.find(code::SESSION_ID).cloned());
        answer
    }

    /// Returns the first AVP that has this code and no Vendor-Id.
    pub fn find(&self, code: u32) -> Option<&Avp> {
        find(&self.avps, code)
    }

    /// Appends an AVP to the message.
    pub fn with_avp(mut self, avp: Avp) -> Message {
        self.avps.push(avp);
        self
    }

    /// Returns the text of the AVP with this code, or `None` if the AVP is missing or not UTF-8.
    pub fn text(&self, code: u32) -> Option<&str> {
        std::str::from_utf8(&self.find(code)?.data).ok()
    }

    /// Returns the value of the Unsigned32 AVP with this code, or `None` if the AVP is missing or its data is not 4 bytes
    /// long.
    pub fn u32_value(&self, code: u32) -> Option<u32> {
        self.find(code)?.u32().ok()
    }

    /// Returns the Result-Code, or `None` if the message has none that is valid.
    pub fn result_code(&self) -> Option<u32> {
        self.u32_value(code::RESULT_CODE)
    }

    /// Checks that every known AVP has data in its data format, and that every mandatory AVP is known.
    ///
    /// # Errors
    /// Returns the first fault in the order of the AVPs.
    pub fn validate(&self) -> Result<(), Fault> {
        validation::validate(&self.avps, 0)
    }

    /// Returns the approximate memory use of the AVPs in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.avps
            .iter()
            .map(|avp| avp.data.len() + std::mem::size_of::<Avp>())
            .sum()
    }
}
