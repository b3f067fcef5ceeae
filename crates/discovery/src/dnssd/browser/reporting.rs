//! Endpoint reports: converts each instance to the endpoint that the gateway uses, and reports the endpoints that
//! changed.

use super::cache::Instance;
use super::events::Output;
use super::ranking::InstanceRank;
use super::state::{Browser, COMPLETION_TIMEOUT_US};
use crate::dnssd::instance_records::{InstanceAttributes, ServiceLocation};
use crate::dnssd::wire::{split_first_label, Name};
use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_traffic_control::ListKind;
use std::net::SocketAddr;

/// The SRV weight that corresponds to an endpoint weight of 1.
const SRV_WEIGHT_UNIT: f64 = 100.0;
/// Endpoint weight for SRV weight 0 if any ready instance has an SRV weight above 0 (RFC 2782: a very small chance of
/// being selected).
const ZERO_SRV_WEIGHT: f64 = 0.01;

impl Browser {
    /// Reports the endpoints that differ from the last report. The first report holds the complete list; it waits
    /// until the records of all instances are known or [`COMPLETION_TIMEOUT_US`] has passed.
    pub(super) fn report_changes(&mut self, now_us: u64, out: &mut Vec<Output>) {
        let Some(first_list_at_us) = self.first_list_at_us else {
            return;
        };
        let mut changed = std::mem::take(&mut self.changed_instances);
        for name in &changed {
            self.update_rank(now_us, name);
            if self.is_settled(now_us, name) {
                self.incomplete_instances.remove(name);
            }
        }
        let is_complete = self.incomplete_instances.is_empty()
            || now_us >= first_list_at_us + COMPLETION_TIMEOUT_US;
        if !self.has_reported && !is_complete {
            return;
        }
        let ranks = self.ranking.summary();
        if !self.has_reported || ranks != self.reported_ranks {
            self.reported_ranks = ranks;
            changed = self.instances.keys().cloned().collect();
        }
        let mut endpoints = Vec::new();
        for name in changed {
            // An incomplete instance is marked as changed again when its records arrive or its deadline passes.
            let Some(endpoint) = self.endpoint(now_us, &name) else {
                continue;
            };
            if self.reported_endpoints.get(&name) != Some(&endpoint) {
                endpoints.push(endpoint.clone());
                self.reported_endpoints.insert(name, endpoint);
            }
        }
        let kind = if std::mem::replace(&mut self.has_reported, true) {
            ListKind::Partial
        } else {
            ListKind::Complete
        };
        if kind == ListKind::Complete || !endpoints.is_empty() {
            out.push(Output::UpdateEndpoints { kind, endpoints });
        }
    }

    /// Returns whether no further record of an instance is awaited.
    fn is_settled(&self, now_us: u64, name: &Name) -> bool {
        let is_unusable = self
            .instances
            .get(name)
            .is_none_or(|instance| instance.has_invalid_txt);
        is_unusable || self.endpoint(now_us, name).is_some()
    }

    /// Updates the ranking's entry for an instance. An instance counts as ready while it is present, not marked as
    /// draining in its TXT record, and has a known address.
    pub(super) fn update_rank(&mut self, now_us: u64, name: &Name) {
        let instance = self.instances.get(name).filter(|instance| {
            instance.is_present()
                && !instance.is_draining_by_attributes()
                && self.socket_address(now_us, instance).is_some()
        });
        let location = instance.and_then(|instance| instance.location.value.as_ref());
        self.ranking.update(name, location.map(InstanceRank::from));
    }

    /// Returns the address and port of an instance; `None` while a required record is missing.
    fn socket_address(&self, now_us: u64, instance: &Instance) -> Option<SocketAddr> {
        let location = instance.location.value.as_ref()?;
        let is_overdue = now_us >= instance.first_seen_us + COMPLETION_TIMEOUT_US;
        let is_described =
            instance.attributes.value.is_some() || is_overdue && !instance.has_invalid_txt;
        if !is_described || location.port == 0 {
            return None;
        }
        let address = self.hosts.get(&location.target)?.address()?;
        Some(SocketAddr::new(address, location.port))
    }

