//! Interpretation of an instance's SRV, TXT and address records.

use super::wire::Name;
use frosthatch_engine::Protocol;
use std::fmt;
use std::net::IpAddr;

/// Maximum length of a TXT key's value.
const MAX_VALUE_BYTES: usize = 64;
/// The TXT keys that the gateway uses; others are ignored.
const KNOWN_KEYS: [&str; 5] = ["zone", "cell", "state", "boot", "proto"];

/// Location of an instance, from its SRV record (RFC 2782).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceLocation {
    /// Instances with the lowest priority value are used first.
    pub priority: u16,
    /// Relative share of the load among instances with the same priority.
    pub weight: u16,
    /// The port that the instance listens on; 0 is not usable.
    pub port: u16,
    /// Name of the host; empty (the root): the record states that the service is not available.
    pub target: Name,
}

impl ServiceLocation {
    /// Returns whether the record states that the service is not available (RFC 2782: the target is the root).
    pub fn is_unavailable(&self) -> bool {
        self.target.is_empty()
    }
}

/// Attributes of an instance, from its TXT record (RFC 6763 section 6).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceAttributes {
    /// Availability zone; empty: unknown.
    pub zone: String,
    /// Number of the instance's cell.
    pub cell: u64,
    /// Whether the instance takes no new requests.
    pub is_draining: bool,
    /// When the instance started, as Unix time in milliseconds.
    pub boot_ms: Option<u64>,
    /// The protocol that the instance serves.
    pub protocol: Protocol,
}

/// Error for a TXT key with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttributeError {
    /// The key, in lower case.
    pub key: String,
    /// The value; empty if it is not UTF-8.
    pub value: String,
    /// Description of the valid values.
    pub expected: &'static str,
}

impl fmt::Display for AttributeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttributeError {
            key,
            value,
            expected,
        } = self;
        write!(f, "TXT key {key} has value {value:?}, expected {expected}")
    }
}

impl std::error::Error for AttributeError {}

impl InstanceAttributes {
    /// Parses the strings of a TXT record. Unknown keys are skipped; if a key occurs more than once, its first value
    /// is used (RFC 6763 section 6.4).
    ///
    /// # Errors
    /// Returns the first key with an invalid value.
    pub fn parse(strings: &[Vec<u8>]) -> Result<InstanceAttributes, AttributeError> {
        let mut attributes = InstanceAttributes::default();
        let mut seen_keys = Vec::new();
        for string in strings {
            let mut parts = string.splitn(2, |&b| b == b'=');
            let key = parts.next().unwrap_or_default();
            let key = String::from_utf8_lossy(key).to_ascii_lowercase();
            if !KNOWN_KEYS.contains(&key.as_str()) || seen_keys.contains(&key) {
                continue;
            }
            let value = parts.next().unwrap_or_default();
            attributes.set(&key, value)?;
            seen_keys.push(key);
        }
        Ok(attributes)
    }

    /// Sets the attribute of a key in [`KNOWN_KEYS`].
    fn set(&mut self, key: &str, value: &[u8]) -> Result<(), AttributeError> {
        let is_plain = value.len() <= MAX_VALUE_BYTES && value.iter().all(u8::is_ascii_graphic);
        let value = std::str::from_utf8(value).unwrap_or_default();
        let invalid = |expected: &'static str| AttributeError {
            key: key.into(),
            value: value.into(),
            expected,
        };
        if !is_plain || value.is_empty() {
            return Err(invalid("1 to 64 visible ASCII characters"));
        }
        match key {
            "zone" => self.zone = value.into(),
            "cell" => self.cell = value.parse().map_err(|_| invalid("a whole number"))?,
            "state" => match value {
                "ready" => {}
                "draining" => self.is_draining = true,
                _ => return Err(invalid("ready or draining")),
            },
            "boot" => {
                let boot_ms = value.parse();
                self.boot_ms = Some(boot_ms.map_err(|_| invalid("a Unix time in milliseconds"))?);
            }
            _ => {
                let protocol = Protocol::from_name(value);
                self.protocol = protocol.ok_or_else(|| invalid("http/1.1 or diameter"))?;
            }
        }
        Ok(())
    }
}

/// Selects an instance's SRV record: the lowest priority value (RFC 2782), then the highest weight, then the smallest
/// port and target, so that every gateway selects the same record.
pub fn preferred_location(mut locations: Vec<ServiceLocation>) -> Option<ServiceLocation> {
    locations.sort_by(|a, b| (a.priority, b.weight, a).cmp(&(b.priority, a.weight, b)));
    locations.into_iter().next()
}

/// Returns the lowest usable address, which is the same on every gateway.
pub fn preferred_address(addresses: &[IpAddr]) -> Option<IpAddr> {
    addresses
        .iter()
        .filter(|address| !address.is_unspecified() && !address.is_multicast())
        .min()
        .copied()
}

#[cfg(test)]
mod tests;
