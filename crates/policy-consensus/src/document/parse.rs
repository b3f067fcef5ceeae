//! Reads a policy document from TOML, with all mistakes at once.

use super::types::{Class, Document, Plan, Plugin, Retries};
use crate::digest::{hex, parse_digest, Digest};
use frosthatch_config_reader::{integer, number_value, ConfigError, ConfigReader, TableReader};
use std::collections::BTreeMap;
use toml::de::DeTable;

/// Plans, classes and plug-ins that one document may name, of each.
const MAX_NAMES: usize = 256;
/// Upper bound of rates in units a second, and of bursts in units.
const MAX_UNITS: f64 = 1e9;
/// Upper bound of the worth of a request.
const MAX_WORTH: f64 = 1e9;
/// Upper bound of shares.
const MAX_SHARE: f64 = 1.0;
/// Upper bound of retries that are saved up.
const MAX_SAVED_RETRIES: f64 = 1e6;

const VERSION_HINT: &str = "write a whole number, one above the policy before; the first is 1";
const PARENT_HINT: &str =
    "write the SHA-256 of the document before, 64 digits, as `policy status` tells it";

/// Reads a document. `file` is the name under which mistakes are reported.
pub(super) fn parse_document(
    file: &str,
    text: &str,
    max_bytes: usize,
) -> Result<Document, Vec<ConfigError>> {
    let mut reader = ConfigReader::new(file, text);
    if text.len() > max_bytes {
        reader.report(
            0..0,
            format!("it has {} bytes", text.len()),
            format!("write {max_bytes} at most"),
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

/// The document, as far as it can be read; mistakes are in the reader.
fn read_root(reader: &mut ConfigReader, mut root: TableReader) -> Option<Document> {
    let version = root.required(reader, "version", VERSION_HINT, |value| {
        integer(value).filter(|n| *n > 0).map(i64::unsigned_abs)
    });
    let parent = root.read(reader, "parent", PARENT_HINT, |value| {
        parse_digest(value.as_str()?)
    });
    check_parent(reader, &root, version, parent);
    let plans = read_named_tables(reader, &mut root, "plans", true, read_plan);
    let classes = read_named_tables(reader, &mut root, "classes", true, read_class);
    let plugins = read_named_tables(reader, &mut root, "plugins", false, read_plugin);
    let retries = root
        .table(reader, "retries")
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

/// Reports a first policy with a parent, and a later one without.
fn check_parent(
    reader: &mut ConfigReader,
    root: &TableReader,
    version: Option<u64>,
    parent: Option<Digest>,
) {
    match version {
        Some(1) if parent.is_some_and(|digest| digest != [0; 32]) => {
            let span = root.span_of("parent");
            reader.report(span, "the first policy has no parent", "leave it out");
        }
        Some(2..) if parent.is_none() => {
            let span = root.span_of("version");
            reader.report(span, "parent is missing", PARENT_HINT);
        }
        _ => {}
    }
}

/// Reads the tables `[key.name]`, by name.
fn read_named_tables<T>(
    reader: &mut ConfigReader,
    root: &mut TableReader,
    key: &'static str,
    is_required: bool,
    read_one: impl Fn(&mut ConfigReader, &mut TableReader) -> Option<T>,
) -> BTreeMap<String, T> {
    let hint = format!("write a table for each, as [{key}.name]");
    if is_required {
        root.require_key(reader, key, &hint);
    }
    let mut by_name = BTreeMap::new();
    for (name, mut table) in root.tables(reader, key, &hint) {
        if by_name.len() >= MAX_NAMES {
            let what = format!("{key} names more than {MAX_NAMES}");
            reader.report(name.span(), what, "name fewer");
            break;
        }
        let value = read_one(reader, &mut table);
        table.finish(reader);
        by_name.extend(value.map(|value| (name.get_ref().to_string(), value)));
    }
    by_name
}

/// Reads a number from 0 to `max`.
fn read_amount(
    reader: &mut ConfigReader,
    table: &mut TableReader,
    key: &'static str,
    max: f64,
) -> Option<f64> {
    table.read(reader, key, amount_hint(max), |value| {
        number_value(value).filter(|n| (0.0..=max).contains(n))
    })
}

/// The same for a key that must not be left out.
fn read_required_amount(
    reader: &mut ConfigReader,
    table: &mut TableReader,
    key: &'static str,
    max: f64,
) -> Option<f64> {
    table.require_key(reader, key, &amount_hint(max));
    read_amount(reader, table, key, max)
}

fn amount_hint(max: f64) -> String {
    format!("write a number from 0 to {max}")
}

fn read_plan(reader: &mut ConfigReader, table: &mut TableReader) -> Option<Plan> {
    let rate = read_required_amount(reader, table, "rate", MAX_UNITS);
    let burst = read_amount(reader, table, "burst", MAX_UNITS);
    if rate.is_some_and(|rate| rate > 0.0) {
        table.require_key(reader, "burst", "write the units that its store holds");
    }
    let max_open = table.number(reader, "max_open", 0..=1_000_000, 0) as u32;
    let ceiling_rate = read_amount(reader, table, "ceiling_rate", MAX_UNITS);
    let ceiling_depth = read_amount(reader, table, "ceiling_depth", MAX_UNITS);
    if table.has("ceiling_rate") != table.has("ceiling_depth") {
        let what = format!("{} has half of a ceiling", table.qualified_name(""));
        let hint = "write ceiling_rate and ceiling_depth, or neither";
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

/// Reports a ceiling that is lower than its quota.
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
        reader.report(span, what, "a ceiling is no lower than its quota");
    }
}

fn read_class(reader: &mut ConfigReader, table: &mut TableReader) -> Option<Class> {
    let hint = "write milliseconds, from 1 to 3600000";
    let aim_ms = table.required(reader, "aim_ms", hint, |value| {
        integer(value)
            .filter(|n| (1..=3_600_000).contains(n))
            .map(i64::unsigned_abs)
    });
    let worth = read_required_amount(reader, table, "worth", MAX_WORTH);
    let late_worth = read_required_amount(reader, table, "late_worth", MAX_SHARE);
    Some(Class {
        aim_ms: aim_ms?,
        worth: worth?,
        late_worth: late_worth?,
    })
}

fn read_plugin(reader: &mut ConfigReader, table: &mut TableReader) -> Option<Plugin> {
    let hint = "write the SHA-256 of its file, 64 digits";
    let sha256 = table.required(reader, "sha256", hint, |value| {
        parse_digest(value.as_str()?)
    })?;
    Some(Plugin {
        sha256: hex(&sha256),
    })
}

fn read_retries(reader: &mut ConfigReader, mut table: TableReader) -> Retries {
    let share = read_amount(reader, &mut table, "share", MAX_SHARE);
    let most = read_amount(reader, &mut table, "most", MAX_SAVED_RETRIES);
    table.finish(reader);
    Retries { share, most }
}
