//! Messages: header and AVPs (RFC 6733 section 3).

use super::avp::{find, Avp};
use super::big_endian::{u24_at, u32_at};
use super::fault::{Fault, Unreadable};
use super::header::{flag, Header, HEADER_BYTES};
use super::read_avp::read_all;
use super::validation;
use crate::dictionary::{code, result};
use bytes::Bytes;

/// A request or an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Flags, command and identifiers.
    pub header: Header,
    /// All AVPs in their order on the wire, unknown ones included.
    pub avps: Vec<Avp>,
}

impl Message {
    /// A message without AVPs.
    pub fn new(header: Header) -> Message {
        Message {
            header,
            avps: Vec::new(),
        }
    }

    /// Reads one message, framed by [`frame`](super::frame()).
    ///
    /// # Errors
    /// What is wrong with it, and its header.
    pub fn decode(bytes: Bytes) -> Result<Message, Unreadable> {
        if bytes.len() < HEADER_BYTES {
            return Err(Unreadable {
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
        let unreadable = |fault| Unreadable { header, fault };
        // The E bit is for answers only (RFC 6733 section 3).
        let is_erroneous_request = header.has(flag::REQUEST) && header.has(flag::ERROR);
        if header.has(flag::RESERVED) || is_erroneous_request {
            return Err(unreadable(Fault::new(result::INVALID_HDR_BITS)));
        }
        let avps = read_all(bytes.slice(HEADER_BYTES..)).map_err(unreadable)?;
        Ok(Message { header, avps })
    }

    /// The message's bytes on the wire.
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

    /// An answer to this request that has only its Session-Id, which comes first (RFC 6733 section 6.2).
    pub fn answer(&self) -> Message {
        let flags = self.header.flags & flag::PROXIABLE;
        let mut answer = Message::new(Header {
            flags,
            ..self.header
        });
        answer.avps.extend(self.find(code::SESSION_ID).cloned());
        answer
    }

    /// The first AVP with that code and without a vendor.
    pub fn find(&self, code: u32) -> Option<&Avp> {
        find(&self.avps, code)
    }

    /// The message with one more AVP at its end.
    pub fn with(mut self, avp: Avp) -> Message {
        self.avps.push(avp);
        self
    }

    /// The text of an AVP; `None` if it is missing or not UTF-8.
    pub fn text(&self, code: u32) -> Option<&str> {
        std::str::from_utf8(&self.find(code)?.data).ok()
    }

    /// The value of an Unsigned32 AVP; `None` if it is missing or of another length.
    pub fn number(&self, code: u32) -> Option<u32> {
        self.find(code)?.u32().ok()
    }

    /// The Result-Code.
    pub fn result(&self) -> Option<u32> {
        self.number(code::RESULT_CODE)
    }

    /// Checks that every AVP of a known kind has data of that kind, and that every mandatory AVP is known.
    ///
    /// # Errors
    /// The first fault, in the order of the AVPs.
    pub fn validate(&self) -> Result<(), Fault> {
        validation::validate(&self.avps, 0)
    }

    /// Approximate memory that the AVPs take, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.avps
            .iter()
            .map(|avp| avp.data.len() + std::mem::size_of::<Avp>())
            .sum()
    }
}
