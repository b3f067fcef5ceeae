//! Builds the policy status of the admin API (`GET /policy`) and maps internal states to the names in it.

use super::service::POLICY_VERSION_GAUGE;
use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_policy_consensus::document::hex;
use frosthatch_policy_consensus::node::{ConsensusNode, ProposalStatus, ServingState};
use frosthatch_policy_consensus::proposer::ProposalOutcome;
use frosthatch_policy_consensus::PolicyId;
use serde::{Deserialize, Serialize};

/// The body of `GET /policy`.
#[derive(Debug, Serialize, Deserialize)]
pub struct PolicyStatus {
    /// This member's name.
    pub me: String,
    /// Version of the policy that this gateway serves under, or last served under; 0 stands for each gateway's own
    /// files.
    pub version: u64,
    /// SHA-256 of the policy's document, hexadecimal.
    pub digest: String,
    /// Serving state: `in force` (with a lease), `grace` (without a lease, under the policy held last), `stricter`
    /// (under the stricter of two policies), `turning` (no policy until the next one takes effect) or `refusing`
    /// (no requests are admitted).
    pub state: String,
    /// Remaining time of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Names of the acceptors.
    #[serde(rename = "keepers")]
    pub acceptors: Vec<String>,
    /// `state N`, with the number N of the acceptor's state on disk, or the reason why the acceptor is not active;
    /// `None` if this member is not an acceptor.
    #[serde(rename = "keeps")]
    pub acceptor_state: Option<String>,
    /// All members, with the version that each serves under.
    pub members: Vec<MemberPolicy>,
    /// Proposals made at this gateway.
    pub proposals: Vec<ProposalReport>,
    /// Policies that this gateway has served under, the latest last.
    pub history: Vec<HeldPolicy>,
}

/// The policy version that one member serves under.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberPolicy {
    /// The member's name.
    pub name: String,
    /// The policy version; `None` if the member has not reported it.
    pub version: Option<u64>,
}

/// The state of one proposal.
#[derive(Debug, Serialize, Deserialize)]
pub struct ProposalReport {
    /// The proposal's number.
    pub number: u64,
    /// The version of the proposed policy.
    pub version: u64,
    /// SHA-256 of the proposed document, hexadecimal.
    pub digest: String,
    /// State of the proposal: `open` (no outcome yet), `in force`, `refused` (rejected), `lost` (another policy is
    /// in force instead) or `not known` (acceptors that may have accepted the policy did not reply).
    pub state: String,
    /// Time from the proposal to its outcome, or to now while it is open, in milliseconds.
    pub took_ms: u64,
    /// Members that rejected the proposal and their reasons; an empty member name marks a reason that concerns all
    /// members.
    #[serde(rename = "why")]
    pub reasons: Vec<(String, String)>,
}

/// A policy that this gateway has served under.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeldPolicy {
    /// The policy's version.
    pub version: u64,
    /// SHA-256 of the policy's document, hexadecimal.
    pub digest: String,
    /// Time since the policy took effect at this gateway, in milliseconds.
    pub since_ms: u64,
}

/// Returns the status, at `now_us`, of a node that serves under `current`.
pub(super) fn policy_status(
    node: &mut ConsensusNode,
    now_us: u64,
    current: PolicyId,
    me: &str,
    acceptors: &[String],
    member: &MembershipHandle,
) -> PolicyStatus {
    let serving_state = node.serving_state(now_us);
    let lease_us = node
        .last_lease()
        .map_or(0, |(_, until_us)| until_us.saturating_sub(now_us));
    PolicyStatus {
        me: me.to_string(),
        version: current.version,
        digest: hex(&current.digest),
        state: state_name(serving_state, lease_us).into(),
        lease_ms: lease_us / 1_000,
        acceptors: acceptors.to_vec(),
        acceptor_state: node.acceptor_status().map(|state| match state {
            Ok(number) => format!("state {number}"),
            Err(reason) => reason,
        }),
        members: member_policies(me, member),
        proposals: node.proposals().map(ProposalReport::new).collect(),
        history: node
            .history()
            .map(|(id, at_us)| HeldPolicy {
                version: id.version,
                digest: hex(&id.digest),
                since_ms: now_us.saturating_sub(*at_us) / 1_000,
            })
            .collect(),
    }
}

/// Returns the name of a serving state in the status.
fn state_name(state: ServingState, lease_us: u64) -> &'static str {
    match state {
        ServingState::Serving(_, None) if lease_us > 0 => "in force",
        ServingState::Serving(_, None) => "grace",
        ServingState::Serving(..) => "stricter",
        ServingState::Pending(_) => "turning",
        ServingState::NotServing => "refusing",
    }
}

/// Returns the policy version of each member, this one included, in the order of their names.
fn member_policies(me: &str, member: &MembershipHandle) -> Vec<MemberPolicy> {
    let mut names: Vec<String> =
        member.read(|cluster| cluster.present_members().map(String::from).collect());
    names.push(me.to_string());
    names.sort();
    let policy = |name: String| {
        let gauge = member.read(|cluster| cluster.gauge(&name, POLICY_VERSION_GAUGE));
        let version = gauge.map(|(version, _)| version as u64);
        MemberPolicy { name, version }
    };
    names.into_iter().map(policy).collect()
}

impl ProposalReport {
    fn new(proposal: ProposalStatus) -> ProposalReport {
        let mut reasons = proposal.refusals;
        let state = match &proposal.outcome {
            None => "open",
            Some(ProposalOutcome::InForce) => "in force",
            Some(ProposalOutcome::Rejected(_)) => "refused",
            Some(ProposalOutcome::Superseded(other)) => {
                let reason = format!("version {} is in force in its place", other.id().short());
                reasons.push((String::new(), reason));
                "lost"
            }
            Some(ProposalOutcome::Unknown) => "not known",
        };
        ProposalReport {
            number: proposal.number,
            version: proposal.policy.version,
            digest: hex(&proposal.policy.digest),
            state: state.into(),
            took_ms: proposal.elapsed_us / 1_000,
            reasons,
        }
    }
}
