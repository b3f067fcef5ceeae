//! Diameter peers (RFC 6733, RFC 8506) that do as a test says. They use the gateway's codec, which is tested by vectors
//! written by hand.

use crate::http::LONG;
use frosthatch_diameter::codec::{flag, frame, Avp, Header, Message};
use frosthatch_diameter::dictionary::{code, command, result};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;

pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(length) = frame(buffer).ok()? {
            let bytes: Vec<u8> = buffer.drain(..length).collect();
            return Message::decode(bytes.into()).ok();
        }
        let mut chunk = [0; 4_096];
        let n = stream.read(&mut chunk).ok().filter(|&n| n > 0)?;
        buffer.extend(&chunk[..n]);
    }
}

pub fn base(message: Message, host: &str) -> Message {
    message
        .with(Avp::of_text(code::ORIGIN_HOST, host))
        .with(Avp::of_text(code::ORIGIN_REALM, "example.org"))
}

pub fn with_result(to: &Message, host: &str, result: u32) -> Message {
    base(
        to.answer().with(Avp::of_u32(code::RESULT_CODE, result)),
        host,
    )
}

fn capabilities(message: Message, state_id: u32) -> Message {
    message
        .with(Avp::new(code::HOST_IP_ADDRESS, vec![0, 1, 127, 0, 0, 1]))
        .with(Avp::of_u32(code::VENDOR_ID, 0))
        .with(Avp::of_text(code::PRODUCT_NAME, "stand-in").optional())
        .with(Avp::of_u32(code::ORIGIN_STATE_ID, state_id))
        .with(Avp::of_u32(code::AUTH_APPLICATION_ID, 4))
}

/// A server of credit control: answers as a test says.
pub struct DServer {
    pub address: SocketAddr,
    pub seen: Receiver<Message>,
    /// Watchdogs are answered.
    pub alive: Arc<AtomicBool>,
    pub state_id: Arc<AtomicU32>,
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
    goodbyes: Arc<AtomicU32>,
    host: String,
}

impl DServer {
    /// `answer`: none is silence.
    pub fn new(
        host: &str,
        answer: impl Fn(&Message) -> Option<Message> + Send + Sync + 'static,
    ) -> DServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, seen) = channel();
        let alive = Arc::new(AtomicBool::new(true));
        let state_id = Arc::new(AtomicU32::new(1));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let goodbyes = Arc::new(AtomicU32::new(0));
        let (answer, lives, state, open, heard) = (
            Arc::new(answer),
            alive.clone(),
            state_id.clone(),
            streams.clone(),
            goodbyes.clone(),
        );
        let name = host.to_string();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                open.lock()
                    .expect("streams")
                    .push(stream.try_clone().expect("a clone"));
                let (tell, answer, lives, state, name, byes) = (
                    tell.clone(),
                    answer.clone(),
                    lives.clone(),
                    state.clone(),
                    name.clone(),
                    heard.clone(),
                );
                thread::spawn(move || {
                    let (mut stream, mut buffer) = (stream, Vec::new());
                    while let Some(message) = read(&mut stream, &mut buffer) {
                        let good = || with_result(&message, &name, result::SUCCESS);
                        let reply =
                            match (message.header.command, message.header.has(flag::REQUEST)) {
                                (command::CAPABILITIES_EXCHANGE, true) => {
                                    Some(capabilities(good(), state.load(Ordering::SeqCst)))
                                }
                                (command::DEVICE_WATCHDOG, true) => {
                                    lives.load(Ordering::SeqCst).then(good)
                                }
                                (command::DISCONNECT_PEER, true) => {
                                    byes.fetch_add(1, Ordering::SeqCst);
                                    Some(good())
                                }
                                (command::CREDIT_CONTROL, true) => {
                                    let _ = tell.send(message.clone());
                                    answer(&message)
                                }
                                _ => None,
                            };
                        if reply.is_some_and(|r| stream.write_all(&r.encode()).is_err()) {
                            return;
                        }
                    }
                });
            }
        });
        DServer {
            address,
            seen,
            alive,
            state_id,
            streams,
            goodbyes,
            host: host.into(),
        }
    }

    /// One that grants all that is asked.
    pub fn granting(host: &'static str) -> DServer {
        DServer::new(host, move |ccr| Some(granted(ccr, host)))
    }

    pub fn request(&self) -> Message {
        self.seen.recv_timeout(LONG).expect("a request comes")
    }

    /// Goodbyes that it has heard.
    pub fn goodbyes(&self) -> u32 {
        self.goodbyes.load(Ordering::SeqCst)
    }

    pub fn so_far(&self) -> usize {
        self.seen.try_iter().count()
    }

    pub fn cut(&self) {
        self.streams
            .lock()
            .expect("streams")
            .drain(..)
            .for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }

    /// Says goodbye on every connection.
    pub fn leave(&self) {
        let header = Header {
            flags: flag::REQUEST,
            command: command::DISCONNECT_PEER,
            application: 0,
            hop_by_hop: 1,
            end_to_end: 1,
        };
        let dpr =
            base(Message::new(header), &self.host).with(Avp::of_u32(code::DISCONNECT_CAUSE, 0));
        for s in self.streams.lock().expect("streams").iter_mut() {
            let _ = s.write_all(&dpr.encode());
        }
    }
}

