//! The requests of one connection, one after another, and their answers.

use super::client::Client;
use super::draining::IdleConnection;
use super::request::{ends_head, Ask, Asked, BadRequest, Head};
use super::response::Reply;
use super::HttpServer;
use crate::backend::Outgoing;
use crate::message::HEAD_BYTES;
use frosthatch_engine::{
    DuplicateRequest, Engine, IncomingRequest, PluginRequest, PluginVerdict, Response,
};
use frosthatch_traffic_control::RequestId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};
use tracing::debug;

/// A request is whole this long after its first byte, the first of a connection this long after it was accepted:
/// an error or a close is owed within 3 s.
const WHOLE_WITHIN: Duration = Duration::from_millis(2_500);
/// A body is whole this long after its head, and longer by what has come of it at the slowest: clients of ours send at
/// twice that.
const BODY_WITHIN: Duration = Duration::from_secs(2);
const SLOWEST: f64 = 32_000.0;
/// A connection that has served is kept open for so long without a request.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// A client that is refused for want of a place may come again after this.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(500);

impl HttpServer {
    /// Requests and answers, one after another; whether the connection ends in good order then. Else its client must see
    /// that it does not.
    pub(super) async fn converse(self: &Rc<Self>, client: &mut Client) -> bool {
        loop {
            let asked = match self.read(client).await {
                Ok(Some(asked)) => asked,
                Ok(None) => return true,
                Err(bad) => return client.reject(&bad).await,
            };
            client.kept = true;
            if let Some(ask) = &asked.ask {
                debug!(
                    connection = client.number,
                    request = ask.request.id.0,
                    "request.read"
                );
            }
            let (mut added, crowded) = (String::new(), self.crowded());
            let answer = match asked.ask {
                None => Reply::Ready(self.ready()),
                Some(ask) => {
                    let answered = match crowded {
                        true => Ok(self.unsent(
                            ask.forward.class,
                            Response::Rejected {
                                retry_after: RETRY_AFTER_FULL,
                            },
                        )),
                        false => self.answer_by_rules(client, *ask, &mut added).await,
                    };
                    match answered {
                        Ok(Some(answer)) => Reply::Answer(answer),
                        // The client has gone.
                        Ok(None) => return client.closes("client_gone", true),
                        Err(bad) => return client.reject(&bad).await,
                    }
                }
            };
            let close = asked.close || client.flooded || crowded || self.ends_connections();
            let written = match answer {
                Reply::Answer(Response::Streaming(first, rest)) => {
                    self.relay_body(client, first, rest, close, asked.old, &added)
                        .await
                }
                answer => client.write(&answer.text(close, &added)).await,
            };
            if !written {
                return client.closes("answer_not_written", false);
            }
            if close {
                return client.closes("last_answer", true);
            }
        }
    }

    /// The next request, whole and checked; none if the connection is over. Until then the connection is idle.
    async fn read(&self, client: &mut Client) -> Result<Option<Asked>, BadRequest> {
        let (since, kept) = (Instant::now(), client.kept);
        let end = Rc::new(Notify::new());
        self.idle.borrow_mut().insert(
            client.number,
            IdleConnection {
                since,
                kept,
                begun: false,
                end: end.clone(),
            },
        );
        let asked = self.read_idle(client, since, end).await;
        self.idle.borrow_mut().remove(&client.number);
        asked
    }

    async fn read_idle(
        &self,
        client: &mut Client,
        since: Instant,
        mut end: Rc<Notify>,
    ) -> Result<Option<Asked>, BadRequest> {
        let mut by = since
            + if client.kept {
                KEEPALIVE_TIMEOUT
            } else {
                WHOLE_WITHIN
            };
        let mut head: Option<Head> = None;
        let (mut begun, mut looked_at) = (false, 0);
        // Its time is over, and what has come in time is read.
        let mut read_last = false;
        loop {
            let buffer = &mut client.buffer;
            if !begun && !buffer.is_empty() {
                begun = true;
                // Idle no longer, for all that can be told.
                let now = Instant::now();
                if client.kept {
                    by = now + WHOLE_WITHIN;
                }
                // Whoever ended it took it for idle, and is not heard any more.
                end = Rc::default();
                self.idle.borrow_mut().entry(client.number).and_modify(|i| {
                    (i.begun, i.end) = (true, end.clone());
                    i.since = if i.kept { now } else { i.since };
                });
            }
            if head.is_none() {
                head = match ends_head(buffer, looked_at) {
                    true => Some(self.head(buffer)?),
                    false if buffer.len() > HEAD_BYTES => return Err(BadRequest::HeadTooLong),
                    false => None,
                };
                looked_at = buffer.len();
                if let Some(head) = &head {
                    buffer.drain(..head.end);
                    by = Instant::now() + BODY_WITHIN;
                }
            }
            if let Some(head) = &mut head {
                if self.take_body(head, buffer)? {
                    return Ok(Some(head.asked(client.arrived_at)));
                }
                if std::mem::take(&mut head.expects)
                    && !client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await
                {
                    return Ok(None);
                }
            }
            let leaving = self
                .leaving
                .get()
                .is_some_and(|l| Instant::now() >= l.requests_until);
            let over = || match (begun, leaving) {
                (false, _) => Ok(None),
                (true, true) => Err(BadRequest::Leaving),
                (true, false) => Err(BadRequest::Slow),
            };
            // A body may take longer the more of it has come, and rests no longer than a head.
            let by = head.as_ref().map_or(by, |h| {
                let so_far = Duration::from_secs_f64(h.body.len() as f64 / SLOWEST);
                (by + so_far).min(Instant::now() + BODY_WITHIN)
            });
            if read_last && !client.has_more() {
                return over();
            }
            let in_body = head.is_some();
            tokio::select! {
                read = client.read_some(in_body) => {
                    if matches!(read, Ok(0) | Err(_)) {
                        client.close_reason = "ended_by_client";
                        return Ok(None);
                    }
                    // A request that has just begun has time to become whole.
                    read_last &= begun;
                }
                // What has come meanwhile is read first, once.
                () = end.notified(), if !read_last => read_last = true,
                () = sleep_until(by), if !read_last => read_last = true,
            }
        }
    }

