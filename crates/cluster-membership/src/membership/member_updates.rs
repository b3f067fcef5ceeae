//! Disseminated members: merging them into the table, refuting what is said of this one, and claims to its name.

use super::output::Output;
use super::peer::heard_at_us;
use super::state::Membership;
use crate::failure_detector::MAX_CONFIRMATIONS;
use crate::member_table::MemberChange;
use crate::record::{stable_hash, LifecyclePhase, Liveness, MemberRecord};
use crate::wire::MemberUpdate;

/// A process takes its name over from another one within this time of its start; after that the other one has the name.
const NAME_CLAIM_WINDOW_US: u64 = 3_000_000;
/// A suspect that was not heard for this many update intervals is suspected by this member as well.
const MAX_MISSED_UPDATES: u64 = 4;

/// Another process that runs, or ran, under this member's name.
#[derive(Clone, Copy, Debug)]
pub(super) struct NameClaim {
    pub incarnation: u64,
    pub instance_id: u64,
    /// Whether it may still run.
    pub is_present: bool,
}

impl Membership {
    /// Merges what another member says of one.
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

    /// Refutes a record that says that this process is suspected, dead, or has left.
    fn refute(&mut self, now_us: u64, record: &MemberRecord) {
        let is_adverse = record.liveness != Liveness::Alive || record.phase == LifecyclePhase::Left;
        let own = self.table.own_record();
        let phase = own.phase;
        if record.incarnation >= own.incarnation && is_adverse && !self.has_left {
            // Lifeguard: that it is suspected shows that this process may be slow.
            self.detector.worsen_health();
            self.table.publish_own(now_us, phase, record.incarnation);
        }
    }

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

    /// Adds the members that suspect a suspect, this one included if it misses the suspect's updates.
    fn confirm_suspicion(&mut self, update: &MemberUpdate) {
        let name = &update.record.name;
        for suspector in &update.suspectors {
            self.table
                .add_suspector(name, *suspector, MAX_CONFIRMATIONS + 1);
        }
        let update_interval_us = self.config.interval_for_members_us(self.table.len());
        let missed_us = update_interval_us * MAX_MISSED_UPDATES;
        let max_silence_us = missed_us.max(2 * self.config.probe_interval_us);
        let heard_at_us = heard_at_us(&self.peers, name);
        let running_us = self.clock.running_us();
        if heard_at_us > 0 && running_us.saturating_sub(heard_at_us) > max_silence_us {
            self.add_own_suspicion(name);
        }
        self.record_suspicion(name, update.record.incarnation);
    }

    /// Adds this member to those that suspect another one.
    pub(super) fn add_own_suspicion(&mut self, name: &str) {
        let own_hash = stable_hash(&self.config.name) as u32;
        self.table
            .add_suspector(name, own_hash, MAX_CONFIRMATIONS + 1);
    }

    /// Passes a suspicion on to the failure detector, with the number of members that have it.
    pub(super) fn record_suspicion(&mut self, name: &str, incarnation: u64) {
        let suspectors = self.table.suspector_count(name);
        let running_us = self.clock.running_us();
        self.detector
            .record_suspicion(running_us, name, incarnation, suspectors);
    }

    /// Takes the name over from another process, or gives it up to a later one.
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
        self.superseded = true;
        let name = &self.config.name;
        outputs.push(Output::Log(format!(
            "fleet: a later process runs as {name}; this one talks to nobody any more"
        )));
    }

    /// Ends a suspicion that a change settles, and logs the change.
    pub(super) fn handle_change(
        &mut self,
        now_us: u64,
        change: &MemberChange,
        outputs: &mut Vec<Output>,
    ) {
        if change.now.liveness != Liveness::Suspect {
            self.detector.clear_suspicion(&change.now.name);
            self.log_change(now_us, change, outputs);
        }
        self.log_number_clash(now_us, &change.now, outputs);
    }

    fn log_change(&mut self, now_us: u64, change: &MemberChange, outputs: &mut Vec<Output>) {
        let record = &change.now;
        let before = change.before.as_ref();
        let is_same_state = before.is_some_and(|before| {
            before.instance_id == record.instance_id && before.state() == record.state()
        });
        if is_same_state {
            return;
        }
        let was_dead = before.is_some_and(|before| before.liveness == Liveness::Dead);
        let state = if was_dead && record.is_present() {
            format!("{}, is back", record.state())
        } else {
            record.state().to_string()
        };
        let unheard = self
            .peers
            .get(&record.name)
            .filter(|_| record.liveness == Liveness::Dead)
            .map_or(String::new(), |peer| {
                let heard_at_us = peer.session.heard_at_us;
                let unheard_us = self.clock.running_us().saturating_sub(heard_at_us);
                format!(", unheard for {:.1} s", unheard_us as f64 / 1e6)
            });
        let name = &record.name;
        let line = format!("member {name}: {state}{unheard}");
        self.log(now_us, line, outputs);
    }

    /// Logs that two present members have the same number.
    fn log_number_clash(&mut self, now_us: u64, record: &MemberRecord, outputs: &mut Vec<Output>) {
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
                "member {name}: has the number {} as {other} has; give each its own",
                record.number
            );
            self.log(now_us, line, outputs);
        }
    }
}
