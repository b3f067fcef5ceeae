//! Reads the `[diameter]` table.

use super::tls;
use crate::tls::TlsFiles;
use frosthatch_config_reader::{ConfigReader, TableReader};
use frosthatch_traffic_control::CustomerNumber;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use toml::de::DeValue;

/// Maximum length of a host name or realm.
const MAX_IDENTITY_BYTES: usize = 255;

/// Configuration of Diameter credit control.
#[derive(Clone, Debug, PartialEq)]
pub struct DiameterConfig {
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// The gateway's own Diameter identity, in lower case.
    pub identity: String,
    /// The gateway's realm, in lower case.
    pub realm: String,
    /// Watchdog interval Tw (RFC 3539).
    pub watchdog_interval: Duration,
    /// Timer Tx of a credit-control client (RFC 8506): the request fails if there is no answer within this time.
    pub transaction_timeout: Duration,
    /// Request class of balance checks.
    pub check_class: String,
    /// Request class of charges to an account.
    pub charge_class: String,
    /// Plan of customers that are not in `plans`.
    pub default_plan: Option<String>,
    /// Plans by customer number.
    pub plans: BTreeMap<CustomerNumber, String>,
    /// Time after the last request at which a credit-control session is dropped.
    pub session_timeout: Duration,
    /// Time for which a duplicate request gets the answer to the first one.
    pub duplicate_window: Duration,
    /// Maximum number of open sessions.
    pub max_sessions: usize,
    /// Maximum number of answers cached for duplicate requests.
    pub max_cached_answers: usize,
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// Maximum number of requests in flight at one server.
    pub max_pending: usize,
    /// Files for TLS with clients and servers; `None` for plain TCP.
    pub tls: Option<TlsFiles>,
}

pub(super) fn read(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
) -> DiameterConfig {
    let required = read_required(reader, &mut table);
    let default_plan = table.read_string(reader, "default_plan").map(String::from);
    let plans = read_plans(reader, &mut table);
    let config = DiameterConfig {
        listen: required.listen.unwrap_or(([127, 0, 0, 1], 0).into()),
        identity: required.identity.unwrap_or_default(),
        realm: required.realm.unwrap_or_default(),
        watchdog_interval: table.read_milliseconds(
            reader,
            "tw_ms",
            100..=600_000,
            Duration::from_secs(30),
        ),
        transaction_timeout: table.read_milliseconds(
            reader,
            "tx_ms",
            50..=60_000,
            Duration::from_secs(10),
        ),
        check_class: required.check_class.unwrap_or_default(),
        charge_class: required.charge_class.unwrap_or_default(),
        default_plan,
        plans,
        session_timeout: table.read_milliseconds(
            reader,
            "session_ms",
            1_000..=86_400_000,
            Duration::from_secs(3_600),
        ),
        duplicate_window: table.read_milliseconds(
            reader,
            "repeats_ms",
            100..=600_000,
            Duration::from_secs(30),
        ),
        max_sessions: table.read_integer(reader, "most_sessions", 1..=1_000_000, 10_000) as usize,
        max_cached_answers: table.read_integer(reader, "most_repeats", 16..=1_000_000, 20_000)
            as usize,
        max_clients: table.read_integer(reader, "most_clients", 1..=10_000, 64) as usize,
        max_pending: table.read_integer(reader, "most_pending", 1..=100_000, 1_000) as usize,
        tls: table
            .read_table(reader, "tls")
            .and_then(|tls_table| tls::read(reader, tls_table, folder)),
    };
    table.finish(reader);
    config
}

/// The keys without a default; `None` for a key that is missing or has an invalid value.
struct RequiredKeys {
    listen: Option<SocketAddr>,
    identity: Option<String>,
    realm: Option<String>,
    check_class: Option<String>,
    charge_class: Option<String>,
}

fn read_required(reader: &mut ConfigReader, table: &mut TableReader) -> RequiredKeys {
    let text = |value: &DeValue| value.as_str().map(String::from);
    let listen = table.read_required(
        reader,
        "listen",
        "write an address and a port, as \"127.0.0.1:3868\"",
        |value| value.as_str()?.parse::<SocketAddr>().ok(),
    );
    let identity = table.read_required(
        reader,
        "identity",
        "write the gateway's own host name (RFC 6733 section 4.3.1)",
        host_name,
    );
    let realm = table.read_required(
        reader,
        "realm",
        "write its realm, as \"example.org\"",
        host_name,
    );
    let check_class = table.read_required(
        reader,
        "check_class",
        "write a class that is safe to repeat",
        text,
    );
    let charge_class = table.read_required(reader, "charge_class", "write a keyed class", text);
    RequiredKeys {
        listen,
        identity,
        realm,
        check_class,
        charge_class,
    }
}

/// Parses a host name or realm and converts it to lower case.
fn host_name(value: &DeValue) -> Option<String> {
    let text = value.as_str()?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
    let is_name =
        !text.is_empty() && text.len() <= MAX_IDENTITY_BYTES && text.chars().all(is_allowed);
    is_name.then(|| text.to_ascii_lowercase())
}

/// Reads the customers' plans and reports entries that are not a customer number with a plan.
fn read_plans(
    reader: &mut ConfigReader,
    table: &mut TableReader,
) -> BTreeMap<CustomerNumber, String> {
    let hint = "write a table of customers' numbers and plans";
    let mut plans = BTreeMap::new();
    let Some(entries) = table.read_optional(reader, "plans", hint, |value| value.as_table()) else {
        return plans;
    };
    for (key, value) in entries.iter() {
        let number = CustomerNumber::from_decimal(key.get_ref());
        if let (Some(number), Some(plan)) = (number, value.get_ref().as_str()) {
            plans.insert(number, plan.to_string());
        } else {
            reader.report(
                key.span(),
                format!("diameter.plans.{} is not a customer number with a plan", key.get_ref()),
                "write a number below 2^33 in quotes and the name of a plan, as \"4512345678\" = \"stor\"",
            );
        }
    }
    plans
}
