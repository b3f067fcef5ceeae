//! Clients of the soak: most behave normally; some leave early, write slowly, stop halfway, send just as their idle connection
//! is closed, or send long bodies.

use super::chance::Chance;
use super::gateways::{Gateway, DEADLINE};
use super::record::{Class, ConnectionKind, History, Request, Transmission, TransmissionEnd};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

/// Time beyond its deadline for which a client still waits. It exceeds the 500 ms within which the oracle accepts a late answer, so
/// that an answer after them is seen.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(1_000);
/// Bound on waiting for the error or close that follows an incomplete request, with a tolerance for a busy machine.
const INCOMPLETE_REQUEST_TIMEOUT: Duration = Duration::from_millis(3_300);
/// Time after which gateways close idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of kept connections per gateway.
const MAX_KEPT_CONNECTIONS: usize = 12;

/// How a client behaves for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    /// Sends the request at once, on a kept connection if there is one.
    Normal,
    /// Sends the request on a new connection.
    NewConnection,
    /// Closes the connection after this time without an answer.
    Leaves(Duration),
    /// Sends the request in pieces over this time.
    WritesSlowly(Duration),
    /// Sends part of the request and keeps the connection open.
    StopsHalfway,
    /// Sends the request just when the gateway closes the idle connection.
    RacesIdleClose,
    /// Sends a body of 300 KiB.
    LongBody,
}

/// All clients, with their kept connections by gateway.
pub struct Clients {
    pub gateways: Arc<Vec<Gateway>>,
    pub history: Arc<History>,
    kept: Vec<Mutex<Vec<TcpStream>>>,
}

impl Clients {
    pub fn new(gateways: Arc<Vec<Gateway>>, history: Arc<History>) -> Clients {
        let kept = gateways.iter().map(|_| Mutex::default()).collect();
        Clients {
            gateways,
            history,
            kept,
        }
    }

