//! Attribute-value pairs (RFC 6733 section 4): reading, writing, and access to their data.

use super::{u24_at, u32_at, Fault};
use crate::dictionary::result;
use bytes::{Buf, Bytes};

/// The AVP flag V: a Vendor-Id follows the length.
const VENDOR_SPECIFIC: u8 = 0x80;
/// The AVP flag M: the receiver has to reject the message if it does not know the AVP.
pub(super) const MANDATORY: u8 = 0x40;
/// AVP flags without a meaning; they have to be zero.
const RESERVED: u8 = 0x1f;

/// Lengths of an AVP's header without and with a Vendor-Id.
const HEADER_BYTES: usize = 8;
const VENDOR_HEADER_BYTES: usize = 12;

/// Bytes of a truncated AVP's data that its Failed-AVP repeats.
const MAX_FAILED_DATA_BYTES: usize = 64;

/// One AVP as it was received or is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Avp {
    /// AVP code.
    pub code: u32,
    /// AVP flags as received; writing sets the V flag by `vendor`.
    pub flags: u8,
    /// Vendor-Id of a vendor-specific AVP.
    pub vendor: Option<u32>,
    /// The data without padding. Of a received AVP it shares the message's buffer.
    pub data: Bytes,
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

    /// The same AVP without any flags: receivers that do not know it ignore it.
    pub fn optional(mut self) -> Avp {
        self.flags = 0;
        self
    }

    /// A mandatory AVP of kind Unsigned32.
    pub fn of_u32(code: u32, value: u32) -> Avp {
        Avp::new(code, value.to_be_bytes().to_vec())
    }

    /// A mandatory AVP of kind Unsigned64.
    pub fn of_u64(code: u32, value: u64) -> Avp {
        Avp::new(code, value.to_be_bytes().to_vec())
    }

    /// A mandatory AVP of kind UTF8String.
    pub fn of_text(code: u32, text: &str) -> Avp {
        Avp::new(code, text.as_bytes().to_vec())
    }

    /// A mandatory AVP of kind Grouped that contains `avps`.
    pub fn of_group(code: u32, avps: &[Avp]) -> Avp {
        let mut data = Vec::new();
        avps.iter().for_each(|avp| avp.write(&mut data));
        Avp::new(code, data)
    }

    /// The data as Unsigned32.
    ///
    /// # Errors
    /// `INVALID_AVP_LENGTH` if the data is not of 4 bytes.
    pub fn u32(&self) -> Result<u32, Fault> {
        let bytes = self.data[..]
            .try_into()
            .map_err(|_| Fault::in_avp(result::INVALID_AVP_LENGTH, self))?;
        Ok(u32::from_be_bytes(bytes))
    }

    /// The data as Unsigned64.
    ///
    /// # Errors
    /// `INVALID_AVP_LENGTH` if the data is not of 8 bytes.
    pub fn u64(&self) -> Result<u64, Fault> {
        let bytes = self.data[..]
            .try_into()
            .map_err(|_| Fault::in_avp(result::INVALID_AVP_LENGTH, self))?;
        Ok(u64::from_be_bytes(bytes))
    }

    /// The data as text.
    ///
    /// # Errors
    /// `INVALID_AVP_VALUE` if the data is not UTF-8.
    pub fn text(&self) -> Result<&str, Fault> {
        std::str::from_utf8(&self.data).map_err(|_| Fault::in_avp(result::INVALID_AVP_VALUE, self))
    }

    /// The AVPs of a group.
    ///
    /// # Errors
    /// What is wrong with the first member that cannot be read, or that does not fit into the group.
    pub fn group(&self) -> Result<Vec<Avp>, Fault> {
        read_all(self.data.clone())
    }

    /// Whether this is the base protocol's AVP with that code, not one of a vendor.
    pub(crate) fn is(&self, code: u32) -> bool {
        self.code == code && self.vendor.is_none()
    }

    pub(super) fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.code.to_be_bytes());
        let (header_bytes, flags) = if self.vendor.is_some() {
            (VENDOR_HEADER_BYTES, self.flags | VENDOR_SPECIFIC)
        } else {
            (HEADER_BYTES, self.flags & !VENDOR_SPECIFIC)
        };
        out.push(flags);
        let length = (header_bytes + self.data.len()) as u32;
        out.extend(&length.to_be_bytes()[1..]);
        out.extend(self.vendor.map(u32::to_be_bytes).into_iter().flatten());
        out.extend(&self.data[..]);
        out.resize(out.len().next_multiple_of(4), 0);
    }
}

/// The first AVP with that code and without a vendor.
pub fn find(avps: &[Avp], code: u32) -> Option<&Avp> {
    avps.iter().find(|avp| avp.is(code))
}

/// Reads a sequence of AVPs that fills `bytes` exactly.
pub(super) fn read_all(mut bytes: Bytes) -> Result<Vec<Avp>, Fault> {
    let mut avps = Vec::new();
    while !bytes.is_empty() {
        avps.push(read_next(&mut bytes)?);
    }
    Ok(avps)
}

/// Takes the first AVP and its padding off `bytes`.
fn read_next(bytes: &mut Bytes) -> Result<Avp, Fault> {
    if bytes.len() < HEADER_BYTES {
        return Err(truncated(0, 0, bytes));
    }
    let code = u32_at(bytes, 0);
    let flags = bytes[4];
    let length = u24_at(bytes, 5) as usize;
    let has_vendor = flags & VENDOR_SPECIFIC != 0;
    let header_bytes = if has_vendor {
        VENDOR_HEADER_BYTES
    } else {
        HEADER_BYTES
    };
    let padded_length = length.next_multiple_of(4);
    if length < header_bytes || padded_length > bytes.len() {
        let rest = bytes.slice(HEADER_BYTES..);
        return Err(truncated(code, flags & !VENDOR_SPECIFIC, &rest));
    }
    let avp = Avp {
        code,
        flags,
        vendor: has_vendor.then(|| u32_at(bytes, HEADER_BYTES)),
        data: bytes.slice(header_bytes..length),
    };
    if flags & RESERVED != 0 {
        return Err(Fault::in_avp(result::INVALID_AVP_BITS, &avp));
    }
    bytes.advance(padded_length);
    Ok(avp)
}

/// The fault of an AVP whose length does not fit. Its Failed-AVP has what is left of the data, with a correct length
/// (RFC 6733 section 7.1.5).
fn truncated(code: u32, flags: u8, rest: &Bytes) -> Fault {
    let avp = Avp {
        code,
        flags,
        vendor: None,
        data: rest.slice(..rest.len().min(MAX_FAILED_DATA_BYTES)),
    };
    Fault::in_avp(result::INVALID_AVP_LENGTH, &avp)
}
