//! Tests how many attempts all gateways together send to a server in slow start.

use crate::common::TestGateway;
use crate::start_fleet;
use frosthatch_traffic_control::{
    Action, CompletionStatus, Event, ListKind, Micros, RequestId, ServerEntry, ServerId, Settings,
    SlowStart, Timer,
};
use std::collections::BTreeMap;

/// Service time of a request on one core of a warm server.
const SERVICE_TIME_US: Micros = 50_000;

/// Index of the warm server.
const WARM: usize = 0;
/// Index of the server in slow start.
const COLD: usize = 1;

/// The end of an attempt.
struct EndedAttempt {
    gateway: usize,
    request: RequestId,
    attempt: u32,
    server: ServerId,
    status: CompletionStatus,
    elapsed_us: Micros,
}

/// A scheduled event; those with a number are events of the gateway with this index.
enum ScheduledEvent {
    Answer(EndedAttempt),
    ListUpdate(usize),
    Restart(usize),
    Interval(usize),
    Request(usize),
}

/// Scheduled events, by time and then in the order of scheduling.
#[derive(Default)]
struct Schedule {
    due: BTreeMap<(Micros, u64), ScheduledEvent>,
    scheduled: u64,
}

impl Schedule {
    fn add(&mut self, at: Micros, event: ScheduledEvent) {
        self.scheduled += 1;
        self.due.insert((at, self.scheduled), event);
    }
}

/// A linear congruential random number generator.
struct RandomNumbers(u64);

impl RandomNumbers {
    /// Returns a number less than `below`.
    fn draw(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }
}

/// Number of attempts sent to the server in a span of time, and the maximum, which includes the permitted overload.
#[derive(Clone, Copy)]
struct Span {
    sent: usize,
    allowed: f64,
}

impl Span {
    fn excess(&self) -> f64 {
        self.sent as f64 - self.allowed
    }
}

/// A fleet of gateways with a server in slow start and optionally a warm server that cannot serve all requests. A server
/// processes as many requests at once as it has cores; the others wait.
struct Simulation {
    gateway_count: u32,
    cores: usize,
    has_warm_server: bool,
    server_started_us: Micros,
    slow_start: SlowStart,
    gateways: Vec<TestGateway>,
    schedule: Schedule,
    attempts: BTreeMap<(usize, RequestId), u32>,
    /// Time when each core of the warm server, and of the one in slow start, is free.
    cores_free_at: [Vec<Micros>; 2],
    /// Times of the sends to the server in slow start.
    sent_to_cold_at: Vec<Micros>,
}

fn adjust_settings(settings: &mut Settings) {
    settings.plans[0].rate = 1e6;
    settings.plans[0].burst = 1e6;
    settings.has_counter = true;
}

impl Simulation {
    fn new(gateway_count: u32, cores: usize, has_warm_server: bool) -> Simulation {
        let gateways = start_fleet(gateway_count, adjust_settings);
        Simulation {
            gateway_count,
            cores,
            has_warm_server,
            server_started_us: gateways[0].now,
            slow_start: Settings::example().slow_start,
            gateways,
            schedule: Schedule::default(),
            attempts: BTreeMap::new(),
            cores_free_at: [vec![0; cores], vec![0; cores]],
            sent_to_cold_at: Vec::new(),
        }
    }

    /// Schedules all events: each gateway learns of the server's start at another time, and every fifth gateway restarts midway.
    fn schedule_events(&mut self, seed: u64) {
        let server_started_us = self.server_started_us;
        let mut random = RandomNumbers(seed);
        for gateway in 0..self.gateways.len() {
            let update_at = server_started_us + random.draw(1_000_000);
            self.schedule
                .add(update_at, ScheduledEvent::ListUpdate(gateway));
            if gateway % 5 == 4 {
                let restart_at = server_started_us + 2_000_000 + random.draw(1_000_000);
                self.schedule
                    .add(restart_at, ScheduledEvent::Restart(gateway));
            }
            for second in 1..6 {
                self.schedule.add(
                    server_started_us + second * 1_000_000,
                    ScheduledEvent::Interval(gateway),
                );
            }
        }
        for number in 0..300 * self.cores as u64 {
            let gateway = random.draw(self.gateways.len() as u64) as usize;
            let at = server_started_us + number * 20_000 / self.cores as u64;
            self.schedule.add(at, ScheduledEvent::Request(gateway));
        }
    }

    fn run(&mut self) {
        while let Some(((now, _), event)) = self.schedule.due.pop_first() {
            let (gateway, actions) = self.handle(now, event);
            for action in actions {
                if let Action::Send {
                    request,
                    server,
                    timeout_us,
                    ..
                } = action
                {
                    self.serve(now, gateway, request, server, timeout_us);
                }
            }
        }
    }

