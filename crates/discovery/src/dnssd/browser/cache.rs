//! What is known of instances and of the hosts they run on.

use crate::dnssd::instance_records::{preferred_address, InstanceAttributes, ServiceLocation};
use crate::dnssd::wire::Name;
use std::collections::BTreeSet;
use std::net::IpAddr;

/// A value from a record, with the time of the last query or reply that it depends on.
pub(super) struct Cached<T> {
    pub(super) value: Option<T>,
    /// When it was last received or queried; 0: never.
    pub(super) refreshed_at_us: u64,
}

impl<T> Default for Cached<T> {
    fn default() -> Self {
        Cached {
            value: None,
            refreshed_at_us: 0,
        }
    }
}

/// One instance of the service.
#[derive(Default)]
pub(super) struct Instance {
    pub(super) first_seen_us: u64,
    /// Whether it was part of the first list.
    pub(super) is_initial: bool,
    pub(super) location: Cached<ServiceLocation>,
    pub(super) attributes: Cached<InstanceAttributes>,
    /// Whether its current TXT record is invalid; this has been logged.
    pub(super) has_invalid_text: bool,
    /// Set once its PTR record is gone: when it is forgotten. Until then its requests may finish.
    pub(super) forget_at_us: Option<u64>,
    /// When push last reported it as added or removed.
    pub(super) pushed_at_us: u64,
}

impl Instance {
    /// Whether its PTR record exists as far as is known.
    pub(super) fn is_present(&self) -> bool {
        self.forget_at_us.is_none()
    }

    pub(super) fn is_draining_by_attributes(&self) -> bool {
        self.attributes
            .value
            .as_ref()
            .is_some_and(|attributes| attributes.is_draining)
    }
}

/// A host that SRV records point at.
#[derive(Default)]
pub(super) struct Host {
    pub(super) ipv4: Vec<IpAddr>,
    pub(super) ipv6: Vec<IpAddr>,
    /// When its addresses were last received or queried; 0: never.
    pub(super) refreshed_at_us: u64,
    /// Instances whose SRV record points here.
    pub(super) instances: BTreeSet<Name>,
}

impl Host {
    /// The address that is used: IPv4 before IPv6.
    pub(super) fn address(&self) -> Option<IpAddr> {
        preferred_address(&self.ipv4).or(preferred_address(&self.ipv6))
    }

    pub(super) fn has_addresses(&self) -> bool {
        !self.ipv4.is_empty() || !self.ipv6.is_empty()
    }
}
