//! Reads a table of a TOML file key by key. Invalid values, missing keys and unknown keys are reported to the
//! [`ConfigReader`] with line and column.

use crate::values::parse_integer;
use crate::ConfigReader;
use std::fmt::Display;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;
use std::time::Duration;
use toml::de::{DeString, DeTable, DeValue};
use toml::Spanned;

/// Reads one table and records which keys were read, so that [`finish`](TableReader::finish) can report the others.
pub struct TableReader<'a> {
    path: String,
    table: &'a DeTable<'a>,
    /// Byte span of the table in the file.
    pub span: Range<usize>,
    known_keys: Vec<&'static str>,
}

impl<'a> TableReader<'a> {
    /// Creates a reader for the table at `path` (empty for the root table), whose byte span in the file is `span`.
    pub fn new(path: &str, table: &'a DeTable<'a>, span: Range<usize>) -> Self {
        TableReader {
            path: path.into(),
            table,
            span,
            known_keys: Vec::new(),
        }
    }

    /// Returns the key prefixed with the table's path, as `dns-sd.push.servers`.
    pub fn qualified_name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.into()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns whether the table contains the key.
    pub fn contains_key(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Returns the byte span of the key's value, or that of the table if the key is missing.
    pub fn span_of(&self, key: &str) -> Range<usize> {
        self.table
            .get(key)
            .map_or_else(|| self.span.clone(), Spanned::span)
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known_keys.push(key);
        self.table.get(key)
    }

    /// Reads a key's value with `parse`. Returns `None` if the key is missing. If `parse` returns `None`, reports the value
    /// as invalid with `hint` and returns `None`.
    pub fn read_optional<T>(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        hint: impl Display,
        parse: impl Fn(&'a DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        let value = self.get(key)?;
        let parsed = parse(value.get_ref());
        if parsed.is_none() {
            let name = self.qualified_name(key);
            let problem = match value.get_ref() {
                DeValue::Integer(number) => format!("{name} is {}", number.as_str()),
                DeValue::Float(number) => format!("{name} is {}", number.as_str()),
                DeValue::String(text) => format!("{name} is {text:?}"),
                other => format!("{name} is of type {}", other.type_str()),
            };
            reader.report(value.span(), problem, hint.to_string());
        }
        parsed
    }

    /// Reports the key if it is missing.
    pub fn require_key(&self, reader: &mut ConfigReader, key: &str, hint: &str) {
        if !self.contains_key(key) {
            let problem = format!("{} is missing", self.qualified_name(key));
            reader.report(self.span.clone(), problem, hint);
        }
    }

    /// Reads a required key as [`read_optional`](TableReader::read_optional) does, and reports it if it is missing.
    pub fn read_required<T>(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        hint: &str,
        parse: impl Fn(&'a DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        self.require_key(reader, key, hint);
        self.read_optional(reader, key, hint, parse)
    }

    /// Reads a nested table. Returns `None` if the key is missing, or, after reporting the value, if the value
    /// is not a table.
    pub fn read_table(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
    ) -> Option<TableReader<'a>> {
        let span = self.span_of(key);
        let table = self.read_optional(reader, key, "write a table", |value| value.as_table())?;
        Some(TableReader::new(&self.qualified_name(key), table, span))
    }

    /// Reads an integer within a range. Returns the default if the key is missing or its value is invalid.
    pub fn read_integer(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        range: RangeInclusive<i64>,
        default: i64,
    ) -> i64 {
        let hint = format!(
            "write a whole number from {} to {}",
            range.start(),
            range.end()
        );
        self.read_optional(reader, key, hint, |value| {
            parse_integer(value).filter(|number| range.contains(number))
        })
        .unwrap_or(default)
    }

    /// Reads a duration, written in milliseconds within a range. Returns the default if the key is missing or its value
    /// is invalid.
    pub fn read_milliseconds(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        range: RangeInclusive<i64>,
        default: Duration,
    ) -> Duration {
        let milliseconds = self.read_integer(reader, key, range, default.as_millis() as i64);
        Duration::from_millis(milliseconds.unsigned_abs())
    }

    /// Reads a number from 0 to 1. Returns the default if the key is missing or its value is invalid.
    pub fn read_fraction(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        default: f64,
    ) -> f64 {
        let hint = "write a share from 0 to 1";
        self.read_optional(reader, key, hint, |value| {
            crate::parse_number(value).filter(|number| (0.0..=1.0).contains(number))
        })
        .unwrap_or(default)
    }

    /// Reads `true` or `false`. Returns the default if the key is missing or its value is invalid.
    pub fn read_boolean(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        default: bool,
    ) -> bool {
        self.read_optional(reader, key, "write true or false", |value| value.as_bool())
            .unwrap_or(default)
    }

    /// Reads a string. Returns `None` if the key is missing or its value is invalid.
    pub fn read_string(&mut self, reader: &mut ConfigReader, key: &'static str) -> Option<&'a str> {
        self.read_optional(reader, key, "write a text", |value| value.as_str())
    }

    /// Reads a string that is one of `choices`. Returns the default if the key is missing or its value is invalid.
    pub fn read_choice(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        choices: &[&'static str],
        default: &'static str,
    ) -> &'static str {
        let hint = format!("write one of {choices:?}");
        let chosen = self.read_optional(reader, key, hint, |value| {
            let text = value.as_str()?;
            choices.iter().copied().find(|choice| *choice == text)
        });
        chosen.unwrap_or(default)
    }

    /// Reads an array with a number of strings within `count`; the key is required unless `count` starts at 0. Returns an
    /// empty list if the key is missing or its value is invalid.
    pub fn read_strings(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        count: RangeInclusive<usize>,
        hint: &str,
    ) -> Vec<&'a str> {
        if *count.start() > 0 {
            self.require_key(reader, key, hint);
        }
        let hint = format!("{hint}, {} to {} of them", count.start(), count.end());
        let strings = self.read_optional(reader, key, hint, |value| {
            let elements = value.as_array()?.iter();
            let strings: Option<Vec<&str>> =
                elements.map(|element| element.get_ref().as_str()).collect();
            strings.filter(|strings| count.contains(&strings.len()))
        });
        strings.unwrap_or_default()
    }

    /// Reads an array of strings as [`read_strings`](TableReader::read_strings) does, and parses each. A string that
    /// cannot be parsed is reported and left out.
    pub fn read_parsed_strings<T: FromStr>(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        count: RangeInclusive<usize>,
        hint: &str,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for text in self.read_strings(reader, key, count, hint) {
            if let Ok(value) = text.parse() {
                values.push(value);
            } else {
                let problem = format!(
                    "{} contains the invalid value {text:?}",
                    self.qualified_name(key)
                );
                reader.report(self.span_of(key), problem, hint);
            }
        }
        values
    }

    /// Reads a table of tables, and returns the inner tables with their names; none if the key is missing. A value that is
    /// not a table is reported and left out.
    pub fn read_tables(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        hint: &str,
    ) -> Vec<(&'a Spanned<DeString<'a>>, TableReader<'a>)> {
        let parent = self.read_optional(reader, key, hint, |value| value.as_table());
        let mut tables = Vec::new();
        for (name, value) in parent.into_iter().flat_map(|table| table.iter()) {
            let path = format!("{}.{}", self.qualified_name(key), name.get_ref());
            if let Some(table) = value.get_ref().as_table() {
                tables.push((name, TableReader::new(&path, table, value.span())));
            } else {
                reader.report(value.span(), format!("{path} is not a table"), hint);
            }
        }
        tables
    }

    /// Reports the table's unknown keys: those that were not read before.
    pub fn finish(self, reader: &mut ConfigReader) {
        for key in self.table.keys() {
            if self.known_keys.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let problem = format!("{} is not known", self.qualified_name(key.get_ref()));
            let hint = format!("the keys here are {}", self.known_keys.join(", "));
            reader.report(key.span(), problem, hint);
        }
    }
}
