//! A policy's document: TOML, checked whole. Every mistake is told with its line and column; a document with one is no policy.

use crate::{Policy, PolicyId};
use frosthatch_config_reader::{real, whole, ConfigError, ConfigReader, TableReader};
use ring::digest::{digest, SHA256};
use schemars::JsonSchema;
use serde::Serialize;
use std::collections::BTreeMap;
use toml::de::DeTable;

/// A document is no longer than this.
pub const MOST_BYTES: usize = 64 << 10;
/// Plans, classes and plug-ins that one may name, of each.
const MOST_NAMES: usize = 256;

/// What all gateways serve under. Whoever reads it finds every plan and class of the platform's in it.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Document {
    /// One above the policy before; the first is 1.
    pub version: u64,
    /// SHA-256 of the document before, in hexadecimal; left out of the first.
    #[schemars(default)]
    pub parent: String,
    pub plans: BTreeMap<String, Plan>,
    pub classes: BTreeMap<String, Class>,
    #[schemars(default)]
    pub retries: Retries,
    /// By name: plug-ins that have to run.
    #[schemars(default)]
    pub plugins: BTreeMap<String, Plugin>,
}

/// The quota of each customer of a plan, over all gateways.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Plan {
    /// Units a second; 0: the rate has no quota.
    pub rate: f64,
    /// Units that the store holds.
    #[schemars(default)]
    pub burst: f64,
    /// Attempts that may be out at once; 0: no cap.
    #[schemars(default)]
    pub max_open: u32,
    /// Units a second that are never passed, with `ceiling_depth`; without both there is no ceiling.
    pub ceiling_rate: Option<f64>,
    /// Units that the ceiling's store holds.
    pub ceiling_depth: Option<f64>,
}

/// What an answer is worth, and by when.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Class {
    /// Milliseconds; an answer within them earns the full worth.
    pub aim_ms: u64,
    /// Of one request, before the plan's price and the units.
    pub worth: f64,
    /// Share of the worth that an answer earns between aim and deadline.
    pub late_worth: f64,
}

/// The budget of further attempts; what is left out stays as gateways have it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Retries {
    /// Further attempts that one first attempt earns.
    pub share: Option<f64>,
    /// Those that are saved up at most.
    pub most: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Plugin {
    /// Of its file, in hexadecimal.
    pub sha256: String,
}

/// What agreement is reached on.
pub fn sha256(of: impl AsRef<[u8]>) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes.copy_from_slice(digest(&SHA256, of.as_ref()).as_ref());
    bytes
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// 32 bytes in hexadecimal.
fn unhex(text: &str) -> Option<[u8; 32]> {
    let mut bytes = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (n, b) in bytes.iter_mut().enumerate() {
        *b = u8::from_str_radix(&text[2 * n..2 * n + 2], 16).ok()?;
    }
    Some(bytes)
}

impl Document {
    /// `file`: what mistakes are told of.
    ///
    /// # Errors
    /// Every mistake in it.
    pub fn read(file: &str, text: &str) -> Result<Document, Vec<ConfigError>> {
        let mut r = ConfigReader::new(file, text);
        if text.len() > MOST_BYTES {
            r.wrong(
                0..0,
                format!("it has {} bytes", text.len()),
                format!("write {MOST_BYTES} at most"),
            );
            return Err(r.mistakes);
        }
        let (table, errors) = DeTable::parse_recoverable(text);
        for e in errors {
            r.wrong(e.span().unwrap_or(0..0), e.message(), "correct the TOML");
        }
        let mut root = TableReader::new("", table.get_ref(), table.span());
        let a_version = "write a whole number, one above the policy before; the first is 1";
        let version = root.must(&mut r, "version", a_version, |v| {
            whole(v).filter(|n| *n > 0).map(i64::unsigned_abs)
        });
        const A_DIGEST: &str =
            "write the SHA-256 of the document before, 64 digits, as `policy status` tells it";
        let parent = root.read(&mut r, "parent", A_DIGEST, |v| unhex(v.as_str()?));
        match version {
            Some(1) if parent.is_some_and(|p| p != [0; 32]) => {
                r.wrong(
                    root.span_of("parent"),
                    "the first policy has no parent",
                    "leave it out",
                );
            }
            Some(2..) if parent.is_none() => {
                r.wrong(root.span_of("version"), "parent is missing", A_DIGEST)
            }
            _ => {}
        }
        let plans = named(&mut r, &mut root, "plans", true, plan);
        let classes = named(&mut r, &mut root, "classes", true, class);
        let plugins = named(&mut r, &mut root, "plugins", false, plugin);
        let retries = root
            .table(&mut r, "retries")
            .map_or(Retries::default(), |mut s| {
                let share = amount(&mut r, &mut s, "share", 1.0);
                let most = amount(&mut r, &mut s, "most", 1e6);
                s.finish(&mut r);
                Retries { share, most }
            });
        root.finish(&mut r);
        match (version, r.mistakes.is_empty()) {
            (Some(version), true) => {
                let parent = hex(&parent.unwrap_or_default());
                Ok(Document {
                    version,
                    parent,
                    plans,
                    classes,
                    retries,
                    plugins,
                })
            }
            _ => Err(r.mistakes),
        }
    }

