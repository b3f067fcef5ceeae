//! Reads Credit-Control-Requests.

use super::mapping::Mapping;
use super::units::requested_units;
use crate::codec::{find, Avp, Fault, Message};
use crate::dictionary::{application, code, result};

/// Longest Session-Id or Origin-Host: they are stored.
const MAX_NAME_BYTES: usize = 256;
/// Customers' numbers are below this, as over HTTP.
const CUSTOMER_NUMBER_LIMIT: u64 = 1 << 33;

/// Values of Subscription-Id-Type (RFC 8506 section 8.47).
const END_USER_E164: u32 = 0;
const END_USER_PRIVATE: u32 = 4;
/// Digits of an `END_USER_PRIVATE`.
const PRIVATE_ID_DIGITS: usize = 16;

/// Values of Requested-Action (RFC 8506 section 8.41).
const DIRECT_DEBITING: u32 = 0;
const REFUND_ACCOUNT: u32 = 1;
const CHECK_BALANCE: u32 = 2;
const PRICE_ENQUIRY: u32 = 3;

/// Identifies a request and its duplicates (RFC 6733 section 3: Origin-Host and End-to-End Identifier).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    /// The client's Origin-Host in lower case.
    pub host: String,
    /// The client's End-to-End Identifier.
    pub end_to_end: u32,
}

impl RequestKey {
    /// # Errors
    /// The Origin-Host is missing or invalid.
    pub(super) fn read(ccr: &Message) -> Result<RequestKey, Fault> {
        let host = required(ccr, code::ORIGIN_HOST)?;
        Ok(RequestKey {
            host: name(host)?.to_ascii_lowercase(),
            end_to_end: ccr.header.end_to_end,
        })
    }
}

/// CC-Request-Type (RFC 8506 section 8.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestType {
    /// Opens a session.
    Initial,
    /// Within a session.
    Update,
    /// Ends a session.
    Termination,
    /// Without a session.
    Event,
}

impl RequestType {
    pub(super) fn from_code(code: u32) -> Option<RequestType> {
        match code {
            1 => Some(RequestType::Initial),
            2 => Some(RequestType::Update),
            3 => Some(RequestType::Termination),
            4 => Some(RequestType::Event),
            _ => None,
        }
    }

    fn read(ccr: &Message) -> Result<RequestType, Fault> {
        let avp = required(ccr, code::CC_REQUEST_TYPE)?;
        RequestType::from_code(avp.u32()?)
            .ok_or_else(|| Fault::in_avp(result::INVALID_AVP_VALUE, avp))
    }
}

/// A valid request, before its session is known.
pub(super) struct CcrFields<'a> {
    pub(super) session_id: &'a str,
    pub(super) request_type: RequestType,
    /// The request class of the gateway.
    pub(super) class: String,
    pub(super) units: f64,
    /// The customer's number, if the request has one.
    pub(super) customer_number: Option<u64>,
}

impl CcrFields<'_> {
    /// # Errors
    /// The first AVP that is missing or invalid.
    pub(super) fn read<'a>(ccr: &'a Message, mapping: &Mapping) -> Result<CcrFields<'a>, Fault> {
        let session_id = name(required(ccr, code::SESSION_ID)?)?;
        required(ccr, code::ORIGIN_REALM)?;
        required(ccr, code::DESTINATION_REALM)?;
        required(ccr, code::SERVICE_CONTEXT_ID)?;
        let application_id = required(ccr, code::AUTH_APPLICATION_ID)?;
        if application_id.u32()? != application::CREDIT_CONTROL {
            return Err(Fault::in_avp(result::INVALID_AVP_VALUE, application_id));
        }
        required(ccr, code::CC_REQUEST_NUMBER)?.u32()?;
        let request_type = RequestType::read(ccr)?;
        let class = match request_type {
            RequestType::Event => event_class(ccr, mapping)?,
            _ => mapping.charge_class.clone(),
        };
        Ok(CcrFields {
            session_id,
            request_type,
            class,
            units: units(ccr, request_type, mapping.max_units)?,
            customer_number: customer_number(ccr)?,
        })
    }
}

fn event_class(ccr: &Message, mapping: &Mapping) -> Result<String, Fault> {
    let action = required(ccr, code::REQUESTED_ACTION)?;
    match action.u32()? {
        DIRECT_DEBITING | REFUND_ACCOUNT => Ok(mapping.charge_class.clone()),
        CHECK_BALANCE | PRICE_ENQUIRY => Ok(mapping.check_class.clone()),
        _ => Err(Fault::in_avp(result::INVALID_AVP_VALUE, action)),
    }
}

fn units(ccr: &Message, request_type: RequestType, max_units: f64) -> Result<f64, Fault> {
    let default_units = if request_type == RequestType::Event {
        1.0
    } else {
        0.0
    };
    let units = requested_units(ccr)?.unwrap_or(default_units);
    if units > max_units {
        let avp = ccr
            .find(code::REQUESTED_SERVICE_UNIT)
            .or(ccr.find(code::MULTIPLE_SERVICES_CREDIT_CONTROL));
        return Err(Fault {
            result_code: result::INVALID_AVP_VALUE,
            failed_avp: avp.cloned(),
        });
    }
    Ok(units)
}

/// The customer's number, from the first Subscription-Id that has one (RFC 8506 section 8.46).
fn customer_number(ccr: &Message) -> Result<Option<u64>, Fault> {
    let mut fault = None;
    let subscriptions = ccr.avps.iter().filter(|avp| avp.is(code::SUBSCRIPTION_ID));
    for avp in subscriptions {
        let number = subscription_number(avp)?;
        if number.is_some() {
            return Ok(number);
        }
        fault = Some(Fault::in_avp(result::INVALID_AVP_VALUE, avp));
    }
    fault.map_or(Ok(None), Err)
}

/// `END_USER_E164` in decimal digits, or `END_USER_PRIVATE` as the 16 hexadecimal digits of the key over HTTP.
fn subscription_number(subscription: &Avp) -> Result<Option<u64>, Fault> {
    let group = subscription.group()?;
    let member = |code| find(&group, code).ok_or_else(|| Fault::missing_avp(code));
    let id_type = member(code::SUBSCRIPTION_ID_TYPE)?.u32()?;
    let data = member(code::SUBSCRIPTION_ID_DATA)?.text()?;
    let has_only_digits = |radix: u32| data.chars().all(|digit| digit.is_digit(radix));
    let number = match id_type {
        END_USER_E164 if has_only_digits(10) => data.parse().ok(),
        END_USER_PRIVATE if has_only_digits(16) && data.len() == PRIVATE_ID_DIGITS => {
            u64::from_str_radix(data, 16).ok()
        }
        _ => None,
    };
    Ok(number.filter(|&number| number < CUSTOMER_NUMBER_LIMIT))
}

fn required(ccr: &Message, code: u32) -> Result<&Avp, Fault> {
    ccr.find(code).ok_or_else(|| Fault::missing_avp(code))
}

/// A text that is neither empty nor too long to be stored.
fn name(avp: &Avp) -> Result<&str, Fault> {
    let text = avp.text()?;
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(Fault::in_avp(result::INVALID_AVP_VALUE, avp));
    }
    Ok(text)
}
