//! A rejected new process ends, unless the old process cannot hand over.

use frosthatch_handover::message::{take_message, Message};
use frosthatch_handover::rejection::RejectionReason;
use frosthatch_handover::target::{HandoverTarget, Input, Output, Phase};
use std::time::Duration;

/// Returns what a new process does that is rejected in reply to its first message.
fn outputs_after_rejection(reason: RejectionReason) -> (Phase, Vec<Output>) {
    let mut out = Vec::new();
    let mut target = HandoverTarget::new(Duration::ZERO, 1, &mut out);
    out.clear();
    // The reason as it arrives at the new process.
    let mut frame = Message::Rejected { reason }.encode_frame();
    let message = take_message(&mut frame).expect("the frame is valid");
    let message = message.expect("the frame is complete");
    target.handle(Duration::ZERO, Input::Received(message), &mut out);
    (target.phase(), out)
}

/// Guards against a third process that listens beside two that serve.
#[test]
fn a_process_that_is_rejected_by_a_serving_one_ends_and_opens_no_listener() {
    let reasons = [
        RejectionReason::upgrade_in_progress(12, 34),
        "the connecting user is not the owner of the old process".into(),
        "a reason of a later version".into(),
    ];
    for reason in reasons {
        let (phase, out) = outputs_after_rejection(reason.clone());
        let expected = vec![Output::CloseConnection, Output::EndProcess(reason)];
        assert_eq!((phase, out), (Phase::Finished, expected));
    }
}

/// Guards against a gateway that cannot be restarted while its old process ends or is too old.
#[test]
fn a_process_that_an_old_one_cannot_hand_over_to_opens_its_own_listeners() {
    for reason in [RejectionReason::OtherVersion, RejectionReason::Terminating] {
        let (phase, out) = outputs_after_rejection(reason);
        assert_eq!(phase, Phase::Finished);
        assert!(out.contains(&Output::Bind), "{out:?}");
    }
}
