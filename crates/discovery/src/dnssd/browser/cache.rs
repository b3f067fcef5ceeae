//! Cached data of service instances and of the hosts that they run on.

use crate::dnssd::instance_records::{preferred_address, InstanceAttributes, ServiceLocation};
use crate::dnssd::wire::Name;
use std::collections::BTreeSet;
use std::net::IpAddr;

/// A value from a DNS record, with the time at which the record was last received or a query for it was last queued.
pub(super) struct Cached<T> {
    pub(super) value: Option<T>,
    /// When the record was last received or a query for it was last queued; 0: never.
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

/// One instance of the browsed service.
#[derive(Default)]
pub(super) struct Instance {
    pub(super) first_seen_us: u64,
    /// Whether the instance was in the first accepted list, or was pushed before the first report.
    pub(super) is_initial: bool,
    pub(super) location: Cached<ServiceLocation>,
    pub(super) attributes: Cached<InstanceAttributes>,
    /// Whether the instance's current TXT record is invalid, which has been logged.
    pub(super) has_invalid_txt: bool,
    /// When the instance is forgotten; set once its PTR record is removed. Requests in flight may finish until then.
    pub(super) forget_at_us: Option<u64>,
    /// When the push server last reported the instance's PTR record as added or removed; 0: never.
    pub(super) pushed_at_us: u64,
}

impl Instance {
    /// Returns whether the instance's PTR record exists, as far as the browser knows.
    pub(super) fn is_present(&self) -> bool {
        self.forget_at_us.is_none()
    }

    /// Returns whether the instance's TXT record marks it as draining.
    pub(super) fn is_draining_by_attributes(&self) -> bool {
        self.attributes
            .value
            .as_ref()
            .is_some_and(|attributes| attributes.is_draining)
    }
}

/// A host that is the target of SRV records.
#[derive(Default)]
pub(super) struct Host {
    pub(super) ipv4: Vec<IpAddr>,
    pub(super) ipv6: Vec<IpAddr>,
    /// When the host's addresses were last received or a query for them was last queued; 0: never.
    pub(super) refreshed_at_us: u64,
    /// Instances whose SRV record has this host as its target.
    pub(super) instances: BTreeSet<Name>,
}

impl Host {
    /// Returns the address that the gateway uses, IPv4 before IPv6.
    pub(super) fn address(&self) -> Option<IpAddr> {
        preferred_address(&self.ipv4).or(preferred_address(&self.ipv6))
    }

    pub(super) fn has_addresses(&self) -> bool {
        !self.ipv4.is_empty() || !self.ipv6.is_empty()
    }
}
