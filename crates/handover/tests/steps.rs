//! Both state machines through every order of messages, process ends and timeouts up to a depth: afterwards exactly one of the
//! processes that are alive accepts connections.

use frosthatch_handover::message::{Message, State, Version};
use frosthatch_handover::source::{self, HandoverSource};
use frosthatch_handover::target::{self, HandoverTarget};
use std::collections::VecDeque;
use std::time::Duration;

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    DeliverToSource,
    DeliverToTarget,
    Prepared,
    TargetDies,
    SourceDies,
    TimePasses,
}

const ALL: [Event; 6] = [
    Event::DeliverToSource,
    Event::DeliverToTarget,
    Event::Prepared,
    Event::TargetDies,
    Event::SourceDies,
    Event::TimePasses,
];

struct Simulation {
    source_machine: HandoverSource,
    target_machine: HandoverTarget,
    now: Duration,
    to_source: VecDeque<Message>,
    to_target: VecDeque<Message>,
    /// Of the source and of the target, as the next two.
    is_alive: [bool; 2],
    is_accepting: [bool; 2],
    is_connected: [bool; 2],
    is_prepared: bool,
    /// Whether the target process has bound its own listener.
    has_own_listener: bool,
}

impl Simulation {
    fn new() -> Simulation {
        let mut out = Vec::new();
        let target_machine = HandoverTarget::new(Duration::ZERO, 1, &mut out);
        let mut simulation = Simulation {
            source_machine: HandoverSource::default(),
            target_machine,
            now: Duration::ZERO,
            to_source: VecDeque::new(),
            to_target: VecDeque::new(),
            is_alive: [true, true],
            is_accepting: [true, false],
            is_connected: [true, true],
            is_prepared: false,
            has_own_listener: false,
        };
        simulation.apply_target_outputs(out);
        simulation
    }

    fn apply_source_outputs(&mut self, out: Vec<source::Output>) {
        for output in out {
            match output {
                source::Output::Send(message) => self.to_target.push_back(message),
                source::Output::SendWelcome => self.to_target.push_back(Message::Welcome {
                    version: Version { major: 1, minor: 0 },
                    listeners: vec!["clients".into()],
                    state: State::default(),
                }),
                source::Output::CloseConnection => self.is_connected[0] = false,
                source::Output::StartAccepting => self.is_accepting[0] = true,
                source::Output::StopAccepting => self.is_accepting[0] = false,
                _ => {}
            }
        }
    }

    fn apply_target_outputs(&mut self, out: Vec<target::Output>) {
        for output in out {
            match output {
                target::Output::Send(message) => self.to_source.push_back(message),
                target::Output::CloseConnection => self.is_connected[1] = false,
                target::Output::Bind => {
                    self.is_accepting[1] = true;
                    self.has_own_listener = true;
                }
                target::Output::StartAccepting => self.is_accepting[1] = true,
                target::Output::GiveUp(_) => {
                    self.is_alive[1] = false;
                    self.is_accepting[1] = false;
                }
                _ => {}
            }
        }
    }

    fn feed_source(&mut self, input: source::Input) {
        if self.is_alive[0] {
            let mut out = Vec::new();
            self.source_machine.handle(self.now, input, &mut out);
            self.apply_source_outputs(out);
        }
    }

    fn feed_target(&mut self, input: target::Input) {
        if self.is_alive[1] {
            let mut out = Vec::new();
            self.target_machine.handle(self.now, input, &mut out);
            self.apply_target_outputs(out);
        }
    }

