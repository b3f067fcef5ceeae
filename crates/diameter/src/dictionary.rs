//! Dictionary of the AVPs, commands, applications and result codes that the gateway knows (RFC 6733 section 4.5, RFC 8506
//! section 8, RFC 7683 section 7).

use DataFormat::{
    Address, Grouped, Integer32, Integer64, OctetString, Time, Unsigned32, Unsigned64, Utf8String,
};

/// Data format of an AVP (RFC 6733 sections 4.2 and 4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataFormat {
    /// Arbitrary bytes.
    OctetString,
    /// 4 bytes, signed.
    Integer32,
    /// 8 bytes, signed.
    Integer64,
    /// 4 bytes, unsigned. Also used for Enumerated AVPs.
    Unsigned32,
    /// 8 bytes, unsigned.
    Unsigned64,
    /// UTF-8 text. Also used for DiameterIdentity and DiameterURI.
    Utf8String,
    /// 2 bytes of address family, followed by the address.
    Address,
    /// 4 bytes, seconds since 1900.
    Time,
    /// A sequence of AVPs.
    Grouped,
}

/// Dictionary entry of an AVP without a Vendor-Id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AvpDefinition {
    /// AVP code.
    pub code: u32,
    /// Name from the RFCs, in upper case with underscores.
    pub name: &'static str,
    /// Data format.
    pub data_format: DataFormat,
}