    /// As agreement sees this text.
    pub fn policy(&self, text: &str) -> Policy {
        let parent = unhex(&self.parent).unwrap_or_default();
        Policy {
            version: self.version,
            digest: sha256(text),
            parent,
        }
    }

    /// The published form (JSON Schema).
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Document)).unwrap_or_default()
    }
}

impl PolicyId {
    /// As it is shown: a version and the beginning of its digest.
    pub fn short(&self) -> String {
        format!("{} ({})", self.version, &hex(&self.digest)[..12])
    }
}

/// Tables by name.
fn named<T>(
    r: &mut ConfigReader,
    root: &mut TableReader,
    key: &'static str,
    needed: bool,
    read: impl Fn(&mut ConfigReader, &mut TableReader) -> Option<T>,
) -> BTreeMap<String, T> {
    let right = format!("write a table for each, as [{key}.name]");
    if needed {
        root.needs(r, key, &right);
    }
    let mut all = BTreeMap::new();
    for (name, mut section) in root.tables(r, key, &right) {
        if all.len() >= MOST_NAMES {
            r.wrong(
                name.span(),
                format!("{key} names more than {MOST_NAMES}"),
                "name fewer",
            );
            break;
        }
        let one = read(r, &mut section);
        section.finish(r);
        all.extend(one.map(|one| (name.get_ref().to_string(), one)));
    }
    all
}

/// A number from 0 to `most`.
fn amount(r: &mut ConfigReader, s: &mut TableReader, key: &'static str, most: f64) -> Option<f64> {
    s.read(r, key, from_0_to(most), |v| {
        real(v).filter(|n| (0.0..=most).contains(n))
    })
}

/// The same where it must be there.
fn must(r: &mut ConfigReader, s: &mut TableReader, key: &'static str, most: f64) -> Option<f64> {
    s.needs(r, key, &from_0_to(most));
    amount(r, s, key, most)
}

fn from_0_to(most: f64) -> String {
    format!("write a number from 0 to {most}")
}

/// Units a second, or in a store.
const MOST_UNITS: f64 = 1e9;

fn plan(r: &mut ConfigReader, s: &mut TableReader) -> Option<Plan> {
    let rate = must(r, s, "rate", MOST_UNITS);
    let burst = amount(r, s, "burst", MOST_UNITS);
    if rate.is_some_and(|rate| rate > 0.0) {
        s.needs(r, "burst", "write the units that its store holds");
    }
    let max_open = s.number(r, "max_open", 0..=1_000_000, 0) as u32;
    let ceiling_rate = amount(r, s, "ceiling_rate", MOST_UNITS);
    let ceiling_depth = amount(r, s, "ceiling_depth", MOST_UNITS);
    if s.has("ceiling_rate") != s.has("ceiling_depth") {
        let what = format!("{} has half of a ceiling", s.name(""));
        r.wrong(
            s.span.clone(),
            what,
            "write ceiling_rate and ceiling_depth, or neither",
        );
    }
    let pairs = [
        ("ceiling_rate", ceiling_rate, "rate", rate),
        ("ceiling_depth", ceiling_depth, "burst", burst),
    ];
    for (ceiling, most, of, quota) in pairs {
        if most.zip(quota).is_some_and(|(most, quota)| most < quota) {
            let what = format!("{} is below {of}", s.name(ceiling));
            r.wrong(
                s.span_of(ceiling),
                what,
                "a ceiling is no lower than its quota",
            );
        }
    }
    let burst = burst.unwrap_or(0.0);
    Some(Plan {
        rate: rate?,
        burst,
        max_open,
        ceiling_rate,
        ceiling_depth,
    })
}

