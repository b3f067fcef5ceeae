//! Scheduling of queries: starts rounds, refreshes details, and handles timeouts and deadlines.

use super::detail_queue::{Detail, QueuePosition};
use super::events::{Output, Transport};
use super::query::{BrowseRound, PendingQuery, QueryPurpose, Question};
use super::state::Browser;
use crate::dnssd::config::MAX_OUTSTANDING_QUERIES;
use crate::dnssd::wire::{encode_query, Name, RecordType};
use rand_pcg::rand_core::RngCore;
use std::net::SocketAddr;

/// Refresh interval of records that a push subscription covers, in microseconds. It is long because the server pushes
/// changes to these records (RFC 8765 section 6.3).
const SUBSCRIBED_REFRESH_INTERVAL_US: u64 = 300_000_000;

/// A detail whose value is unknown or out of date.
struct StaleDetail {
    detail: Detail,
    is_unknown: bool,
}

impl Browser {
    /// Performs all work that is due: query timeouts, push, rounds, deadlines of instances, and detail queries.
    pub(super) fn perform_due_work(&mut self, now_us: u64, out: &mut Vec<Output>) {
        let timed_out: Vec<u64> = self
            .queries
            .iter()
            .filter(|(_, query)| query.deadline_us <= now_us)
            .map(|(query_id, _)| *query_id)
            .collect();
        for query_id in timed_out {
            self.fail_query(now_us, query_id, out);
        }
        self.perform_due_push_work(now_us, out);
        if self.round.is_none() && self.next_round_at_us <= now_us {
            self.start_round(now_us, out);
        }
        while let Some((at_us, name)) = self.forget_deadlines.first().cloned() {
            if at_us > now_us {
                break;
            }
            self.forget_deadlines.remove(&(at_us, name.clone()));
            self.forget_instance(&name, out);
        }
        while let Some((at_us, name)) = self.completion_deadlines.first().cloned() {
            if at_us > now_us {
                break;
            }
            self.completion_deadlines.remove(&(at_us, name.clone()));
            self.changed_instances.insert(name);
        }
        self.send_detail_queries(now_us, out);
    }

    /// Sends a query and adds it to the pending ones.
    pub(super) fn send_query(&mut self, now_us: u64, question: Question, out: &mut Vec<Output>) {
        let message_id = self.rng.next_u32() as u16;
        let deadline_us = now_us + self.config.query_timeout.as_micros() as u64;
        let Some(bytes) = encode_query(message_id, &question.name, question.record_type) else {
            return;
        };
        self.last_query_id += 1;
        out.push(Output::SendQuery {
            query_id: self.last_query_id,
            to: question.resolver,
            transport: question.transport,
            bytes,
        });
        let query = PendingQuery {
            message_id,
            deadline_us,
            question,
        };
        self.queries.insert(self.last_query_id, query);
    }

    /// Returns the address of the leading resolver.
    pub(super) fn leading_resolver(&self) -> SocketAddr {
        self.config.resolvers[self.leading_resolver % self.config.resolvers.len()]
    }

    /// Builds a question to the leading resolver, over UDP.
    fn question(&self, name: &Name, record_type: RecordType, purpose: QueryPurpose) -> Question {
        Question {
            name: name.clone(),
            record_type,
            resolver: self.leading_resolver(),
            transport: Transport::Udp,
            purpose,
            alias_hops: 0,
            owner: name.clone(),
        }
    }

    /// Sends the queries of a new round.
    fn start_round(&mut self, now_us: u64, out: &mut Vec<Output>) {
        if self.config.resolvers.is_empty() {
            self.next_round_at_us = u64::MAX;
            return;
        }
        let services = self.config.services.clone();
        let is_serial_query_due = self.serial.next_query_at_us <= now_us;
        let outstanding_queries = services.len() as u32 + u32::from(is_serial_query_due);
        self.round = Some(BrowseRound::new(now_us, outstanding_queries));
        for name in services {
            let question = self.question(&name, RecordType::Ptr, QueryPurpose::Browse);
            self.send_query(now_us, question, out);
        }
        if is_serial_query_due {
            let question = self.question(&self.domain, RecordType::Soa, QueryPurpose::Serial);
            self.send_query(now_us, question, out);
        }
    }

    /// Sends queued detail queries, within the limits on the query rate and on the number of queries in flight.
    fn send_detail_queries(&mut self, now_us: u64, out: &mut Vec<Output>) {
        self.detail_queue
            .refill(now_us, f64::from(self.config.queries_per_s));
        while self.queries.len() < MAX_OUTSTANDING_QUERIES {
            let Some(Detail { name, record_type }) = self.detail_queue.pop() else {
                return;
            };
            let question = self.question(&name, record_type, QueryPurpose::Detail);
            self.send_query(now_us, question, out);
        }
    }

    /// Queues queries for those records of an instance that are unknown or out of date.
    pub(super) fn refresh_instance(&mut self, now_us: u64, name: &Name) {
        for stale in self.stale_details(now_us, name) {
            let Detail { name, record_type } = &stale.detail;
            // Queueing a query counts as a refresh, so that a record set without a reply is not queried continuously.
            match record_type {
                RecordType::Txt => {
                    if let Some(instance) = self.instances.get_mut(name) {
                        instance.attributes.refreshed_at_us = now_us;
                    }
                }
                RecordType::Srv => {
                    if let Some(instance) = self.instances.get_mut(name) {
                        instance.location.refreshed_at_us = now_us;
                    }
                }
                _ => self.hosts.entry(name.clone()).or_default().refreshed_at_us = now_us,
            }
            let position = if stale.is_unknown {
                QueuePosition::Front
            } else {
                QueuePosition::Back
            };
            self.detail_queue.push(stale.detail, position);
        }
    }

    /// Returns the record sets of an instance and its host that are unknown or out of date.
    fn stale_details(&self, now_us: u64, name: &Name) -> Vec<StaleDetail> {
        let Some(instance) = self.instances.get(name).filter(|i| i.is_present()) else {
            return Vec::new();
        };
        let mut stale = Vec::new();
        let attributes = &instance.attributes;
        if self.is_stale(now_us, name, attributes.refreshed_at_us) {
            stale.push(StaleDetail {
                detail: Detail {
                    name: name.clone(),
                    record_type: RecordType::Txt,
                },
                is_unknown: attributes.value.is_none(),
            });
        }
        let location = &instance.location;
        if self.is_stale(now_us, name, location.refreshed_at_us) {
            stale.push(StaleDetail {
                detail: Detail {
                    name: name.clone(),
                    record_type: RecordType::Srv,
                },
                is_unknown: location.value.is_none(),
            });
        }
        let target = location.value.as_ref().map(|location| &location.target);
        let Some(target) = target.filter(|target| !target.is_empty()) else {
            return stale;
        };
        let host = self.hosts.get(target);
        if host.is_none_or(|host| self.is_stale(now_us, target, host.refreshed_at_us)) {
            stale.push(StaleDetail {
                detail: Detail {
                    name: target.clone(),
                    record_type: RecordType::A,
                },
                is_unknown: host.is_none_or(|host| !host.has_addresses()),
            });
        }
        stale
    }

    /// Returns whether the records of `name`, last refreshed at `refreshed_at_us`, are out of date.
    fn is_stale(&self, now_us: u64, name: &Name, refreshed_at_us: u64) -> bool {
        let interval_us = if self.push.covers(name) {
            SUBSCRIBED_REFRESH_INTERVAL_US
        } else {
            self.config.max_poll_interval.as_micros() as u64
        };
        refreshed_at_us == 0 || now_us >= refreshed_at_us + interval_us
    }
}
