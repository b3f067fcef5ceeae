//! The interface to the operator's plugins, which may delay, change or reject requests.

use super::{BoxedFuture, Response};
use frosthatch_traffic_control::Request;
use std::rc::Rc;
use std::time::Duration;

/// The part of a request that a front end passes to the plugins.
pub struct PluginRequest {
    /// The request as traffic control receives it.
    pub request: Request,
    /// The time until the client leaves.
    pub remaining: Duration,
    /// Whether requests of this class are idempotent.
    pub is_idempotent: bool,
    /// The headers that the plugins need: lower-case names and values.
    pub headers: Vec<(String, String)>,
    /// The first bytes of the request body.
    pub body: Vec<u8>,
}

/// The plugins' verdict on a request before it is submitted.
#[derive(Debug, PartialEq)]
pub enum PluginVerdict {
    /// The request proceeds with these changes.
    Continue {
        /// The quota units to charge, if more than the request states.
        units: Option<f64>,
        /// Whether the request gets low priority.
        low_priority: bool,
        /// The timeout for the response, if the plugins change it.
        timeout: Option<Duration>,
        /// Header lines to add to the response.
        headers: String,
    },
    /// The request is rejected.
    Reject {
        /// The time after which the client may retry.
        retry_after: Duration,
    },
    /// The request fails.
    Fail,
}

/// The operator's plugins. A plugin may be slow or faulty, so every wait for one is bounded.
pub trait RequestPlugins {
    /// Returns the lower-case names of the headers and the number of bytes of the body that the plugins need.
    fn required_input(&self) -> Rc<(Vec<String>, usize)>;
    /// Evaluates a request before it is submitted; `None` if no plugin applies to it.
    fn evaluate_request(
        self: Rc<Self>,
        request: &PluginRequest,
    ) -> Option<BoxedFuture<PluginVerdict>>;
    /// Evaluates a response and returns the header lines to add to it; `None` if no plugin applies to it. `elapsed`:
    /// the time since the request was passed to the plugins.
    fn evaluate_response(
        self: Rc<Self>,
        request: &PluginRequest,
        response: &Response,
        elapsed: Duration,
    ) -> Option<BoxedFuture<String>>;
}
