//! What gateways choose by each other's word: carries the view of the fleet and what is said of servers between members and decisions. No
//! rules here but when a view is steady enough to go by.

use frosthatch_cluster_membership::driver::MembershipHandle;
use frosthatch_cluster_membership::Membership;
use frosthatch_engine::Engine;
use frosthatch_traffic_control::HealthReports;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

/// How often is looked what is new.
const LOOK: Duration = Duration::from_millis(100);
/// One that came is gone by once the view has stayed for so long; one that went at once.
const STEADY_US: u64 = 300_000;
/// Names of the figures by which members tell of servers: how many they use, and each server's key behind this.
const USES: &str = "uses";
const OF_SERVER: &str = "s:";
/// Parts of what failed are told in steps of this, so that chance is no news.
const STEP: f64 = 0.1;
const AGAIN_US: u64 = 1_000_000;

/// By name: value, and when it was found out.
type Figures = BTreeMap<String, (f64, u64)>;

/// Members by whose number servers are dealt out, and what was told and heard so far.
#[derive(Default)]
struct Known {
    gateways: Vec<u32>,
    /// Of the view that they are of.
    digest: Option<u64>,
    heard: BTreeMap<String, u64>,
    told: Figures,
}

/// Numbers of the ready members.
fn ready(fleet: &Membership) -> Vec<u32> {
    let names: Vec<&str> = fleet.ready().into_iter().map(|(.., name)| name).collect();
    let of = fleet
        .members()
        .filter(|m| names.contains(&m.record.name.as_str()));
    let mut numbers: Vec<u32> = of.map(|m| u32::from(m.record.number)).collect();
    numbers.sort_unstable();
    numbers
}

/// What a member's figures say of servers.
fn words(facts: impl Iterator<Item = (String, f64, u64)>) -> HealthReports {
    let mut words = HealthReports::default();
    for (name, value, at) in facts {
        if name == USES {
            words.uses = value as usize;
        } else if let Some(Ok(key)) = name
            .strip_prefix(OF_SERVER)
            .map(|k| u64::from_str_radix(k, 16))
        {
            words.of.push((key, value, at));
        }
    }
    words
}

/// The figures that tell it.
fn figures(words: &HealthReports) -> Figures {
    let step = |errors: f64| (errors / STEP).round() * STEP;
    let of = words
        .of
        .iter()
        .map(|(key, errors, at)| (format!("{OF_SERVER}{key:016x}"), (step(*errors), *at)));
    // Nothing is said of servers: then nobody needs to know how many there are.
    let uses = (!words.of.is_empty()).then(|| (USES.to_string(), (words.uses as f64, 0)));
    of.chain(uses).collect()
}

impl Known {
    /// What the decisions are to go by from now on, if that is new.
    fn view(&mut self, now: u64, fleet: &Membership) -> Option<Vec<u32>> {
        // With hundreds of members the list is made only where it is another.
        if self.digest == Some(fleet.view().digest) {
            return None;
        }
        let ready = ready(fleet);
        let came = ready.iter().any(|g| !self.gateways.contains(g));
        let steady = now.saturating_sub(fleet.view().since) >= STEADY_US;
        if came && !steady {
            return None;
        }
        self.digest = Some(fleet.view().digest);
        (ready != self.gateways).then(|| {
            self.gateways = ready;
            self.gateways.clone()
        })
    }

    /// What members say that have said something new, by their numbers.
    fn said(&mut self, fleet: &Membership) -> Vec<(u32, HealthReports)> {
        let mut new = Vec::new();
        for m in fleet.members().filter(|m| m.record.name != fleet.me().name) {
            let Some(facts) = fleet.gauges(&m.record.name) else {
                continue;
            };
            let heard = self.heard.entry(m.record.name.clone()).or_default();
            if *heard != facts.version {
                *heard = facts.version;
                let all = facts
                    .all()
                    .map(|(name, value, at)| (name.to_string(), value, at));
                new.push((u32::from(m.record.number), words(all)));
            }
        }
        self.heard.retain(|name, _| fleet.gauges(name).is_some());
        new
    }

    /// Figures that are told no more, and those to tell now. That a figure stands is told again with the next second.
    fn tell(&mut self, words: &HealthReports) -> (Vec<String>, Figures) {
        let figures = figures(words);
        let (kept, gone) = std::mem::take(&mut self.told)
            .into_iter()
            .partition(|(name, _)| figures.contains_key(name));
        self.told = kept;
        let stands =
            |told: &(f64, u64), is: &(f64, u64)| told.0 == is.0 && is.1 < told.1 + AGAIN_US;
        let mut new = figures;
        new.retain(|name, figure| !self.told.get(name).is_some_and(|told| stands(told, figure)));
        self.told
            .extend(new.iter().map(|(name, figure)| (name.clone(), *figure)));
        let gone: Figures = gone;
        (gone.into_keys().collect(), new)
    }
}

/// For good.
pub async fn run(member: Rc<MembershipHandle>, engine: Rc<Engine>) {
    let mut ticks = interval(LOOK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut known = Known::default();
    loop {
        ticks.tick().await;
        let view = member.with(|f| known.view(engine.now(), f));
        view.into_iter()
            .for_each(|gateways| engine.set_gateways(gateways));
        for (from, words) in member.with(|f| known.said(f)) {
            engine.record_health_reports(from, words);
        }
        let (gone, new) = known.tell(&engine.health_reports());
        gone.iter().for_each(|name| member.clear_fact(name));
        for (name, (value, at)) in new {
            member.set_fact_of(at, &name, value);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_is_new_is_told() {
        let mut known = Known::default();
        let says = |errors, at| HealthReports {
            uses: 5,
            of: vec![(3, errors, at)],
        };
        assert_eq!(known.tell(&says(0.5, 7)).1.len(), 2);
        assert_eq!(known.tell(&says(0.52, 8)), (vec![], Figures::new()));
        assert_eq!(known.tell(&says(0.5, 7 + AGAIN_US)).1.len(), 1);
        assert_eq!(
            known
                .tell(&says(0.2, 9 + AGAIN_US))
                .1
                .into_values()
                .next()
                .map(|f| f.0),
            Some(0.2)
        );
        assert_eq!(known.tell(&HealthReports::default()).0.len(), 2);
        assert_eq!(
            known.tell(&HealthReports::default()),
            (vec![], Figures::new())
        );
    }

    #[test]
    fn what_is_told_is_what_is_heard() {
        let said = HealthReports {
            uses: 12,
            of: vec![(3, 0.9, 7), (u64::MAX, 0.04, 9)],
        };
        let figures = figures(&said);
        assert!(figures
            .keys()
            .all(|name| name.len() <= frosthatch_cluster_membership::gauges::MOST_NAME));
        let heard = words(
            figures
                .into_iter()
                .map(|(name, (value, at))| (name, value, at)),
        );
        assert_eq!(
            heard,
            HealthReports {
                uses: 12,
                of: vec![(3, 0.9, 7), (u64::MAX, 0.0, 9)]
            }
        );
        assert!(super::figures(&HealthReports {
            uses: 3,
            of: Vec::new()
        })
        .is_empty());
        // What others tell of for other ends, or garbled, is none of it.
        let other =
            [("policy", 3.0), ("s:", 1.0), ("s:xyz", 1.0)].map(|(n, v)| (n.to_string(), v, 1));
        assert_eq!(words(other.into_iter()), HealthReports::default());
    }
}
