//! The lab's command line.
#![expect(clippy::single_match_else)]

use clap::{Parser, Subcommand};
use frosthatch_lab::figures::Figures;
use frosthatch_lab::{
    choices, choices_size, counter_faults, demo, diameter, dns_sd, members, members_size,
    membership_size, plugins, policy, policy_size, quota_links, site, soak, upgrade,
};
use std::process::ExitCode;
use std::time::Duration;

/// Brings up an installation of gateways, servers, list agent and counter on this machine's loopback.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Cmd,
}

#[derive(Subcommand)]
enum Cmd {
    /// An installation for some 15 s: a line a second, a server that dies and a cold one that comes.
    Demo,
    /// Names the scenarios.
    List,
    /// A randomized soak with real gateways and several troubles at a time; exit code 1 if a rule was broken.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// So many seeds, one after another.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Gateways (2 to 40).
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=40))]
        gateways: u64,
        /// How long troubles go on in each, in seconds.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=3600))]
        seconds: u64,
        /// Figures as JSON, one object.
        #[arg(long)]
        json: bool,
    },
    /// Plays a scenario; exit code 1 if what it must show does not hold.
    Run {
        /// Its name, as `list` tells.
        name: String,
        /// Figures as JSON, one object.
        #[arg(long)]
        json: bool,
        /// How long each part of it lasts, in seconds (5 to 3600), in place of its own time.
        #[arg(long, value_parser = clap::value_parser!(u64).range(5..=3600))]
        seconds: Option<u64>,
    },
}

/// Plays a scenario for that many seconds, if given.
type Play = fn(Option<u64>, &mut Figures);

/// The scenarios: name, what each shows, and how it is played.
const SCENARIOS: [(&str, &str, Play); 14] = [
    ("dns-sd", "500 requests/s while DNS-SD records change, asked for and pushed", dns_sd::play),
    (
        "diameter",
        "500 credit-control requests/s while servers fall silent, drain and restart",
        diameter::play,
    ),
    (
        "counter-faults",
        "quotas while the shared counter is lost, split, replaced, late or wrong",
        counter_faults::play,
    ),
    ("members", "16 gateways that join, leave, die, are stopped, cut off and replaced", members::play),
    (
        "members-size",
        "4 to 1,000 members in virtual time: detection, false accusations, bytes",
        members_size::play,
    ),
    (
        "quota-links",
        "quotas by the gateways' own word while links are cut and processes die",
        quota_links::play,
    ),
    (
        "choices",
        "12 gateways that choose among 60 servers: bad ones, gateways gone, cut off and lying",
        choices::play,
    ),
    (
        "choices-size",
        "300 gateways by 200 servers and 64 by 5,000 in virtual time: use, bad servers, deaths, a release",
        choices_size::play,
    ),
    (
        "policy",
        "9 gateways, 40 changes of policy by each of five seeds, and what goes wrong meanwhile",
        policy::play,
    ),
    (
        "policy-size",
        "the agreement of 300 members in virtual time: bytes, datagrams, how long a change takes",
        policy_size::play,
    ),
    ("power-loss", "all gateways killed within writes, and what was told as in force", policy::power_loss),
    ("plugins", "a stuck plug-in beside 500 requests/s, and what plug-ins cost", plugins::play),
    ("upgrade", "500 requests/s while processes are replaced, half of the starts failing", upgrade::play),
    ("membership-size", "what a change and a request cost at 10 to 5,000 servers", membership_size::play),
];

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        Cmd::List => {
            SCENARIOS
                .iter()
                .for_each(|(name, shows, _)| println!("{name:20} {shows}"));
            ExitCode::SUCCESS
        }
        Cmd::Demo => play(demo::play, false),
        Cmd::Soak {
            seed,
            seeds,
            gateways,
            seconds,
            json,
        } => {
            let soak = |figures: &mut Figures| {
                for seed in seed..seed + seeds {
                    let mut plan = soak::Plan::new(seed);
                    plan.gateways = gateways as usize;
                    plan.per_s = 20.0 * gateways as f64;
                    plan.length = Duration::from_secs(seconds);
                    soak::play(&plan, figures);
                }
            };
            play(soak, json)
        }
        Cmd::Run {
            name,
            json,
            seconds,
        } => match SCENARIOS.iter().find(|(n, ..)| *n == name) {
            Some((_, _, scenario)) => play(|figures| scenario(seconds, figures), json),
            None => {
                eprintln!("frosthatch-lab: no scenario {name:?}; `list` names them");
                ExitCode::from(2)
            }
        },
    }
}

fn play(scenario: impl FnOnce(&mut Figures), json: bool) -> ExitCode {
    if let Err(e) = site::build() {
        eprintln!("frosthatch-lab: {e}");
        return ExitCode::from(2);
    }
    site::end_on_signal();
    let mut figures = Figures::new(json);
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| scenario(&mut figures)));
    match played {
        Ok(()) => figures.finish(),
        Err(e) if e.is::<site::Interrupted>() => ExitCode::from(130),
        Err(_) => ExitCode::FAILURE,
    }
}
