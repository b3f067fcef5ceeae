//! The state of one member of the consensus, its creation and its tick.

use super::fetches::DocumentFetches;
use super::interface::{NodeConfig, NodeOutput, PolicyValidator, ServingState};
use super::local_acceptor::LocalAcceptor;
use super::proposal::Proposal;
use crate::document_store::DocumentStore;
use crate::lease_holder::LeaseHolder;
use crate::message::{Message, ReportedState};
use crate::record::AcceptorRecord;
use crate::{Digest, Policy, PolicyId};
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of policies in the history, and of cached validation results.
pub(super) const MAX_REMEMBERED_POLICIES: usize = 64;

/// A lease request that was sent to all acceptors.
pub(super) struct LeaseRequest {
    pub(super) number: u64,
    pub(super) sent_at: u64,
}

/// The origin of a request to check a policy.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CheckSource {
    /// The name of the member that sent the request.
    pub(super) member: String,
    /// The number of the proposal.
    pub(super) number: u64,
}

/// One member of the consensus; see the [module documentation](super).
pub struct ConsensusNode {
    pub(super) config: NodeConfig,
    pub(super) validator: PolicyValidator,
    pub(super) rng: Pcg64Mcg,
    pub(super) lease_holder: LeaseHolder,
    pub(super) local_acceptor: Option<LocalAcceptor>,
    pub(super) documents: DocumentStore,
    /// Cached validation results, by document digest.
    pub(super) validations: BTreeMap<Digest, Result<(), String>>,
    /// The latest lease requests, oldest first.
    pub(super) lease_requests: VecDeque<LeaseRequest>,
    pub(super) next_lease_request_at: u64,
    /// The highest incarnation and state that each acceptor reported to this member, by acceptor index.
    pub(super) reported_states: BTreeMap<u64, ReportedState>,
    /// The highest incarnation of each acceptor that any member reported, by acceptor index.
    pub(super) incarnations: BTreeMap<u64, u64>,
    /// The proposals started at this member, by number.
    pub(super) proposals: BTreeMap<u64, Proposal>,
    pub(super) fetches: DocumentFetches,
    /// Checks that wait for the document of their policy.
    pub(super) pending_checks: BTreeMap<CheckSource, Policy>,
    /// Messages from this member to itself that are not handled yet.
    pub(super) inbox: VecDeque<Message>,
    /// When this member's acceptor recovers the incomplete change; `None` if no change is known to be incomplete.
    pub(super) recovery_at: Option<u64>,
    pub(super) serving_state: ServingState,
    /// Until when `serving_state` is valid if no message is received before.
    pub(super) serving_state_valid_until: u64,
    /// The last policy under which this member served, and the time until which it is held if no grant is received.
    pub(super) last_lease: Option<(PolicyId, u64)>,
    /// The policies that were held at this member, each with the time from which it was held, oldest first.
    pub(super) history: VecDeque<(PolicyId, u64)>,
}

impl ConsensusNode {
    /// Creates a member at time `now`. `local_record` is the record that the member's acceptor has on disk or the
    /// reason why it cannot be read; `None` if the member is not an acceptor.
    pub fn new(
        now: u64,
        config: NodeConfig,
        local_record: Option<Result<AcceptorRecord, String>>,
        validator: PolicyValidator,
    ) -> ConsensusNode {
        let mut node = ConsensusNode {
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            lease_holder: LeaseHolder::new(config.lease_config, config.acceptors.len()),
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
            serving_state: ServingState::NotServing,
            serving_state_valid_until: 0,
            last_lease: None,
            history: VecDeque::new(),
            config,
        };
        if let Some(local_record) = local_record {
            node.load_acceptor(now, local_record);
        }
        node
    }

    /// Does the work that is due at `now`: retries, lease renewal, proposals and fetches. `other_members` are the
    /// reachable members other than this one; they are used only while a proposal is in progress.
    pub fn tick(&mut self, now: u64, other_members: &[String], out: &mut Vec<NodeOutput>) {
        self.retry_write(now, out);
        self.retry_join(now, out);
        self.renew_leases(now, out);
        self.tick_proposals(now, other_members, out);
        self.recover_interrupted_change(now, out);
        self.request_missing_parts(now, out);
        self.process_inbox(now, out);
    }

    /// Returns the document of a policy if it is stored at this member.
    pub fn document(&mut self, id: &PolicyId) -> Option<&str> {
        self.documents.get(&id.digest)
    }

    /// Returns the last policy under which this member served, and the time until which it is held if no grant is
    /// received.
    pub fn last_lease(&self) -> Option<(PolicyId, u64)> {
        self.last_lease
    }

    /// Returns the policies that were held at this member, each with the time from which it was held, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &(PolicyId, u64)> {
        self.history.iter()
    }
}
