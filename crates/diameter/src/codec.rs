//! Messages and AVPs on the wire (RFC 6733 sections 3 and 4). A length is never believed before its bytes are there, and
//! nothing is allocated by it; what is not understood is kept as it came, in its order.

use crate::dictionary::{self, code, result, Kind};
use bytes::{Buf, Bytes};

/// A header's length.
pub const HEADER: usize = 20;
/// The longest message that is taken. Larger ones end the connection: where they end could be 16 MB away.
pub const MESSAGE_BYTES: usize = 64 << 10;
/// Groups in groups at most.
const DEPTH: usize = 8;

const VENDOR: u8 = 0x80;
const MANDATORY: u8 = 0x40;
const AVP_RESERVED: u8 = 0x1f;

/// The command flags (RFC 6733 section 3).
pub mod flag {
    pub const REQUEST: u8 = 0x80;
    pub const PROXIABLE: u8 = 0x40;
    pub const ERROR: u8 = 0x20;
    pub const RETRANSMITTED: u8 = 0x10;
    pub const RESERVED: u8 = 0x0f;
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    pub flags: u8,
    pub command: u32,
    pub application: u32,
    pub hop_by_hop: u32,
    pub end_to_end: u32,
}

impl Header {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

/// One AVP as it came; its data is part of the message's bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Avp {
    pub code: u32,
    pub flags: u8,
    pub vendor: Option<u32>,
    pub data: Bytes,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    pub header: Header,
    pub avps: Vec<Avp>,
}

/// What is wrong with a message: the result code that says so, and the AVP at fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub code: u32,
    pub avp: Option<Avp>,
}

impl Fault {
    pub fn new(code: u32) -> Fault {
        Fault { code, avp: None }
    }

    pub fn of(code: u32, avp: &Avp) -> Fault {
        Fault {
            code,
            avp: Some(avp.clone()),
        }
    }

    /// An AVP that must be there is not: an example of it, with data of the least length (RFC 6733 section 7.5).
    pub fn missing(code: u32) -> Fault {
        let least = match dictionary::kind(code) {
            Some(Kind::Integer32 | Kind::Unsigned32 | Kind::Time) => 4,
            Some(Kind::Integer64 | Kind::Unsigned64) => 8,
            Some(Kind::Address) => 6,
            _ => 0,
        };
        let avp = Avp {
            code,
            flags: MANDATORY,
            vendor: None,
            data: Bytes::from(vec![0; least]),
        };
        Fault {
            code: result::MISSING_AVP,
            avp: Some(avp),
        }
    }
}

/// A message that could not be read whole: its header, as far as it can be answered by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    pub header: Header,
    pub fault: Fault,
}

fn u24(bytes: &[u8]) -> u32 {
    u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]])
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// Where the first message in the buffer ends; none while that is not known.
/// # Errors
/// The stream cannot be followed any further: another version, or a length that no message has.
pub fn frame(buffer: &[u8]) -> Result<Option<usize>, Fault> {
    if buffer.first().is_some_and(|&version| version != 1) {
        return Err(Fault::new(result::UNSUPPORTED_VERSION));
    }
    if buffer.len() < 4 {
        return Ok(None);
    }
    let length = u24(&buffer[1..]) as usize;
    if !(HEADER..=MESSAGE_BYTES).contains(&length) || !length.is_multiple_of(4) {
        return Err(Fault::new(result::INVALID_MESSAGE_LENGTH));
    }
    Ok((buffer.len() >= length).then_some(length))
}

impl Message {
    pub fn new(header: Header) -> Message {
        Message {
            header,
            avps: Vec::new(),
        }
    }

