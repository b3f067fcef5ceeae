//! Test doubles of Diameter peers (RFC 6733, RFC 8506) whose messages a test specifies. They use the gateway's codec,
//! which is tested with hand-written vectors.

use crate::http::TIMEOUT;
use frosthatch_diameter::codec::{first_message_length, flag, Avp, Header, Message};
use frosthatch_diameter::dictionary::{code, command, result};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;

/// Reads the next message; `None` if the connection ends, the read times out or the message cannot be decoded.
pub fn read_diameter_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(length) = first_message_length(buffer).ok()? {
            let bytes: Vec<u8> = buffer.drain(..length).collect();
            return Message::decode(bytes.into()).ok();
        }
        let mut chunk = [0; 4_096];
        let count = stream.read(&mut chunk).ok().filter(|&count| count > 0)?;
        buffer.extend(&chunk[..count]);
    }
}

/// Adds the AVPs of the sender, Origin-Host and Origin-Realm.
pub fn with_origin(message: Message, host: &str) -> Message {
    message
        .with_avp(Avp::of_text(code::ORIGIN_HOST, host))
        .with_avp(Avp::of_text(code::ORIGIN_REALM, "example.org"))
}

/// Builds an answer to `request` with a Result-Code.
pub fn answer_with_result(request: &Message, host: &str, result: u32) -> Message {
    with_origin(
        request
            .answer()
            .with_avp(Avp::of_u32(code::RESULT_CODE, result)),
        host,
    )
}

/// Adds the AVPs of a capabilities exchange for the credit-control application.
fn with_capabilities(message: Message, state_id: u32) -> Message {
    message
        .with_avp(Avp::new(code::HOST_IP_ADDRESS, vec![0, 1, 127, 0, 0, 1]))
        .with_avp(Avp::of_u32(code::VENDOR_ID, 0))
        .with_avp(Avp::of_text(code::PRODUCT_NAME, "stand-in").optional())
        .with_avp(Avp::of_u32(code::ORIGIN_STATE_ID, state_id))
        .with_avp(Avp::of_u32(code::AUTH_APPLICATION_ID, 4))
}

/// Credit-control server whose answers a test specifies.
pub struct DiameterServer {
    pub address: SocketAddr,
    /// Credit-Control-Requests received.
    pub requests: Receiver<Message>,
    /// Whether Device-Watchdog-Requests are answered.
    pub answers_watchdogs: Arc<AtomicBool>,
    /// Origin-State-Id sent in capabilities exchanges.
    pub state_id: Arc<AtomicU32>,
    /// Accepted connections.
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
    disconnect_requests: Arc<AtomicU32>,
    host: String,
}

