//! The public interface: settings a gateway starts with, events it is told, actions it answers with. No decisions.

use std::fmt;
use std::sync::Arc;

/// A time or a span in whole microseconds.
pub type Micros = u64;

/// A gateway may be held up for so long between reading its clock and writing; latest starts allow for it.
pub const HELD_UP_US: Micros = 150_000;

/// An attempt may begin so long after its client has gone.
pub const GONE_SLACK_US: Micros = 100_000;

/// A request's identifier; a client's further try carries a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A server's address, the same at every gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

/// A customer's name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub Arc<str>);

/// Which servers drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Repeatable,
    /// Repeats are dropped within `scope` for `window_us` from the first send that may have run.
    Keyed {
        /// The servers that share what they have seen.
        scope: Scope,
        /// How long they remember, from the send.
        window_us: Micros,
    },
    /// Never: a further attempt needs proof that no earlier one ran.
    Once,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Name that requests carry.
    pub name: String,
    /// An answer within this earns full worth.
    pub latency_objective_us: Micros,
    /// The client's whole patience.
    pub deadline_us: Micros,
    /// May it run again.
    pub effect: Effect,
    /// Worth of one request before the plan's price and the units.
    pub priority_weight: f64,
    /// Share of the worth that an answer between aim and deadline earns.
    pub late_weight: f64,
}

/// A hard ceiling: a second store of units that no customer of the plan may overdraw, all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Units a second at which it fills.
    pub rate: f64,
    /// Units that it holds at most.
    pub depth: f64,
}

/// A plan and its quota for each customer over all gateways.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name that requests carry.
    pub name: String,
    /// Units a second; 0: no quota on the rate.
    pub rate: f64,
    /// Units that the store holds.
    pub burst: f64,
    /// Attempts out at once; 0: no such quota.
    pub max_open: u32,
    /// Multiplier on worth.
    pub price: f64,
    /// Share of its worth that a request passed on beyond the quota earns.
    pub excess_weight: f64,
    /// Share of its worth that passing on beyond the quota costs.
    pub overrun_cost: f64,
    /// Hard ceiling, if any.
    pub ceiling: Option<Ceiling>,
}

/// The budget of further attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Further attempts that one first attempt earns.
    pub ratio: f64,
    /// Those that are saved up at most: they stay a small share of load.
    pub max_saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            ratio: 0.15,
            max_saved: 10.0,
        }
    }
}

/// What an agreed policy sets: plans and classes are those of the settings, in their order, with other figures.
#[derive(Clone, Debug)]
pub struct PolicyTerms {
    /// All plans.
    pub plans: Vec<Plan>,
    /// All classes.
    pub classes: Vec<RequestClass>,
    /// Further attempts.
    pub retries: RetryBudget,
}

/// Whether requests may be let in, where gateways agree on their policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// They may.
    Held,
    /// Soon: they are held meanwhile, as long as their clients' time allows.
    Pending,
    /// Nobody knows under what, or until when: they are refused at once.
    Missing,
}

/// How a server that has just started warms, and what pushes it over.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its capacity at the start, at least.
    pub initial_share: f64,
    /// Warm after this, at the latest.
    pub duration_us: Micros,
    /// It falls when sent more than this multiple of what it can do...
    pub overload_multiple: f64,
    /// ...for this long.
    pub overload_after_us: Micros,
}

/// What a figure in a load report means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Requests that the server holds.
    Inflight,
    /// Requests that wait at the server.
    Queue,
    /// Recent service time in milliseconds, without waiting.
    ServiceMs,
}

