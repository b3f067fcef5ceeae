//! When servers started, by the gateway's monotonic clock.
//!
//! Endpoint lists state a server's start by the wall clock, which may be stepped at any time. A stated start is translated
//! once, when it is first seen, into an age by the wall clock of that moment; from then on only monotonic time counts. A
//! start that cannot be true is replaced by one that suits slow start, but never makes a warm fleet unusable.

use crate::ports::{Endpoint, EndpointState};
use frosthatch_traffic_control::Micros;
use std::collections::HashMap;

/// How long a server may have been running before a list names it.
const MAX_DISCOVERY_DELAY_US: Micros = 2_500_000;
/// Beyond this, the servers that were listed longest ago are forgotten.
const MAX_SERVERS: usize = 16_384;
/// The start of a server that has been running for long, as the decisions represent it.
const LONG_AGO: Micros = 0;

#[derive(Clone, Copy, Debug)]
struct KnownStart {
    /// The start as the list stated it, Unix time in milliseconds.
    listed_start_ms: u64,
    /// By the gateway's monotonic clock.
    started_us: Micros,
    last_listed_us: Micros,
}

/// Where a list stands among those received by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrder {
    /// The servers were running before this process received any list.
    First,
    /// A server that is new in this list has started since the one before.
    Later,
}

/// The clocks and the list that start times are resolved by.
struct Context {
    now_us: Micros,
    wall_clock_us: Micros,
    order: ListOrder,
    /// Most servers of a first list state a start in the future.
    is_wall_clock_behind: bool,
}

/// The start times of the servers listed so far.
#[derive(Debug, Default)]
pub struct StartTimes {
    servers: HashMap<String, KnownStart>,
    last_list_us: Micros,
}

impl StartTimes {
    /// When each of these servers started, by the monotonic clock, in the order of `members`; [`LONG_AGO`] where no more
    /// than that is known or matters. `wall_clock_us`: the wall clock now, in microseconds since 1970.
    pub fn resolve(
        &mut self,
        now_us: Micros,
        wall_clock_us: Micros,
        order: ListOrder,
        members: &[Endpoint],
    ) -> Vec<Micros> {
        let context = Context {
            now_us,
            wall_clock_us,
            order,
            is_wall_clock_behind: order == ListOrder::First
                && most_starts_are_in_the_future(wall_clock_us, members),
        };
        let starts: Vec<Micros> = members
            .iter()
            .map(|member| self.resolve_one(&context, member))
            .collect();
        for (member, started_us) in members.iter().zip(&starts) {
            let known = KnownStart {
                listed_start_ms: member.started_ms,
                started_us: *started_us,
                last_listed_us: now_us,
            };
            self.servers.insert(member.uid.clone(), known);
        }
        self.last_list_us = now_us;
        self.evict_oldest();
        starts
    }

    fn resolve_one(&self, context: &Context, member: &Endpoint) -> Micros {
        match self.servers.get(&member.uid) {
            Some(known) if known.listed_start_ms == member.started_ms => known.started_us,
            known => self.translate(context, known, member),
        }
    }

    /// Translates a stated start that is seen for the first time. `known`: the server's start before this one.
    fn translate(
        &self,
        context: &Context,
        known: Option<&KnownStart>,
        member: &Endpoint,
    ) -> Micros {
        if member.started_ms == 0 {
            return LONG_AGO;
        }
        let listed_start_us = member.started_ms.saturating_mul(1_000);
        let Some(age_us) = context.wall_clock_us.checked_sub(listed_start_us) else {
            // A start in the future: the clocks differ by an unknown amount.
            return if context.is_wall_clock_behind {
                LONG_AGO
            } else {
                context.now_us
            };
        };
        // Not before the last list that stated another start, or that did not name the server.
        let earliest_us = match (known, context.order) {
            (Some(known), _) => known.last_listed_us,
            (None, ListOrder::Later) => self.last_list_us,
            (None, ListOrder::First) => 0,
        };
        context
            .now_us
            .saturating_sub(age_us)
            .max(earliest_us.saturating_sub(MAX_DISCOVERY_DELAY_US))
            .max(1)
    }

    fn evict_oldest(&mut self) {
        if self.servers.len() <= MAX_SERVERS {
            return;
        }
        let mut listed_us: Vec<Micros> = self.servers.values().map(|s| s.last_listed_us).collect();
        listed_us.sort_unstable();
        let oldest_retained_us = listed_us[listed_us.len() - MAX_SERVERS / 2];
        self.servers
            .retain(|_, server| server.last_listed_us >= oldest_retained_us);
    }
}

/// More than half of the ready servers state a start in the future: they are running, so the clock is wrong.
fn most_starts_are_in_the_future(wall_clock_us: Micros, members: &[Endpoint]) -> bool {
    let ready = members.iter().filter(|m| m.state == EndpointState::Ready);
    let in_the_future = ready
        .clone()
        .filter(|m| m.started_ms.saturating_mul(1_000) > wall_clock_us);
    in_the_future.count() * 2 > ready.count()
}

#[cfg(test)]
mod tests;
