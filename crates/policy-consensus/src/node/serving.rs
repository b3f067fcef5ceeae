//! The serving state: whether and under which policies this member may admit requests.

use super::interface::{LeaseLossPolicy, ServingState};
use super::member::{ConsensusNode, MAX_REMEMBERED_POLICIES};
use crate::document::Document;
use crate::{Policy, PolicyId};
use frosthatch_config_reader::join_errors;

impl ConsensusNode {
    /// Returns whether and under which policies requests may be admitted at `now`.
    pub fn serving_state(&mut self, now: u64) -> ServingState {
        if now >= self.serving_state_valid_until {
            let (state, valid_until) = self.compute_serving_state(now);
            self.serving_state = state;
            self.serving_state_valid_until = valid_until;
        }
        self.serving_state
    }

    /// Invalidates the cached serving state after one of its inputs has changed.
    pub(super) fn invalidate_serving_state(&mut self) {
        self.serving_state_valid_until = 0;
    }

    /// Drops all cached validation results. The caller calls this when the results of the validator may have changed.
    pub fn revalidate(&mut self) {
        self.validations.clear();
        self.invalidate_serving_state();
    }

    /// Computes the serving state and the time until which it is valid if no message is received before.
    fn compute_serving_state(&mut self, now: u64) -> (ServingState, u64) {
        let next_change = self.lease_holder.next_change_at(now).unwrap_or(u64::MAX);
        if let Some(id) = self.lease_holder.advance_to_held_policy(now) {
            return (
                self.serving_state_with_lease(now, id, next_change),
                next_change,
            );
        }
        if let Some(starts_at) = self.lease_holder.next_held_at(now) {
            return (ServingState::Pending(starts_at), next_change);
        }
        self.serving_state_without_lease(now, next_change)
    }

    /// Computes the serving state while the policy `id` is held, which lasts until `held_until` if no grant is
    /// received. Adds a newly held policy to the history.
    fn serving_state_with_lease(
        &mut self,
        now: u64,
        id: PolicyId,
        held_until: u64,
    ) -> ServingState {
        let can_serve = self.can_serve_under(&id);
        if can_serve {
            self.last_lease = Some((id, held_until));
        }
        let is_newly_held = self.history.back().is_none_or(|(last, _)| *last != id);
        if is_newly_held {
            self.history.push_back((id, now));
            let excess = self.history.len().saturating_sub(MAX_REMEMBERED_POLICIES);
            self.history.drain(..excess);
        }
        if can_serve {
            ServingState::Serving(id, None)
        } else {
            ServingState::NotServing
        }
    }

    /// Computes the serving state without a held policy, according to the configured [`LeaseLossPolicy`].
    fn serving_state_without_lease(&mut self, now: u64, next_change: u64) -> (ServingState, u64) {
        // If a later policy was held under which this member could not serve, it must not serve under an earlier one
        // again.
        let highest_held_version = self.lease_holder.highest_held_version();
        let last_lease = self
            .last_lease
            .filter(|(last, _)| last.version >= highest_held_version);
        let Some((last, held_until)) = last_lease else {
            return (ServingState::NotServing, next_change);
        };
        let newest = self
            .lease_holder
            .known_policies()
            .map(Policy::id)
            .filter(|id| id.version > last.version)
            .max();
        let successor = newest.filter(|id| self.can_serve_under(id));
        match (self.config.lease_loss_policy, successor) {
            (LeaseLossPolicy::ServeStricter, Some(_)) => {
                (ServingState::Serving(last, successor), next_change)
            }
            (LeaseLossPolicy::ServeDuringGrace { grace_us }, _) if now < held_until + grace_us => {
                let valid_until = next_change.min(held_until + grace_us);
                (ServingState::Serving(last, successor), valid_until)
            }
            _ => (ServingState::NotServing, next_change),
        }
    }

    /// Returns whether this member can serve under a policy. Version 0 needs no document.
    fn can_serve_under(&mut self, id: &PolicyId) -> bool {
        id.version == 0 || self.validation_of(id).is_some_and(|result| result.is_ok())
    }

    /// Returns whether this member can serve under a policy, with the reason if it cannot; `None` while the document
    /// is missing.
    pub(super) fn validation_of(&mut self, id: &PolicyId) -> Option<Result<(), String>> {
        if let Some(result) = self.validations.get(&id.digest) {
            return Some(result.clone());
        }
        let text = self.documents.get(&id.digest)?;
        let result = match Document::read("policy", text) {
            Ok(document) if document.version == id.version => (self.validator)(&document),
            Ok(document) => Err(format!(
                "the document has version {}, which is not the policy's version",
                document.version
            )),
            Err(mistakes) => Err(join_errors(&mistakes)),
        };
        while self.validations.len() >= MAX_REMEMBERED_POLICIES {
            self.validations.pop_first();
        }
        self.validations.insert(id.digest, result.clone());
        Some(result)
    }
}
