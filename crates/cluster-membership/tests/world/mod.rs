//! A simulation of members and the network between them, in virtual time (microseconds).
#![allow(
    dead_code,
    reason = "each test program that includes this module uses a part of it"
)]

use cpu_time::ThreadTime;
use frosthatch_cluster_membership::seal::Keys;
use frosthatch_cluster_membership::{LifecyclePhase, Membership, MembershipConfig, Output};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between the ticks of a member.
pub const TICK_US: u64 = 50_000;
/// One second.
pub const SECOND_US: u64 = 1_000_000;
const SECRET: &[u8] = &[7; 32];
/// Upper bound of the datagrams queued at the socket of a stopped member.
const MAX_QUEUED_DATAGRAMS: usize = 200;

/// Returns the key of the simulated cluster.
pub fn keys() -> Keys {
    Keys::from_secret(0, SECRET).expect("the secret is long enough")
}

/// Returns the address of the member `n`.
pub fn address_of(n: usize) -> SocketAddr {
    ([127, 0, (n / 250) as u8, 1], 7_000 + (n % 250) as u16).into()
}

/// Returns the index of the member at an address, the inverse of [`address_of`].
fn index_of(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else {
        return None;
    };
    let offset = usize::from(v4.port().checked_sub(7_000)?);
    Some(usize::from(v4.ip().octets()[2]) * 250 + offset)
}

/// Returns the configuration of the member `n` of `count`.
pub fn config(n: usize, count: usize, started_at_unix_ms: u64) -> MembershipConfig {
    MembershipConfig {
        name: format!("n{n}"),
        number: n as u16,
        gateway_count: count as u16,
        zone: format!("z{}", n % 3),
        region: "north".into(),
        program: "0.2.0".into(),
        advertise: address_of(n),
        seeds: (0..count.min(3)).map(address_of).collect(),
        update_interval_us: TICK_US,
        probe_interval_us: 200_000,
        bytes_per_s: 250_000,
        messages_per_s: 400,
        max_usage_counters: 10_000,
        max_members: 2_000,
        forget_us: 30 * SECOND_US,
        started_at_unix_ms,
        seed: started_at_unix_ms * 1_000 + n as u64,
    }
}

/// A member with its recorded outputs and costs.
pub struct Node {
    pub membership: Membership,
    /// Whether the process is stopped, so that datagrams are queued at its socket.
    pub is_stopped: bool,
    socket_queue: Vec<(SocketAddr, Vec<u8>)>,
    /// Offset of the member's clock from the virtual time.
    pub clock_skew_us: u64,
    /// Units that other members reported to this one, by customer.
    pub peer_usage: BTreeMap<u32, f64>,
    /// Units that were reported as admitted before their gateway's process instance became known, by customer.
    pub earlier_usage: BTreeMap<u32, f64>,
    /// When each gateway last reported all of its usage, by gateway number.
    pub last_complete_report_at_us: BTreeMap<u32, u64>,
    /// Gateway numbers that no member uses, as last reported.
    pub absent_gateways: Vec<u32>,
    /// Log lines with their times.
    pub log_lines: Vec<(u64, String)>,
    /// Total size of the sent datagrams.
    pub sent_bytes: u64,
    /// Number of sent datagrams.
    pub sent_datagrams: u64,
    /// Processor time of all calls.
    pub processor_time: Duration,
    /// Processor time of the longest call.
    pub longest_call: Duration,
    /// Number of calls.
    pub call_count: u64,
    /// Number of calls that took more than a millisecond.
    pub calls_over_1ms: u64,
}

impl Node {
    fn new(membership: Membership) -> Node {
        Node {
            membership,
            is_stopped: false,
            socket_queue: Vec::new(),
            clock_skew_us: 0,
            peer_usage: BTreeMap::new(),
            earlier_usage: BTreeMap::new(),
            last_complete_report_at_us: BTreeMap::new(),
            absent_gateways: Vec::new(),
            log_lines: Vec::new(),
            sent_bytes: 0,
            sent_datagrams: 0,
            processor_time: Duration::ZERO,
            longest_call: Duration::ZERO,
            call_count: 0,
            calls_over_1ms: 0,
        }
    }

    /// Calls the member, measures the processor time of the call and returns the outputs.
    fn call(&mut self, call: impl FnOnce(&mut Membership, &mut Vec<Output>)) -> Vec<Output> {
        let mut outputs = Vec::new();
        let started = ThreadTime::now();
        call(&mut self.membership, &mut outputs);
        let elapsed = started.elapsed();
        self.processor_time += elapsed;
        self.longest_call = self.longest_call.max(elapsed);
        self.call_count += 1;
        self.calls_over_1ms += u64::from(elapsed > Duration::from_millis(1));
        outputs
    }
}

