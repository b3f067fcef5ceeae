//! The policy's status as the admin API shows it (`GET /policy`): the one place that maps its names.

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
    /// Version of the policy that is, or was last, served under; 0: each gateway's own files.
    pub version: u64,
    /// The document's SHA-256, hexadecimal.
    pub digest: String,
    /// `in force`, `grace`, `stricter`, `turning` or `refusing`.
    pub state: String,
    /// What is left of the lease.
    pub lease_ms: u64,
    /// Names of the acceptors.
    #[serde(rename = "keepers")]
    pub acceptors: Vec<String>,
    /// As an acceptor: the state on its disk, or why it has none.
    #[serde(rename = "keeps")]
    pub acceptor_state: Option<String>,
    /// All members and the version that each serves under.
    pub members: Vec<MemberPolicy>,
    /// Proposals made here.
    pub proposals: Vec<ProposalReport>,
    /// Policies that were served under here, the latest last.
    pub history: Vec<HeldPolicy>,
}

/// The version that one member serves under.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberPolicy {
    /// The member's name.
    pub name: String,
    /// `None`: the member has not said.
    pub version: Option<u64>,
}

/// What became of one proposal.
#[derive(Debug, Serialize, Deserialize)]
pub struct ProposalReport {
    /// The proposal's number.
    pub number: u64,
    /// The version that it proposes.
    pub version: u64,
    /// The document's SHA-256, hexadecimal.
    pub digest: String,
    /// `open`, `in force`, `refused`, `lost` or `not known`.
    pub state: String,
    /// From the proposal to its end, or until now.
    pub took_ms: u64,
    /// Members that rejected it (empty: a statement about all), and why.
    #[serde(rename = "why")]
    pub reasons: Vec<(String, String)>,
}

/// A policy that was served under.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeldPolicy {
    /// Its version.
    pub version: u64,
    /// The document's SHA-256, hexadecimal.
    pub digest: String,
    /// How long ago it took effect here.
    pub since_ms: u64,
}

/// The status of a node at `now`, which serves under `current`.
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
            Err(why) => why,
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

fn state_name(state: ServingState, lease_us: u64) -> &'static str {
    match state {
        ServingState::Serving(_, None) if lease_us > 0 => "in force",
        ServingState::Serving(_, None) => "grace",
        ServingState::Serving(..) => "stricter",
        ServingState::Pending(_) => "turning",
        ServingState::NotServing => "refusing",
    }
}

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
                let why = format!("version {} is in force in its place", other.id().short());
                reasons.push((String::new(), why));
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
