//! What the records of one instance mean for the gateway.

use super::wire::Name;
use frosthatch_engine::Protocol;
use std::net::IpAddr;

/// Longest value of a text key.
const VALUE_BYTES: usize = 64;

/// Where an instance is, by its SRV record (RFC 2782).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    pub priority: u16,
    pub weight: u16,
    pub port: u16,
    /// Empty: the service is decidedly not available there.
    pub target: Name,
}

/// What its TXT record says (RFC 6763 section 6).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text {
    pub zone: String,
    pub cell: u64,
    pub draining: bool,
    /// Unix time in milliseconds.
    pub boot_ms: Option<u64>,
    pub protocol: Protocol,
}

impl Text {
    /// Unknown keys are skipped, of a key that stands there twice the first counts (RFC 6763 section 6.4).
    /// # Errors
    /// Which key is wrong, and what would be right.
    pub fn read(strings: &[Vec<u8>]) -> Result<Text, String> {
        let mut text = Text::default();
        let mut seen = Vec::new();
        for string in strings {
            let mut parts = string.splitn(2, |&b| b == b'=');
            let key =
                String::from_utf8_lossy(parts.next().unwrap_or_default()).to_ascii_lowercase();
            if !["zone", "cell", "state", "boot", "proto"].contains(&key.as_str())
                || seen.contains(&key)
            {
                continue;
            }
            let value = parts.next().unwrap_or_default();
            let plain = value.len() <= VALUE_BYTES && value.iter().all(u8::is_ascii_graphic);
            let value = std::str::from_utf8(value).unwrap_or_default();
            let wrong = |right: &str| Err(format!("TXT key {key} is {value:?}, not {right}"));
            match key.as_str() {
                _ if !plain || value.is_empty() => {
                    return wrong("up to 64 visible ASCII characters")
                }
                "zone" => text.zone = value.into(),
                "cell" => match value.parse() {
                    Ok(cell) => text.cell = cell,
                    Err(_) => return wrong("a whole number"),
                },
                "state" => match value {
                    "ready" => {}
                    "draining" => text.draining = true,
                    _ => return wrong("ready or draining"),
                },
                "boot" => match value.parse() {
                    Ok(ms) => text.boot_ms = Some(ms),
                    Err(_) => return wrong("a Unix time in milliseconds"),
                },
                _ => match Protocol::named(value) {
                    Some(protocol) => text.protocol = protocol,
                    None => return wrong("http/1.1 or diameter"),
                },
            }
            seen.push(key);
        }
        Ok(text)
    }
}

/// Of several SRV records of one instance the one that RFC 2782 would try first, and always the same.
pub fn first_choice(mut locations: Vec<Location>) -> Option<Location> {
    locations.sort_by(|a, b| (a.priority, b.weight, a).cmp(&(b.priority, a.weight, b)));
    locations.into_iter().next()
}

/// An instance's address: IPv4 before IPv6, of several the lowest, so that every gateway takes the same.
pub fn address(addresses: &[IpAddr]) -> Option<IpAddr> {
    let fine = |a: &&IpAddr| !a.is_unspecified() && !a.is_multicast();
    addresses.iter().filter(fine).min().copied()
}

#[cfg(test)]
mod tests;