    fn handle(&mut self, now: Micros, event: ScheduledEvent) -> (usize, Vec<Action>) {
        match event {
            ScheduledEvent::Answer(ended) => {
                let test_gateway = self.gateway_at(ended.gateway, now);
                let actions = test_gateway.end_attempt(
                    ended.request,
                    ended.attempt,
                    &ended.server,
                    ended.status,
                    ended.elapsed_us,
                );
                (ended.gateway, actions)
            }
            ScheduledEvent::ListUpdate(gateway) => (gateway, self.update_list(gateway, now)),
            ScheduledEvent::Restart(gateway) => {
                self.gateways[gateway] =
                    start_fleet(self.gateway_count, adjust_settings).swap_remove(gateway);
                (gateway, self.update_list(gateway, now))
            }
            ScheduledEvent::Interval(gateway) => {
                let test_gateway = self.gateway_at(gateway, now);
                (gateway, test_gateway.handle(Event::Timer(Timer::Interval)))
            }
            ScheduledEvent::Request(gateway) => {
                let test_gateway = self.gateway_at(gateway, now);
                let request = test_gateway.request_with(|r| {
                    r.id.0 = r.id.0 * 1_000 + gateway as u64;
                    r.gateway_count = 1;
                });
                (gateway, request.1)
            }
        }
    }

    fn gateway_at(&mut self, gateway: usize, now: Micros) -> &mut TestGateway {
        let test_gateway = &mut self.gateways[gateway];
        test_gateway.now = now;
        test_gateway
    }

    fn update_list(&mut self, gateway: usize, now: Micros) -> Vec<Action> {
        let cold = ServerEntry {
            started_us: self.server_started_us,
            ..ServerEntry::ready("cold", "a")
        };
        let warm = self
            .has_warm_server
            .then(|| ServerEntry::ready("warm", "a"));
        let entries = warm.into_iter().chain([cold]).collect();
        self.gateway_at(gateway, now)
            .update_servers(ListKind::Complete, entries)
    }

    /// Processes an attempt at a server, and schedules its end. An attempt that would exceed its timeout takes no core.
    fn serve(
        &mut self,
        now: Micros,
        gateway: usize,
        request: RequestId,
        server: ServerId,
        timeout_us: Micros,
    ) {
        let is_cold = &*server.0 == "cold";
        if is_cold {
            self.sent_to_cold_at.push(now);
        }
        let speed = if is_cold {
            self.capacity_share(now)
        } else {
            1.0
        };
        let attempts = self.attempts.entry((gateway, request)).or_default();
        let attempt = *attempts;
        *attempts += 1;
        let server_index = if is_cold { COLD } else { WARM };
        let core_free_at = self.cores_free_at[server_index]
            .iter_mut()
            .min()
            .expect("a server has at least one core");
        let done_at = now.max(*core_free_at) + (SERVICE_TIME_US as f64 / speed) as Micros;
        let times_out = done_at - now > timeout_us;
        let (status, elapsed_us) = if times_out {
            (CompletionStatus::NoAnswer, timeout_us)
        } else {
            *core_free_at = done_at;
            (CompletionStatus::Served, done_at - now)
        };
        let ended = EndedAttempt {
            gateway,
            request,
            attempt,
            server,
            status,
            elapsed_us,
        };
        self.schedule
            .add(now + elapsed_us, ScheduledEvent::Answer(ended));
    }

    /// Returns the share of its capacity that the server in slow start has reached.
    fn capacity_share(&self, now: Micros) -> f64 {
        let age = (now - self.server_started_us) as f64 / self.slow_start.duration_us as f64;
        self.slow_start.initial_share + (1.0 - self.slow_start.initial_share) * age.min(1.0)
    }

    /// Counts the attempts in the span that starts at `from` and lasts as long as a server can be overloaded without harm.
    fn span(&self, from: Micros) -> Span {
        let length_us = self.slow_start.overload_after_us;
        let sent = self
            .sent_to_cold_at
            .iter()
            .filter(|at| (from..from + length_us).contains(*at))
            .count();
        // The attempts that the server can process in the span at its capacity at `from`, times the overload multiple.
        let allowed = self.slow_start.overload_multiple
            * self.capacity_share(from)
            * self.cores as f64
            * length_us as f64
            / SERVICE_TIME_US as f64;
        Span { sent, allowed }
    }

    /// Returns the span with the largest excess.
    fn worst_span(&self) -> Span {
        let by_excess = |a: &Span, b: &Span| a.excess().total_cmp(&b.excess());
        self.sent_to_cold_at
            .iter()
            .map(|at| self.span(*at))
            .max_by(by_excess)
            .unwrap_or(Span {
                sent: 0,
                allowed: 1.0,
            })
    }
}

/// If each gateway sent its own share and the attempts it saved up, all gateways together would overload the server; so they
/// share one budget.
#[test]
fn all_gateways_together_do_not_overload_a_server_in_slow_start() {
    let fleets = [2, 3, 20, 30, 300]
        .into_iter()
        .flat_map(|g| [1, 4].map(|cores| (g, cores)));
    for (gateway_count, cores, has_warm_server) in fleets
        .flat_map(|(g, cores)| [true, false].map(|has_warm_server| (g, cores, has_warm_server)))
    {
        for seed in 1..4 {
            let mut simulation = Simulation::new(gateway_count, cores, has_warm_server);
            simulation.schedule_events(seed);
            simulation.run();
            let Span { sent, allowed } = simulation.worst_span();
            let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
            let result = format!(
                "{gateway_count} gateways, {cores} cores, warm server: {has_warm_server}: {sent} sent, limit {limit:.1}"
            );
            println!("{result}");
            assert!(sent > 0 && sent as f64 <= limit, "{result}");
        }
    }
}
