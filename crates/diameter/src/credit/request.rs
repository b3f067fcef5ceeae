//! Validates Credit-Control-Requests and extracts their fields.

use super::mapping::CreditControlConfig;
use super::units::requested_units;
use crate::codec::{find, Avp, Fault, Message};
use crate::dictionary::{application, code, result};
use frosthatch_traffic_control::CustomerNumber;

/// Maximum length of a Session-Id or Origin-Host. Limits the memory of stored sessions and request keys.
const MAX_IDENTIFIER_BYTES: usize = 256;

/// Subscription-Id-Type of a telephone number (RFC 8506 section 8.47).
const END_USER_E164: u32 = 0;
/// Subscription-Id-Type of a private identifier (RFC 8506 section 8.47).
const END_USER_PRIVATE: u32 = 4;

// Values of Requested-Action (RFC 8506 section 8.41).
const DIRECT_DEBITING: u32 = 0;
const REFUND_ACCOUNT: u32 = 1;
const CHECK_BALANCE: u32 = 2;
const PRICE_ENQUIRY: u32 = 3;

/// Identifies a request and its duplicates by Origin-Host and End-to-End Identifier (RFC 6733 section 3).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    /// Origin-Host of the client in lower case.
    pub host: String,
    /// End-to-End Identifier that the client assigned.
    pub end_to_end: u32,
}

impl RequestKey {
    /// Reads the key of a request.
    ///
    /// # Errors
    /// Returns a fault if the Origin-Host is missing or invalid.
    pub(super) fn read(ccr: &Message) -> Result<RequestKey, Fault> {
        let host = required_avp(ccr, code::ORIGIN_HOST)?;
        Ok(RequestKey {
            host: bounded_text(host)?.to_ascii_lowercase(),
            end_to_end: ccr.header.end_to_end,
        })
    }
}

/// Values of CC-Request-Type (RFC 8506 section 8.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestType {
    /// The request opens a session.
    Initial,
    /// The request belongs to an open session.
    Update,
    /// The request ends a session.
    Termination,
    /// The request belongs to no session.
    Event,
}

impl RequestType {
    /// Returns the request type with this CC-Request-Type value.
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
        let avp = required_avp(ccr, code::CC_REQUEST_TYPE)?;
        RequestType::from_code(avp.u32()?)
            .ok_or_else(|| Fault::in_avp(result::INVALID_AVP_VALUE, avp))
    }
}

/// The fields of a valid request, before its session is looked up.
pub(super) struct CcrFields<'a> {
    pub(super) session_id: &'a str,
    pub(super) request_type: RequestType,
    /// The gateway's class for the request.
    pub(super) class: String,
    /// Number of requested units.
    pub(super) units: f64,
    /// Customer number, if the request has a Subscription-Id.
    pub(super) customer_number: Option<CustomerNumber>,
}

impl CcrFields<'_> {
    /// Validates a request and reads its fields.
    ///
    /// # Errors
    /// Returns the fault of the first AVP that is missing or invalid.
    pub(super) fn read<'a>(
        ccr: &'a Message,
        mapping: &CreditControlConfig,
    ) -> Result<CcrFields<'a>, Fault> {
        let session_id = bounded_text(required_avp(ccr, code::SESSION_ID)?)?;
        required_avp(ccr, code::ORIGIN_REALM)?;
        required_avp(ccr, code::DESTINATION_REALM)?;
        required_avp(ccr, code::SERVICE_CONTEXT_ID)?;
        let application_id = required_avp(ccr, code::AUTH_APPLICATION_ID)?;
        if application_id.u32()? != application::CREDIT_CONTROL {
            return Err(Fault::in_avp(result::INVALID_AVP_VALUE, application_id));
        }
        required_avp(ccr, code::CC_REQUEST_NUMBER)?.u32()?;
        let request_type = RequestType::read(ccr)?;
        let class = match request_type {
            RequestType::Event => event_class(ccr, mapping)?,
            _ => mapping.charge_class.clone(),
        };
        Ok(CcrFields {
            session_id,
            request_type,
            class,
            units: read_units(ccr, request_type, mapping.max_units)?,
            customer_number: customer_number(ccr)?,
        })
    }
}

/// Returns the class of an event, according to its Requested-Action.
fn event_class(ccr: &Message, mapping: &CreditControlConfig) -> Result<String, Fault> {
    let action = required_avp(ccr, code::REQUESTED_ACTION)?;
    match action.u32()? {
        DIRECT_DEBITING | REFUND_ACCOUNT => Ok(mapping.charge_class.clone()),
        CHECK_BALANCE | PRICE_ENQUIRY => Ok(mapping.check_class.clone()),
        _ => Err(Fault::in_avp(result::INVALID_AVP_VALUE, action)),
    }
}

/// Returns the requested units, which default to 1 for an event and 0 for a session request.
fn read_units(ccr: &Message, request_type: RequestType, max_units: f64) -> Result<f64, Fault> {
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

/// Reads the customer number from the first Subscription-Id that contains one (RFC 8506 section 8.46).
fn customer_number(ccr: &Message) -> Result<Option<CustomerNumber>, Fault> {
    let mut fault = None;
    let subscriptions = ccr
        .avps
        .iter()
        .filter(|avp| avp.is_ietf_avp(code::SUBSCRIPTION_ID));
    for avp in subscriptions {
        let number = subscription_number(avp)?;
        if number.is_some() {
            return Ok(number);
        }
        fault = Some(Fault::in_avp(result::INVALID_AVP_VALUE, avp));
    }
    fault.map_or(Ok(None), Err)
}

/// Reads the customer number from a Subscription-Id: an `END_USER_E164` in decimal digits, or an `END_USER_PRIVATE` of 16
/// hexadecimal digits, the format of customer keys over HTTP.
fn subscription_number(subscription: &Avp) -> Result<Option<CustomerNumber>, Fault> {
    let group = subscription.group()?;
    let member = |code| find(&group, code).ok_or_else(|| Fault::missing_avp(code));
    let id_type = member(code::SUBSCRIPTION_ID_TYPE)?.u32()?;
    let data = member(code::SUBSCRIPTION_ID_DATA)?.text()?;
    Ok(match id_type {
        END_USER_E164 => CustomerNumber::from_decimal(data),
        END_USER_PRIVATE => CustomerNumber::from_hex(data),
        _ => None,
    })
}

/// Returns the AVP with this code.
///
/// # Errors
/// Returns `MISSING_AVP` if the request does not contain the AVP.
fn required_avp(ccr: &Message, code: u32) -> Result<&Avp, Fault> {
    ccr.find(code).ok_or_else(|| Fault::missing_avp(code))
}

/// Returns the text of an AVP, which must not be empty and must be at most [`MAX_IDENTIFIER_BYTES`] long.
fn bounded_text(avp: &Avp) -> Result<&str, Fault> {
    let text = avp.text()?;
    if text.is_empty() || text.len() > MAX_IDENTIFIER_BYTES {
        return Err(Fault::in_avp(result::INVALID_AVP_VALUE, avp));
    }
    Ok(text)
}
