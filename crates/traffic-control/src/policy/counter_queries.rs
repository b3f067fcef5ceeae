//! Whom to ask or tell what a customer used, and when: the counter within the calls that it bears, or the one of its
//! gateways that adds up for all.
//! Guards: the counter is not asked for more than it bears, what decides a request goes before what only tells, and no
//! use stays untold.

use super::quota::RESERVATION_US;
use super::{random_unit, REPLY_MARGIN_US};
use crate::counter_calls::CounterCall;
use crate::customer::{Customer, DEMAND_TAU_US};
use crate::decaying_sum::DecayingSum;
use crate::gateway::{AdmissionCell, Gateway};
use crate::gossip::{self, CellReport, Message};
use crate::interface::{Action, CompletionStatus, Micros, RequestId, Timer};
use rand_pcg::rand_core::RngCore;

const PEERS_PER_CELL_REPORT: u32 = 2; // peers told the fractions and rates an interval: a sample, whatever the fleet's size
const QUERY_TIMEOUT_US: Micros = 100_000; // µs; a keeper's answer is awaited this long, twice: short beside any aim
const PERMIT_GRANT_ATTEMPTS: f64 = 3.0; // mean attempts that a place given out is kept for, in case its return is lost
const MAX_MESSAGE_BYTES: usize = 256; // bytes; longest peer message (the wire's)
const REPORT_LUMP_SHARE: f64 = 0.25; // of the burst slice: use is posted in lumps while the store is half full
const BURST_KEPT_FROM_REPORTS: f64 = 0.5; // of the calls saved up that telling of use leaves to asks and places
const SPARE_PERMIT_REPLIES: f64 = 3.0; // usual times of a call for which a place is kept: giving it back and asking again take two
const READ_ONLY_OVERUSE: f64 = 1.4; // times the quota a customer uses of whom a no is more likely than not

impl Gateway {
    pub(super) fn send_cell_reports(&mut self, out: &mut Vec<Action>) {
        let cell = |c: &AdmissionCell| CellReport {
            fraction: c.fraction,
            admitted_per_s: c.admitted_per_s,
        };
        let bytes = gossip::encode(
            &Message::CellReports(self.cells.iter().map(cell).collect()),
            MAX_MESSAGE_BYTES,
        );
        let others = if self.settings.peer_messages {
            self.settings.gateways - 1
        } else {
            0
        };
        let first = self.rng.next_u32() % others.max(1);
        let to = |k| (self.settings.me + 1 + (first + k) % others) % self.settings.gateways;
        out.extend(
            (0..PEERS_PER_CELL_REPORT.min(others)).map(|k| Action::SendToPeer {
                to: to(k),
                bytes: bytes.clone(),
            }),
        );
    }

    /// Exception to the design: one of many gateways knows nothing of a customer, so a request waits some ms
    /// for the counter, or for the one of its gateways that adds up for all. False: nobody can be asked now.
    pub(super) fn query_quota(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(p) = self.requests.get(&id) else {
            return false;
        };
        let (customer, units, left) = (
            p.customer,
            p.quota_units,
            p.deadline.saturating_sub(self.now),
        );
        let Some(c) = self.customers.get(&customer) else {
            return false;
        };
        // A client about to leave cannot wait for an answer.
        if left < 4 * REPLY_MARGIN_US || !(self.settings.counter || self.settings.peer_messages) {
            return false;
        }
        // Where a "no" is likely it only reads: what is not added need not be taken back.
        let q = &self.quotas[c.plan];
        let rare = c.is_sparse(q);
        let busy = rare
            && !c.is_short_of_ceiling(q, units)
            && c.ledger.overuse_factor(self.now) > READ_ONLY_OVERUSE;
        let unlikely = self.settings.counter && (c.is_synced(self.now) && c.level < units || busy);
        let spared = if rare { 1.0 - q.relative_cost } else { 0.0 };
        if c.queries_in_flight == 0 {
            if self.settings.counter
                && (spared >= 1.0 || !self.counter_limiter.try_take(self.now, spared))
            {
                return false;
            }
            let wanted = if unlikely {
                0.0
            } else {
                units + c.prefetch_units(q, self.now)
            };
            self.send_quota_query(customer, wanted, out);
        }
        let Some(c) = self.customers.get_mut(&customer) else {
            return false;
        };
        c.waiting_requests.push(id);
        c.queries_in_flight = c.queries_in_flight.max(1);
        let after_us = QUERY_TIMEOUT_US.min((left - REPLY_MARGIN_US) / 2);
        out.push(Action::SetTimer {
            after_us,
            timer: Timer::Request(id),
        });
        true
    }

