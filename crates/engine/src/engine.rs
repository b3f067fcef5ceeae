//! Owns the one [`Gateway`] with its clock, its timers and the table of requests: feeds it events and carries out
//! its actions. Everything runs on one thread and nothing is held across an await.

use crate::clock::Clock;
use crate::counters::RequestCounters;
use crate::ports::{
    AttemptResult, CounterCall, DuplicateRequest, Endpoint, EndpointObserver, EndpointState,
    IncomingRequest, Payload, PolicyLease, Response, UsageReporter,
};
use crate::rules::{AttemptPermit, ClientPresence, Rule, Violations};
use crate::starts::{ServerStarts, Told};
use crate::timers::{Due, Timers};
use frosthatch_log::log_line;
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, Health, ListKind, Micros, RequestId,
    ServerEntry, ServerId, Timer,
};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};
use tracing::debug;

/// What the decisions may use of a client's time ends this long before the client leaves: the way there and a late
/// timer come off.
const MARGIN: Duration = Duration::from_millis(12);
/// Whatever happens, the client has its answer this long before it leaves.
const BACKSTOP: Duration = Duration::from_millis(6);
/// A fresh list is awaited this long before the one from before has to do.
const LIST_WAIT: Duration = Duration::from_secs(1);

/// The wall clock is adjusted slowly all the time; what is more than this since it was last looked at is a step.
const WALL_CLOCK_DRIFT_US: u64 = 20_000;

struct Held {
    class: usize,
    answer: Option<oneshot::Sender<Response>>,
    /// Once nobody waits any more nothing begins.
    waiting: ClientPresence,
    answer_by: Instant,
    gone_at: Instant,
    payload: Box<dyn Payload>,
    /// By number; those that ended are none.
    attempts: Vec<Option<Out>>,
    /// An attempt ended without an answer in time.
    timed_out: bool,
}

impl Held {
    /// No answer is owed any more; who it would have gone to, if one was.
    fn end(&mut self) -> Option<oneshot::Sender<Response>> {
        self.waiting.end();
        self.answer.take()
    }

    /// Gives the one final answer; whether it had not been given.
    fn give(&mut self, tally: &RequestCounters, answer: Response) -> bool {
        let Some(sender) = self.end() else {
            return false;
        };
        tally.answered(self.class, &answer);
        let _ = sender.send(answer);
        true
    }
}

struct Out {
    server: ServerId,
    since: Instant,
    task: AbortHandle,
}

struct Inner {
    gateway: Gateway,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    /// One for each client's connection at most: a client that goes takes its request along.
    held: HashMap<RequestId, Held>,
    timers: Timers,
}

pub struct Engine {
    inner: RefCell<Inner>,
    fleets: Vec<Rc<dyn EndpointObserver>>,
    counter: mpsc::Sender<CounterCall>,
    ledger: Option<Rc<dyn UsageReporter>>,
    warrant: RefCell<Option<Rc<dyn PolicyLease>>>,
    tally: Rc<RequestCounters>,
    violations: Rc<Violations>,
    sooner: Notify,
    clock: Rc<Clock>,
    /// All requests are answered by then, if the process ends.
    answer_all_by: Cell<Option<Instant>>,
    starts: RefCell<ServerStarts>,
    /// How far the wall clock was ahead of this one's when it was last told.
    wall_ahead_us: Cell<i64>,
    listed: Cell<bool>,
    /// Some server was known from before.
    known: Cell<bool>,
}

