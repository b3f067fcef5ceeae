//! Credit control (RFC 8506) between clients and the decisions of the gateway: reads requests, assigns them to sessions,
//! detects duplicates, and interprets result codes. No I/O and no clock: times are microseconds, handed in.

mod duplicates;
mod forwarding;
mod mapping;
mod request;
mod sessions;
mod units;

pub use forwarding::{classify_answer, forwarded_request, has_loop, AnswerClass};
pub use mapping::Mapping;
pub use request::RequestKey;

use crate::codec::{Fault, Message};
use crate::dictionary::{code, result};
use duplicates::DuplicateTable;
use request::{CcrFields, RequestType};
use sessions::{Account, Session, SessionTable};

/// A credit-control request in the terms of the gateway's decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct CreditRequest {
    /// The customer's number in 16 hexadecimal digits.
    pub customer: String,
    /// The customer's plan.
    pub plan: String,
    /// The request class.
    pub class: String,
    /// Requested units.
    pub units: f64,
    /// The server that has the state of its session.
    pub sticky_server: Option<String>,
    /// Whether another server may be tried if that one is lost.
    pub may_fail_over: bool,
}

/// What is to be done with a request that was received.
#[derive(Debug, PartialEq)]
pub enum Disposition {
    /// Submit it; its answer goes to [`CreditControl::complete`].
    Submit(RequestKey, CreditRequest),
    /// It duplicates a request in flight, and gets the same answer.
    Joined,
    /// It duplicates a request that has this answer.
    Answered(Message),
    /// Answer it with this fault.
    Rejected(Fault),
}

/// Sessions, and requests in flight. `C` identifies a waiting client.
pub struct CreditControl<C> {
    mapping: Mapping,
    sessions: SessionTable,
    duplicates: DuplicateTable<C>,
}

impl<C> CreditControl<C> {
    /// Without sessions or requests.
    pub fn new(mapping: Mapping) -> Self {
        CreditControl {
            mapping,
            sessions: SessionTable::default(),
            duplicates: DuplicateTable::new(),
        }
    }

    /// Changes the mapping for requests from now on. Open sessions keep their plans.
    pub fn set_mapping(&mut self, mapping: Mapping) {
        self.duplicates.shrink_to(mapping.max_cached_answer_bytes);
        self.mapping = mapping;
    }

    /// Sessions that are stored.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Accepts a Credit-Control-Request from a client.
    pub fn accept(&mut self, now_us: u64, ccr: &Message, client: C) -> Disposition {
        self.duplicates.evict_expired(now_us);
        let key = match RequestKey::read(ccr) {
            Ok(key) => key,
            Err(fault) => return Disposition::Rejected(fault),
        };
        if let Some(clients) = self.duplicates.waiting_clients(&key) {
            clients.push(client);
            return Disposition::Joined;
        }
        if let Some(answer) = self.duplicates.cached_answer(&key) {
            return Disposition::Answered(answer.clone());
        }
        if !self.duplicates.make_room(self.mapping.max_tracked_requests) {
            return Disposition::Rejected(Fault::new(result::TOO_BUSY));
        }
        match self.read(now_us, ccr) {
            Ok(request) => {
                self.duplicates.insert_in_flight(key.clone(), client);
                Disposition::Submit(key, request)
            }
            Err(fault) => Disposition::Rejected(fault),
        }
    }

    /// Removes clients that have gone. Their request stays in flight, because a duplicate may come over another connection
    /// (RFC 6733 section 5.5.4).
    pub fn remove_clients(&mut self, key: &RequestKey, has_gone: impl Fn(&C) -> bool) {
        if let Some(clients) = self.duplicates.waiting_clients(key) {
            clients.retain(|client| !has_gone(client));
        }
    }

    /// Removes clients that have gone, and their request if none remains. Returns whether it was removed.
    pub fn cancel_for_clients(&mut self, key: &RequestKey, has_gone: impl Fn(&C) -> bool) -> bool {
        let Some(clients) = self.duplicates.waiting_clients(key) else {
            return false;
        };
        clients.retain(|client| !has_gone(client));
        let is_unwanted = clients.is_empty();
        if is_unwanted {
            self.duplicates.remove(key);
        }
        is_unwanted
    }

    /// Records the answer of a request in flight, and returns the clients that get it. `server`: the one that answered;
    /// `None` if the gateway did.
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
        // A rejected request was not executed: the client repeats it with the same identifiers, and it is executed then.
        if answer.result() != Some(result::TOO_BUSY) {
            self.duplicates
                .cache_answer(now_us, key, answer, &self.mapping);
        }
        if let Some(server) = server {
            self.sessions.apply_answer(now_us, ccr, answer, server);
        }
        clients
    }

    /// Removes the sessions of a server that has restarted, and has lost them (RFC 6733 section 8.16).
    pub fn remove_sessions_of(&mut self, server: &str) {
        self.sessions.remove_sessions_of(server);
    }

    /// Reads a request and finds or opens its session.
    fn read(&mut self, now_us: u64, ccr: &Message) -> Result<CreditRequest, Fault> {
        let fields = CcrFields::read(ccr, &self.mapping)?;
        let session = self
            .sessions
            .active(now_us, fields.session_id, &self.mapping);
        let account = account(&fields, session, &self.mapping)?;
        let mut request = CreditRequest {
            customer: account.customer.clone(),
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

/// The customer's account. Only the first request of a session has to identify the customer (RFC 8506 section 3.1).
fn account(
    fields: &CcrFields,
    session: Option<&Session>,
    mapping: &Mapping,
) -> Result<Account, Fault> {
    if let Some(number) = fields.customer_number {
        let plan = mapping.plans.get(&number).or(mapping.default_plan.as_ref());
        let plan = plan.ok_or_else(|| Fault::new(result::USER_UNKNOWN))?;
        return Ok(Account {
            customer: format!("{number:016x}"),
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
