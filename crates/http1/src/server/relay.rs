//! Relays long responses to the client while they arrive.

use super::client::ClientConnection;
use super::http_server::HttpServer;
use super::response::encode_response_head;
use crate::backend::ResponseStream;
use crate::socket_io::write_all;
use socket2::SockRef;
use std::any::Any;
use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Maximum time for which the client or the server may stall a long response: the time in which the client takes no byte,
/// or the server sends none.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Framing of a relayed body towards the client.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RelayFraming {
    /// The server declared this length in bytes.
    Length(usize),
    /// The length is unknown, and the client speaks HTTP/1.1.
    Chunked,
    /// The length is unknown, and the client speaks HTTP/1.0: the end of the connection ends the body.
    UntilClose,
}

impl RelayFraming {
    /// Returns the header line that declares this framing, if there is one.
    fn header(self) -> String {
        match self {
            RelayFraming::Length(length) => format!("Content-Length: {length}\r\n"),
            RelayFraming::Chunked => "Transfer-Encoding: chunked\r\n".into(),
            RelayFraming::UntilClose => String::new(),
        }
    }

    /// Encodes a part of the body and appends it to `output`.
    fn encode(self, part: &[u8], output: &mut Vec<u8>) {
        if part.is_empty() {
            return;
        }
        if self == RelayFraming::Chunked {
            output.extend(format!("{:x}\r\n", part.len()).into_bytes());
        }
        output.extend_from_slice(part);
        if self == RelayFraming::Chunked {
            output.extend_from_slice(b"\r\n");
        }
    }

    /// Appends the end of the body to `output`.
    fn encode_end(self, output: &mut Vec<u8>) {
        if self == RelayFraming::Chunked {
            output.extend_from_slice(b"0\r\n\r\n");
        }
    }
}

/// Head of a relayed response, except for the framing of its body.
pub(super) struct RelayedHead<'a> {
    /// Additional header lines, each with its line end.
    pub(super) extra_headers: &'a str,
    /// Whether the response closes the connection.
    pub(super) closes_connection: bool,
    /// Whether the client speaks HTTP/1.0, which has no chunked encoding.
    pub(super) is_http_1_0: bool,
}

impl HttpServer {
    /// Relays a long response, of which `first_part` has arrived. Returns whether all of it was written. Stops when the
    /// client disconnects.
    ///
    /// The client can recognize a truncated response: its declared length is not reached, the last chunk is missing or,
    /// if the end of the connection ends the body, the connection is reset.
    pub(super) async fn relay_body(
        &self,
        client: &mut ClientConnection,
        first_part: Vec<u8>,
        rest: Box<dyn Any>,
        head: RelayedHead<'_>,
    ) -> bool {
        let Ok(mut stream) = rest.downcast::<ResponseStream>() else {
            return false;
        };
        let framing = match stream.declared_length() {
            Some(length) => RelayFraming::Length(length),
            None if head.is_http_1_0 => RelayFraming::UntilClose,
            None => RelayFraming::Chunked,
        };
        if framing == RelayFraming::UntilClose {
            let _ = SockRef::from(&client.stream).set_linger(Some(Duration::ZERO));
        }
        let mut output = encode_response_head(
            "200 OK",
            head.extra_headers,
            head.closes_connection,
            &framing.header(),
        )
        .into_bytes();
        let mut part = first_part;
        let mut is_complete = false;
        loop {
            framing.encode(&part, &mut output);
            if is_complete {
                framing.encode_end(&mut output);
            }
            if !write_part(client, &output).await {
                return false;
            }
            if is_complete {
                self.upstream.finish_stream(*stream);
                let _ = SockRef::from(&client.stream).set_linger(None);
                return true;
            }
            output.clear();
            let reading = pin!(timeout(BODY_STALL_TIMEOUT, stream.read_part(&mut part)));
            let Some(Ok(Ok(is_last_part))) = client.while_connected(reading).await else {
                // The response is malformed, truncated or stalled, or the client has disconnected.
                return false;
            };
            is_complete = is_last_part;
            // Both sides may be as fast as the gateway: the other connections have their turn first.
            yield_now().await;
        }
    }
}

/// Writes a part of the response. Returns false if the connection fails, or if the client takes no byte for
/// [`BODY_STALL_TIMEOUT`].
async fn write_part(client: &ClientConnection, output: &[u8]) -> bool {
    let written = Cell::new(0);
    let mut writing = pin!(write_all(&client.stream, output, &written));
    loop {
        let written_before = written.get();
        match timeout(BODY_STALL_TIMEOUT, &mut writing).await {
            Ok(result) => return result.is_ok(),
            Err(_) if written.get() == written_before => return false,
            Err(_) => {}
        }
    }
}