/// A datagram in flight, ordered by the time of arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlightDatagram {
    arrives_at_us: u64,
    sequence: u64,
    to: usize,
    from: usize,
    bytes: Vec<u8>,
}

/// The simulated members with the network between them.
pub struct World {
    /// Virtual time.
    pub now_us: u64,
    /// Number of members that may be started.
    pub count: usize,
    /// Running members by index; `None` for one that is not running.
    pub nodes: Vec<Option<Node>>,
    in_flight: BinaryHeap<Reverse<InFlightDatagram>>,
    sent_count: u64,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Minimum and maximum delay of a datagram.
    pub delay_range_us: (u64, u64),
    /// Whether all datagrams from one member (first argument) to another (second argument) are lost.
    pub is_link_cut: Box<dyn Fn(usize, usize) -> bool>,
    random_state: u64,
    /// Sender, receiver and bytes of each datagram put on the network, if these are recorded.
    pub recorded_datagrams: Option<Vec<(usize, usize, Vec<u8>)>>,
}

impl World {
    /// Creates a world in which no member is running.
    pub fn new(count: usize, seed: u64) -> World {
        World {
            now_us: SECOND_US,
            count,
            nodes: (0..count).map(|_| None).collect(),
            in_flight: BinaryHeap::new(),
            sent_count: 0,
            loss: 0.0,
            delay_range_us: (1_000, 1_000),
            is_link_cut: Box::new(|_, _| false),
            random_state: seed,
            recorded_datagrams: None,
        }
    }

    /// Creates a world in which all members are running and have joined each other.
    pub fn converged(count: usize, seed: u64) -> World {
        let mut world = World::new(count, seed);
        (0..count).for_each(|n| world.start(n));
        world.run(3 * SECOND_US);
        world
    }

    /// Starts the member `n` with its default configuration.
    pub fn start(&mut self, n: usize) {
        self.start_with(n, config(n, self.count, self.now_us / 1_000));
    }

    /// Starts the member `n` in the phase [`LifecyclePhase::Ready`] with the given configuration.
    pub fn start_with(&mut self, n: usize, config: MembershipConfig) {
        let mut membership = Membership::new(config, keys());
        membership.set_phase(self.now_us, LifecyclePhase::Ready);
        self.nodes[n] = Some(Node::new(membership));
    }

