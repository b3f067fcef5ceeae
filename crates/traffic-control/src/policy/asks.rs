//! Whom to ask or tell what a customer used, and when: the counter within the calls that it bears, or the one of its
//! gateways that adds up for all.
//! Guards: the counter is not asked for more than it bears, what decides a request goes before what only tells, and no
//! use stays untold.

use super::quota::LENT_US;
use super::{chance, MARGIN_US};
use crate::count::Call;
use crate::customer::{Customer, RATE_TAU_US};
use crate::decayed::Decayed;
use crate::gateway::{Cell, Gateway};
use crate::gossip::{self, CellNews, Message};
use crate::interface::{Action, CompletionStatus, Micros, RequestId, Timer};
use rand_pcg::rand_core::RngCore;

const NEWS_TO: u32 = 2; // peers told the fractions and rates an interval: a sample, whatever the fleet's size
const ASK_US: Micros = 100_000; // µs; a keeper's answer is awaited this long, twice: short beside any aim
const LEASE: f64 = 3.0; // mean attempts that a place given out is kept for, in case its return is lost
const MESSAGE_BYTES: usize = 256; // bytes; longest peer message (the wire's)
const POST_SHARE: f64 = 0.25; // of the burst slice: use is posted in lumps while the store is half full
const POSTS_SPARE: f64 = 0.5; // of the calls saved up that telling of use leaves to asks and places
const HOLD: f64 = 3.0; // usual times of a call for which a place is kept: giving it back and asking again take two
const BUSY: f64 = 1.4; // times the quota a customer uses of whom a no is more likely than not

impl Gateway {
    pub(super) fn tell_news(&mut self, out: &mut Vec<Action>) {
        let cell = |c: &Cell| CellNews {
            fraction: c.fraction,
            admitted: c.admitted_rate,
        };
        let bytes = gossip::encode(
            &Message::News(self.cells.iter().map(cell).collect()),
            MESSAGE_BYTES,
        );
        let others = if self.set.peer_messages {
            self.set.gateways - 1
        } else {
            0
        };
        let first = self.rng.next_u32() % others.max(1);
        let to = |k| (self.set.me + 1 + (first + k) % others) % self.set.gateways;
        out.extend((0..NEWS_TO.min(others)).map(|k| Action::SendToPeer {
            to: to(k),
            bytes: bytes.clone(),
        }));
    }

    /// Exception to the design: one of many gateways knows nothing of a customer, so a request waits some ms
    /// for the counter, or for the one of its gateways that adds up for all. False: nobody can be asked now.
    pub(super) fn ask(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(p) = self.requests.get(&id) else {
            return false;
        };
        let (customer, units, left) = (p.customer, p.draws, p.deadline.saturating_sub(self.now));
        let Some(c) = self.customers.get(&customer) else {
            return false;
        };
        // A client about to leave cannot wait for an answer.
        if left < 4 * MARGIN_US || !(self.set.counter || self.set.peer_messages) {
            return false;
        }
        // Where a "no" is likely it only reads: what is not added need not be taken back.
        let q = &self.quotas[c.plan];
        let rare = c.rare(q);
        let busy = rare && !c.short(q, units) && c.ledger.busy(self.now) > BUSY;
        let unlikely = self.set.counter && (c.heard(self.now) && c.level < units || busy);
        let spared = if rare { 1.0 - q.stake } else { 0.0 };
        if c.asking == 0 {
            if self.set.counter && (spared >= 1.0 || !self.calls.take(self.now, spared)) {
                return false;
            }
            let wanted = if unlikely {
                0.0
            } else {
                units + c.ahead(q, self.now)
            };
            self.send_ask(customer, wanted, out);
        }
        let Some(c) = self.customers.get_mut(&customer) else {
            return false;
        };
        c.held.push(id);
        c.asking = c.asking.max(1);
        let after_us = ASK_US.min((left - MARGIN_US) / 2);
        out.push(Action::SetTimer {
            after_us,
            timer: Timer::Request(id),
        });
        true
    }

