//! Reads a deployment's settings into the terms of the decisions. The simulator sends the settings as
//! `path=value` lines, [`SettingsMap::from_lines`]; a border proxy on sockets gets the same ones nested in
//! JSON, [`SettingsMap::from_json`]. [`SettingsMap::terms`] and [`SettingsMap::report_layout`] read both.

#![forbid(unsafe_code)]

use std::collections::HashMap;
use std::fmt::Write;
use std::str::FromStr;

use anyhow::{Context, Result, bail, ensure};
use frostthread::host::{GradeTerms, Report, TenantTerms, Terms};
use serde_json::Value;

/// Times are in seconds in the settings and in milliseconds in the terms.
const MS_PER_SECOND: f64 = 1000.0;

/// Longest list in the settings.
const MAX_LIST_LEN: usize = 10_000;

/// Deepest nesting of objects and lists in the settings.
const MAX_DEPTH: usize = 16;

/// The settings as flat paths and values. Unknown keys are ignored.
pub struct SettingsMap(HashMap<String, String>);

impl SettingsMap {
    /// Reads settings with one `path=value` per line.
    pub fn from_lines(text: &[u8]) -> Result<Self> {
        let text = std::str::from_utf8(text).context("field setup is not UTF-8 text")?;
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Ok(Self(pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()))
    }

    /// Reads settings from nested objects and lists, which are flattened to the form of the lines: a list of
    /// scalars is joined by commas, any other list becomes its length and its items by number.
    pub fn from_json(settings: &Value) -> Result<Self> {
        let mut flat = HashMap::new();
        ensure!(settings.is_object(), "field settings is not an object");
        flatten(settings, &mut String::new(), 0, &mut flat)?;
        Ok(Self(flat))
    }

    fn text(&self, key: &str) -> Result<&str> {
        self.0.get(key).map(String::as_str).with_context(|| format!("setting {key} is missing"))
    }

    fn value<T: FromStr>(&self, key: &str, wanted: &str) -> Result<T> {
        let text = self.text(key)?;
        text.parse().ok().with_context(|| format!("setting {key} is {text:?}, wanted is {wanted}"))
    }

    fn flag(&self, key: &str) -> Result<bool> {
        self.value(key, "true or false")
    }

    fn integer<T: FromStr>(&self, key: &str) -> Result<T> {
        self.value(key, "a whole number")
    }

    fn non_negative(&self, key: &str) -> Result<f64> {
        const WANTED: &str = "a number of 0 or more";
        let number: f64 = self.value(key, WANTED)?;
        ensure!(number.is_finite() && number >= 0.0, "setting {key} is {number}, wanted is {WANTED}");
        Ok(number)
    }

    /// Reads a time, which is in seconds in the settings, and returns it in milliseconds.
    fn millis(&self, key: &str) -> Result<f64> {
        Ok(self.non_negative(key)? * MS_PER_SECOND)
    }

    /// Reads a time that must be over 0, and returns it in milliseconds.
    fn positive_millis(&self, key: &str) -> Result<f64> {
        let millis = self.millis(key)?;
        ensure!(millis > 0.0, "setting {key} is {millis}, wanted is a time over 0");
        Ok(millis)
    }

    /// Reads a count that must be 1 or more.
    fn positive_count(&self, key: &str) -> Result<u32> {
        let count = self.integer(key)?;
        ensure!(count > 0, "setting {key} is 0, wanted is 1 or more");
        Ok(count)
    }

    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>> {
        let parts = self.text(key)?.split(',').filter(|part| !part.is_empty());
        let parse = |part: &str| {
            part.parse().ok().with_context(|| format!("setting {key} holds {part:?}, wanted are numbers"))
        };
        parts.map(parse).collect()
    }

    /// Reads the length of a list, up to [`MAX_LIST_LEN`].
    fn count(&self, key: &str) -> Result<usize> {
        let count = self.integer(key)?;
        ensure!(count <= MAX_LIST_LEN, "setting {key} is {count}, over {MAX_LIST_LEN}");
        Ok(count)
    }
}

/// The position of each figure in a report.
#[derive(Clone, Debug, Default)]
pub struct ReportLayout {
    free: Option<usize>,
    lines: Option<usize>,
    rate: Option<usize>,
    wait: Option<usize>,
    names: Vec<String>,
}

impl ReportLayout {
    /// Reads a report that names each figure, as in `idle:12;circuits:40`.
    pub fn read_named(&self, text: &str) -> Report {
        let mut values = vec![-1.0; self.names.len()];
        for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
            if let Some(position) = self.names.iter().position(|n| n == name.trim()) {
                values[position] = value.trim().parse().unwrap_or(-1.0);
            }
        }
        self.read(&values)
    }

    /// Reads a report from its values in order; a value below zero means that the figure was not reported.
    pub fn read(&self, values: &[f32]) -> Report {
        let figure = |position: Option<usize>| {
            let value = values.get(position?).copied().map(f64::from);
            value.filter(|value| value.is_finite() && *value >= 0.0)
        };
        Report {
            free: figure(self.free),
            lines: figure(self.lines),
            rate: figure(self.rate),
            wait: figure(self.wait),
            retry_after: None,
        }
    }
}

impl SettingsMap {
    /// Which figures a report has, in order.
    pub fn report_layout(&self) -> Result<ReportLayout> {
        let names: Vec<String> =
            if self.0.contains_key("feedback.names") { self.list("feedback.names")? } else { Vec::new() };
        let position_of = |wanted: &str| names.iter().position(|name| name == wanted);
        Ok(ReportLayout {
            free: position_of("idle"),
            lines: position_of("circuits"),
            rate: position_of("max_rate"),
            wait: position_of("svc_ms"),
            names,
        })
    }

