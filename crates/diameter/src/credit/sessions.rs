//! Credit-control sessions: whose they are, and which server has their state.

use super::mapping::Mapping;
use super::request::RequestType;
use crate::codec::{Fault, Message};
use crate::dictionary::{code, result};
use std::collections::HashMap;

/// CC-Session-Failover (RFC 8506 section 8.4).
const FAILOVER_SUPPORTED: u32 = 1;
/// Credit-Control-Failure-Handling (section 8.14): the session ends with its server. The default without the AVP.
const TERMINATE: u32 = 0;

/// A customer with its plan.
#[derive(Clone)]
pub(super) struct Account {
    pub(super) customer: String,
    pub(super) plan: String,
}

pub(super) struct Session {
    pub(super) account: Account,
    /// The server that answered last with success.
    pub(super) server: Option<String>,
    /// CC-Session-Failover of the last answer that had one.
    supports_failover: bool,
    /// Whether Credit-Control-Failure-Handling of the last answer that had one allows another server.
    continues_on_failure: bool,
    updated_us: u64,
}

impl Session {
    /// Whether another server may be tried if its own is lost (RFC 8506 sections 5.7 and 8.14).
    pub(super) fn may_fail_over(&self) -> bool {
        self.supports_failover && self.continues_on_failure
    }

    fn is_active(&self, now_us: u64, timeout_us: u64) -> bool {
        now_us < self.updated_us + timeout_us
    }
}

/// All sessions, by their Session-Id.
#[derive(Default)]
pub(super) struct SessionTable {
    sessions: HashMap<String, Session>,
}

impl SessionTable {
    pub(super) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// The session, unless it has expired.
    pub(super) fn active(
        &self,
        now_us: u64,
        session_id: &str,
        mapping: &Mapping,
    ) -> Option<&Session> {
        self.sessions
            .get(session_id)
            .filter(|session| session.is_active(now_us, mapping.session_timeout_us))
    }

    /// Opens a session that no server has answered yet.
    ///
    /// # Errors
    /// `TOO_BUSY` if there are too many.
    pub(super) fn open(
        &mut self,
        now_us: u64,
        session_id: &str,
        account: Account,
        mapping: &Mapping,
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

    /// Updates the session of `ccr` by a server's answer.
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
        let request_type = ccr.number(code::CC_REQUEST_TYPE);
        match request_type.and_then(RequestType::from_code) {
            Some(RequestType::Termination) => drop(self.sessions.remove(session_id)),
            Some(RequestType::Initial | RequestType::Update) => {
                self.update(now_us, session_id, answer, server);
            }
            Some(RequestType::Event) | None => {}
        }
    }

    fn update(&mut self, now_us: u64, session_id: &str, answer: &Message, server: &str) {
        let Some(session) = self.sessions.get_mut(session_id) else {
            return;
        };
        let result_code = answer.result();
        if result_code.is_some_and(|code| (2_000..3_000).contains(&code)) {
            session.server = Some(server.into());
            session.updated_us = now_us;
            if let Some(failover) = answer.number(code::CC_SESSION_FAILOVER) {
                session.supports_failover = failover == FAILOVER_SUPPORTED;
            }
            if let Some(handling) = answer.number(code::CREDIT_CONTROL_FAILURE_HANDLING) {
                session.continues_on_failure = handling != TERMINATE;
            }
        } else if session.server.is_none() || result_code == Some(result::UNKNOWN_SESSION_ID) {
            self.sessions.remove(session_id);
        }
    }

    /// Removes the sessions whose state a server has lost.
    pub(super) fn remove_sessions_of(&mut self, server: &str) {
        self.sessions
            .retain(|_, session| session.server.as_deref() != Some(server));
    }
}
