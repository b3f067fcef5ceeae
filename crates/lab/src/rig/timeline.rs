//! What goes wrong when: from a TOML file, or drawn from a seed.

use super::link::Faults;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use std::time::Duration;

/// Processes by their numbers.
type Who = Vec<usize>;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// From each of these nothing reaches those; the other way it does.
    Cut {
        from: Who,
        to: Who,
    },
    /// Only those of one group reach each other.
    Split {
        groups: Vec<Who>,
    },
    /// All links are as this says.
    Links {
        faults: Faults,
    },
    /// All links are whole again.
    Heal,
    /// SIGKILL.
    Kill {
        who: Who,
    },
    /// SIGTERM.
    Leave {
        who: Who,
    },
    /// SIGSTOP, SIGCONT.
    Stop {
        who: Who,
    },
    Continue {
        who: Who,
    },
    /// Started, under the same name if it ran before.
    Start {
        who: Who,
    },
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Step {
    pub at_ms: u64,
    #[serde(flatten)]
    pub act: Act,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timeline {
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
}

impl Timeline {
    /// # Errors
    /// What cannot be read; a process that is not there; a time before that of the step above it.
    pub fn read(text: &str, processes: usize) -> Result<Timeline, String> {
        let timeline: Timeline = toml::from_str(text).map_err(|e| e.to_string())?;
        let mut last = 0;
        for (n, step) in timeline.steps.iter().enumerate() {
            let wrong = |what: &str| Err(format!("step {}: {what}", n + 1));
            if step.at_ms < last {
                return wrong("it is before the one above it");
            }
            last = step.at_ms;
            if step.act.named().iter().any(|who| *who >= processes) {
                return wrong("it names a process that is not there");
            }
        }
        Ok(timeline)
    }

    /// Faults one after another, each over before the next: so many, `every` apart and of half that length. Processes that
    /// were killed come back.
    pub fn draw(seed: u64, processes: usize, faults: usize, every: Duration) -> Timeline {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut steps = Vec::new();
        let every_ms = every.as_millis() as u64;
        for n in 0..faults {
            let from = (n as u64 + 1) * every_ms;
            let to = from + every_ms / 2;
            let mut some = |most: usize| {
                let mut all: Who = (0..processes).collect();
                for k in (1..all.len()).rev() {
                    all.swap(k, rng.next_u32() as usize % (k + 1));
                }
                let many = 1 + rng.next_u32() as usize % most.max(1);
                let mut some = all.split_off(processes - many.min(processes - 1));
                some.sort_unstable();
                some
            };
            let who = some(processes / 3);
            let rest: Who = (0..processes).filter(|p| !who.contains(p)).collect();
            let loss = Faults {
                loss: 0.3,
                jitter_ms: 200,
                ..Faults::default()
            };
            let (begin, end) = match rng.next_u32() % 5 {
                0 => (
                    Act::Cut {
                        from: who,
                        to: rest,
                    },
                    Act::Heal,
                ),
                1 => (
                    Act::Split {
                        groups: vec![who, rest],
                    },
                    Act::Heal,
                ),
                2 => (Act::Kill { who: who.clone() }, Act::Start { who }),
                3 => (Act::Stop { who: who.clone() }, Act::Continue { who }),
                _ => (Act::Links { faults: loss }, Act::Heal),
            };
            steps.push(Step {
                at_ms: from,
                act: begin,
            });
            steps.push(Step {
                at_ms: to,
                act: end,
            });
        }
        Timeline { steps }
    }
}

impl Act {
    fn named(&self) -> Who {
        match self {
            Act::Cut { from, to } => [from.clone(), to.clone()].concat(),
            Act::Split { groups } => groups.concat(),
            Act::Links { .. } | Act::Heal => Vec::new(),
            Act::Kill { who }
            | Act::Leave { who }
            | Act::Stop { who }
            | Act::Continue { who }
            | Act::Start { who } => who.clone(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_is_read_and_its_mistakes_are_told() {
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
        let t = Timeline::read(text, 3).expect("it is in order");
        assert_eq!(
            t.steps[0].act,
            Act::Cut {
                from: vec![0],
                to: vec![1, 2]
            }
        );
        assert_eq!(t.steps.len(), 3);
        assert!(Timeline::read(text, 2)
            .expect_err("who is 2?")
            .contains("step 1"));
        let back = text.replace("at_ms = 100", "at_ms = 300");
        assert!(Timeline::read(&back, 3)
            .expect_err("it goes back")
            .contains("step 2"));
        assert!(Timeline::read(&text.replace("jitter_ms", "jiter_ms"), 3).is_err());
        assert!(Timeline::read(&text.replace("\"heal\"", "\"hail\""), 3).is_err());
    }

    #[test]
    fn a_seed_draws_the_same_again_and_what_it_breaks_it_mends() {
        let draw = |seed| Timeline::draw(seed, 9, 40, Duration::from_secs(2));
        assert_eq!(draw(5), draw(5));
        assert_ne!(draw(5), draw(6));
        let t = draw(5);
        assert!(t.steps.windows(2).all(|w| w[0].at_ms <= w[1].at_ms));
        let count = |f: fn(&Act) -> bool| t.steps.iter().filter(|s| f(&s.act)).count();
        assert_eq!(
            count(|a| matches!(a, Act::Kill { .. })),
            count(|a| matches!(a, Act::Start { .. }))
        );
        assert_eq!(
            count(|a| matches!(a, Act::Stop { .. })),
            count(|a| matches!(a, Act::Continue { .. }))
        );
        assert!(count(|a| matches!(a, Act::Heal)) > 0);
    }
}