    /// Ends the process of the member `n` without notice.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
    }

    /// Returns the running member `n`.
    pub fn node(&mut self, n: usize) -> &mut Node {
        self.nodes[n].as_mut().expect("the member is running")
    }

    /// Returns the state machine of the member `n`.
    pub fn membership(&self, n: usize) -> &Membership {
        &self.nodes[n]
            .as_ref()
            .expect("the member is running")
            .membership
    }

    /// Returns a random number from 0 to below 1.
    pub fn random_fraction(&mut self) -> f64 {
        self.random_state = self
            .random_state
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.random_state >> 33) as f64 / f64::from(1u32 << 31)
    }

    /// Runs for a number of microseconds in steps of a millisecond. The members tick in different steps.
    pub fn run(&mut self, us: u64) {
        let end_us = self.now_us + us;
        while self.now_us < end_us {
            self.now_us += 1_000;
            while let Some(datagram) = self.next_arrival() {
                self.deliver(datagram.to, address_of(datagram.from), &datagram.bytes);
            }
            let phase = (self.now_us / 1_000 % (TICK_US / 1_000)) as usize;
            for n in (phase..self.nodes.len()).step_by(TICK_US as usize / 1_000) {
                self.tick(n);
            }
        }
    }

    /// Removes and returns the next datagram that has arrived by now.
    fn next_arrival(&mut self) -> Option<InFlightDatagram> {
        let next = self.in_flight.peek()?;
        if next.0.arrives_at_us > self.now_us {
            return None;
        }
        self.in_flight.pop().map(|datagram| datagram.0)
    }

    /// Delivers the datagrams queued at a member that is not stopped, and ticks the member.
    fn tick(&mut self, n: usize) {
        let now_us = self.now_us;
        let Some(node) = self.nodes[n].as_mut().filter(|node| !node.is_stopped) else {
            return;
        };
        for (from, bytes) in std::mem::take(&mut node.socket_queue) {
            self.deliver(n, from, &bytes);
        }
        let Some(node) = self.nodes[n].as_mut() else {
            return;
        };
        let now_us = now_us + node.clock_skew_us;
        let outputs = node.call(|membership, outputs| membership.tick(now_us, outputs));
        self.execute_outputs(n, outputs);
    }

    /// Delivers a datagram at once, or queues it if the member is stopped.
    pub fn deliver(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let now_us = self.now_us;
        let Some(node) = self.nodes[to].as_mut() else {
            return;
        };
        if node.is_stopped {
            if node.socket_queue.len() < MAX_QUEUED_DATAGRAMS {
                node.socket_queue.push((from, bytes.to_vec()));
            }
            return;
        }
        let now_us = now_us + node.clock_skew_us;
        let outputs = node.call(|membership, outputs| {
            membership.handle_datagram(now_us, from, bytes, outputs);
        });
        self.execute_outputs(to, outputs);
    }

    /// Sends the datagrams in `outputs` and records the other outputs at the member `n`.
    fn execute_outputs(&mut self, n: usize, outputs: Vec<Output>) {
        for output in outputs {
            if let Output::Send { to, bytes } = output {
                self.send(n, to, bytes);
                continue;
            }
            let now_us = self.now_us;
            let Some(node) = self.nodes[n].as_mut() else {
                return;
            };
            match output {
                Output::Send { .. } | Output::MessageReceived { .. } => {}
                Output::UsageReported {
                    complete_gateways,
                    uses,
                    earlier_uses,
                } => {
                    node.last_complete_report_at_us.extend(
                        complete_gateways
                            .into_iter()
                            .map(|gateway| (gateway, now_us)),
                    );
                    for (_, tag, units) in uses {
                        *node.peer_usage.entry(tag).or_default() += units;
                    }
                    for (tag, units) in earlier_uses {
                        *node.earlier_usage.entry(tag).or_default() += units;
                    }
                }
                Output::GatewaysAbsent(absent_gateways) => node.absent_gateways = absent_gateways,
                Output::Log(line) => node.log_lines.push((now_us, line)),
            }
        }
    }

    /// Puts a datagram on the network, unless it is lost.
    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= 1_200);
        let node = self.nodes[from]
            .as_mut()
            .expect("only a running member sends");
        node.sent_bytes += bytes.len() as u64;
        node.sent_datagrams += 1;
        let Some(to) = index_of(to).filter(|n| *n < self.count) else {
            return;
        };
        let is_lost = self.random_fraction() < self.loss || (self.is_link_cut)(from, to);
        let (min_delay_us, max_delay_us) = self.delay_range_us;
        let extra_delay_us = (self.random_fraction() * (max_delay_us - min_delay_us) as f64) as u64;
        if is_lost {
            return;
        }
        if let Some(recorded) = &mut self.recorded_datagrams {
            recorded.push((from, to, bytes.clone()));
        }
        self.sent_count += 1;
        self.in_flight.push(Reverse(InFlightDatagram {
            arrives_at_us: self.now_us + min_delay_us + extra_delay_us,
            sequence: self.sent_count,
            to,
            from,
            bytes,
        }));
    }

    /// Returns the members whose processes are running.
    pub fn running(&self) -> Vec<usize> {
        let is_running = |n: &usize| self.nodes[*n].as_ref().is_some_and(|node| !node.is_stopped);
        (0..self.count).filter(is_running).collect()
    }

    /// Returns the state of the member `member` as known to the member `observer`.
    pub fn state(&self, member: usize, observer: usize) -> &'static str {
        let name = format!("n{member}");
        self.membership(observer)
            .members()
            .find(|status| status.record.name == name)
            .map_or("unknown", |status| status.record.state())
    }

    /// Returns whether all other running members see the member `member` in the given state.
    pub fn all_see(&self, member: usize, state: &str) -> bool {
        self.running()
            .into_iter()
            .filter(|observer| *observer != member)
            .all(|observer| self.state(member, observer) == state)
    }

    /// Returns whether all running members have the same view.
    pub fn views_equal(&self) -> bool {
        let digests: Vec<u64> = self
            .running()
            .iter()
            .map(|n| self.membership(*n).view().digest)
            .collect();
        digests.windows(2).all(|w| w[0] == w[1])
    }

    /// Runs until a condition holds and returns the elapsed microseconds; `None` if it does not hold after
    /// `timeout_us`.
    pub fn run_until(&mut self, timeout_us: u64, holds: impl Fn(&World) -> bool) -> Option<u64> {
        let from_us = self.now_us;
        while self.now_us < from_us + timeout_us {
            if holds(self) {
                return Some(self.now_us - from_us);
            }
            self.run(TICK_US);
        }
        holds(self).then_some(self.now_us - from_us)
    }

    /// Returns the log lines that report a member dead, with the member that wrote them and the time.
    pub fn death_log_lines(&self) -> Vec<(usize, u64, String)> {
        let mut death_log_lines = Vec::new();
        for (n, node) in self.nodes.iter().enumerate() {
            let lines = node.iter().flat_map(|node| &node.log_lines);
            for (at, line) in lines.filter(|(_, line)| line.contains(": dead")) {
                death_log_lines.push((n, *at, line.clone()));
            }
        }
        death_log_lines
    }
}
