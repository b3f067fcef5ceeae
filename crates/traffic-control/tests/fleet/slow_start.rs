//! What all gateways together send to a server in slow start.

use crate::common::Rig;
use crate::fleet;
use frosthatch_traffic_control::{
    Action, CompletionStatus, Event, ListKind, Micros, RequestId, ServerEntry, ServerId, Settings,
    SlowStart, Timer,
};
use std::collections::BTreeMap;

/// Work of a request at a warm core.
const WORK_US: Micros = 50_000;

/// Indices of the two servers.
const WARM: usize = 0;
const COLD: usize = 1;

/// An attempt that ends.
struct EndedAttempt {
    gateway: usize,
    request: RequestId,
    attempt: u32,
    server: ServerId,
    status: CompletionStatus,
    elapsed_us: Micros,
}

/// What is due at a time.
enum Due {
    Answer(EndedAttempt),
    ListUpdate(usize),
    Restart(usize),
    Interval(usize),
    Request(usize),
}

/// Events by time, then in the order in which they were scheduled.
#[derive(Default)]
struct Schedule {
    due: BTreeMap<(Micros, u64), Due>,
    scheduled: u64,
}

impl Schedule {
    fn add(&mut self, at: Micros, event: Due) {
        self.scheduled += 1;
        self.due.insert((at, self.scheduled), event);
    }
}

/// A linear congruential generator.
struct Dice(u64);

impl Dice {
    fn draw(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }
}

/// What a server got in a span of time, beside what it may get.
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

/// A fleet of gateways, a server in slow start, and perhaps a warm one that cannot do all that is asked for. A server works
/// on as many requests at once as it has cores; the others wait.
struct Play {
    gateways: u32,
    cores: usize,
    has_warm_server: bool,
    began_us: Micros,
    slow_start: SlowStart,
    rigs: Vec<Rig>,
    schedule: Schedule,
    attempts: BTreeMap<(usize, RequestId), u32>,
    /// When each core of the warm server and of the cold one is free.
    cores_free_at: [Vec<Micros>; 2],
    sent_to_cold_at: Vec<Micros>,
}

fn change(settings: &mut Settings) {
    settings.plans[0].rate = 1e6;
    settings.plans[0].burst = 1e6;
    settings.has_counter = true;
}

impl Play {
    fn new(gateways: u32, cores: usize, has_warm_server: bool) -> Play {
        let rigs = fleet(gateways, change);
        Play {
            gateways,
            cores,
            has_warm_server,
            began_us: rigs[0].now,
            slow_start: Settings::example().slow_start,
            rigs,
            schedule: Schedule::default(),
            attempts: BTreeMap::new(),
            cores_free_at: [vec![0; cores], vec![0; cores]],
            sent_to_cold_at: Vec::new(),
        }
    }

