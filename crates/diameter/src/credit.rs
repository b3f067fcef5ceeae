//! Credit control (RFC 8506) between clients and the decisions: what a request asks in their terms, which session it
//! belongs to, whether it has been asked before, and what its outcome is called in result codes. No I/O and no clock.

use crate::codec::{find, flag, Avp, Fault, Message};
use crate::dictionary::{application, code, result};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// CC-Request-Type (RFC 8506 section 8.3).
const INITIAL: u32 = 1;
const UPDATE: u32 = 2;
const TERMINATION: u32 = 3;
const EVENT: u32 = 4;
/// CC-Session-Failover (section 8.4).
const FAILOVER_SUPPORTED: u32 = 1;
/// Credit-Control-Failure-Handling (section 8.14): what a session gets whose server is lost. Also without the AVP.
const TERMINATE: u32 = 0;
/// Longest Session-Id, customer or host that is kept.
const NAME_BYTES: usize = 256;
/// Customers are numbers below this, as over HTTP.
const CUSTOMERS: u64 = 1 << 33;

/// What stands for what; the operator's file gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Mapping {
    /// Class of CHECK_BALANCE and PRICE_ENQUIRY events: repeatable.
    pub check: String,
    /// Class of DIRECT_DEBITING and REFUND_ACCOUNT events, and of sessions: keyed.
    pub charge: String,
    /// Plans of customers, by their number.
    pub plans: BTreeMap<u64, String>,
    /// The plan of all others; none: they are unknown.
    pub otherwise: Option<String>,
    /// Most units of one request.
    pub most_units: f64,
    /// A session without a request is forgotten after this, in microseconds.
    pub session_us: u64,
    /// An answer is kept for repeats for so long.
    pub repeats_us: u64,
    pub most_sessions: usize,
    pub most_repeats: usize,
    /// Bytes of answers that are kept for repeats at most.
    pub repeat_bytes: usize,
}

/// A credit-control request in the terms of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub customer: String,
    pub plan: String,
    pub class: String,
    pub units: f64,
    /// The server that its session stays with.
    pub server: Option<String>,
    /// It may go elsewhere if that server is lost.
    pub may_move: bool,
}

/// Whose request it is, in all its repeats (RFC 6733 section 3: Origin-Host and End-to-End id).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub host: String,
    pub end_to_end: u32,
}

/// What becomes of a request that has come.
#[derive(Debug, PartialEq)]
pub enum Taken {
    /// To the decisions; its answer goes to `finished`.
    Ask(Key, Ask),
    /// One like it is out; it gets the same answer.
    Joins,
    /// It was answered before, with this.
    Again(Message),
    /// Nothing is asked for it.
    Faulty(Fault),
}

struct Session {
    customer: String,
    plan: String,
    server: Option<String>,
    /// CC-Session-Failover of its server's last answer that had one.
    failover: bool,
    /// Credit-Control-Failure-Handling, likewise: another server may be tried (sections 5.7 and 8.14).
    retry: bool,
    at: u64,
}

enum Known<W> {
    /// Who waits for the answer.
    Out(Vec<W>),
    Answered(Message),
}

/// `W`: what leads back to whoever asked.
pub struct Credit<W> {
    mapping: Mapping,
    sessions: HashMap<String, Session>,
    known: BTreeMap<Key, Known<W>>,
    /// Answers in the order in which they are forgotten.
    answered: VecDeque<(u64, Key)>,
    /// Bytes of theirs.
    kept: usize,
}

impl<W> Credit<W> {
    pub fn new(mapping: Mapping) -> Self {
        Credit {
            mapping,
            sessions: HashMap::new(),
            known: BTreeMap::new(),
            answered: VecDeque::new(),
            kept: 0,
        }
    }

    /// Another mapping, and other bounds: for requests that come from now on. Sessions keep their plans.
    pub fn remap(&mut self, mapping: Mapping) {
        self.mapping = mapping;
        while self.kept > self.mapping.repeat_bytes && self.forget_oldest() {}
    }

    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Takes a CCR from a client, who is reached by `who`.
    pub fn take(&mut self, now: u64, ccr: &Message, who: W) -> Taken {
        self.age(now);
        let key = match key(ccr) {
            Ok(key) => key,
            Err(fault) => return Taken::Faulty(fault),
        };
        match self.known.get_mut(&key) {
            Some(Known::Out(waiting)) => {
                waiting.push(who);
                return Taken::Joins;
            }
            Some(Known::Answered(answer)) => return Taken::Again(answer.clone()),
            None => {}
        }
        if self.known.len() >= self.mapping.most_repeats {
            // Those that are out are never forgotten: what has been answered longest is.
            if !self.forget_oldest() {
                return Taken::Faulty(Fault::new(result::TOO_BUSY));
            }
        }
        match self.read(now, ccr) {
            Ok(ask) => {
                self.known.insert(key.clone(), Known::Out(vec![who]));
                Taken::Ask(key, ask)
            }
            Err(fault) => Taken::Faulty(fault),
        }
    }

