//! One member's part in the consensus on policies: always a lease holder, an acceptor if the configuration names it as one, and a
//! proposer whenever an operator proposes a policy.
//!
//! [`ConsensusNode`] is a state machine without I/O. It takes messages, ticks and the results of writes, and returns messages to
//! send, acceptor records to store and log lines. All times are microseconds of the caller's monotonic clock; randomness comes from
//! the seed in [`NodeConfig`].
//!
//! | module | concern |
//! | --- | --- |
//! | `config` | configuration and outputs |
//! | `dispatch` | decoding, routing and sending of messages |
//! | `fetch` | documents that are being fetched from other members |
//! | `leases` | lease upkeep and recovery of interrupted changes |
//! | `local_acceptor` | the member's own acceptor: requests, persistence, joining in place of a lost one |
//! | `proposals` | proposals started at this member |
//! | `serving` | whether, and under which policy, requests may be admitted |

mod config;
mod dispatch;
mod fetch;
mod leases;
mod local_acceptor;
mod proposals;
mod serving;

pub use config::{LeaseLossPolicy, NodeConfig, NodeOutput, PolicyValidator};
pub use proposals::ProposalStatus;
pub use serving::ServingState;

use crate::document_store::DocumentStore;
use crate::lease_holder::LeaseHolder;
use crate::message::{Message, ReportedState};
use crate::record::AcceptorRecord;
use crate::{Digest, Policy, PolicyId};
use fetch::DocumentFetches;
use leases::LeaseRequest;
use local_acceptor::LocalAcceptor;
use proposals::Proposal;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Policies in the history, and validation results, that are remembered.
const MAX_REMEMBERED_POLICIES: usize = 64;

/// One member of the consensus; see the [module documentation](self).
pub struct ConsensusNode {
    config: NodeConfig,
    validator: PolicyValidator,
    rng: Pcg64Mcg,
    lease_holder: LeaseHolder,
    local_acceptor: Option<LocalAcceptor>,
    documents: DocumentStore,
    validations: BTreeMap<Digest, Result<(), String>>,
    /// The latest lease requests, the oldest first.
    lease_requests: VecDeque<LeaseRequest>,
    next_lease_request_at: u64,
    /// The latest incarnation and state that each acceptor reported of itself, by acceptor index.
    reported_states: BTreeMap<u64, ReportedState>,
    /// The highest incarnation that anybody reported, by acceptor index.
    incarnations: BTreeMap<u64, u64>,
    proposals: BTreeMap<u64, Proposal>,
    fetches: DocumentFetches,
    /// Checks that wait for their document, by who asked and the number of the proposal.
    pending_checks: BTreeMap<(String, u64), Policy>,
    /// Messages of this member to itself.
    inbox: VecDeque<Message>,
    /// When this acceptor finishes a change that somebody left incomplete.
    recovery_at: Option<u64>,
    serving_state: ServingState,
    /// Until when `serving_state` holds if nothing is received before.
    serving_state_valid_until: u64,
    /// The last policy that was held, and the end of the last lease on it.
    last_lease: Option<(PolicyId, u64)>,
    /// Policies that were held here and since when, the latest last.
    history: VecDeque<(PolicyId, u64)>,
}

impl ConsensusNode {
    /// Creates a member at time `now`. `local_record` is what the member's acceptor has on disk, or why it cannot be read; `None` if
    /// the member is not an acceptor.
    pub fn new(
        now: u64,
        config: NodeConfig,
        local_record: Option<Result<AcceptorRecord, String>>,
        validator: PolicyValidator,
    ) -> ConsensusNode {
        let mut node = ConsensusNode {
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            lease_holder: LeaseHolder::new(config.times, config.keepers.len()),
            local_acceptor: None,
            documents: DocumentStore::default(),
            validator,
            validations: BTreeMap::new(),
            lease_requests: VecDeque::new(),
            next_lease_request_at: 0,
            reported_states: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            proposals: BTreeMap::new(),
            fetches: DocumentFetches::default(),
            pending_checks: BTreeMap::new(),
            inbox: VecDeque::new(),
            recovery_at: None,
            serving_state: ServingState::Lost,
            serving_state_valid_until: 0,
            last_lease: None,
            history: VecDeque::new(),
            config,
        };
        if let Some(read) = local_record {
            node.load_acceptor(now, read);
        }
        node
    }

    /// Does what is due at `now`. `other_members` are all members that are reachable, without this one; they are looked at only while
    /// a proposal is in progress.
    pub fn tick(&mut self, now: u64, other_members: &[String], out: &mut Vec<NodeOutput>) {
        self.retry_write(now, out);
        self.retry_join(now, out);
        self.renew_leases(now, out);
        self.tick_proposals(now, other_members, out);
        self.recover_interrupted_change(now, out);
        self.request_missing_parts(now, out);
        self.process_inbox(now, out);
    }

    /// The document of a policy, if it is here.
    pub fn text(&mut self, id: &PolicyId) -> Option<&str> {
        self.documents.get(&id.digest)
    }

    /// The last policy that was held, and the end of the last lease on it.
    pub fn leased_till(&self) -> Option<(PolicyId, u64)> {
        self.last_lease
    }

    /// The policies that were held here and since when, the latest last.
    pub fn history(&self) -> impl Iterator<Item = &(PolicyId, u64)> {
        self.history.iter()
    }
}
