//! Processing of DNS replies: matches each reply to its pending query, sends a follow-up query for a truncated reply or
//! an alias, and stores the records.

use super::detail_queue::{Detail, QueuePosition};
use super::events::{Output, Transport};
use super::query::{follow_aliases, QueryPurpose, Question, MAX_ALIAS_HOPS};
use super::state::Browser;
use crate::dnssd::wire::{parse_reply, Name, Record, RecordData, RecordType, Reply, ResponseCode};
use std::net::SocketAddr;

/// The next step after a reply to a pending query.
enum ReplyOutcome {
    /// The reply is unusable: the query counts as failed.
    Failed,
    /// The UDP reply is truncated: the query is repeated over TCP (RFC 7766 section 5).
    RetryOverTcp,
    /// The answer is a CNAME whose target has to be queried; holds the target.
    QueryAlias(Name),
    /// The records owned by this name are the answer.
    Answer(Name),
}

impl Browser {
    /// Handles a datagram that arrived on the socket of a query.
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
            // The datagram may be forged, so the query stays open for the genuine reply.
            None => self.count_dropped_datagram(now_us, out),
        }
    }

    /// Counts a dropped datagram, and logs the count at every power of ten.
    fn count_dropped_datagram(&mut self, now_us: u64, out: &mut Vec<Output>) {
        self.dropped_datagrams += 1;
        if is_power_of_ten(self.dropped_datagrams) {
            let line = format!(
                "dns-sd: dropped {} datagrams that match no pending query or are malformed",
                self.dropped_datagrams
            );
            self.log_limiter.log(now_us, line, out);
        }
    }

    /// Handles the reply on a query's TCP connection.
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

    /// Closes a query that received no usable reply. A failed PTR query fails its round; a failed SOA query leaves its
    /// round without a serial.
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
                    alias_hops: question.alias_hops + 1,
                    ..question
                };
                self.send_query(now_us, question, out);
            }
            ReplyOutcome::Answer(name) => self.process_answer(now_us, &question, &name, reply, out),
        }
    }

    /// Processes the records that a reply holds under `name`: adds them to the round, or stores them if they answer a
    /// detail query.
    fn process_answer(
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
                            round.min_ttl_s = round.min_ttl_s.min(record.ttl_s);
                            round.instance_names.insert(instance);
                        }
                        _ => {}
                    }
                }
                round.additional_records.extend(reply.additional);
            }),
            QueryPurpose::Detail => self.store_detail_answer(now_us, question, name, reply),
        }
    }

    /// Stores the records of a detail reply under the name that was originally queried. An answer without SRV or
    /// address records leaves the stored ones in place; one without TXT records is stored as an empty TXT record.
    fn store_detail_answer(&mut self, now_us: u64, question: &Question, name: &Name, reply: Reply) {
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
                // A missing TXT record is equivalent to an empty one (RFC 6763 section 6.1).
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

    /// Queues an AAAA query for a host that has no IPv4 address.
    fn query_ipv6_address(&mut self, host: &Name) {
        if self.hosts.get(host).is_some_and(|h| h.ipv4.is_empty()) {
            let detail = Detail {
                name: host.clone(),
                record_type: RecordType::Aaaa,
            };
            self.detail_queue.push(detail, QueuePosition::Front);
        }
    }
}

/// Decides the next step after a reply to `question`.
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
    } else if question.alias_hops >= MAX_ALIAS_HOPS {
        ReplyOutcome::Failed
    } else {
        ReplyOutcome::QueryAlias(name)
    }
}

fn is_power_of_ten(number: u64) -> bool {
    number.to_string().trim_end_matches('0') == "1"
}