/// Everything a gateway knows at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's index.
    pub me: u32,
    /// This gateway's zone.
    pub zone: String,
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Customer plans.
    pub plans: Vec<Plan>,
    /// Cold servers.
    pub slow_start: SlowStart,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// May two attempts of one request be out at once.
    pub parallel_attempts: bool,
    /// May an attempt be withdrawn.
    pub cancel: bool,
    /// Longest retry-after that a client keeps to; 0: none is passed on.
    pub max_retry_after_us: Micros,
    /// May gateways message each other.
    pub peer_messages: bool,
    /// Messages a second that a gateway takes in.
    pub peer_messages_per_s: f64,
    /// Is there a shared counter.
    pub counter: bool,
    /// Gateways tell each other what customers use, and their word counts for so long; 0: they do not.
    pub usage_report_ttl_us: Micros,
    /// Period of the usage meter; 0: none.
    pub meter_period_us: Micros,
    /// Is the server list only told on request.
    pub list_on_request: bool,
    /// Points lost for an attempt into another zone, as a share of a request's worth.
    pub cross_zone_cost: f64,
    /// Most units of one request.
    pub max_units: f64,
    /// Further attempts.
    pub retries: RetryBudget,
}

impl Settings {
    /// Settings that make no sense are told with what to correct.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        self.mistakes()
            .into_iter()
            .next()
            .map_or(Ok(()), |m| Err(SettingsError(m)))
    }

    /// All that makes no sense, each with what would be right.
    pub fn mistakes(&self) -> Vec<String> {
        let mut bad = Vec::new();
        let fine = |v: f64| v.is_finite() && v >= 0.0;
        if self.classes.is_empty() || self.plans.is_empty() {
            bad.push("give at least one class and one plan".to_string());
        }
        if self.gateways == 0 || self.me >= self.gateways {
            bad.push("`gateways` must be at least 1 and `me` below it".into());
        }
        for c in self.classes.iter().filter(|c| {
            !(fine(c.priority_weight) && fine(c.late_weight) && c.latency_objective_us > 0)
        }) {
            bad.push(format!(
                "class {:?} needs a positive aim and finite, non-negative worths",
                c.name
            ));
        }
        let plan_fine = |p: &&Plan| {
            let ceiling = p.ceiling.is_none_or(|c| fine(c.rate) && fine(c.depth));
            ceiling
                && [p.rate, p.burst, p.price, p.excess_weight, p.overrun_cost]
                    .into_iter()
                    .all(fine)
        };
        for p in self.plans.iter().filter(|p| !plan_fine(p)) {
            bad.push(format!(
                "plan {:?}: rate, burst, price, worth, cost and ceiling must be finite and not negative",
                p.name
            ));
        }
        let cold = [
            self.slow_start.initial_share,
            self.slow_start.overload_multiple,
        ];
        if !cold
            .into_iter()
            .chain([
                self.peer_messages_per_s,
                self.cross_zone_cost,
                self.max_units,
            ])
            .all(fine)
        {
            bad.push(
                "cold start, mail, zone cost and units must be finite and not negative".into(),
            );
        }
        bad
    }

    /// A small valid configuration, for trials: one gateway, one repeatable class `read`, one plan `basic`.
    pub fn example() -> Self {
        Settings {
            gateways: 1,
            me: 0,
            zone: "a".into(),
            classes: vec![RequestClass {
                name: "read".into(),
                latency_objective_us: 1_000_000,
                deadline_us: 4_000_000,
                effect: Effect::Repeatable,
                priority_weight: 1.0,
                late_weight: 0.0,
            }],
            plans: vec![Plan {
                name: "basic".into(),
                rate: 10.0,
                burst: 20.0,
                max_open: 0,
                price: 1.0,
                excess_weight: 0.0,
                overrun_cost: 1.0,
                ceiling: None,
            }],
            slow_start: SlowStart {
                initial_share: 0.2,
                duration_us: 20_000_000,
                overload_multiple: 3.0,
                overload_after_us: 2_000_000,
            },
            max_attempts: 3,
            parallel_attempts: true,
            cancel: true,
            max_retry_after_us: 2_000_000,
            peer_messages: false,
            peer_messages_per_s: 0.0,
            counter: false,
            usage_report_ttl_us: 0,
            meter_period_us: 0,
            list_on_request: false,
            cross_zone_cost: 0.0,
            max_units: 1.0,
            retries: RetryBudget::default(),
        }
    }
}

