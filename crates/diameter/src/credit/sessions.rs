//! Credit-control sessions, with the account of each and the server that holds its state.

use super::mapping::CreditControlConfig;
use super::request::RequestType;
use crate::codec::{Fault, Message};
use crate::dictionary::{code, result};
use frosthatch_traffic_control::CustomerNumber;
use std::collections::HashMap;

/// CC-Session-Failover value: another server can continue the session (RFC 8506 section 8.4).
const FAILOVER_SUPPORTED: u32 = 1;
/// Credit-Control-Failure-Handling value (RFC 8506 section 8.14): the session ends if its server fails. This is the
/// default without the AVP.
const TERMINATE: u32 = 0;

/// A customer and the customer's plan.
#[derive(Clone)]
pub(super) struct Account {
    pub(super) customer: CustomerNumber,
    pub(super) plan: String,
}

/// An open credit-control session.
pub(super) struct Session {
    pub(super) account: Account,
    /// Server that sent the last successful answer, `None` before the first one.
    pub(super) server: Option<String>,
    /// Whether CC-Session-Failover, in the last successful answer that contained it, is `FAILOVER_SUPPORTED`.
    supports_failover: bool,
    /// Whether Credit-Control-Failure-Handling, in the last successful answer that contained it, is not `TERMINATE`.
    continues_on_failure: bool,
    /// Time of the last successful answer, or of the session's opening before the first one.
    updated_us: u64,
}

impl Session {
    /// Returns whether another server may be tried if the session's server is unavailable (RFC 8506 sections 5.7 and
    /// 8.14).
    pub(super) fn may_fail_over(&self) -> bool {
        self.supports_failover && self.continues_on_failure
    }

    /// Returns whether the session has not expired.
    fn is_active(&self, now_us: u64, timeout_us: u64) -> bool {
        now_us < self.updated_us + timeout_us
    }
}

/// All sessions by Session-Id.
#[derive(Default)]
pub(super) struct SessionTable {
    sessions: HashMap<String, Session>,
}

impl SessionTable {
    pub(super) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the session with this Session-Id, unless it has expired.
    pub(super) fn find_active(
        &self,
        now_us: u64,
        session_id: &str,
        mapping: &CreditControlConfig,
    ) -> Option<&Session> {
        self.sessions
            .get(session_id)
            .filter(|session| session.is_active(now_us, mapping.session_timeout_us))
    }

    /// Opens a session, which no server has answered yet.
    ///
    /// # Errors
    /// Returns `TOO_BUSY` if `max_sessions` unexpired sessions exist.
    pub(super) fn open(
        &mut self,
        now_us: u64,
        session_id: &str,
        account: Account,
        mapping: &CreditControlConfig,
    ) -> Result<(), Fault> {
        if self.sessions.len() >= mapping.max_sessions {
            self.sessions
                .retain(|_, session| session.is_active(now_us, mapping.session_timeout_us));
        }
        if self.sessions.len() >= mapping.max_sessions {
            return Err(Fault::new(result::TOO_BUSY));
        }
        let session = Session {
            account,
            server: None,
            supports_failover: false,
            continues_on_failure: false,
            updated_us: now_us,
        };
        self.sessions.insert(session_id.into(), session);
        Ok(())
    }

    /// Updates or removes the session of `ccr` according to the server's answer.
    pub(super) fn apply_answer(
        &mut self,
        now_us: u64,
        ccr: &Message,
        answer: &Message,
        server: &str,
    ) {
        let Some(session_id) = ccr.text(code::SESSION_ID) else {
            return;
        };
        let request_type = ccr.u32_value(code::CC_REQUEST_TYPE);
        match request_type.and_then(RequestType::from_code) {
            Some(RequestType::Termination) => drop(self.sessions.remove(session_id)),
            Some(RequestType::Initial | RequestType::Update) => {
                self.update(now_us, session_id, answer, server);
            }
            Some(RequestType::Event) | None => {}
        }
    }

    /// Removes the session that `ccr` would have opened: the gateway rejected or cancelled it, and no server has it.
    pub(super) fn apply_rejection(&mut self, ccr: &Message) {
        let request_type = ccr.u32_value(code::CC_REQUEST_TYPE);
        if request_type.and_then(RequestType::from_code) != Some(RequestType::Initial) {
            return;
        }
        let Some(session_id) = ccr.text(code::SESSION_ID) else {
            return;
        };
        let is_unopened = |session: &Session| session.server.is_none();
        if self.sessions.get(session_id).is_some_and(is_unopened) {
            self.sessions.remove(session_id);
        }
    }

    /// Updates a session after a successful answer. Removes the session after a failed answer if no server has opened the
    /// session yet, or if the Result-Code is `UNKNOWN_SESSION_ID`.
    fn update(&mut self, now_us: u64, session_id: &str, answer: &Message, server: &str) {
        let Some(session) = self.sessions.get_mut(session_id) else {
            return;
        };
        let result_code = answer.result_code();
        if result_code.is_some_and(|code| (2_000..3_000).contains(&code)) {
            session.server = Some(server.into());
            session.updated_us = now_us;
            if let Some(failover) = answer.u32_value(code::CC_SESSION_FAILOVER) {
                session.supports_failover = failover == FAILOVER_SUPPORTED;
            }
            if let Some(handling) = answer.u32_value(code::CREDIT_CONTROL_FAILURE_HANDLING) {
                session.continues_on_failure = handling != TERMINATE;
            }
        } else if session.server.is_none() || result_code == Some(result::UNKNOWN_SESSION_ID) {
            self.sessions.remove(session_id);
        }
    }

    /// Removes the sessions whose state `server` held.
    pub(super) fn remove_sessions_of(&mut self, server: &str) {
        self.sessions
            .retain(|_, session| session.server.as_deref() != Some(server));
    }
}