    /// Each gateway hears of the start at another moment, and every fifth restarts in the middle.
    fn schedule_events(&mut self, seed: u64) {
        let began = self.began_us;
        let mut dice = Dice(seed);
        for gateway in 0..self.rigs.len() {
            let heard_at = began + dice.draw(1_000_000);
            self.schedule.add(heard_at, Due::ListUpdate(gateway));
            if gateway % 5 == 4 {
                let restarted_at = began + 2_000_000 + dice.draw(1_000_000);
                self.schedule.add(restarted_at, Due::Restart(gateway));
            }
            for second in 1..6 {
                self.schedule
                    .add(began + second * 1_000_000, Due::Interval(gateway));
            }
        }
        for number in 0..300 * self.cores as u64 {
            let gateway = dice.draw(self.rigs.len() as u64) as usize;
            let at = began + number * 20_000 / self.cores as u64;
            self.schedule.add(at, Due::Request(gateway));
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

    fn handle(&mut self, now: Micros, event: Due) -> (usize, Vec<Action>) {
        match event {
            Due::Answer(ended) => {
                let rig = self.rig_at(ended.gateway, now);
                let actions = rig.end_attempt(
                    ended.request,
                    ended.attempt,
                    &ended.server,
                    ended.status,
                    ended.elapsed_us,
                );
                (ended.gateway, actions)
            }
            Due::ListUpdate(gateway) => (gateway, self.update_list(gateway, now)),
            Due::Restart(gateway) => {
                self.rigs[gateway] = fleet(self.gateways, change).swap_remove(gateway);
                (gateway, self.update_list(gateway, now))
            }
            Due::Interval(gateway) => {
                let rig = self.rig_at(gateway, now);
                (gateway, rig.handle(Event::Timer(Timer::Interval)))
            }
            Due::Request(gateway) => {
                let rig = self.rig_at(gateway, now);
                let request = rig.request_with(|r| {
                    r.id.0 = r.id.0 * 1_000 + gateway as u64;
                    r.gateway_count = 1;
                });
                (gateway, request.1)
            }
        }
    }

    fn rig_at(&mut self, gateway: usize, now: Micros) -> &mut Rig {
        let rig = &mut self.rigs[gateway];
        rig.now = now;
        rig
    }

    fn update_list(&mut self, gateway: usize, now: Micros) -> Vec<Action> {
        let cold = ServerEntry {
            started_us: self.began_us,
            ..ServerEntry::ready("cold", "a")
        };
        let warm = self
            .has_warm_server
            .then(|| ServerEntry::ready("warm", "a"));
        let entries = warm.into_iter().chain([cold]).collect();
        self.rig_at(gateway, now)
            .update_servers(ListKind::Complete, entries)
    }

    /// A server works on an attempt, unless it takes too long for the gateway that sent it.
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
        let speed = if is_cold { self.warmth(now) } else { 1.0 };
        let attempts = self.attempts.entry((gateway, request)).or_default();
        let attempt = *attempts;
        *attempts += 1;
        let server_index = if is_cold { COLD } else { WARM };
        let core_free_at = self.cores_free_at[server_index]
            .iter_mut()
            .min()
            .expect("cores");
        let done_at = now.max(*core_free_at) + (WORK_US as f64 / speed) as Micros;
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
        self.schedule.add(now + elapsed_us, Due::Answer(ended));
    }

    fn warmth(&self, now: Micros) -> f64 {
        let age = (now - self.began_us) as f64 / self.slow_start.duration_us as f64;
        self.slow_start.initial_share + (1.0 - self.slow_start.initial_share) * age.min(1.0)
    }

    /// The span of time after `from` in which a server may be overloaded.
    fn span(&self, from: Micros) -> Span {
        let length_us = self.slow_start.overload_after_us;
        let sent = self
            .sent_to_cold_at
            .iter()
            .filter(|at| (from..from + length_us).contains(*at))
            .count();
        // A multiple of what its warmth lets it do.
        let allowed = self.slow_start.overload_multiple
            * self.warmth(from)
            * self.cores as f64
            * length_us as f64
            / WORK_US as f64;
        Span { sent, allowed }
    }

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

/// Without a common budget a server would fall under the sum of what all gateways send, each its own share and what it
/// saved up.
#[test]
fn all_gateways_together_do_not_overload_a_server_in_slow_start() {
    let fleets = [2, 3, 20, 30, 300]
        .into_iter()
        .flat_map(|g| [1, 4].map(|cores| (g, cores)));
    for (gateways, cores, warm) in
        fleets.flat_map(|(g, cores)| [true, false].map(|warm| (g, cores, warm)))
    {
        for seed in 1..4 {
            let mut play = Play::new(gateways, cores, warm);
            play.schedule_events(seed);
            play.run();
            let Span { sent, allowed } = play.worst_span();
            let most = allowed + 2.0 * allowed.sqrt() + 2.0;
            let what = format!(
                "{gateways} gateways, {cores} cores, warm {warm}: {sent} sent, {most:.1} at most"
            );
            println!("{what}");
            assert!(sent > 0 && sent as f64 <= most, "{what}");
        }
    }
}