    /// A client has gone, and its request goes on: a repeat of it may come by another connection (RFC 6733 section 5.5.4).
    pub fn unwait(&mut self, key: &Key, gone: impl Fn(&W) -> bool) {
        if let Some(Known::Out(waiting)) = self.known.get_mut(key) {
            waiting.retain(|w| !gone(w));
        }
    }

    /// A client has gone: whoever of its waits is waited for no more. True if nobody waits now.
    pub fn leave(&mut self, key: &Key, gone: impl Fn(&W) -> bool) -> bool {
        let Some(Known::Out(waiting)) = self.known.get_mut(key) else {
            return false;
        };
        waiting.retain(|w| !gone(w));
        let nobody = waiting.is_empty();
        if nobody {
            self.known.remove(key);
        }
        nobody
    }

    /// The one answer of a request is there: who gets it. `server`: who made it, if a server did.
    pub fn finished(
        &mut self,
        now: u64,
        key: &Key,
        ccr: &Message,
        answer: &Message,
        server: Option<&str>,
    ) -> Vec<W> {
        let Some(Known::Out(waiting)) = self.known.remove(key) else {
            return Vec::new();
        };
        // What was turned away unseen is asked again with the same ids, and then not turned away for that.
        if answer.result() != Some(result::TOO_BUSY) {
            self.kept += answer.memory_bytes();
            self.known
                .insert(key.clone(), Known::Answered(answer.clone()));
            self.answered
                .push_back((now + self.mapping.repeats_us, key.clone()));
            while self.kept > self.mapping.repeat_bytes && self.forget_oldest() {}
        }
        if let (Some(server), Some(id)) = (server, ccr.text(code::SESSION_ID)) {
            self.settle(now, id, ccr, answer, server);
        }
        waiting
    }

    /// What a server's answer makes of the session.
    fn settle(&mut self, now: u64, id: &str, ccr: &Message, answer: &Message, server: &str) {
        let good = answer.result().is_some_and(|r| (2_000..3_000).contains(&r));
        let failover = answer
            .number(code::CC_SESSION_FAILOVER)
            .map(|f| f == FAILOVER_SUPPORTED);
        let retry = answer
            .number(code::CREDIT_CONTROL_FAILURE_HANDLING)
            .map(|h| h != TERMINATE);
        match ccr.number(code::CC_REQUEST_TYPE) {
            Some(TERMINATION) => drop(self.sessions.remove(id)),
            Some(INITIAL | UPDATE) => {
                let Some(s) = self.sessions.get_mut(id) else {
                    return;
                };
                if good {
                    (s.server, s.at) = (Some(server.into()), now);
                    s.failover = failover.unwrap_or(s.failover);
                    s.retry = retry.unwrap_or(s.retry);
                } else if s.server.is_none() || answer.result() == Some(result::UNKNOWN_SESSION_ID)
                {
                    self.sessions.remove(id);
                }
            }
            _ => {}
        }
    }

    /// A server has restarted, and with it its sessions are lost (RFC 6733 section 8.16).
    pub fn server_lost_sessions(&mut self, server: &str) {
        self.sessions
            .retain(|_, s| s.server.as_deref() != Some(server));
    }

    fn age(&mut self, now: u64) {
        while self.answered.front().is_some_and(|(at, _)| *at <= now) {
            self.forget_oldest();
        }
    }

    /// Forgets the answer that was given longest ago, if there is any.
    fn forget_oldest(&mut self) -> bool {
        let Some((_, key)) = self.answered.pop_front() else {
            return false;
        };
        if let Some(Known::Answered(answer)) = self.known.remove(&key) {
            self.kept = self.kept.saturating_sub(answer.memory_bytes());
        }
        true
    }