    /// Sends `per_s` requests per second for `length`, whatever their results, and waits until all have ended.
    pub async fn run(self: Arc<Self>, mut chance: Chance, per_s: f64, length: Duration) {
        let (start, mut tasks) = (tokio::time::Instant::now(), JoinSet::new());
        for n in 0.. {
            let due = Duration::from_secs_f64(f64::from(n) / per_s);
            if due >= length {
                break;
            }
            sleep_until(start + due).await;
            while tasks.try_join_next().is_some() {}
            let accepting: Vec<usize> = self
                .gateways
                .iter()
                .filter(|g| g.is_in_rotation())
                .map(|g| g.number)
                .collect();
            if accepting.is_empty() {
                continue;
            }
            let gateway = *chance.pick(&accepting);
            tasks.spawn(self.clone().run_client(gateway, chance.fork()));
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn run_client(self: Arc<Self>, gateway: usize, mut chance: Chance) {
        let class = *chance.pick(&Class::ALL);
        let behavior = match chance.below(100) {
            0..=7 => Behavior::NewConnection,
            8..=15 => Behavior::Leaves(chance.millis(0, 400)),
            16..=21 => Behavior::WritesSlowly(chance.millis(50, 1_800)),
            22..=23 => Behavior::StopsHalfway,
            24..=29 => Behavior::RacesIdleClose,
            30..=32 if class != Class::Check => Behavior::LongBody,
            _ => Behavior::Normal,
        };
        let client_timeout = match chance.below(10) {
            0 => Duration::from_millis(60),
            1 => Duration::from_millis(200),
            _ => DEADLINE,
        };
        let id = chance.number();
        let mut request = Request {
            id,
            class,
            gateway,
            client_timeout,
            transmissions: Vec::new(),
        };
        let text = format_request(
            &request,
            if behavior == Behavior::LongBody {
                300 << 10
            } else {
                20
            },
        );
        let mut connection_kind = if matches!(
            behavior,
            Behavior::Normal | Behavior::Leaves(_) | Behavior::RacesIdleClose
        ) {
            ConnectionKind::KeptConnection
        } else {
            ConnectionKind::NewConnection
        };
        // A second transmission follows if a kept connection was closed without an answer.
        for _ in 0..2 {
            // The front-end load balancer sends no new connections to a gateway that it has taken out.
            if connection_kind == ConnectionKind::NewConnection
                && !self.gateways[gateway].is_in_rotation()
            {
                break;
            }
            let Some((connection, actual_kind)) = self.connection(gateway, connection_kind).await
            else {
                break;
            };
            connection_kind = actual_kind;
            let sent = self
                .send(
                    &request,
                    connection,
                    connection_kind,
                    &text,
                    behavior,
                    &mut chance,
                )
                .await;
            let Some(sent) = sent else { break };
            request.transmissions.push(sent);
            match (connection_kind, sent.end) {
                (ConnectionKind::KeptConnection, TransmissionEnd::Closed { .. }) => {
                    connection_kind = ConnectionKind::NewConnection
                }
                _ => break,
            }
        }
        if !request.transmissions.is_empty() {
            self.history.observations().requests.push(request);
        }
    }

    /// Returns a kept or new connection, or `None` if the gateway accepts none.
    async fn connection(
        &self,
        gateway: usize,
        connection_kind: ConnectionKind,
    ) -> Option<(TcpStream, ConnectionKind)> {
        let kept = match connection_kind {
            ConnectionKind::KeptConnection => self.kept[gateway]
                .lock()
                .expect("lock is not poisoned")
                .pop(),
            ConnectionKind::NewConnection => None,
        };
        if let Some(stream) = kept {
            return Some((stream, ConnectionKind::KeptConnection));
        }
        let g = &self.gateways[gateway];
        let connected = timeout(Duration::from_secs(2), TcpStream::connect(g.address)).await;
        match connected {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Some((stream, ConnectionKind::NewConnection))
            }
            _ => {
                if g.must_accept() {
                    self.history.incident(
                        "connection",
                        format!("gateway {gateway} accepts no connection within 2 s"),
                    );
                }
                None
            }
        }
    }

    /// Sends a request and waits for its end; returns `None` if the request was not transmitted completely.
    async fn send(
        &self,
        request: &Request,
        mut stream: TcpStream,
        connection_kind: ConnectionKind,
        text: &[u8],
        behavior: Behavior,
        chance: &mut Chance,
    ) -> Option<Transmission> {
        let mut started_at = Instant::now();
        match behavior {
            Behavior::RacesIdleClose if connection_kind == ConnectionKind::KeptConnection => {
                sleep(IDLE_TIMEOUT - Duration::from_millis(6) + chance.millis(0, 8)).await;
                started_at = Instant::now();
                stream.write_all(text).await.ok()?;
            }
            Behavior::WritesSlowly(time) => {
                let pieces = 2 + chance.below(6);
                for piece in text.chunks(text.len() / pieces + 1) {
                    stream.write_all(piece).await.ok()?;
                    sleep(time / pieces as u32).await;
                }
            }
            Behavior::StopsHalfway => {
                let max_len = text.len() - 2;
                stream
                    .write_all(&text[..1 + chance.below(max_len)])
                    .await
                    .ok()?;
                self.expect_error_or_close(request.gateway, stream).await;
                return None;
            }
            _ => stream.write_all(text).await.ok()?,
        }
        let completed_at = Instant::now();
        if let Behavior::Leaves(after) = behavior {
            let mut byte = [0; 1];
            let until = tokio::time::Instant::now() + after;
            if timeout_at(until, stream.peek(&mut byte)).await.is_err() {
                drop(stream);
                let end = TransmissionEnd::ClientLeft { at: Instant::now() };
                return Some(Transmission {
                    connection_kind,
                    started_at,
                    completed_at,
                    end,
                });
            }
        }
        let remaining =
            (request.client_timeout + LATE_ANSWER_WAIT).saturating_sub(completed_at.elapsed());
        let end = match timeout(remaining, read_answer(&mut stream)).await {
            Err(_) => TransmissionEnd::NoAnswer,
            Ok(Answer::Complete {
                status,
                body,
                reusable,
            }) => {
                if reusable {
                    let mut kept = self.kept[request.gateway]
                        .lock()
                        .expect("lock is not poisoned");
                    if kept.len() < MAX_KEPT_CONNECTIONS {
                        kept.push(stream);
                    }
                }
                let genuine =
                    status != 200 || body == format!("made for {:016x}", request.id).as_bytes();
                TransmissionEnd::Answered {
                    status,
                    genuine,
                    at: Instant::now(),
                }
            }
            Ok(Answer::None) => TransmissionEnd::Closed { at: Instant::now() },
            Ok(Answer::Cut) => TransmissionEnd::Cut,
        };
        Some(Transmission {
            connection_kind,
            started_at,
            completed_at,
            end,
        })
    }

    /// Checks that the gateway ends an incomplete request with an error or a close.
    async fn expect_error_or_close(&self, gateway: usize, mut stream: TcpStream) {
        let mut byte = [0; 1];
        if timeout(INCOMPLETE_REQUEST_TIMEOUT, stream.read(&mut byte))
            .await
            .is_err()
        {
            self.history.incident(
                "bad client",
                format!("gateway {gateway} neither answers an incomplete request nor closes its connection within {INCOMPLETE_REQUEST_TIMEOUT:?}"),
            );
        }
    }
}

/// Formats a request with a body of `body` bytes, unless its class has none.
fn format_request(request: &Request, body: usize) -> Vec<u8> {
    let (name, id) = (request.class.name(), request.id);
    let method = if request.class == Class::Check {
        "GET"
    } else {
        "POST"
    };
    let key = match request.class {
        Class::TopUp => format!("Idempotency-Key: {id:032x}\r\n"),
        _ => String::new(),
    };
    let body = if request.class == Class::Check {
        String::new()
    } else {
        "x".repeat(body)
    };
    let length = match request.class {
        Class::Check => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let text = format!(
        "{method} /{name} HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id:016x}\r\nX-Qos: {name}\r\nX-Tier: mellem\r\n\
        X-Api-Key: {:016x}\r\nX-Expires-In: {:.3}\r\n{key}{length}X-Call-Terms: units=1,spread=1,first={}\r\n\r\n{body}",
        id % 97,
        request.client_timeout.as_secs_f64(),
        request.gateway,
    );
    text.into_bytes()
}

enum Answer {
    Complete {
        status: u16,
        body: Vec<u8>,
        /// The connection can be used for another request.
        reusable: bool,
    },
    /// The connection ended before any byte of an answer.
    None,
    /// The connection ended within an answer, or the answer has no length.
    Cut,
}

async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut buffer = Vec::new();
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        match read(stream, &mut buffer).await {
            Ok(0) | Err(_) if buffer.is_empty() => return Answer::None,
            Ok(0) | Err(_) => return Answer::Cut,
            Ok(_) => {}
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).to_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let length: Option<usize> = head
        .split_once("content-length: ")
        .and_then(|(_, l)| l.split('\r').next()?.parse().ok());
    let Some(length) = length else {
        return Answer::Cut;
    };
    while buffer.len() < head_end + length {
        if !matches!(read(stream, &mut buffer).await, Ok(n) if n > 0) {
            return Answer::Cut;
        }
    }
    let reusable = !head.contains("connection: close") && buffer.len() == head_end + length;
    Answer::Complete {
        status,
        body: buffer.split_off(head_end),
        reusable,
    }
}

async fn read(stream: &mut TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    stream.read_buf(into).await
}
