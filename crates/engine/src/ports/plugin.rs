//! The operator's plugins, which may delay, change or reject requests.

use super::{BoxedFuture, Response};
use frosthatch_traffic_control::Request;
use std::rc::Rc;
use std::time::Duration;

/// What a front end shows of a request to the plugins.
pub struct PluginRequest {
    /// What the decisions need to know of it.
    pub request: Request,
    /// The time until its client leaves.
    pub remaining: Duration,
    /// Whether requests of its class are idempotent.
    pub is_idempotent: bool,
    /// The headers that the plugins want, by their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The first bytes of its body.
    pub body: Vec<u8>,
}

/// The plugins' verdict on a request before it is submitted.
#[derive(Debug, PartialEq)]
pub enum PluginVerdict {
    /// The request proceeds, with changes.
    Continue {
        /// Quota units to count, more than the request asked for.
        units: Option<f64>,
        /// Whether it is served after others like it.
        deprioritized: bool,
        /// The timeout for its response.
        timeout: Option<Duration>,
        /// Header lines for its response.
        headers: String,
    },
    /// The request is rejected.
    Reject {
        /// After which the client may retry.
        retry_after: Duration,
    },
    /// The request fails.
    Fail,
}

/// The operator's plugins. Each may be slow or faulty, so every wait for one is bounded.
pub trait RequestPlugins {
    /// The headers, by their names in lower case, and the number of bytes of the body that the plugins want.
    fn wanted_input(&self) -> Rc<(Vec<String>, usize)>;
    /// The verdict on a request; `None` if no plugin applies to it.
    fn evaluate_request(
        self: Rc<Self>,
        request: &PluginRequest,
    ) -> Option<BoxedFuture<PluginVerdict>>;
    /// Header lines to add to a response that took this long; `None` if no plugin applies to it.
    fn evaluate_response(
        self: Rc<Self>,
        request: &PluginRequest,
        response: &Response,
        took: Duration,
    ) -> Option<BoxedFuture<String>>;
}
