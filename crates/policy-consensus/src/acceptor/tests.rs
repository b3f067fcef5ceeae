use super::{
    Acceptor, AcceptorIncarnation, AcceptorReply, AcceptorRequest, AcceptorResponse, AcceptorState,
    CurrentPolicyLease, LeaseGrant, PreviousPolicyLease,
};
use crate::test_values::{ballot, policy};
use crate::{Ballot, LeaseConfig, Policy};

const CONFIG: LeaseConfig = LeaseConfig {
    lease_us: 1_000,
    max_drift_permille: 10,
};

fn new_acceptor() -> Acceptor {
    Acceptor::new(CONFIG, 0, AcceptorState::default(), 0)
}

fn accept_request(ballot_number: u64, version: u64) -> AcceptorRequest {
    AcceptorRequest::Accept {
        ballot: ballot(ballot_number),
        policy: policy(version),
        promised_by: Vec::new(),
    }
}

fn response(reply: AcceptorReply, requires_sync: bool) -> AcceptorResponse {
    AcceptorResponse {
        reply,
        requires_sync,
    }
}

fn request_lease(acceptor: &mut Acceptor, now: u64) -> LeaseGrant {
    match acceptor.handle(now, AcceptorRequest::Lease) {
        AcceptorResponse {
            reply: AcceptorReply::Lease(grant),
            requires_sync: false,
        } => grant,
        other => panic!("expected a lease reply that needs no sync, got {other:?}"),
    }
}

fn previous_lease(version: u64, ballot_number: u64, remaining_us: u64) -> PreviousPolicyLease {
    PreviousPolicyLease {
        id: policy(version).id(),
        ballot: ballot(ballot_number),
        remaining_us,
    }
}

fn current_lease(
    version: u64,
    ballot_number: u64,
    starts_in_us: u64,
    duration_us: u64,
) -> CurrentPolicyLease {
    CurrentPolicyLease {
        policy: policy(version),
        ballot: ballot(ballot_number),
        starts_in_us,
        duration_us,
    }
}

#[test]
fn a_lower_ballot_is_preempted_and_a_promise_reports_the_accepted_policy() {
    let mut acceptor = new_acceptor();
    assert_eq!(
        acceptor.handle(0, AcceptorRequest::Prepare(ballot(2))),
        response(AcceptorReply::Promised(ballot(2), None), true)
    );
    assert_eq!(
        acceptor.handle(0, accept_request(1, 1)),
        response(AcceptorReply::Preempted(ballot(2)), false)
    );
    assert_eq!(
        acceptor.handle(0, accept_request(2, 1)),
        response(AcceptorReply::Accepted(ballot(2)), true)
    );
    let reply = acceptor
        .handle(0, AcceptorRequest::Prepare(ballot(3)))
        .reply;
    assert_eq!(
        reply,
        AcceptorReply::Promised(ballot(3), Some((ballot(2), policy(1))))
    );
}

#[test]
fn leases_on_the_previous_policy_are_granted_until_the_accepted_one_takes_effect() {
    let mut acceptor = new_acceptor();
    acceptor.handle(0, accept_request(1, 1));
    assert_eq!(
        request_lease(&mut acceptor, 400),
        LeaseGrant {
            previous: None,
            current: Some(current_lease(1, 1, 600, 1_000))
        }
    );
    assert_eq!(
        request_lease(&mut acceptor, 2_000),
        LeaseGrant {
            previous: None,
            current: Some(current_lease(1, 1, 0, 1_000))
        }
    );
    acceptor.handle(5_000, accept_request(2, 2));
    assert_eq!(
        request_lease(&mut acceptor, 5_300),
        LeaseGrant {
            previous: Some(previous_lease(1, 1, 700)),
            current: Some(current_lease(2, 2, 700, 1_000))
        }
    );
    assert_eq!(request_lease(&mut acceptor, 6_000).previous, None);
    // Accepting the same policy by another ballot, as when a proposer completes a change left by another one, does
    // not change the time at which the policy takes effect.
    acceptor.handle(6_000, accept_request(3, 2));
    assert_eq!(
        request_lease(&mut acceptor, 6_100).current,
        Some(current_lease(2, 3, 0, 1_000))
    );
}

#[test]
fn no_third_policy_is_accepted_before_the_second_one_takes_effect() {
    let mut acceptor = new_acceptor();
    acceptor.handle(0, accept_request(1, 1));
    acceptor.handle(5_000, accept_request(2, 2));
    assert_eq!(
        acceptor.handle(5_500, accept_request(3, 3)),
        response(AcceptorReply::Busy(500), false)
    );
    assert_eq!(
        acceptor.handle(6_000, accept_request(3, 3)),
        response(AcceptorReply::Accepted(ballot(3)), true)
    );
    assert_eq!(
        request_lease(&mut acceptor, 6_100).previous,
        Some(previous_lease(2, 2, 900))
    );
}

#[test]
fn a_policy_whose_ballot_was_promised_by_a_replaced_acceptor_is_not_accepted() {
    let mut acceptor = Acceptor::new(CONFIG, 0, AcceptorState::initial(), 0);
    assert!(matches!(
        acceptor
            .handle(
                0,
                AcceptorRequest::Join {
                    ballot: ballot(5),
                    acceptor: 2
                }
            )
            .reply,
        AcceptorReply::Promised(..)
    ));
    assert_eq!(
        acceptor
            .handle(0, AcceptorRequest::Prepare(ballot(6)))
            .reply,
        AcceptorReply::Promised(ballot(6), Some((Ballot::default(), Policy::default())))
    );
    let accept = |promising_incarnations: [(u64, u64); 2]| {
        let promised_by =
            promising_incarnations.map(|(acceptor, incarnation)| AcceptorIncarnation {
                acceptor,
                incarnation,
            });
        AcceptorRequest::Accept {
            ballot: ballot(6),
            policy: policy(1),
            promised_by: promised_by.to_vec(),
        }
    };
    assert_eq!(
        acceptor.handle(5_000, accept([(0, 0), (2, 0)])).reply,
        AcceptorReply::Preempted(ballot(6))
    );
    assert_eq!(
        acceptor.handle(5_000, accept([(0, 3), (1, 0)])).reply,
        AcceptorReply::Preempted(ballot(6)),
        "a promise by another incarnation of this acceptor is void"
    );
    assert_eq!(
        acceptor.handle(5_000, accept([(0, 0), (2, 5)])).reply,
        AcceptorReply::Accepted(ballot(6))
    );
    assert!(
        matches!(
            acceptor
                .handle(
                    0,
                    AcceptorRequest::Join {
                        ballot: ballot(6),
                        acceptor: 2
                    }
                )
                .reply,
            AcceptorReply::Preempted(_)
        ),
        "a join ballot must exceed the promised ballot's number"
    );
}

#[test]
fn a_restarted_acceptor_grants_the_accepted_policy_after_one_lease_duration() {
    let mut acceptor = new_acceptor();
    acceptor.handle(0, accept_request(1, 1));
    acceptor.handle(5_000, accept_request(2, 2));
    let mut restarted = Acceptor::new(CONFIG, 0, acceptor.state().clone(), 5_100);
    assert_eq!(
        request_lease(&mut restarted, 5_100).current,
        Some(current_lease(2, 2, 1_000, 1_000))
    );
    assert_eq!(
        request_lease(&mut restarted, 5_100).previous,
        None,
        "leases on the previous policy are not granted after a restart"
    );
}