pub fn granted(ccr: &Message, host: &str) -> Message {
    let mut answer =
        with_result(ccr, host, result::SUCCESS).with(Avp::of_u32(code::AUTH_APPLICATION_ID, 4));
    answer.avps.extend(
        [code::CC_REQUEST_TYPE, code::CC_REQUEST_NUMBER]
            .iter()
            .filter_map(|c| ccr.find(*c).cloned()),
    );
    answer
}

pub struct DClient {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

pub fn cer(host: &str) -> Message {
    let header = Header {
        flags: flag::REQUEST,
        command: command::CAPABILITIES_EXCHANGE,
        application: 0,
        hop_by_hop: 1,
        end_to_end: 1,
    };
    capabilities(base(Message::new(header), host), 1)
}

impl DClient {
    pub fn raw(address: SocketAddr) -> DClient {
        let stream = TcpStream::connect(address).expect("it accepts");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        let _ = stream.set_nodelay(true);
        DClient {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn new(address: SocketAddr, host: &str) -> DClient {
        let mut client = DClient::raw(address);
        client.send(&cer(host));
        let cea = client.answer().expect("capabilities");
        assert_eq!(cea.result(), Some(result::SUCCESS));
        client
    }

    pub fn send(&mut self, message: &Message) {
        let _ = self.stream.write_all(&message.encode());
    }

    /// The next message that is no watchdog, which is answered; none if the connection ends.
    pub fn answer(&mut self) -> Option<Message> {
        loop {
            let message = read(&mut self.stream, &mut self.buffer)?;
            if message.header.command != command::DEVICE_WATCHDOG {
                return Some(message);
            }
            if message.header.has(flag::REQUEST) {
                self.send(&with_result(&message, "till.example.org", result::SUCCESS));
            }
        }
    }

    pub fn ask(&mut self, message: &Message) -> Message {
        self.send(message);
        self.answer().expect("an answer")
    }
}

static NEXT: AtomicU32 = AtomicU32::new(100);

pub fn request(session: &str, kind: u32, number: u32) -> Message {
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    let flags = flag::REQUEST | flag::PROXIABLE;
    let header = Header {
        flags,
        command: command::CREDIT_CONTROL,
        application: 4,
        hop_by_hop: id,
        end_to_end: id,
    };
    Message::new(header)
        .with(Avp::of_text(code::SESSION_ID, session))
        .with(Avp::of_text(code::ORIGIN_HOST, "till.example.org"))
        .with(Avp::of_text(code::ORIGIN_REALM, "example.org"))
        .with(Avp::of_text(code::DESTINATION_REALM, "example.org"))
        .with(Avp::of_u32(code::AUTH_APPLICATION_ID, 4))
        .with(Avp::of_text(code::SERVICE_CONTEXT_ID, "topup@example.org"))
        .with(Avp::of_u32(code::CC_REQUEST_TYPE, kind))
        .with(Avp::of_u32(code::CC_REQUEST_NUMBER, number))
}

pub fn of_customer(message: Message, data: &str) -> Message {
    let group = [
        Avp::of_u32(code::SUBSCRIPTION_ID_TYPE, 0),
        Avp::of_text(code::SUBSCRIPTION_ID_DATA, data),
    ];
    message.with(Avp::of_group(code::SUBSCRIPTION_ID, &group))
}

pub fn units(message: Message, units: u64) -> Message {
    let group = [Avp::of_u64(code::CC_SERVICE_SPECIFIC_UNITS, units)];
    message.with(Avp::of_group(code::REQUESTED_SERVICE_UNIT, &group))
}

/// An event: 0 debits, 2 checks the balance.
pub fn event(action: u32) -> Message {
    let session = format!("till.example.org;1;{}", NEXT.fetch_add(1, Ordering::SeqCst));
    of_customer(request(&session, 4, 0), "4512345678")
        .with(Avp::of_u32(code::REQUESTED_ACTION, action))
}

pub fn opening(session: &str) -> Message {
    of_customer(request(session, 1, 0), "4512345678")
}
