use super::{DatagramIdentity, DatagramVerdict, Session};

/// Receives a datagram at a process with the instance id `own_instance_id`.
fn receive(
    session: &mut Session,
    own_instance_id: u64,
    to_instance_id: u64,
    instance_id: u64,
    incarnation: u64,
    sequence: u64,
) -> DatagramVerdict {
    session.receive(
        own_instance_id,
        DatagramIdentity {
            to_instance_id,
            instance_id,
            incarnation,
            sequence,
        },
    )
}

#[test]
fn only_datagrams_for_the_local_instance_are_accepted_and_only_once() {
    let mut s = Session::default();
    assert_eq!(receive(&mut s, 7, 0, 1, 10, 1), DatagramVerdict::Unproven);
    assert_eq!(
        receive(&mut s, 7, 6, 1, 10, 2),
        DatagramVerdict::Unproven,
        "the datagram names an instance from before the local start"
    );
    assert_eq!(
        receive(&mut s, 7, 7, 1, 10, 3),
        DatagramVerdict::AcceptedNewInstance
    );
    assert_eq!(receive(&mut s, 7, 7, 1, 10, 3), DatagramVerdict::Duplicate);
    assert_eq!(receive(&mut s, 7, 7, 1, 10, 100), DatagramVerdict::Accepted);
    assert_eq!(
        receive(&mut s, 7, 7, 1, 10, 60),
        DatagramVerdict::Accepted,
        "a late datagram within the replay window is accepted once"
    );
    assert_eq!(receive(&mut s, 7, 7, 1, 10, 60), DatagramVerdict::Duplicate);
    assert_eq!(
        receive(&mut s, 7, 7, 1, 10, 36),
        DatagramVerdict::Duplicate,
        "a sequence number below the replay window is rejected"
    );
}

#[test]
fn a_replaced_instance_is_not_accepted_again() {
    let mut s = Session::default();
    assert_eq!(
        receive(&mut s, 7, 7, 1, 10, 500),
        DatagramVerdict::AcceptedNewInstance
    );
    assert_eq!(
        receive(&mut s, 7, 7, 2, 20, 1),
        DatagramVerdict::AcceptedNewInstance
    );
    assert_eq!(receive(&mut s, 7, 7, 1, 10, 501), DatagramVerdict::Replaced);
    assert_eq!(receive(&mut s, 7, 7, 1, 20, 502), DatagramVerdict::Replaced);
    assert_eq!(receive(&mut s, 7, 7, 2, 20, 2), DatagramVerdict::Accepted);
}
