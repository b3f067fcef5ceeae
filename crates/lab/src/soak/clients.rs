//! Clients of the soak: most behave, some leave, write slowly, stop half-way, rest until their connection ends, or send
//! much.

use super::chance::Chance;
use super::gateways::{Gateway, DEADLINE};
use super::record::{Class, History, Over, Request, SendEnd, Sent};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

/// A client whose time is over waits so much longer here: an answer until half a second after it only earns nothing.
const WAITS_ON: Duration = Duration::from_millis(1_000);
/// An error or a close is owed within this to whoever stops half-way, with room for a busy machine.
const BAD_CLIENTS_WITHIN: Duration = Duration::from_millis(3_300);
/// Gateways end connections that have been idle for this long.
const IDLE: Duration = Duration::from_secs(5);
/// Connections that are kept to a gateway at most.
const KEPT: usize = 12;

/// How a client behaves with one request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    Well,
    /// On a connection of its own.
    Anew,
    /// Leaves after so long.
    Leaves(Duration),
    /// In pieces, over so long.
    Slowly(Duration),
    /// Begins and stops, and stays.
    Stops,
    /// Sends in the very moment in which its idle connection ends.
    AtTheEnd,
    /// A long body.
    Long,
}

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

    /// Asks so often for so long, whatever becomes of it, and waits until the last has its end.
    pub async fn run(self: Arc<Self>, mut chance: Chance, per_s: f64, length: Duration) {
        let (start, mut out) = (tokio::time::Instant::now(), JoinSet::new());
        for n in 0.. {
            let due = Duration::from_secs_f64(f64::from(n) / per_s);
            if due >= length {
                break;
            }
            sleep_until(start + due).await;
            while out.try_join_next().is_some() {}
            let taking: Vec<usize> = self
                .gateways
                .iter()
                .filter(|g| g.takes_clients())
                .map(|g| g.number)
                .collect();
            if taking.is_empty() {
                continue;
            }
            let gateway = *chance.pick(&taking);
            out.spawn(self.clone().ask(gateway, chance.fork()));
        }
        while out.join_next().await.is_some() {}
    }

    async fn ask(self: Arc<Self>, gateway: usize, mut chance: Chance) {
        let class = *chance.pick(&Class::ALL);
        let manner = match chance.below(100) {
            0..=7 => Manner::Anew,
            8..=15 => Manner::Leaves(chance.millis(0, 400)),
            16..=21 => Manner::Slowly(chance.millis(50, 1_800)),
            22..=23 => Manner::Stops,
            24..=29 => Manner::AtTheEnd,
            30..=32 if class != Class::Check => Manner::Long,
            _ => Manner::Well,
        };
        let patience = match chance.below(10) {
            0 => Duration::from_millis(60),
            1 => Duration::from_millis(200),
            _ => DEADLINE,
        };
        let id = chance.number();
        let mut request = Request {
            id,
            class,
            gateway,
            patience,
            sends: Vec::new(),
        };
        let text = text(
            &request,
            if manner == Manner::Long {
                300 << 10
            } else {
                20
            },
        );
        let mut over = if matches!(manner, Manner::Well | Manner::Leaves(_) | Manner::AtTheEnd) {
            Over::KeptConnection
        } else {
            Over::NewConnection
        };
        // Once more where a kept connection was closed unread.
        for _ in 0..2 {
            // Nobody sends a new connection to a gateway that the front leaves alone.
            if over == Over::NewConnection && !self.gateways[gateway].takes_clients() {
                break;
            }
            let Some((connection, over_now)) = self.connection(gateway, over).await else {
                break;
            };
            over = over_now;
            let sent = self
                .send(&request, connection, over, &text, manner, &mut chance)
                .await;
            let Some(sent) = sent else { break };
            request.sends.push(sent);
            match (over, sent.end) {
                (Over::KeptConnection, SendEnd::Closed { .. }) => over = Over::NewConnection,
                _ => break,
            }
        }
        if !request.sends.is_empty() {
            self.history.seen().requests.push(request);
        }
    }

    /// A connection, kept or new; none if it cannot be had.
    async fn connection(&self, gateway: usize, over: Over) -> Option<(TcpStream, Over)> {
        let kept = match over {
            Over::KeptConnection => self.kept[gateway].lock().expect("connections").pop(),
            Over::NewConnection => None,
        };
        if let Some(stream) = kept {
            return Some((stream, Over::KeptConnection));
        }
        let g = &self.gateways[gateway];
        let made = timeout(Duration::from_secs(2), TcpStream::connect(g.address)).await;
        match made {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Some((stream, Over::NewConnection))
            }
            _ => {
                if g.owes_connections() {
                    self.history.incident(
                        "connection",
                        format!("gateway {gateway} takes no connection"),
                    );
                }
                None
            }
        }
    }

    /// Sends a request; none if it never was whole.
    async fn send(
        &self,
        request: &Request,
        mut stream: TcpStream,
        over: Over,
        text: &[u8],
        manner: Manner,
        chance: &mut Chance,
    ) -> Option<Sent> {
        let mut begun_at = Instant::now();
        match manner {
            Manner::AtTheEnd if over == Over::KeptConnection => {
                sleep(IDLE - Duration::from_millis(6) + chance.millis(0, 8)).await;
                begun_at = Instant::now();
                stream.write_all(text).await.ok()?;
            }
            Manner::Slowly(time) => {
                let pieces = 2 + chance.below(6);
                for part in text.chunks(text.len() / pieces + 1) {
                    stream.write_all(part).await.ok()?;
                    sleep(time / pieces as u32).await;
                }
            }
            Manner::Stops => {
                let most = text.len() - 2;
                stream
                    .write_all(&text[..1 + chance.below(most)])
                    .await
                    .ok()?;
                self.await_error(request.gateway, stream).await;
                return None;
            }
            _ => stream.write_all(text).await.ok()?,
        }
        let whole_at = Instant::now();
        if let Manner::Leaves(after) = manner {
            let mut byte = [0; 1];
            let until = tokio::time::Instant::now() + after;
            if timeout_at(until, stream.peek(&mut byte)).await.is_err() {
                drop(stream);
                let end = SendEnd::ClientLeft { at: Instant::now() };
                return Some(Sent {
                    over,
                    begun_at,
                    whole_at,
                    end,
                });
            }
        }
        let waits = (request.patience + WAITS_ON).saturating_sub(whole_at.elapsed());
        let end = match timeout(waits, read_answer(&mut stream)).await {
            Err(_) => SendEnd::Nothing,
            Ok(Answer::Whole {
                status,
                body,
                keeps,
            }) => {
                if keeps {
                    let mut kept = self.kept[request.gateway].lock().expect("connections");
                    if kept.len() < KEPT {
                        kept.push(stream);
                    }
                }
                let genuine =
                    status != 200 || body == format!("made for {:016x}", request.id).as_bytes();
                SendEnd::Answered {
                    status,
                    genuine,
                    at: Instant::now(),
                }
            }
            Ok(Answer::None) => SendEnd::Closed { at: Instant::now() },
            Ok(Answer::Cut) => SendEnd::Cut,
        };
        Some(Sent {
            over,
            begun_at,
            whole_at,
            end,
        })
    }

    /// Whoever stops half-way is owed an error or a close.
    async fn await_error(&self, gateway: usize, mut stream: TcpStream) {
        let mut byte = [0; 1];
        if timeout(BAD_CLIENTS_WITHIN, stream.read(&mut byte))
            .await
            .is_err()
        {
            self.history.incident(
                "bad client",
                format!("gateway {gateway} leaves half a request unanswered"),
            );
        }
    }
}

fn text(request: &Request, body: usize) -> Vec<u8> {
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
        request.patience.as_secs_f64(),
        request.gateway,
    );
    text.into_bytes()
}

enum Answer {
    Whole {
        status: u16,
        body: Vec<u8>,
        /// The connection stays open.
        keeps: bool,
    },
    /// The connection ended before any answer.
    None,
    /// It ended within one.
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
    let keeps = !head.contains("connection: close") && buffer.len() == head_end + length;
    Answer::Whole {
        status,
        body: buffer.split_off(head_end),
        keeps,
    }
}

async fn read(stream: &mut TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    stream.read_buf(into).await
}
