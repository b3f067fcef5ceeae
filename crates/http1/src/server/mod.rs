//! The clients' side: accepts connections, reads and checks requests, and gives each its one answer. Strict: what a
//! client of ours never sends is an error and the end of its connection, before anything else hears of it.
//!
//! [`listener`] accepts and bounds connections, [`conversation`] takes the requests of one connection in turn,
//! [`request`] reads and checks them, [`response`] writes answers, [`relay`] passes long ones on, [`draining`] lets
//! connections go.

mod client;
mod conversation;
mod draining;
mod listener;
mod relay;
mod request;
mod response;

use crate::backend::Upstream;
use draining::{IdleConnection, Leaving};
use frosthatch_engine::{Engine, RequestPlugins};
use frosthatch_traffic_control::Settings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// One in so many of the connections held at most is kept free of requests under way: with more of them new ones are refused at
/// once. Guards against requests that wait unread, with no answer in their time, because all places are taken.
const RESERVED_FRACTION: usize = 8;

/// What the clients' connections share.
pub struct HttpServer {
    engine: Rc<Engine>,
    upstream: Rc<Upstream>,
    settings: Settings,
    /// The operator's own, if there are any.
    rules: Option<Rc<dyn RequestPlugins>>,
    leaving: Cell<Option<Leaving>>,
    /// Since when the gateway is emptied, if it is.
    draining: Cell<Option<Instant>>,
    /// By number.
    idle: RefCell<HashMap<u64, IdleConnection>>,
    open: Cell<usize>,
    /// Of these, those that are over but for what their clients still send.
    lingering: Cell<usize>,
    /// Connections held at most, as things stand.
    most: Cell<usize>,
    /// Another process accepts, as long as this is not set.
    accepting: Cell<bool>,
    turned: Notify,
}

impl HttpServer {
    pub fn new(
        engine: Rc<Engine>,
        upstream: Rc<Upstream>,
        settings: Settings,
        rules: Option<Rc<dyn RequestPlugins>>,
        most: usize,
    ) -> Rc<Self> {
        let (leaving, draining) = (Cell::new(None), Cell::new(None));
        let (open, lingering) = (Cell::new(0), Cell::new(0));
        let (idle, most) = (RefCell::default(), Cell::new(most));
        let (accepting, turned) = (Cell::new(true), Notify::new());
        Rc::new(HttpServer {
            engine,
            upstream,
            settings,
            rules,
            leaving,
            draining,
            idle,
            open,
            lingering,
            most,
            accepting,
            turned,
        })
    }

    /// Whether new clients may come.
    pub fn ready(&self) -> bool {
        self.engine.ready() && self.accepting.get() && !self.ends_connections()
    }

    /// Requests under way have all places but those that others need to be heard at all.
    fn crowded(&self) -> bool {
        let most = self.most.get();
        self.open.get() - self.lingering.get() - self.idle.borrow().len()
            > most - most / RESERVED_FRACTION
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Holds to so many connections from now on.
    pub fn hold_to(&self, most: usize) {
        self.most.set(most);
    }

    /// Whether connections are accepted here, or by another process at the same listener.
    pub fn accepting(&self) -> bool {
        self.accepting.get()
    }

    pub fn turn(&self, accepting: bool) {
        self.accepting.set(accepting);
        self.turned.notify_one();
    }
}
