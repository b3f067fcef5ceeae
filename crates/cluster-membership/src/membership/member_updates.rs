//! Handling of received member updates: merges them into the member table, refutes those in which this member is
//! suspect, dead or gone, and resolves conflicts with another process under the same name.

use super::output::Output;
use super::peer::last_received_at_us;
use super::state::Membership;
use crate::failure_detector::MAX_CONFIRMATIONS;
use crate::member_table::MemberChange;
use crate::record::{stable_hash, LifecyclePhase, Liveness, MemberRecord};
use crate::wire::MemberUpdate;

/// Time since its start within which a process that meets another one under its name raises its incarnation to take
/// the name over. After that time it yields the name to a process with a higher incarnation.
const NAME_CLAIM_WINDOW_US: u64 = 3_000_000;
/// Time without a datagram from a suspect, in update intervals and at least two probe intervals, after which this
/// member suspects it too.
const MISSED_UPDATES_BEFORE_SUSPICION: u64 = 4;

/// Another process that is or was running under this member's name.
#[derive(Clone, Copy, Debug)]
pub(super) struct NameClaim {
    /// Incarnation that the process published last.
    pub incarnation: u64,
    /// Instance id of the process.
    pub instance_id: u64,
    /// Whether the process may still be running.
    pub is_present: bool,
}

impl Membership {
    /// Handles a received member update, which concerns either another member, this process, or a process under the
    /// same name.
    pub(super) fn apply_member_update(
        &mut self,
        now_us: u64,
        update: MemberUpdate,
        outputs: &mut Vec<Output>,
    ) {
        let record = &update.record;
        if record.name != self.config.name {
            self.apply_update_of_other(now_us, &update, outputs);
        } else if record.instance_id == self.instance_id {
            self.refute(now_us, record);
        } else {
            let claim = NameClaim {
                incarnation: record.incarnation,
                instance_id: record.instance_id,
                is_present: record.is_present(),
            };
            self.handle_name_claim(now_us, claim, outputs);
        }
    }

    /// Refutes a record in which this process is suspect, dead, or has left.
    fn refute(&mut self, now_us: u64, record: &MemberRecord) {
        let is_adverse = record.liveness != Liveness::Alive || record.phase == LifecyclePhase::Left;
        let own = self.table.own_record();
        let phase = own.phase;
        if record.incarnation >= own.incarnation && is_adverse && !self.has_left {
            // Lifeguard: a suspicion of this process is a sign that it may be slow.
            self.detector.worsen_health();
            self.table.publish_own(now_us, phase, record.incarnation);
        }
    }

    /// Merges an update of another member, and records its suspectors if the member is a suspect.
    fn apply_update_of_other(
        &mut self,
        now_us: u64,
        update: &MemberUpdate,
        outputs: &mut Vec<Output>,
    ) {
        let age_us = u64::from(update.age_s) * 1_000_000;
        if let Some(change) = self.table.merge(now_us, &update.record, age_us) {
            self.handle_change(now_us, &change, outputs);
        }
        let Some(known) = self.table.record(&update.record.name) else {
            return;
        };
        let is_suspect = known.liveness == Liveness::Suspect;
        if is_suspect && known.incarnation == update.record.incarnation {
            self.confirm_suspicion(update);
        }
    }

    /// Records the suspectors of a suspect from an update, and adds this member to them if it misses the suspect's
    /// updates.
    fn confirm_suspicion(&mut self, update: &MemberUpdate) {
        let name = &update.record.name;
        for suspector in &update.suspectors {
            self.table
                .add_suspector(name, *suspector, MAX_CONFIRMATIONS + 1);
        }
        let update_interval_us = self.config.scaled_update_interval_us(self.table.len());
        let missed_us = update_interval_us * MISSED_UPDATES_BEFORE_SUSPICION;
        let max_silence_us = missed_us.max(2 * self.config.probe_interval_us);
        let last_received_at_us = last_received_at_us(&self.peers, name);
        let running_us = self.clock.running_us();
        if last_received_at_us > 0
            && running_us.saturating_sub(last_received_at_us) > max_silence_us
        {
            self.add_own_suspicion(name);
        }
        self.record_suspicion(name, update.record.incarnation);
    }

