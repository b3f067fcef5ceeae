//! Finding other members: by the configured seeds, and by trying those that are considered dead.

use super::output::Output;
use super::send::{member_update, DatagramContent};
use super::state::Membership;
use crate::record::LifecyclePhase;
use crate::wire::DatagramWriter;
use rand_pcg::rand_core::RngCore;
use std::net::SocketAddr;

/// Interval between attempts while no other member is known, for some time after the start.
const JOIN_INTERVAL_US: u64 = 250_000;
/// How long after the start that interval holds.
const JOIN_PHASE_US: u64 = 30_000_000;
/// Interval between attempts otherwise.
const SEED_INTERVAL_US: u64 = 1_000_000;
/// Upper bound of the seeds contacted at once.
const MAX_SEEDS_AT_ONCE: usize = 64;

impl Membership {
    /// Contacts all seeds while no other member is present, otherwise one at which none is; and one member that is considered dead,
    /// since a partition may have healed.
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

    /// Seeds but this process, at whose address no present member is.
    fn vacant_seeds(&self) -> Vec<SocketAddr> {
        let occupied: Vec<SocketAddr> = self.table.present_others().map(|r| r.address).collect();
        let is_vacant =
            |seed: &&SocketAddr| **seed != self.config.advertise && !occupied.contains(seed);
        let seeds = self.config.seeds.iter();
        seeds.filter(is_vacant).copied().collect()
    }

    /// Names of the members that are considered dead and have not left.
    fn dead_members(&self) -> Vec<String> {
        self.table
            .records()
            .filter(|record| !record.is_present() && record.phase != LifecyclePhase::Left)
            .map(|record| record.name.clone())
            .collect()
    }

    /// Sends this member's record to an address whose member is not known.
    fn contact_seed(&mut self, now_us: u64, address: SocketAddr, outputs: &mut Vec<Output>) {
        let header = self.header(0, 0);
        let mut writer = DatagramWriter::new(&header);
        if let Some(own) = self.table.entry(&self.config.name) {
            writer.add_member(member_update(own, now_us), 0);
        }
        self.transmit(now_us, address, writer, header, outputs);
    }
}
