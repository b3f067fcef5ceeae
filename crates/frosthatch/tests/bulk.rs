//! Long bodies and answers, in whatever form and pace HTTP/1.1 has for them.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::Duration;

/// A server that writes what it is told for each request, in parts with a pause between, and then ends the connection
/// or not.
fn server(parts: Vec<Vec<u8>>, pause: Duration, ends: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let parts = parts.clone();
            thread::spawn(move || {
                let mut read = std::io::BufReader::new(stream.try_clone().expect("a clone"));
                while read_message(&mut read).is_some() {
                    for part in &parts {
                        let _ = stream.write_all(part);
                        thread::sleep(pause);
                    }
                    if ends {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A server that tells the body of each request as it came, with a length.
fn reading_server(tell: Sender<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let tell = tell.clone();
            thread::spawn(move || {
                let mut read = std::io::BufReader::new(stream.try_clone().expect("a clone"));
                while let Some(message) = read_message(&mut read) {
                    assert!(
                        message.header("content-length").is_some()
                            && message.header("transfer-encoding").is_none()
                    );
                    let _ = tell.send(message.body.into_bytes());
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    });
    address
}

fn gateway(server: SocketAddr) -> Gateway {
    Gateway::start_alone(&Discovery::new(&endpoint_entry("a", server, 0, "Ready")))
}

fn connect(gateway: &Gateway) -> TcpStream {
    let stream = TcpStream::connect(gateway.address).expect("the gateway accepts");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    stream
}

/// All that comes until the connection ends.
fn raw(gateway: &Gateway, request: &str) -> Vec<u8> {
    let mut stream = connect(gateway);
    stream.write_all(request.as_bytes()).expect("written");
    let mut come = Vec::new();
    let _ = stream.read_to_end(&mut come);
    come
}

fn body(answer: &[u8]) -> &[u8] {
    let at = answer
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .expect("a head");
    &answer[at + 4..]
}

fn check_and_close() -> String {
    ClientRequest::check()
        .with_header("Connection", "close")
        .to_text()
}

fn long(n: usize) -> Vec<u8> {
    (0..n).map(|i| b'a' + (i % 23) as u8).collect()
}

/// The head of a top-up with another framing than its own.
fn top_up(framing: &str) -> String {
    ClientRequest {
        body: String::new(),
        ..ClientRequest::top_up()
    }
    .to_text()
    .replace("Content-Length: 0\r\n", framing)
}

#[test]
fn a_long_answer_is_passed_on_as_it_comes() {
    let whole = long(3_000_000);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len()).into_bytes();
    let mut parts = vec![head];
    parts.extend(whole.chunks(1_000_000).map(<[u8]>::to_vec));
    let gateway = gateway(server(parts, Duration::from_millis(300), false));
    let mut stream = connect(&gateway);
    stream
        .write_all(check_and_close().as_bytes())
        .expect("written");
    let mut first = [0; 1];
    stream.read_exact(&mut first).expect("the first bytes");
    let since = std::time::Instant::now();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("all of it");
    assert!(
        since.elapsed() >= Duration::from_millis(500),
        "the first bytes did not wait for the last"
    );
    assert_eq!(body(&rest), whole);
}

#[test]
fn an_answer_in_chunks_or_up_to_the_end_of_its_connection_is_whole() {
    let whole = long(400_000);
    let chunks: Vec<u8> = whole
        .chunks(70_000)
        .flat_map(|c| [format!("{:x};x=y\r\n", c.len()).as_bytes(), c, b"\r\n"].concat())
        .collect();
    let chunked = [
        &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
        &chunks,
        b"0\r\nX-Sum: 1\r\n\r\n",
    ]
    .concat();
    let gateway_of_chunks = gateway(server(vec![chunked], Duration::ZERO, false));
    let answer = raw(&gateway_of_chunks, &check_and_close());
    let text = String::from_utf8_lossy(&answer);
    assert!(text.contains("Transfer-Encoding: chunked") && text.ends_with("0\r\n\r\n"));
    let letters = |from: &[u8]| from.iter().filter(|b| (b'g'..=b'w').contains(b)).count();
    assert_eq!(letters(body(&answer)), letters(&whole));
    let until = [
        &b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"[..],
        &whole[..1_000],
    ]
    .concat();
    let gateway_of_ends = gateway(server(vec![until], Duration::ZERO, true));
    assert_eq!(
        body(&raw(&gateway_of_ends, &check_and_close())),
        &whole[..1_000]
    );
}

/// Guards against an end that a client could take for one where the server gave none.
#[test]
fn a_long_answer_that_is_cut_short_or_spoilt_is_seen_not_to_be_whole() {
    let whole = long(200_000);
    let cut = [
        &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n"[..],
        &whole,
        b"\r\n5\r\nab",
    ]
    .concat();
    let answer = raw(
        &gateway(server(vec![cut], Duration::ZERO, true)),
        &check_and_close(),
    );
    assert!(answer.starts_with(b"HTTP/1.1 200") && !answer.ends_with(b"0\r\n\r\n"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        whole.len() - 10
    );
    let behind = [head.as_bytes(), &whole].concat();
    let answer = raw(
        &gateway(server(vec![behind], Duration::ZERO, false)),
        &check_and_close(),
    );
    assert!(
        body(&answer).len() < whole.len() - 10,
        "the last bytes are held back"
    );
    let huge = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx".to_vec();
    let answer = raw(
        &gateway(server(vec![huge], Duration::ZERO, false)),
        &check_and_close(),
    );
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
}

#[test]
fn bodies_in_chunks_and_long_ones_reach_the_server_whole() {
    let (tell, told) = channel();
    let gateway = gateway(reading_server(tell));
    let mut client = gateway.client();
    let chunks = "4;a=b\r\nabcd\r\n3\r\nxyz\r\n0\r\nX-Trailer: 1\r\n\r\n";
    client.send(&(top_up("Transfer-Encoding: chunked\r\n") + chunks));
    assert_eq!(client.read_response().expect("an answer").body, "ok");
    assert_eq!(told.recv_timeout(TIMEOUT).expect("a body"), b"abcdxyz");
    // Told to go on before it sends the body.
    client.send(&top_up(
        "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
    ));
    assert_eq!(client.read_response().expect("a word").status(), 100);
    client.send("1\r\nq\r\n0\r\n\r\n");
    assert_eq!(client.read_response().expect("an answer").body, "ok");
    assert_eq!(told.recv_timeout(TIMEOUT).expect("a body"), b"q");
    let whole = long(2_000_000);
    client.send(&top_up(&format!("Content-Length: {}\r\n", whole.len())));
    client.send(std::str::from_utf8(&whole).expect("letters"));
    assert_eq!(client.read_response().expect("an answer").body, "ok");
    assert!(told.recv_timeout(TIMEOUT).expect("a body") == whole);
}

/// Guards against time that runs while a body still comes, and against one that takes longer than a head may.
#[test]
fn a_body_that_comes_slowly_has_its_time_from_the_last_byte() {
    let (tell, told) = channel();
    let gateway = gateway(reading_server(tell));
    let mut client = gateway.client();
    let whole = long(240_000);
    let text = top_up(&format!("Content-Length: {}\r\n", whole.len()))
        .replace("X-Expires-In: 8.0", "X-Expires-In: 1.0");
    client.send(&text);
    for part in whole.chunks(40_000) {
        thread::sleep(Duration::from_millis(500));
        client.send(std::str::from_utf8(part).expect("letters"));
    }
    assert_eq!(client.read_response().expect("an answer").body, "ok");
    assert!(told.recv_timeout(TIMEOUT).expect("a body") == whole);
}

/// Guards against bodies that would take more than there is.
#[test]
fn bodies_beyond_what_there_is_room_for_are_turned_away() {
    let (tell, told) = channel();
    let mut gateway = gateway(reading_server(tell));
    let mut client = gateway.client();
    client.send(&top_up("Content-Length: 60000000\r\n"));
    assert_eq!(client.read_response().expect("an answer").status(), 413);
    // A quarter of the 32 MB is for all long bodies: of these no two fit.
    let mut holders: Vec<Client> = (0..3).map(|_| gateway.client()).collect();
    let part = long(4_800_000);
    for holder in &mut holders {
        holder.send(&top_up("Content-Length: 5000000\r\n"));
        holder.send(std::str::from_utf8(&part).expect("letters"));
    }
    let refused = holders
        .iter_mut()
        .map(|h| h.read_response().map_or(408, |m| m.status()))
        .filter(|&s| s == 503)
        .count();
    assert!(refused >= 1, "two of three have no room");
    let mut client = gateway.client();
    client.send(&top_up("Content-Length: 3\r\n"));
    client.send("abc");
    assert_eq!(client.read_response().expect("an answer").body, "ok");
    assert_eq!(told.recv_timeout(TIMEOUT).expect("a body"), b"abc");
    assert!(gateway.is_running());
}
