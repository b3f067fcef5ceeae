//! Reads AVPs and their data (RFC 6733 section 4).

use super::avp::{Avp, AVP_HEADER_BYTES, VENDOR_AVP_HEADER_BYTES, VENDOR_SPECIFIC};
use super::big_endian::{u24_at, u32_at};
use super::fault::Fault;
use crate::dictionary::result;
use bytes::{Buf, Bytes};

/// AVP flags without a meaning; they have to be zero.
const RESERVED: u8 = 0x1f;

/// Bytes of a truncated AVP's data that its Failed-AVP repeats.
const MAX_FAILED_DATA_BYTES: usize = 64;

impl Avp {
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
    if bytes.len() < AVP_HEADER_BYTES {
        return Err(truncated(0, 0, bytes));
    }
    let code = u32_at(bytes, 0);
    let flags = bytes[4];
    let length = u24_at(bytes, 5) as usize;
    let has_vendor = flags & VENDOR_SPECIFIC != 0;
    let header_bytes = if has_vendor {
        VENDOR_AVP_HEADER_BYTES
    } else {
        AVP_HEADER_BYTES
    };
    let padded_length = length.next_multiple_of(4);
    if length < header_bytes || padded_length > bytes.len() {
        let rest = bytes.slice(AVP_HEADER_BYTES..);
        return Err(truncated(code, flags & !VENDOR_SPECIFIC, &rest));
    }
    let avp = Avp {
        code,
        flags,
        vendor: has_vendor.then(|| u32_at(bytes, AVP_HEADER_BYTES)),
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
