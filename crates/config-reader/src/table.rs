//! A table of a TOML file, read key by key. A value that makes no sense, a key that is missing and a key that nobody asked
//! for are reported with line and column.

use crate::values::integer;
use crate::ConfigReader;
use std::fmt::Display;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;
use std::time::Duration;
use toml::de::{DeString, DeTable, DeValue};
use toml::Spanned;

/// One table. Remembers which keys were asked for.
pub struct TableReader<'a> {
    path: String,
    table: &'a DeTable<'a>,
    /// Where the table stands in the file.
    pub span: Range<usize>,
    known_keys: Vec<&'static str>,
}

impl<'a> TableReader<'a> {
    /// The table at `path` (empty: the root), which stands at `span`.
    pub fn new(path: &str, table: &'a DeTable<'a>, span: Range<usize>) -> Self {
        TableReader {
            path: path.into(),
            table,
            span,
            known_keys: Vec::new(),
        }
    }

    /// The key with the table's path before it.
    pub fn qualified_name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.into()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Whether the table has the key.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Where the key's value stands; the table's own span if there is none.
    pub fn span_of(&self, key: &str) -> Range<usize> {
        self.table
            .get(key)
            .map_or_else(|| self.span.clone(), Spanned::span)
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known_keys.push(key);
        self.table.get(key)
    }

    /// The value at a key as `parse` understands it; `None` if there is none, or if it makes no sense, which is reported.
    pub fn read<T>(
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

    /// Reports a key that is missing.
    pub fn require_key(&self, reader: &mut ConfigReader, key: &str, hint: &str) {
        if !self.has(key) {
            let problem = format!("{} is missing", self.qualified_name(key));
            reader.report(self.span.clone(), problem, hint);
        }
    }

    /// [`read`](TableReader::read) for a key that must be there.
    pub fn required<T>(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        hint: &str,
        parse: impl Fn(&'a DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        self.require_key(reader, key, hint);
        self.read(reader, key, hint, parse)
    }

    /// A table inside this one.
    pub fn table(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
    ) -> Option<TableReader<'a>> {
        let span = self.span_of(key);
        let table = self.read(reader, key, "write a table", |value| value.as_table())?;
        Some(TableReader::new(&self.qualified_name(key), table, span))
    }

    /// A whole number within a range.
    pub fn number(
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
        self.read(reader, key, hint, |value| {
            integer(value).filter(|number| range.contains(number))
        })
        .unwrap_or(default)
    }

    /// A duration, written in milliseconds within a range.
    pub fn milliseconds(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        range: RangeInclusive<i64>,
        default: Duration,
    ) -> Duration {
        let milliseconds = self.number(reader, key, range, default.as_millis() as i64);
        Duration::from_millis(milliseconds.unsigned_abs())
    }

    /// A number from 0 to 1.
    pub fn fraction(&mut self, reader: &mut ConfigReader, key: &'static str, default: f64) -> f64 {
        let hint = "write a share from 0 to 1";
        self.read(reader, key, hint, |value| {
            crate::number_value(value).filter(|number| (0.0..=1.0).contains(number))
        })
        .unwrap_or(default)
    }

    /// `true` or `false`.
    pub fn boolean(&mut self, reader: &mut ConfigReader, key: &'static str, default: bool) -> bool {
        self.read(reader, key, "write true or false", |value| value.as_bool())
            .unwrap_or(default)
    }

    /// A text.
    pub fn string(&mut self, reader: &mut ConfigReader, key: &'static str) -> Option<&'a str> {
        self.read(reader, key, "write a text", |value| value.as_str())
    }

    /// One of some texts.
    pub fn choice(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        choices: &[&'static str],
        default: &'static str,
    ) -> &'static str {
        let hint = format!("write one of {choices:?}");
        let chosen = self.read(reader, key, hint, |value| {
            let text = value.as_str()?;
            choices.iter().copied().find(|choice| *choice == text)
        });
        chosen.unwrap_or(default)
    }

    /// A list of texts; if `count` does not begin with 0 it must be there.
    pub fn strings(
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
        let strings = self.read(reader, key, hint, |value| {
            let elements = value.as_array()?.iter();
            let strings: Option<Vec<&str>> =
                elements.map(|element| element.get_ref().as_str()).collect();
            strings.filter(|strings| count.contains(&strings.len()))
        });
        strings.unwrap_or_default()
    }

    /// A list of texts that are parsed each; those that cannot be are reported and left out.
    pub fn parsed_strings<T: FromStr>(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        count: RangeInclusive<usize>,
        hint: &str,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for text in self.strings(reader, key, count, hint) {
            if let Ok(value) = text.parse() {
                values.push(value);
            } else {
                let problem = format!("{} has {text:?}", self.qualified_name(key));
                reader.report(self.span_of(key), problem, hint);
            }
        }
        values
    }

    /// The tables under a key, by their names; anything else there is reported.
    pub fn tables(
        &mut self,
        reader: &mut ConfigReader,
        key: &'static str,
        hint: &str,
    ) -> Vec<(&'a Spanned<DeString<'a>>, TableReader<'a>)> {
        let parent = self.read(reader, key, hint, |value| value.as_table());
        let mut tables = Vec::new();
        for (name, value) in parent.into_iter().flat_map(|table| table.iter()) {
            let path = format!("{}.{}", self.qualified_name(key), name.get_ref());
            if let Some(table) = value.get_ref().as_table() {
                tables.push((name, TableReader::new(&path, table, value.span())));
            } else {
                reader.report(value.span(), format!("{path} is no table"), hint);
            }
        }
        tables
    }

    /// Reports the keys that nobody asked for.
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
