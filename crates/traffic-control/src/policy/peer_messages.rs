//! Messages between gateways: admission fractions and rates, and quota requests to a customer's owner. A message
//! that does not parse is dropped as a whole; no message ever changes a ceiling slice.

use crate::customer::CustomerPlacement;
use crate::decaying_sum::{DecayingSum, DEMAND_TIME_CONSTANT_US};
use crate::gateway::Gateway;
use crate::gossip::{self, CellReport, Message, QuotaGrant, QuotaRequest};
use crate::interface::{Action, Micros};
use rand_pcg::rand_core::RngCore;

/// Number of peers that get the fractions and rates in each interval: a sample, whatever the fleet's size.
const PEERS_PER_CELL_REPORT: u32 = 2;
/// Lifetime of a granted permit, in mean attempt times; it lapses in case its return is lost.
const PERMIT_GRANT_ATTEMPTS: f64 = 3.0;
/// Maximum length of a peer message.
pub(super) const MAX_MESSAGE_BYTES: usize = 256;

impl Gateway {
    /// Sends this gateway's admission fractions and rates to a few random peers.
    pub(super) fn send_cell_reports(&mut self, actions: &mut Vec<Action>) {
        let reports = self
            .cells
            .iter()
            .map(|cell| CellReport {
                fraction: cell.fraction,
                admitted_per_s: cell.admitted_per_s,
            })
            .collect();
        let bytes = gossip::encode(&Message::CellReports(reports), MAX_MESSAGE_BYTES);
        let peers = if self.settings.peer_messages {
            self.settings.gateways - 1
        } else {
            0
        };
        // Drawn without peers as well, so that the sequence of random numbers does not depend on the settings.
        let first = self.rng.next_u32() % peers.max(1);
        for offset in 0..PEERS_PER_CELL_REPORT.min(peers) {
            let distance = 1 + (first + offset) % peers;
            actions.push(Action::SendToPeer {
                to: (self.settings.gateway_index + distance) % self.settings.gateways,
                bytes: bytes.clone(),
            });
        }
    }

    /// Handles a message of the gateway with index `from`; one that is not from a peer is dropped.
    pub(super) fn on_peer_message(&mut self, from: u32, bytes: &[u8], actions: &mut Vec<Action>) {
        let is_peer = from != self.settings.gateway_index && from < self.settings.gateways;
        match gossip::decode(bytes).filter(|_| is_peer) {
            Some(Message::CellReports(reports)) => {
                self.peer_reports.record_cell_reports(self.now, reports);
            }
            Some(Message::QuotaRequest(request)) => {
                self.on_quota_request(from, &request, actions);
            }
            Some(Message::QuotaGrant(grant)) => self.on_quota_grant(from, &grant, actions),
            None => {}
        }
    }

    /// As owner of a customer, charges the usage that a peer reports, and grants the units that it wants if the
    /// store holds them.
    fn on_quota_request(&mut self, from: u32, request: &QuotaRequest, actions: &mut Vec<Action>) {
        let now = self.now;
        let own_index = self.settings.gateway_index;
        let plan = usize::from(request.plan);
        if self.settings.has_counter || plan >= self.quotas.len() {
            return;
        }
        let quota = self.quotas[plan];
        let gateway_count = u32::from(request.gateway_count).clamp(1, self.settings.gateways);
        let placement = CustomerPlacement {
            tag: request.tag,
            plan,
            gateway_count,
            owner: own_index,
            position: 0,
        };
        let grant_us = PERMIT_GRANT_ATTEMPTS * self.server_latency.attempt_s * 1e6;
        let lapses_at = now + grant_us as Micros;
        let Some(customer) = self
            .get_or_create_customer(&placement)
            .filter(|c| c.owner == own_index)
        else {
            return;
        };
        let wanted = request.wanted_units.max(0.0);
        let unreported = request.unreported_units;
        customer.is_owner = true;
        customer.active_at = now;
        customer
            .demand
            .add(now, DEMAND_TIME_CONSTANT_US, wanted + unreported.max(0.0));
        if quota.limits_concurrency {
            customer.update_granted_permits(&quota, unreported, lapses_at);
        } else {
            customer.level = (customer.level - unreported).clamp(-quota.capacity, quota.capacity);
        }
        customer.refill(&quota, now);
        let level = customer.level;
        let granted_units = if level >= request.wanted_units {
            wanted
        } else {
            0.0
        };
        customer.level -= granted_units;
        if quota.limits_concurrency {
            customer.update_granted_permits(&quota, granted_units, lapses_at);
        }
        if request.wanted_units > 0.0 {
            let grant = Message::QuotaGrant(QuotaGrant {
                tag: request.tag,
                granted_units,
                level,
                demand_per_s: customer.demand.per_s(now, DEMAND_TIME_CONSTANT_US),
            });
            actions.push(Action::SendToPeer {
                to: from,
                bytes: gossip::encode(&grant, MAX_MESSAGE_BYTES),
            });
        }
    }

    /// Applies a grant of a customer's owner, and decides the requests that wait for it.
    fn on_quota_grant(&mut self, from: u32, grant: &QuotaGrant, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(customer) = self
            .customers
            .get_mut(&grant.tag)
            .filter(|c| c.owner == from)
        else {
            return;
        };
        let capacity = self.quotas[customer.plan].capacity;
        customer.unreported -= grant.granted_units;
        customer.sync_level(grant.level.clamp(-capacity, capacity), now);
        let own_demand = customer.demand.at(now, DEMAND_TIME_CONSTANT_US);
        let all_demand = grant.demand_per_s * DEMAND_TIME_CONSTANT_US / 1e6;
        customer.others_demand = DecayingSum::new(now, (all_demand - own_demand).max(0.0));
        self.decide_waiting_requests(grant.tag, true, actions);
    }
}
