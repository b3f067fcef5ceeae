//! The simulated network: messages between proposers, acceptors and gateways, and their delivery.

use crate::simulation::Simulation;
use frosthatch_policy_consensus::acceptor::{AcceptorReply, AcceptorRequest, LeaseGrant};

#[derive(Clone)]
pub enum Message {
    ToAcceptor {
        proposer: usize,
        acceptor: usize,
        request: AcceptorRequest,
    },
    ToProposer {
        proposer: usize,
        acceptor: usize,
        reply: AcceptorReply,
    },
    LeaseRequest {
        gateway: usize,
        start: u64,
        acceptor: usize,
        requested_at: u64,
    },
    LeaseReply {
        gateway: usize,
        start: u64,
        acceptor: usize,
        requested_at: u64,
        grant: LeaseGrant,
    },
}

/// A message in flight.
pub struct InFlight {
    arrives_at: u64,
    message: Message,
}

impl Simulation {
    /// Sends a message. With faults it may be lost, duplicated, or delayed by up to 3 s.
    pub fn send(&mut self, message: &Message) {
        let copies_draw = self.random.below(100);
        let delay_draw = self.random.below(100);
        let copies = match copies_draw {
            0..10 if self.has_faults => 0,
            10..15 if self.has_faults => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay_us = if self.has_faults && delay_draw < 5 {
                self.random.below(3_000_000)
            } else {
                self.random.below(30_000)
            };
            self.in_flight.push(InFlight {
                arrives_at: self.now + delay_us,
                message: message.clone(),
            });
        }
    }

    /// Delivers the due messages, including replies to them that are due at once.
    pub fn deliver_due_messages(&mut self) {
        loop {
            let now = self.now;
            let due = self.in_flight.iter().position(|m| m.arrives_at <= now);
            let Some(position) = due else {
                return;
            };
            let in_flight = self.in_flight.swap_remove(position);
            self.deliver(in_flight.message);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToAcceptor {
                proposer,
                acceptor,
                request,
            } => self.deliver_to_acceptor(proposer, acceptor, request),
            Message::ToProposer {
                proposer,
                acceptor,
                reply,
            } => {
                let mut outputs = Vec::new();
                let now = self.now;
                self.proposers[proposer].handle_reply(now, acceptor as u64, 0, reply, &mut outputs);
                self.carry_out(proposer, outputs);
            }
            Message::LeaseRequest {
                gateway,
                start,
                acceptor,
                requested_at,
            } => self.deliver_lease_request(gateway, start, acceptor, requested_at),
            Message::LeaseReply {
                gateway,
                start,
                acceptor,
                requested_at,
                grant,
            } => {
                let now = self.gateway_time(gateway);
                let gateway = &mut self.gateways[gateway];
                if gateway.start == start && !gateway.is_paused {
                    let lease_holder = &mut gateway.lease_holder;
                    lease_holder.record_grant(requested_at, now, acceptor as u64, grant);
                }
            }
        }
    }

    fn deliver_to_acceptor(&mut self, proposer: usize, index: usize, request: AcceptorRequest) {
        let now = self.acceptor_time(index);
        let Some(acceptor) = &mut self.acceptors[index] else {
            return;
        };
        let response = acceptor.handle(now, request);
        if response.requires_sync {
            self.disks[index] = acceptor.state().clone();
            // The acceptor may stop after the write and before the reply is sent.
            if self.has_faults && self.random.below(60) == 0 {
                self.acceptors[index] = None;
                return;
            }
        }
        self.send(&Message::ToProposer {
            proposer,
            acceptor: index,
            reply: response.reply,
        });
    }

    fn deliver_lease_request(
        &mut self,
        gateway: usize,
        start: u64,
        index: usize,
        requested_at: u64,
    ) {
        let now = self.acceptor_time(index);
        let Some(acceptor) = &mut self.acceptors[index] else {
            return;
        };
        let reply = acceptor.handle(now, AcceptorRequest::Lease).reply;
        if let AcceptorReply::Lease(grant) = reply {
            self.send(&Message::LeaseReply {
                gateway,
                start,
                acceptor: index,
                requested_at,
                grant,
            });
        }
    }
}
