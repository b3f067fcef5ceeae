use super::{AcceptorAnswer, Message, ReportedState};
use crate::acceptor::{
    AcceptorIncarnation, AcceptorReply, AcceptorRequest, CurrentPolicyLease, LeaseGrant,
    PreviousPolicyLease,
};
use crate::document_store::{DocumentPart, PART_BYTES};
use crate::{Ballot, Policy};
use proptest::prelude::{any, prop, prop_assert, proptest};

const LONGEST_BALLOT: Ballot = Ballot {
    number: u64::MAX,
    proposer: u64::MAX,
};

const LONGEST_POLICY: Policy = Policy {
    version: u64::MAX,
    digest: [7; 32],
    parent: [9; 32],
};

/// Returns the longest list of incarnations, which has seven acceptors.
fn longest_incarnations() -> Vec<AcceptorIncarnation> {
    let longest = AcceptorIncarnation {
        acceptor: u64::MAX,
        incarnation: u64::MAX,
    };
    vec![longest; 7]
}

fn longest_grant() -> LeaseGrant {
    LeaseGrant {
        previous: Some(PreviousPolicyLease {
            id: LONGEST_POLICY.id(),
            ballot: LONGEST_BALLOT,
            remaining_us: u64::MAX,
        }),
        current: Some(CurrentPolicyLease {
            policy: LONGEST_POLICY,
            ballot: LONGEST_BALLOT,
            starts_in_us: u64::MAX,
            duration_us: u64::MAX,
        }),
    }
}

fn longest_answer(reply: AcceptorReply) -> Message {
    Message::Answer(AcceptorAnswer {
        number: u64::MAX,
        state: u64::MAX,
        incarnation: u64::MAX,
        other_incarnations: longest_incarnations(),
        reply,
    })
}

#[test]
fn the_longest_messages_fit_a_datagram_and_survive_a_round_trip() {
    let accepted = Some((LONGEST_BALLOT, LONGEST_POLICY));
    for message in [
        Message::Request {
            number: u64::MAX,
            last_reported: ReportedState {
                incarnation: u64::MAX,
                state: u64::MAX,
            },
            request: AcceptorRequest::Accept {
                ballot: LONGEST_BALLOT,
                policy: LONGEST_POLICY,
                promised_by: longest_incarnations(),
            },
        },
        longest_answer(AcceptorReply::Lease(longest_grant())),
        longest_answer(AcceptorReply::Promised(LONGEST_BALLOT, accepted)),
        Message::check_reply(u64::MAX, Err("é".repeat(10_000))),
        Message::PartsRequest {
            digest: [1; 32],
            offsets: vec![u32::MAX; 8],
        },
        Message::Part(DocumentPart {
            digest: [1; 32],
            offset: u32::MAX,
            total_bytes: u32::MAX,
            bytes: vec![0; PART_BYTES],
        }),
    ] {
        let bytes = message.write();
        assert!(
            bytes.len() <= 860,
            "{} bytes exceed the limit of 860: {message:?}",
            bytes.len()
        );
        assert_eq!(Message::read(&bytes), Some(message));
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_to_nothing_or_a_message_of_bounded_length(bytes in prop::collection::vec(any::<u8>(), 0..1_200)) {
        if let Some(message) = Message::read(&bytes) {
            prop_assert!(message.write().len() <= 2 * bytes.len() + 16);
        }
    }
}