    /// Reads one framed message.
    /// # Errors
    /// What is wrong with it, and its header.
    pub fn decode(bytes: Bytes) -> Result<Message, Unreadable> {
        let mut header = Header::default();
        if bytes.len() < HEADER {
            return Err(Unreadable {
                header,
                fault: Fault::new(result::INVALID_MESSAGE_LENGTH),
            });
        }
        header = Header {
            flags: bytes[4],
            command: u24(&bytes[5..]),
            application: u32_at(&bytes, 8),
            hop_by_hop: u32_at(&bytes, 12),
            end_to_end: u32_at(&bytes, 16),
        };
        let unreadable = |fault| Unreadable { header, fault };
        // An answer says nothing of errors unless it is one; a request is none.
        if header.has(flag::RESERVED) || header.has(flag::REQUEST) && header.has(flag::ERROR) {
            return Err(unreadable(Fault::new(result::INVALID_HDR_BITS)));
        }
        let avps = avps(bytes.slice(HEADER..)).map_err(unreadable)?;
        Ok(Message { header, avps })
    }

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

    /// The answer to this request, empty but for its Session-Id, which comes first (RFC 6733 section 6.2).
    pub fn answer(&self) -> Message {
        let flags = self.header.flags & flag::PROXIABLE;
        let mut answer = Message::new(Header {
            flags,
            ..self.header
        });
        answer.avps.extend(self.find(code::SESSION_ID).cloned());
        answer
    }

    pub fn find(&self, code: u32) -> Option<&Avp> {
        find(&self.avps, code)
    }

    pub fn with(mut self, avp: Avp) -> Message {
        self.avps.push(avp);
        self
    }

    /// An AVP's text, if it is there.
    pub fn text(&self, code: u32) -> Option<&str> {
        std::str::from_utf8(&self.find(code)?.data).ok()
    }

    pub fn number(&self, code: u32) -> Option<u32> {
        self.find(code)?.u32().ok()
    }

    pub fn result(&self) -> Option<u32> {
        self.number(code::RESULT_CODE)
    }

    /// Every AVP of a known kind has data of that kind, and what must be understood is known.
    /// # Errors
    /// The first that is not so.
    pub fn check(&self) -> Result<(), Fault> {
        check(&self.avps, 0)
    }
}

pub fn find(avps: &[Avp], code: u32) -> Option<&Avp> {
    avps.iter().find(|a| a.code == code && a.vendor.is_none())
}

