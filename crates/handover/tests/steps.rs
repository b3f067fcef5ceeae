//! Both sides' steps, through every order of messages, deaths and time-outs up to a depth: in the end exactly one of
//! those that live accepts.
#![expect(clippy::default_trait_access)]

use frosthatch_handover::message::{Message, Version};
use frosthatch_handover::source::{self, HandoverSource};
use frosthatch_handover::target::{self, HandoverTarget};
use std::collections::VecDeque;
use std::time::Duration;

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Next {
    ToElder,
    ToHeir,
    Prepared,
    HeirDies,
    ElderDies,
    TimePasses,
}

const ALL: [Next; 6] = [
    Next::ToElder,
    Next::ToHeir,
    Next::Prepared,
    Next::HeirDies,
    Next::ElderDies,
    Next::TimePasses,
];

struct World {
    elder: HandoverSource,
    heir: HandoverTarget,
    now: Duration,
    to_elder: VecDeque<Message>,
    to_heir: VecDeque<Message>,
    lives: [bool; 2],
    accepts: [bool; 2],
    linked: [bool; 2],
    prepared: bool,
    /// The new one has a listener of its own.
    bound: bool,
}

impl World {
    fn new() -> World {
        let mut out = Vec::new();
        let heir = HandoverTarget::new(Duration::ZERO, 1, &mut out);
        let mut world = World {
            elder: HandoverSource::default(),
            heir,
            now: Duration::ZERO,
            to_elder: VecDeque::new(),
            to_heir: VecDeque::new(),
            lives: [true, true],
            accepts: [true, false],
            linked: [true, true],
            prepared: false,
            bound: false,
        };
        world.by_heir(out);
        world
    }

    fn by_elder(&mut self, out: Vec<source::Output>) {
        for o in out {
            match o {
                source::Output::Say(m) => self.to_heir.push_back(m),
                source::Output::Lend => self.to_heir.push_back(Message::Welcome {
                    version: Version { major: 1, minor: 0 },
                    listeners: vec!["clients".into()],
                    state: Default::default(),
                }),
                source::Output::HangUp => self.linked[0] = false,
                source::Output::Accept(yes) => self.accepts[0] = yes,
                _ => {}
            }
        }
    }

    fn by_heir(&mut self, out: Vec<target::Output>) {
        for o in out {
            match o {
                target::Output::Say(m) => self.to_elder.push_back(m),
                target::Output::HangUp => self.linked[1] = false,
                target::Output::Bind => (self.accepts[1], self.bound) = (true, true),
                target::Output::Accept => self.accepts[1] = true,
                target::Output::GiveUp(_) => (self.lives[1], self.accepts[1]) = (false, false),
                _ => {}
            }
        }
    }

    fn tell_elder(&mut self, input: source::Input) {
        if self.lives[0] {
            let mut out = Vec::new();
            self.elder.handle(self.now, input, &mut out);
            self.by_elder(out);
        }
    }

    fn tell_heir(&mut self, input: target::Input) {
        if self.lives[1] {
            let mut out = Vec::new();
            self.heir.handle(self.now, input, &mut out);
            self.by_heir(out);
        }
    }

    /// Whether it could happen.
    fn step(&mut self, next: Next) -> bool {
        match next {
            Next::ToElder if self.linked[0] => match self.to_elder.pop_front() {
                Some(m) => self.tell_elder(source::Input::Heard(m)),
                // The end of the connection, behind all that was said.
                None if !self.linked[1] || !self.lives[1] => {
                    self.linked[0] = false;
                    self.tell_elder(source::Input::Left);
                }
                None => return false,
            },
            Next::ToHeir if self.linked[1] => match self.to_heir.pop_front() {
                Some(m) => self.tell_heir(target::Input::Heard(m)),
                None if !self.linked[0] || !self.lives[0] => {
                    self.linked[1] = false;
                    self.tell_heir(target::Input::Left);
                }
                None => return false,
            },
            Next::ToElder | Next::ToHeir => return false,
            Next::Prepared if !self.prepared && self.lives[1] => {
                self.prepared = true;
                self.tell_heir(target::Input::Prepared);
            }
            Next::Prepared => return false,
            Next::HeirDies if self.lives[1] => (self.lives[1], self.accepts[1]) = (false, false),
            Next::ElderDies if self.lives[0] => (self.lives[0], self.accepts[0]) = (false, false),
            Next::HeirDies | Next::ElderDies => return false,
            Next::TimePasses => {
                self.now += source::PREPARES_WITHIN / 2;
                self.tell_elder(source::Input::Tick);
                self.tell_heir(target::Input::Tick);
            }
        }
        true
    }