    fn send_quota_query(&mut self, customer: u32, wanted: f64, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        let q = &self.quotas[c.plan];
        c.begin_epoch_if_due(q, self.counter_clock.wall_clock(self.now));
        if self.settings.counter {
            let life = self.counter_clock.window_at(self.now);
            let (name, ttl_us) = c.counter_name(q, self.counter_clock.wall_clock(self.now), life);
            let amount = c.take_report_amount(wanted);
            self.counter_calls.record_sent(
                &name,
                CounterCall {
                    customer,
                    amount,
                    wanted_units: wanted,
                    sent_at: self.now,
                    window: life,
                },
            );
            let amount = amount * c.permit_digits.map_or(1.0, |d| d.weight());
            return out.push(Action::AddToCounter {
                name,
                amount,
                ttl_us,
            });
        }
        let extra = std::mem::take(&mut c.unreported);
        if self.settings.peer_messages {
            let (plan, width) = (c.plan as u8, c.width.min(65_535) as u16);
            let ask = Message::QuotaRequest {
                tag: customer,
                plan,
                width,
                wanted,
                extra,
            };
            out.push(Action::SendToPeer {
                to: c.owner,
                bytes: gossip::encode(&ask, MAX_MESSAGE_BYTES),
            });
        }
    }

    /// A held request's time to wait for an answer is over: it is decided without, or the keeper asked once more.
    pub(super) fn on_query_timeout(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(p) = self.requests.get(&id) else {
            return;
        };
        let (customer, wanted, left) = (
            p.customer,
            p.quota_units,
            p.deadline.saturating_sub(self.now),
        );
        let Some(c) = self
            .customers
            .get_mut(&customer)
            .filter(|c| c.waiting_requests.contains(&id))
        else {
            return;
        };
        c.queries_in_flight += 1;
        if self.settings.counter || c.queries_in_flight > 2 || left <= 2 * REPLY_MARGIN_US {
            return self.decide_waiting(customer, true, out);
        }
        self.send_quota_query(customer, wanted, out);
        out.push(Action::SetTimer {
            after_us: QUERY_TIMEOUT_US.min(left - REPLY_MARGIN_US),
            timer: Timer::Request(id),
        });
    }

    /// Tells what was used unasked or asked for in vain: in lumps while the store is full, else at once.
    pub(super) fn report_usage(&mut self, customer: u32, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        let q = &self.quotas[c.plan];
        c.begin_epoch_if_due(q, self.counter_clock.wall_clock(self.now));
        let rare = c.is_sparse(q);
        // What was asked for in a wide set and not used is missed by the others.
        let back = q.limits_concurrency || rare && c.unreported < 0.0;
        let stake = if rare {
            (1.5 - q.relative_cost).min(1.0)
        } else {
            1.0
        };
        let spared = if back {
            0.0
        } else {
            BURST_KEPT_FROM_REPORTS * stake
        };
        let lump = (REPORT_LUMP_SHARE * q.capacity / f64::from(c.width)).max(0.01);
        let least = if c.level < q.capacity / 2.0 {
            0.01
        } else {
            lump
        };
        if (c.unreported + c.reserved()).abs() < least || c.is_owner || c.queries_in_flight != 0 {
            return;
        }
        if !self.settings.counter || self.counter_limiter.try_take(self.now, spared) {
            self.send_quota_query(customer, 0.0, out);
        } else {
            self.schedule_usage_report(customer, out);
        }
    }