impl DiameterServer {
    /// Starts a server that answers each Credit-Control-Request with what `answer` returns; `None` means no answer.
    pub fn new(
        host: &str,
        answer: impl Fn(&Message) -> Option<Message> + Send + Sync + 'static,
    ) -> DiameterServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let (request_sender, requests) = channel();
        let answers_watchdogs = Arc::new(AtomicBool::new(true));
        let state_id = Arc::new(AtomicU32::new(1));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let disconnect_requests = Arc::new(AtomicU32::new(0));
        let (answer, watchdogs_enabled, shared_state_id, open_streams, disconnect_counter) = (
            Arc::new(answer),
            answers_watchdogs.clone(),
            state_id.clone(),
            streams.clone(),
            disconnect_requests.clone(),
        );
        let origin_host = host.to_string();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                open_streams
                    .lock()
                    .expect("no thread panics while it holds the streams")
                    .push(
                        stream
                            .try_clone()
                            .expect("the process is below its limit of file descriptors"),
                    );
                let (
                    request_sender,
                    answer,
                    watchdogs_enabled,
                    state_id,
                    origin_host,
                    disconnect_counter,
                ) = (
                    request_sender.clone(),
                    answer.clone(),
                    watchdogs_enabled.clone(),
                    shared_state_id.clone(),
                    origin_host.clone(),
                    disconnect_counter.clone(),
                );
                thread::spawn(move || {
                    let (mut stream, mut buffer) = (stream, Vec::new());
                    while let Some(message) = read_diameter_message(&mut stream, &mut buffer) {
                        let success =
                            || answer_with_result(&message, &origin_host, result::SUCCESS);
                        let reply = match (
                            message.header.command,
                            message.header.has_any_flag(flag::REQUEST),
                        ) {
                            (command::CAPABILITIES_EXCHANGE, true) => Some(with_capabilities(
                                success(),
                                state_id.load(Ordering::SeqCst),
                            )),
                            (command::DEVICE_WATCHDOG, true) => {
                                watchdogs_enabled.load(Ordering::SeqCst).then(success)
                            }
                            (command::DISCONNECT_PEER, true) => {
                                disconnect_counter.fetch_add(1, Ordering::SeqCst);
                                Some(success())
                            }
                            (command::CREDIT_CONTROL, true) => {
                                let _ = request_sender.send(message.clone());
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
        DiameterServer {
            address,
            requests,
            answers_watchdogs,
            state_id,
            streams,
            disconnect_requests,
            host: host.into(),
        }
    }

    /// Starts a server that answers every Credit-Control-Request with DIAMETER_SUCCESS, without a Granted-Service-Unit.
    pub fn granting(host: &'static str) -> DiameterServer {
        DiameterServer::new(host, move |ccr| Some(success_answer(ccr, host)))
    }

    /// Returns the next Credit-Control-Request received.
    pub fn next_request(&self) -> Message {
        self.requests
            .recv_timeout(TIMEOUT)
            .expect("the gateway sends a request within 20 s")
    }

    /// Returns the number of Disconnect-Peer-Requests received.
    pub fn received_disconnect_requests(&self) -> u32 {
        self.disconnect_requests.load(Ordering::SeqCst)
    }

    /// Takes the Credit-Control-Requests received so far and returns their number.
    pub fn drain_request_count(&self) -> usize {
        self.requests.try_iter().count()
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.streams
            .lock()
            .expect("no thread panics while it holds the streams")
            .drain(..)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    /// Sends a Disconnect-Peer-Request on every connection.
    pub fn send_disconnect_requests(&self) {
        let header = Header {
            flags: flag::REQUEST,
            command: command::DISCONNECT_PEER,
            application: 0,
            hop_by_hop: 1,
            end_to_end: 1,
        };
        let dpr = with_origin(Message::new(header), &self.host)
            .with_avp(Avp::of_u32(code::DISCONNECT_CAUSE, 0));
        for stream in self
            .streams
            .lock()
            .expect("no thread panics while it holds the streams")
            .iter_mut()
        {
            let _ = stream.write_all(&dpr.encode());
        }
    }
}

/// Builds an answer with DIAMETER_SUCCESS to a Credit-Control-Request.
pub fn success_answer(ccr: &Message, host: &str) -> Message {
    let mut answer = answer_with_result(ccr, host, result::SUCCESS)
        .with_avp(Avp::of_u32(code::AUTH_APPLICATION_ID, 4));
    answer.avps.extend(
        [code::CC_REQUEST_TYPE, code::CC_REQUEST_NUMBER]
            .iter()
            .filter_map(|c| ccr.find(*c).cloned()),
    );
    answer
}

/// Diameter client with one connection to a gateway.
pub struct DiameterClient {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// Builds a Capabilities-Exchange-Request.
pub fn capabilities_exchange_request(host: &str) -> Message {
    let header = Header {
        flags: flag::REQUEST,
        command: command::CAPABILITIES_EXCHANGE,
        application: 0,
        hop_by_hop: 1,
        end_to_end: 1,
    };
    with_capabilities(with_origin(Message::new(header), host), 1)
}

impl DiameterClient {
    /// Connects without a capabilities exchange.
    pub fn connect(address: SocketAddr) -> DiameterClient {
        let stream = TcpStream::connect(address).expect("the gateway accepts connections");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("the read timeout is not zero");
        let _ = stream.set_nodelay(true);
        DiameterClient {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects and exchanges capabilities.
    pub fn new(address: SocketAddr, host: &str) -> DiameterClient {
        let mut client = DiameterClient::connect(address);
        client.send(&capabilities_exchange_request(host));
        let cea = client
            .next_message()
            .expect("the gateway answers the Capabilities-Exchange-Request");
        assert_eq!(cea.result_code(), Some(result::SUCCESS));
        client
    }

    pub fn send(&mut self, message: &Message) {
        let _ = self.stream.write_all(&message.encode());
    }

    /// Returns the next message other than a watchdog message, answering watchdog requests meanwhile; `None` if the
    /// connection ends or the read times out.
    pub fn next_message(&mut self) -> Option<Message> {
        loop {
            let message = read_diameter_message(&mut self.stream, &mut self.buffer)?;
            if message.header.command != command::DEVICE_WATCHDOG {
                return Some(message);
            }
            if message.header.has_any_flag(flag::REQUEST) {
                self.send(&answer_with_result(
                    &message,
                    "till.example.org",
                    result::SUCCESS,
                ));
            }
        }
    }

    /// Sends a request and returns the next message received.
    pub fn exchange(&mut self, message: &Message) -> Message {
        self.send(message);
        self.next_message()
            .expect("the gateway answers the request")
    }
}

/// Next identifier of a request or a session.
static NEXT_ID: AtomicU32 = AtomicU32::new(100);

/// Builds a Credit-Control-Request with this CC-Request-Type and CC-Request-Number.
pub fn credit_control_request(session: &str, request_type: u32, number: u32) -> Message {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let flags = flag::REQUEST | flag::PROXIABLE;
    let header = Header {
        flags,
        command: command::CREDIT_CONTROL,
        application: 4,
        hop_by_hop: id,
        end_to_end: id,
    };
    Message::new(header)
        .with_avp(Avp::of_text(code::SESSION_ID, session))
        .with_avp(Avp::of_text(code::ORIGIN_HOST, "till.example.org"))
        .with_avp(Avp::of_text(code::ORIGIN_REALM, "example.org"))
        .with_avp(Avp::of_text(code::DESTINATION_REALM, "example.org"))
        .with_avp(Avp::of_u32(code::AUTH_APPLICATION_ID, 4))
        .with_avp(Avp::of_text(code::SERVICE_CONTEXT_ID, "topup@example.org"))
        .with_avp(Avp::of_u32(code::CC_REQUEST_TYPE, request_type))
        .with_avp(Avp::of_u32(code::CC_REQUEST_NUMBER, number))
}

/// Adds a Subscription-Id with the customer's number.
pub fn with_customer(message: Message, customer_number: &str) -> Message {
    let group = [
        Avp::of_u32(code::SUBSCRIPTION_ID_TYPE, 0),
        Avp::of_text(code::SUBSCRIPTION_ID_DATA, customer_number),
    ];
    message.with_avp(Avp::of_group(code::SUBSCRIPTION_ID, &group))
}

/// Adds a Requested-Service-Unit.
pub fn with_units(message: Message, units: u64) -> Message {
    let group = [Avp::of_u64(code::CC_SERVICE_SPECIFIC_UNITS, units)];
    message.with_avp(Avp::of_group(code::REQUESTED_SERVICE_UNIT, &group))
}

/// Builds an event request with this Requested-Action: 0 debits, 2 checks the balance.
pub fn event_request(requested_action: u32) -> Message {
    let session = format!(
        "till.example.org;1;{}",
        NEXT_ID.fetch_add(1, Ordering::SeqCst)
    );
    with_customer(credit_control_request(&session, 4, 0), "4512345678")
        .with_avp(Avp::of_u32(code::REQUESTED_ACTION, requested_action))
}

/// Builds the initial request of a session.
pub fn initial_request(session: &str) -> Message {
    with_customer(credit_control_request(session, 1, 0), "4512345678")
}
