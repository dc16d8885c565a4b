//! Reads a TOML file key by key and collects all errors.

use std::collections::HashSet;
use std::net::SocketAddr;

use toml_edit::{Item, TableLike, Value};

use super::Fault;

/// Reads values and collects errors.
pub(super) struct Reader<'a> {
    pub(super) source: &'a str,
    pub(super) faults: Vec<Fault>,
}

/// A table that is being read, with the keys that were read so far.
pub(super) struct Section<'t> {
    pub(super) path: String,
    pub(super) table: Option<&'t dyn TableLike>,
    pub(super) line: usize,
    pub(super) known_keys: HashSet<&'static str>,
}

impl<'t> Section<'t> {
    /// Returns a key with its tables, as errors name it.
    pub(super) fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
}

/// Returns the line of a byte offset, counted from 1.
pub(super) fn line_of(source: &str, offset: usize) -> usize {
    source.as_bytes()[..offset.min(source.len())].iter().filter(|&&b| b == b'\n').count() + 1
}

impl Reader<'_> {
    /// Adds an error.
    pub(super) fn fault(
        &mut self,
        line: usize,
        key: String,
        found: impl Into<String>,
        wanted: impl Into<String>,
    ) {
        self.faults.push(Fault { line, key, found: found.into(), wanted: wanted.into() });
    }

    /// Returns the line of an item.
    pub(super) fn line(&self, item: &Item) -> Option<usize> {
        Some(line_of(self.source, item.span()?.start))
    }

    /// Opens a table; an error if it is missing and `required`.
    pub(super) fn section<'t>(
        &mut self,
        parent: &mut Section<'t>,
        key: &'static str,
        required: bool,
    ) -> Section<'t> {
        parent.known_keys.insert(key);
        let path = parent.key(key);
        let item = parent.table.and_then(|table| table.get(key));
        let line = item.and_then(|item| self.line(item)).unwrap_or(parent.line);
        let table = item.and_then(Item::as_table_like);
        match item {
            None if required => self.fault(line, path.clone(), "nothing", "a table"),
            Some(item) if table.is_none() => self.fault(line, path.clone(), item.type_name(), "a table"),
            _ => {}
        }
        Section { path, table, line, known_keys: HashSet::new() }
    }

    /// Opens all tables of an array of tables.
    pub(super) fn sections<'t>(&mut self, parent: &mut Section<'t>, key: &'static str) -> Vec<Section<'t>> {
        parent.known_keys.insert(key);
        let Some(item) = parent.table.and_then(|table| table.get(key)) else { return Vec::new() };
        let line = self.line(item).unwrap_or(parent.line);
        let Some(tables) = item.as_array_of_tables() else {
            self.fault(line, key.to_owned(), item.type_name(), format!("tables headed [[{key}]]"));
            return Vec::new();
        };
        let path = parent.key(key);
        let sections = tables.iter().enumerate().map(|(i, table)| Section {
            path: format!("{path}[{i}]"),
            line: table.span().map_or(line, |span| line_of(self.source, span.start)),
            table: Some(table as &dyn TableLike),
            known_keys: HashSet::new(),
        });
        sections.collect()
    }

    /// Reports the table's unknown keys: those that were never read.
    pub(super) fn finish(&mut self, section: Section) {
        let Some(table) = section.table else { return };
        for (key, item) in table.iter().filter(|(key, _)| !section.known_keys.contains(key)) {
            let line = self.line(item).unwrap_or(section.line);
            let mut known: Vec<&str> = section.known_keys.iter().copied().collect();
            known.sort_unstable();
            self.fault(line, section.key(key), "an unknown key", format!("one of {}", known.join(", ")));
        }
    }

    /// Reads a key with `parse`; an error if it is missing without a default, or if `parse` rejects it.
    pub(super) fn value<T>(
        &mut self,
        section: &mut Section,
        key: &'static str,
        wanted: &str,
        default: Option<T>,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        section.known_keys.insert(key);
        let table = section.table?;
        let Some(item) = table.get(key) else {
            if default.is_none() {
                self.fault(section.line, section.key(key), "nothing", wanted);
            }
            return default;
        };
        let line = self.line(item).unwrap_or(section.line);
        let value = item.as_value().and_then(parse);
        if value.is_none() {
            let found =
                item.as_value().map_or(item.type_name().to_owned(), |v| v.to_string().trim().to_owned());
            self.fault(line, section.key(key), found, wanted);
        }
        value
    }

    /// Reads a time above 0; returns milliseconds.
    pub(super) fn time(
        &mut self,
        section: &mut Section,
        key: &'static str,
        default: Option<f64>,
    ) -> Option<f64> {
        self.value(section, key, "a time above 0, as \"300 ms\"", default, |value| {
            let duration = humantime::parse_duration(value.as_str()?).ok()?;
            Some(duration.as_secs_f64() * 1000.0).filter(|&ms| ms > 0.0 && ms < 1e9)
        })
    }

    /// Reads a number within bounds.
    pub(super) fn number(
        &mut self,
        section: &mut Section,
        key: &'static str,
        min: f64,
        max: f64,
        default: Option<f64>,
    ) -> Option<f64> {
        let wanted = format!("a number from {min} to {max}");
        self.value(section, key, &wanted, default, |value| {
            let number = value.as_float().or_else(|| value.as_integer().map(|n| n as f64))?;
            Some(number).filter(|n| (min..=max).contains(n))
        })
    }

    /// Reads a whole number within bounds.
    pub(super) fn integer(
        &mut self,
        section: &mut Section,
        key: &'static str,
        min: u32,
        max: u32,
        default: Option<u32>,
    ) -> Option<u32> {
        let wanted = format!("a whole number from {min} to {max}");
        self.value(section, key, &wanted, default, |value| {
            u32::try_from(value.as_integer()?).ok().filter(|n| (min..=max).contains(n))
        })
    }

    /// Reads a boolean.
    pub(super) fn boolean(
        &mut self,
        section: &mut Section,
        key: &'static str,
        default: bool,
    ) -> Option<bool> {
        self.value(section, key, "true or false", Some(default), Value::as_bool)
    }

    /// Reads a string.
    pub(super) fn text(
        &mut self,
        section: &mut Section,
        key: &'static str,
        default: Option<&str>,
    ) -> Option<String> {
        let parse = |value: &Value| value.as_str().map(str::to_owned);
        self.value(section, key, "text", default.map(str::to_owned), parse)
    }

    /// Reads an address and port.
    pub(super) fn address(
        &mut self,
        section: &mut Section,
        key: &'static str,
        default: Option<&str>,
    ) -> Option<SocketAddr> {
        let default = default.map(|text| text.parse().expect("a default address"));
        self.value(section, key, "an address and port, as \"127.0.0.1:4569\"", default, |value| {
            value.as_str()?.parse().ok()
        })
    }

    /// Reads a list of strings, empty by default.
    pub(super) fn text_list(&mut self, section: &mut Section, key: &'static str) -> Option<Vec<String>> {
        self.value(section, key, "a list of texts", Some(Vec::new()), |value| {
            value.as_array()?.iter().map(|v| v.as_str().map(str::to_owned)).collect()
        })
    }
}
