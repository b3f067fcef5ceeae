//! Resolution of instances: stores the SRV, TXT and address records of known instances and hosts. Records of other
//! names are ignored.

use super::state::Browser;
use crate::dnssd::instance_records::{preferred_location, InstanceAttributes, ServiceLocation};
use crate::dnssd::wire::{Name, Record, RecordData};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// The addresses of one host in one reply.
#[derive(Default)]
struct HostAddresses {
    ipv4: Vec<IpAddr>,
    ipv6: Vec<IpAddr>,
}

impl Browser {
    /// Stores the SRV, TXT and address records among `records`, and refreshes each instance whose location changed.
    pub(super) fn store_records(&mut self, now_us: u64, records: Vec<Record>) {
        let mut locations: BTreeMap<Name, Vec<ServiceLocation>> = BTreeMap::new();
        let mut addresses: BTreeMap<Name, HostAddresses> = BTreeMap::new();
        for Record { owner, data, .. } in records {
            match data {
                RecordData::Srv {
                    priority,
                    weight,
                    port,
                    target,
                } => {
                    locations.entry(owner).or_default().push(ServiceLocation {
                        priority,
                        weight,
                        port,
                        target,
                    });
                }
                RecordData::Txt(strings) => self.store_txt(now_us, &owner, &strings),
                RecordData::A(address) => {
                    let host = addresses.entry(owner).or_default();
                    host.ipv4.push(address.into());
                }
                RecordData::Aaaa(address) => {
                    let host = addresses.entry(owner).or_default();
                    host.ipv6.push(address.into());
                }
                _ => {}
            }
        }
        let mut relocated = Vec::new();
        for (name, candidates) in locations {
            if self.store_location(now_us, &name, preferred_location(candidates)) {
                relocated.push(name);
            }
        }
        for (name, received) in addresses {
            self.store_addresses(now_us, &name, received);
        }
        for name in &relocated {
            self.refresh_instance(now_us, name);
        }
    }

    /// Stores an instance's location and returns whether it changed.
    fn store_location(
        &mut self,
        now_us: u64,
        name: &Name,
        location: Option<ServiceLocation>,
    ) -> bool {
        let Some(instance) = self.instances.get_mut(name) else {
            return false;
        };
        instance.location.refreshed_at_us = now_us;
        if instance.location.value == location {
            return false;
        }
        let target = location.as_ref().map(|location| location.target.clone());
        let previous = std::mem::replace(&mut instance.location.value, location);
        let previous_target = previous.map(|location| location.target);
        if previous_target != target {
            self.unlink_host(previous_target, name);
            if let Some(target) = target.filter(|target| !target.is_empty()) {
                let host = self.hosts.entry(target).or_default();
                host.instances.insert(name.clone());
            }
        }
        self.changed_instances.insert(name.clone());
        true
    }

    fn store_addresses(&mut self, now_us: u64, name: &Name, received: HostAddresses) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.refreshed_at_us = now_us;
        let previous_address = host.address();
        if !received.ipv4.is_empty() {
            host.ipv4 = received.ipv4;
        }
        if !received.ipv6.is_empty() {
            host.ipv6 = received.ipv6;
        }
        if previous_address != host.address() {
            self.changed_instances
                .extend(host.instances.iter().cloned());
        }
    }

    fn store_txt(&mut self, now_us: u64, name: &Name, strings: &[Vec<u8>]) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        instance.attributes.refreshed_at_us = now_us;
        match InstanceAttributes::parse(strings) {
            Ok(attributes) => {
                instance.has_invalid_txt = false;
                if instance.attributes.value.as_ref() != Some(&attributes) {
                    instance.attributes.value = Some(attributes);
                    self.changed_instances.insert(name.clone());
                }
            }
            // The last valid record stays in use; an instance without one is not reported.
            Err(error) => {
                if !std::mem::replace(&mut instance.has_invalid_txt, true) {
                    self.changed_instances.insert(name.clone());
                    self.log_limiter.defer(format!(
                        "dns-sd: instance {name}: {error}; ignoring its TXT record"
                    ));
                }
            }
        }
    }

    /// Removes an instance from its host's set, and removes the host once it has no instances.
    pub(super) fn unlink_host(&mut self, target: Option<Name>, instance: &Name) {
        let Some(target) = target else { return };
        if let Some(host) = self.hosts.get_mut(&target) {
            host.instances.remove(instance);
            if host.instances.is_empty() {
                self.hosts.remove(&target);
            }
        }
    }
}