fn class(r: &mut ConfigReader, s: &mut TableReader) -> Option<Class> {
    let right = "write milliseconds, from 1 to 3600000";
    let aim_ms = s.must(r, "aim_ms", right, |v| {
        whole(v)
            .filter(|n| (1..=3_600_000).contains(n))
            .map(i64::unsigned_abs)
    });
    let worth = must(r, s, "worth", 1e9);
    let late_worth = must(r, s, "late_worth", 1.0);
    Some(Class {
        aim_ms: aim_ms?,
        worth: worth?,
        late_worth: late_worth?,
    })
}

fn plugin(r: &mut ConfigReader, s: &mut TableReader) -> Option<Plugin> {
    let right = "write the SHA-256 of its file, 64 digits";
    let sha256 = s.must(r, "sha256", right, |v| unhex(v.as_str()?))?;
    Some(Plugin {
        sha256: hex(&sha256),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const FINE: &str = "version = 1\n[plans.stor]\nrate = 40\nburst = 60.5\nceiling_rate = 85\nceiling_depth = 85\n\
                        [plans.antal]\nrate = 0\nburst = 1_0.5\nmax_open = 4\n[classes.topup]\naim_ms = 300\nworth = 2\nlate_worth = 0.5\n";

    fn said(text: &str) -> Vec<String> {
        Document::read("p.toml", text)
            .err()
            .unwrap_or_default()
            .iter()
            .map(ConfigError::to_string)
            .collect()
    }

    #[test]
    fn a_document_in_order_says_what_it_says() {
        let d = Document::read("p.toml", FINE).expect("in order");
        assert_eq!(d.plans["stor"].ceiling_rate, Some(85.0));
        assert_eq!(
            (d.plans["stor"].burst, d.plans["antal"].max_open),
            (60.5, 4)
        );
        assert_eq!(d.plans["antal"].burst, 10.5, "digits may be set apart");
        assert_eq!(
            (d.classes["topup"].aim_ms, d.retries),
            (300, Retries::default())
        );
        let first = d.policy(FINE);
        assert!(first.follows(Some(&Policy::default())) && first.digest == sha256(FINE));
        let next = FINE.replace(
            "version = 1",
            &format!("version = 2\nparent = \"{}\"", hex(&first.digest)),
        );
        let second = Document::read("p.toml", &next)
            .expect("in order")
            .policy(&next);
        assert!(second.follows(Some(&first)) && !second.follows(Some(&Policy::default())));
    }

    #[test]
    fn every_mistake_is_told_with_line_and_column() {
        let text = "version = 2\n[plans.stor]\nrate = -1\nbust = 4\nceiling_rate = 3\n[plans]\nx = 1\n[classes.topup]\naim_ms = 0\n";
        let said = said(text);
        for (place, what) in [
            ("line 1, column 11", "parent is missing"),
            ("line 3, column 8", "plans.stor.rate is -1"),
            ("line 4, column 1", "plans.stor.bust is not known"),
            ("line 2, column 1", "half of a ceiling"),
            ("line 9, column 10", "classes.topup.aim_ms is 0"),
            ("line 8, column 1", "classes.topup.worth is missing"),
        ] {
            assert!(
                said.iter().any(|s| s.contains(place) && s.contains(what)),
                "{place} {what}: {said:#?}"
            );
        }
        assert!(self::said("version = 1\nplans = 3")[0].contains("plans is 3"));
        assert!(self::said(&format!("{FINE}#{}", "x".repeat(MOST_BYTES)))[0].contains("bytes"));
    }

    /// What is published and what is read are the same keys.
    #[test]
    fn the_schema_names_what_is_read() {
        let schema: serde_json::Value = serde_json::from_str(&Document::schema()).expect("JSON");
        let keys = |v: &serde_json::Value| {
            let all = v["properties"].as_object().expect("properties");
            all.keys().cloned().collect::<Vec<_>>().join(", ")
        };
        let known = |text: &str| {
            let said = said(text);
            let of = said
                .iter()
                .find(|s| s.contains("nonsense is not known"))
                .expect("it is told")
                .clone();
            let mut keys: Vec<String> = of
                .split("the keys here are ")
                .nth(1)
                .unwrap_or("")
                .split(", ")
                .map(String::from)
                .collect();
            keys.sort();
            keys.dedup();
            keys.join(", ")
        };
        assert_eq!(keys(&schema), known("nonsense = 1"));
        for (of, name) in [
            ("plans", "Plan"),
            ("classes", "Class"),
            ("plugins", "Plugin"),
        ] {
            assert_eq!(
                keys(&schema["$defs"][name]),
                known(&format!("[{of}.x]\nnonsense = 1")),
                "{of}"
            );
        }
        assert_eq!(
            keys(&schema["$defs"]["Retries"]),
            known("[retries]\nnonsense = 1")
        );
    }
}
