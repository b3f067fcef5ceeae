//! Diameter peers (RFC 6733, RFC 8506).

use crate::record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const CAPABILITIES: u32 = 257;
pub const CREDIT_CONTROL: u32 = 272;
pub const WATCHDOG: u32 = 280;
pub const SESSION_ID: u32 = 263;
pub const RESULT_CODE: u32 = 268;

#[derive(Clone, Debug)]
pub struct Message {
    pub is_request: bool,
    pub is_retransmission: bool,
    pub command: u32,
    pub application: u32,
    pub hop_by_hop: u32,
    pub end_to_end: u32,
    pub avps: Vec<(u32, Vec<u8>)>,
}

impl Message {
    pub fn request(command: u32, application: u32) -> Message {
        static NEXT: AtomicU32 = AtomicU32::new(1000);
        let id = NEXT.fetch_add(1, Ordering::SeqCst);
        Message {
            is_request: true,
            is_retransmission: false,
            command,
            application,
            hop_by_hop: id,
            end_to_end: id,
            avps: Vec::new(),
        }
    }
    pub fn answer(&self) -> Message {
        Message {
            is_request: false,
            is_retransmission: false,
            avps: Vec::new(),
            ..self.clone()
        }
    }
    pub fn with(mut self, code: u32, data: &[u8]) -> Message {
        self.avps.push((code, data.to_vec()));
        self
    }
    pub fn text(self, code: u32, data: &str) -> Message {
        self.with(code, data.as_bytes())
    }
    pub fn number(self, code: u32, data: u32) -> Message {
        self.with(code, &data.to_be_bytes())
    }
    pub fn group(self, code: u32, members: &[(u32, Vec<u8>)]) -> Message {
        let data: Vec<u8> = members
            .iter()
            .flat_map(|(c, d)| encode_avp(*c, d))
            .collect();
        self.with(code, &data)
    }
    pub fn find(&self, code: u32) -> Option<&[u8]> {
        self.avps
            .iter()
            .find(|(c, _)| *c == code)
            .map(|(_, d)| &d[..])
    }
    pub fn find_text(&self, code: u32) -> String {
        self.find(code)
            .map_or(String::new(), |d| String::from_utf8_lossy(d).into_owned())
    }
    pub fn find_number(&self, code: u32) -> u32 {
        self.find(code)
            .and_then(|d| d.try_into().ok())
            .map_or(0, u32::from_be_bytes)
    }
    pub fn encode(&self) -> Vec<u8> {
        let body: Vec<u8> = self
            .avps
            .iter()
            .flat_map(|(c, d)| encode_avp(*c, d))
            .collect();
        let mut out = vec![1];
        out.extend(&((body.len() + 20) as u32).to_be_bytes()[1..]);
        let mut flags = if self.is_request { 0x80 } else { 0 };
        if self.command == CREDIT_CONTROL {
            flags |= 0x40;
        }
        if self.is_retransmission {
            flags |= 0x10;
        }
        out.push(flags);
        out.extend(&self.command.to_be_bytes()[1..]);
        out.extend(self.application.to_be_bytes());
        out.extend(self.hop_by_hop.to_be_bytes());
        out.extend(self.end_to_end.to_be_bytes());
        out.extend(body);
        out
    }
}

fn encode_avp(code: u32, data: &[u8]) -> Vec<u8> {
    let mut out = code.to_be_bytes().to_vec();
    // Product-Name is the one AVP here without the M flag (RFC 6733 section 4.5).
    out.push(if code == 269 { 0 } else { 0x40 });
    out.extend(&((data.len() + 8) as u32).to_be_bytes()[1..]);
    out.extend(data);
    out.resize(out.len().div_ceil(4) * 4, 0);
    out
}

/// Reads a message; `None` if the connection ends or the read times out.
pub fn read(stream: &mut TcpStream) -> Option<Message> {
    let mut header = [0; 20];
    stream.read_exact(&mut header).ok()?;
    let word =
        |i: usize| u32::from_be_bytes([header[i], header[i + 1], header[i + 2], header[i + 3]]);
    let length = (word(0) & 0xff_ffff) as usize;
    let mut body = vec![0; length.checked_sub(20)?];
    stream.read_exact(&mut body).ok()?;
    let mut avps = Vec::new();
    let mut rest = &body[..];
    while rest.len() >= 8 {
        let code = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]);
        let length = u32::from_be_bytes([0, rest[5], rest[6], rest[7]]) as usize;
        let start = if rest[4] & 0x80 != 0 { 12 } else { 8 };
        avps.push((code, rest.get(start..length)?.to_vec()));
        rest = rest.get(length.div_ceil(4) * 4..).unwrap_or(&[]);
    }
    Some(Message {
        is_request: header[4] & 0x80 != 0,
        is_retransmission: header[4] & 0x10 != 0,
        command: word(4) & 0xff_ffff,
        application: word(8),
        hop_by_hop: word(12),
        end_to_end: word(16),
        avps,
    })
}

