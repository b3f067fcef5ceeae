//! Replies to queries: which are accepted, which lead to a further query, and where their records go.

use super::detail_queue::{Detail, QueuePosition};
use super::events::{Output, Transport};
use super::query::{follow_aliases, QueryPurpose, Question, MAX_ALIAS_HOPS};
use super::state::Browser;
use crate::dnssd::wire::{parse_reply, Name, Record, RecordData, RecordType, Reply, ResponseCode};
use std::net::SocketAddr;

/// What follows from a reply.
enum ReplyOutcome {
    /// The query counts as failed.
    Failed,
    /// RFC 7766 section 5: a truncated reply is requested again over TCP.
    RetryOverTcp,
    /// The answer is an alias whose target has to be queried.
    QueryAlias(Name),
    /// The records of this name are the answer.
    Answer(Name),
}

impl Browser {
    pub(super) fn handle_datagram(
        &mut self,
        now_us: u64,
        query_id: u64,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        let Some(query) = self.queries.get(&query_id) else {
            return;
        };
        let question = &query.question;
        if question.transport != Transport::Udp {
            return;
        }
        let reply = if from == question.resolver {
            parse_reply(
                bytes,
                query.message_id,
                &question.name,
                question.record_type,
            )
            .ok()
        } else {
            None
        };
        match reply {
            Some(reply) => self.handle_reply(now_us, query_id, reply, out),
            // It may be forged: the query stays open for the true reply.
            None => self.count_dropped_datagram(now_us, out),
        }
    }

    fn count_dropped_datagram(&mut self, now_us: u64, out: &mut Vec<Output>) {
        self.dropped_datagrams += 1;
        if is_power_of_ten(self.dropped_datagrams) {
            let line = format!(
                "dns-sd: {} answers dropped that fit no question or cannot be read",
                self.dropped_datagrams
            );
            self.log.log(now_us, line, out);
        }
    }

    pub(super) fn handle_stream(
        &mut self,
        now_us: u64,
        query_id: u64,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        let Some(query) = self.queries.get(&query_id) else {
            return;
        };
        let question = &query.question;
        if question.transport != Transport::Tcp {
            return;
        }
        match parse_reply(
            bytes,
            query.message_id,
            &question.name,
            question.record_type,
        ) {
            Ok(reply) => self.handle_reply(now_us, query_id, reply, out),
            Err(_) => self.fail_query(now_us, query_id, out),
        }
    }

    /// Closes a query without a usable reply.
    pub(super) fn fail_query(&mut self, now_us: u64, query_id: u64, out: &mut Vec<Output>) {
        let Some(question) = self.close_query(query_id, out) else {
            return;
        };
        match question.purpose {
            QueryPurpose::Detail => {}
            QueryPurpose::Serial => self.record_round_reply(now_us, out, |_| {}),
            QueryPurpose::Browse => {
                self.record_round_reply(now_us, out, |round| round.has_failed = true);
            }
        }
    }

    fn close_query(&mut self, query_id: u64, out: &mut Vec<Output>) -> Option<Question> {
        let query = self.queries.remove(&query_id)?;
        out.push(Output::CloseQuery { query_id });
        Some(query.question)
    }

    fn handle_reply(&mut self, now_us: u64, query_id: u64, reply: Reply, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get(&query_id) else {
            return;
        };
        let outcome = classify_reply(&query.question, &reply);
        if matches!(outcome, ReplyOutcome::Failed) {
            self.fail_query(now_us, query_id, out);
            return;
        }
        let Some(question) = self.close_query(query_id, out) else {
            return;
        };
        match outcome {
            ReplyOutcome::Failed => {}
            ReplyOutcome::RetryOverTcp => {
                let question = Question {
                    transport: Transport::Tcp,
                    ..question
                };
                self.send_query(now_us, question, out);
            }
            ReplyOutcome::QueryAlias(target) => {
                let question = Question {
                    name: target,
                    hops: question.hops + 1,
                    ..question
                };
                self.send_query(now_us, question, out);
            }
            ReplyOutcome::Answer(name) => self.use_answer(now_us, &question, &name, reply, out),
        }
    }

    /// Takes in the records that the reply holds under `name`.
    fn use_answer(
        &mut self,
        now_us: u64,
        question: &Question,
        name: &Name,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        match question.purpose {
            QueryPurpose::Serial => {
                let mut records = reply.answer.iter().chain(&reply.authority);
                let serial = records.find_map(|record| match record.data {
                    RecordData::Soa { serial } => Some(serial),
                    _ => None,
                });
                self.record_round_reply(now_us, out, |round| round.serial = serial);
            }
            QueryPurpose::Browse => self.record_round_reply(now_us, out, |round| {
                round.is_authoritative &= reply.is_authoritative;
                for record in reply.answer {
                    match record.data {
                        RecordData::Ptr(instance) if record.owner == *name => {
                            round.ttl_s = round.ttl_s.min(record.ttl_s);
                            round.names.insert(instance);
                        }
                        _ => {}
                    }
                }
                round.additional.extend(reply.additional);
            }),
            QueryPurpose::Detail => self.use_detail(now_us, question, name, reply),
        }
    }

    /// Stores an answer's records under the name that was originally queried. An answer without records removes nothing.
    fn use_detail(&mut self, now_us: u64, question: &Question, name: &Name, reply: Reply) {
        let owner = &question.owner;
        let answer = reply.answer.into_iter();
        let mut records: Vec<Record> = answer
            .filter(|record| record.owner == *name)
            .map(|record| Record {
                owner: owner.clone(),
                ..record
            })
            .collect();
        if records.is_empty() {
            match question.record_type {
                RecordType::A => self.query_ipv6_address(owner),
                // RFC 6763 section 6.1: no TXT record is the same as an empty one.
                RecordType::Txt if reply.code == ResponseCode::NoError => records.push(Record {
                    owner: owner.clone(),
                    ttl_s: 0,
                    data: RecordData::Txt(Vec::new()),
                }),
                _ => {}
            }
        }
        records.extend(reply.additional);
        self.store_records(now_us, records);
    }

    /// Queues an AAAA query for a host without an IPv4 address.
    fn query_ipv6_address(&mut self, host: &Name) {
        if self.hosts.get(host).is_some_and(|h| h.ipv4.is_empty()) {
            let detail = Detail {
                name: host.clone(),
                record_type: RecordType::Aaaa,
            };
            self.details.push(detail, QueuePosition::Front);
        }
    }
}

fn classify_reply(question: &Question, reply: &Reply) -> ReplyOutcome {
    if reply.is_truncated {
        return match question.transport {
            Transport::Tcp => ReplyOutcome::Failed,
            Transport::Udp => ReplyOutcome::RetryOverTcp,
        };
    }
    if matches!(reply.code, ResponseCode::Other(_)) {
        return ReplyOutcome::Failed;
    }
    let Some(name) = follow_aliases(&question.name, &reply.answer) else {
        return ReplyOutcome::Failed;
    };
    let has_records = reply
        .answer
        .iter()
        .any(|record| record.owner == name && !matches!(record.data, RecordData::Cname(_)));
    let is_unresolved_alias =
        name != question.name && !has_records && reply.code == ResponseCode::NoError;
    if !is_unresolved_alias {
        ReplyOutcome::Answer(name)
    } else if question.hops >= MAX_ALIAS_HOPS {
        ReplyOutcome::Failed
    } else {
        ReplyOutcome::QueryAlias(name)
    }
}

fn is_power_of_ten(number: u64) -> bool {
    number.to_string().trim_end_matches('0') == "1"
}
