use super::{ReuseDelay, MIN_IDLE, MIN_IDLE_WITH_SECOND_RESPONSES, SECOND_RESPONSES_PERIOD};
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn connections_rest_longer_while_servers_send_unsolicited_bytes() {
    let delay = ReuseDelay::default();
    assert_eq!(delay.min_idle_time(), MIN_IDLE);
    delay.record_unsolicited();
    assert_eq!(delay.min_idle_time(), MIN_IDLE_WITH_SECOND_RESPONSES);
    advance(SECOND_RESPONSES_PERIOD / 2).await;
    delay.record_unsolicited();
    advance(SECOND_RESPONSES_PERIOD / 2).await;
    assert_eq!(delay.min_idle_time(), MIN_IDLE_WITH_SECOND_RESPONSES);
    advance(SECOND_RESPONSES_PERIOD / 2).await;
    assert_eq!(delay.min_idle_time(), MIN_IDLE);
}