    /// Guards against use that stays untold where a customer comes rarely: of many gateways each would keep some.
    fn schedule_usage_report(&mut self, customer: u32, out: &mut Vec<Action>) {
        let rare = |c: &&mut Customer| !c.report_scheduled && c.is_sparse(&self.quotas[c.plan]);
        if let Some(c) = self.customers.get_mut(&customer).filter(rare) {
            c.report_scheduled = true;
            let pause_us = if c.reserved_units > 0.0 {
                RESERVATION_US as f64
            } else {
                self.counter_limiter.refill_us()
            };
            let after_us = ((1.0 + random_unit(&mut self.rng)) * pause_us) as Micros;
            out.push(Action::SetTimer {
                after_us,
                timer: Timer::Customer(customer),
            });
        }
    }

    /// Places kept for the next requests of a customer are looked at a while from now: what nobody needs goes back.
    pub(super) fn schedule_permit_review(&self, customer: u32, out: &mut Vec<Action>) {
        let after_us = (self.counter_limiter.mean_reply_us() * SPARE_PERMIT_REPLIES) as Micros;
        out.push(Action::SetTimer {
            after_us,
            timer: Timer::Customer(customer),
        });
    }

    pub(super) fn on_customer_timer(&mut self, customer: u32, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        c.report_scheduled = false;
        c.release_expired_reservation(self.now);
        if c.release_unneeded_permits() {
            self.schedule_permit_review(customer, out);
        }
        self.report_usage(customer, out);
    }

    /// The held requests are decided. What is untold goes out with the next event of the customer if `told` is false:
    /// a call that just failed would fail again.
    fn decide_waiting(&mut self, customer: u32, told: bool, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        // Until all are decided nothing is told: what is asked in vain for one may do for the next.
        c.queries_in_flight = 1;
        let held = std::mem::take(&mut c.waiting_requests);
        if c.is_synced_now(self.now) && !held.is_empty() {
            let (plan, room) = (c.plan, c.level >= 1.0);
            self.record_query_result(plan, room);
        }
        held.into_iter().for_each(|id| self.decide(id, true, out));
        if let Some(c) = self.customers.get_mut(&customer) {
            c.queries_in_flight = 0;
        }
        if told {
            self.report_usage(customer, out);
        }
        if !told
            || self
                .customers
                .get(&customer)
                .is_some_and(|c| c.reserved_units > 0.0)
        {
            self.schedule_usage_report(customer, out);
        }
    }

    /// What does not parse is dropped whole; nothing heard ever touches a ceiling slice.
    pub(super) fn on_peer_message(&mut self, from: u32, bytes: &[u8], out: &mut Vec<Action>) {
        let (now, me) = (self.now, self.settings.me);
        match gossip::decode(bytes).filter(|_| from != me && from < self.settings.gateways) {
            Some(Message::CellReports(cells)) => self.peer_reports.record_cell_reports(now, cells),
            Some(Message::QuotaRequest {
                tag,
                plan,
                width,
                wanted,
                extra,
            }) => {
                let (plan, width) = (
                    usize::from(plan),
                    u32::from(width).clamp(1, self.settings.gateways),
                );
                let Some(&q) = self.quotas.get(plan).filter(|_| !self.settings.counter) else {
                    return;
                };
                let lapse =
                    now + (PERMIT_GRANT_ATTEMPTS * self.server_latency.attempt_s * 1e6) as Micros;
                let Some(c) = self
                    .customer_state(tag, plan, width, me, 0)
                    .filter(|c| c.owner == me)
                else {
                    return;
                };
                (c.is_owner, c.active_at) = (true, now);
                c.demand
                    .add(now, DEMAND_TAU_US, wanted.max(0.0) + extra.max(0.0));
                match q.limits_concurrency {
                    true => c.update_granted_permits(&q, extra, lapse),
                    false => c.level = (c.level - extra).clamp(-q.capacity, q.capacity),
                }
                c.refill(&q, now);
                let (level, granted) = (
                    c.level,
                    if c.level >= wanted {
                        wanted.max(0.0)
                    } else {
                        0.0
                    },
                );
                c.level -= granted;
                c.update_granted_permits(
                    &q,
                    if q.limits_concurrency { granted } else { 0.0 },
                    lapse,
                );
                let demand = c.demand.per_s(now, DEMAND_TAU_US);
                let bytes = gossip::encode(
                    &Message::QuotaGrant {
                        tag,
                        granted,
                        level,
                        demand,
                    },
                    MAX_MESSAGE_BYTES,
                );
                out.extend((wanted > 0.0).then_some(Action::SendToPeer { to: from, bytes }));
            }
            Some(Message::QuotaGrant {
                tag,
                granted,
                level,
                demand,
            }) => {
                let Some(c) = self.customers.get_mut(&tag).filter(|c| c.owner == from) else {
                    return;
                };
                let q = self.quotas[c.plan];
                c.unreported -= granted;
                (c.level, c.synced_at, c.refilled_at) =
                    (level.clamp(-q.capacity, q.capacity), Some(now), now);
                let mine = c.demand.at(now, DEMAND_TAU_US);
                c.others_demand =
                    DecayingSum::new(now, (demand * DEMAND_TAU_US / 1e6 - mine).max(0.0));
                self.decide_waiting(tag, true, out);
            }
            None => {}
        }
    }

