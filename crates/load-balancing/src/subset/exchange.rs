//! Exchanges servers between gateways when a gateway cannot be assigned the servers that still have capacity, because
//! it has them already or has enough servers of their zones.
//!
//! In an exchange another gateway, the donor, takes a server with capacity and gives one of its own to the receiver.

use super::assignment::Assignment;
use crate::hash_rank;

/// Whether exchanges have to keep to the maximum number of servers of a zone in one subset.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ZoneLimits {
    /// The maximum applies to the receiver and to the donor.
    Respected,
    /// A subset may have any number of servers of a zone.
    Ignored,
}

impl Assignment<'_> {
    /// Makes exchanges for all gateways that still need servers, for as long as any are possible.
    pub(super) fn exchange(&mut self, limits: ZoneLimits) {
        let mut receivers = self.gateways_with_demand();
        receivers.sort_by_key(|gateway| self.gateways[*gateway]);
        for receiver in receivers {
            while self.demand[receiver] > 0 && self.exchange_once(receiver, limits) {}
        }
    }

    /// Makes one exchange for the receiver; returns `false` if none is possible.
    fn exchange_once(&mut self, receiver: usize, limits: ZoneLimits) -> bool {
        let receiver_key = self.gateways[receiver];
        let mut available = self.servers_with_capacity();
        available.sort_by_key(|server| hash_rank(self.servers[*server].key, receiver_key));
        let mut donors: Vec<usize> = (0..self.gateways.len())
            .filter(|gateway| *gateway != receiver)
            .collect();
        donors.sort_by_key(|donor| hash_rank(self.gateways[*donor], receiver_key));
        for taken in available {
            for &donor in &donors {
                if self.is_assigned(donor, taken) {
                    continue;
                }
                if let Some(given) = self.find_server_to_give(receiver, donor, taken, limits) {
                    self.unassign(donor, given);
                    self.assign(donor, taken);
                    self.assign(receiver, given);
                    return true;
                }
            }
        }
        false
    }

    /// Returns a server that the donor can give to the receiver if the donor takes the server `taken`.
    fn find_server_to_give(
        &self,
        receiver: usize,
        donor: usize,
        taken: usize,
        limits: ZoneLimits,
    ) -> Option<usize> {
        let ignores_zones = limits == ZoneLimits::Ignored;
        let donor_can_take_any = ignores_zones || self.has_zone_allowance(donor, taken);
        self.assigned[donor]
            .iter()
            .map(|given| *given as usize)
            .find(|&given| {
                let is_same_zone = self.zones[given] == self.zones[taken];
                !self.is_assigned(receiver, given)
                    && (ignores_zones || self.has_zone_allowance(receiver, given))
                    && (is_same_zone || donor_can_take_any)
            })
    }
}