    /// The names of the service grades, in the order of [`Terms::grades`].
    pub fn grade_names(&self) -> Result<Vec<String>> {
        self.names("profiles")
    }

    /// The names of the tenants, in the order of [`Terms::tenants`].
    pub fn tenant_names(&self) -> Result<Vec<String>> {
        self.names("tenants")
    }

    fn names(&self, list: &str) -> Result<Vec<String>> {
        let count = format!("{list}.count");
        let count = if self.0.contains_key(&count) { self.count(&count)? } else { 0 };
        (0..count).map(|i| Ok(self.text(&format!("{list}.{i}.name"))?.to_owned())).collect()
    }

    /// The terms of the deployment.
    pub fn terms(&self) -> Result<Terms> {
        let form = self.text("domain.network_form")?;
        ensure!(form == "skills", "setting domain.network_form is {form:?}, wanted is 'skills'");
        let mean_holds: Vec<f64> = self.list("domain.mean_hold")?;
        let grades: Vec<GradeTerms> =
            (0..self.count("profiles.count")?).map(|i| grade(self, i, &mean_holds)).collect::<Result<_>>()?;
        ensure!(!grades.is_empty(), "setting profiles.count is 0");
        let tenants = if self.0.contains_key("tenants.count") { self.count("tenants.count")? } else { 0 };
        let tenant = |i| Ok(TenantTerms { quota: self.non_negative(&format!("tenants.{i}.quota_rps"))? });
        Ok(Terms {
            proxies: self.positive_count("balancers")?,
            grades,
            tenants: (0..tenants).map(tenant).collect::<Result<_>>()?,
            over_share: if tenants > 0 { self.non_negative("over_share_worth")? } else { 1.0 },
            max_attempts: self.positive_count("bounds.max_attempts")?,
            max_retry_after: if self.flag("bounds.retry_after")? {
                Some(self.millis("bounds.max_retry_after")?)
            } else {
                None
            },
            may_cancel: self.flag("bounds.cancel")?,
            may_probe: self.flag("bounds.may_probe")?,
            release: self.millis("domain.clear_wait")?,
            resend_after: self.millis("domain.repeat")?,
            respect_retry_after: self.flag("domain.gives_wait")?,
            cold_duration: self.millis("rules.cold")?,
            initial_capacity_share: self.non_negative("rules.cold_from")?,
            overload_factor: self.non_negative("rules.overload_factor")?,
            overload_duration: self.positive_millis("rules.fall")?,
        })
    }

    /// The longest time to establish a connection to a central server, in milliseconds.
    pub fn connect_timeout(&self) -> Result<f64> {
        self.positive_millis("bounds.connect_timeout")
    }

    /// The most conversations that a proxy may have open.
    pub fn max_open_calls(&self) -> Result<usize> {
        self.integer("bounds.open_cap")
    }
}

/// Flattens a JSON value to `path=value` entries in `flat`. Restores `path` before it returns.
fn flatten(value: &Value, path: &mut String, depth: usize, flat: &mut HashMap<String, String>) -> Result<()> {
    ensure!(depth <= MAX_DEPTH, "setting {path}: nested more than {MAX_DEPTH} deep");
    let length = path.len();
    let is_scalar = |value: &Value| !value.is_object() && !value.is_array();
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                let dot = if path.is_empty() { "" } else { "." };
                let _ = write!(path, "{dot}{key}");
                flatten(field, path, depth + 1, flat)?;
                path.truncate(length);
            }
        }
        Value::Array(items) if items.iter().all(is_scalar) => {
            ensure!(
                items.len() <= MAX_LIST_LEN,
                "setting {path}: {} items, over {MAX_LIST_LEN}",
                items.len()
            );
            flat.insert(path.clone(), items.iter().map(text).collect::<Vec<_>>().join(","));
        }
        Value::Array(items) => {
            flat.insert(format!("{path}.count"), items.len().to_string());
            for (i, item) in items.iter().enumerate() {
                let _ = write!(path, ".{i}");
                flatten(item, path, depth + 1, flat)?;
                path.truncate(length);
            }
        }
        scalar => {
            flat.insert(path.clone(), text(scalar));
        }
    }
    Ok(())
}

fn grade(settings: &SettingsMap, index: usize, mean_holds: &[f64]) -> Result<GradeTerms> {
    let key = |name: &str| format!("profiles.{index}.{name}");
    let effect = key("effect");
    let repeatable = match settings.text(&effect)? {
        "repeatable" => true,
        "once" | "by_key" => false,
        other => bail!("setting {effect} is {other:?}, wanted is 'repeatable', 'by_key' or 'once'"),
    };
    let mean_hold =
        mean_holds.get(index).copied().filter(|mean_hold| mean_hold.is_finite() && *mean_hold > 0.0);
    Ok(GradeTerms {
        quoted: settings.positive_millis(&key("objective"))?,
        limit: settings.positive_millis(&key("deadline"))?,
        hold: mean_hold.with_context(|| format!("setting domain.mean_hold: none for grade {index}"))?
            * MS_PER_SECOND,
        earnings: settings.non_negative(&key("worth"))?,
        late_share: settings.non_negative(&key("late_worth"))?,
        repeatable,
        pools: settings.list(&format!("domain.pools_by_class.{index}"))?,
    })
}
