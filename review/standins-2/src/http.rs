//! HTTP/1.1 messages, a server whose answers a case decides, and a client.

use crate::record;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A request or a response with a body of a known length or in chunks.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a message; `None` if the connection ends first.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first_line = line.trim_end().to_string();
    message.status = if line.starts_with("HTTP/") {
        line.split(' ')
            .nth(1)
            .and_then(|s| s.trim().parse().ok())
            .unwrap_or(0)
    } else {
        0
    };
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let header = line.trim_end();
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        message
            .headers
            .insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let mut body = Vec::new();
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            line.clear();
            reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                break;
            }
            body.extend(&chunk[..length]);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
    }
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

/// One call over a connection of its own.
pub fn call(address: SocketAddr, text: &str, limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// A client with a kept connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, limit: Duration) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, limit).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        Some(Client {
            reader: BufReader::new(stream.try_clone().ok()?),
            stream,
        })
    }
    pub fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }
    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }
    pub fn exchange(&mut self, text: &str) -> Option<Message> {
        self.send(text).then(|| self.read()).flatten()
    }
}

static NEXT_TRACE: AtomicU64 = AtomicU64::new(0x1000);

/// A new trace id.
pub fn trace() -> String {
    format!("{:016x}", NEXT_TRACE.fetch_add(1, Ordering::SeqCst))
}

/// What an HTTP server does with a request.
pub enum Reply {
    /// 200 with this body, after so many milliseconds.
    Ok(u64, String),
    /// These bytes, after so many milliseconds.
    Raw(u64, String),
    /// The connection ends, after so many milliseconds.
    Close(u64),
    /// Nothing.
    Silence,
}

/// Starts an HTTP server; `handle` gets each whole request.
pub fn serve(handle: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> SocketAddr {
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
                let (mut reader, mut stream) = (BufReader::new(clone), stream);
                while let Some(request) = read_message(&mut reader) {
                    let (wait, text) = match handle(&request) {
                        Reply::Ok(ms, body) => (
                            ms,
                            format!(
                                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                                body.len()
                            ),
                        ),
                        Reply::Raw(ms, text) => (ms, text),
                        Reply::Close(ms) => {
                            record::sleep_ms(ms);
                            return;
                        }
                        Reply::Silence => continue,
                    };
                    record::sleep_ms(wait);
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
