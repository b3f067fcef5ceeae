//! A request's way: refused, held, sent, sent again, answered. The bucket comes first, then its cell's fraction, then the
//! choice of a server; an outcome ends it or is followed by another attempt.
//! Guards: no request is lost or answered twice, no effect happens twice, and further attempts stay a small share of load.

use super::quota::excess_pays;
use super::{random_unit, REPLY_MARGIN_US};
use crate::gateway::Gateway;
use crate::gossip;
use crate::interface::{
    Action, AttemptOutcome, CompletionStatus, Effect, LeaseState, Micros, Request, RequestId,
    Scope, Settings, Timer, UnservedReason, GONE_SLACK_US, HELD_UP_US,
};
use crate::ledger::CounterEvidence;
use crate::pending_request::{Attempt, PendingRequest};
use crate::server::Server;

const MIN_RETRY_AFTER_US: f64 = 100_000.0; // µs; shortest retry-after: less is no rest for anyone
const ATTEMPT_TIMEOUT_MULTIPLE: f64 = 4.0; // times the usual time of an attempt that one may take while another could follow...
const MIN_ATTEMPT_TIMEOUT_SHARE: f64 = 0.4; // ...and of the time left at least: most late answers are slow work, not silence
const NO_LEASE_RETRY_AFTER_US: f64 = 1_000_000.0; // µs; where no policy is known to hold nothing passes for about a lease
const MAX_WAIT_PERCENT: Micros = 45; // of a request's time, for which it may wait for a server

/// Until when a repeat of this attempt may be written: its last byte comes while servers remember the key, also where the
/// gateway is held up on the way.
fn remembered_until(attempt: &Attempt, window_us: Micros) -> Micros {
    attempt.sent_at + window_us.saturating_sub(HELD_UP_US)
}

