//! Anti-entropy: periodic comparison of the whole table with that of a random other member, which makes up for disseminations
//! that were lost.

use super::output::Output;
use super::send::DatagramContent;
use super::state::Membership;
use crate::wire::MemberUpdate;
use rand_pcg::rand_core::RngCore;

/// Interval between comparisons.
const SYNC_INTERVAL_US: u64 = 500_000;
/// Upper bound of the datagrams that answer a comparison.
const MAX_SYNC_DATAGRAMS: usize = 8;

impl Membership {
    /// Sends the digests of the table to a random other member, if it is time to.
    pub(super) fn start_sync(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        if now_us < self.next_sync_at_us {
            return;
        }
        self.next_sync_at_us = now_us + SYNC_INTERVAL_US;
        let others = self.table.present_others().count();
        if others == 0 {
            return;
        }
        let index = self.rng.next_u32() as usize % others;
        let mut present_others = self.table.present_others();
        let Some(name) = present_others.nth(index).map(|record| record.name.clone()) else {
            return;
        };
        drop(present_others);
        let content = DatagramContent {
            bucket_digests: self.table.bucket_digests(),
            wants_digests: true,
            ..DatagramContent::default()
        };
        self.send(now_us, &name, content, outputs);
    }

    /// Sends the members that differ, beginning with a random one: of a large table, each comparison gets another part.
    pub(super) fn send_differing(
        &mut self,
        now_us: u64,
        to: &str,
        mut differing: Vec<MemberUpdate>,
        includes_digests: bool,
        outputs: &mut Vec<Output>,
    ) {
        if differing.is_empty() {
            return;
        }
        let first = self.rng.next_u32() as usize % differing.len();
        differing.rotate_left(first);
        let mut remaining = differing.into_iter().peekable();
        for n in 0..MAX_SYNC_DATAGRAMS {
            if remaining.peek().is_none() {
                return;
            }
            let bucket_digests = if includes_digests && n == 0 {
                self.table.bucket_digests()
            } else {
                Vec::new()
            };
            let content = DatagramContent {
                bucket_digests,
                members: Some(&mut remaining),
                ..DatagramContent::default()
            };
            self.send(now_us, to, content, outputs);
        }
    }
}
