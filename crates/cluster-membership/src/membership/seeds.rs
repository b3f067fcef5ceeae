//! Discovery of other members through the configured seeds, and of returned members by contacting dead ones.

use super::output::Output;
use super::send::{member_update, DatagramContent};
use super::state::Membership;
use crate::record::LifecyclePhase;
use crate::wire::DatagramWriter;
use rand_pcg::rand_core::RngCore;
use std::net::SocketAddr;

/// Interval between contacts during the join phase, while no other member is present.
const JOIN_INTERVAL_US: u64 = 250_000;
/// Duration of the join phase, counted from the start of the process.
const JOIN_PHASE_US: u64 = 30_000_000;
/// Interval between contacts outside the join phase.
const SEED_INTERVAL_US: u64 = 1_000_000;
/// Upper bound of the seeds contacted at one time.
const MAX_SEEDS_AT_ONCE: usize = 64;

impl Membership {
    /// Contacts seeds at whose addresses no member is present: all of them while no other member is present,
    /// otherwise a random one. Also contacts a random dead member, since a partition may have healed.
    pub(super) fn contact_seeds(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        if now_us < self.next_seed_contact_at_us {
            return;
        }
        let is_alone = self.table.present_others().next().is_none();
        let dead = self.dead_members();
        let mut seeds = self.vacant_seeds();
        let is_joining = is_alone && self.clock.uptime_us(now_us) < JOIN_PHASE_US;
        let interval_us = if is_joining {
            JOIN_INTERVAL_US
        } else {
            SEED_INTERVAL_US
        };
        self.next_seed_contact_at_us = now_us + interval_us;
        if !is_alone && !seeds.is_empty() {
            let index = self.rng.next_u32() as usize % seeds.len();
            seeds = vec![seeds[index]];
        }
        for address in seeds.into_iter().take(MAX_SEEDS_AT_ONCE) {
            self.contact_seed(now_us, address, outputs);
        }
        if !dead.is_empty() {
            let index = self.rng.next_u32() as usize % dead.len();
            self.send(now_us, &dead[index], DatagramContent::own_record(), outputs);
        }
    }

    /// Returns the seeds, other than this process, at whose addresses no member is present.
    fn vacant_seeds(&self) -> Vec<SocketAddr> {
        let occupied: Vec<SocketAddr> = self.table.present_others().map(|r| r.address).collect();
        let is_vacant =
            |seed: &&SocketAddr| **seed != self.config.advertise && !occupied.contains(seed);
        let seeds = self.config.seeds.iter();
        seeds.filter(is_vacant).copied().collect()
    }

    /// Returns the names of the dead members that have not left.
    fn dead_members(&self) -> Vec<String> {
        self.table
            .records()
            .filter(|record| !record.is_present() && record.phase != LifecyclePhase::Left)
            .map(|record| record.name.clone())
            .collect()
    }

    /// Sends this member's record to the address of an unknown member.
    fn contact_seed(&mut self, now_us: u64, address: SocketAddr, outputs: &mut Vec<Output>) {
        let header = self.header(0, 0);
        let mut writer = DatagramWriter::new(&header);
        if let Some(own) = self.table.entry(&self.config.name) {
            writer.add_member(member_update(own, now_us), 0);
        }
        self.transmit(now_us, address, writer, header, outputs);
    }
}
