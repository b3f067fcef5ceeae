//! Handles SIGTERM: a graceful shutdown that finishes every request received.
//!
//! ```text
//! SIGTERM --late connections--> requests --respond_by + write--> peers --> responses --last one ends--> exit
//! ```
//!
//! Requests have a deadline; a response that a server is still sending has none. What has to be done before the platform
//! may send SIGKILL is therefore done before the last responses are waited for.

use super::RunningGateway;
use frosthatch_cluster_membership::LifecyclePhase;
use frosthatch_handover::driver::LocalEvent;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// Time after SIGTERM in which new connections are accepted: the platform may open some for up to 0.4 s.
const LATE_CONNECTION_PERIOD: Duration = Duration::from_millis(500);
/// Time after the longest deadline by which the last response is due; no request is pending after it.
const LAST_RESPONSE_PERIOD: Duration = Duration::from_millis(50);
/// Time to write the last responses. SIGKILL may follow 0.7 s after the longest deadline;
/// [`LATE_CONNECTION_PERIOD`], [`LAST_RESPONSE_PERIOD`] and this period together are 0.6 s.
const LAST_WRITE_PERIOD: Duration = Duration::from_millis(50);
/// Longest deadline that the shutdown waits for; the platform, which sends SIGKILL, counts longer deadlines as this
/// one too.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Number of consecutive polls that must find nothing in flight.
const REQUIRED_IDLE_POLLS: u32 = 2;
/// Interval between two polls for open connections and requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for Diameter peers to answer a disconnect and for the other members to receive the leave. Requests are
/// answered or abandoned before, so a SIGKILL in this period loses at most these messages and the rest of long responses.
const DISCONNECT_PERIOD: Duration = Duration::from_millis(100);

impl RunningGateway {
    /// Finishes the requests in flight, leaves the cluster, and finishes the responses that are still being sent; returns
    /// when the process can exit.
    pub(super) async fn shut_down(self) {
        let longest_deadline = self.longest_deadline.min(MAX_DEADLINE);
        let respond_by =
            Instant::now() + LATE_CONNECTION_PERIOD + longest_deadline + LAST_RESPONSE_PERIOD;
        let end_by = respond_by + LAST_WRITE_PERIOD;
        self.announce_shutdown(respond_by);
        self.wait_for_late_requests(end_by).await;
        // Requests that are unanswered at `end_by` are abandoned.
        let _ = timeout_at(end_by, self.finish_requests()).await;
        self.stop_taking_requests();
        self.disconnect_peers().await;
        self.finish_responses().await;
    }

    /// Announces the shutdown to clients, the other members and the other process of a hot restart.
    fn announce_shutdown(&self, respond_by: Instant) {
        self.http_server.begin_shutdown(respond_by);
        if let Some(member) = &self.member {
            member.set_phase(LifecyclePhase::Draining);
        }
        if let Some(hot_restart) = &self.hot_restart {
            let _ = hot_restart.try_send(LocalEvent::Terminate);
        }
        if let Some(diameter) = &self.diameter {
            diameter.frontend.start_draining();
        }
    }

    /// Waits while new connections, or requests on open ones, may still arrive.
    async fn wait_for_late_requests(&self, end_by: Instant) {
        if self.http_server.is_accepting() {
            sleep(LATE_CONNECTION_PERIOD).await;
            return;
        }
        // Another process accepts: requests arrive only on connections that are already open. Only connections that
        // have been idle for some time (see [`HttpServer::close_long_idle_connections`]) are closed, so that few closes
        // cross a request.
        while self.http_server.open_connections() > 0
            && Instant::now() + LATE_CONNECTION_PERIOD * 2 < end_by
        {
            self.http_server.close_long_idle_connections();
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns once [`REQUIRED_IDLE_POLLS`] consecutive polls find nothing in flight: a connection that waits in
    /// the listener's queue during one poll is accepted before the next.
    async fn finish_requests(&self) {
        let mut idle_polls = 0;
        while idle_polls < REQUIRED_IDLE_POLLS {
            self.http_server.close_for_shutdown();
            sleep(POLL_INTERVAL).await;
            idle_polls = if self.is_busy() { 0 } else { idle_polls + 1 };
        }
    }

    fn is_busy(&self) -> bool {
        let diameter = self.diameter.as_ref();
        self.http_server.open_connections() > 0
            || diameter.is_some_and(|service| service.frontend.in_flight_count() > 0)
    }

    /// Closes the listeners and rejects requests that arrive on open connections from now on.
    fn stop_taking_requests(&self) {
        self.accept_task.abort();
        self.http_server.stop_taking_requests();
        if let Some(diameter) = &self.diameter {
            diameter.stop_accepting();
        }
        self.engine.record_unanswered_requests();
    }

    /// Returns when all responses have been sent. Each ends with its last byte, when its client disconnects, or when its
    /// server or its client stalls it for too long.
    async fn finish_responses(&self) {
        while self.http_server.open_connections() > 0 {
            self.http_server.close_for_shutdown();
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Disconnects Diameter peers and leaves the cluster.
    async fn disconnect_peers(&self) {
        let has_peers = self.diameter.is_some() || self.member.is_some();
        if let Some(diameter) = &self.diameter {
            // Nothing is in flight: clients and servers are sent the reason of the disconnect (RFC 6733 section 5.4).
            diameter.frontend.disconnect_clients();
            diameter.servers.disconnect_all();
        }
        if let Some(member) = &self.member {
            // This gateway admits nothing more, so the other members may use its share of the quotas. The leave is
            // sent again with each tick, as datagrams may be lost.
            member.leave();
        }
        if has_peers {
            sleep(DISCONNECT_PERIOD).await;
        }
        // A process that is started under the same name has to be the only one that speaks for it.
        if let Some(member_task) = &self.member_task {
            member_task.abort();
        }
    }
}