/// Why settings were not accepted; the text says what to correct.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings not usable: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// How a server list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Partial,
    /// The whole list.
    Complete,
    /// The whole list as last held before a start, perhaps stale.
    Persisted,
    /// A call to discovery failed; nothing is told.
    Error,
}

/// A server's state in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has; nothing new may go there.
    Draining,
    /// Gone.
    Removed,
}

/// One server in the list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// Its address.
    pub server: ServerId,
    /// Its zone.
    pub zone: String,
    /// Its cell: the servers that share which keys they have seen.
    pub cell: u64,
    /// Its size beside the others'.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started_us: Micros,
    /// Its state.
    pub health: Health,
    /// Requests of this pool only go there: servers of another protocol are another pool.
    pub pool: u8,
}

impl ServerEntry {
    /// A ready server of unit size that started long ago.
    pub fn ready(server: &str, zone: &str) -> Self {
        ServerEntry {
            server: ServerId(server.into()),
            zone: zone.into(),
            cell: 0,
            weight: 1.0,
            started_us: 0,
            health: Health::Ready,
            pool: 0,
        }
    }
}

/// A client request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Whose it is.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: String,
    /// The request's class.
    pub class: String,
    /// Units that it draws.
    pub units: f64,
    /// Gateways that the customer uses.
    pub gateway_count: u32,
    /// Index of the first of them; the others follow, counted round.
    pub first_gateway: u32,
    /// Time until the client gives this try up.
    pub remaining_us: Micros,
    /// The servers that it may go to.
    pub pool: u8,
    /// The one of them where it belongs, and whether it may go elsewhere once that one is lost.
    pub sticky_server: Option<(ServerId, bool)>,
    /// It comes after others of its class and plan where not all can be served.
    pub low_priority: bool,
}

impl Request {
    /// A request of one unit whose customer uses one gateway.
    pub fn new(id: u64, customer: &str, plan: &str, class: &str, patience_us: Micros) -> Self {
        Request {
            id: RequestId(id),
            customer: CustomerId(customer.into()),
            plan: plan.into(),
            class: class.into(),
            units: 1.0,
            gateway_count: 1,
            first_gateway: 0,
            remaining_us: patience_us,
            pool: 0,
            sticky_server: None,
            low_priority: false,
        }
    }
}

/// How an attempt, or a call to the counter, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionStatus {
    /// Done.
    Served,
    /// The server answered with an error; it may have run.
    ServerError,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run.
    NoAnswer,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

impl CompletionStatus {
    /// Whether this end proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            CompletionStatus::Rejected | CompletionStatus::NoConnection | CompletionStatus::NotSent
        )
    }
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub status: CompletionStatus,
    /// Time since the send.
    pub elapsed_us: Micros,
    /// Set once the client has its final answer.
    pub closed: bool,
    /// Units that replace the guess, where units are settled afterwards.
    pub settled_units: Option<f64>,
    /// The customer's use over all gateways in the meter's last period, as a share of its rate or open limit.
    pub metered_use: Option<f64>,
    /// The server's load report.
    pub load_report: Vec<(LoadMetric, f64)>,
}

impl AttemptOutcome {
    /// An outcome that carries nothing besides its end and leaves the request open.
    pub fn new(
        request: RequestId,
        attempt: u32,
        server: ServerId,
        status: CompletionStatus,
        elapsed_us: Micros,
    ) -> Self {
        AttemptOutcome {
            request,
            attempt,
            server,
            status,
            elapsed_us,
            closed: false,
            settled_units: None,
            metered_use: None,
            load_report: Vec::new(),
        }
    }

    /// The same outcome, with the request closed by it.
    pub fn closing(mut self) -> Self {
        self.closed = true;
        self
    }
}

