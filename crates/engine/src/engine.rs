//! Feeds events to the decisions and carries out the actions that follow.
//!
//! Everything runs on one thread, and no borrow of the state is held across an await.

mod actions;
mod attempts;
mod endpoints;
mod gateways;
mod requests;
mod timer_loop;

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

/// The target of all structured events of the engine, whichever of its modules writes them.
const EVENT_TARGET: &str = module_path!();

/// What changes with each event.
struct State {
    gateway: Gateway,
    /// Events that wait to be fed to the decisions.
    events: VecDeque<Event>,
    /// Kept between events so that its memory is used again.
    action_buffer: Vec<Action>,
    requests: RequestTable,
    timers: Timers,
}

/// The event loop around one [`Gateway`].
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
    /// Set once the process is about to end: every request is answered by then.
    answer_all_by: Cell<Option<Instant>>,
    start_times: RefCell<StartTimes>,
    /// How far the wall clock was ahead of the monotonic one when the decisions were last informed.
    wall_clock_ahead_us: Cell<i64>,
    /// Whether discovery has delivered a list since the process started.
    has_current_list: Cell<bool>,
    /// Whether the list persisted by an earlier process names any server.
    has_persisted_endpoints: Cell<bool>,
}

impl Engine {
    /// An engine without endpoints and requests.
    ///
    /// `endpoint_observers` are informed of every change of the endpoints, `counter_calls` takes the calls to the shared
    /// counter, and `usage_reporter` the admitted use, where gateways report it to each other.
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

    /// Installs the lease that determines under which policy requests may be admitted from now on.
    pub fn set_policy_lease(&self, lease: Rc<dyn PolicyLease>) {
        self.policy_lease.replace(Some(lease));
    }

    /// Feeds what the policy lease has to say now, so that requests held for it proceed.
    pub fn refresh_policy_lease(self: &Rc<Self>) {
        self.process_events(None);
    }

    /// The counts of responses and attempts so far.
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    /// The violations of rules so far.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// The wall clock now, in microseconds since 1970.
    pub fn wall_clock_us(&self) -> Micros {
        self.clock.wall_clock_us()
    }

    /// The monotonic time, in microseconds.
    pub fn now_us(&self) -> Micros {
        self.clock.now_us()
    }

    /// Takes the outcome of a call to the shared counter.
    pub fn counter_replied(self: &Rc<Self>, name: String, status: CompletionStatus, total: f64) {
        self.feed(Event::CounterReply {
            name,
            status,
            total,
        });
    }

    /// Feeds one event and processes all that follow from it at once.
    fn feed(self: &Rc<Self>, event: Event) {
        self.process_events(Some(event));
    }

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
                self.carry_out(&mut state, action);
            }
            state.action_buffer = actions;
        }
    }

    fn set_timer(&self, state: &mut State, due_at: Instant, key: TimerKey) {
        if state.timers.set(due_at, key) {
            self.earlier_timer_set.notify_one();
        }
    }
}
