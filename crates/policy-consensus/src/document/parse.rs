//! Parser of policy documents, which reports all mistakes of a document at once.

use super::types::{Class, Document, Plan, Plugin, Retries};
use crate::digest::{hex, parse_digest, Digest};
use frosthatch_config_reader::{
    parse_integer, parse_number, ConfigError, ConfigReader, TableReader,
};
use std::collections::BTreeMap;
use toml::de::DeTable;

/// Maximum number of plans, of classes and of plug-ins in one document.
const MAX_NAMED_TABLES: usize = 256;
/// Maximum of rates, in units per second, and of bursts, in units.
const MAX_QUOTA: f64 = 1e9;
/// Maximum worth of a request.
const MAX_WORTH: f64 = 1e9;
/// Maximum of shares, where 1 is the whole.
const MAX_SHARE: f64 = 1.0;
/// Maximum number of retries in the retry budget.
const MAX_RETRY_BUDGET: f64 = 1e6;

const VERSION_HINT: &str =
    "write a whole number, one above the version of the previous policy; the first version is 1";
const PARENT_HINT: &str =
    "write the SHA-256 of the previous document, 64 hexadecimal digits, as `policy status` shows it";

/// Parses a document of up to `max_bytes` bytes. `file` is the file name in the reported errors.
pub(super) fn parse_document(
    file: &str,
    text: &str,
    max_bytes: usize,
) -> Result<Document, Vec<ConfigError>> {
    let mut reader = ConfigReader::new(file, text);
    if text.len() > max_bytes {
        reader.report(
            0..0,
            format!("the document has {} bytes", text.len()),
            format!("write {max_bytes} bytes at most"),
        );
        return Err(reader.errors);
    }
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let span = error.span().unwrap_or(0..0);
        reader.report(span, error.message(), "correct the TOML");
    }
    let root = TableReader::new("", table.get_ref(), table.span());
    let document = read_root(&mut reader, root);
    match document {
        Some(document) if reader.errors.is_empty() => Ok(document),
        _ => Err(reader.errors),
    }
}

/// Parses the root table and reports mistakes to `reader`. Returns `None` if the version is missing or wrong.
fn read_root(reader: &mut ConfigReader, mut root: TableReader) -> Option<Document> {
    let version = root.read_required(reader, "version", VERSION_HINT, |value| {
        parse_integer(value)
            .filter(|n| *n > 0)
            .map(i64::unsigned_abs)
    });
    let parent = root.read_optional(reader, "parent", PARENT_HINT, |value| {
        parse_digest(value.as_str()?)
    });
    check_parent(reader, &root, version, parent);
    let plans = read_named_tables(reader, &mut root, "plans", true, read_plan);
    let classes = read_named_tables(reader, &mut root, "classes", true, read_class);
    let plugins = read_named_tables(reader, &mut root, "plugins", false, read_plugin);
    let retries = root
        .read_table(reader, "retries")
        .map(|table| read_retries(reader, table));
    root.finish(reader);
    Some(Document {
        version: version?,
        parent: hex(&parent.unwrap_or_default()),
        plans,
        classes,
        retries: retries.unwrap_or_default(),
        plugins,
    })
}

/// Reports a parent in the first policy, and a missing parent in a later one.
fn check_parent(
    reader: &mut ConfigReader,
    root: &TableReader,
    version: Option<u64>,
    parent: Option<Digest>,
) {
    match version {
        Some(1) if parent.is_some_and(|digest| digest != [0; 32]) => {
            let span = root.span_of("parent");
            reader.report(
                span,
                "the policy of version 1 has no parent",
                "remove the key parent",
            );
        }
        Some(2..) if parent.is_none() => {
            let span = root.span_of("version");
            reader.report(span, "parent is missing", PARENT_HINT);
        }
        _ => {}
    }
}

/// Reads the tables `[key.name]` and returns their values by name.
fn read_named_tables<T>(
    reader: &mut ConfigReader,
    root: &mut TableReader,
    key: &'static str,
    is_required: bool,
    read_value: impl Fn(&mut ConfigReader, &mut TableReader) -> Option<T>,
) -> BTreeMap<String, T> {
    let hint = format!("write one table per entry, as [{key}.name]");
    if is_required {
        root.require_key(reader, key, &hint);
    }
    let mut by_name = BTreeMap::new();
    for (name, mut table) in root.read_tables(reader, key, &hint) {
        if by_name.len() >= MAX_NAMED_TABLES {
            let what = format!("{key} has more than {MAX_NAMED_TABLES} tables");
            reader.report(name.span(), what, "write fewer tables");
            break;
        }
        let value = read_value(reader, &mut table);
        table.finish(reader);
        by_name.extend(value.map(|value| (name.get_ref().to_string(), value)));
    }
    by_name
}

