//! The effect rule: decides which further attempts of a request may be sent, so that no effect happens twice.

use crate::interface::{
    Effect, Micros, Scope, Settings, CLIENT_GONE_SLACK_US, MAX_GATEWAY_DELAY_US,
};
use crate::pending_request::{Attempt, AttemptState, ClientState, PendingRequest};
use crate::server::Server;

/// Returns the time until which a repeat of this attempt may be written: its last byte has to arrive while servers
/// remember the key, even if the gateway delays it.
fn remembered_until(attempt: &Attempt, window_us: Micros) -> Micros {
    attempt.sent_at + window_us.saturating_sub(MAX_GATEWAY_DELAY_US)
}

/// Whether a server knows the idempotency keys that the server of an attempt has seen.
fn shares_keys(scope: Scope, attempt: &Attempt, server: &Server) -> bool {
    match scope {
        Scope::All => true,
        Scope::Zone => attempt.zone_and_cell.0 == server.zone_and_cell.0,
        Scope::Cell => attempt.zone_and_cell == server.zone_and_cell,
    }
}

impl PendingRequest {
    /// Returns the attempts that may have run or may still run.
    fn possibly_run_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| a.state != AttemptState::NeverRan)
    }

    /// Whether a further attempt may be sent to this server now.
    pub(super) fn may_send(&self, settings: &Settings, server: &Server, now: Micros) -> bool {
        let needs_attempt = !self.is_closed && self.client == ClientState::Waiting;
        if !needs_attempt || !settings.parallel_attempts && self.has_attempt_in_flight() {
            return false;
        }
        match settings.classes[self.class].effect {
            Effect::Repeatable => true,
            Effect::Once => self.possibly_run_attempts().next().is_none(),
            Effect::Keyed { scope, window_us } => self.possibly_run_attempts().all(|attempt| {
                shares_keys(scope, attempt, server) && now < remembered_until(attempt, window_us)
            }),
        }
    }

    /// Returns the time from now within which an attempt may begin: while its answer has a value, and while servers
    /// remember each earlier attempt that may have run.
    pub(super) fn begin_within_us(&self, settings: &Settings, now: Micros) -> Micros {
        let remaining_us = self.deadline.saturating_sub(now);
        let useful_us =
            remaining_us - (MAX_GATEWAY_DELAY_US - CLIENT_GONE_SLACK_US).min(remaining_us / 4);
        let Effect::Keyed { window_us, .. } = settings.classes[self.class].effect else {
            return useful_us;
        };
        self.possibly_run_attempts()
            .map(|attempt| remembered_until(attempt, window_us).saturating_sub(now))
            .fold(useful_us, Micros::min)
    }

    /// Whether the final answer may say that a repeat is harmless. It may not while an attempt goes on that cannot be
    /// cancelled, whatever the class: a repeat would be a second one.
    pub(super) fn may_reject(&self, settings: &Settings) -> bool {
        if self.has_overdue_attempt() {
            return false;
        }
        let repeats_are_harmless = matches!(
            settings.classes[self.class].effect,
            Effect::Repeatable
                | Effect::Keyed {
                    scope: Scope::All,
                    ..
                }
        );
        repeats_are_harmless || self.possibly_run_attempts().next().is_none()
    }
}
