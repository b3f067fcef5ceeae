//! Reads the number of units that a request asks for (RFC 8506 sections 8.16 and 8.18).

use crate::codec::{find, Avp, Fault, Message};
use crate::dictionary::{code, result};

/// Exclusive upper bound of an amount of money in whole currency units. Below it, an `f64` is precise to a fraction of the
/// currency unit (0.125 or better).
const MONEY_LIMIT: f64 = 1e15;
/// Maximum absolute value of an Exponent, the power of ten that an amount of money is scaled by. Exponents beyond it are
/// clamped.
const MAX_ABS_EXPONENT: i32 = 18;

/// Returns the sum of the units requested by the request and all its services, in service-specific units or whole
/// currency units, or `None` if no units are requested.
///
/// # Errors
/// Returns the fault of the first AVP that cannot be decoded.
pub(super) fn requested_units(ccr: &Message) -> Result<Option<f64>, Fault> {
    let mut sum = None;
    add_units(&ccr.avps, &mut sum)?;
    let services = ccr
        .avps
        .iter()
        .filter(|avp| avp.code == code::MULTIPLE_SERVICES_CREDIT_CONTROL);
    for service in services {
        add_units(&service.group()?, &mut sum)?;
    }
    Ok(sum)
}

/// Adds the units of every Requested-Service-Unit in `avps` to `sum`.
fn add_units(avps: &[Avp], sum: &mut Option<f64>) -> Result<(), Fault> {
    let requested = avps
        .iter()
        .filter(|avp| avp.is_ietf_avp(code::REQUESTED_SERVICE_UNIT));
    for avp in requested {
        *sum = Some(sum.unwrap_or(0.0) + service_units(&avp.group()?)?);
    }
    Ok(())
}

/// Returns the units of one Requested-Service-Unit.
fn service_units(group: &[Avp]) -> Result<f64, Fault> {
    if let Some(units) = find(group, code::CC_SERVICE_SPECIFIC_UNITS) {
        Ok(units.u64()? as f64)
    } else if let Some(money) = find(group, code::CC_MONEY) {
        money_amount(money)
    } else {
        // Without a number, the server decides how many units it grants (RFC 8506 section 8.18). The gateway counts the
        // request as 1 unit.
        Ok(1.0)
    }
}

/// Returns an amount of money in whole currency units.
fn money_amount(money: &Avp) -> Result<f64, Fault> {
    let group = money.group()?;
    let value = find(&group, code::UNIT_VALUE)
        .ok_or_else(|| Fault::missing_avp(code::UNIT_VALUE))?
        .group()?;
    let digits = find(&value, code::VALUE_DIGITS)
        .ok_or_else(|| Fault::missing_avp(code::VALUE_DIGITS))?
        .u64()?;
    let exponent = find(&value, code::EXPONENT).map_or(Ok(0), Avp::u32)? as i32;
    let scale = 10f64.powi(exponent.clamp(-MAX_ABS_EXPONENT, MAX_ABS_EXPONENT));
    let amount = digits as i64 as f64 * scale;
    if !(0.0..MONEY_LIMIT).contains(&amount) {
        return Err(Fault::in_avp(result::INVALID_AVP_VALUE, money));
    }
    Ok(amount)
}