/// Reads an optional number from 0 to `max`.
fn read_bounded_number(
    reader: &mut ConfigReader,
    table: &mut TableReader,
    key: &'static str,
    max: f64,
) -> Option<f64> {
    table.read_optional(reader, key, number_hint(max), |value| {
        parse_number(value).filter(|n| (0.0..=max).contains(n))
    })
}

/// Reads a number from 0 to `max`, and reports the key if it is missing.
fn read_required_number(
    reader: &mut ConfigReader,
    table: &mut TableReader,
    key: &'static str,
    max: f64,
) -> Option<f64> {
    table.require_key(reader, key, &number_hint(max));
    read_bounded_number(reader, table, key, max)
}

fn number_hint(max: f64) -> String {
    format!("write a number from 0 to {max}")
}

fn read_plan(reader: &mut ConfigReader, table: &mut TableReader) -> Option<Plan> {
    let rate = read_required_number(reader, table, "rate", MAX_QUOTA);
    let burst = read_bounded_number(reader, table, "burst", MAX_QUOTA);
    if rate.is_some_and(|rate| rate > 0.0) {
        table.require_key(reader, "burst", "write the units that may be saved up");
    }
    let max_open = table.read_integer(reader, "max_open", 0..=1_000_000, 0) as u32;
    let ceiling_rate = read_bounded_number(reader, table, "ceiling_rate", MAX_QUOTA);
    let ceiling_depth = read_bounded_number(reader, table, "ceiling_depth", MAX_QUOTA);
    if table.contains_key("ceiling_rate") != table.contains_key("ceiling_depth") {
        let what = format!("{} has an incomplete ceiling", table.qualified_name(""));
        let hint = "write both ceiling_rate and ceiling_depth, or neither";
        reader.report(table.span.clone(), what, hint);
    }
    check_ceiling(reader, table, "ceiling_rate", ceiling_rate, "rate", rate);
    check_ceiling(
        reader,
        table,
        "ceiling_depth",
        ceiling_depth,
        "burst",
        burst,
    );
    Some(Plan {
        rate: rate?,
        burst: burst.unwrap_or(0.0),
        max_open,
        ceiling_rate,
        ceiling_depth,
    })
}

/// Reports a ceiling that is below the corresponding quota.
fn check_ceiling(
    reader: &mut ConfigReader,
    table: &TableReader,
    ceiling_key: &str,
    ceiling: Option<f64>,
    quota_key: &str,
    quota: Option<f64>,
) {
    let is_below = ceiling
        .zip(quota)
        .is_some_and(|(ceiling, quota)| ceiling < quota);
    if is_below {
        let what = format!("{} is below {quota_key}", table.qualified_name(ceiling_key));
        let span = table.span_of(ceiling_key);
        reader.report(span, what, "write a ceiling that is not below the quota");
    }
}

fn read_class(reader: &mut ConfigReader, table: &mut TableReader) -> Option<Class> {
    let hint = "write milliseconds, from 1 to 3600000";
    let aim_ms = table.read_required(reader, "aim_ms", hint, |value| {
        parse_integer(value)
            .filter(|n| (1..=3_600_000).contains(n))
            .map(i64::unsigned_abs)
    });
    let worth = read_required_number(reader, table, "worth", MAX_WORTH);
    let late_worth = read_required_number(reader, table, "late_worth", MAX_SHARE);
    Some(Class {
        aim_ms: aim_ms?,
        worth: worth?,
        late_worth: late_worth?,
    })
}

fn read_plugin(reader: &mut ConfigReader, table: &mut TableReader) -> Option<Plugin> {
    let hint = "write the SHA-256 of the plug-in's file, 64 hexadecimal digits";
    let sha256 = table.read_required(reader, "sha256", hint, |value| {
        parse_digest(value.as_str()?)
    })?;
    Some(Plugin {
        sha256: hex(&sha256),
    })
}

fn read_retries(reader: &mut ConfigReader, mut table: TableReader) -> Retries {
    let share = read_bounded_number(reader, &mut table, "share", MAX_SHARE);
    let most = read_bounded_number(reader, &mut table, "most", MAX_RETRY_BUDGET);
    table.finish(reader);
    Retries { share, most }
}