    /// Returns the endpoint of an instance; `None` while too few of its records are known.
    fn endpoint(&self, now_us: u64, name: &Name) -> Option<Endpoint> {
        let instance = self.instances.get(name)?;
        let uid = split_first_label(name)?.0;
        if !instance.is_present() {
            return self.reported_endpoints.get(name).map(draining);
        }
        match self.socket_address(now_us, instance) {
            Some(address) => self.resolved_endpoint(now_us, uid, instance, address),
            None => self.unresolved_endpoint(now_us, uid, name, instance),
        }
    }

    /// Returns the endpoint of an instance whose address is unknown: the last reported endpoint, as draining if the
    /// SRV record states that the service is not available. If no endpoint was reported: `None` until
    /// [`COMPLETION_TIMEOUT_US`] after the first list, then the endpoint known before browsing began.
    fn unresolved_endpoint(
        &self,
        now_us: u64,
        uid: &str,
        name: &Name,
        instance: &Instance,
    ) -> Option<Endpoint> {
        let location = instance.location.value.as_ref();
        if let Some(reported) = self.reported_endpoints.get(name) {
            return if location.is_some_and(ServiceLocation::is_unavailable) {
                Some(draining(reported))
            } else {
                Some(reported.clone())
            };
        }
        let is_overdue = self
            .first_list_at_us
            .is_some_and(|at_us| now_us >= at_us + COMPLETION_TIMEOUT_US);
        if is_overdue {
            self.previous_endpoint(uid, instance).cloned()
        } else {
            None
        }
    }

    /// Returns the endpoint of an instance whose address is known.
    fn resolved_endpoint(
        &self,
        now_us: u64,
        uid: &str,
        instance: &Instance,
        address: SocketAddr,
    ) -> Option<Endpoint> {
        let location = instance.location.value.as_ref()?;
        let attributes = instance.attributes.value.clone().unwrap_or_default();
        let is_standby = self
            .reported_ranks
            .serving_priority
            .is_some_and(|serving| location.priority > serving);
        let state = if attributes.is_draining || is_standby {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        };
        Some(Endpoint {
            uid: uid.into(),
            address,
            state,
            weight: self.endpoint_weight(location),
            started_ms: self.started_ms(now_us, uid, instance, &attributes),
            zone: attributes.zone,
            cell: attributes.cell,
            protocol: attributes.protocol,
        })
    }

    /// Converts an SRV weight to an endpoint weight.
    fn endpoint_weight(&self, location: &ServiceLocation) -> f64 {
        match location.weight {
            0 if !self.reported_ranks.has_weights => 1.0,
            0 => ZERO_SRV_WEIGHT,
            weight => f64::from(weight) / SRV_WEIGHT_UNIT,
        }
    }

    /// Returns when the instance started, as Unix time in milliseconds, which decides whether its endpoint warms up;
    /// 0: long ago.
    fn started_ms(
        &self,
        now_us: u64,
        uid: &str,
        instance: &Instance,
        attributes: &InstanceAttributes,
    ) -> u64 {
        if let Some(boot_ms) = attributes.boot_ms {
            return boot_ms.min(now_us / 1_000);
        }
        if instance.is_initial {
            // Instances that existed when this gateway started are not warming up.
            let previous = self.previous_endpoint(uid, instance);
            return previous.map_or(0, |endpoint| endpoint.started_ms);
        }
        instance.first_seen_us / 1_000
    }

    /// Returns the endpoint of an initial instance as it was known before browsing began.
    fn previous_endpoint(&self, uid: &str, instance: &Instance) -> Option<&Endpoint> {
        self.previous_endpoints
            .get(uid)
            .filter(|_| instance.is_initial)
    }
}

fn draining(endpoint: &Endpoint) -> Endpoint {
    Endpoint {
        state: EndpointState::Draining,
        ..endpoint.clone()
    }
}