    fn read(&mut self, now: u64, ccr: &Message) -> Result<Ask, Fault> {
        let must = |code| ccr.find(code).ok_or_else(|| Fault::missing_avp(code));
        let id = named(must(code::SESSION_ID)?)?;
        must(code::ORIGIN_REALM)?;
        must(code::DESTINATION_REALM)?;
        must(code::SERVICE_CONTEXT_ID)?;
        let app = must(code::AUTH_APPLICATION_ID)?;
        if app.u32()? != application::CREDIT_CONTROL {
            return Err(Fault::in_avp(result::INVALID_AVP_VALUE, app));
        }
        must(code::CC_REQUEST_NUMBER)?.u32()?;
        let kind = must(code::CC_REQUEST_TYPE)?;
        let m = &self.mapping;
        let class = match kind.u32()? {
            INITIAL | UPDATE | TERMINATION => m.charge.clone(),
            EVENT => {
                let action = must(code::REQUESTED_ACTION)?;
                match action.u32()? {
                    // DIRECT_DEBITING, REFUND_ACCOUNT
                    0 | 1 => m.charge.clone(),
                    // CHECK_BALANCE, PRICE_ENQUIRY
                    2 | 3 => m.check.clone(),
                    _ => return Err(Fault::in_avp(result::INVALID_AVP_VALUE, action)),
                }
            }
            _ => return Err(Fault::in_avp(result::INVALID_AVP_VALUE, kind)),
        };
        let kind = kind.u32()?;
        let units = units(ccr, if kind == EVENT { 1.0 } else { 0.0 })?;
        if units > m.most_units {
            let avp = ccr
                .find(code::REQUESTED_SERVICE_UNIT)
                .or(ccr.find(code::MULTIPLE_SERVICES_CREDIT_CONTROL));
            return Err(Fault {
                result_code: result::INVALID_AVP_VALUE,
                failed_avp: avp.cloned(),
            });
        }
        let known = self.sessions.get(id).filter(|s| now < s.at + m.session_us);
        // Only the first request must say whose session it is (RFC 8506 section 3.1).
        let (customer, plan) = match (customer(ccr)?, known) {
            (Some(number), _) => {
                let plan = m.plans.get(&number).or(m.otherwise.as_ref());
                let plan = plan.ok_or_else(|| Fault::new(result::USER_UNKNOWN))?;
                (format!("{number:016x}"), plan.clone())
            }
            (None, Some(s)) if kind != EVENT => (s.customer.clone(), s.plan.clone()),
            (None, _) if matches!(kind, UPDATE | TERMINATION) => {
                return Err(Fault::new(result::UNKNOWN_SESSION_ID));
            }
            (None, _) => return Err(Fault::missing_avp(code::SUBSCRIPTION_ID)),
        };
        let ask = Ask {
            customer,
            plan,
            class,
            units,
            server: None,
            may_move: true,
        };
        match kind {
            INITIAL if known.is_none() => {
                self.open(now, id, &ask)?;
                Ok(ask)
            }
            INITIAL | UPDATE | TERMINATION => {
                let s = known.ok_or_else(|| Fault::new(result::UNKNOWN_SESSION_ID))?;
                Ok(Ask {
                    server: s.server.clone(),
                    may_move: s.failover && s.retry,
                    ..ask
                })
            }
            _ => Ok(ask),
        }
    }

    fn open(&mut self, now: u64, id: &str, ask: &Ask) -> Result<(), Fault> {
        let most = self.mapping.most_sessions;
        if self.sessions.len() >= most {
            // Those that have been silent for too long make room.
            let session_us = self.mapping.session_us;
            self.sessions.retain(|_, s| now < s.at + session_us);
        }
        if self.sessions.len() >= most {
            return Err(Fault::new(result::TOO_BUSY));
        }
        let Ask { customer, plan, .. } = ask.clone();
        let new = Session {
            customer,
            plan,
            server: None,
            failover: false,
            retry: false,
            at: now,
        };
        self.sessions.insert(id.into(), new);
        Ok(())
    }
}

fn named(avp: &Avp) -> Result<&str, Fault> {
    let text = avp.text()?;
    if text.is_empty() || text.len() > NAME_BYTES {
        return Err(Fault::in_avp(result::INVALID_AVP_VALUE, avp));
    }
    Ok(text)
}

fn key(ccr: &Message) -> Result<Key, Fault> {
    let host = ccr
        .find(code::ORIGIN_HOST)
        .ok_or_else(|| Fault::missing_avp(code::ORIGIN_HOST))?;
    Ok(Key {
        host: named(host)?.to_ascii_lowercase(),
        end_to_end: ccr.header.end_to_end,
    })
}