    /// Adds this member to the suspectors of the member `name`.
    pub(super) fn add_own_suspicion(&mut self, name: &str) {
        let own_hash = stable_hash(&self.config.name) as u32;
        self.table
            .add_suspector(name, own_hash, MAX_CONFIRMATIONS + 1);
    }

    /// Passes a suspicion to the failure detector, with the number of its suspectors.
    pub(super) fn record_suspicion(&mut self, name: &str, incarnation: u64) {
        let suspectors = self.table.suspector_count(name);
        let running_us = self.clock.running_us();
        self.detector
            .record_suspicion(running_us, name, incarnation, suspectors);
    }

    /// Handles another process under this member's name that has a higher incarnation: takes the name over if that
    /// process is gone or this one has just started; otherwise marks this process as superseded.
    pub(super) fn handle_name_claim(
        &mut self,
        now_us: u64,
        claim: NameClaim,
        outputs: &mut Vec<Output>,
    ) {
        let own = self.table.own_record();
        if (claim.incarnation, claim.instance_id) < (own.incarnation, own.instance_id) {
            return;
        }
        let has_just_started = self.clock.uptime_us(now_us) < NAME_CLAIM_WINDOW_US;
        if !claim.is_present || has_just_started {
            let phase = own.phase;
            self.table.publish_own(now_us, phase, claim.incarnation);
            return;
        }
        self.is_superseded = true;
        let name = &self.config.name;
        outputs.push(Output::Log(format!(
            "fleet: a later process runs as {name}; this process no longer sends or handles datagrams"
        )));
    }

    /// Ends the suspicion of a member whose record no longer says suspect, and logs the change.
    pub(super) fn handle_change(
        &mut self,
        now_us: u64,
        change: &MemberChange,
        outputs: &mut Vec<Output>,
    ) {
        if change.current.liveness != Liveness::Suspect {
            self.detector.clear_suspicion(&change.current.name);
            self.log_change(now_us, change, outputs);
        }
        self.log_number_conflict(now_us, &change.current, outputs);
    }

    /// Logs the new state of a member, unless instance and state are unchanged.
    fn log_change(&mut self, now_us: u64, change: &MemberChange, outputs: &mut Vec<Output>) {
        let record = &change.current;
        let before = change.previous.as_ref();
        let is_same_state = before.is_some_and(|before| {
            before.instance_id == record.instance_id && before.state() == record.state()
        });
        if is_same_state {
            return;
        }
        let was_dead = before.is_some_and(|before| before.liveness == Liveness::Dead);
        let state = if was_dead && record.is_present() {
            format!("{} again after it was declared dead", record.state())
        } else {
            record.state().to_string()
        };
        let silence = self
            .peers
            .get(&record.name)
            .filter(|_| record.liveness == Liveness::Dead)
            .map_or(String::new(), |peer| {
                let last_received_at_us = peer.session.last_received_at_us;
                let silent_us = self.clock.running_us().saturating_sub(last_received_at_us);
                format!(", no datagram received for {:.1} s", silent_us as f64 / 1e6)
            });
        let name = &record.name;
        let line = format!("member {name}: {state}{silence}");
        self.log(now_us, line, outputs);
    }

    /// Logs a conflict if another present member has the number of the member in `record`.
    fn log_number_conflict(
        &mut self,
        now_us: u64,
        record: &MemberRecord,
        outputs: &mut Vec<Output>,
    ) {
        if !record.is_present() {
            return;
        }
        let name = &record.name;
        let other = self
            .table
            .present_others()
            .find(|other| other.number == record.number && other.name != *name)
            .map(|other| &other.name);
        let has_own_number = record.number == self.config.number && *name != self.config.name;
        let own_name = has_own_number.then_some(&self.config.name);
        if let Some(other) = other.or(own_name) {
            let line = format!(
                "member {name}: gateway number {} is also used by member {other}; configure a unique one",
                record.number
            );
            self.log(now_us, line, outputs);
        }
    }
}
