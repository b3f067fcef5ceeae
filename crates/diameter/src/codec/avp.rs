//! Attribute-value pairs (RFC 6733 section 4), and how they are written.

use bytes::Bytes;

/// The AVP flag V: a Vendor-Id follows the length.
pub(super) const VENDOR_SPECIFIC: u8 = 0x80;
/// The AVP flag M: the receiver has to reject the message if it does not know the AVP.
pub(super) const MANDATORY: u8 = 0x40;
/// Lengths of an AVP's header without and with a Vendor-Id.
pub(super) const AVP_HEADER_BYTES: usize = 8;
pub(super) const VENDOR_AVP_HEADER_BYTES: usize = 12;

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

    /// Whether this is the base protocol's AVP with that code, not one of a vendor.
    pub(crate) fn is(&self, code: u32) -> bool {
        self.code == code && self.vendor.is_none()
    }

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

/// The first AVP with that code and without a vendor.
pub fn find(avps: &[Avp], code: u32) -> Option<&Avp> {
    avps.iter().find(|avp| avp.is(code))
}