/// A timer that the gateway asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The control interval.
    Interval,
    /// A request's own.
    Request(RequestId),
    /// A customer's, by its short name.
    Customer(u32),
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    Servers {
        /// How to read it.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client request.
    Request(Request),
    /// A streamed answer has begun: the attempt is the client's now.
    Streaming(RequestId),
    /// An attempt ended.
    Outcome(AttemptOutcome),
    /// The client has gone.
    ClientGone(RequestId),
    /// A timer fell due.
    Timer(Timer),
    /// A message from a peer.
    Peer {
        /// Its index.
        from: u32,
        /// What it sent.
        bytes: Vec<u8>,
    },
    /// Other gateways told what they let through within quotas.
    UsageReported {
        /// The gateways that told, since the last such event, all that they had let through until now.
        heard: Vec<u32>,
        /// Gateways, short names of customers, and the units.
        uses: Vec<(u32, u32, f64)>,
        /// Customers and units of before the time from which a gateway is heard: nobody knows how much of it is old.
        past: Vec<(u32, f64)>,
    },
    /// The gateways that are there, by number, in place of all that the settings count: servers are dealt out among them.
    Gateways(Vec<u32>),
    /// All that another gateway says of servers, in place of what it said before.
    HealthReports {
        /// Its number.
        from: u32,
        /// What it says.
        reports: crate::seen::HealthReports,
    },
    /// All gateways of which is known that nothing comes through them: they left, or never were there.
    GatewaysAbsent(Vec<u32>),
    /// The wall clock, by which all gateways name counts, is so many microseconds ahead of the clock that events come with:
    /// it was stepped.
    WallClock {
        /// Negative: behind it.
        ahead_us: i64,
    },
    /// From now on other terms are in force. What customers used carries over, and for a moment the smaller of both holds.
    PolicyChanged(PolicyTerms),
    /// Whether requests may be let in from now on.
    LeaseStateChanged(LeaseState),
    /// The counter answered a call.
    CounterReply {
        /// The name counted.
        name: String,
        /// How the call ended.
        status: CompletionStatus,
        /// The total after the call, if served.
        total: f64,
    },
}

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// Its class or plan is not among the settings.
    UnknownClass,
    /// More customers are active than are kept.
    TooManyCustomers,
    /// Nobody knows under which policy requests may be let in.
    NoLease,
    /// Its customer's quota is used up, as far as is known.
    Quota,
    /// It would pass its customer's ceiling.
    Ceiling,
    /// Servers are pressed, and it is among those that are left out.
    Pressure,
    /// No server took it within the part of its time that it may wait.
    NoServer,
    /// Its attempts failed, and no further one may go out.
    AttemptsFailed,
}

impl UnservedReason {
    /// As logs name it.
    pub fn name(self) -> &'static str {
        match self {
            UnservedReason::UnknownClass => "unknown_class",
            UnservedReason::TooManyCustomers => "too_many_customers",
            UnservedReason::NoLease => "no_lease",
            UnservedReason::Quota => "quota",
            UnservedReason::Ceiling => "ceiling",
            UnservedReason::Pressure => "pressure",
            UnservedReason::NoServer => "no_server",
            UnservedReason::AttemptsFailed => "attempts_failed",
        }
    }
}

/// What a gateway does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Its time-out; 0: until the client gives up.
        timeout_us: Micros,
        /// It may begin within this, and not any more when that has passed: then it never ran. Whoever carries it out looks
        /// at the last moment, as a connection may come up late.
        begin_within_us: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: refused; trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long to stay away; 0: no advice.
        retry_after_us: Micros,
        /// Why; for logs and figures.
        reason: UnservedReason,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        request: RequestId,
        /// Why; for logs and figures.
        reason: UnservedReason,
    },
    /// Wake the gateway.
    SetTimer {
        /// After this.
        after_us: Micros,
        /// With this.
        timer: Timer,
    },
    /// Send a message to another gateway.
    SendToPeer {
        /// Its number.
        to: u32,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Add to a named count.
    AddToCounter {
        /// The name.
        name: String,
        /// The amount.
        amount: f64,
        /// How long the name lives, if new.
        ttl_us: Micros,
    },
    /// Units of a customer were let through within its quota: the other gateways are to know. Only with `ledger`.
    ReportUsage {
        /// The customer's short name.
        tag: u32,
        /// The units.
        units: f64,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// A line for the on-call log.
    Log(String),
}
