//! The sockets of a browser: a query a socket, or a connection, and one session of push. No rules here.

use super::browser::{Browser, Input, Output, Transport};
use super::{read_anchor, DnsSdConfig, PushConfig};
use crate::registry::EndpointRegistry;
use frosthatch_log::log_line;
use frosthatch_sockets::{connect, Uninterrupted};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// A UDP answer is not longer than what the query allows; what is cut off here makes no sense.
const DATAGRAM: usize = 4_096;
/// What has come and was not yet taken in, in messages.
const WAITING: usize = 256;
/// A push session comes up within this, TLS and all.
const OPENS_WITHIN: Duration = Duration::from_secs(3);

enum Came {
    Datagram {
        query: u64,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Stream {
        query: u64,
        bytes: Vec<u8>,
    },
    Broken {
        query: u64,
    },
    /// Of the push connection with this number.
    Push(u64, Pushed),
}

enum Pushed {
    Opened,
    Message(Vec<u8>),
    Closed,
}

/// Follows the records for good.
pub(crate) async fn follow(plan: Arc<DnsSdConfig>, seed: u64, desk: &EndpointRegistry) {
    let (tell, mut came) = mpsc::channel(WAITING);
    let mut browser = Browser::new((*plan).clone(), desk.known(), seed ^ desk.now(), desk.now());
    let mut tasks = JoinSet::new();
    let mut queries: HashMap<u64, AbortHandle> = HashMap::new();
    let (mut push, mut pushes) = (None::<(AbortHandle, mpsc::Sender<Vec<u8>>)>, 0u64);
    let mut out = Vec::new();
    loop {
        let wait = browser
            .next_wakeup_us(desk.now())
            .saturating_sub(desk.now());
        let next = tokio::select! {
            next = came.recv() => next,
            () = sleep(Duration::from_micros(wait)) => None,
        };
        let input = match &next {
            None => None,
            Some(Came::Datagram { query, from, bytes }) => Some(Input::Datagram {
                query_id: *query,
                from: *from,
                bytes,
            }),
            Some(Came::Stream { query, bytes }) => Some(Input::Stream {
                query_id: *query,
                bytes,
            }),
            Some(Came::Broken { query }) => Some(Input::QueryFailed { query_id: *query }),
            // Of a session that was left already.
            Some(Came::Push(number, _)) if *number != pushes || push.is_none() => None,
            Some(Came::Push(_, Pushed::Opened)) => Some(Input::PushOpened),
            Some(Came::Push(_, Pushed::Message(bytes))) => Some(Input::PushMessage(bytes)),
            Some(Came::Push(_, Pushed::Closed)) => Some(Input::PushClosed),
        };
        browser.handle(desk.now(), input, &mut out);
        for output in out.drain(..) {
            match output {
                Output::SendQuery {
                    query_id: query,
                    to,
                    transport,
                    bytes,
                } => {
                    let tell = tell.clone();
                    let task = tasks.spawn_local(async move {
                        let asked = match transport {
                            Transport::Tcp => ask_stream(query, to, &bytes, &tell).await,
                            Transport::Udp => ask_datagram(query, to, &bytes, &tell).await,
                        };
                        if asked.is_err() {
                            let _ = tell.send(Came::Broken { query }).await;
                        }
                    });
                    queries.insert(query, task);
                }
                Output::CloseQuery { query_id: query } => {
                    if let Some(task) = queries.remove(&query) {
                        task.abort();
                    }
                }
                Output::UpdateEndpoints {
                    kind,
                    endpoints: members,
                } => desk.tell(kind, members),
                Output::ConnectPush(to) => {
                    if let Some((old, _)) = push.take() {
                        old.abort();
                    }
                    pushes += 1;
                    let (number, tell, plan) =
                        (pushes, tell.clone(), plan.push.clone().unwrap_or_default());
                    let (write, to_write) = mpsc::channel(WAITING);
                    let task = tasks.spawn_local(async move {
                        let _ = session(number, to, &plan, &tell, to_write).await;
                        let _ = tell.send(Came::Push(number, Pushed::Closed)).await;
                    });
                    push = Some((task, write));
                }
                Output::WritePush(bytes) => {
                    // A server that reads nothing is silent, which ends the session in time.
                    if let Some((_, write)) = &push {
                        let _ = write.try_send(bytes);
                    }
                }
                Output::ClosePush => {
                    if let Some((task, _)) = push.take() {
                        task.abort();
                    }
                }
                Output::Log(line) => log_line!("{line}"),
            }
        }
        while tasks.try_join_next().is_some() {}
    }
}

async fn ask_datagram(
    query: u64,
    to: SocketAddr,
    bytes: &[u8],
    tell: &mpsc::Sender<Came>,
) -> io::Result<()> {
    let any: IpAddr = match to {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    // Port 0: the system draws one by chance (RFC 5452 section 9.2).
    let socket = UdpSocket::bind((any, 0)).await?;
    socket.send_to(bytes, to).await?;
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let (n, from) = socket.recv_from(&mut buffer).await?;
        let came = Came::Datagram {
            query,
            from,
            bytes: buffer[..n].to_vec(),
        };
        if tell.send(came).await.is_err() {
            return Ok(());
        }
    }
}

async fn ask_stream(
    query: u64,
    to: SocketAddr,
    bytes: &[u8],
    tell: &mpsc::Sender<Came>,
) -> io::Result<()> {
    let mut stream = Uninterrupted(connect(to).await?);
    stream.write_all(&framed(bytes)).await?;
    let bytes = message(&mut stream).await?;
    let _ = tell.send(Came::Stream { query, bytes }).await;
    Ok(())
}

/// A message behind its length (RFC 1035 section 4.2.2).
fn framed(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u16).to_be_bytes()[..], bytes].concat()
}

