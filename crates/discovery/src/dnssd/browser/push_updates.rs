//! Use of DNS Push Notifications by the browser: manages the connection, applies pushed changes, and checks that the
//! server pushes all changes.

use super::events::Output;
use super::push_state::MISSED_PUSH_TIMEOUT_US;
use super::state::Browser;
use crate::dnssd::push::{PushSession, SessionEvent};
use crate::dnssd::wire::{Name, Record, RecordChange, RecordData, RecordType};
use std::collections::VecDeque;

impl Browser {
    /// Records that a round added or removed an instance; the server has to push the same change within
    /// [`MISSED_PUSH_TIMEOUT_US`]. Has no effect until push has been established for that time.
    pub(super) fn expect_pushed_change(&mut self, now_us: u64, name: &Name) {
        let settled_at_us = self.push.established_at_us + MISSED_PUSH_TIMEOUT_US;
        if self.push.is_established() && now_us >= settled_at_us {
            let unpushed_changes = &mut self.push.unpushed_changes;
            unpushed_changes.entry(name.clone()).or_insert(now_us);
        }
    }

    /// Ends a session that has missed a change, runs the session's timers, and connects when a new connection is due.
    pub(super) fn perform_due_push_work(&mut self, now_us: u64, out: &mut Vec<Output>) {
        if self.push.has_missed_push(now_us) {
            self.step_push_session(now_us, out, |session, events| {
                session.end(
                    now_us,
                    "the server did not push a change that a round found",
                    events,
                );
            });
        }
        self.step_push_session(now_us, out, |session, events| {
            session.handle_timer(now_us, events);
        });
        let Some(session) = &self.push.session else {
            return;
        };
        if !self.push.has_connection && session.reconnect_at_us() <= now_us {
            self.push.has_connection = true;
            let servers = &self.push.servers;
            let server = servers[self.push.ended_connections % servers.len()];
            out.push(Output::ConnectPush(server));
        }
    }

    /// Handles a push connection that could not be established, or was closed.
    pub(super) fn handle_push_closed(&mut self, now_us: u64, out: &mut Vec<Output>) {
        self.step_push_session(now_us, out, |session, events| {
            session.end(now_us, "the connection was closed", events);
        });
        if std::mem::take(&mut self.push.has_connection) {
            self.push.ended_connections += 1;
            if let Some(session) = &mut self.push.session {
                session.reset_with_backoff(now_us);
            }
        }
    }

    /// Runs one step of the push session, if push is configured, and handles the resulting events.
    pub(super) fn step_push_session(
        &mut self,
        now_us: u64,
        out: &mut Vec<Output>,
        step: impl FnOnce(&mut PushSession, &mut Vec<SessionEvent>),
    ) {
        let Some(session) = &mut self.push.session else {
            return;
        };
        let mut events = Vec::new();
        step(session, &mut events);
        let mut events = VecDeque::from(events);
        while let Some(event) = events.pop_front() {
            match event {
                SessionEvent::Write(bytes) => out.push(Output::WritePush(bytes)),
                SessionEvent::Change(change) => self.apply_pushed_change(now_us, change, out),
                SessionEvent::Established => {
                    self.push.established_at_us = now_us;
                    self.log_limiter.log(
                        now_us,
                        "dns-sd: push in force; every service is subscribed to".into(),
                        out,
                    );
                    events.extend(self.subscribe_all(now_us));
                }
                SessionEvent::Ended(reason) => self.handle_session_end(now_us, &reason, out),
            }
        }
    }

    /// Subscribes to the records of all instances and hosts, and returns the session's events.
    fn subscribe_all(&mut self, now_us: u64) -> Vec<SessionEvent> {
        let mut events = Vec::new();
        let names = self.instances.keys().chain(self.hosts.keys());
        if let Some(session) = &mut self.push.session {
            for name in names {
                session.subscribe(now_us, name, &mut events);
            }
        }
        events
    }

    fn handle_session_end(&mut self, now_us: u64, reason: &str, out: &mut Vec<Output>) {
        let line = format!("dns-sd: push session ended: {reason}; polling the resolvers");
        self.log_limiter.log(now_us, line, out);
        out.push(Output::ClosePush);
        self.push.has_connection = false;
        self.push.ended_connections += 1;
        self.push.unpushed_changes.clear();
        self.next_round_at_us = now_us;
    }

    fn apply_pushed_change(&mut self, now_us: u64, change: RecordChange, out: &mut Vec<Output>) {
        match change {
            RecordChange::Added(Record {
                owner,
                data: RecordData::Ptr(name),
                ..
            }) if self.is_service(&owner) => {
                self.push.unpushed_changes.remove(&name);
                if !self.instances.get(&name).is_some_and(|i| i.is_present()) {
                    self.add_instance(now_us, &name, !self.has_reported, out);
                    self.refresh_instance(now_us, &name);
                }
                self.mark_pushed(now_us, &name);
            }
            // Removals of single records are deliberate, so a large number of them is not held back.
            RecordChange::Removed(Record {
                owner,
                data: RecordData::Ptr(name),
                ..
            }) if self.is_service(&owner) => {
                self.push.unpushed_changes.remove(&name);
                self.drain_instance(now_us, &name);
                self.mark_pushed(now_us, &name);
            }
            // Like an empty answer, a pushed removal of all records does not take effect at once; a round checks it.
            RecordChange::AllRemoved(name, None | Some(RecordType::Ptr))
                if self.is_service(&name) =>
            {
                self.next_round_at_us = now_us;
            }
            RecordChange::Added(record) => self.store_records(now_us, vec![record]),
            // The records of an instance or host stay in use until others replace them.
            RecordChange::Removed(_) | RecordChange::AllRemoved(..) => {}
        }
    }

    /// Records that the session pushed a change to the instance's PTR record.
    fn mark_pushed(&mut self, now_us: u64, name: &Name) {
        if let Some(instance) = self.instances.get_mut(name) {
            instance.pushed_at_us = now_us;
        }
    }

    fn is_service(&self, name: &Name) -> bool {
        self.config.services.contains(name)
    }
}
