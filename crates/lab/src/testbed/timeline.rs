//! Schedule of faults, read from a TOML file or generated from a seed.

use super::link::Faults;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use std::time::Duration;

/// Indices of processes.
type ProcessIndices = Vec<usize>;

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum TimelineAction {
    /// Cuts the links from each process of `from` to each of `to`; the opposite direction still works.
    Cut {
        from: ProcessIndices,
        to: ProcessIndices,
    },
    /// Partitions the processes: only those of the same group reach each other.
    Split { groups: Vec<ProcessIndices> },
    /// Sets the faults of all links.
    Links { faults: Faults },
    /// Removes all faults from all links.
    Heal,
    /// Kills processes with SIGKILL.
    Kill { who: ProcessIndices },
    /// Shuts processes down with SIGTERM.
    Leave { who: ProcessIndices },
    /// Suspends processes with SIGSTOP.
    Stop { who: ProcessIndices },
    /// Resumes processes with SIGCONT.
    Continue { who: ProcessIndices },
    /// Starts processes, each under the same name as before.
    Start { who: ProcessIndices },
}

/// An action and the time at which it is applied.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Step {
    /// Milliseconds since the start of the timeline.
    pub at_ms: u64,
    #[serde(flatten)]
    pub action: TimelineAction,
}

/// Steps in order of time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timeline {
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
}

impl Timeline {
    /// Reads a timeline for this number of processes.
    ///
    /// # Errors
    /// If the text is not a valid timeline, a step names a process that does not exist, or a step is earlier than the
    /// previous one.
    pub fn parse(text: &str, processes: usize) -> Result<Timeline, String> {
        let timeline: Timeline = toml::from_str(text).map_err(|e| e.to_string())?;
        let mut last = 0;
        for (n, step) in timeline.steps.iter().enumerate() {
            let error = |what: &str| Err(format!("step {}: {what}", n + 1));
            if step.at_ms < last {
                return error("at_ms is lower than in the previous step");
            }
            last = step.at_ms;
            if step
                .action
                .process_indices()
                .iter()
                .any(|process| *process >= processes)
            {
                return error("a process index is not below the number of processes");
            }
        }
        Ok(timeline)
    }

    /// Generates `faults` random faults, one per `interval`; each lasts half an interval and affects all links or
    /// up to a third of the processes, at least one. Killed processes are started again.
    pub fn generate(seed: u64, processes: usize, faults: usize, interval: Duration) -> Timeline {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut steps = Vec::new();
        let interval_ms = interval.as_millis() as u64;
        for n in 0..faults {
            let from_ms = (n as u64 + 1) * interval_ms;
            let to_ms = from_ms + interval_ms / 2;
            let mut pick = |max_count: usize| {
                let mut all: ProcessIndices = (0..processes).collect();
                for k in (1..all.len()).rev() {
                    all.swap(k, rng.next_u32() as usize % (k + 1));
                }
                let count = 1 + rng.next_u32() as usize % max_count.max(1);
                let mut picked = all.split_off(processes - count.min(processes - 1));
                picked.sort_unstable();
                picked
            };
            let who = pick(processes / 3);
            let others: ProcessIndices = (0..processes).filter(|p| !who.contains(p)).collect();
            let loss = Faults {
                loss: 0.3,
                jitter_ms: 200,
                ..Faults::default()
            };
            let (begin, end) = match rng.next_u32() % 5 {
                0 => (
                    TimelineAction::Cut {
                        from: who,
                        to: others,
                    },
                    TimelineAction::Heal,
                ),
                1 => (
                    TimelineAction::Split {
                        groups: vec![who, others],
                    },
                    TimelineAction::Heal,
                ),
                2 => (
                    TimelineAction::Kill { who: who.clone() },
                    TimelineAction::Start { who },
                ),
                3 => (
                    TimelineAction::Stop { who: who.clone() },
                    TimelineAction::Continue { who },
                ),
                _ => (TimelineAction::Links { faults: loss }, TimelineAction::Heal),
            };
            steps.push(Step {
                at_ms: from_ms,
                action: begin,
            });
            steps.push(Step {
                at_ms: to_ms,
                action: end,
            });
        }
        Timeline { steps }
    }
}

impl TimelineAction {
    /// Returns all processes that the action names.
    fn process_indices(&self) -> ProcessIndices {
        match self {
            TimelineAction::Cut { from, to } => [from.clone(), to.clone()].concat(),
            TimelineAction::Split { groups } => groups.concat(),
            TimelineAction::Links { .. } | TimelineAction::Heal => Vec::new(),
            TimelineAction::Kill { who }
            | TimelineAction::Leave { who }
            | TimelineAction::Stop { who }
            | TimelineAction::Continue { who }
            | TimelineAction::Start { who } => who.clone(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_timeline_is_read_and_its_errors_name_the_step() {
        let text = r#"
            [[step]]
            at_ms = 100
            do = "cut"
            from = [0]
            to = [1, 2]
            [[step]]
            at_ms = 200
            do = "links"
            faults = { loss = 0.3, jitter_ms = 200 }
            [[step]]
            at_ms = 200
            do = "heal"
        "#;
        let t = Timeline::parse(text, 3).expect("the timeline is valid");
        assert_eq!(
            t.steps[0].action,
            TimelineAction::Cut {
                from: vec![0],
                to: vec![1, 2]
            }
        );
        assert_eq!(t.steps.len(), 3);
        assert!(Timeline::parse(text, 2)
            .expect_err("process 2 does not exist")
            .contains("step 1"));
        let out_of_order = text.replace("at_ms = 100", "at_ms = 300");
        assert!(Timeline::parse(&out_of_order, 3)
            .expect_err("step 2 is earlier than step 1")
            .contains("step 2"));
        assert!(Timeline::parse(&text.replace("jitter_ms", "jiter_ms"), 3).is_err());
        assert!(Timeline::parse(&text.replace("\"heal\"", "\"hail\""), 3).is_err());
    }

    #[test]
    fn a_seed_is_reproducible_and_every_fault_ends() {
        let generate = |seed| Timeline::generate(seed, 9, 40, Duration::from_secs(2));
        assert_eq!(generate(5), generate(5));
        assert_ne!(generate(5), generate(6));
        let t = generate(5);
        assert!(t.steps.windows(2).all(|w| w[0].at_ms <= w[1].at_ms));
        let count =
            |f: fn(&TimelineAction) -> bool| t.steps.iter().filter(|s| f(&s.action)).count();
        assert_eq!(
            count(|a| matches!(a, TimelineAction::Kill { .. })),
            count(|a| matches!(a, TimelineAction::Start { .. }))
        );
        assert_eq!(
            count(|a| matches!(a, TimelineAction::Stop { .. })),
            count(|a| matches!(a, TimelineAction::Continue { .. }))
        );
        assert!(count(|a| matches!(a, TimelineAction::Heal)) > 0);
    }
}