/// The next message; memory is taken as its bytes come.
async fn message(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let length = u64::from(from.read_u16().await?);
    let mut bytes = Vec::new();
    match from.take(length).read_to_end(&mut bytes).await? {
        n if n as u64 == length => Ok(bytes),
        _ => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// One push session, over TLS where there is a trust anchor (RFC 8765 section 4).
async fn session(
    number: u64,
    to: SocketAddr,
    plan: &PushConfig,
    tell: &mpsc::Sender<Came>,
    to_write: mpsc::Receiver<Vec<u8>>,
) -> io::Result<()> {
    let open = async {
        let stream = Uninterrupted(connect(to).await?);
        let Some((file, name)) = &plan.tls else {
            return Ok::<_, io::Error>((stream, None));
        };
        let invalid = |e: String| io::Error::new(io::ErrorKind::InvalidInput, e);
        let roots = read_anchor(file).map_err(invalid)?;
        let name = rustls::pki_types::ServerName::try_from(name.clone())
            .map_err(|e| invalid(e.to_string()))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|e| invalid(e.to_string()))?
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok((
            stream,
            Some((tokio_rustls::TlsConnector::from(Arc::new(config)), name)),
        ))
    };
    let (stream, tls) = timeout(OPENS_WITHIN, open)
        .await
        .map_err(|_| io::ErrorKind::TimedOut)??;
    match tls {
        None => converse(number, stream, tell, to_write).await,
        Some((connector, name)) => {
            let opened = timeout(OPENS_WITHIN, connector.connect(name, stream)).await;
            let stream = opened
                .map_err(|_| io::ErrorKind::TimedOut)?
                .inspect_err(|e| log_line!("dns-sd: push: {e}"))?;
            converse(number, stream, tell, to_write).await
        }
    }
}

async fn converse(
    number: u64,
    stream: impl AsyncRead + AsyncWrite,
    tell: &mpsc::Sender<Came>,
    mut to_write: mpsc::Receiver<Vec<u8>>,
) -> io::Result<()> {
    let (mut read, mut write) = tokio::io::split(stream);
    let _ = tell.send(Came::Push(number, Pushed::Opened)).await;
    let reads = async {
        loop {
            let bytes = message(&mut read).await?;
            if tell
                .send(Came::Push(number, Pushed::Message(bytes)))
                .await
                .is_err()
            {
                return Ok(());
            }
        }
    };
    let writes = async {
        while let Some(bytes) = to_write.recv().await {
            write.write_all(&framed(&bytes)).await?;
            write.flush().await?;
        }
        Ok(())
    };
    tokio::select! {
        done = reads => done,
        done = writes => done,
    }
}
