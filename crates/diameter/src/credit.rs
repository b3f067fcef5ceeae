//! Credit control (RFC 8506): validates requests, assigns them to sessions, detects duplicates, and classifies result
//! codes. [`front`](crate::front) passes the resulting [`CreditRequest`]s to the engine.
//!
//! This module does no I/O and reads no clock: the caller passes the time in microseconds.

mod duplicates;
mod forwarding;
mod mapping;
mod request;
mod sessions;
mod units;

pub use forwarding::{classify_answer, forwarded_request, has_loop, AnswerClass};
pub use mapping::CreditControlConfig;
pub use request::RequestKey;

use crate::codec::{Fault, Message};
use crate::dictionary::{code, result};
use duplicates::DuplicateTable;
use frosthatch_traffic_control::CustomerNumber;
use request::{CcrFields, RequestType};
use sessions::{Account, Session, SessionTable};

/// A credit-control request, mapped to the customer, plan, class and units that the engine decides on.
#[derive(Clone, Debug, PartialEq)]
pub struct CreditRequest {
    /// Number of the customer.
    pub customer: CustomerNumber,
    /// Plan of the customer.
    pub plan: String,
    /// Class of the request.
    pub class: String,
    /// Number of requested units.
    pub units: f64,
    /// Server that holds the state of the request's session, if any.
    pub sticky_server: Option<String>,
    /// Whether another server may be tried if `sticky_server` is unavailable.
    pub may_fail_over: bool,
}

/// The action to take for a received request.
#[derive(Debug, PartialEq)]
pub enum Disposition {
    /// Submit the request to the engine and pass its answer to [`CreditControl::complete`].
    Submit(RequestKey, CreditRequest),
    /// Send nothing: the request duplicates the one in flight with this key, and its client gets the same answer.
    Joined(RequestKey),
    /// Send this cached answer: the request duplicates one that was answered.
    Answered(Message),
    /// Answer the request with this fault.
    Rejected(Fault),
}

/// Whether a request repeats a known one.
enum Lookup<C> {
    /// The request repeats a known one, or has no key: this is the action to take.
    Known(Disposition),
    /// The request with this key, from this client, repeats none.
    New(RequestKey, C),
}

/// Tracks sessions, requests in flight and cached answers. `C` identifies a waiting client.
pub struct CreditControl<C> {
    mapping: CreditControlConfig,
    sessions: SessionTable,
    duplicates: DuplicateTable<C>,
}

impl<C> CreditControl<C> {
    /// Creates a tracker without sessions or requests.
    pub fn new(mapping: CreditControlConfig) -> Self {
        CreditControl {
            mapping,
            sessions: SessionTable::default(),
            duplicates: DuplicateTable::new(),
        }
    }

    /// Replaces the mapping for subsequent requests. Open sessions keep their plans.
    pub fn set_mapping(&mut self, mapping: CreditControlConfig) {
        self.duplicates.shrink_to(mapping.max_cached_answer_bytes);
        self.mapping = mapping;
    }

    /// Returns the number of stored sessions, including expired ones that are not removed yet.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Validates a Credit-Control-Request from a client, and returns the action to take for it.
    pub fn handle_ccr(&mut self, now_us: u64, ccr: &Message, client: C) -> Disposition {
        let (key, client) = match self.find_duplicate(now_us, ccr, client) {
            Lookup::Known(disposition) => return disposition,
            Lookup::New(key, client) => (key, client),
        };
        if !self.duplicates.make_room(self.mapping.max_tracked_requests) {
            return Disposition::Rejected(Fault::new(result::TOO_BUSY));
        }
        match self.read_request(now_us, ccr) {
            Ok(request) => {
                self.duplicates.insert_in_flight(key.clone(), client);
                Disposition::Submit(key, request)
            }
            Err(fault) => Disposition::Rejected(fault),
        }
    }

    /// Returns the action to take for a Credit-Control-Request that may only be a repeat, as no new request is accepted: a
    /// repeat of a known request is handled as ever, since it may have been executed, and any other request is rejected.
    pub fn handle_repeat(&mut self, now_us: u64, ccr: &Message, client: C) -> Disposition {
        match self.find_duplicate(now_us, ccr, client) {
            Lookup::Known(disposition) => disposition,
            Lookup::New(..) => Disposition::Rejected(Fault::new(result::TOO_BUSY)),
        }
    }

    /// Looks for the request in flight or the cached answer that a request repeats. The client waits for the former.
    fn find_duplicate(&mut self, now_us: u64, ccr: &Message, client: C) -> Lookup<C> {
        self.duplicates.evict_expired(now_us);
        let key = match RequestKey::read(ccr) {
            Ok(key) => key,
            Err(fault) => return Lookup::Known(Disposition::Rejected(fault)),
        };
        if let Some(clients) = self.duplicates.waiting_clients(&key) {
            clients.push(client);
            return Lookup::Known(Disposition::Joined(key));
        }
        match self.duplicates.cached_answer(&key) {
            Some(answer) => Lookup::Known(Disposition::Answered(answer.clone())),
            None => Lookup::New(key, client),
        }
    }