    pub(super) fn on_counter_reply(
        &mut self,
        name: &str,
        status: CompletionStatus,
        total: f64,
        out: &mut Vec<Action>,
    ) {
        let Some(answer) = self.counter_calls.match_reply(name, total) else {
            return;
        };
        let CounterCall {
            customer,
            amount,
            wanted_units: wanted,
            sent_at: sent,
            ..
        } = answer.call;
        // No connection, or one that broke, says nothing of how busy the counter is; an answer without a number does.
        let answered = matches!(
            status,
            CompletionStatus::Served | CompletionStatus::ServerError
        );
        if !matches!(
            status,
            CompletionStatus::ConnectionLost | CompletionStatus::NoConnection
        ) {
            self.counter_limiter.record_reply(self.now, sent, answered);
        }
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        let q = self.quotas[c.plan];
        out.extend(
            self.counter_monitor
                .record_call(self.now, answered)
                .map(Action::Log),
        );
        // Guards against places that two gateways see free at once, and refusals for want of units that nobody asked for, as
        // the call only read or others have come to wait since: all that wait are in the count before they are decided.
        let mut lacks = None;
        if status != CompletionStatus::Served || !total.is_finite() {
            c.record_missing_total(&q, amount, status.never_ran(), self.now);
        } else if c.permit_digits.is_some() || c.counts_in_epochs(&q) {
            c.sync_permits(&q, &answer, self.now);
            c.set_spare_permits(c.permits.spare);
            let places = c.level.min(c.waiting_requests.len() as f64);
            let counts = c.permit_digits.is_some_and(|d| d.is_member());
            lacks = (counts && places + c.unreported >= 1.0).then_some(places);
        } else {
            let part = c.rate_share(&q, self.now);
            let (evidence, held) =
                c.sync_units(&q, part, &answer, self.now, || random_unit(&mut self.rng));
            // What the count holds for this gateway is its own, as far as there was room for it.
            c.reserved_units = if c.has_separate_ceiling(&q) {
                held
            } else {
                0.0
            };
            out.extend(
                evidence
                    .and_then(|e| self.counter_monitor.record_evidence(self.now, e, name))
                    .map(Action::Log),
            );
            let draws = |id| self.requests.get(id).map_or(0.0, |p| p.quota_units);
            let need: f64 = c.waiting_requests.iter().map(draws).sum();
            let asks = c.has_separate_ceiling(&q)
                && wanted < need
                && need > c.reserved_units
                && c.level >= need;
            lacks = asks.then_some(need - c.reserved_units);
        }
        if let Some(lacks) = lacks.filter(|_| self.counter_limiter.try_take(self.now, 0.0)) {
            return self.send_quota_query(customer, lacks, out);
        }
        self.decide_waiting(customer, !status.never_ran(), out);
    }
}
