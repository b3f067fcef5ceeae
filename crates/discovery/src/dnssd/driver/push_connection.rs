//! The connection to a push server, over TLS if a root certificate is configured (RFC 8765 section 4).

use super::events::{DriverEvent, PushConnectionEvent};
use super::query_socket::{add_length_prefix, read_message};
use crate::dnssd::config::PushConfig;
use crate::dnssd::trust_anchor::read_trust_anchor;
use frosthatch_log::log_line;
use frosthatch_sockets::{connect, Uninterrupted};
use rustls::pki_types::ServerName;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;
use tokio_rustls::TlsConnector;

/// Maximum time to connect, and separately for the TLS handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of messages queued for writing; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Handle to the task that runs a push connection.
pub(super) struct PushConnection {
    pub(super) id: u64,
    task: AbortHandle,
    messages: mpsc::Sender<Vec<u8>>,
}

impl PushConnection {
    /// Spawns a task that connects to `server` and reports the connection's events to `events`.
    pub(super) fn spawn(
        tasks: &mut JoinSet<()>,
        id: u64,
        server: SocketAddr,
        config: PushConfig,
        events: mpsc::Sender<DriverEvent>,
    ) -> Self {
        let (messages, queued_messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let reporter = EventReporter {
            connection_id: id,
            events,
        };
        let task = tasks.spawn_local(async move {
            let _ = run(server, &config, &reporter, queued_messages).await;
            let _ = reporter.report(PushConnectionEvent::Closed).await;
        });
        PushConnection { id, task, messages }
    }

    /// Queues a message, or drops it if the queue is full. A dropped message needs no error: a server that does not
    /// read does not respond either, and the response timeout ends the session.
    pub(super) fn write(&self, bytes: Vec<u8>) {
        let _ = self.messages.try_send(bytes);
    }

    pub(super) fn abort(self) {
        self.task.abort();
    }
}

/// Sends the events of one connection to the driver.
struct EventReporter {
    connection_id: u64,
    events: mpsc::Sender<DriverEvent>,
}

impl EventReporter {
    /// Sends an event; fails once the driver has been dropped.
    async fn report(
        &self,
        event: PushConnectionEvent,
    ) -> Result<(), mpsc::error::SendError<DriverEvent>> {
        let event = DriverEvent::Push {
            connection_id: self.connection_id,
            event,
        };
        self.events.send(event).await
    }
}

/// Parameters of the TLS handshake.
struct TlsSettings {
    connector: TlsConnector,
    server_name: ServerName<'static>,
}

/// Connects to `server` and exchanges messages until the connection ends.
async fn run(
    server: SocketAddr,
    config: &PushConfig,
    reporter: &EventReporter,
    messages: mpsc::Receiver<Vec<u8>>,
) -> io::Result<()> {
    let open = async {
        let stream = Uninterrupted(connect(server).await?);
        let tls = match &config.tls {
            None => None,
            Some((anchor_file, server_name)) => Some(tls_settings(anchor_file, server_name)?),
        };
        Ok::<_, io::Error>((stream, tls))
    };
    let opened = timeout(OPEN_TIMEOUT, open).await;
    let (stream, tls) = opened.map_err(|_| io::ErrorKind::TimedOut)??;
    let Some(tls) = tls else {
        return exchange_messages(stream, reporter, messages).await;
    };
    let handshake = tls.connector.connect(tls.server_name, stream);
    let stream = timeout(OPEN_TIMEOUT, handshake)
        .await
        .map_err(|_| io::ErrorKind::TimedOut)?
        .inspect_err(|e| log_line!("dns-sd: push: TLS handshake with {server} failed: {e}"))?;
    exchange_messages(stream, reporter, messages).await
}

fn tls_settings(anchor_file: &Path, server_name: &str) -> io::Result<TlsSettings> {
    let roots = read_trust_anchor(anchor_file).map_err(invalid_input)?;
    let server_name = ServerName::try_from(server_name.to_owned())
        .map_err(|error| invalid_input(error.to_string()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| invalid_input(error.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(TlsSettings {
        connector: TlsConnector::from(Arc::new(config)),
        server_name,
    })
}

fn invalid_input(message: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, message)
}

/// Reads and writes messages until one direction of the stream ends.
async fn exchange_messages(
    stream: impl AsyncRead + AsyncWrite,
    reporter: &EventReporter,
    mut messages: mpsc::Receiver<Vec<u8>>,
) -> io::Result<()> {
    let (mut read_half, mut write_half) = tokio::io::split(stream);
    let _ = reporter.report(PushConnectionEvent::Opened).await;
    let reads = async {
        loop {
            let bytes = read_message(&mut read_half).await?;
            let event = PushConnectionEvent::Message(bytes);
            if reporter.report(event).await.is_err() {
                return Ok(());
            }
        }
    };
    let writes = async {
        while let Some(bytes) = messages.recv().await {
            write_half.write_all(&add_length_prefix(&bytes)).await?;
            write_half.flush().await?;
        }
        Ok(())
    };
    tokio::select! {
        result = reads => result,
        result = writes => result,
    }
}
