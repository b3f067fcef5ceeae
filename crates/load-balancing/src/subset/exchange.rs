//! Exchanges for gateways that cannot use the servers that still have capacity.
//!
//! Such a gateway has those servers already, or enough of their zones: another gateway takes one of them and gives it one of
//! its own.

use super::assignment::Assignment;
use crate::hash_rank;

/// Whether an exchange may exceed the servers of a zone that one gateway may have.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ZoneLimits {
    Respected,
    Ignored,
}

impl Assignment<'_> {
    /// Makes exchanges for all gateways that still want servers, for as long as any are possible.
    pub(super) fn exchange(&mut self, limits: ZoneLimits) {
        let mut receivers = self.gateways_with_demand();
        receivers.sort_by_key(|gateway| self.gateways[*gateway]);
        for receiver in receivers {
            while self.wanted[receiver] > 0 && self.exchange_one(receiver, limits) {}
        }
    }

    /// Makes one exchange; returns `false` if none is possible.
    fn exchange_one(&mut self, receiver: usize, limits: ZoneLimits) -> bool {
        let receiver_key = self.gateways[receiver];
        let mut free = self.servers_with_capacity();
        free.sort_by_key(|server| hash_rank(self.servers[*server].key, receiver_key));
        let mut donors: Vec<usize> = (0..self.gateways.len())
            .filter(|gateway| *gateway != receiver)
            .collect();
        donors.sort_by_key(|donor| hash_rank(self.gateways[*donor], receiver_key));
        for taken in free {
            for &donor in &donors {
                if self.is_assigned(donor, taken) {
                    continue;
                }
                if let Some(given) = self.find_given(receiver, donor, taken, limits) {
                    self.unassign(donor, given);
                    self.assign(donor, taken);
                    self.assign(receiver, given);
                    return true;
                }
            }
        }
        false
    }

    /// A server that the donor can give to the receiver in exchange for `taken`.
    fn find_given(
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
