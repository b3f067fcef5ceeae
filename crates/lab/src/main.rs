//! Command line of the lab: runs the demo, the scenarios and the soak.
#![expect(clippy::single_match_else)]

use clap::{Parser, Subcommand};
use frosthatch_lab::figures::Figures;
use frosthatch_lab::{
    choices, choices_size, counter_faults, demo, diameter, dns_sd, members, members_size,
    membership_size, plugins, policy, policy_size, quota_links, site, soak, upgrade,
};
use std::process::ExitCode;
use std::time::Duration;

/// Runs installations of gateways, servers, endpoint list agent and shared counter on the loopback interface.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Cmd,
}

#[derive(Subcommand)]
enum Cmd {
    /// Runs an installation for about 15 s and prints one line per second; one server crashes and a cold one joins.
    Demo,
    /// Lists the scenarios.
    List,
    /// Runs a randomized soak of real gateways with several concurrent faults; exits with code 1 if a rule was violated.
    Soak {
        /// First seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Number of gateways (2 to 40).
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=40))]
        gateways: u64,
        /// Duration of fault injection per seed, in seconds (5 to 3600).
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=3600))]
        seconds: u64,
        /// Prints the figures as one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Runs a scenario; exits with code 1 if a figure violates its limit.
    Run {
        /// Name of the scenario, as printed by `list`.
        name: String,
        /// Prints the figures as one JSON object.
        #[arg(long)]
        json: bool,
        /// Duration of each phase of the scenario in seconds (5 to 3600); overrides the scenario's default.
        #[arg(long, value_parser = clap::value_parser!(u64).range(5..=3600))]
        seconds: Option<u64>,
    },
}

/// Runs a scenario; the first argument overrides the duration of its phases in seconds.
type ScenarioFn = fn(Option<u64>, &mut Figures);

/// Name, description and entry point of each scenario.
const SCENARIOS: [(&str, &str, ScenarioFn); 14] = [
    ("dns-sd", "500 requests/s while DNS-SD records change, with polling and with push", dns_sd::run),
    (
        "diameter",
        "500 credit-control requests/s while servers stop answering, drain and restart",
        diameter::run,
    ),
    (
        "counter-faults",
        "quota enforcement while the shared counter is lost, split, replaced, slow or wrong",
        counter_faults::run,
    ),
    ("members", "16 gateways that join, leave, crash, are paused, partitioned and replaced", members::run),
    (
        "members-size",
        "4 to 1,000 members in virtual time: failure detection, false positives, traffic",
        members_size::run,
    ),
    (
        "quota-links",
        "quota enforcement by usage exchanged between gateways while links fail and processes crash",
        quota_links::run,
    ),
    (
        "choices",
        "12 gateways and 60 servers: failing servers, crashed and partitioned gateways, false health reports",
        choices::run,
    ),
    (
        "choices-size",
        "300 gateways with 200 servers and 64 with 5,000 in virtual time: load spread, failures, a rollout",
        choices_size::run,
    ),
    (
        "policy",
        "9 gateways and 40 policy changes with each of five seeds, with faults during the changes",
        policy::run,
    ),
    (
        "policy-size",
        "policy consensus of 300 members in virtual time: bytes, datagrams, duration of a change",
        policy_size::run,
    ),
    ("power-loss", "all gateways killed during writes: policies reported as in force must survive", policy::power_loss),
    ("plugins", "a stuck plug-in beside 500 requests/s, and the cost of plug-ins", plugins::run),
    ("upgrade", "500 requests/s while processes are upgraded and half of the starts fail", upgrade::run),
    ("membership-size", "CPU cost of an endpoint change and of a request with 10 to 5,000 servers", membership_size::run),
];

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        Cmd::List => {
            SCENARIOS
                .iter()
                .for_each(|(name, description, _)| println!("{name:20} {description}"));
            ExitCode::SUCCESS
        }
        Cmd::Demo => run_scenario(demo::run, false),
        Cmd::Soak {
            seed,
            seeds,
            gateways,
            seconds,
            json,
        } => {
            let soak = |figures: &mut Figures| {
                for seed in seed..seed + seeds {
                    let mut parameters = soak::SoakParameters::new(seed);
                    parameters.gateways = gateways as usize;
                    parameters.per_s = 20.0 * gateways as f64;
                    parameters.length = Duration::from_secs(seconds);
                    soak::run(&parameters, figures);
                }
            };
            run_scenario(soak, json)
        }
        Cmd::Run {
            name,
            json,
            seconds,
        } => {
            match SCENARIOS.iter().find(|(n, ..)| *n == name) {
                Some((_, _, scenario)) => run_scenario(|figures| scenario(seconds, figures), json),
                None => {
                    eprintln!("frosthatch-lab: unknown scenario {name:?}; `list` prints the scenario names");
                    ExitCode::from(2)
                }
            }
        }
    }
}

fn run_scenario(scenario: impl FnOnce(&mut Figures), json: bool) -> ExitCode {
    if let Err(e) = site::build_gateway() {
        eprintln!("frosthatch-lab: {e}");
        return ExitCode::from(2);
    }
    site::interrupt_on_signal();
    let mut figures = Figures::new(json);
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| scenario(&mut figures)));
    match result {
        Ok(()) => figures.finish(),
        Err(e) if e.is::<site::Interrupted>() => ExitCode::from(130),
        Err(_) => ExitCode::FAILURE,
    }
}