impl Engine {
    /// `fleets` hear of every change of the servers; `counter` takes the calls to the counter, `ledger` what is let
    /// through, where gateways tell each other.
    pub fn new(
        gateway: Gateway,
        fleets: Vec<Rc<dyn EndpointObserver>>,
        counter: mpsc::Sender<CounterCall>,
        ledger: Option<Rc<dyn UsageReporter>>,
        tally: Rc<RequestCounters>,
        clock: Rc<Clock>,
    ) -> Self {
        Engine {
            inner: RefCell::new(Inner {
                gateway,
                events: VecDeque::new(),
                actions: Vec::new(),
                held: HashMap::new(),
                timers: Timers::default(),
            }),
            fleets,
            counter,
            ledger,
            warrant: RefCell::default(),
            tally,
            violations: Rc::default(),
            sooner: Notify::new(),
            clock,
            answer_all_by: Cell::new(None),
            starts: RefCell::default(),
            wall_ahead_us: Cell::new(0),
            listed: Cell::new(false),
            known: Cell::new(false),
        }
    }

    /// From now on this one knows under what requests may be let in.
    pub fn set_policy_lease(&self, warrant: Rc<dyn PolicyLease>) {
        self.warrant.replace(Some(warrant));
    }

    /// What the warrant says may have changed: held requests go on.
    pub fn refresh_policy_lease(self: &Rc<Self>) {
        self.feed_all(None);
    }

    /// Whether requests can be served: by the list told since the start or, if discovery is down, the one from before.
    pub fn ready(&self) -> bool {
        self.listed.get() || self.known.get() && self.clock.running() >= LIST_WAIT
    }

    /// What has been done so far.
    pub fn counters(&self) -> &RequestCounters {
        &self.tally
    }

    /// Rules that were broken so far.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Requests taken and not yet answered.
    pub fn open_requests(&self) -> usize {
        self.inner
            .borrow()
            .held
            .values()
            .filter(|h| h.answer.is_some())
            .count()
    }

    /// Ready servers that are left out by choice.
    pub fn avoided_endpoints(&self) -> usize {
        self.inner.borrow().gateway.avoided()
    }

    /// The wall clock now, in microseconds since 1970.
    pub fn wall_clock_us(&self) -> Micros {
        self.clock.wall()
    }

    /// Microseconds, by a clock that only goes forward.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// News of the servers.
    pub fn update_endpoints(self: &Rc<Self>, kind: ListKind, members: Vec<Endpoint>) {
        if kind == ListKind::Partial && members.is_empty() {
            return;
        }
        let told = if self.listed.get() {
            Told::Later
        } else {
            Told::First
        };
        let starts = self
            .starts
            .borrow_mut()
            .of(self.now(), self.clock.wall(), told, &members);
        match kind {
            ListKind::Persisted => self.known.set(!members.is_empty()),
            _ => self.listed.set(true),
        }
        for fleet in &self.fleets {
            fleet.update(kind != ListKind::Partial, &members);
        }
        let entries = members
            .into_iter()
            .zip(starts)
            .map(|(t, started_us)| ServerEntry {
                server: ServerId(t.uid.into()),
                zone: t.zone,
                cell: t.cell,
                weight: t.weight,
                started_us,
                health: match t.state {
                    EndpointState::Ready => Health::Ready,
                    EndpointState::Draining => Health::Draining,
                    EndpointState::Gone => Health::Removed,
                },
                pool: t.protocol as u8,
            });
        self.feed(Event::Servers {
            kind,
            entries: entries.collect(),
        });
    }

    /// A call to the counter ended.
    pub fn counter_replied(self: &Rc<Self>, name: String, status: CompletionStatus, total: f64) {
        self.feed(Event::CounterReply {
            name,
            status,
            total,
        });
    }

    /// Other gateways told what they let through: who told all of it; what is new, by gateway and customer; and what is of
    /// before they were heard.
    pub fn record_peer_usage(
        self: &Rc<Self>,
        heard: Vec<u32>,
        uses: Vec<(u32, u32, f64)>,
        past: Vec<(u32, f64)>,
    ) {
        self.feed(Event::UsageReported { heard, uses, past });
    }

    /// Nothing comes through these gateways.
    pub fn set_absent_gateways(self: &Rc<Self>, gateways: Vec<u32>) {
        self.feed(Event::GatewaysAbsent(gateways));
    }