fn check(avps: &[Avp], depth: usize) -> Result<(), Fault> {
    for avp in avps {
        let known = if avp.vendor.is_none() {
            dictionary::kind(avp.code)
        } else {
            None
        };
        let Some(kind) = known else {
            match avp.flags & MANDATORY != 0 {
                true => return Err(Fault::of(result::AVP_UNSUPPORTED, avp)),
                false => continue,
            }
        };
        let length = avp.data.len();
        let fits = match kind {
            Kind::Integer32 | Kind::Unsigned32 | Kind::Time => length == 4,
            Kind::Integer64 | Kind::Unsigned64 => length == 8,
            Kind::Address => length >= 2,
            Kind::OctetString | Kind::Utf8String | Kind::Grouped => true,
        };
        if !fits {
            return Err(Fault::of(result::INVALID_AVP_LENGTH, avp));
        }
        match kind {
            Kind::Utf8String if std::str::from_utf8(&avp.data).is_err() => {
                return Err(Fault::of(result::INVALID_AVP_VALUE, avp));
            }
            // What failed elsewhere may hold anything.
            Kind::Grouped if avp.code != code::FAILED_AVP => {
                if depth >= DEPTH {
                    return Err(Fault::of(result::INVALID_AVP_VALUE, avp));
                }
                // The group is at fault where what is in it does not fit it.
                let inner = avp
                    .group()
                    .map_err(|_| Fault::of(result::INVALID_AVP_LENGTH, avp))?;
                check(&inner, depth + 1)?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// The AVPs that stand one behind another and fill these bytes.
fn avps(mut bytes: Bytes) -> Result<Vec<Avp>, Fault> {
    let mut avps = Vec::new();
    while !bytes.is_empty() {
        let short = |code, flags, rest: &Bytes| {
            // As much as there is of it, without a length that lies (RFC 6733 section 7.1.5).
            let data = rest.slice(..rest.len().min(64));
            Fault::of(
                result::INVALID_AVP_LENGTH,
                &Avp {
                    code,
                    flags,
                    vendor: None,
                    data,
                },
            )
        };
        if bytes.len() < 8 {
            return Err(short(0, 0, &bytes));
        }
        let (code, flags, length) = (u32_at(&bytes, 0), bytes[4], u24(&bytes[5..]) as usize);
        let head = if flags & VENDOR != 0 { 12 } else { 8 };
        let padded = length.next_multiple_of(4);
        if length < head || padded > bytes.len() {
            return Err(short(code, flags & !VENDOR, &bytes.slice(8..)));
        }
        let vendor = (head == 12).then(|| u32_at(&bytes, 8));
        let avp = Avp {
            code,
            flags,
            vendor,
            data: bytes.slice(head..length),
        };
        if flags & AVP_RESERVED != 0 {
            return Err(Fault::of(result::INVALID_AVP_BITS, &avp));
        }
        avps.push(avp);
        bytes.advance(padded);
    }
    Ok(avps)
}

impl Avp {
    /// A mandatory AVP without a vendor.
    pub fn new(code: u32, data: impl Into<Bytes>) -> Avp {
        Avp {
            code,
            flags: MANDATORY,
            vendor: None,
            data: data.into(),
        }
    }

    pub fn optional(mut self) -> Avp {
        self.flags = 0;
        self
    }

    pub fn of_u32(code: u32, value: u32) -> Avp {
        Avp::new(code, value.to_be_bytes().to_vec())
    }

    pub fn of_u64(code: u32, value: u64) -> Avp {
        Avp::new(code, value.to_be_bytes().to_vec())
    }

    pub fn of_text(code: u32, text: &str) -> Avp {
        Avp::new(code, text.as_bytes().to_vec())
    }

    pub fn of_group(code: u32, avps: &[Avp]) -> Avp {
        let mut data = Vec::new();
        avps.iter().for_each(|avp| avp.write(&mut data));
        Avp::new(code, data)
    }

    /// # Errors
    /// It has another length.
    pub fn u32(&self) -> Result<u32, Fault> {
        let bytes = self.data[..]
            .try_into()
            .map_err(|_| Fault::of(result::INVALID_AVP_LENGTH, self))?;
        Ok(u32::from_be_bytes(bytes))
    }

    /// # Errors
    /// It has another length.
    pub fn u64(&self) -> Result<u64, Fault> {
        let bytes = self.data[..]
            .try_into()
            .map_err(|_| Fault::of(result::INVALID_AVP_LENGTH, self))?;
        Ok(u64::from_be_bytes(bytes))
    }

    /// # Errors
    /// It is no UTF-8.
    pub fn text(&self) -> Result<&str, Fault> {
        std::str::from_utf8(&self.data).map_err(|_| Fault::of(result::INVALID_AVP_VALUE, self))
    }

    /// # Errors
    /// What is in it does not fill it.
    pub fn group(&self) -> Result<Vec<Avp>, Fault> {
        avps(self.data.clone())
    }

    fn write(&self, out: &mut Vec<u8>) {
        let head = if self.vendor.is_some() { 12 } else { 8 };
        out.extend(self.code.to_be_bytes());
        let flags = if self.vendor.is_some() {
            self.flags | VENDOR
        } else {
            self.flags & !VENDOR
        };
        out.push(flags);
        out.extend(&((head + self.data.len()) as u32).to_be_bytes()[1..]);
        out.extend(self.vendor.map(u32::to_be_bytes).into_iter().flatten());
        out.extend(&self.data[..]);
        out.resize(out.len().next_multiple_of(4), 0);
    }
}
