//! What the records of one instance mean for the gateway.

use super::wire::Name;
use frosthatch_engine::Protocol;
use std::fmt;
use std::net::IpAddr;

/// Longest value of a TXT key.
const MAX_VALUE_BYTES: usize = 64;
/// The TXT keys that are used; others are ignored.
const KNOWN_KEYS: [&str; 5] = ["zone", "cell", "state", "boot", "proto"];

/// Where an instance is, by its SRV record (RFC 2782).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceLocation {
    /// Instances of the lowest priority are used first.
    pub priority: u16,
    /// Share of the load among instances of the same priority.
    pub weight: u16,
    /// The port; 0 is not usable.
    pub port: u16,
    /// Name of the host. Empty: the service is decidedly not available there.
    pub target: Name,
}

impl ServiceLocation {
    /// Whether the record says that the service is not available (RFC 2782: the target is the root).
    pub fn is_unavailable(&self) -> bool {
        self.target.is_empty()
    }
}

/// The attributes of an instance, by its TXT record (RFC 6763 section 6).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceAttributes {
    /// Availability zone; empty: unknown.
    pub zone: String,
    /// Number of the cell.
    pub cell: u64,
    /// Whether the instance takes no new requests.
    pub is_draining: bool,
    /// When the instance started, as Unix time in milliseconds.
    pub boot_ms: Option<u64>,
    /// The protocol that it serves.
    pub protocol: Protocol,
}

/// A TXT key with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttributeError {
    /// The key, in lower case.
    pub key: String,
    /// The value; empty where it is not UTF-8.
    pub value: String,
    /// What would be valid.
    pub expected: &'static str,
}

impl fmt::Display for AttributeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttributeError {
            key,
            value,
            expected,
        } = self;
        write!(f, "TXT key {key} is {value:?}, not {expected}")
    }
}

impl std::error::Error for AttributeError {}

impl InstanceAttributes {
    /// Reads the strings of a TXT record. Unknown keys are skipped; of a key that occurs twice the first counts (RFC 6763
    /// section 6.4).
    ///
    /// # Errors
    /// The first key with an invalid value.
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

    /// Sets the attribute of a known key.
    fn set(&mut self, key: &str, value: &[u8]) -> Result<(), AttributeError> {
        let is_plain = value.len() <= MAX_VALUE_BYTES && value.iter().all(u8::is_ascii_graphic);
        let value = std::str::from_utf8(value).unwrap_or_default();
        let invalid = |expected: &'static str| AttributeError {
            key: key.into(),
            value: value.into(),
            expected,
        };
        if !is_plain || value.is_empty() {
            return Err(invalid("up to 64 visible ASCII characters"));
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

/// Of several SRV records of one instance the one that RFC 2782 would try first, the same on every gateway.
pub fn preferred_location(mut locations: Vec<ServiceLocation>) -> Option<ServiceLocation> {
    locations.sort_by(|a, b| (a.priority, b.weight, a).cmp(&(b.priority, a.weight, b)));
    locations.into_iter().next()
}

/// The lowest usable address, the same on every gateway.
pub fn preferred_address(addresses: &[IpAddr]) -> Option<IpAddr> {
    addresses
        .iter()
        .filter(|address| !address.is_unspecified() && !address.is_multicast())
        .min()
        .copied()
}

#[cfg(test)]
mod tests;
