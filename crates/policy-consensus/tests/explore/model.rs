//! The model that the checker explores: its initial states, its actions and the transitions between states.

use crate::state::{Message, State, ACCEPTORS};
use frosthatch_policy_consensus::acceptor::{
    Acceptor, AcceptorIncarnation, AcceptorReply, AcceptorRequest, AcceptorState,
};
use frosthatch_policy_consensus::lease_holder::LeaseHolder;
use frosthatch_policy_consensus::proposer::{Proposer, ProposerConfig};
use frosthatch_policy_consensus::{Ballot, LeaseConfig, Policy};
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// Duration of a tick, in microseconds; a lease lasts for two ticks.
const TICK_US: u64 = 1_000;
const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    lease_us: 2 * TICK_US,
    max_drift_permille: 0,
};

/// A transition of the model.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A message in flight is delivered.
    Deliver(Message),
    /// A gateway requests leases from an acceptor.
    RequestLease { gateway: usize, acceptor: usize },
    /// An acceptor's process ends; its disk is kept.
    Kill { acceptor: usize },
    /// An acceptor's process starts from its disk.
    Start { acceptor: usize },
    /// Time advances by [`TICK_US`].
    Tick,
}

/// The number of simulated processes and the bounds of the exploration.
#[derive(Clone)]
pub struct Simulation {
    pub proposers: usize,
    pub gateways: usize,
    pub max_kills: u8,
    pub max_ticks: u64,
}

fn policy(salt: u8) -> Policy {
    Policy {
        version: 1,
        digest: [salt; 32],
        parent: [0; 32],
    }
}

fn new_proposer(now: u64, index: usize) -> Proposer {
    let config = ProposerConfig {
        id: index as u64 + 1,
        acceptors: ACCEPTORS,
        timeout_us: 20 * TICK_US,
        retry_interval_us: TICK_US,
    };
    let proposed = Some(policy(index as u8 + 1));
    Proposer::new(now, config, 0, proposed, BTreeSet::new())
}

impl Simulation {
    /// Returns the state in which all gateways hold version 0 by leases of all acceptors and all proposers have
    /// started.
    pub fn initial_state(&self) -> State {
        let now = 10 * TICK_US;
        let disk = AcceptorState::initial();
        let new_acceptor =
            |index: usize| Some(Acceptor::new(LEASE_CONFIG, index as u64, disk.clone(), 0));
        let mut state = State {
            now,
            acceptors: (0..ACCEPTORS).map(new_acceptor).collect(),
            disks: vec![disk.clone(); ACCEPTORS],
            lease_holders: vec![LeaseHolder::new(LEASE_CONFIG, ACCEPTORS); self.gateways],
            proposers: (0..self.proposers)
                .map(|index| new_proposer(now, index))
                .collect(),
            in_flight: BTreeSet::new(),
            lease_requests: BTreeSet::new(),
            kills: 0,
            highest_version: 0,
            held: BTreeSet::new(),
            in_force: BTreeMap::new(),
            rejected: BTreeSet::new(),
            violation: None,
        };
        for (gateway, acceptor) in self.gateways_and_acceptors() {
            if let Some(message) = state.request_lease(gateway, acceptor) {
                deliver(&mut state, message);
            }
        }
        tick_proposers(&mut state);
        state.check_held_policies();
        state
    }

    /// Returns all pairs of a gateway and an acceptor.
    fn gateways_and_acceptors(&self) -> impl Iterator<Item = (usize, usize)> {
        (0..self.gateways)
            .flat_map(|gateway| (0..ACCEPTORS).map(move |acceptor| (gateway, acceptor)))
    }

    /// Returns the state after this many steps of a change without faults.
    fn state_during_change(&self, initial: &State, steps: usize) -> State {
        let mut state = initial.clone();
        let messages = messages_of_change();
        let ticks = steps.saturating_sub(messages.len());
        let deliveries = messages.into_iter().take(steps).map(Action::Deliver);
        for action in deliveries.chain((0..ticks).map(|_| Action::Tick)) {
            state = self
                .next_state(&state, action)
                .expect("each step of a change changes the state");
        }
        state
    }
}

/// Returns the messages by which two acceptors promise the first proposer's ballot and accept its policy.
fn messages_of_change() -> [Message; 6] {
    let ballot = Ballot {
        number: 1,
        proposer: 1,
    };
    let promised_by = [(0, 0), (1, 0)].map(|(acceptor, incarnation)| AcceptorIncarnation {
        acceptor,
        incarnation,
    });
    let prepare = AcceptorRequest::Prepare(ballot);
    let promised = AcceptorReply::Promised(ballot, AcceptorState::initial().accepted);
    let accept = AcceptorRequest::Accept {
        ballot,
        policy: policy(1),
        promised_by: promised_by.to_vec(),
    };
    let to_acceptor = |acceptor: usize, request: &AcceptorRequest| Message::Request {
        proposer: 0,
        acceptor,
        request: request.clone(),
    };
    let to_proposer = |acceptor: usize, reply: &AcceptorReply| Message::Reply {
        proposer: 0,
        acceptor,
        reply: reply.clone(),
    };
    [
        to_acceptor(0, &prepare),
        to_acceptor(1, &prepare),
        to_proposer(0, &promised),
        to_proposer(1, &promised),
        to_acceptor(0, &accept),
        to_acceptor(1, &accept),
    ]
}

