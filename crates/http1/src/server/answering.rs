//! Obtains the response to a request from the operator's plugins or from the engine.

use super::bad_request::BadRequest;
use super::client::ClientConnection;
use super::http_server::HttpServer;
use super::request::ClientRequest;
use super::response::Reply;
use crate::backend::OutgoingRequest;
use frosthatch_engine::{
    DuplicateRequest, Engine, IncomingRequest, PluginRequest, PluginVerdict, RequestPlugins,
    Response,
};
use frosthatch_traffic_control::RequestId;
use std::rc::Rc;
use tokio::time::Instant;

impl HttpServer {
    /// Returns the reply to a request, after evaluating the operator's plugins if there are any; `None` if the client
    /// disconnects first.
    pub(super) async fn reply_to(
        &self,
        client: &mut ClientConnection,
        mut request: ClientRequest,
    ) -> Result<Option<Reply>, BadRequest> {
        let Some(plugins) = &self.plugins else {
            let response = self.submit(client, request).await?;
            return Ok(response.map(|response| Reply::Response {
                response,
                extra_headers: String::new(),
            }));
        };
        let started_at = Instant::now();
        let mut plugin_request = plugin_request(&**plugins, &mut request, started_at);
        let mut verdict = None;
        if let Some(evaluation) = plugins.clone().evaluate_request(&plugin_request) {
            let Some(evaluated) = client.while_connected(evaluation).await else {
                return Ok(None);
            };
            verdict = Some(evaluated);
        }
        let mut extra_headers = String::new();
        let response = self
            .apply_verdict(client, request, verdict, started_at, &mut extra_headers)
            .await?;
        let Some(response) = response else {
            return Ok(None);
        };
        plugin_request.remaining = plugin_request
            .remaining
            .saturating_sub(started_at.elapsed());
        let evaluation =
            plugins
                .clone()
                .evaluate_response(&plugin_request, &response, started_at.elapsed());
        if let Some(evaluation) = evaluation {
            extra_headers.push_str(&evaluation.await);
        }
        Ok(Some(Reply::Response {
            response,
            extra_headers,
        }))
    }

    /// Counts a response to a request that was not submitted to the engine.
    pub(super) fn count_response(&self, class_index: usize, response: &Response) {
        self.engine
            .counters()
            .record_response(class_index, response);
    }

    /// Applies the plugins' verdict: submits the request with the verdict's changes, or returns the response that the
    /// verdict requires, without executing the request. Returns `None` if the client disconnects first.
    async fn apply_verdict(
        &self,
        client: &mut ClientConnection,
        mut request: ClientRequest,
        verdict: Option<PluginVerdict>,
        started_at: Instant,
        extra_headers: &mut String,
    ) -> Result<Option<Response>, BadRequest> {
        let response = match verdict {
            None => return self.submit(client, request).await,
            Some(PluginVerdict::Continue {
                units,
                low_priority: is_low_priority,
                timeout: response_timeout,
                headers,
            }) => {
                request.request.units = request.request.units.max(units.unwrap_or(0.0));
                request.request.low_priority = is_low_priority;
                if let Some(response_timeout) = response_timeout {
                    request.client_deadline =
                        request.client_deadline.min(started_at + response_timeout);
                }
                extra_headers.push_str(&headers);
                return self.submit(client, request).await;
            }
            Some(PluginVerdict::Reject { retry_after }) => Response::Rejected { retry_after },
            Some(PluginVerdict::Fail) => Response::Failed { timed_out: false },
        };
        self.count_response(request.forwarded.class_index, &response);
        Ok(Some(response))
    }

    /// Submits a request to the engine. Returns the response; `None` if the client disconnects first.
    async fn submit(
        &self,
        client: &mut ClientConnection,
        client_request: ClientRequest,
    ) -> Result<Option<Response>, BadRequest> {
        // A request that waited unread in the socket until its client disconnected must not be forwarded.
        if client.detect_disconnect() {
            return Ok(None);
        }
        let id = client_request.request.id;
        let payload = Box::new(OutgoingRequest {
            request: Rc::new(client_request.forwarded),
            upstream: self.upstream.clone(),
        });
        let submitted = self.engine.submit(IncomingRequest {
            request: client_request.request,
            client_deadline: client_request.client_deadline,
            payload,
        });
        let responding = submitted.map_err(|DuplicateRequest| BadRequest::Duplicate)?;
        let mut guard = ClientWaitGuard {
            engine: &self.engine,
            pending_request: Some(id),
        };
        let Some(response) = client.while_connected(responding).await else {
            return Ok(None);
        };
        guard.pending_request = None;
        Ok(Some(
            response.unwrap_or(Response::Failed { timed_out: false }),
        ))
    }
}

/// Builds the plugins' view of a request: moves the headers that they need out of `request`, and copies as much of the
/// body as they need.
fn plugin_request(
    plugins: &dyn RequestPlugins,
    request: &mut ClientRequest,
    now: Instant,
) -> PluginRequest {
    let required_input = plugins.required_input();
    let body = &request.forwarded.body;
    let copied_body_bytes = required_input.1.min(body.len());
    PluginRequest {
        request: request.request.clone(),
        remaining: request.client_deadline.saturating_duration_since(now),
        is_idempotent: request.is_repeatable,
        headers: std::mem::take(&mut request.plugin_headers),
        body: body[..copied_body_bytes].to_vec(),
    }
}

/// Guard that notifies the engine of the client's disconnection if it is dropped before the response arrives.
struct ClientWaitGuard<'a> {
    engine: &'a Rc<Engine>,
    pending_request: Option<RequestId>,
}

impl Drop for ClientWaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.pending_request {
            self.engine.client_gone(id);
        }
    }
}
