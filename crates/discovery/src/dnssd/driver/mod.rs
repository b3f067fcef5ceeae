//! Driver of a browser: runs its timers, a socket or connection for each query, and one push connection. All decisions
//! are made by the browser.

mod events;
mod push_connection;
mod query_socket;

use crate::dnssd::browser::{Browser, Input, Output, Transport};
use crate::dnssd::config::DnsSdConfig;
use crate::registry::EndpointRegistry;
use events::{DriverEvent, QueryEvent};
use frosthatch_log::log_line;
use push_connection::PushConnection;
use query_socket::{query_over_tcp, query_over_udp};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

/// Maximum number of events queued for the browser; while the queue is full, the tasks read no further messages.
const MAX_QUEUED_EVENTS: usize = 256;

/// Runs a browser for as long as the future is polled, and passes its endpoint updates to the registry.
pub(crate) async fn follow(config: Arc<DnsSdConfig>, seed: u64, registry: &EndpointRegistry) {
    let mut browser = Browser::new(
        (*config).clone(),
        registry.source_endpoints(),
        seed ^ registry.now_us(),
        registry.now_us(),
    );
    let mut driver = Driver::new(config, registry);
    let mut outputs = Vec::new();
    loop {
        let now_us = registry.now_us();
        let wait_us = browser
            .next_wakeup_us(now_us)
            .saturating_sub(registry.now_us());
        let event = driver.next_event(Duration::from_micros(wait_us)).await;
        let input = event.as_ref().and_then(|event| driver.to_input(event));
        browser.handle(registry.now_us(), input, &mut outputs);
        for output in outputs.drain(..) {
            driver.carry_out(output);
        }
        driver.reap_finished_tasks();
    }
}

/// The tasks that run the sockets of a browser.
struct Driver<'a> {
    config: Arc<DnsSdConfig>,
    registry: &'a EndpointRegistry,
    event_sender: mpsc::Sender<DriverEvent>,
    events: mpsc::Receiver<DriverEvent>,
    /// All tasks, which are aborted when the driver is dropped.
    tasks: JoinSet<()>,
    queries: HashMap<u64, AbortHandle>,
    push: Option<PushConnection>,
    last_connection_id: u64,
}

impl<'a> Driver<'a> {
    fn new(config: Arc<DnsSdConfig>, registry: &'a EndpointRegistry) -> Self {
        let (event_sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
        Driver {
            config,
            registry,
            event_sender,
            events,
            tasks: JoinSet::new(),
            queries: HashMap::new(),
            push: None,
            last_connection_id: 0,
        }
    }

    /// Returns the next event, or `None` after `wait`.
    async fn next_event(&mut self, wait: Duration) -> Option<DriverEvent> {
        tokio::select! {
            event = self.events.recv() => event,
            () = sleep(wait) => None,
        }
    }

    /// Converts an event to the browser's input; `None` if the event belongs to a push connection that was replaced or
    /// closed.
    fn to_input<'e>(&self, event: &'e DriverEvent) -> Option<Input<'e>> {
        match event {
            DriverEvent::Query(event) => Some(event.to_input()),
            DriverEvent::Push {
                connection_id,
                event,
            } => {
                let current_id = self.push.as_ref().map(|connection| connection.id);
                if current_id == Some(*connection_id) {
                    Some(event.to_input())
                } else {
                    None
                }
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::SendQuery {
                query_id,
                to,
                transport,
                bytes,
            } => self.send_query(query_id, to, transport, bytes),
            Output::CloseQuery { query_id } => {
                if let Some(task) = self.queries.remove(&query_id) {
                    task.abort();
                }
            }
            Output::UpdateEndpoints { kind, endpoints } => {
                self.registry.update_endpoints(kind, endpoints);
            }
            Output::ConnectPush(server) => self.connect_push(server),
            Output::WritePush(bytes) => {
                if let Some(connection) = &self.push {
                    connection.write(bytes);
                }
            }
            Output::ClosePush => self.close_push(),
            Output::Log(line) => log_line!("{line}"),
        }
    }

    fn send_query(&mut self, query_id: u64, to: SocketAddr, transport: Transport, bytes: Vec<u8>) {
        let events = self.event_sender.clone();
        let task = self.tasks.spawn_local(async move {
            let result = match transport {
                Transport::Tcp => query_over_tcp(query_id, to, &bytes, &events).await,
                Transport::Udp => query_over_udp(query_id, to, &bytes, &events).await,
            };
            if result.is_err() {
                let event = DriverEvent::Query(QueryEvent::Failed { query_id });
                let _ = events.send(event).await;
            }
        });
        self.queries.insert(query_id, task);
    }

    fn connect_push(&mut self, server: SocketAddr) {
        self.close_push();
        self.last_connection_id += 1;
        let connection = PushConnection::spawn(
            &mut self.tasks,
            self.last_connection_id,
            server,
            self.config.push.clone().unwrap_or_default(),
            self.event_sender.clone(),
        );
        self.push = Some(connection);
    }

    fn close_push(&mut self) {
        if let Some(connection) = self.push.take() {
            connection.abort();
        }
    }

    fn reap_finished_tasks(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }
}
