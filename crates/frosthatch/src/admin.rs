//! Implements the calls of the admin API and collects the metrics that it exposes.

use crate::hot_restart::transferred_mark;
use crate::membership::{fleet_status, ChoicesStatus};
use crate::policy::PolicyService;
use frosthatch_admin::{AdminBackend, ClassMetrics, Metrics};
use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_discovery::EndpointRegistry;
use frosthatch_engine::{Engine, Rule};
use frosthatch_handover::driver::{LocalEvent, LocalEventSender};
use frosthatch_http1::server::HttpServer;
use frosthatch_log::log_line;
use std::cell::Cell;
use std::rc::Rc;

/// Counters of reloads (SIGHUP) that were applied and that were rejected.
#[derive(Default)]
pub struct ReloadCounters {
    applied: Cell<u64>,
    rejected: Cell<u64>,
}

impl ReloadCounters {
    /// Counts one reload as applied or as rejected.
    pub fn record(&self, is_applied: bool) {
        let counter = if is_applied {
            &self.applied
        } else {
            &self.rejected
        };
        counter.set(counter.get() + 1);
    }
}

/// The parts of the gateway that the admin API reads and controls.
pub struct GatewayAdmin {
    /// The engine, with the request counters.
    pub engine: Rc<Engine>,
    /// The HTTP server that clients connect to.
    pub http_server: Rc<HttpServer>,
    /// The registry of endpoints and of the operators' marks on them.
    pub endpoints: Rc<EndpointRegistry>,
    /// Counters of reloads since the process started.
    pub reloads: Rc<ReloadCounters>,
    /// The handle of this process's cluster membership; `None` without a `[fleet]` or `[peers]` table.
    pub member: Option<Rc<MembershipHandle>>,
    /// The service that agrees on a policy with the other gateways; `None` without a `[policy]` table.
    pub policy: Option<Rc<PolicyService>>,
    /// The sender of events to the hot restart task; `None` where no process can replace this one.
    pub hot_restart: Option<LocalEventSender>,
}

impl GatewayAdmin {
    /// Sends the current mark of server `id` to the other process of a hot restart. Returns `is_known` (whether the
    /// server is listed) unchanged, so that callers can end with this call.
    fn forward_mark(&self, id: &str, is_known: bool) -> bool {
        if let (Some(sender), Some(mark)) = (&self.hot_restart, self.endpoints.mark(id)) {
            let event = LocalEvent::Marked(transferred_mark(id.into(), mark));
            if sender.try_send(event).is_err() {
                log_line!("upgrade: mark of server {id} could not be sent to the other process");
            }
        }
        is_known
    }
}

impl AdminBackend for GatewayAdmin {
    fn is_ready(&self) -> bool {
        self.http_server.is_ready()
    }

    fn collect_metrics(&self) -> Metrics {
        let classes = self.engine.counters().classes.iter();
        let classes = classes.map(|class| ClassMetrics {
            name: class.name.clone(),
            success: class.served.get(),
            busy: class.rejected.get(),
            failure: class.failed.get(),
            backend_calls: class.attempts.get(),
        });
        let (hosts_listed, not_ready) = self.endpoints.endpoint_counts();
        let violations = self.engine.violations();
        Metrics {
            classes: classes.collect(),
            inflight: self.engine.open_requests(),
            hosts_listed,
            hosts_down: not_ready + self.engine.avoided_endpoints(),
            reconfig_ok: self.reloads.applied.get(),
            reconfig_failed: self.reloads.rejected.get(),
            violations: Rule::ALL
                .map(|rule| (rule.name(), violations.count(rule)))
                .to_vec(),
        }
    }

    fn disable_server(&self, id: &str) -> bool {
        self.forward_mark(id, self.endpoints.take_out(id))
    }

    fn enable_server(&self, id: &str) -> bool {
        self.forward_mark(id, self.endpoints.put_back(id))
    }

    fn fleet_json(&self) -> Option<String> {
        let member = self.member.as_ref()?;
        let now_us = self.engine.now_us();
        let [gateways, servers_used, servers_out] = self.engine.subset_counts();
        let choices = ChoicesStatus {
            gateways,
            servers_used,
            servers_out,
        };
        let status = member.read(|cluster| fleet_status(cluster, choices, now_us));
        serde_json::to_string(&status).ok()
    }

    fn leave_fleet(&self) -> bool {
        let Some(member) = &self.member else {
            return false;
        };
        member.leave();
        true
    }

    fn policy_status_json(&self) -> Option<String> {
        serde_json::to_string(&self.policy.as_ref()?.status()).ok()
    }

    fn policy_document(&self) -> Option<String> {
        self.policy.as_ref()?.document()
    }

    fn propose(&self, document: &str) -> Option<Result<u64, String>> {
        Some(self.policy.as_ref()?.propose(document))
    }

    fn abort_proposal(&self, number: u64) -> bool {
        self.policy
            .as_ref()
            .is_some_and(|policy| policy.abort(number))
    }

    fn drain(&self) {
        self.http_server.drain();
    }

    fn undrain(&self) {
        self.http_server.resume();
    }
}