    fn send_ask(&mut self, customer: u32, wanted: f64, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        let q = &self.quotas[c.plan];
        c.turn(q, self.count_clock.wall(self.now));
        if self.set.counter {
            let life = self.count_clock.life(self.now);
            let (name, ttl_us) = c.count(q, self.count_clock.wall(self.now), life);
            let amount = c.called(wanted);
            self.counting.sent(
                &name,
                Call {
                    customer,
                    amount,
                    wanted,
                    sent: self.now,
                    life,
                },
            );
            let amount = amount * c.digits.map_or(1.0, |d| d.weight());
            return out.push(Action::AddToCounter {
                name,
                amount,
                ttl_us,
            });
        }
        let extra = std::mem::take(&mut c.unposted);
        if self.set.peer_messages {
            let (plan, width) = (c.plan as u8, c.width.min(65_535) as u16);
            let ask = Message::Ask {
                tag: customer,
                plan,
                width,
                wanted,
                extra,
            };
            out.push(Action::SendToPeer {
                to: c.keeper,
                bytes: gossip::encode(&ask, MESSAGE_BYTES),
            });
        }
    }

    /// A held request's time to wait for an answer is over: it is decided without, or the keeper asked once more.
    pub(super) fn unanswered(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(p) = self.requests.get(&id) else {
            return;
        };
        let (customer, wanted, left) = (p.customer, p.draws, p.deadline.saturating_sub(self.now));
        let Some(c) = self
            .customers
            .get_mut(&customer)
            .filter(|c| c.held.contains(&id))
        else {
            return;
        };
        c.asking += 1;
        if self.set.counter || c.asking > 2 || left <= 2 * MARGIN_US {
            return self.answered(customer, true, out);
        }
        self.send_ask(customer, wanted, out);
        out.push(Action::SetTimer {
            after_us: ASK_US.min(left - MARGIN_US),
            timer: Timer::Request(id),
        });
    }

    /// Tells what was used unasked or asked for in vain: in lumps while the store is full, else at once.
    pub(super) fn post(&mut self, customer: u32, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        let q = &self.quotas[c.plan];
        c.turn(q, self.count_clock.wall(self.now));
        let rare = c.rare(q);
        // What was asked for in a wide set and not used is missed by the others.
        let back = q.places || rare && c.unposted < 0.0;
        let stake = if rare { (1.5 - q.stake).min(1.0) } else { 1.0 };
        let spared = if back { 0.0 } else { POSTS_SPARE * stake };
        let lump = (POST_SHARE * q.most / f64::from(c.width)).max(0.01);
        let least = if c.level < q.most / 2.0 { 0.01 } else { lump };
        if (c.unposted + c.kept_back()).abs() < least || c.kept || c.asking != 0 {
            return;
        }
        if !self.set.counter || self.calls.take(self.now, spared) {
            self.send_ask(customer, 0.0, out);
        } else {
            self.post_later(customer, out);
        }
    }

    /// Guards against use that stays untold where a customer comes rarely: of many gateways each would keep some.
    fn post_later(&mut self, customer: u32, out: &mut Vec<Action>) {
        let rare = |c: &&mut Customer| !c.later && c.rare(&self.quotas[c.plan]);
        if let Some(c) = self.customers.get_mut(&customer).filter(rare) {
            c.later = true;
            let pause_us = if c.credit > 0.0 {
                LENT_US as f64
            } else {
                self.calls.pause_us()
            };
            let after_us = ((1.0 + chance(&mut self.rng)) * pause_us) as Micros;
            out.push(Action::SetTimer {
                after_us,
                timer: Timer::Customer(customer),
            });
        }
    }

    /// Places kept for the next requests of a customer are looked at a while from now: what nobody needs goes back.
    pub(super) fn look_later(&self, customer: u32, out: &mut Vec<Action>) {
        let after_us = (self.calls.usual_us() * HOLD) as Micros;
        out.push(Action::SetTimer {
            after_us,
            timer: Timer::Customer(customer),
        });
    }

    pub(super) fn on_customer_timer(&mut self, customer: u32, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        c.later = false;
        c.lapse(self.now);
        if c.keep_less() {
            self.look_later(customer, out);
        }
        self.post(customer, out);
    }

    /// The held requests are decided. What is untold goes out with the next event of the customer if `told` is false:
    /// a call that just failed would fail again.
    fn answered(&mut self, customer: u32, told: bool, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        // Until all are decided nothing is told: what is asked in vain for one may do for the next.
        c.asking = 1;
        let held = std::mem::take(&mut c.held);
        if c.just_heard(self.now) && !held.is_empty() {
            let (plan, room) = (c.plan, c.level >= 1.0);
            self.found(plan, room);
        }
        held.into_iter().for_each(|id| self.decide(id, true, out));
        if let Some(c) = self.customers.get_mut(&customer) {
            c.asking = 0;
        }
        if told {
            self.post(customer, out);
        }
        if !told
            || self
                .customers
                .get(&customer)
                .is_some_and(|c| c.credit > 0.0)
        {
            self.post_later(customer, out);
        }
    }

