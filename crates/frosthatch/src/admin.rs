//! What the calls of the admin API do, and the metrics that it shows.

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

/// How many new configurations were applied, and how many were not.
#[derive(Default)]
pub struct ReloadCounters {
    applied: Cell<u64>,
    rejected: Cell<u64>,
}

impl ReloadCounters {
    /// Counts one reload.
    pub fn record(&self, is_applied: bool) {
        let counter = if is_applied {
            &self.applied
        } else {
            &self.rejected
        };
        counter.set(counter.get() + 1);
    }
}

/// The gateway's parts that the admin API works on.
pub struct GatewayAdmin {
    /// The engine.
    pub engine: Rc<Engine>,
    /// The clients' side.
    pub http_server: Rc<HttpServer>,
    /// The endpoints and the operators' marks on them.
    pub endpoints: Rc<EndpointRegistry>,
    /// Reloads so far.
    pub reloads: Rc<ReloadCounters>,
    /// This process as a member of the cluster, if there is one.
    pub member: Option<Rc<MembershipHandle>>,
    /// The policy that gateways agree on, if they do.
    pub policy: Option<Rc<PolicyService>>,
    /// To the other process of this gateway, if one may take over.
    pub hot_restart: Option<LocalEventSender>,
}

impl GatewayAdmin {
    /// Tells the other process of the mark that is on a server now; passes `is_known` through.
    fn forward_mark(&self, id: &str, is_known: bool) -> bool {
        if let (Some(sender), Some(mark)) = (&self.hot_restart, self.endpoints.mark(id)) {
            let event = LocalEvent::Marked(transferred_mark(id.into(), mark));
            if sender.try_send(event).is_err() {
                log_line!("upgrade: a mark on {id} was not told to the other process");
            }
        }
        is_known
    }
}

impl AdminBackend for GatewayAdmin {
    fn ready(&self) -> bool {
        self.http_server.is_ready()
    }

    fn metrics(&self) -> Metrics {
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

    fn disable(&self, id: &str) -> bool {
        self.forward_mark(id, self.endpoints.take_out(id))
    }

    fn enable(&self, id: &str) -> bool {
        self.forward_mark(id, self.endpoints.put_back(id))
    }

    fn fleet(&self) -> Option<String> {
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

    fn policy(&self) -> Option<String> {
        serde_json::to_string(&self.policy.as_ref()?.status()).ok()
    }

    fn document(&self) -> Option<String> {
        self.policy.as_ref()?.document()
    }

    fn propose(&self, document: &str) -> Option<Result<u64, String>> {
        Some(self.policy.as_ref()?.propose(document))
    }

    fn abort(&self, number: u64) -> bool {
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
