//! SIGTERM: a graceful shutdown that finishes every request it was sent.

use super::RunningGateway;
use frosthatch_cluster_membership::LifecyclePhase;
use frosthatch_handover::driver::LocalEvent;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// After SIGTERM the platform may send connections for up to 0.4 s.
const LATE_CONNECTIONS: Duration = Duration::from_millis(500);
/// After the longest deadline no request is held any more.
const LAST_RESPONSES: Duration = Duration::from_millis(50);
/// Time for the last responses to be written: SIGKILL may come 0.7 s after the longest deadline.
const LAST_WRITES: Duration = Duration::from_millis(50);
/// Longer deadlines count as this, as with whoever sends SIGKILL.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// So many polls in a row have to find nothing in flight.
const IDLE_POLLS: u32 = 2;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for peers to answer a disconnect, and for members to be told of the leave.
const GOODBYE_TIME: Duration = Duration::from_millis(100);

impl RunningGateway {
    /// Finishes what is in flight and leaves the cluster; returns when the process can exit.
    pub(super) async fn shut_down(self) {
        let longest_deadline = self.longest_deadline.min(MAX_DEADLINE);
        let respond_by = Instant::now() + LATE_CONNECTIONS + longest_deadline + LAST_RESPONSES;
        let end_by = respond_by + LAST_WRITES;
        self.announce_shutdown(respond_by);
        self.await_late_connections(end_by).await;
        // What is not finished by then is given up.
        let _ = timeout_at(end_by, self.finish_requests()).await;
        self.engine.record_unanswered_requests();
        self.say_goodbye().await;
    }

    fn announce_shutdown(&self, respond_by: Instant) {
        self.http_server.begin_shutdown(respond_by);
        if let Some(member) = &self.member {
            member.set_phase(LifecyclePhase::Draining);
        }
        if let Some(hot_restart) = &self.hot_restart {
            let _ = hot_restart.try_send(LocalEvent::Terminate);
        }
        if let Some(diameter) = &self.diameter {
            diameter.front.start_draining();
        }
    }

    async fn await_late_connections(&self, end_by: Instant) {
        if self.http_server.is_accepting() {
            sleep(LATE_CONNECTIONS).await;
            return;
        }
        // Another process accepts: requests come only over connections that are open, and idle ones are closed late, so
        // that few closes cross a request.
        while self.http_server.open_connections() > 0
            && Instant::now() + LATE_CONNECTIONS * 2 < end_by
        {
            self.http_server.close_long_idle_connections();
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns once nothing is in flight in several polls in a row: a connection may have been accepted since the first, and
    /// one that waits in the listener's queue is seen by the next.
    async fn finish_requests(&self) {
        let mut idle_polls = 0;
        while idle_polls < IDLE_POLLS {
            self.http_server.close_for_shutdown();
            sleep(POLL_INTERVAL).await;
            idle_polls = if self.is_busy() { 0 } else { idle_polls + 1 };
        }
    }

    fn is_busy(&self) -> bool {
        let diameter = self.diameter.as_ref();
        self.http_server.open_connections() > 0
            || diameter.is_some_and(|service| service.front.in_flight_count() > 0)
    }

    async fn say_goodbye(self) {
        let has_peers = self.diameter.is_some() || self.member.is_some();
        if let Some(diameter) = self.diameter {
            // Nothing is in flight: both sides are told why their connections end (RFC 6733 section 5.4).
            diameter.front.disconnect_clients();
            diameter.servers.disconnect_all();
        }
        if let Some(member) = self.member {
            // Nothing is admitted here any more: the other members may use this one's share of the quotas. The leave is
            // sent again with each tick, as datagrams may be lost.
            member.leave();
        }
        if has_peers {
            sleep(GOODBYE_TIME).await;
        }
    }
}