    /// All that is under way arrives.
    fn settle(&mut self) {
        for _ in 0..20 {
            let moved = [
                self.step(Next::ToElder),
                self.step(Next::ToHeir),
                self.step(Next::Prepared),
            ];
            if moved == [false; 3] {
                return;
            }
        }
        panic!("it never settles");
    }
}

fn played(steps: &[Next]) -> Option<World> {
    let mut world = World::new();
    steps.iter().all(|&s| world.step(s)).then_some(world)
}

fn explore(steps: &mut Vec<Next>, depth: usize, seen: &mut usize) {
    let Some(mut world) = played(steps) else {
        return;
    };
    world.settle();
    *seen += 1;
    let accepting = world.accepts.iter().filter(|a| **a).count();
    let living = world.lives.iter().filter(|l| **l).count();
    assert!(
        living == 0 || accepting >= 1,
        "nobody accepts after {steps:?}"
    );
    assert!(accepting <= 1 || world.bound, "two accept after {steps:?}");
    if depth > 0 {
        for next in ALL {
            steps.push(next);
            explore(steps, depth - 1, seen);
            steps.pop();
        }
    }
}

#[test]
fn in_whatever_order_it_happens_one_accepts() {
    let mut seen = 0;
    explore(&mut Vec::new(), 8, &mut seen);
    assert!(seen > 5_000, "{seen} orders");
}

#[test]
fn the_ordinary_way_ends_with_the_new_one() {
    let steps = [
        Next::ToElder,
        Next::ToHeir,
        Next::Prepared,
        Next::ToElder,
        Next::ToHeir,
        Next::ElderDies,
    ];
    let mut world = played(&steps).expect("it can happen");
    world.settle();
    assert_eq!(
        (world.accepts, world.heir.stage()),
        ([false, true], target::Stage::Alone)
    );
}

/// Guards against a new process that hangs: the way back is taken in time.
#[test]
fn one_that_hangs_is_given_up() {
    let mut elder = HandoverSource::default();
    let mut out = Vec::new();
    let hello = Message::Hello {
        version: Version { major: 1, minor: 3 },
        pid: 1,
    };
    elder.handle(Duration::ZERO, source::Input::Heard(hello), &mut out);
    elder.handle(
        source::PREPARES_WITHIN - Duration::from_millis(1),
        source::Input::Tick,
        &mut out,
    );
    assert!(matches!(elder.stage(), source::Stage::Offered(_)));
    out.clear();
    elder.handle(source::PREPARES_WITHIN, source::Input::Tick, &mut out);
    assert_eq!(elder.stage(), source::Stage::Alone);
    assert!(out.contains(&source::Output::HangUp) && out.contains(&source::Output::Halve(false)));
}

#[test]
fn one_that_is_ending_lends_nothing() {
    let mut elder = HandoverSource::default();
    let mut out = Vec::new();
    elder.handle(Duration::ZERO, source::Input::Terminate, &mut out);
    let hello = Message::Hello {
        version: Version { major: 1, minor: 0 },
        pid: 1,
    };
    elder.handle(Duration::ZERO, source::Input::Heard(hello), &mut out);
    assert!(!out.contains(&source::Output::Lend) && out.contains(&source::Output::HangUp));
}
