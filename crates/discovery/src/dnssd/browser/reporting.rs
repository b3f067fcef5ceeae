//! Reports of changes: the endpoint of each instance as the gateway uses it, and which endpoints have to be reported.

use super::cache::Instance;
use super::events::Output;
use super::ranking::InstanceRank;
use super::state::{Browser, COMPLETION_TIMEOUT_US};
use crate::dnssd::instance_records::{InstanceAttributes, ServiceLocation};
use crate::dnssd::wire::{split_first_label, Name};
use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_traffic_control::ListKind;
use std::net::SocketAddr;

/// SRV weight that corresponds to an endpoint's weight of 1.
const SRV_WEIGHT_UNIT: f64 = 100.0;
/// RFC 2782: beside others, a weight of 0 has a very small chance of being selected.
const ZERO_SRV_WEIGHT: f64 = 0.01;

impl Browser {
    /// Reports the endpoints that differ from the last report; the first time, all of them once they are complete.
    pub(super) fn report_changes(&mut self, now_us: u64, out: &mut Vec<Output>) {
        let Some(first_list_at_us) = self.first_list_at_us else {
            return;
        };
        let mut changed = std::mem::take(&mut self.changed);
        for name in &changed {
            self.update_rank(now_us, name);
            if self.is_settled(now_us, name) {
                self.incomplete.remove(name);
            }
        }
        let is_complete =
            self.incomplete.is_empty() || now_us >= first_list_at_us + COMPLETION_TIMEOUT_US;
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
            // An incomplete instance is marked as changed again by its records or by its deadline.
            let Some(endpoint) = self.endpoint(now_us, &name) else {
                continue;
            };
            if self.reported.get(&name) != Some(&endpoint) {
                endpoints.push(endpoint.clone());
                self.reported.insert(name, endpoint);
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

    /// Whether nothing more is awaited of an instance.
    fn is_settled(&self, now_us: u64, name: &Name) -> bool {
        let is_unusable = self
            .instances
            .get(name)
            .is_none_or(|instance| instance.has_invalid_text);
        is_unusable || self.endpoint(now_us, name).is_some()
    }

    /// Counts an instance among those that are ready, or takes it out.
    pub(super) fn update_rank(&mut self, now_us: u64, name: &Name) {
        let instance = self.instances.get(name).filter(|instance| {
            instance.is_present()
                && !instance.is_draining_by_attributes()
                && self.socket_address(now_us, instance).is_some()
        });
        let location = instance.and_then(|instance| instance.location.value.as_ref());
        self.ranking.update(name, location.map(InstanceRank::from));
    }

    /// Where the instance is reached; `None` while not all that this takes is known.
    fn socket_address(&self, now_us: u64, instance: &Instance) -> Option<SocketAddr> {
        let location = instance.location.value.as_ref()?;
        let is_overdue = now_us >= instance.first_seen_us + COMPLETION_TIMEOUT_US;
        let is_described =
            instance.attributes.value.is_some() || is_overdue && !instance.has_invalid_text;
        if !is_described || location.port == 0 {
            return None;
        }
        let address = self.hosts.get(&location.target)?.address()?;
        Some(SocketAddr::new(address, location.port))
    }

    /// The instance as an endpoint of the gateway; `None` while too little of it is known.
    fn endpoint(&self, now_us: u64, name: &Name) -> Option<Endpoint> {
        let instance = self.instances.get(name)?;
        let uid = split_first_label(name)?.0;
        if !instance.is_present() {
            return self.reported.get(name).map(draining);
        }
        match self.socket_address(now_us, instance) {
            Some(address) => self.resolved_endpoint(now_us, uid, instance, address),
            None => self.unresolved_endpoint(now_us, uid, name, instance),
        }
    }

    /// An instance without an address: as last reported, or for some time as known from before browsing began.
    fn unresolved_endpoint(
        &self,
        now_us: u64,
        uid: &str,
        name: &Name,
        instance: &Instance,
    ) -> Option<Endpoint> {
        let location = instance.location.value.as_ref();
        if let Some(reported) = self.reported.get(name) {
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

    fn endpoint_weight(&self, location: &ServiceLocation) -> f64 {
        match location.weight {
            0 if !self.reported_ranks.has_weights => 1.0,
            0 => ZERO_SRV_WEIGHT,
            weight => f64::from(weight) / SRV_WEIGHT_UNIT,
        }
    }

    /// When the instance started, as Unix time in milliseconds; 0: long ago. Decides whether it is warming up.
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
            // Instances that were there when this gateway started are not warming up.
            let previous = self.previous_endpoint(uid, instance);
            return previous.map_or(0, |endpoint| endpoint.started_ms);
        }
        instance.first_seen_us / 1_000
    }

    /// The endpoint of an initial instance as known before browsing began.
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
