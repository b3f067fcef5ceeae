//! One gateway's state. What it decides stands in `policy`.

use crate::calls::{Calls, FEW};
use crate::count::Counting;
use crate::count_clock::CountClock;
use crate::customer::{Customer, Quota};
use crate::decayed::Decayed;
use crate::fleet::Fleet;
use crate::interface::{LeaseState, Micros, RequestId, Settings, SettingsError};
use crate::ledger::CounterWatch;
use crate::pace::Pace;
use crate::peers::Peers;
use crate::request::Pending;
use crate::subset::Subset;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// A class of one plan: what the paper calls a service.
#[derive(Clone, Default)]
pub(crate) struct Cell {
    pub fraction: f64,
    pub arrivals: f64,
    pub admitted: f64,
    pub admitted_rate: f64, // admitted a second in the last interval, as peers are told
}

/// One gateway's whole state.
pub struct Gateway {
    pub(crate) set: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    pub(crate) cells: Vec<Cell>,
    pub(crate) pace: Pace,
    pub(crate) customers: BTreeMap<u32, Customer>,
    pub(crate) calls: Calls,
    pub(crate) odds: Vec<[Decayed; 2]>, // by plan: asks answered of late without room, and with
    pub(crate) quotas: Vec<Quota>,
    pub(crate) counting: Counting,
    pub(crate) count_clock: CountClock,
    pub(crate) watch: CounterWatch,
    pub(crate) peers: Peers,
    pub(crate) fleet: Fleet,
    pub(crate) requests: BTreeMap<RequestId, Pending>,
    pub(crate) waiting: BTreeSet<RequestId>,
    pub(crate) retry_tokens: f64,
    pub(crate) standing: LeaseState,
    pub(crate) settles: Option<Micros>, // till then the smaller of two terms holds
    pub(crate) started: Option<Micros>,
}

impl Gateway {
    /// A gateway with nothing known yet. `seed` is its only source of chance.
    /// # Errors
    /// Settings that make no sense; the text says what to correct.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.validate()?;
        let cells = vec![
            Cell {
                fraction: 1.0,
                ..Cell::default()
            };
            set.classes.len() * set.plans.len()
        ];
        let pace = Pace::new(&set.classes);
        Ok(Gateway {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            quotas: Quota::all(&set, pace.attempt_s, FEW),
            odds: vec![Default::default(); set.plans.len()],
            calls: Calls::new(set.gateways, set.usage_report_ttl_us == 0),
            peers: Peers::new(cells.len()),
            fleet: Fleet::new(Subset::new(set.me, set.gateways)),
            cells,
            pace,
            customers: BTreeMap::new(),
            counting: Counting::default(),
            count_clock: CountClock::default(),
            watch: CounterWatch::default(),
            requests: BTreeMap::new(),
            waiting: BTreeSet::new(),
            retry_tokens: set.retries.max_saved,
            standing: LeaseState::Held,
            settles: None,
            started: None,
            set,
        })
    }
}
