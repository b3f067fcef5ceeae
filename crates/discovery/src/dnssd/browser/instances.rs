//! Lifecycle of a service instance: it is added, drains after its PTR record is removed, and is then forgotten.

use super::cache::Instance;
use super::events::Output;
use super::state::{Browser, COMPLETION_TIMEOUT_US};
use crate::dnssd::wire::{split_first_label, Name};
use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_traffic_control::ListKind;

impl Browser {
    /// Adds an instance as new, also one that is draining and whose PTR record is back. Ignores instances outside
    /// `config.base` or beyond `max_instances`.
    pub(super) fn add_instance(
        &mut self,
        now_us: u64,
        name: &Name,
        is_initial: bool,
        out: &mut Vec<Output>,
    ) {
        if split_first_label(name).is_none_or(|(_, base)| base != &*self.config.base) {
            let line = "dns-sd: ignoring instances of another service or domain";
            self.log_limiter.log_once(now_us, line, out);
            return;
        }
        let forget_at_us = self.instances.get(name).and_then(|i| i.forget_at_us);
        if let Some(at_us) = forget_at_us {
            self.forget_deadlines.remove(&(at_us, name.clone()));
        } else if self.instances.len() >= self.config.max_instances as usize {
            let line = "dns-sd: number of instances exceeds most_instances; ignoring the rest";
            self.log_limiter.log_once(now_us, line, out);
            return;
        }
        let instance = Instance {
            first_seen_us: now_us,
            is_initial,
            ..Instance::default()
        };
        let previous = self.instances.remove(name);
        let previous_location = previous.and_then(|instance| instance.location.value);
        self.unlink_host(previous_location.map(|location| location.target), name);
        self.instances.insert(name.clone(), instance);
        self.removals.missing_since_us.remove(name);
        self.incomplete_instances.insert(name.clone());
        self.completion_deadlines
            .insert((now_us + COMPLETION_TIMEOUT_US, name.clone()));
        self.step_push_session(now_us, out, |session, events| {
            session.subscribe(now_us, name, events);
        });
    }

    /// Stops new requests to an instance. Requests in flight may finish until the instance is forgotten, `drain_time`
    /// later.
    pub(super) fn drain_instance(&mut self, now_us: u64, name: &Name) {
        let forget_at_us = now_us + self.config.drain_time.as_micros() as u64;
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        if !instance.is_present() {
            return;
        }
        instance.forget_at_us = Some(forget_at_us);
        self.forget_deadlines.insert((forget_at_us, name.clone()));
        self.removals.missing_since_us.remove(name);
        self.changed_instances.insert(name.clone());
    }

    /// Removes an instance and reports its endpoint as gone.
    pub(super) fn forget_instance(&mut self, name: &Name, out: &mut Vec<Output>) {
        if let Some(instance) = self.instances.remove(name) {
            let target = instance.location.value.map(|location| location.target);
            self.unlink_host(target, name);
        }
        self.update_rank(0, name);
        self.changed_instances.remove(name);
        self.incomplete_instances.remove(name);
        if let Some(endpoint) = self.reported_endpoints.remove(name) {
            let gone = Endpoint {
                state: EndpointState::Gone,
                ..endpoint
            };
            out.push(Output::UpdateEndpoints {
                kind: ListKind::Partial,
                endpoints: vec![gone],
            });
        }
    }
}
