//! Attribute-value pairs (RFC 6733 section 4) and their encoding.

use bytes::Bytes;

/// AVP flag V: a Vendor-Id follows the length field.
pub(super) const VENDOR_SPECIFIC: u8 = 0x80;
/// AVP flag M: a receiver that does not know the AVP has to reject the message.
pub(super) const MANDATORY: u8 = 0x40;
/// Length of an AVP header without a Vendor-Id.
pub(super) const AVP_HEADER_BYTES: usize = 8;
/// Length of an AVP header with a Vendor-Id.
pub(super) const VENDOR_AVP_HEADER_BYTES: usize = 12;

/// A received AVP, or one to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Avp {
    /// AVP code.
    pub code: u32,
    /// AVP flags as received. Encoding sets or clears the V flag according to `vendor`.
    pub flags: u8,
    /// Vendor-Id of a vendor-specific AVP, `None` for an AVP defined by the IETF.
    pub vendor: Option<u32>,
    /// Data without padding. In a received AVP it is a slice of the message's buffer.
    pub data: Bytes,
}

impl Avp {
    /// Creates a mandatory AVP without a Vendor-Id.
    pub fn new(code: u32, data: impl Into<Bytes>) -> Avp {
        Avp {
            code,
            flags: MANDATORY,
            vendor: None,
            data: data.into(),
        }
    }

    /// Clears all flags of the AVP, so that receivers that do not know it ignore it.
    pub fn optional(mut self) -> Avp {
        self.flags = 0;
        self
    }

    /// Creates a mandatory AVP with the data format Unsigned32.
    pub fn of_u32(code: u32, value: u32) -> Avp {
        Avp::new(code, value.to_be_bytes().to_vec())
    }

    /// Creates a mandatory AVP with the data format Unsigned64.
    pub fn of_u64(code: u32, value: u64) -> Avp {
        Avp::new(code, value.to_be_bytes().to_vec())
    }

    /// Creates a mandatory AVP with the data format UTF8String.
    pub fn of_text(code: u32, text: &str) -> Avp {
        Avp::new(code, text.as_bytes().to_vec())
    }

    /// Creates a mandatory AVP with the data format Grouped that contains `avps`.
    pub fn of_group(code: u32, avps: &[Avp]) -> Avp {
        let mut data = Vec::new();
        avps.iter().for_each(|avp| avp.write(&mut data));
        Avp::new(code, data)
    }

    /// Returns whether the AVP has this code and no Vendor-Id.
    pub(crate) fn is_ietf_avp(&self, code: u32) -> bool {
        self.code == code && self.vendor.is_none()
    }

    /// Appends the encoded AVP and its padding to `out`.
    pub(super) fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.code.to_be_bytes());
        let (header_bytes, flags) = if self.vendor.is_some() {
            (VENDOR_AVP_HEADER_BYTES, self.flags | VENDOR_SPECIFIC)
        } else {
            (AVP_HEADER_BYTES, self.flags & !VENDOR_SPECIFIC)
        };
        out.push(flags);
        let length = (header_bytes + self.data.len()) as u32;
        out.extend(&length.to_be_bytes()[1..]);
        out.extend(self.vendor.map(u32::to_be_bytes).into_iter().flatten());
        out.extend(&self.data[..]);
        out.resize(out.len().next_multiple_of(4), 0);
    }
}

/// Returns the first AVP that has this code and no Vendor-Id.
pub fn find(avps: &[Avp], code: u32) -> Option<&Avp> {
    avps.iter().find(|avp| avp.is_ietf_avp(code))
}
