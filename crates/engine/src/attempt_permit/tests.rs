//! Tests of the checks and the violation counts of [`AttemptPermit`].

use super::{AttemptPermit, ClientPresence, WriteDenied};
use crate::forwarded_deadline::ForwardedDeadline;
use crate::violations::{Rule, Violations};
use frosthatch_traffic_control::RequestId;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

fn permit(
    latest_start: Duration,
    client_leaves_in: Duration,
) -> (AttemptPermit, ClientPresence, Rc<Violations>) {
    let now = Instant::now();
    let client = ClientPresence::default();
    let violations = Rc::<Violations>::default();
    let permit = AttemptPermit::new(
        RequestId(7),
        now + latest_start,
        now + client_leaves_in,
        client.clone(),
        violations.clone(),
    );
    (permit, client, violations)
}

#[tokio::test(start_paused = true)]
async fn an_attempt_is_denied_after_its_latest_start_or_without_a_waiting_client() {
    let (permit, client, _) = permit(Duration::from_secs(1), Duration::from_secs(2));
    assert_eq!(permit.check(), Ok(()));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(permit.check(), Err(WriteDenied::TooLate));
    client.record_gone();
    assert_eq!(permit.check(), Err(WriteDenied::ClientGone));
}

/// Guards against an attempt that is written while a request is suspended, and against one that stays denied afterwards.
#[tokio::test(start_paused = true)]
async fn an_attempt_is_denied_only_while_its_client_is_away() {
    let (permit, client, _) = permit(Duration::from_secs(1), Duration::from_secs(2));
    client.record_gone();
    assert_eq!(permit.check(), Err(WriteDenied::ClientGone));
    assert!(client.record_back(), "the client was away");
    assert_eq!(permit.check(), Ok(()));
    assert!(!client.record_back(), "the client waits already");
}

#[tokio::test(start_paused = true)]
async fn a_late_write_counts_as_a_violation_of_each_rule_it_breaks() {
    let (permit, client, violations) = permit(Duration::from_secs(1), Duration::from_secs(2));
    let forwarded = ForwardedDeadline::new(Instant::now() + Duration::from_secs(2), false);
    permit.record_written(Some(forwarded.deadline()));
    assert!(Rule::ALL.iter().all(|rule| violations.count(*rule) == 0));
    client.record_gone();
    // Later than the latest start, the maximum process delay (150 ms) and the slack (50 ms) together.
    tokio::time::advance(Duration::from_millis(1_210)).await;
    permit.record_written(Some(forwarded.deadline()));
    for rule in [
        Rule::LatestStart,
        Rule::ClientWaiting,
        Rule::ForwardedDeadline,
    ] {
        assert_eq!(violations.count(rule), 1, "{rule:?}");
    }
}
