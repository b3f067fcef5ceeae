//! The event loop: feeds events to traffic control ([`Gateway`]) and carries out the actions that it returns.
//!
//! All of it runs on one thread, and no borrow of the state is held across an await.

mod actions;
mod attempts;
mod endpoints;
mod gateways;
mod requests;
mod timer_loop;

use crate::abandoned_requests::AbandonedRequests;
use crate::clock::Clock;
use crate::counters::RequestCounters;
use crate::ports::{CounterCall, EndpointObserver, PolicyLease, UsageReporter};
use crate::request_table::RequestTable;
use crate::start_times::StartTimes;
use crate::timers::{TimerKey, Timers};
use crate::violations::Violations;
use frosthatch_traffic_control::{Action, CompletionStatus, Event, Gateway, Micros};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

/// The `tracing` target of all structured events of the engine, whichever of its modules emits them.
const EVENT_TARGET: &str = module_path!();

/// The state that changes with each event.
struct State {
    gateway: Gateway,
    /// Events that are still to be fed to `gateway`.
    events: VecDeque<Event>,
    /// The buffer for actions, kept between events so that its allocation is reused.
    action_buffer: Vec<Action>,
    requests: RequestTable,
    abandoned_requests: AbandonedRequests,
    timers: Timers,
}

/// The event loop of one [`Gateway`], with the requests, timers and ports that the gateway acts on.
pub struct Engine {
    state: RefCell<State>,
    endpoint_observers: Vec<Rc<dyn EndpointObserver>>,
    counter_calls: mpsc::Sender<CounterCall>,
    usage_reporter: Option<Rc<dyn UsageReporter>>,
    policy_lease: RefCell<Option<Rc<dyn PolicyLease>>>,
    counters: Rc<RequestCounters>,
    violations: Rc<Violations>,
    /// Wakes the timer loop when a timer is set that is due before all others.
    earlier_timer_set: Notify,
    clock: Rc<Clock>,
    /// The latest answer deadline of any request; set when the process is about to end.
    answer_all_by: Cell<Option<Instant>>,
    start_times: RefCell<StartTimes>,
    /// How far the wall clock was ahead of the monotonic clock when traffic control was last notified of it.
    wall_clock_ahead_us: Cell<i64>,
    /// Whether discovery has delivered an endpoint list since the process started.
    has_current_list: Cell<bool>,
    /// Whether the endpoint list persisted by an earlier process names any server.
    has_persisted_endpoints: Cell<bool>,
}

impl Engine {
    /// Creates an engine without endpoints and requests.
    ///
    /// `endpoint_observers` are notified of each change of the endpoints, `counter_calls` receives the calls to the
    /// shared counter, and `usage_reporter` the admitted use, if gateways report it to each other.
    pub fn new(
        gateway: Gateway,
        endpoint_observers: Vec<Rc<dyn EndpointObserver>>,
        counter_calls: mpsc::Sender<CounterCall>,
        usage_reporter: Option<Rc<dyn UsageReporter>>,
        counters: Rc<RequestCounters>,
        clock: Rc<Clock>,
    ) -> Self {
        Engine {
            state: RefCell::new(State {
                gateway,
                events: VecDeque::new(),
                action_buffer: Vec::new(),
                requests: RequestTable::default(),
                abandoned_requests: AbandonedRequests::default(),
                timers: Timers::default(),
            }),
            endpoint_observers,
            counter_calls,
            usage_reporter,
            policy_lease: RefCell::default(),
            counters,
            violations: Rc::default(),
            earlier_timer_set: Notify::new(),
            clock,
            answer_all_by: Cell::new(None),
            start_times: RefCell::default(),
            wall_clock_ahead_us: Cell::new(0),
            has_current_list: Cell::new(false),
            has_persisted_endpoints: Cell::new(false),
        }
    }

    /// Sets the lease that determines under which policy requests may be admitted from now on.
    pub fn set_policy_lease(&self, lease: Rc<dyn PolicyLease>) {
        self.policy_lease.replace(Some(lease));
    }

    /// Processes the events that the policy lease has now, so that requests waiting for the lease proceed.
    pub fn refresh_policy_lease(self: &Rc<Self>) {
        self.process_events(None);
    }

    /// Returns the counters of responses and attempts.
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    /// Returns the counts of rule violations.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Returns the time of the wall clock, in microseconds since the Unix epoch.
    pub fn wall_clock_us(&self) -> Micros {
        self.clock.wall_clock_us()
    }

    /// Returns the monotonic time, in microseconds.
    pub fn now_us(&self) -> Micros {
        self.clock.now_us()
    }

    /// Processes the outcome of a call to the shared counter: the total of the count `name` after the call.
    pub fn counter_replied(self: &Rc<Self>, name: String, status: CompletionStatus, total: f64) {
        self.feed(Event::CounterReply {
            name,
            status,
            total,
        });
    }

    /// Processes one event, and all events that its actions cause immediately.
    fn feed(self: &Rc<Self>, event: Event) {
        self.process_events(Some(event));
    }

    /// Processes the events of the policy lease first, then `event`, and all events that their actions cause
    /// immediately.
    fn process_events(self: &Rc<Self>, event: Option<Event>) {
        let mut state = self.state.borrow_mut();
        if let Some(lease) = &*self.policy_lease.borrow() {
            lease.collect_events(self.now_us(), &mut state.events);
        }
        state.events.extend(event);
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.action_buffer);
            let now = self.now_us();
            state.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform_action(&mut state, action);
            }
            state.action_buffer = actions;
        }
    }

    /// Sets a timer, and wakes the timer loop if it is due before all others.
    fn set_timer(&self, state: &mut State, due_at: Instant, key: TimerKey) {
        if state.timers.set(due_at, key) {
            self.earlier_timer_set.notify_one();
        }
    }
}
