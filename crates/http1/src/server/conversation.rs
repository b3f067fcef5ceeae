//! Serves the requests of one connection, one after another.

use super::client::ClientConnection;
use super::http_server::HttpServer;
use super::relay::RelayedHead;
use super::request::RequestTarget;
use super::response::{encode_engine_response, encode_readiness, Reply};
use frosthatch_engine::Response;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tracing::debug;

/// Time after which a client may retry a request that was rejected because too many connections are busy or the gateway
/// takes no more requests.
const REJECTION_RETRY_AFTER: Duration = Duration::from_millis(500);

impl HttpServer {
    /// Serves requests until the connection is to be closed. Returns whether to close it gracefully; otherwise the last
    /// response is incomplete, and the client must be able to see that.
    pub(super) async fn serve_requests(self: &Rc<Self>, client: &mut ClientConnection) -> bool {
        loop {
            let received = match self.read_request(client).await {
                Ok(Some(received)) => received,
                Ok(None) => return true,
                Err(error) => return client.reject(&error).await,
            };
            client.has_served = true;
            let is_over_capacity = self.is_over_capacity();
            let reply = match received.target {
                RequestTarget::Readiness => Ok(Some(Reply::Readiness {
                    is_ready: self.is_ready(),
                })),
                RequestTarget::Server(request) => {
                    let id = request.request.id.0;
                    debug!(connection = client.number, request = id, "request.read");
                    if is_over_capacity || !self.takes_requests.get() {
                        Ok(Some(self.reject_unsubmitted(request.forwarded.class_index)))
                    } else {
                        self.reply_to(client, *request).await
                    }
                }
            };
            let reply = match reply {
                Ok(Some(reply)) => reply,
                Ok(None) => {
                    client.close_reason = "client_gone";
                    return true;
                }
                Err(error) => return client.reject(&error).await,
            };
            let closes_connection = received.closes_connection
                || client.has_input_overflowed
                || is_over_capacity
                || self.closes_after_response();
            let is_written = self
                .write_reply(client, reply, closes_connection, received.is_http_1_0)
                .await;
            if !is_written {
                client.close_reason = "answer_not_written";
                return false;
            }
            if closes_connection {
                client.close_reason = "last_answer";
                return true;
            }
            // The next request may have arrived already: the other connections have their turn first.
            yield_now().await;
        }
    }

    /// Builds, and counts, the rejection of a request that is not submitted to the engine.
    fn reject_unsubmitted(&self, class_index: usize) -> Reply {
        let response = Response::Rejected {
            retry_after: REJECTION_RETRY_AFTER,
        };
        self.count_response(class_index, &response);
        Reply::Response {
            response,
            extra_headers: String::new(),
        }
    }

    /// Writes a reply, and relays the body of a streamed one. Returns whether all of it was written.
    async fn write_reply(
        &self,
        client: &mut ClientConnection,
        reply: Reply,
        closes_connection: bool,
        is_http_1_0: bool,
    ) -> bool {
        let (response, extra_headers) = match reply {
            Reply::Readiness { is_ready } => {
                let encoded = encode_readiness(is_ready, closes_connection);
                return client.write(&encoded).await;
            }
            Reply::Response {
                response,
                extra_headers,
            } => (response, extra_headers),
        };
        if let Response::Streaming(first_part, rest) = response {
            let head = RelayedHead {
                extra_headers: &extra_headers,
                closes_connection,
                is_http_1_0,
            };
            return self.relay_body(client, first_part.into(), rest, head).await;
        }
        let encoded = encode_engine_response(&response, closes_connection, &extra_headers);
        client.write(&encoded).await
    }
}