    /// What does not parse is dropped whole; nothing heard ever touches a ceiling slice.
    pub(super) fn hear_peer(&mut self, from: u32, bytes: &[u8], out: &mut Vec<Action>) {
        let (now, me) = (self.now, self.set.me);
        match gossip::decode(bytes).filter(|_| from != me && from < self.set.gateways) {
            Some(Message::News(cells)) => self.peers.news(now, cells),
            Some(Message::Ask {
                tag,
                plan,
                width,
                wanted,
                extra,
            }) => {
                let (plan, width) = (
                    usize::from(plan),
                    u32::from(width).clamp(1, self.set.gateways),
                );
                let Some(&q) = self.quotas.get(plan).filter(|_| !self.set.counter) else {
                    return;
                };
                let lapse = now + (LEASE * self.pace.attempt_s * 1e6) as Micros;
                let Some(c) = self
                    .customer(tag, plan, width, me, 0)
                    .filter(|c| c.keeper == me)
                else {
                    return;
                };
                (c.kept, c.active_at) = (true, now);
                c.demand
                    .add(now, RATE_TAU_US, wanted.max(0.0) + extra.max(0.0));
                match q.places {
                    true => c.lease(&q, extra, lapse),
                    false => c.level = (c.level - extra).clamp(-q.most, q.most),
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
                c.lease(&q, if q.places { granted } else { 0.0 }, lapse);
                let demand = c.demand.per_s(now, RATE_TAU_US);
                let bytes = gossip::encode(
                    &Message::Answer {
                        tag,
                        granted,
                        level,
                        demand,
                    },
                    MESSAGE_BYTES,
                );
                out.extend((wanted > 0.0).then_some(Action::SendToPeer { to: from, bytes }));
            }
            Some(Message::Answer {
                tag,
                granted,
                level,
                demand,
            }) => {
                let Some(c) = self.customers.get_mut(&tag).filter(|c| c.keeper == from) else {
                    return;
                };
                let q = self.quotas[c.plan];
                c.unposted -= granted;
                (c.level, c.heard_at, c.at) = (level.clamp(-q.most, q.most), Some(now), now);
                let mine = c.demand.at(now, RATE_TAU_US);
                c.others = Decayed::new(now, (demand * RATE_TAU_US / 1e6 - mine).max(0.0));
                self.answered(tag, true, out);
            }
            None => {}
        }
    }

    pub(super) fn on_counted(
        &mut self,
        name: &str,
        status: CompletionStatus,
        total: f64,
        out: &mut Vec<Action>,
    ) {
        let Some(answer) = self.counting.answered(name, total) else {
            return;
        };
        let Call {
            customer,
            amount,
            wanted,
            sent,
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
            self.calls.learn(self.now, sent, answered);
        }
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        let q = self.quotas[c.plan];
        out.extend(self.watch.answered(self.now, answered).map(Action::Log));
        // Guards against places that two gateways see free at once, and refusals for want of units that nobody asked for, as
        // the call only read or others have come to wait since: all that wait are in the count before they are decided.
        let mut lacks = None;
        if status != CompletionStatus::Served || !total.is_finite() {
            c.no_total(&q, amount, status.never_ran(), self.now);
        } else if c.digits.is_some() || c.by_epochs(&q) {
            c.hear_places(&q, &answer, self.now);
            c.keep(c.places.spare);
            let places = c.level.min(c.held.len() as f64);
            let counts = c.digits.is_some_and(|d| d.counts());
            lacks = (counts && places + c.unposted >= 1.0).then_some(places);
        } else {
            let part = c.part(&q, self.now);
            let (evidence, held) =
                c.hear_units(&q, part, &answer, self.now, || chance(&mut self.rng));
            // What the count holds for this gateway is its own, as far as there was room for it.
            c.credit = if c.apart(&q) { held } else { 0.0 };
            out.extend(
                evidence
                    .and_then(|e| self.watch.doubt(self.now, e, name))
                    .map(Action::Log),
            );
            let draws = |id| self.requests.get(id).map_or(0.0, |p| p.draws);
            let need: f64 = c.held.iter().map(draws).sum();
            let asks = c.apart(&q) && wanted < need && need > c.credit && c.level >= need;
            lacks = asks.then_some(need - c.credit);
        }
        if let Some(lacks) = lacks.filter(|_| self.calls.take(self.now, 0.0)) {
            return self.send_ask(customer, lacks, out);
        }
        self.answered(customer, !status.never_ran(), out);
    }
}
