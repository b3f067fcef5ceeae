//! Every decision of a gateway, a file a job: what may pass of a quota (`quota`), whom to ask (`asks`), what is refused
//! while servers are pressed (`fractions`), which server (`choice`), a request's way through these (`attempts`), and under what all this
//! holds (`terms`).
//! Here: events in, actions out. What is known, and its arithmetic, stands beside this folder.

mod admission_fractions;
mod attempts;
mod counter_queries;
mod policy_terms;
mod quota;
mod server_choice;
#[cfg(test)]
mod tests;

use crate::customer::Customer;
use crate::gateway::Gateway;
use crate::interface::{Action, Event, ListKind, Micros, Timer, UnservedReason};
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

const INTERVAL_US: Micros = 1_000_000; // µs; control interval: tens of answers, short beside troubles
const INTERVAL_S: f64 = INTERVAL_US as f64 / 1e6; // s
const CUSTOMER_IDLE_TIMEOUT_US: Micros = 30_000_000; // µs; an idle customer is forgotten: a store of seconds is full again
const MAX_CUSTOMERS: usize = 24_576; // remembered at most, about 10 MB; others are refused until some age out
const REPLY_MARGIN_US: Micros = 20_000; // µs before its client leaves a held request is answered: several ticks

/// From 0 to 1.
fn random_unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

impl Gateway {
    /// Takes one event at clock `now` and appends what to do to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            out.push(Action::SetTimer {
                after_us: INTERVAL_US,
                timer: Timer::Interval,
            });
            out.extend(self.settings.list_on_request.then_some(Action::Subscribe));
        }
        self.end_transition_if_due();
        match event {
            Event::PolicyChanged(terms) => self.on_policy_changed(terms),
            Event::LeaseStateChanged(standing) => self.on_lease_state(standing, out),
            Event::Servers { kind, entries } => {
                let ask = kind == ListKind::Error && self.settings.list_on_request;
                out.extend(ask.then_some(Action::Subscribe));
                let rng = &mut self.rng;
                self.fleet
                    .apply_list(kind, entries, self.now, || random_unit(rng));
                self.assign_servers();
                self.retry_waiting(out);
            }
            Event::Request(r) => self.on_request(r, out),
            Event::Streaming(id) => drop(self.requests.get_mut(&id).map(|p| p.streaming = true)),
            Event::Outcome(o) => self.on_outcome(o, out),
            Event::ClientGone(id) => self.close(id, out),
            Event::Timer(Timer::Interval) => self.on_interval(out),
            Event::Timer(Timer::Customer(tag)) => self.on_customer_timer(tag, out),
            Event::Timer(Timer::Request(id)) if self.waiting_requests.contains(&id) => {
                self.finish(id, 0.0, UnservedReason::NoServer, out)
            }
            Event::Timer(Timer::Request(id)) => self.on_query_timeout(id, out),
            Event::Peer { from, bytes } => self.on_peer_message(from, &bytes, out),
            Event::Gateways(gateways) => {
                self.fleet.set_gateways(&gateways);
                self.assign_servers();
            }
            Event::HealthReports {
                from,
                reports: words,
            } => self.fleet.record_health_reports(from, words, self.now),
            Event::WallClock { ahead_us } => self.counter_clock.set_wall_offset(self.now, ahead_us),
            Event::GatewaysAbsent(gateways) => {
                self.peer_reports.absent_gateways = gateways.into_iter().collect()
            }
            Event::UsageReported { heard, uses, past } => {
                self.on_usage_reported(&heard, &uses, &past)
            }
            Event::CounterReply {
                name,
                status,
                total,
            } => self.on_counter_reply(&name, status, total, out),
        }
    }

    fn on_interval(&mut self, out: &mut Vec<Action>) {
        self.counter_limiter.end_interval();
        self.fleet.update_outliers(self.now);
        out.extend(self.update_fractions().map(Action::Log));
        let idle = |c: &Customer| self.now.saturating_sub(c.active_at) >= CUSTOMER_IDLE_TIMEOUT_US;
        self.customers
            .retain(|_, c| c.open_attempts > 0 || !idle(c));
        self.peer_reports
            .unknown_customers
            .retain(|_, u| self.now.saturating_sub(u.since) < CUSTOMER_IDLE_TIMEOUT_US);
        out.extend(
            self.counter_monitor
                .clear_expired_doubt(self.now)
                .map(Action::Log),
        );
        self.retry_waiting(out);
        self.send_cell_reports(out);
        out.push(Action::SetTimer {
            after_us: INTERVAL_US,
            timer: Timer::Interval,
        });
    }
}