    /// The same by the operator's rules, if there are any for it; `added` takes header lines for the answer.
    async fn answer_by_rules(
        &self,
        client: &mut Client,
        mut ask: Ask,
        added: &mut String,
    ) -> Result<Option<Response>, BadRequest> {
        let Some(rules) = &self.rules else {
            return self.answer(client, ask).await;
        };
        let (since, body) = (
            Instant::now(),
            rules.wanted_input().1.min(ask.forward.body.len()),
        );
        let mut ruling = PluginRequest {
            request: ask.request.clone(),
            left: ask.gone_at.saturating_duration_since(since),
            repeatable: ask.safe,
            headers: std::mem::take(&mut ask.shown),
            body: ask.forward.body[..body].to_vec(),
        };
        let ruled = match rules.clone().evaluate_request(&ruling) {
            None => None,
            Some(ruled) => match client.while_there(ruled).await {
                Some(ruled) => Some(ruled),
                None => return Ok(None),
            },
        };
        let answer = match ruled {
            // Nothing has run, whatever its class.
            Some(PluginVerdict::Reject { retry_after }) => {
                self.unsent(ask.forward.class, Response::Rejected { retry_after })
            }
            Some(PluginVerdict::Fail) => {
                self.unsent(ask.forward.class, Response::Failed { timed_out: false })
            }
            Some(PluginVerdict::Continue {
                units,
                lower,
                within,
                headers,
            }) => {
                ask.request.units = ask.request.units.max(units.unwrap_or(0.0));
                ask.request.low_priority = lower;
                ask.gone_at = within.map_or(ask.gone_at, |within| ask.gone_at.min(since + within));
                added.push_str(&headers);
                self.answer(client, ask).await?
            }
            None => self.answer(client, ask).await?,
        };
        let Some(answer) = answer else {
            return Ok(None);
        };
        ruling.left = ruling.left.saturating_sub(since.elapsed());
        if let Some(more) = rules
            .clone()
            .evaluate_response(&ruling, &answer, since.elapsed())
        {
            added.push_str(&more.await);
        }
        Ok(Some(answer))
    }

    /// The answer to a request that the engine never heard of.
    pub(super) fn unsent(&self, class: usize, answer: Response) -> Option<Response> {
        self.engine.counters().answered(class, &answer);
        Some(answer)
    }

    /// The answer to a request; none if its client goes first.
    async fn answer(&self, client: &mut Client, ask: Ask) -> Result<Option<Response>, BadRequest> {
        let Ask {
            request,
            gone_at,
            forward,
            ..
        } = ask;
        // Guards against sending on what waited here, unread, until its client had gone.
        if client.has_gone() {
            return Ok(None);
        }
        let id = request.id;
        let payload = Box::new(Outgoing {
            forward: Rc::new(forward),
            upstream: self.upstream.clone(),
        });
        let taken = self.engine.submit(IncomingRequest {
            request,
            gone_at,
            payload,
        });
        let answer = taken.map_err(|DuplicateRequest| BadRequest::Duplicate)?;
        let mut waiting = Waiting {
            engine: &self.engine,
            id: Some(id),
        };
        let Some(answer) = client.while_there(answer).await else {
            return Ok(None);
        };
        waiting.id = None;
        Ok(Some(
            answer.unwrap_or(Response::Failed { timed_out: false }),
        ))
    }
}

/// Dropped before the answer: the client has gone.
struct Waiting<'a> {
    engine: &'a Rc<Engine>,
    id: Option<RequestId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.engine.client_gone(id);
        }
    }
}
