//! Tests of the remaining time that is forwarded to servers.

use super::ForwardedDeadline;
use crate::attempt_permit::WriteDenied;
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn the_forwarded_time_allows_a_quarter_for_writing_a_long_body() {
    let deadline = Instant::now() + Duration::from_secs(4);
    let short = ForwardedDeadline::new(deadline, false);
    let long = ForwardedDeadline::new(deadline, true);
    assert_eq!(
        (short.remaining().as_secs(), long.remaining().as_secs()),
        (4, 3)
    );
    tokio::time::advance(Duration::from_millis(500)).await;
    assert_eq!(short.check(), Err(WriteDenied::ForwardedDeadlineStale));
    assert_eq!(long.check(), Ok(()));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(long.check(), Err(WriteDenied::ForwardedDeadlineStale));
}