/// Delivers a message. Returns `None` if the receiver is not running.
fn deliver(state: &mut State, message: Message) -> Option<()> {
    match message {
        Message::Request {
            proposer,
            acceptor: index,
            request,
        } => {
            let acceptor = state.acceptors[index].as_mut()?;
            let response = acceptor.handle(state.now, request);
            if response.requires_sync {
                state.disks[index] = acceptor.state().clone();
            }
            state.in_flight.insert(Message::Reply {
                proposer,
                acceptor: index,
                reply: response.reply,
            });
        }
        Message::Reply {
            proposer,
            acceptor,
            reply,
        } => {
            let mut outputs = Vec::new();
            let receiver = &mut state.proposers[proposer];
            receiver.handle_reply(state.now, acceptor as u64, 0, reply, &mut outputs);
            state.carry_out(proposer, outputs);
        }
        Message::Grant {
            gateway,
            acceptor,
            requested_at,
            grant,
        } => {
            let lease_holder = &mut state.lease_holders[gateway];
            lease_holder.record_grant(requested_at, state.now, acceptor as u64, grant);
        }
    }
    Some(())
}

fn tick_proposers(state: &mut State) {
    for index in 0..state.proposers.len() {
        let mut outputs = Vec::new();
        state.proposers[index].tick(state.now, &mut outputs);
        state.carry_out(index, outputs);
    }
}

impl Model for Simulation {
    type State = State;
    type Action = Action;

    /// Returns the initial state and the states after some steps of a change: after the promises, after the first
    /// acceptors have accepted, and just before the change takes effect. Each state except the initial one is
    /// returned with and without lease requests.
    fn init_states(&self) -> Vec<State> {
        let initial = self.initial_state();
        let mut states = vec![initial.clone()];
        for steps in [4, 5, 6, 7, 8] {
            let state = self.state_during_change(&initial, steps);
            let mut with_lease_requests = state.clone();
            for (gateway, acceptor) in self.gateways_and_acceptors() {
                with_lease_requests = self
                    .next_state(
                        &with_lease_requests,
                        Action::RequestLease { gateway, acceptor },
                    )
                    .expect("a lease request changes the state");
            }
            states.extend([state, with_lease_requests]);
        }
        states
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.violation.is_some() {
            return;
        }
        actions.extend(state.in_flight.iter().cloned().map(Action::Deliver));
        for acceptor in 0..ACCEPTORS {
            if state.acceptors[acceptor].is_none() {
                actions.push(Action::Start { acceptor });
                continue;
            }
            for gateway in 0..self.gateways {
                if !state.lease_requests.contains(&(gateway, acceptor)) {
                    actions.push(Action::RequestLease { gateway, acceptor });
                }
            }
            if state.kills < self.max_kills {
                actions.push(Action::Kill { acceptor });
            }
        }
        if state.now < (10 + self.max_ticks) * TICK_US {
            actions.push(Action::Tick);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(message) => {
                state.in_flight.remove(&message);
                deliver(&mut state, message)?;
            }
            // The acceptor replies at once. This covers later replies too: they would only make the lease shorter.
            Action::RequestLease { gateway, acceptor } => {
                state.lease_requests.insert((gateway, acceptor));
                let message = state.request_lease(gateway, acceptor)?;
                state.in_flight.insert(message);
            }
            Action::Kill { acceptor } => {
                state.acceptors[acceptor] = None;
                state.kills += 1;
            }
            Action::Start { acceptor } => {
                let disk = state.disks[acceptor].clone();
                let started = Acceptor::new(LEASE_CONFIG, acceptor as u64, disk, state.now);
                state.acceptors[acceptor] = Some(started);
            }
            Action::Tick => {
                state.now += TICK_US;
                state.lease_requests.clear();
                tick_proposers(&mut state);
            }
        }
        state.check_held_policies();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Simulation>> {
        vec![
            Property::always("the guarantees hold", |_, state: &State| {
                state.violation.is_none()
            }),
            // Never satisfied: the search would end at the first state that satisfies it.
            Property::sometimes("version 9 is held", |_, state: &State| {
                state.highest_version == 9
            }),
        ]
    }
}
