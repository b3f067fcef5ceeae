//! Runs both state machines through every order of messages, process ends and timeouts up to a maximum length.
//! Afterwards a live process has to accept connections, and at most one of them on the shared listener.

use frosthatch_handover::message::{Message, TransferredState, Version};
use frosthatch_handover::source::{self, HandoverSource};
use frosthatch_handover::target::{self, HandoverTarget};
use std::collections::VecDeque;
use std::time::Duration;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    DeliverToSource,
    DeliverToTarget,
    Prepared,
    TargetEnded,
    SourceEnded,
    TimeElapsed,
}

const EVENTS: [Event; 6] = [
    Event::DeliverToSource,
    Event::DeliverToTarget,
    Event::Prepared,
    Event::TargetEnded,
    Event::SourceEnded,
    Event::TimeElapsed,
];

struct Simulation {
    source_machine: HandoverSource,
    target_machine: HandoverTarget,
    now: Duration,
    /// Messages in flight to the source.
    to_source: VecDeque<Message>,
    /// Messages in flight to the target.
    to_target: VecDeque<Message>,
    /// Whether the source process (index 0) and the target process (index 1) are alive.
    is_alive: [bool; 2],
    /// Whether the source process (index 0) and the target process (index 1) accept client connections.
    is_accepting: [bool; 2],
    /// Whether the source process (index 0) and the target process (index 1) have the connection to each other open.
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
                    state: TransferredState::default(),
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
                target::Output::EndProcess(_) => {
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

    /// Applies an event. Returns `false` if the event cannot occur in the current state.
    fn apply(&mut self, event: Event) -> bool {
        match event {
            Event::DeliverToSource if self.is_connected[0] => match self.to_source.pop_front() {
                Some(message) => self.feed_source(source::Input::Received(message)),
                // The end of the connection is received after all messages.
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
            Event::TargetEnded if self.is_alive[1] => {
                self.is_alive[1] = false;
                self.is_accepting[1] = false;
            }
            Event::SourceEnded if self.is_alive[0] => {
                self.is_alive[0] = false;
                self.is_accepting[0] = false;
            }
            Event::TargetEnded | Event::SourceEnded => return false,
            Event::TimeElapsed => {
                self.now += source::PREPARE_TIMEOUT / 2;
                self.feed_source(source::Input::Tick);
                self.feed_target(target::Input::Tick);
            }
        }
        true
    }

    /// Delivers all messages in flight and reports the target process as prepared.
    fn deliver_all(&mut self) {
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
        panic!("messages are still in flight after 20 rounds");
    }
}

fn run_events(events: &[Event]) -> Option<Simulation> {
    let mut simulation = Simulation::new();
    events
        .iter()
        .all(|&event| simulation.apply(event))
        .then_some(simulation)
}

fn explore_event_orders(events: &mut Vec<Event>, depth: usize, explored_orders: &mut usize) {
    let Some(mut simulation) = run_events(events) else {
        return;
    };
    simulation.deliver_all();
    *explored_orders += 1;
    let accepting_processes = simulation
        .is_accepting
        .iter()
        .filter(|is_accepting| **is_accepting)
        .count();
    let live_processes = simulation
        .is_alive
        .iter()
        .filter(|is_alive| **is_alive)
        .count();
    assert!(
        live_processes == 0 || accepting_processes >= 1,
        "a live process accepts connections after {events:?}"
    );
    assert!(
        accepting_processes <= 1 || simulation.has_own_listener,
        "at most one process accepts on the shared listener after {events:?}"
    );
    if depth > 0 {
        for event in EVENTS {
            events.push(event);
            explore_event_orders(events, depth - 1, explored_orders);
            events.pop();
        }
    }
}

#[test]
fn a_live_process_accepts_and_only_one_on_the_shared_listener() {
    let mut explored_orders = 0;
    explore_event_orders(&mut Vec::new(), 8, &mut explored_orders);
    assert!(
        explored_orders > 5_000,
        "more than 5,000 orders of events are explored, got {explored_orders}"
    );
}

#[test]
fn only_the_new_process_accepts_after_a_handover_without_faults() {
    let events = [
        Event::DeliverToSource,
        Event::DeliverToTarget,
        Event::Prepared,
        Event::DeliverToSource,
        Event::DeliverToTarget,
        Event::SourceEnded,
    ];
    let mut simulation = run_events(&events).expect("the events can occur in this order");
    simulation.deliver_all();
    assert_eq!(
        (simulation.is_accepting, simulation.target_machine.phase()),
        ([false, true], target::Phase::Finished)
    );
}

#[test]
fn a_new_process_that_is_not_ready_in_time_is_disconnected() {
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
    assert!(matches!(source.phase(), source::Phase::Offered { .. }));
    out.clear();
    source.handle(source::PREPARE_TIMEOUT, source::Input::Tick, &mut out);
    assert_eq!(source.phase(), source::Phase::Idle);
    assert!(
        out.contains(&source::Output::CloseConnection)
            && out.contains(&source::Output::RestoreCapacity)
    );
}

#[test]
fn a_terminating_old_process_rejects_a_new_process() {
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
