//! Validates AVPs against the dictionary (RFC 6733 section 4.1): known AVPs have data in their data format, and every
//! mandatory AVP is known.

use super::avp::{Avp, MANDATORY};
use super::fault::Fault;
use crate::dictionary::{self, code, result, DataFormat};

/// Maximum nesting depth of grouped AVPs. Bounds the recursion on network input.
const MAX_GROUP_DEPTH: usize = 8;

/// Checks `avps`, which are nested in `depth` grouped AVPs, and their members recursively.
pub(super) fn validate(avps: &[Avp], depth: usize) -> Result<(), Fault> {
    for avp in avps {
        if let Some(format) = known_format(avp) {
            validate_data(avp, format, depth)?;
        } else if avp.flags & MANDATORY != 0 {
            return Err(Fault::in_avp(result::AVP_UNSUPPORTED, avp));
        }
    }
    Ok(())
}

/// Returns the data format of a known AVP. Vendor-specific AVPs are unknown, as the dictionary contains none.
fn known_format(avp: &Avp) -> Option<DataFormat> {
    if avp.vendor.is_none() {
        dictionary::data_format(avp.code)
    } else {
        None
    }
}

fn validate_data(avp: &Avp, format: DataFormat, depth: usize) -> Result<(), Fault> {
    if !is_length_valid(format, avp.data.len()) {
        return Err(Fault::in_avp(result::INVALID_AVP_LENGTH, avp));
    }
    match format {
        DataFormat::Utf8String => avp.text().map(|_| ()),
        // The members of a Failed-AVP are not validated, because it contains an invalid AVP by definition.
        DataFormat::Grouped if avp.code != code::FAILED_AVP => validate_group(avp, depth),
        _ => Ok(()),
    }
}

fn is_length_valid(format: DataFormat, length: usize) -> bool {
    match format {
        DataFormat::Integer32 | DataFormat::Unsigned32 | DataFormat::Time => length == 4,
        DataFormat::Integer64 | DataFormat::Unsigned64 => length == 8,
        DataFormat::Address => length >= 2,
        DataFormat::OctetString | DataFormat::Utf8String | DataFormat::Grouped => true,
    }
}

fn validate_group(avp: &Avp, depth: usize) -> Result<(), Fault> {
    if depth >= MAX_GROUP_DEPTH {
        return Err(Fault::in_avp(result::INVALID_AVP_VALUE, avp));
    }
    // If the members do not fill the group exactly, the fault names the group and not the member.
    let members = avp
        .group()
        .map_err(|_| Fault::in_avp(result::INVALID_AVP_LENGTH, avp))?;
    validate(&members, depth + 1)
}
