//! Reads the `[policy]` table.

use frosthatch_cluster_membership::MemberRecord;
use frosthatch_config_reader::{ConfigReader, TableReader};
use frosthatch_policy_consensus::node::LeaseLossPolicy;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum number of acceptors. Seven tolerate three faults; more would make each change and each lease more
/// expensive without tolerating a useful number of further faults.
const MAX_ACCEPTORS: usize = 7;
const ACCEPTORS_HINT: &str =
    "write the names of members, an odd number of them, best three or five";

/// Configuration of the agreement on one policy.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyConfig {
    /// Names of the members that act as acceptors.
    pub acceptors: Vec<String>,
    /// Directory of the acceptor's state, if this member is an acceptor.
    pub state_directory: Option<PathBuf>,
    /// Duration of a lease.
    pub lease: Duration,
    /// Maximum drift of a clock, fast or slow, in thousandths.
    pub clock_drift_permille: u64,
    /// How requests are treated without a lease.
    pub lease_loss_policy: LeaseLossPolicy,
    /// Time after which a proposal without an outcome is abandoned.
    pub proposal_timeout: Duration,
    /// File in which each admitted request is recorded with its policy.
    pub audit: Option<PathBuf>,
    /// Thousandths by which this gateway's clock runs fast (negative: slow); for tests, in debug builds only.
    pub clock_skew_permille: i64,
    /// Step at which this process aborts; for tests, in debug builds only.
    pub crash_point: Option<CrashPoint>,
}

/// A step before which the process aborts.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashPoint {
    /// The step's name.
    pub step: String,
    /// Number of times that the step is passed before the process aborts.
    pub passes: u64,
}

pub(super) fn read(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
) -> PolicyConfig {
    let acceptors = read_acceptors(reader, &mut table);
    let state_directory = table
        .read_string(reader, "folder")
        .map(|path| folder.join(path));
    let lease = table.read_milliseconds(reader, "lease_ms", 200..=60_000, Duration::from_secs(1));
    let clock_drift_permille = table
        .read_integer(reader, "drift", 0..=100, 10)
        .unsigned_abs();
    let lease_loss_policy = read_lease_loss_policy(reader, &mut table);
    let proposal_timeout = table.read_milliseconds(
        reader,
        "patience_ms",
        500..=600_000,
        Duration::from_secs(10),
    );
    let audit = table
        .read_string(reader, "audit")
        .map(|path| folder.join(path));
    let (clock_skew_permille, crash_point) = if cfg!(debug_assertions) {
        read_test_keys(reader, &mut table)
    } else {
        (0, None)
    };
    table.finish(reader);
    PolicyConfig {
        acceptors,
        state_directory,
        lease,
        clock_drift_permille,
        lease_loss_policy,
        proposal_timeout,
        audit,
        clock_skew_permille,
        crash_point,
    }
}

fn read_acceptors(reader: &mut ConfigReader, table: &mut TableReader) -> Vec<String> {
    let names = table.read_strings(reader, "keepers", 1..=MAX_ACCEPTORS, ACCEPTORS_HINT);
    let is_name = |name: &&str| !name.is_empty() && MemberRecord::is_plain(name);
    let has_duplicate = (1..names.len()).any(|n| names[..n].contains(&names[n]));
    if has_duplicate || !names.iter().all(is_name) {
        reader.report(
            table.span_of("keepers"),
            "policy.keepers has a name twice or an invalid name",
            ACCEPTORS_HINT,
        );
    }
    names.into_iter().map(String::from).collect()
}

fn read_lease_loss_policy(reader: &mut ConfigReader, table: &mut TableReader) -> LeaseLossPolicy {
    let grace =
        table.read_milliseconds(reader, "grace_ms", 0..=86_400_000, Duration::from_secs(10));
    let choices = ["refuse", "stricter", "serve"];
    match table.read_choice(reader, "on_lost", &choices, "refuse") {
        "stricter" => LeaseLossPolicy::ServeStricter,
        "serve" => LeaseLossPolicy::ServeDuringGrace {
            grace_us: grace.as_micros() as u64,
        },
        _ => LeaseLossPolicy::Reject,
    }
}

/// Reads the keys of debug builds: clock skew and crash point.
fn read_test_keys(reader: &mut ConfigReader, table: &mut TableReader) -> (i64, Option<CrashPoint>) {
    let clock_skew_permille = table.read_integer(reader, "skew", -100..=100, 0);
    let crash_point = table
        .read_string(reader, "dies_at")
        .map(String::from)
        .map(|step| CrashPoint {
            step,
            passes: table
                .read_integer(reader, "dies_after", 0..=1_000, 0)
                .unsigned_abs(),
        });
    (clock_skew_permille, crash_point)
}
