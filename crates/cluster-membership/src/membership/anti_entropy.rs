//! Anti-entropy: periodic comparison of the whole member table with that of a random other member, which repairs the
//! effect of lost disseminations.

use super::output::Output;
use super::send::DatagramContent;
use super::state::Membership;
use crate::wire::MemberUpdate;
use rand_pcg::rand_core::RngCore;

/// Interval between table comparisons started by this member.
const COMPARISON_INTERVAL_US: u64 = 500_000;
/// Upper bound of the datagrams in reply to one table comparison.
const MAX_COMPARISON_REPLY_DATAGRAMS: usize = 8;

impl Membership {
    /// Sends the digests of the table to a random other member, if a comparison is due.
    pub(super) fn start_table_comparison(&mut self, now_us: u64, outputs: &mut Vec<Output>) {
        if now_us < self.next_comparison_at_us {
            return;
        }
        self.next_comparison_at_us = now_us + COMPARISON_INTERVAL_US;
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

    /// Sends the differing members, starting with a random one, so that successive comparisons of a large table cover
    /// different members. The first datagram also carries this member's digests if `includes_digests`.
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
        for n in 0..MAX_COMPARISON_REPLY_DATAGRAMS {
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
