//! A simulation of gateways with traffic control and cluster membership, and of customers, servers and a shared
//! counter, in virtual time (microseconds).

use crate::world::{address_of, config, keys};
use frosthatch_cluster_membership::{LifecyclePhase, Membership, MembershipConfig, Output};
use frosthatch_traffic_control::{
    Action, AttemptOutcome, CompletionStatus, Event, Gateway, ListKind, Request, RequestId,
    ServerEntry, ServerId, Settings, Timer,
};
use std::collections::{BTreeMap, VecDeque};

/// Duration of one step of the simulation.
const STEP_US: u64 = 10_000;
/// Delay of datagrams and of the shared counter's replies.
const NETWORK_DELAY_US: u64 = 2_000;
/// Time that a server takes to serve a request.
const SERVICE_TIME_US: u64 = 20_000;
/// Upper bound of the gateways among which the requests of one customer are divided.
const GATEWAYS_PER_CUSTOMER: u32 = 4;
const CUSTOMERS: u32 = 6;
/// Number of steps from one tick of a gateway to its next.
const STEPS_PER_TICK: u64 = 5;

/// The quota of every customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Rate in units per second.
    pub rate: f64,
    /// Burst in units.
    pub burst: f64,
    /// Upper bound of the units of one request.
    pub max_units: f64,
}

/// How the requests of a customer are divided among its gateways.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Division {
    /// The same share to each gateway.
    Even,
    /// Half to the first gateway, a quarter to the second, and an eighth to each of the other two.
    Skewed,
}

/// A datagram in flight.
struct Datagram {
    arrives_at_us: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A reply of the shared counter in flight.
struct CounterReply {
    arrives_at_us: u64,
    to: usize,
    reply: Event,
}

/// A request at a server.
struct Attempt {
    ends_at_us: u64,
    request: RequestId,
    server: ServerId,
}

/// An admitted request of a customer.
struct Admission {
    at_us: u64,
    units: f64,
}

/// A gateway with its membership.
struct Node {
    gateway: Gateway,
    membership: Membership,
    timers: BTreeMap<u64, Vec<Timer>>,
    attempts: VecDeque<Attempt>,
}

impl Node {
    fn new(number: u16, gateways: u16, seed: u64, quota: Quota, has_counter: bool) -> Node {
        let config = MembershipConfig {
            seed: seed + u64::from(number),
            ..config(number.into(), gateways.into(), 1_000)
        };
        let mut settings = Settings::example();
        settings.gateways = u32::from(gateways);
        settings.gateway_index = u32::from(number);
        settings.plans[0].rate = quota.rate;
        settings.plans[0].burst = quota.burst;
        settings.max_units = quota.max_units;
        settings.usage_report_ttl_us = config.usage_report_ttl_us();
        settings.has_counter = has_counter;
        let gateway =
            Gateway::new(settings, seed ^ u64::from(number)).expect("the settings are valid");
        let mut membership = Membership::new(config, keys());
        membership.set_phase(0, LifecyclePhase::Ready);
        Node {
            gateway,
            membership,
            timers: BTreeMap::new(),
            attempts: VecDeque::new(),
        }
    }
}

/// The simulated gateways with their network, customers, servers and shared counter.
pub struct Gateways {
    pub now_us: u64,
    nodes: Vec<Node>,
    network: VecDeque<Datagram>,
    /// Admitted requests by customer.
    admissions: BTreeMap<u32, Vec<Admission>>,
    /// Customer of each request.
    customers: BTreeMap<RequestId, u32>,
    random_state: u64,
    /// Fraction of datagrams that are lost.
    loss: f64,
    /// Index of the isolated gateway, which neither receives nor sends datagrams.
    pub isolated: Option<usize>,
    pub division: Division,
    /// Total size of the sent datagrams.
    pub sent_bytes: u64,
    /// Id of the next request.
    pub next_request: u64,
    quota: Quota,
    /// Totals of the shared counter, if there is one.
    counter: Option<BTreeMap<String, f64>>,
    counter_replies: VecDeque<CounterReply>,
}

impl Gateways {
    /// Creates gateways that do not know each other yet, with twenty ready servers.
    pub fn new(count: u16, loss: f64, seed: u64, quota: Quota, has_counter: bool) -> Gateways {
        let nodes = (0..count).map(|number| Node::new(number, count, seed, quota, has_counter));
        let mut gateways = Gateways {
            now_us: 1_000_000,
            nodes: nodes.collect(),
            network: VecDeque::new(),
            admissions: BTreeMap::new(),
            customers: BTreeMap::new(),
            random_state: seed,
            loss,
            isolated: None,
            division: Division::Even,
            sent_bytes: 0,
            next_request: 1,
            quota,
            counter: has_counter.then(BTreeMap::new),
            counter_replies: VecDeque::new(),
        };
        for n in 0..gateways.nodes.len() {
            let entries = (0..20)
                .map(|s| ServerEntry::ready(&format!("s{s}"), "a"))
                .collect();
            let servers = Event::Servers {
                kind: ListKind::Complete,
                entries,
            };
            gateways.handle(n, servers);
        }
        gateways
    }

