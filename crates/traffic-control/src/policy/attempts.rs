//! A request's way: refused, held, sent, sent again, answered. The bucket comes first, then its cell's fraction, then the
//! choice of a server; an outcome ends it or is followed by another attempt.
//! Guards: no request is lost or answered twice, no effect happens twice, and further attempts stay a small share of load.

use super::quota::earns_beyond;
use super::{chance, MARGIN_US};
use crate::gateway::Gateway;
use crate::gossip;
use crate::interface::{
    Action, AttemptOutcome, CompletionStatus, Effect, LeaseState, Micros, Request, RequestId,
    Scope, Settings, Timer, UnservedReason, GONE_SLACK_US, HELD_UP_US,
};
use crate::ledger::Evidence;
use crate::request::{Attempt, Pending};
use crate::server::Server;

const RETRY_AFTER_MIN_US: f64 = 100_000.0; // µs; shortest retry-after: less is no rest for anyone
const PATIENT: f64 = 4.0; // times the usual time of an attempt that one may take while another could follow...
const LEAST_BOUND: f64 = 0.4; // ...and of the time left at least: most late answers are slow work, not silence
const UNLEASED_US: f64 = 1_000_000.0; // µs; where no policy is known to hold nothing passes for about a lease
const UNSENT_PERCENT: Micros = 45; // of a request's time, for which it may wait for a server

/// Until when a repeat of this attempt may be written: its last byte comes while servers remember the key, also where the
/// gateway is held up on the way.
fn remembered_until(attempt: &Attempt, window_us: Micros) -> Micros {
    attempt.sent + window_us.saturating_sub(HELD_UP_US)
}

impl Pending {
    /// Attempts that may have run, or may yet.
    fn ran(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| a.may_have_run != Some(false))
    }

    /// The effect rule: may a further attempt go to this server now?
    pub(super) fn may_send(&self, set: &Settings, s: &Server, now: Micros) -> bool {
        let over = self.closed || self.streaming || (!set.parallel_attempts && self.out());
        let mut ran = self.ran();
        !over
            && match set.classes[self.class].effect {
                Effect::Repeatable => true,
                Effect::Once => ran.next().is_none(),
                Effect::Keyed { scope, window_us } => ran.all(|a| {
                    let same = match scope {
                        Scope::All => true,
                        Scope::Zone => a.group.0 == s.group.0,
                        Scope::Cell => a.group == s.group,
                    };
                    same && now < remembered_until(a, window_us)
                }),
            }
    }

    /// How long from now an attempt may begin: while its answer is of use, and where one that may have run went out before,
    /// while servers remember that one.
    fn begin_within(&self, set: &Settings, now: Micros) -> Micros {
        let left = self.deadline.saturating_sub(now);
        let useful = left - (HELD_UP_US - GONE_SLACK_US).min(left / 4);
        let Effect::Keyed { window_us, .. } = set.classes[self.class].effect else {
            return useful;
        };
        self.ran()
            .map(|a| remembered_until(a, window_us).saturating_sub(now))
            .fold(useful, Micros::min)
    }

    fn may_refuse(&self, set: &Settings) -> bool {
        let effect = set.classes[self.class].effect;
        let harmless = matches!(
            effect,
            Effect::Repeatable
                | Effect::Keyed {
                    scope: Scope::All,
                    ..
                }
        );
        harmless || self.attempts.iter().all(|a| a.may_have_run == Some(false))
    }
}

