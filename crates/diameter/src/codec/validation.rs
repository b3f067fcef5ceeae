//! Checks of AVPs against the dictionary (RFC 6733 section 4.1): known kinds have data of their kind, and every mandatory
//! AVP is known.

use super::avp::{Avp, MANDATORY};
use super::fault::Fault;
use crate::dictionary::{self, code, result, Kind};

/// Levels of grouped AVPs inside each other. Bounds the recursion on input from the network.
const MAX_GROUP_DEPTH: usize = 8;

/// Checks `avps`, which are at `depth` levels of grouping, and everything inside of them.
pub(super) fn validate(avps: &[Avp], depth: usize) -> Result<(), Fault> {
    for avp in avps {
        if let Some(kind) = known_kind(avp) {
            validate_data(avp, kind, depth)?;
        } else if avp.flags & MANDATORY != 0 {
            return Err(Fault::in_avp(result::AVP_UNSUPPORTED, avp));
        }
    }
    Ok(())
}

/// `None` for vendor-specific AVPs as well: the dictionary has none.
fn known_kind(avp: &Avp) -> Option<Kind> {
    if avp.vendor.is_none() {
        dictionary::kind(avp.code)
    } else {
        None
    }
}

fn validate_data(avp: &Avp, kind: Kind, depth: usize) -> Result<(), Fault> {
    if !is_length_valid(kind, avp.data.len()) {
        return Err(Fault::in_avp(result::INVALID_AVP_LENGTH, avp));
    }
    match kind {
        Kind::Utf8String => avp.text().map(|_| ()),
        // Failed-AVP contains an invalid AVP by definition.
        Kind::Grouped if avp.code != code::FAILED_AVP => validate_group(avp, depth),
        _ => Ok(()),
    }
}

fn is_length_valid(kind: Kind, length: usize) -> bool {
    match kind {
        Kind::Integer32 | Kind::Unsigned32 | Kind::Time => length == 4,
        Kind::Integer64 | Kind::Unsigned64 => length == 8,
        Kind::Address => length >= 2,
        Kind::OctetString | Kind::Utf8String | Kind::Grouped => true,
    }
}

fn validate_group(avp: &Avp, depth: usize) -> Result<(), Fault> {
    if depth >= MAX_GROUP_DEPTH {
        return Err(Fault::in_avp(result::INVALID_AVP_VALUE, avp));
    }
    // Members that do not fill the group exactly are a fault of the group, whichever member it is.
    let members = avp
        .group()
        .map_err(|_| Fault::in_avp(result::INVALID_AVP_LENGTH, avp))?;
    validate(&members, depth + 1)
}