    /// Removes disconnected clients from a request. The request stays in flight, because a duplicate may arrive on another
    /// connection (RFC 6733 section 5.5.4). Returns whether the last client was removed.
    pub fn remove_clients(
        &mut self,
        key: &RequestKey,
        is_disconnected: impl Fn(&C) -> bool,
    ) -> bool {
        let Some(clients) = self.duplicates.waiting_clients(key) else {
            return false;
        };
        let waiting = clients.len();
        clients.retain(|client| !is_disconnected(client));
        clients.len() < waiting && clients.is_empty()
    }

    /// Removes disconnected clients from a request that no server has. If that removes the last client, also removes the
    /// request and the session that it would have opened. Returns whether the request was removed.
    pub fn cancel_for_clients(
        &mut self,
        key: &RequestKey,
        ccr: &Message,
        is_disconnected: impl Fn(&C) -> bool,
    ) -> bool {
        let has_no_clients = self.remove_clients(key, is_disconnected);
        if has_no_clients {
            self.duplicates.remove(key);
            self.sessions.apply_rejection(ccr);
        }
        has_no_clients
    }

    /// Records the answer to a request in flight, and returns the clients to send the answer to. `server` is the server
    /// that answered, `None` if the gateway did.
    pub fn complete(
        &mut self,
        now_us: u64,
        key: &RequestKey,
        ccr: &Message,
        answer: &Message,
        server: Option<&str>,
    ) -> Vec<C> {
        let Some(clients) = self.duplicates.remove(key) else {
            return Vec::new();
        };
        // A request answered with `TOO_BUSY` was not executed. If that answer were cached, the client's retry, which has
        // the same identifiers, would get it instead of being executed.
        let is_rejected = answer.result_code() == Some(result::TOO_BUSY);
        if !is_rejected {
            self.duplicates
                .cache_answer(now_us, key, answer, &self.mapping);
        }
        match server {
            Some(server) => self.sessions.apply_answer(now_us, ccr, answer, server),
            None if is_rejected => self.sessions.apply_rejection(ccr),
            None => {}
        }
        clients
    }

    /// Removes the sessions of a server that has restarted and lost their state (RFC 6733 section 8.16).
    pub fn remove_sessions_of(&mut self, server: &str) {
        self.sessions.remove_sessions_of(server);
    }

    /// Validates a request and finds or opens its session.
    fn read_request(&mut self, now_us: u64, ccr: &Message) -> Result<CreditRequest, Fault> {
        let fields = CcrFields::read(ccr, &self.mapping)?;
        let session = self
            .sessions
            .find_active(now_us, fields.session_id, &self.mapping);
        let account = resolve_account(&fields, session, &self.mapping)?;
        let mut request = CreditRequest {
            customer: account.customer,
            plan: account.plan.clone(),
            class: fields.class,
            units: fields.units,
            sticky_server: None,
            may_fail_over: true,
        };
        match (fields.request_type, session) {
            (RequestType::Event, _) => {}
            (_, Some(session)) => {
                request.sticky_server.clone_from(&session.server);
                request.may_fail_over = session.may_fail_over();
            }
            (RequestType::Initial, None) => {
                self.sessions
                    .open(now_us, fields.session_id, account, &self.mapping)?;
            }
            (RequestType::Update | RequestType::Termination, None) => {
                return Err(Fault::new(result::UNKNOWN_SESSION_ID));
            }
        }
        Ok(request)
    }
}

/// Returns the account of the request's customer, from the request or from its session. Only the first request of a
/// session has to identify the customer (RFC 8506 section 3.1).
fn resolve_account(
    fields: &CcrFields,
    session: Option<&Session>,
    mapping: &CreditControlConfig,
) -> Result<Account, Fault> {
    if let Some(number) = fields.customer_number {
        let plan = mapping.plans.get(&number);
        let plan = plan.or(mapping.default_plan.as_ref());
        let plan = plan.ok_or_else(|| Fault::new(result::USER_UNKNOWN))?;
        return Ok(Account {
            customer: number,
            plan: plan.clone(),
        });
    }
    match (fields.request_type, session) {
        (RequestType::Event, _) | (RequestType::Initial, None) => {
            Err(Fault::missing_avp(code::SUBSCRIPTION_ID))
        }
        (_, Some(session)) => Ok(session.account.clone()),
        (RequestType::Update | RequestType::Termination, None) => {
            Err(Fault::new(result::UNKNOWN_SESSION_ID))
        }
    }
}