/// The customer's number, from the first Subscription-Id that has one (RFC 8506 section 8.46): END_USER_E164 in digits, or
/// END_USER_PRIVATE as the 16 hex digits of the key over HTTP.
fn customer(ccr: &Message) -> Result<Option<u64>, Fault> {
    let mut wrong = None;
    for avp in ccr
        .avps
        .iter()
        .filter(|a| a.code == code::SUBSCRIPTION_ID && a.vendor.is_none())
    {
        let group = avp.group()?;
        let must = |code| find(&group, code).ok_or_else(|| Fault::missing_avp(code));
        let (kind, data) = (
            must(code::SUBSCRIPTION_ID_TYPE)?.u32()?,
            must(code::SUBSCRIPTION_ID_DATA)?.text()?,
        );
        let digits = |radix: u32| data.chars().all(|c| c.is_digit(radix));
        let number = match kind {
            0 if digits(10) => data.parse().ok(),
            4 if digits(16) && data.len() == 16 => u64::from_str_radix(data, 16).ok(),
            _ => None,
        };
        match number.filter(|&n| n < CUSTOMERS) {
            Some(number) => return Ok(Some(number)),
            None => wrong = Some(Fault::in_avp(result::INVALID_AVP_VALUE, avp)),
        }
    }
    wrong.map_or(Ok(None), Err)
}

/// The units that are asked for: service-specific units, or money in whole currency units, of the request and of all its
/// services (RFC 8506 sections 8.18 and 8.16).
fn units(ccr: &Message, otherwise: f64) -> Result<f64, Fault> {
    let mut sum = None;
    let mut add = |avps: &[Avp]| -> Result<(), Fault> {
        for avp in avps
            .iter()
            .filter(|a| a.code == code::REQUESTED_SERVICE_UNIT && a.vendor.is_none())
        {
            let group = avp.group()?;
            let units = match (
                find(&group, code::CC_SERVICE_SPECIFIC_UNITS),
                find(&group, code::CC_MONEY),
            ) {
                (Some(units), _) => units.u64()? as f64,
                (None, Some(money)) => self::money(money)?,
                // Asked for without a number: the server decides how much (section 8.18).
                (None, None) => 1.0,
            };
            sum = Some(sum.unwrap_or(0.0) + units);
        }
        Ok(())
    };
    add(&ccr.avps)?;
    for avp in ccr
        .avps
        .iter()
        .filter(|a| a.code == code::MULTIPLE_SERVICES_CREDIT_CONTROL)
    {
        add(&avp.group()?)?;
    }
    Ok(sum.unwrap_or(otherwise))
}

fn money(avp: &Avp) -> Result<f64, Fault> {
    let group = avp.group()?;
    let value = find(&group, code::UNIT_VALUE)
        .ok_or_else(|| Fault::missing_avp(code::UNIT_VALUE))?
        .group()?;
    let digits = find(&value, code::VALUE_DIGITS)
        .ok_or_else(|| Fault::missing_avp(code::VALUE_DIGITS))?
        .u64()?;
    let exponent = find(&value, code::EXPONENT).map_or(Ok(0), Avp::u32)? as i32;
    let amount = digits as i64 as f64 * 10f64.powi(exponent.clamp(-18, 18));
    if !(0.0..1e15).contains(&amount) {
        return Err(Fault::in_avp(result::INVALID_AVP_VALUE, avp));
    }
    Ok(amount)
}

/// What a server's answer says of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes back to the client as it is.
    Answered,
    /// It never ran, in the peer's own words.
    TurnedAway,
    /// It may have run.
    Error,
}

pub fn verdict(answer: &Message) -> Verdict {
    match answer.result() {
        Some(result::UNABLE_TO_DELIVER | result::TOO_BUSY | result::LOOP_DETECTED) => {
            Verdict::TurnedAway
        }
        Some(result::UNABLE_TO_COMPLY) | None => Verdict::Error,
        Some(_) => Verdict::Answered,
    }
}

/// Puts a request on its way to a server: the client's ids are replaced on the connection, its peer is recorded, and a
/// further attempt after one that may have run says so.
pub fn forwarded(ccr: &Message, from: &str, hop_by_hop: u32, again: bool) -> Message {
    let mut message = ccr.clone();
    message.header.hop_by_hop = hop_by_hop;
    if again {
        message.header.flags |= flag::RETRANSMITTED;
    }
    message.with(Avp::of_text(code::ROUTE_RECORD, from))
}

/// Whether the request has been here before (RFC 6733 section 6.1.3).
pub fn loops(ccr: &Message, me: &str) -> bool {
    let mut records = ccr.avps.iter().filter(|a| a.code == code::ROUTE_RECORD);
    records.any(|a| a.text().is_ok_and(|t| t.eq_ignore_ascii_case(me)))
}