impl Gateway {
    pub(super) fn on_request(&mut self, r: Request, out: &mut Vec<Action>) {
        if self.requests.contains_key(&r.id) {
            return;
        }
        let (now, set) = (self.now, &self.set);
        self.fleet.look(&set.slow_start, now);
        let class = set.classes.iter().position(|c| c.name == r.class);
        let plan = set.plans.iter().position(|p| p.name == r.plan);
        let never = |reason| Action::Reject {
            request: r.id,
            retry_after_us: set.max_retry_after_us,
            reason,
        };
        let (Some(class), Some(plan)) = (class, plan) else {
            return out.push(never(UnservedReason::UnknownClass));
        };
        let units = if r.units.is_finite() {
            r.units.max(0.0)
        } else {
            set.max_units
        };
        let cell = class * set.plans.len() + plan;
        // What it takes of the quota: its units, or one place where only open attempts are capped.
        let draws = if set.plans[plan].rate > 0.0 {
            units
        } else {
            1.0
        };
        let tag = gossip::tag(&r.customer.0);
        let (all, width) = (set.gateways, r.gateway_count.clamp(1, set.gateways));
        let first = r.first_gateway % all;
        let (keeper, place) = ((first + tag % width) % all, (set.me + all - first) % all);
        // Where a late answer is worth nothing the aim ends it: unanswered attempts are no queue.
        let k = &set.classes[class];
        let useful = if k.late_weight > 0.0 {
            Micros::MAX
        } else {
            k.latency_objective_us
        };
        let deadline = now.saturating_add(r.remaining_us.min(useful));
        // An answer after half of its time costs more where nothing was sent: nobody can try elsewhere any more.
        let unsent_by = now
            .saturating_add(r.remaining_us / 100 * UNSENT_PERCENT)
            .min(deadline - MARGIN_US.min(deadline));
        self.cells[cell].arrivals += 1.0;
        self.pace.classes[class].came(units);
        let too_many = never(UnservedReason::TooManyCustomers);
        let Some(c) = self.customer(tag, plan, width, keeper, place) else {
            return out.push(too_many);
        };
        c.asks(now, units);
        let (pool, pin, lower) = (r.pool, r.sticky_server, r.low_priority);
        let of = Pending {
            class,
            cell,
            customer: tag,
            units,
            draws,
            pool,
            pin,
            lower,
            ..Pending::default()
        };
        self.requests.insert(
            r.id,
            Pending {
                deadline,
                unsent_by,
                ..of
            },
        );
        self.decide(r.id, false, out);
    }

    /// The bucket comes first, then the fraction. `answered`: an ask is over, by its answer or by silence.
    pub(super) fn decide(&mut self, id: RequestId, answered: bool, out: &mut Vec<Action>) {
        let Some(p) = self.requests.get(&id).filter(|p| !p.closed) else {
            return;
        };
        if self.standing == LeaseState::Missing {
            return self.finish(id, UNLEASED_US, UnservedReason::NoLease, out);
        }
        let (now, class, customer, units, lower) =
            (self.now, p.class, p.customer, p.draws, p.lower);
        let (fraction, plan) = (self.cells[p.cell].fraction, p.cell % self.set.plans.len());
        let q = self.quotas[plan];
        let Some(c) = self.customers.get_mut(&customer) else {
            return self.finish(id, 0.0, UnservedReason::TooManyCustomers, out);
        };
        self.peers.tell(now, &self.set, &q, c);
        c.refill(&q, now);
        let fill = if q.places {
            0.0
        } else {
            q.rate * c.part(&q, now)
        };
        let wait_us = if fill > 0.0 {
            (units - c.level).max(0.0) / fill * 1e6
        } else {
            0.0
        };
        // Beyond the quota only what earns well is passed on, and only with servers at ease, which one of many gateways
        // cannot see.
        let (rare, busy, price) = (c.rare(&q), c.busy(&q, now), &self.set.plans[plan]);
        let at_ease =
            !rare && fraction >= 1.0 && self.pace.classes.iter().all(|l| l.mean <= 2.0 * l.lowest);
        let (excess, over) = (at_ease && earns_beyond(price), price.overrun_cost);
        let word = c.word(&q, over, now, self.pace.attempt_s);
        let unknown = !word.heard && (rare || !q.places && c.thin(&q));
        // Asked in vain, a slice under one request says nothing: what others were told does.
        let in_vain = unknown && rare && !c.just_heard(now);
        let known = match answered && !in_vain {
            _ if excess => Some(true),
            true => Some(word.likely >= units),
            false => word.says(units),
        };
        if known != Some(false) && !answered {
            let fraction = if lower { fraction * fraction } else { fraction };
            let lucky = fraction >= 1.0 || chance(&mut self.rng) < fraction;
            if !lucky || self.crowded(class, plan) {
                return self.finish(id, self.bound(class), UnservedReason::Pressure, out);
            }
            if known.is_none() && self.ask(id, out) {
                return;
            }
        }
        let blind = unknown && self.blind(plan, rare, over, busy);
        match known.unwrap_or(word.likely >= units || blind) {
            true => self.dispatch(id, out),
            false => {
                // What could not be told yet may be why it looks used up.
                self.post(customer, out);
                self.finish(id, wait_us, UnservedReason::Quota, out);
            }
        }
    }

