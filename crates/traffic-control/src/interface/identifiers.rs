//! Identifiers of requests, servers and customers.

use std::fmt;
use std::sync::Arc;

/// A request's identifier; a retry by the client has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A server's address, the same at every gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

/// A customer's name: its text is its identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub Arc<str>);

/// A customer's number, as the clients of a gateway write it. Each protocol has several forms of one number; all of them
/// are one [`CustomerId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerNumber(u64);

impl CustomerNumber {
    /// Number of hexadecimal digits of a customer's number.
    const HEX_DIGITS: usize = 16;
    /// Exclusive upper bound of customers' numbers.
    const END: u64 = 1 << 33;

    /// Returns the customer with this number; `None` if the number is too large.
    pub fn new(number: u64) -> Option<Self> {
        (number < Self::END).then_some(CustomerNumber(number))
    }

    /// Parses a number of 16 hexadecimal digits, in small letters or capitals.
    pub fn from_hex(text: &str) -> Option<Self> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex || text.len() != Self::HEX_DIGITS {
            return None;
        }
        Self::new(u64::from_str_radix(text, 16).ok()?)
    }

    /// Parses a number of decimal digits.
    pub fn from_decimal(text: &str) -> Option<Self> {
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
        if !is_decimal {
            return None;
        }
        Self::new(text.parse().ok()?)
    }

    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CustomerNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0width$x}", self.0, width = Self::HEX_DIGITS)
    }
}

impl From<CustomerNumber> for CustomerId {
    fn from(number: CustomerNumber) -> Self {
        CustomerId(number.to_string().into())
    }
}
