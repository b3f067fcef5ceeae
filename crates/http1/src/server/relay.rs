//! Long answers, passed on to the client as they come.

use super::client::Client;
use super::response::answer_head;
use super::HttpServer;
use crate::backend::Passing;
use crate::message::write_all;
use bytes::Bytes;
use socket2::SockRef;
use std::any::Any;
use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;
use tokio::time::timeout;

/// Either side of a long answer may make the other wait for so long.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(10);

impl HttpServer {
    /// Passes a long answer on as it comes; whether all of it was. Cut short, it has no end that a client could take for
    /// one: its length is not reached, the last chunk is missing, or, where only the end of its connection tells, that is
    /// reset. A client that goes meanwhile ends it.
    pub(super) async fn relay_body(
        &self,
        client: &mut Client,
        first: Bytes,
        rest: Box<dyn Any>,
        close: bool,
        old: bool,
        added: &str,
    ) -> bool {
        let Ok(mut passing) = rest.downcast::<Passing>() else {
            return false;
        };
        let length = passing.length();
        let chunked = length.is_none() && !old;
        if length.is_none() && old {
            let _ = SockRef::from(&client.stream).set_linger(Some(Duration::ZERO));
        }
        let framing = match length {
            Some(length) => format!("Content-Length: {length}\r\n"),
            None if chunked => "Transfer-Encoding: chunked\r\n".into(),
            None => String::new(),
        };
        let mut out = answer_head("200 OK", added, close, &framing).into_bytes();
        let (mut part, mut ended) = (Vec::from(first), false);
        loop {
            if !part.is_empty() {
                if chunked {
                    out.extend(format!("{:x}\r\n", part.len()).into_bytes());
                }
                out.append(&mut part);
                if chunked {
                    out.extend_from_slice(b"\r\n");
                }
            }
            if ended && chunked {
                out.extend_from_slice(b"0\r\n\r\n");
            }
            let written = timeout(
                BODY_STALL_TIMEOUT,
                write_all(&client.stream, &out, &Cell::new(0)),
            )
            .await;
            if !matches!(written, Ok(Ok(()))) {
                return false;
            }
            if ended {
                self.upstream.passed(*passing);
                let _ = SockRef::from(&client.stream).set_linger(None);
                return true;
            }
            out.clear();
            match client
                .while_there(pin!(timeout(BODY_STALL_TIMEOUT, passing.go_on(&mut part))))
                .await
            {
                Some(Ok(Ok(whole))) => ended = whole,
                // Spoilt, cut short, silent, or for nobody.
                _ => return false,
            }
        }
    }
}