    /// These gateways are there, by number: servers are dealt out among them.
    pub fn set_gateways(self: &Rc<Self>, gateways: Vec<u32>) {
        self.feed(Event::Gateways(gateways));
    }

    /// Another gateway says this of servers.
    pub fn record_health_reports(
        self: &Rc<Self>,
        from: u32,
        words: frosthatch_traffic_control::HealthReports,
    ) {
        self.feed(Event::HealthReports {
            from,
            reports: words,
        });
    }

    /// What this one says of servers.
    pub fn health_reports(&self) -> frosthatch_traffic_control::HealthReports {
        self.inner.borrow().gateway.words()
    }

    /// Gateways among which servers are dealt out, servers that this one uses, and those that all leave alone.
    pub fn subset_counts(&self) -> [usize; 3] {
        self.inner.borrow().gateway.choices()
    }

    /// The process ends: every request is answered by then, those that come later, too.
    pub fn answer_all_by(&self, by: Instant) {
        self.answer_all_by.set(Some(by));
        let mut inner = self.inner.borrow_mut();
        let mut sooner = Vec::new();
        for (id, held) in &mut inner.held {
            if held.answer.is_some() && held.answer_by > by {
                held.answer_by = by;
                sooner.push(*id);
            }
        }
        for id in sooner {
            self.set(&mut inner, by, Due::Backstop(id.0));
        }
    }

    /// The process has come to its end: requests that are still held were never answered, and are counted.
    pub fn note_unanswered(&self) {
        for (id, held) in &self.inner.borrow().held {
            if held.answer.is_some() {
                self.violations.note(Rule::Answered, Some(*id));
            }
        }
    }

    /// Takes a request. Its one answer comes by the receiver before the client leaves.
    pub fn submit(
        self: &Rc<Self>,
        arrival: IncomingRequest,
    ) -> Result<oneshot::Receiver<Response>, DuplicateRequest> {
        let (sender, receiver) = oneshot::channel();
        let IncomingRequest {
            mut request,
            gone_at,
            payload,
        } = arrival;
        let gone_at = self
            .answer_all_by
            .get()
            .map_or(gone_at, |by| gone_at.min(by));
        let answer_by = gone_at.checked_sub(BACKSTOP).unwrap_or(gone_at);
        {
            let mut inner = self.inner.borrow_mut();
            match inner.held.entry(request.id) {
                Entry::Occupied(_) => return Err(DuplicateRequest),
                Entry::Vacant(place) => place.insert(Held {
                    class: self.tally.class(&request.class),
                    answer: Some(sender),
                    waiting: ClientPresence::default(),
                    answer_by,
                    gone_at,
                    payload,
                    attempts: Vec::new(),
                    timed_out: false,
                }),
            };
            self.set(&mut inner, answer_by, Due::Backstop(request.id.0));
        }
        let left = gone_at.saturating_duration_since(Instant::now() + MARGIN);
        request.remaining_us = left.as_micros() as u64;
        debug!(request = request.id.0, class = %request.class, patience_us = request.remaining_us, "request.taken");
        self.feed(Event::Request(request));
        Ok(receiver)
    }