    /// Applies an event; `false` if it cannot happen now.
    fn apply(&mut self, event: Event) -> bool {
        match event {
            Event::DeliverToSource if self.is_connected[0] => match self.to_source.pop_front() {
                Some(message) => self.feed_source(source::Input::Received(message)),
                // The end of the connection comes after all messages.
                None if !self.is_connected[1] || !self.is_alive[1] => {
                    self.is_connected[0] = false;
                    self.feed_source(source::Input::Disconnected);
                }
                None => return false,
            },
            Event::DeliverToTarget if self.is_connected[1] => match self.to_target.pop_front() {
                Some(message) => self.feed_target(target::Input::Received(message)),
                None if !self.is_connected[0] || !self.is_alive[0] => {
                    self.is_connected[1] = false;
                    self.feed_target(target::Input::Disconnected);
                }
                None => return false,
            },
            Event::DeliverToSource | Event::DeliverToTarget => return false,
            Event::Prepared if !self.is_prepared && self.is_alive[1] => {
                self.is_prepared = true;
                self.feed_target(target::Input::Prepared);
            }
            Event::Prepared => return false,
            Event::TargetDies if self.is_alive[1] => {
                self.is_alive[1] = false;
                self.is_accepting[1] = false;
            }
            Event::SourceDies if self.is_alive[0] => {
                self.is_alive[0] = false;
                self.is_accepting[0] = false;
            }
            Event::TargetDies | Event::SourceDies => return false,
            Event::TimePasses => {
                self.now += source::PREPARE_TIMEOUT / 2;
                self.feed_source(source::Input::Tick);
                self.feed_target(target::Input::Tick);
            }
        }
        true
    }

    /// Delivers all messages that are in flight.
    fn settle(&mut self) {
        for _ in 0..20 {
            let applied = [
                self.apply(Event::DeliverToSource),
                self.apply(Event::DeliverToTarget),
                self.apply(Event::Prepared),
            ];
            if applied == [false; 3] {
                return;
            }
        }
        panic!("it never settles");
    }
}

fn play(events: &[Event]) -> Option<Simulation> {
    let mut simulation = Simulation::new();
    events
        .iter()
        .all(|&event| simulation.apply(event))
        .then_some(simulation)
}

fn explore(events: &mut Vec<Event>, depth: usize, explored: &mut usize) {
    let Some(mut simulation) = play(events) else {
        return;
    };
    simulation.settle();
    *explored += 1;
    let accepting = simulation.is_accepting.iter().filter(|a| **a).count();
    let alive = simulation.is_alive.iter().filter(|l| **l).count();
    assert!(
        alive == 0 || accepting >= 1,
        "nobody accepts after {events:?}"
    );
    assert!(
        accepting <= 1 || simulation.has_own_listener,
        "two accept after {events:?}"
    );
    if depth > 0 {
        for event in ALL {
            events.push(event);
            explore(events, depth - 1, explored);
            events.pop();
        }
    }
}

#[test]
fn exactly_one_process_accepts_after_every_order_of_events() {
    let mut explored = 0;
    explore(&mut Vec::new(), 8, &mut explored);
    assert!(explored > 5_000, "{explored} orders");
}

#[test]
fn an_undisturbed_handover_ends_with_the_new_process() {
    let events = [
        Event::DeliverToSource,
        Event::DeliverToTarget,
        Event::Prepared,
        Event::DeliverToSource,
        Event::DeliverToTarget,
        Event::SourceDies,
    ];
    let mut simulation = play(&events).expect("it can happen");
    simulation.settle();
    assert_eq!(
        (simulation.is_accepting, simulation.target_machine.stage()),
        ([false, true], target::Stage::Alone)
    );
}

#[test]
fn a_new_process_that_hangs_is_given_up() {
    let mut source = HandoverSource::default();
    let mut out = Vec::new();
    let hello = Message::Hello {
        version: Version { major: 1, minor: 3 },
        pid: 1,
    };
    source.handle(Duration::ZERO, source::Input::Received(hello), &mut out);
    source.handle(
        source::PREPARE_TIMEOUT - Duration::from_millis(1),
        source::Input::Tick,
        &mut out,
    );
    assert!(matches!(source.stage(), source::Stage::Offered { .. }));
    out.clear();
    source.handle(source::PREPARE_TIMEOUT, source::Input::Tick, &mut out);
    assert_eq!(source.stage(), source::Stage::Idle);
    assert!(
        out.contains(&source::Output::CloseConnection)
            && out.contains(&source::Output::RestoreCapacity)
    );
}

#[test]
fn a_terminating_process_rejects_a_handover() {
    let mut source = HandoverSource::default();
    let mut out = Vec::new();
    source.handle(Duration::ZERO, source::Input::Terminate, &mut out);
    let hello = Message::Hello {
        version: Version { major: 1, minor: 0 },
        pid: 1,
    };
    source.handle(Duration::ZERO, source::Input::Received(hello), &mut out);
    assert!(
        !out.contains(&source::Output::SendWelcome)
            && out.contains(&source::Output::CloseConnection)
    );
}