pub fn origin(message: Message, host: &str) -> Message {
    message.text(264, host).text(296, "example.org")
}

fn capabilities(message: Message) -> Message {
    message
        .with(257, &[0, 1, 127, 0, 0, 1])
        .number(266, 0)
        .text(269, "stand-in")
        .number(278, 1)
        .number(258, 4)
}

/// What a server does with a credit-control request.
pub enum Reply {
    /// This result, after so many milliseconds.
    Result(u64, u32),
    /// Nothing.
    Silence,
}

/// Credit-control answer with a result code.
pub fn credit_answer(ccr: &Message, host: &str, result: u32) -> Message {
    let mut answer = ccr
        .answer()
        .with(SESSION_ID, ccr.find(SESSION_ID).unwrap_or(&[]));
    answer = origin(answer.number(RESULT_CODE, result), host).number(258, 4);
    for code in [416, 415] {
        if let Some(data) = ccr.find(code) {
            answer = answer.with(code, data);
        }
    }
    answer
}

/// Starts a credit-control server. Each answer is sent on time, whatever answers come before it.
pub fn serve(
    host: &'static str,
    handle: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else {
                    return;
                };
                let writer = Arc::new(Mutex::new(clone));
                let mut stream = stream;
                let send = |writer: &Arc<Mutex<TcpStream>>, m: &Message| {
                    let _ = writer
                        .lock()
                        .expect("no thread panics")
                        .write_all(&m.encode());
                };
                while let Some(message) = read(&mut stream) {
                    if !message.is_request {
                        continue;
                    }
                    if message.command != CREDIT_CONTROL {
                        let mut answer = origin(message.answer().number(RESULT_CODE, 2001), host);
                        if message.command == CAPABILITIES {
                            answer = capabilities(answer);
                        }
                        send(&writer, &answer);
                        continue;
                    }
                    if let Reply::Result(ms, result) = handle(&message) {
                        let writer = writer.clone();
                        std::thread::spawn(move || {
                            record::sleep_ms(ms);
                            send(&writer, &credit_answer(&message, host, result));
                        });
                    }
                }
            });
        }
    });
    address
}

/// A client with one connection.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and exchanges capabilities.
    pub fn connect(address: SocketAddr, host: &str, limit: Duration) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, limit).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let mut client = Client { stream };
        client.send(&capabilities(origin(
            Message::request(CAPABILITIES, 0),
            host,
        )));
        let answer = client.read()?;
        (answer.command == CAPABILITIES && answer.find_number(RESULT_CODE) == 2001)
            .then_some(client)
    }
    pub fn send(&mut self, message: &Message) {
        let _ = self.stream.write_all(&message.encode());
    }
    /// Next message but watchdogs, which are answered.
    pub fn read(&mut self) -> Option<Message> {
        loop {
            let message = read(&mut self.stream)?;
            if message.command != WATCHDOG {
                return Some(message);
            }
            if message.is_request {
                self.send(&origin(
                    message.answer().number(RESULT_CODE, 2001),
                    "till.example.org",
                ));
            }
        }
    }
}

/// Credit-control event request: action 0 debits, 2 checks the balance.
pub fn event(session: &str, customer: &str, action: u32, units: u64) -> Message {
    let mut unit = Vec::new();
    if units > 0 {
        unit = vec![(417u32, units.to_be_bytes().to_vec())];
    }
    let mut m = Message::request(CREDIT_CONTROL, 4).text(SESSION_ID, session);
    m = origin(m, "till.example.org")
        .text(283, "example.org")
        .number(258, 4)
        .text(461, "topup@example.org");
    m = m.number(416, 4).number(415, 0);
    m = m.group(
        443,
        &[
            (450, 0u32.to_be_bytes().to_vec()),
            (444, customer.as_bytes().to_vec()),
        ],
    );
    m = m.number(436, action);
    if units > 0 {
        m = m.group(437, &unit);
    }
    m
}
