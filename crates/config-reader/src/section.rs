//! Tables of a TOML file, read key by key: a value that makes no sense and a key that nobody asked for are told with line and column.

use crate::ConfigError;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::de::{DeString, DeTable, DeValue};
use toml::Spanned;

/// The file that is read, and what is wrong in it so far.
pub struct ConfigReader<'a> {
    file: &'a str,
    text: &'a str,
    pub mistakes: Vec<ConfigError>,
}

impl<'a> ConfigReader<'a> {
    pub fn new(file: &'a str, text: &'a str) -> ConfigReader<'a> {
        ConfigReader {
            file,
            text,
            mistakes: Vec::new(),
        }
    }

    pub fn wrong(
        &mut self,
        span: std::ops::Range<usize>,
        what: impl Into<String>,
        right: impl Into<String>,
    ) {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line = 1 + before.bytes().filter(|&b| b == b'\n').count();
        let column = 1 + before.rsplit('\n').next().map_or(0, |l| l.chars().count());
        let (file, place) = (
            self.file.to_string(),
            format!("line {line}, column {column}"),
        );
        self.mistakes.push(ConfigError {
            file,
            place,
            what: what.into(),
            right: right.into(),
        });
    }
}

/// One table of the file. Remembers which keys were asked for; any other is a mistake.
pub struct TableReader<'a> {
    path: String,
    table: &'a DeTable<'a>,
    pub span: std::ops::Range<usize>,
    known: Vec<&'static str>,
}

impl<'a> TableReader<'a> {
    pub fn new(path: &str, table: &'a DeTable<'a>, span: std::ops::Range<usize>) -> Self {
        TableReader {
            path: path.into(),
            table,
            span,
            known: Vec::new(),
        }
    }

