//! What operators' calls do, and the figures that they are shown.

use crate::fleet;
use crate::handover::as_told;
use crate::policy;
use frosthatch_admin::{AdminBackend, ClassMetrics, Metrics};
use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_discovery as membership;
use frosthatch_engine::{Engine, Rule};
use frosthatch_handover::driver::{LocalEvent, LocalEventSender};
use frosthatch_http1::server::HttpServer;
use frosthatch_log::log_line;
use std::cell::Cell;
use std::rc::Rc;

pub struct Console {
    pub engine: Rc<Engine>,
    pub http_server: Rc<HttpServer>,
    pub servers: Rc<membership::EndpointRegistry>,
    /// New configurations that were taken over, and that were not.
    pub reloads: Rc<[Cell<u64>; 2]>,
    /// This process among the others, if gateways talk to each other.
    pub member: Option<Rc<MembershipHandle>>,
    /// The policy that gateways agree on, if they do.
    pub policy: Option<Rc<policy::PolicyService>>,
    /// Another process of this gateway hears of marks, too.
    pub tell: Option<LocalEventSender>,
}

impl Console {
    fn marked(&self, id: &str, known: bool) -> bool {
        if let (Some(tell), Some(mark)) = (&self.tell, self.servers.mark(id)) {
            if tell
                .try_send(LocalEvent::Marked(as_told(id.into(), mark)))
                .is_err()
            {
                log_line!("upgrade: a mark on {id} was not told to the other process");
            }
        }
        known
    }
}

impl AdminBackend for Console {
    fn ready(&self) -> bool {
        self.http_server.ready()
    }

    fn figures(&self) -> Metrics {
        let classes = self.engine.counters().classes.iter().map(|c| ClassMetrics {
            name: c.name.clone(),
            success: c.served.get(),
            busy: c.refused.get(),
            failure: c.failed.get(),
            backend_calls: c.attempts.get(),
        });
        let (hosts_listed, not_ready) = self.servers.listed();
        Metrics {
            classes: classes.collect(),
            inflight: self.engine.open_requests(),
            hosts_listed,
            hosts_down: not_ready + self.engine.avoided_endpoints(),
            reconfig_ok: self.reloads[0].get(),
            reconfig_failed: self.reloads[1].get(),
            violations: Rule::ALL
                .map(|rule| (rule.name(), self.engine.violations().count(rule)))
                .to_vec(),
        }
    }

    fn disable(&self, id: &str) -> bool {
        self.marked(id, self.servers.take_out(id))
    }

    fn enable(&self, id: &str) -> bool {
        self.marked(id, self.servers.put_back(id))
    }

    fn fleet(&self) -> Option<String> {
        let member = self.member.as_ref()?;
        let now = self.engine.now();
        let [gateways, servers_used, servers_out] = self.engine.subset_counts();
        let choices = fleet::ShownChoices {
            gateways,
            servers_used,
            servers_out,
        };
        serde_json::to_string(&member.with(|f| fleet::shown(f, choices, now))).ok()
    }

    fn leave_fleet(&self) -> bool {
        self.member.iter().for_each(|m| m.leave());
        self.member.is_some()
    }

    fn policy(&self) -> Option<String> {
        serde_json::to_string(&self.policy.as_ref()?.shown()).ok()
    }

    fn document(&self) -> Option<String> {
        self.policy.as_ref()?.document()
    }

    fn propose(&self, document: &str) -> Option<Result<u64, String>> {
        Some(self.policy.as_ref()?.propose(document))
    }

    fn abort(&self, number: u64) -> bool {
        self.policy.as_ref().is_some_and(|p| p.abort(number))
    }

    fn drain(&self) {
        self.http_server.drain();
    }

    fn undrain(&self) {
        self.http_server.resume();
    }
}
