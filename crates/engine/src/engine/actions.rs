//! Performs the actions that traffic control returns.

use super::attempts::AttemptTimeLimits;
use super::{Engine, State, EVENT_TARGET};
use crate::ports::{CounterCall, Response};
use crate::timers::TimerKey;
use frosthatch_log::log_line;
use frosthatch_traffic_control::{Action, CompletionStatus, Event, Timer};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

impl Engine {
    /// Performs one action. Events that it causes immediately are queued in `state`.
    pub(super) fn perform_action(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                timeout_us,
                begin_within_us,
                pass_on_after_us,
            } => {
                let limits = AttemptTimeLimits {
                    timeout_us,
                    begin_within_us,
                    pass_on_after_us,
                };
                self.start_attempt(state, request, server, &limits);
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(state, request, attempt),
            Action::Reject {
                request,
                retry_after_us,
                reason,
            } => {
                let reason = reason.name();
                debug!(target: EVENT_TARGET, request = request.0, reason, "request.rejected");
                self.respond(state, request, |_| Response::Rejected {
                    retry_after: Duration::from_micros(retry_after_us),
                });
            }
            Action::Fail { request, reason } => {
                let reason = reason.name();
                debug!(target: EVENT_TARGET, request = request.0, reason, "request.failed");
                self.respond(state, request, |timed_out| Response::Failed { timed_out });
            }
            Action::SetTimer { after_us, timer } => {
                let due_at = Instant::now() + Duration::from_micros(after_us);
                self.set_timer(state, due_at, timer_key(timer));
            }
            Action::AddToCounter {
                name,
                amount,
                ttl_us,
            } => {
                let call = CounterCall {
                    name,
                    amount,
                    ttl_ms: (ttl_us / 1_000).max(1),
                };
                self.call_counter(state, call);
            }
            Action::ReportUsage { tag, units } => {
                if let Some(reporter) = &self.usage_reporter {
                    reporter.record_usage(tag, units);
                }
            }
            Action::Log(line) => log_line!("{line}"),
            // Nothing to do: discovery always watches the endpoint list, and gateways exchange use through the usage
            // reporter.
            Action::Subscribe | Action::SendToPeer { .. } => {}
        }
    }

    /// Queues a call to the shared counter; rejects the call if the queue is full or closed.
    fn call_counter(&self, state: &mut State, call: CounterCall) {
        let Err(error) = self.counter_calls.try_send(call) else {
            return;
        };
        // The queue is full or closed. The call was not sent, so traffic control can treat it like one that the counter
        // rejected.
        state.events.push_back(Event::CounterReply {
            name: error.into_inner().name,
            status: CompletionStatus::Rejected,
            total: 0.0,
        });
    }
}

fn timer_key(timer: Timer) -> TimerKey {
    match timer {
        Timer::Interval => TimerKey::Interval,
        Timer::Request(id) => TimerKey::Request(id.0),
        Timer::Customer(tag) => TimerKey::Customer(tag),
    }
}