macro_rules! dictionary {
    ($($name:ident = $code:literal $data_format:ident,)*) => {
        /// Codes of the known AVPs, under their names from the RFCs.
        pub mod code {
            $(#[allow(missing_docs)] pub const $name: u32 = $code;)*
        }
        /// Definitions of the known AVPs.
        pub const AVPS: &[AvpDefinition] = &[$(AvpDefinition {
            code: $code,
            name: stringify!($name),
            data_format: $data_format,
        },)*];
    };
}

dictionary! {
    USER_NAME = 1 Utf8String,
    CLASS = 25 OctetString,
    SESSION_TIMEOUT = 27 Unsigned32,
    PROXY_STATE = 33 OctetString,
    ACCT_SESSION_ID = 44 OctetString,
    EVENT_TIMESTAMP = 55 Time,
    ACCT_MULTI_SESSION_ID = 50 Utf8String,
    HOST_IP_ADDRESS = 257 Address,
    AUTH_APPLICATION_ID = 258 Unsigned32,
    ACCT_APPLICATION_ID = 259 Unsigned32,
    VENDOR_SPECIFIC_APPLICATION_ID = 260 Grouped,
    REDIRECT_HOST_USAGE = 261 Unsigned32,
    REDIRECT_MAX_CACHE_TIME = 262 Unsigned32,
    SESSION_ID = 263 Utf8String,
    ORIGIN_HOST = 264 Utf8String,
    SUPPORTED_VENDOR_ID = 265 Unsigned32,
    VENDOR_ID = 266 Unsigned32,
    FIRMWARE_REVISION = 267 Unsigned32,
    RESULT_CODE = 268 Unsigned32,
    PRODUCT_NAME = 269 Utf8String,
    DISCONNECT_CAUSE = 273 Unsigned32,
    ORIGIN_STATE_ID = 278 Unsigned32,
    FAILED_AVP = 279 Grouped,
    PROXY_HOST = 280 Utf8String,
    ERROR_MESSAGE = 281 Utf8String,
    ROUTE_RECORD = 282 Utf8String,
    DESTINATION_REALM = 283 Utf8String,
    PROXY_INFO = 284 Grouped,
    REDIRECT_HOST = 292 Utf8String,
    DESTINATION_HOST = 293 Utf8String,
    ERROR_REPORTING_HOST = 294 Utf8String,
    TERMINATION_CAUSE = 295 Unsigned32,
    ORIGIN_REALM = 296 Utf8String,
    EXPERIMENTAL_RESULT = 297 Grouped,
    EXPERIMENTAL_RESULT_CODE = 298 Unsigned32,
    INBAND_SECURITY_ID = 299 Unsigned32,
    CC_CORRELATION_ID = 411 OctetString,
    CC_INPUT_OCTETS = 412 Unsigned64,
    CC_MONEY = 413 Grouped,
    CC_OUTPUT_OCTETS = 414 Unsigned64,
    CC_REQUEST_NUMBER = 415 Unsigned32,
    CC_REQUEST_TYPE = 416 Unsigned32,
    CC_SERVICE_SPECIFIC_UNITS = 417 Unsigned64,
    CC_SESSION_FAILOVER = 418 Unsigned32,
    CC_SUB_SESSION_ID = 419 Unsigned64,
    CC_TIME = 420 Unsigned32,
    CC_TOTAL_OCTETS = 421 Unsigned64,
    CHECK_BALANCE_RESULT = 422 Unsigned32,
    COST_INFORMATION = 423 Grouped,
    COST_UNIT = 424 Utf8String,
    CURRENCY_CODE = 425 Unsigned32,
    CREDIT_CONTROL = 426 Unsigned32,
    CREDIT_CONTROL_FAILURE_HANDLING = 427 Unsigned32,
    DIRECT_DEBITING_FAILURE_HANDLING = 428 Unsigned32,
    EXPONENT = 429 Integer32,
    FINAL_UNIT_INDICATION = 430 Grouped,
    GRANTED_SERVICE_UNIT = 431 Grouped,
    RATING_GROUP = 432 Unsigned32,
    REDIRECT_ADDRESS_TYPE = 433 Unsigned32,
    REDIRECT_SERVER = 434 Grouped,
    REDIRECT_SERVER_ADDRESS = 435 Utf8String,
    REQUESTED_ACTION = 436 Unsigned32,
    REQUESTED_SERVICE_UNIT = 437 Grouped,
    RESTRICTION_FILTER_RULE = 438 OctetString,
    SERVICE_IDENTIFIER = 439 Unsigned32,
    SERVICE_PARAMETER_INFO = 440 Grouped,
    SERVICE_PARAMETER_TYPE = 441 Unsigned32,
    SERVICE_PARAMETER_VALUE = 442 OctetString,
    SUBSCRIPTION_ID = 443 Grouped,
    SUBSCRIPTION_ID_DATA = 444 Utf8String,
    UNIT_VALUE = 445 Grouped,
    USED_SERVICE_UNIT = 446 Grouped,
    VALUE_DIGITS = 447 Integer64,
    VALIDITY_TIME = 448 Unsigned32,
    FINAL_UNIT_ACTION = 449 Unsigned32,
    SUBSCRIPTION_ID_TYPE = 450 Unsigned32,
    TARIFF_TIME_CHANGE = 451 Time,
    TARIFF_CHANGE_USAGE = 452 Unsigned32,
    G_S_U_POOL_IDENTIFIER = 453 Unsigned32,
    CC_UNIT_TYPE = 454 Unsigned32,
    MULTIPLE_SERVICES_INDICATOR = 455 Unsigned32,
    MULTIPLE_SERVICES_CREDIT_CONTROL = 456 Grouped,
    G_S_U_POOL_REFERENCE = 457 Grouped,
    USER_EQUIPMENT_INFO = 458 Grouped,
    USER_EQUIPMENT_INFO_TYPE = 459 Unsigned32,
    USER_EQUIPMENT_INFO_VALUE = 460 OctetString,
    SERVICE_CONTEXT_ID = 461 Utf8String,
    OC_SUPPORTED_FEATURES = 621 Grouped,
    OC_FEATURE_VECTOR = 622 Unsigned64,
    OC_OLR = 623 Grouped,
    OC_SEQUENCE_NUMBER = 624 Unsigned64,
    OC_VALIDITY_DURATION = 625 Unsigned32,
    OC_REPORT_TYPE = 626 Unsigned32,
    OC_REDUCTION_PERCENTAGE = 627 Unsigned32,
    USER_EQUIPMENT_INFO_EXTENSION = 653 Grouped,
    SUBSCRIPTION_ID_EXTENSION = 659 Grouped,
    REDIRECT_SERVER_EXTENSION = 665 Grouped,
}

/// Returns the data format of the AVP without a Vendor-Id that has this code, or `None` if the AVP is not known.
pub fn data_format(code: u32) -> Option<DataFormat> {
    AVPS.iter()
        .find(|definition| definition.code == code)
        .map(|definition| definition.data_format)
}

/// Command codes (RFC 6733 section 3.1, RFC 8506 section 3).
pub mod command {
    /// Capabilities-Exchange.
    pub const CAPABILITIES_EXCHANGE: u32 = 257;
    /// Credit-Control.
    pub const CREDIT_CONTROL: u32 = 272;
    /// Device-Watchdog.
    pub const DEVICE_WATCHDOG: u32 = 280;
    /// Disconnect-Peer.
    pub const DISCONNECT_PEER: u32 = 282;
}

/// Application-Ids.
pub mod application {
    /// Messages of the base protocol.
    pub const COMMON: u32 = 0;
    /// Credit control (RFC 8506 section 1.3).
    pub const CREDIT_CONTROL: u32 = 4;
    /// All applications, as advertised by a relay (RFC 6733 section 2.4).
    pub const RELAY: u32 = 0xFFFF_FFFF;
}

/// Result codes (RFC 6733 section 7.1, RFC 8506 section 9).
pub mod result {
    /// The request was completed.
    pub const SUCCESS: u32 = 2001;
    /// The command code is not known.
    pub const COMMAND_UNSUPPORTED: u32 = 3001;
    /// The request could not be delivered to its destination.
    pub const UNABLE_TO_DELIVER: u32 = 3002;
    /// The receiver is overloaded and did not execute the request; another peer may be tried.
    pub const TOO_BUSY: u32 = 3004;
    /// A Route-Record names the receiver.
    pub const LOOP_DETECTED: u32 = 3005;
    /// The application is not known.
    pub const APPLICATION_UNSUPPORTED: u32 = 3007;
    /// The command flags have an invalid combination.
    pub const INVALID_HDR_BITS: u32 = 3008;
    /// Reserved AVP flags are set.
    pub const INVALID_AVP_BITS: u32 = 3009;
    /// The sender of a CER is not a known peer.
    pub const UNKNOWN_PEER: u32 = 3010;
    /// The customer's account does not cover the service.
    pub const CREDIT_LIMIT_REACHED: u32 = 4012;
    /// A mandatory AVP is not known.
    pub const AVP_UNSUPPORTED: u32 = 5001;
    /// The session is not known.
    pub const UNKNOWN_SESSION_ID: u32 = 5002;
    /// An AVP has an invalid value.
    pub const INVALID_AVP_VALUE: u32 = 5004;
    /// A required AVP is missing.
    pub const MISSING_AVP: u32 = 5005;
    /// An AVP occurs more often than allowed.
    pub const AVP_OCCURS_TOO_MANY_TIMES: u32 = 5009;
    /// The peers have no application in common.
    pub const NO_COMMON_APPLICATION: u32 = 5010;
    /// The protocol version is not 1.
    pub const UNSUPPORTED_VERSION: u32 = 5011;
    /// The request failed for a reason that no other code covers.
    pub const UNABLE_TO_COMPLY: u32 = 5012;
    /// An AVP has an invalid length.
    pub const INVALID_AVP_LENGTH: u32 = 5014;
    /// The message has an invalid length.
    pub const INVALID_MESSAGE_LENGTH: u32 = 5015;
    /// The customer is not known.
    pub const USER_UNKNOWN: u32 = 5030;
}
