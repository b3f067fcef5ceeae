//! Implements the engine's [`Payload`] for HTTP/1 requests.

use super::forwarded_request::ForwardedRequest;
use super::upstream::Upstream;
use frosthatch_engine::{Attempt, AttemptDeadlines, AttemptPermit, Payload};
use frosthatch_traffic_control::ServerId;
use std::rc::Rc;

/// Request that the engine sends to the server it chooses, and to another one if it retries.
pub struct OutgoingRequest {
    /// Request as the servers receive it.
    pub request: Rc<ForwardedRequest>,
    /// Servers, and the connections to them.
    pub upstream: Rc<Upstream>,
}

impl Payload for OutgoingRequest {
    fn attempt(
        &self,
        server: &ServerId,
        deadlines: AttemptDeadlines,
        permit: AttemptPermit,
    ) -> Attempt {
        let upstream = self.upstream.clone();
        let request = self.request.clone();
        let server = server.clone();
        Box::pin(async move {
            upstream
                .attempt(&server, &request, &deadlines, &permit)
                .await
        })
    }

    fn can_cancel_attempts(&self) -> bool {
        // A connection carries one request at a time, and a dropped attempt closes it.
        true
    }
}