    /// Runs one step with the same request rate for each customer.
    pub fn step(&mut self, units_per_s: f64) {
        self.step_with_rates(|_| units_per_s);
    }

    /// Runs one step with a request rate that depends on the customer.
    pub fn step_with_rates(&mut self, units_per_s: impl Fn(u32) -> f64) {
        self.now_us += STEP_US;
        for customer in 0..CUSTOMERS {
            self.send_requests(customer, units_per_s(customer));
        }
        self.deliver_counter_replies();
        self.deliver_datagrams();
        for n in 0..self.nodes.len() {
            self.end_attempts(n);
            self.fire_timers(n);
            // The gateways tick in different steps.
            if (self.now_us / STEP_US + n as u64).is_multiple_of(STEPS_PER_TICK) {
                let mut outputs = Vec::new();
                self.nodes[n].membership.tick(self.now_us, &mut outputs);
                self.execute_outputs(n, outputs);
            }
        }
    }

    /// Returns the number of requests of each customer admitted since `from_us`.
    pub fn admitted_since(&self, from_us: u64) -> Vec<f64> {
        let count = |admissions: &Vec<Admission>| {
            let recent = admissions
                .iter()
                .filter(|admission| admission.at_us >= from_us);
            recent.count() as f64
        };
        self.admissions.values().map(count).collect()
    }

    /// Returns the number of requests from `first_request` on of the customers with a number below `customer_limit`.
    pub fn requests_since(&self, first_request: u64, customer_limit: u32) -> f64 {
        self.customers
            .iter()
            .filter(|(id, customer)| id.0 >= first_request && **customer < customer_limit)
            .count() as f64
    }

    /// Returns the number of admitted requests of the customer with the fewest.
    pub fn fewest_admitted(&self) -> usize {
        self.admissions.values().map(Vec::len).min().unwrap_or(0)
    }

    /// Returns the overrun of the customer with the largest one since `from_us`: the units admitted beyond a token
    /// bucket of the quota, as a fraction of the units granted by the quota's rate.
    pub fn worst_overrun(&self, from_us: u64) -> f64 {
        let Quota { rate, burst, .. } = self.quota;
        let granted = (self.now_us - from_us) as f64 / 1e6 * rate;
        let mut worst = 0.0f64;
        for admissions in self.admissions.values() {
            let mut level = burst;
            let mut refilled_at_us = from_us;
            let mut overrun = 0.0;
            for Admission { at_us, units } in admissions.iter().filter(|a| a.at_us >= from_us) {
                level = (level + (at_us - refilled_at_us) as f64 / 1e6 * rate).min(burst);
                refilled_at_us = *at_us;
                if level >= *units {
                    level -= units;
                } else {
                    overrun += units;
                }
            }
            worst = worst.max(overrun / granted);
        }
        worst
    }

    fn random_fraction(&mut self) -> f64 {
        self.random_state = self
            .random_state
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.random_state >> 33) as f64 / f64::from(1u32 << 31)
    }

    /// Sends the requests of one customer in one step.
    fn send_requests(&mut self, customer: u32, units_per_s: f64) {
        let mut due = units_per_s * STEP_US as f64 / 1e6;
        while due >= 1.0 || self.random_fraction() < due {
            due -= 1.0;
            let count = self.nodes.len() as u32;
            let first_gateway = customer * 7 % count;
            let offset = self.draw_gateway_offset();
            let mut request = Request::new(
                self.next_request,
                &format!("c{customer}"),
                "basic",
                "read",
                1_000_000,
            );
            request.gateway_count = GATEWAYS_PER_CUSTOMER.min(count);
            request.first_gateway = first_gateway;
            self.customers.insert(request.id, customer);
            self.next_request += 1;
            let gateway = ((first_gateway + offset) % count) as usize;
            self.handle(gateway, Event::Request(request));
        }
    }

    /// Draws the gateway of a request, as its offset from the customer's first gateway.
    fn draw_gateway_offset(&mut self) -> u32 {
        let random = self.random_fraction();
        match self.division {
            Division::Skewed => [0, 0, 0, 0, 1, 1, 2, 3][(random * 8.0) as usize % 8],
            Division::Even => {
                (random * f64::from(GATEWAYS_PER_CUSTOMER)) as u32 % GATEWAYS_PER_CUSTOMER
            }
        }
    }

