//! Runs the source that is configured, and carries what it tells to the engine.

use crate::dnssd;
use crate::list;
use crate::roster::{Mark, Roster};
use frosthatch_engine::{Engine, Member, State};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;
use turndeck::ListKind;

#[derive(Clone, PartialEq)]
pub enum Source {
    /// The list agent at this address.
    List(SocketAddr),
    DnsSd(Arc<dnssd::Plan>),
}

/// Where a source's news go, and what operators do to servers by hand.
pub struct Desk {
    engine: Rc<Engine>,
    roster: RefCell<Roster>,
}

impl Desk {
    pub fn new(engine: Rc<Engine>) -> Rc<Desk> {
        Rc::new(Desk { engine, roster: RefCell::default() })
    }

    /// Takes a server out by hand; whether it is known. It is heard as draining before this returns.
    pub fn take_out(&self, uid: &str) -> bool {
        let now = self.engine.now();
        let known = self.roster.borrow_mut().take_out(now, uid);
        known.map(|told| self.engine.servers(ListKind::Partial, told)).is_some()
    }

    /// Puts a server back; whether it is known.
    pub fn put_back(&self, uid: &str) -> bool {
        let now = self.engine.now();
        let known = self.roster.borrow_mut().put_back(now, uid);
        known.map(|told| self.engine.servers(ListKind::Partial, told)).is_some()
    }

    /// What operators did to a server by hand.
    pub fn mark(&self, uid: &str) -> Option<Mark> {
        self.roster.borrow().mark(uid)
    }

    /// The same for all, by their names.
    pub fn marks(&self) -> Vec<(String, Mark)> {
        self.roster.borrow().marks().map(|(uid, mark)| (uid.clone(), *mark)).collect()
    }

    /// Takes over what another process of this gateway was told of a server.
    pub fn set_mark(&self, uid: &str, mark: Mark) {
        let told = self.roster.borrow_mut().set_mark(uid, mark);
        self.engine.servers(ListKind::Partial, told);
    }

    /// Servers that are listed, and how many of them take nothing new.
    pub fn listed(&self) -> (usize, usize) {
        let roster = self.roster.borrow();
        (roster.known().count(), roster.heard().filter(|m| m.state != State::Ready).count())
    }

    pub(crate) fn tell(&self, kind: ListKind, members: Vec<Member>) {
        let members = self.roster.borrow_mut().hear(self.engine.now(), kind, members);
        self.engine.servers(kind, members);
    }

    pub(crate) fn now(&self) -> u64 {
        self.engine.now()
    }

    pub(crate) fn known(&self) -> Vec<Member> {
        self.roster.borrow().known().cloned().collect()
    }
}

/// Follows the servers for good, wherever they are told. `known` are those from before the start; `seed` is the only
/// source of chance.
pub async fn run(mut sources: watch::Receiver<Source>, known: Vec<Member>, seed: u64, desk: Rc<Desk>) {
    desk.tell(ListKind::Persisted, known);
    tokio::task::spawn_local(let_go(desk.clone()));
    loop {
        let source = sources.borrow_and_update().clone();
        let follow = async {
            match &source {
                Source::List(address) => list::follow(*address, &desk).await,
                Source::DnsSd(plan) => dnssd::follow(plan.clone(), seed, &desk).await,
            }
        };
        let moved = tokio::select! {
            () = follow => return,
            // What the old source told means nothing at the new one: it begins with the whole list.
            moved = sources.wait_for(|now| *now != source) => moved.map(|now| now.clone()),
        };
        match (&source, moved) {
            (_, Err(_)) => return,
            // Another agent of the same list: its names are the same.
            (Source::List(_), Ok(Source::List(_))) => {}
            _ => desk.roster.borrow_mut().take_over(),
        }
    }
}

async fn let_go(desk: Rc<Desk>) {
    loop {
        sleep(Duration::from_millis(500)).await;
        let now = desk.engine.now();
        let gone = desk.roster.borrow_mut().due(now);
        desk.engine.servers(ListKind::Partial, gone);
    }
}