    /// Sends the request on if a server may have it; else holds it (first attempt) or answers it.
    fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(p) = self.requests.get(&id) else {
            return;
        };
        let (now, class, left) = (self.now, p.class, p.deadline.saturating_sub(self.now));
        let (first, customer, cell, unsent_by) =
            (p.attempts.is_empty(), p.customer, p.cell, p.unsent_by);
        // What nothing was sent of costs the budget nothing.
        let retries = p.attempts.iter().any(|a| !a.not_sent);
        let spent =
            p.attempts.len() as u32 >= self.set.max_attempts || retries && self.retry_tokens < 1.0;
        let may = if first {
            self.standing == LeaseState::Held
        } else {
            !spent && left > MARGIN_US
        };
        let choice = if may { self.choose(id) } else { None };
        let late = now >= unsent_by;
        let given_up = match &choice {
            None if !first => Some(UnservedReason::AttemptsFailed),
            None => late.then_some(UnservedReason::NoServer),
            Some(_) => (first && !self.draw(id, out)).then_some(UnservedReason::Ceiling),
        };
        if let Some(reason) = given_up {
            return self.finish(id, self.bound(class), reason, out);
        }
        let Some((server, saved)) = choice else {
            // Nothing to send to: held until the list changes, answered while its client can still try elsewhere.
            let timer = Action::SetTimer {
                after_us: unsent_by - now,
                timer: Timer::Request(id),
            };
            return out.extend(self.waiting.insert(id).then_some(timer));
        };
        self.cells[cell].admitted += f64::from(u8::from(first));
        let bound = self.attempt_bound(id, left);
        let (earned, cost) = match (first, retries) {
            (true, _) => (self.set.retries.ratio, 0.0),
            (false, true) => (0.0, 1.0),
            (false, false) => (0.0, 0.0),
        };
        self.retry_tokens = (self.retry_tokens + earned - cost).min(self.set.retries.max_saved);
        self.waiting.remove(&id);
        self.place(customer, true, out);
        self.post(customer, out);
        let Some(group) = self.fleet.sent(&server, saved, now) else {
            return;
        };
        let Some(p) = self.requests.get_mut(&id) else {
            return;
        };
        let begin_within_us = p.begin_within(&self.set, now);
        let (may_have_run, not_sent) = (None, false);
        let attempt = Attempt {
            server: server.clone(),
            group,
            sent: now,
            may_have_run,
            not_sent,
            cost,
        };
        p.attempts.push(attempt);
        let timeout_us = bound.unwrap_or(left);
        out.push(Action::Send {
            request: id,
            server,
            timeout_us,
            begin_within_us,
        });
    }

    /// Guards against silent servers: an attempt that takes much longer than is usual for its units ends while there
    /// is time for another, if there may be one elsewhere. None: it has all the time that is left.
    fn attempt_bound(&self, id: RequestId, left: Micros) -> Option<Micros> {
        let p = self.requests.get(&id)?;
        let l = &self.pace.classes[p.class];
        let usual = l.mean * (p.units / l.units.max(1e-9)).max(1.0);
        let bound = (usual * PATIENT).max(left as f64 * LEAST_BOUND) as Micros;
        let again =
            self.retry_tokens >= 1.0 && (p.attempts.len() as u32) + 1 < self.set.max_attempts;
        let may = match self.set.classes[p.class].effect {
            Effect::Repeatable => true,
            Effect::Keyed { .. } => self.fleet.ready().nth(1).is_some(),
            Effect::Once => false,
        };
        (again && may && l.mean > 0.0 && bound as f64 + usual + MARGIN_US as f64 <= left as f64)
            .then_some(bound)
    }

    /// The final answer: refused where the effect rule allows it, with a wait, else failed.
    pub(super) fn finish(
        &mut self,
        id: RequestId,
        wait_us: f64,
        reason: UnservedReason,
        out: &mut Vec<Action>,
    ) {
        let Some(p) = self.requests.get(&id).filter(|p| !p.closed) else {
            return;
        };
        let wait_us = (wait_us.max(RETRY_AFTER_MIN_US) as Micros).min(self.set.max_retry_after_us);
        let refuse = Action::Reject {
            request: id,
            retry_after_us: wait_us,
            reason,
        };
        out.push(if p.may_refuse(&self.set) {
            refuse
        } else {
            Action::Fail {
                request: id,
                reason,
            }
        });
        self.close(id, out);
    }

    /// The request is answered: nothing more is sent for it, and what is still out is called back.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.waiting.remove(&id);
        let Some(p) = self.requests.get_mut(&id) else {
            return;
        };
        let cancel = !p.closed && self.set.cancel && !p.streaming;
        let still_out = p
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| cancel && a.may_have_run.is_none());
        out.extend(still_out.map(|(n, _)| Action::Cancel {
            request: id,
            attempt: n as u32,
        }));
        p.closed = true;
        if !p.out() {
            self.requests.remove(&id);
        }
    }

    pub(super) fn on_outcome(&mut self, o: AttemptOutcome, out: &mut Vec<Action>) {
        let Some(p) = self.requests.get_mut(&o.request) else {
            return;
        };
        let a = p
            .attempts
            .get_mut(o.attempt as usize)
            .filter(|a| a.may_have_run.is_none());
        let Some(a) = a else { return };
        a.may_have_run = Some(!o.status.never_ran());
        a.not_sent = o.status == CompletionStatus::NotSent;
        let refund = if a.not_sent { a.cost } else { 0.0 };
        self.retry_tokens = (self.retry_tokens + refund).min(self.set.retries.max_saved);
        let (class, server, customer, units) = (p.class, a.server.clone(), p.customer, p.units);
        self.measure(&o, class, units, &server);
        self.place(customer, false, out);
        if let Some(c) = self.customers.get_mut(&customer) {
            c.settled(
                o.settled_units
                    .filter(|s| s.is_finite())
                    .map_or(0.0, |s| s - units),
            );
            let q = self.quotas[c.plan];
            let metered = o.metered_use.filter(|m| m.is_finite());
            metered.iter().for_each(|&m| c.ledger.seen(self.now, m));
            let units_per_s = metered
                .filter(|_| !q.places && !c.rare(&q))
                .map(|m| m * q.rate);
            // What is passed on beyond a quota is no news to the counter.
            let counted = self.set.counter && !earns_beyond(&self.set.plans[c.plan]);
            let more = units_per_s.is_some_and(|u| c.ledger.metered(self.now, u));
            let told = (more && counted)
                .then(|| self.watch.doubt(self.now, Evidence::LeavesOut, &o.server.0));
            out.extend(told.flatten().map(Action::Log));
        }
        match self.requests.get(&o.request) {
            Some(p) if o.closed || p.closed => self.close(o.request, out),
            Some(p) if !p.out() => self.dispatch(o.request, out),
            _ => {}
        }
        self.post(customer, out);
    }

    /// An attempt begins or ends, and takes a place of its customer's or leaves it.
    fn place(&mut self, customer: u32, begins: bool, out: &mut Vec<Action>) {
        let wall = self.count_clock.wall(self.now);
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        let spare = c.place(&self.quotas[c.plan], begins, self.now, wall);
        if spare.is_some_and(|spare| c.keep(spare)) && !begins {
            self.look_later(customer, out);
        }
    }

    pub(super) fn retry_waiting(&mut self, out: &mut Vec<Action>) {
        self.waiting
            .clone()
            .into_iter()
            .for_each(|id| self.dispatch(id, out));
    }
}