    /// The client of a request has gone: what is out for it is called off.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        let open = match self.inner.borrow_mut().held.get_mut(&id) {
            Some(held) => held.end().is_some(),
            None => false,
        };
        if open {
            debug!(request = id.0, "request.client_gone");
            self.feed(Event::ClientGone(id));
            forget(&mut self.inner.borrow_mut(), id);
        }
    }

    fn attempt_ended(self: &Rc<Self>, id: RequestId, attempt: usize, ended: AttemptResult) {
        let outcome = {
            let mut inner = self.inner.borrow_mut();
            let Some(held) = inner.held.get_mut(&id) else {
                return;
            };
            let Some(out) = held.attempts.get_mut(attempt).and_then(Option::take) else {
                return;
            };
            held.timed_out = ended.status == CompletionStatus::NoAnswer;
            if ended.status == CompletionStatus::Served {
                let answer = match ended.rest {
                    None => Response::Served(ended.body),
                    Some(rest) => Response::Streaming(ended.body, rest),
                };
                held.give(&self.tally, answer);
            }
            let elapsed = out.since.elapsed().as_micros() as Micros;
            debug!(request = id.0, attempt, server = %out.server.0, status = ?ended.status, elapsed, "attempt.ended");
            let mut outcome =
                AttemptOutcome::new(id, attempt as u32, out.server, ended.status, elapsed);
            outcome.closed = held.answer.is_none();
            outcome.metered_use = ended.metered_use;
            outcome.load_report = ended.load_report;
            outcome
        };
        self.feed(Event::Outcome(outcome));
        forget(&mut self.inner.borrow_mut(), id);
    }

    /// Feeds one event and all that follow from it at once.
    fn feed(self: &Rc<Self>, event: Event) {
        self.feed_all(Some(event));
    }

    fn feed_all(self: &Rc<Self>, event: Option<Event>) {
        let mut inner = self.inner.borrow_mut();
        if let Some(warrant) = &*self.warrant.borrow() {
            warrant.collect_events(self.now(), &mut inner.events);
        }
        inner.events.extend(event);
        while let Some(event) = inner.events.pop_front() {
            let mut actions = std::mem::take(&mut inner.actions);
            let now = self.now();
            inner.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut inner, action);
            }
            inner.actions = actions;
        }
    }

    fn carry_out(self: &Rc<Self>, inner: &mut Inner, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                timeout_us,
                begin_within_us,
            } => self.send(inner, request, server, [timeout_us, begin_within_us]),
            Action::Cancel { request, attempt } => {
                let held = inner.held.get_mut(&request);
                let out = held
                    .and_then(|h| h.attempts.get_mut(attempt as usize))
                    .and_then(Option::take);
                if let Some(out) = out {
                    debug!(request = request.0, attempt, server = %out.server.0, "attempt.cancelled");
                    // Ending the task drops its connection, which closes it.
                    out.task.abort();
                    let elapsed = out.since.elapsed().as_micros() as Micros;
                    let outcome = AttemptOutcome::new(
                        request,
                        attempt,
                        out.server,
                        CompletionStatus::Cancelled,
                        elapsed,
                    );
                    inner.events.push_back(Event::Outcome(outcome.closing()));
                    forget(inner, request);
                }
            }
            Action::Reject {
                request,
                retry_after_us,
                reason,
            } => {
                debug!(
                    request = request.0,
                    reason = reason.name(),
                    "request.refused"
                );
                self.answer(inner, request, |_| Response::Rejected {
                    retry_after: Duration::from_micros(retry_after_us),
                });
            }
            Action::Fail { request, reason } => {
                debug!(
                    request = request.0,
                    reason = reason.name(),
                    "request.failed"
                );
                self.answer(inner, request, |timed_out| Response::Failed { timed_out });
            }
            Action::SetTimer { after_us, timer } => {
                let due = match timer {
                    Timer::Interval => Due::Interval,
                    Timer::Request(id) => Due::Request(id.0),
                    Timer::Customer(tag) => Due::Customer(tag),
                };
                self.set(inner, Instant::now() + Duration::from_micros(after_us), due);
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
                if let Err(e) = self.counter.try_send(call) {
                    // Too many wait: turned away before it was written, as the counter does with a long line.
                    let name = e.into_inner().name;
                    inner.events.push_back(Event::CounterReply {
                        name,
                        status: CompletionStatus::Rejected,
                        total: 0.0,
                    });
                }
            }
            Action::ReportUsage { tag, units } => {
                if let Some(ledger) = &self.ledger {
                    ledger.record_usage(tag, units);
                }
            }
            Action::Log(line) => log_line!("{line}"),
            // The list is watched in any case; what gateways tell each other is use, and goes by the ledger.
            Action::Subscribe | Action::SendToPeer { .. } => {}
        }
    }

    /// Gives the final answer, if it has not been given.
    fn answer(&self, inner: &mut Inner, id: RequestId, make: impl FnOnce(bool) -> Response) {
        let Some(held) = inner.held.get_mut(&id) else {
            return;
        };
        held.give(&self.tally, make(held.timed_out));
        forget(inner, id);
    }

    /// Starts an attempt that ends, and may begin, within so much time.
    fn send(
        self: &Rc<Self>,
        inner: &mut Inner,
        id: RequestId,
        server: ServerId,
        [ends, begins]: [Micros; 2],
    ) {
        let Some(held) = inner.held.get_mut(&id).filter(|h| h.answer.is_some()) else {
            return;
        };
        let (engine, attempt, since) = (self.clone(), held.attempts.len(), Instant::now());
        if let (0, Some(warrant)) = (attempt, &*self.warrant.borrow()) {
            warrant.record_admitted(id);
        }
        debug!(request = id.0, attempt, server = %server.0, timeout_us = ends, begin_within_us = begins, "attempt.sent");
        let latest_start = since + Duration::from_micros(begins);
        let violations = self.violations.clone();
        let permit = AttemptPermit::new(
            id,
            latest_start,
            held.gone_at,
            held.waiting.clone(),
            violations,
        );
        let out = held
            .payload
            .attempt(&server, since + Duration::from_micros(ends), permit);
        let task = tokio::task::spawn_local(async move {
            let ended = out.await;
            engine.attempt_ended(id, attempt, ended);
        });
        held.attempts.push(Some(Out {
            server,
            since,
            task: task.abort_handle(),
        }));
    }

    fn set(&self, inner: &mut Inner, at: Instant, due: Due) {
        if inner.timers.set(at, due) {
            self.sooner.notify_one();
        }
    }

    /// Fires timers for good.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let first = self.inner.borrow().timers.first();
            let far = Instant::now() + Duration::from_secs(3_600);
            tokio::select! {
                () = sleep_until(first.unwrap_or(far)) => {}
                () = self.sooner.notified() => {}
            }
            while let Some(due) = self.pop_due() {
                match due {
                    Due::Interval => {
                        self.look_at_wall_clock();
                        self.feed(Event::Timer(Timer::Interval));
                    }
                    Due::Request(id) => self.feed(Event::Timer(Timer::Request(RequestId(id)))),
                    Due::Customer(tag) => self.feed(Event::Timer(Timer::Customer(tag))),
                    Due::Backstop(id) => self.backstop(RequestId(id)),
                }
            }
        }
    }

    /// Tells the decisions where the wall clock was stepped.
    fn look_at_wall_clock(self: &Rc<Self>) {
        let ahead_us = self.clock.wall() as i64 - self.now() as i64;
        if ahead_us.abs_diff(self.wall_ahead_us.get()) > WALL_CLOCK_DRIFT_US {
            self.wall_ahead_us.set(ahead_us);
            self.feed(Event::WallClock { ahead_us });
        }
    }

    fn pop_due(&self) -> Option<Due> {
        self.inner.borrow_mut().timers.pop_due(Instant::now())
    }

    /// Guards against a request that nobody has answered: its client hears before it leaves.
    fn backstop(self: &Rc<Self>, id: RequestId) {
        let given = match self.inner.borrow_mut().held.get_mut(&id) {
            Some(held) if held.answer_by <= Instant::now() => {
                held.give(&self.tally, Response::Failed { timed_out: true })
            }
            _ => false,
        };
        if given {
            debug!(request = id.0, reason = "no_time_left", "request.failed");
            self.feed(Event::ClientGone(id));
            forget(&mut self.inner.borrow_mut(), id);
        }
    }
}

/// Drops a request that is answered once none of its attempts is out.
fn forget(inner: &mut Inner, id: RequestId) {
    let over = |h: &Held| h.answer.is_none() && h.attempts.iter().all(Option::is_none);
    if inner.held.get(&id).is_some_and(over) {
        inner.held.remove(&id);
    }
}