impl PendingRequest {
    /// Attempts that may have run, or may yet.
    fn possibly_run_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| a.may_have_run != Some(false))
    }

    /// The effect rule: may a further attempt go to this server now?
    pub(super) fn may_send(&self, set: &Settings, s: &Server, now: Micros) -> bool {
        let over = self.closed
            || self.streaming
            || (!set.parallel_attempts && self.has_attempt_in_flight());
        let mut ran = self.possibly_run_attempts();
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
    fn begin_within_us(&self, set: &Settings, now: Micros) -> Micros {
        let left = self.deadline.saturating_sub(now);
        let useful = left - (HELD_UP_US - GONE_SLACK_US).min(left / 4);
        let Effect::Keyed { window_us, .. } = set.classes[self.class].effect else {
            return useful;
        };
        self.possibly_run_attempts()
            .map(|a| remembered_until(a, window_us).saturating_sub(now))
            .fold(useful, Micros::min)
    }

    fn may_reject(&self, set: &Settings) -> bool {
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
        let (now, set) = (self.now, &self.settings);
        self.fleet.refresh_totals(&set.slow_start, now);
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
        let tag = gossip::customer_tag(&r.customer.0);
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
            .saturating_add(r.remaining_us / 100 * MAX_WAIT_PERCENT)
            .min(deadline - REPLY_MARGIN_US.min(deadline));
        self.cells[cell].arrivals += 1.0;
        self.server_latency.classes[class].record_request(units);
        let too_many = never(UnservedReason::TooManyCustomers);
        let Some(c) = self.customer_state(tag, plan, width, keeper, place) else {
            return out.push(too_many);
        };
        c.record_demand(now, units);
        let (pool, pin, lower) = (r.pool, r.sticky_server, r.low_priority);
        let of = PendingRequest {
            class,
            cell,
            customer: tag,
            units,
            quota_units: draws,
            pool,
            sticky_server: pin,
            low_priority: lower,
            ..PendingRequest::default()
        };
        self.requests.insert(
            r.id,
            PendingRequest {
                deadline,
                send_deadline: unsent_by,
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
        if self.lease_state == LeaseState::Missing {
            return self.finish(id, NO_LEASE_RETRY_AFTER_US, UnservedReason::NoLease, out);
        }
        let (now, class, customer, units, lower) =
            (self.now, p.class, p.customer, p.quota_units, p.low_priority);
        let (fraction, plan) = (
            self.cells[p.cell].fraction,
            p.cell % self.settings.plans.len(),
        );
        let q = self.quotas[plan];
        let Some(c) = self.customers.get_mut(&customer) else {
            return self.finish(id, 0.0, UnservedReason::TooManyCustomers, out);
        };
        self.peer_reports
            .update_customer(now, &self.settings, &q, c);
        c.refill(&q, now);
        let fill = if q.limits_concurrency {
            0.0
        } else {
            q.rate_per_s * c.rate_share(&q, now)
        };
        let wait_us = if fill > 0.0 {
            (units - c.level).max(0.0) / fill * 1e6
        } else {
            0.0
        };
        // Beyond the quota only what earns well is passed on, and only with servers at ease, which one of many gateways
        // cannot see.
        let (rare, busy, price) = (
            c.is_sparse(&q),
            c.overuse_factor(&q, now),
            &self.settings.plans[plan],
        );
        let at_ease = !rare
            && fraction >= 1.0
            && self
                .server_latency
                .classes
                .iter()
                .all(|l| l.mean_us <= 2.0 * l.lowest_us);
        let (excess, over) = (at_ease && excess_pays(price), price.overrun_cost);
        let word = c.estimate(&q, over, now, self.server_latency.attempt_s);
        let unknown = !word.is_synced && (rare || !q.limits_concurrency && c.is_undersized(&q));
        // Asked in vain, a slice under one request says nothing: what others were told does.
        let in_vain = unknown && rare && !c.is_synced_now(now);
        let known = match answered && !in_vain {
            _ if excess => Some(true),
            true => Some(word.likely_units >= units),
            false => word.says(units),
        };
        if known != Some(false) && !answered {
            let fraction = if lower { fraction * fraction } else { fraction };
            let lucky = fraction >= 1.0 || random_unit(&mut self.rng) < fraction;
            if !lucky || self.is_over_capacity(class, plan) {
                return self.finish(
                    id,
                    self.latency_bound_us(class),
                    UnservedReason::Pressure,
                    out,
                );
            }
            if known.is_none() && self.query_quota(id, out) {
                return;
            }
        }
        let blind = unknown && self.admits_blindly(plan, rare, over, busy);
        match known.unwrap_or(word.likely_units >= units || blind) {
            true => self.dispatch(id, out),
            false => {
                // What could not be told yet may be why it looks used up.
                self.report_usage(customer, out);
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
            (p.attempts.is_empty(), p.customer, p.cell, p.send_deadline);
        // What nothing was sent of costs the budget nothing.
        let retries = p.attempts.iter().any(|a| !a.not_sent);
        let spent = p.attempts.len() as u32 >= self.settings.max_attempts
            || retries && self.retry_tokens < 1.0;
        let may = if first {
            self.lease_state == LeaseState::Held
        } else {
            !spent && left > REPLY_MARGIN_US
        };
        let choice = if may { self.choose_server(id) } else { None };
        let late = now >= unsent_by;
        let given_up = match &choice {
            None if !first => Some(UnservedReason::AttemptsFailed),
            None => late.then_some(UnservedReason::NoServer),
            Some(_) => (first && !self.charge_quota(id, out)).then_some(UnservedReason::Ceiling),
        };
        if let Some(reason) = given_up {
            return self.finish(id, self.latency_bound_us(class), reason, out);
        }
        let Some((server, saved)) = choice else {
            // Nothing to send to: held until the list changes, answered while its client can still try elsewhere.
            let timer = Action::SetTimer {
                after_us: unsent_by - now,
                timer: Timer::Request(id),
            };
            return out.extend(self.waiting_requests.insert(id).then_some(timer));
        };
        self.cells[cell].admitted += f64::from(u8::from(first));
        let bound = self.attempt_timeout_us(id, left);
        let (earned, cost) = match (first, retries) {
            (true, _) => (self.settings.retries.ratio, 0.0),
            (false, true) => (0.0, 1.0),
            (false, false) => (0.0, 0.0),
        };
        self.retry_tokens =
            (self.retry_tokens + earned - cost).min(self.settings.retries.max_saved);
        self.waiting_requests.remove(&id);
        self.record_attempt(customer, true, out);
        self.report_usage(customer, out);
        let Some(group) = self.fleet.record_send(&server, saved, now) else {
            return;
        };
        let Some(p) = self.requests.get_mut(&id) else {
            return;
        };
        let begin_within_us = p.begin_within_us(&self.settings, now);
        let (may_have_run, not_sent) = (None, false);
        let attempt = Attempt {
            server: server.clone(),
            group,
            sent_at: now,
            may_have_run,
            not_sent,
            retry_cost: cost,
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
    fn attempt_timeout_us(&self, id: RequestId, left: Micros) -> Option<Micros> {
        let p = self.requests.get(&id)?;
        let l = &self.server_latency.classes[p.class];
        let usual = l.mean_us * (p.units / l.mean_units.max(1e-9)).max(1.0);
        let bound = (usual * ATTEMPT_TIMEOUT_MULTIPLE).max(left as f64 * MIN_ATTEMPT_TIMEOUT_SHARE)
            as Micros;
        let again =
            self.retry_tokens >= 1.0 && (p.attempts.len() as u32) + 1 < self.settings.max_attempts;
        let may = match self.settings.classes[p.class].effect {
            Effect::Repeatable => true,
            Effect::Keyed { .. } => self.fleet.ready_servers().nth(1).is_some(),
            Effect::Once => false,
        };
        (again
            && may
            && l.mean_us > 0.0
            && bound as f64 + usual + REPLY_MARGIN_US as f64 <= left as f64)
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
        let wait_us =
            (wait_us.max(MIN_RETRY_AFTER_US) as Micros).min(self.settings.max_retry_after_us);
        let refuse = Action::Reject {
            request: id,
            retry_after_us: wait_us,
            reason,
        };
        out.push(if p.may_reject(&self.settings) {
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
        self.waiting_requests.remove(&id);
        let Some(p) = self.requests.get_mut(&id) else {
            return;
        };
        let cancel = !p.closed && self.settings.cancel && !p.streaming;
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
        if !p.has_attempt_in_flight() {
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
        let refund = if a.not_sent { a.retry_cost } else { 0.0 };
        self.retry_tokens = (self.retry_tokens + refund).min(self.settings.retries.max_saved);
        let (class, server, customer, units) = (p.class, a.server.clone(), p.customer, p.units);
        self.record_attempt_end(&o, class, units, &server);
        self.record_attempt(customer, false, out);
        if let Some(c) = self.customers.get_mut(&customer) {
            c.settle_units(
                o.settled_units
                    .filter(|s| s.is_finite())
                    .map_or(0.0, |s| s - units),
            );
            let q = self.quotas[c.plan];
            let metered = o.metered_use.filter(|m| m.is_finite());
            metered
                .iter()
                .for_each(|&m| c.ledger.record_metered_quota_share(self.now, m));
            let units_per_s = metered
                .filter(|_| !q.limits_concurrency && !c.is_sparse(&q))
                .map(|m| m * q.rate_per_s);
            // What is passed on beyond a quota is no news to the counter.
            let counted = self.settings.counter && !excess_pays(&self.settings.plans[c.plan]);
            let more = units_per_s.is_some_and(|u| c.ledger.record_meter_reading(self.now, u));
            let told = (more && counted).then(|| {
                self.counter_monitor.record_evidence(
                    self.now,
                    CounterEvidence::Underreported,
                    &o.server.0,
                )
            });
            out.extend(told.flatten().map(Action::Log));
        }
        match self.requests.get(&o.request) {
            Some(p) if o.closed || p.closed => self.close(o.request, out),
            Some(p) if !p.has_attempt_in_flight() => self.dispatch(o.request, out),
            _ => {}
        }
        self.report_usage(customer, out);
    }

    /// An attempt begins or ends, and takes a place of its customer's or leaves it.
    fn record_attempt(&mut self, customer: u32, begins: bool, out: &mut Vec<Action>) {
        let wall = self.counter_clock.wall_clock(self.now);
        let Some(c) = self.customers.get_mut(&customer) else {
            return;
        };
        let spare = c.record_attempt(&self.quotas[c.plan], begins, self.now, wall);
        if spare.is_some_and(|spare| c.set_spare_permits(spare)) && !begins {
            self.schedule_permit_review(customer, out);
        }
    }

    pub(super) fn retry_waiting(&mut self, out: &mut Vec<Action>) {
        self.waiting_requests
            .clone()
            .into_iter()
            .for_each(|id| self.dispatch(id, out));
    }
}
