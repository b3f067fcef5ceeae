//! Decodes AVPs and their data (RFC 6733 section 4).

use super::avp::{Avp, AVP_HEADER_BYTES, VENDOR_AVP_HEADER_BYTES, VENDOR_SPECIFIC};
use super::big_endian::{u24_at, u32_at};
use super::fault::Fault;
use crate::dictionary::result;
use bytes::{Buf, Bytes};

/// Reserved AVP flags, which must be zero.
const RESERVED_AVP_FLAGS: u8 = 0x1f;

/// Maximum number of data bytes of a truncated AVP that the Failed-AVP repeats.
const MAX_FAILED_AVP_DATA_BYTES: usize = 64;

impl Avp {
    /// Decodes the data as Unsigned32.
    ///
    /// # Errors
    /// Returns `INVALID_AVP_LENGTH` if the data is not 4 bytes long.
    pub fn u32(&self) -> Result<u32, Fault> {
        let bytes = self.data[..]
            .try_into()
            .map_err(|_| Fault::in_avp(result::INVALID_AVP_LENGTH, self))?;
        Ok(u32::from_be_bytes(bytes))
    }

    /// Decodes the data as Unsigned64.
    ///
    /// # Errors
    /// Returns `INVALID_AVP_LENGTH` if the data is not 8 bytes long.
    pub fn u64(&self) -> Result<u64, Fault> {
        let bytes = self.data[..]
            .try_into()
            .map_err(|_| Fault::in_avp(result::INVALID_AVP_LENGTH, self))?;
        Ok(u64::from_be_bytes(bytes))
    }

    /// Decodes the data as text.
    ///
    /// # Errors
    /// Returns `INVALID_AVP_VALUE` if the data is not UTF-8.
    pub fn text(&self) -> Result<&str, Fault> {
        std::str::from_utf8(&self.data).map_err(|_| Fault::in_avp(result::INVALID_AVP_VALUE, self))
    }

    /// Decodes the members of a grouped AVP.
    ///
    /// # Errors
    /// Returns the fault of the first member that cannot be decoded or that extends beyond the group.
    pub fn group(&self) -> Result<Vec<Avp>, Fault> {
        decode_all(self.data.clone())
    }
}

/// Decodes a sequence of AVPs that fills `bytes` exactly.
pub(super) fn decode_all(mut bytes: Bytes) -> Result<Vec<Avp>, Fault> {
    let mut avps = Vec::new();
    while !bytes.is_empty() {
        avps.push(decode_next(&mut bytes)?);
    }
    Ok(avps)
}

/// Decodes the first AVP and removes it, with its padding, from `bytes`.
fn decode_next(bytes: &mut Bytes) -> Result<Avp, Fault> {
    if bytes.len() < AVP_HEADER_BYTES {
        return Err(truncated_avp_fault(0, 0, bytes));
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
        let remaining = bytes.slice(AVP_HEADER_BYTES..);
        return Err(truncated_avp_fault(
            code,
            flags & !VENDOR_SPECIFIC,
            &remaining,
        ));
    }
    let avp = Avp {
        code,
        flags,
        vendor: has_vendor.then(|| u32_at(bytes, AVP_HEADER_BYTES)),
        data: bytes.slice(header_bytes..length),
    };
    if flags & RESERVED_AVP_FLAGS != 0 {
        return Err(Fault::in_avp(result::INVALID_AVP_BITS, &avp));
    }
    bytes.advance(padded_length);
    Ok(avp)
}

/// Returns the fault of an AVP whose length is too short for its header or exceeds the remaining bytes. The Failed-AVP
/// contains the remaining data up to `MAX_FAILED_AVP_DATA_BYTES`, with a correct length (RFC 6733 section 7.1.5).
fn truncated_avp_fault(code: u32, flags: u8, remaining: &Bytes) -> Fault {
    let avp = Avp {
        code,
        flags,
        vendor: None,
        data: remaining.slice(..remaining.len().min(MAX_FAILED_AVP_DATA_BYTES)),
    };
    Fault::in_avp(result::INVALID_AVP_LENGTH, &avp)
}