    fn deliver_counter_replies(&mut self) {
        let now_us = self.now_us;
        let is_due = |reply: &mut CounterReply| reply.arrives_at_us <= now_us;
        while let Some(reply) = self.counter_replies.pop_front_if(is_due) {
            self.handle(reply.to, reply.reply);
        }
    }

    fn deliver_datagrams(&mut self) {
        let now_us = self.now_us;
        let is_due = |datagram: &mut Datagram| datagram.arrives_at_us <= now_us;
        while let Some(datagram) = self.network.pop_front_if(is_due) {
            let mut outputs = Vec::new();
            self.nodes[datagram.to].membership.handle_datagram(
                datagram.arrives_at_us,
                address_of(datagram.from),
                &datagram.bytes,
                &mut outputs,
            );
            self.execute_outputs(datagram.to, outputs);
        }
    }

    /// Reports the attempts of a gateway that are complete by now as served.
    fn end_attempts(&mut self, n: usize) {
        let now_us = self.now_us;
        let is_due = |attempt: &mut Attempt| attempt.ends_at_us <= now_us;
        while let Some(attempt) = self.nodes[n].attempts.pop_front_if(is_due) {
            let outcome = AttemptOutcome::new(
                attempt.request,
                0,
                attempt.server,
                CompletionStatus::Served,
                SERVICE_TIME_US,
            );
            self.handle(n, Event::Outcome(outcome.closing()));
        }
    }

    /// Fires the timers of a gateway that are due.
    fn fire_timers(&mut self, n: usize) {
        while let Some(due) = self.nodes[n]
            .timers
            .first_entry()
            .filter(|entry| *entry.key() <= self.now_us)
        {
            for timer in due.remove() {
                self.handle(n, Event::Timer(timer));
            }
        }
    }

    /// Passes an event to a gateway and executes the resulting actions.
    fn handle(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[n]
            .gateway
            .handle(self.now_us, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request, server, ..
                } => self.admit(n, request, server),
                Action::SetTimer { after_us, timer } => {
                    let fires_at_us = self.now_us + after_us;
                    let timers = &mut self.nodes[n].timers;
                    timers.entry(fires_at_us).or_default().push(timer);
                }
                Action::ReportUsage { tag, units } => {
                    self.nodes[n].membership.record_usage(tag, units);
                }
                Action::AddToCounter { name, amount, .. } => self.count(n, name, amount),
                _ => {}
            }
        }
    }

    /// Records an admitted request and starts its attempt at the server.
    fn admit(&mut self, n: usize, request: RequestId, server: ServerId) {
        let customer = self.customers[&request];
        let admission = Admission {
            at_us: self.now_us,
            units: 1.0,
        };
        self.admissions.entry(customer).or_default().push(admission);
        self.nodes[n].attempts.push_back(Attempt {
            ends_at_us: self.now_us + SERVICE_TIME_US,
            request,
            server,
        });
    }

    /// Adds to the shared counter and schedules its reply.
    fn count(&mut self, n: usize, name: String, amount: f64) {
        let Some(counter) = &mut self.counter else {
            return;
        };
        let total = counter.entry(name.clone()).or_default();
        *total += amount;
        let reply = Event::CounterReply {
            name,
            status: CompletionStatus::Served,
            total: *total,
        };
        self.counter_replies.push_back(CounterReply {
            arrives_at_us: self.now_us + NETWORK_DELAY_US,
            to: n,
            reply,
        });
    }

    /// Executes the outputs of a gateway's membership.
    fn execute_outputs(&mut self, n: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.send(n, to, bytes),
                Output::UsageReported {
                    complete_gateways,
                    uses,
                    earlier_uses,
                } => {
                    self.handle(
                        n,
                        Event::UsageReported {
                            complete_gateways,
                            uses,
                            earlier_uses,
                        },
                    );
                }
                Output::GatewaysAbsent(gateways) => {
                    self.handle(n, Event::GatewaysAbsent(gateways));
                }
                Output::Log(_) | Output::MessageReceived { .. } => {}
            }
        }
    }

    /// Puts a datagram on the network, unless it is lost or an end of it is isolated.
    fn send(&mut self, from: usize, to: std::net::SocketAddr, bytes: Vec<u8>) {
        self.sent_bytes += bytes.len() as u64;
        let to = (0..self.nodes.len())
            .find(|n| address_of(*n) == to)
            .expect("datagrams are sent only to gateways of the simulation");
        let is_lost = self.random_fraction() < self.loss;
        let is_isolated = self.isolated.is_some_and(|n| n == to || n == from);
        if !is_lost && !is_isolated {
            self.network.push_back(Datagram {
                arrives_at_us: self.now_us + NETWORK_DELAY_US,
                from,
                to,
                bytes,
            });
        }
    }
}
