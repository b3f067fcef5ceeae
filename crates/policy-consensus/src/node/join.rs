//! The join of the member's own acceptor, which replaces an acceptor whose state was lost.

use super::interface::NodeOutput;
use super::member::ConsensusNode;
use crate::acceptor::{AcceptorReply, AcceptorRequest, AcceptorState};
use crate::majority;

/// The number of all join requests. The numbers of proposals are odd, so they never equal it.
pub(super) const JOIN_REQUEST_NUMBER: u64 = 2;

impl ConsensusNode {
    /// While this acceptor is joining, sends the join request to all acceptors whenever a retry is due.
    pub(super) fn retry_join(&mut self, now: u64, out: &mut Vec<NodeOutput>) {
        let highest_ballot = self.lease_holder.highest_ballot_number();
        let Some(local) = &mut self.local_acceptor else {
            return;
        };
        let Some(join) = local.join.as_mut().filter(|join| now >= join.retry_at) else {
            return;
        };
        join.retry_at = now + self.config.retry_interval_us;
        if join.ballot.number <= highest_ballot {
            join.restart(highest_ballot + 1);
        }
        let request = AcceptorRequest::Join {
            ballot: join.ballot,
            acceptor: local.index,
        };
        self.send_to_acceptors(JOIN_REQUEST_NUMBER, &request, out);
    }

    /// Handles another acceptor's reply while this acceptor is joining, and writes the joined state once a majority
    /// has promised.
    ///
    /// The number of promises has to be a majority of all acceptors, although this acceptor's own promise does not
    /// count. With them, this acceptor knows every policy that may have been chosen with the predecessor's
    /// acceptance, and no policy that depends on a promise of the predecessor can be accepted.
    pub(super) fn handle_join_reply(
        &mut self,
        now: u64,
        from: &str,
        acceptor: u64,
        reply: AcceptorReply,
        out: &mut Vec<NodeOutput>,
    ) {
        let quorum = majority(self.config.acceptors.len());
        let local = self.local_acceptor.as_mut();
        let Some(local) = local.filter(|local| local.pending_write.is_none()) else {
            return;
        };
        let Some(join) = &mut local.join else {
            return;
        };
        join.handle_reply(acceptor, reply);
        if join.promises.len() < quorum {
            return;
        }
        let accepted = join.latest_accepted();
        let digest = accepted
            .map(|(_, policy)| policy.digest)
            .unwrap_or_default();
        if !self.documents.contains(&digest) {
            return self.fetches.start(now, digest, from);
        }
        let mut other_incarnations = self.incarnations.clone();
        other_incarnations.remove(&local.index);
        let durable = AcceptorState {
            promised: join.ballot,
            accepted,
            incarnation: join.ballot.number,
            incarnations: other_incarnations,
            joining: false,
        };
        let document = self.documents.get(&digest).unwrap_or_default().to_string();
        let record = local.start_write(&self.config.name, durable, document, None);
        out.push(NodeOutput::Store(record));
    }
}
