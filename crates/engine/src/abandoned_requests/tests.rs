use super::{AbandonedRequests, MAX_IDS, RETENTION};
use frosthatch_traffic_control::RequestId;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn an_id_is_kept_for_the_retention_time() {
    let mut abandoned = AbandonedRequests::default();
    abandoned.insert(RequestId(1));
    advance(RETENTION / 2).await;
    abandoned.insert(RequestId(2));
    abandoned.insert(RequestId(1));
    assert!(abandoned.contains(RequestId(1)) && abandoned.contains(RequestId(2)));
    advance(RETENTION / 2).await;
    assert!(!abandoned.contains(RequestId(1)) && abandoned.contains(RequestId(2)));
}

/// Guards against memory that clients fill by leaving.
#[tokio::test(start_paused = true)]
async fn the_number_of_ids_is_bounded() {
    let mut abandoned = AbandonedRequests::default();
    (0..3 * MAX_IDS as u64).for_each(|id| abandoned.insert(RequestId(id)));
    assert_eq!(
        (abandoned.ids.len(), abandoned.expiries.len()),
        (MAX_IDS, MAX_IDS)
    );
    assert!(!abandoned.contains(RequestId(0)));
    assert!(abandoned.contains(RequestId(3 * MAX_IDS as u64 - 1)));
}
