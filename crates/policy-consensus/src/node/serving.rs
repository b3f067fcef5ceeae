//! Whether, and under which policy, this member may admit requests.

use super::interface::{LeaseLossPolicy, ServingState};
use super::member::{ConsensusNode, MAX_REMEMBERED_POLICIES};
use crate::document::Document;
use crate::{Policy, PolicyId};
use frosthatch_config_reader::join_errors;

impl ConsensusNode {
    /// Under which policy requests may be admitted at `now`.
    pub fn serving_state(&mut self, now: u64) -> ServingState {
        if now >= self.serving_state_valid_until {
            let (state, valid_until) = self.compute_serving_state(now);
            self.serving_state = state;
            self.serving_state_valid_until = valid_until;
        }
        self.serving_state
    }

    /// Has the serving state computed anew, after something it depends on has changed.
    pub(super) fn invalidate_serving_state(&mut self) {
        self.serving_state_valid_until = 0;
    }

    /// Drops all validation results, after what this member can serve under may have changed.
    pub fn revalidate(&mut self) {
        self.validations.clear();
        self.invalidate_serving_state();
    }

    /// The serving state, and until when it holds if nothing is received before.
    fn compute_serving_state(&mut self, now: u64) -> (ServingState, u64) {
        let next_change = self.lease_holder.next_change(now).unwrap_or(u64::MAX);
        if let Some(id) = self.lease_holder.advance_to_held_policy(now) {
            return (self.serving_state_under(now, id, next_change), next_change);
        }
        if let Some(starts_at) = self.lease_holder.pending_until(now) {
            return (ServingState::Pending(starts_at), next_change);
        }
        self.serving_state_without_lease(now, next_change)
    }

    /// The serving state while there is a lease on `id` until `lease_end`.
    fn serving_state_under(&mut self, now: u64, id: PolicyId, lease_end: u64) -> ServingState {
        let can_serve = self.can_serve_under(&id);
        if can_serve {
            self.last_lease = Some((id, lease_end));
        }
        let is_new = self.history.back().is_none_or(|(last, _)| *last != id);
        if is_new {
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

    /// The serving state after the last lease ended without a next one, as [`LeaseLossPolicy`] says.
    fn serving_state_without_lease(&mut self, now: u64, next_change: u64) -> (ServingState, u64) {
        // After a policy under which this member could not serve was in force, an earlier one must not be used again.
        let highest_held_version = self.lease_holder.highest_held_version();
        let last_lease = self
            .last_lease
            .filter(|(last, _)| last.version >= highest_held_version);
        let Some((last, lease_end)) = last_lease else {
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
            (LeaseLossPolicy::ServeDuringGrace { grace_us }, _) if now < lease_end + grace_us => {
                let valid_until = next_change.min(lease_end + grace_us);
                (ServingState::Serving(last, successor), valid_until)
            }
            _ => (ServingState::NotServing, next_change),
        }
    }

    /// Whether this member can serve under a policy. Version 0 needs no document.
    fn can_serve_under(&mut self, id: &PolicyId) -> bool {
        id.version == 0 || self.validation_of(id).is_some_and(|result| result.is_ok())
    }

    /// Whether this member can serve under a policy, or why not; `None` while its document is not here.
    pub(super) fn validation_of(&mut self, id: &PolicyId) -> Option<Result<(), String>> {
        if let Some(result) = self.validations.get(&id.digest) {
            return Some(result.clone());
        }
        let text = self.documents.get(&id.digest)?;
        let result = match Document::read("policy", text) {
            Ok(document) if document.version == id.version => (self.validator)(&document),
            Ok(document) => Err(format!(
                "its document says that it is version {}",
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