    pub fn name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.into()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.push(key);
        self.table.get(key)
    }

    /// Whether anything is there.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    pub fn span_of(&self, key: &str) -> std::ops::Range<usize> {
        self.table.get(key).map_or(self.span.clone(), Spanned::span)
    }

    /// The value at a key as `read` understands it; none if it is not there or makes no sense, which is told.
    pub fn read<T>(
        &mut self,
        r: &mut ConfigReader,
        key: &'static str,
        right: impl Display,
        read: impl Fn(&'a DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        let value = self.get(key)?;
        let read = read(value.get_ref());
        if read.is_none() {
            let kind = value.get_ref().type_str();
            let what = match value.get_ref() {
                DeValue::Integer(i) => format!("{} is {}", self.name(key), i.as_str()),
                DeValue::Float(f) => format!("{} is {}", self.name(key), f.as_str()),
                DeValue::String(t) => format!("{} is {t:?}", self.name(key)),
                _ => format!("{} is of type {kind}", self.name(key)),
            };
            r.wrong(value.span(), what, right.to_string());
        }
        read
    }

    /// Tells of a key that is not there.
    pub fn needs(&self, r: &mut ConfigReader, key: &str, right: &str) {
        if !self.has(key) {
            r.wrong(
                self.span.clone(),
                format!("{} is missing", self.name(key)),
                right,
            );
        }
    }

    /// [`read`](Section::read) for a key that must be there.
    pub fn must<T>(
        &mut self,
        r: &mut ConfigReader,
        key: &'static str,
        right: &str,
        read: impl Fn(&'a DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        self.needs(r, key, right);
        self.read(r, key, right, read)
    }

    pub fn table(&mut self, r: &mut ConfigReader, key: &'static str) -> Option<TableReader<'a>> {
        let span = self.span_of(key);
        let table = self.read(r, key, "write a table", |v| v.as_table())?;
        Some(TableReader::new(&self.name(key), table, span))
    }

    pub fn number(
        &mut self,
        r: &mut ConfigReader,
        key: &'static str,
        range: RangeInclusive<i64>,
        otherwise: i64,
    ) -> i64 {
        let right = format!(
            "write a whole number from {} to {}",
            range.start(),
            range.end()
        );
        self.read(r, key, right, |v| whole(v).filter(|n| range.contains(n)))
            .unwrap_or(otherwise)
    }

    pub fn millis(
        &mut self,
        r: &mut ConfigReader,
        key: &'static str,
        range: RangeInclusive<i64>,
        otherwise: Duration,
    ) -> Duration {
        let ms = self.number(r, key, range, otherwise.as_millis() as i64);
        Duration::from_millis(ms.unsigned_abs())
    }

    pub fn share(&mut self, r: &mut ConfigReader, key: &'static str, otherwise: f64) -> f64 {
        let right = "write a share from 0 to 1";
        self.read(r, key, right, |v| {
            real(v).filter(|n| (0.0..=1.0).contains(n))
        })
        .unwrap_or(otherwise)
    }

    pub fn yes_no(&mut self, r: &mut ConfigReader, key: &'static str, otherwise: bool) -> bool {
        self.read(r, key, "write true or false", |v| v.as_bool())
            .unwrap_or(otherwise)
    }

    pub fn text(&mut self, r: &mut ConfigReader, key: &'static str) -> Option<&'a str> {
        self.read(r, key, "write a text", |v| v.as_str())
    }

    pub fn choice(
        &mut self,
        r: &mut ConfigReader,
        key: &'static str,
        from: &[&'static str],
        otherwise: &'static str,
    ) -> &'static str {
        let right = format!("write one of {from:?}");
        let read = self.read(r, key, right, |v| {
            let text = v.as_str()?;
            from.iter().copied().find(|c| *c == text)
        });
        read.unwrap_or(otherwise)
    }

    /// A list of texts that must be there.
    pub fn texts(
        &mut self,
        r: &mut ConfigReader,
        key: &'static str,
        count: RangeInclusive<usize>,
        right: &str,
    ) -> Vec<&'a str> {
        if *count.start() > 0 {
            self.needs(r, key, right);
        }
        let right = format!("{right}, {} to {} of them", count.start(), count.end());
        let read = self.read(r, key, right, |v| {
            let all: Option<Vec<&str>> =
                v.as_array()?.iter().map(|e| e.get_ref().as_str()).collect();
            all.filter(|all| count.contains(&all.len()))
        });
        read.unwrap_or_default()
    }

    /// A list of texts that each stand for a value.
    pub fn parsed<T: std::str::FromStr>(
        &mut self,
        r: &mut ConfigReader,
        key: &'static str,
        count: RangeInclusive<usize>,
        right: &str,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for text in self.texts(r, key, count, right) {
            match text.parse() {
                Ok(value) => values.push(value),
                Err(_) => r.wrong(
                    self.span_of(key),
                    format!("{} has {text:?}", self.name(key)),
                    right,
                ),
            }
        }
        values
    }

    /// Tables by name under a key; what is there and is no table is told.
    pub fn tables(
        &mut self,
        r: &mut ConfigReader,
        key: &'static str,
        right: &str,
    ) -> Vec<(&'a Spanned<DeString<'a>>, TableReader<'a>)> {
        let table = self.read(r, key, right, |v| v.as_table());
        let mut all = Vec::new();
        for (name, value) in table.into_iter().flat_map(|t| t.iter()) {
            let path = format!("{}.{}", self.name(key), name.get_ref());
            match value.get_ref().as_table() {
                Some(table) => all.push((name, TableReader::new(&path, table, value.span()))),
                None => r.wrong(value.span(), format!("{path} is no table"), right),
            }
        }
        all
    }

    /// Tells of keys that nobody asked for.
    pub fn finish(self, r: &mut ConfigReader) {
        for key in self
            .table
            .keys()
            .filter(|k| !self.known.contains(&k.get_ref().as_ref()))
        {
            let what = format!("{} is not known", self.name(key.get_ref()));
            r.wrong(
                key.span(),
                what,
                format!("the keys here are {}", self.known.join(", ")),
            );
        }
    }
}

/// A whole number, however it is written.
pub fn whole(v: &DeValue) -> Option<i64> {
    let digits = v.as_integer()?;
    i64::from_str_radix(digits.as_str(), digits.radix()).ok()
}

/// A number with or without a fraction.
pub fn real(v: &DeValue) -> Option<f64> {
    match v {
        DeValue::Float(f) => f.as_str().parse().ok(),
        DeValue::Integer(i) => i.as_str().parse().ok(),
        _ => None,
    }
}
