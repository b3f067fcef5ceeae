//! State and clock of the simulation, and the browser's reports.

use super::exchange::{Arrival, ResolverBehavior, SentQuery, Subscription};
use super::fixtures::SECOND_US;
use frosthatch_discovery::dnssd::browser::{Browser, Output};
use frosthatch_discovery::dnssd::DnsSdConfig;
use frosthatch_engine::{Endpoint, EndpointState};
use frosthatch_test_doubles::Zone;
use frosthatch_traffic_control::ListKind;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// One endpoint update from the browser: its time in microseconds, its kind, and the endpoints.
pub type EndpointUpdate = (u64, ListKind, Vec<Endpoint>);

/// A browser with its simulated servers, and a record of its outputs.
pub struct Simulation {
    pub browser: Browser,
    pub now_us: u64,
    /// The zone of each resolver.
    pub zones: Vec<Zone>,
    pub resolver_behaviors: Vec<ResolverBehavior>,
    /// Whether the push server accepts connections.
    pub push_server_is_up: bool,
    /// Whether the push server sends neither responses nor changes.
    pub push_server_is_silent: bool,
    /// The subscriptions of the open session; `None`: no session is open.
    pub subscriptions: Option<Vec<Subscription>>,
    /// Events in transit to the browser, with their arrival time in microseconds, in order of arrival.
    arrivals: VecDeque<(u64, Arrival)>,
    /// The endpoints after all updates so far, by uid.
    pub endpoints: BTreeMap<String, Endpoint>,
    pub updates: Vec<EndpointUpdate>,
    pub log: Vec<String>,
    pub queries_sent_at_us: Vec<u64>,
    pub tcp_queries: usize,
    pub push_connections: usize,
}

impl Simulation {
    pub fn new(config: DnsSdConfig, zones: Vec<Zone>) -> Simulation {
        Simulation::with_known_endpoints(config, zones, Vec::new())
    }

    pub fn with_known_endpoints(
        config: DnsSdConfig,
        zones: Vec<Zone>,
        known_endpoints: Vec<Endpoint>,
    ) -> Simulation {
        let now_us = 1_700_000_000 * SECOND_US;
        Simulation {
            browser: Browser::new(config, known_endpoints, 7, now_us),
            now_us,
            resolver_behaviors: vec![ResolverBehavior::Normal; zones.len()],
            zones,
            push_server_is_up: true,
            push_server_is_silent: false,
            subscriptions: None,
            arrivals: VecDeque::new(),
            endpoints: BTreeMap::new(),
            updates: Vec::new(),
            log: Vec::new(),
            queries_sent_at_us: Vec::new(),
            tcp_queries: 0,
            push_connections: 0,
        }
    }

    /// Runs the simulation for this much virtual time.
    pub fn run(&mut self, duration_us: u64) {
        let until_us = self.now_us + duration_us;
        let mut steps = 0;
        loop {
            steps += 1;
            assert!(
                steps < 2_000_000,
                "the browser must not need 2,000,000 steps in one run"
            );
            let arrival_at_us = self.arrivals.front().map(|(at_us, _)| *at_us);
            let next_us = self
                .browser
                .next_wakeup_us(self.now_us)
                .max(self.now_us)
                .min(arrival_at_us.unwrap_or(u64::MAX));
            if next_us > until_us {
                self.now_us = until_us;
                return;
            }
            self.now_us = next_us;
            let has_arrived = arrival_at_us.is_some_and(|at_us| at_us <= self.now_us);
            let arrival = if has_arrived {
                self.arrivals.pop_front().map(|(_, arrival)| arrival)
            } else {
                None
            };
            self.handle(arrival.as_ref());
        }
    }

    fn handle(&mut self, arrival: Option<&Arrival>) {
        let mut outputs = Vec::new();
        let input = arrival.map(Arrival::to_input);
        self.browser.handle(self.now_us, input, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
    }

    /// Delivers a datagram on the socket of a query.
    pub fn inject_datagram(&mut self, query_id: u64, from: SocketAddr, bytes: Vec<u8>) {
        let arrival = Arrival::Datagram {
            query_id,
            from,
            bytes,
        };
        self.schedule(0, arrival);
    }

    /// Schedules an event to reach the browser after `delay_us`.
    pub fn schedule(&mut self, delay_us: u64, arrival: Arrival) {
        let at_us = self.now_us + delay_us;
        let index = self
            .arrivals
            .iter()
            .position(|(other_at_us, _)| *other_at_us > at_us)
            .unwrap_or(self.arrivals.len());
        self.arrivals.insert(index, (at_us, arrival));
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::SendQuery {
                query_id,
                to,
                transport,
                bytes,
            } => self.answer_query(SentQuery {
                query_id,
                to,
                transport,
                bytes,
            }),
            Output::CloseQuery { .. } => {}
            Output::UpdateEndpoints { kind, endpoints } => self.record_update(kind, endpoints),
            Output::ConnectPush(_) => self.handle_push_connection(),
            Output::WritePush(bytes) => self.handle_push_request(&bytes),
            Output::ClosePush => self.subscriptions = None,
            Output::Log(line) => self.log.push(line),
        }
    }

    fn record_update(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) {
        if kind == ListKind::Complete {
            self.endpoints.clear();
        }
        for endpoint in &endpoints {
            if endpoint.state == EndpointState::Gone {
                self.endpoints.remove(&endpoint.uid);
            } else {
                self.endpoints
                    .insert(endpoint.uid.clone(), endpoint.clone());
            }
        }
        self.updates.push((self.now_us, kind, endpoints));
    }

    pub fn endpoint_state(&self, uid: &str) -> Option<EndpointState> {
        self.endpoints.get(uid).map(|endpoint| endpoint.state)
    }

    /// Returns the number of ready endpoints.
    pub fn ready_count(&self) -> usize {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.state == EndpointState::Ready)
            .count()
    }
}
