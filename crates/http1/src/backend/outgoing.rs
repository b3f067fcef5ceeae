//! The engine's view of a request for a server.

use super::forwarded_request::ForwardedRequest;
use super::upstream::Upstream;
use frosthatch_engine::{Attempt, AttemptPermit, Payload};
use frosthatch_traffic_control::ServerId;
use std::rc::Rc;
use tokio::time::Instant;

/// A request for whichever server is chosen.
pub struct OutgoingRequest {
    /// What the server receives.
    pub request: Rc<ForwardedRequest>,
    /// The servers, and the connections to them.
    pub upstream: Rc<Upstream>,
}

impl Payload for OutgoingRequest {
    fn attempt(&self, server: &ServerId, deadline: Instant, permit: AttemptPermit) -> Attempt {
        let upstream = self.upstream.clone();
        let request = self.request.clone();
        let server = server.clone();
        Box::pin(async move { upstream.attempt(&server, &request, deadline, &permit).await })
    }
}
