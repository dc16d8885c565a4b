//! Reads an instance's settings, `path=value` a line, into the module's terms.

use std::collections::HashMap;
use std::str::FromStr;

use anyhow::{Context, Result, bail, ensure};
use frostthread::host::{GradeTerms, Report, TenantTerms, Terms};

/// No list in the settings is longer than this.
const LONGEST_LIST: usize = 10_000;

/// The settings as they came; keys that are not asked for are ignored.
struct Pairs<'a>(HashMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn text(&self, key: &str) -> Result<&str> {
        self.0.get(key).copied().with_context(|| format!("launch: setting {key} is missing"))
    }

    fn value<T: FromStr>(&self, key: &str) -> Result<T> {
        let text = self.text(key)?;
        text.parse().ok().with_context(|| format!("launch: setting {key} has no use for {text:?}"))
    }

    fn number(&self, key: &str) -> Result<f64> {
        let number: f64 = self.value(key)?;
        ensure!(number.is_finite() && number >= 0.0, "launch: setting {key} is {number}");
        Ok(number)
    }

    /// A time, in seconds there, as milliseconds.
    fn millis(&self, key: &str) -> Result<f64> {
        Ok(self.number(key)? * 1000.0)
    }

    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>> {
        let parts = self.text(key)?.split(',').filter(|part| !part.is_empty());
        let parse =
            |part: &str| part.parse().ok().with_context(|| format!("launch: setting {key}: {part:?}"));
        parts.map(parse).collect()
    }

    fn count(&self, key: &str) -> Result<usize> {
        let count = self.value(key)?;
        ensure!(count <= LONGEST_LIST, "launch: setting {key} is {count}, over {LONGEST_LIST}");
        Ok(count)
    }
}

/// The place of each figure in a report.
#[derive(Clone, Debug, Default)]
pub struct ReportOrder {
    free: Option<usize>,
    lines: Option<usize>,
    rate: Option<usize>,
    wait: Option<usize>,
}

impl ReportOrder {
    /// The figures that a report holds; one below zero was not told.
    pub fn read(&self, values: &[f32]) -> Report {
        let figure = |place: Option<usize>| {
            let value = values.get(place?).copied().map(f64::from);
            value.filter(|value| value.is_finite() && *value >= 0.0)
        };
        Report {
            free: figure(self.free),
            lines: figure(self.lines),
            rate: figure(self.rate),
            wait: figure(self.wait),
            stay_away: None,
        }
    }
}

pub fn read(setup: &[u8]) -> Result<(Terms, ReportOrder)> {
    let text = std::str::from_utf8(setup).context("launch: field setup is no text")?;
    let pairs = Pairs(text.lines().filter_map(|line| line.split_once('=')).collect());
    let names: Vec<String> =
        if pairs.0.contains_key("feedback.names") { pairs.list("feedback.names")? } else { Vec::new() };
    let place = |wanted: &str| names.iter().position(|name| name == wanted);
    let order = ReportOrder {
        free: place("idle"),
        lines: place("circuits"),
        rate: place("max_rate"),
        wait: place("svc_ms"),
    };

    ensure!(
        pairs.text("domain.network_form")? == "skills",
        "launch: setting domain.network_form: only 'skills' is served"
    );
    let holds: Vec<f64> = pairs.list("domain.mean_hold")?;
    let grades: Vec<GradeTerms> =
        (0..pairs.count("profiles.count")?).map(|i| grade(&pairs, i, &holds)).collect::<Result<_>>()?;
    ensure!(!grades.is_empty(), "launch: setting profiles.count is 0");
    let tenants = if pairs.0.contains_key("tenants.count") { pairs.count("tenants.count")? } else { 0 };
    let tenant = |i| Ok(TenantTerms { quota: pairs.number(&format!("tenants.{i}.quota_rps"))? });
    let terms = Terms {
        proxies: pairs.value("balancers")?,
        grades,
        tenants: (0..tenants).map(tenant).collect::<Result<_>>()?,
        over_share: if tenants > 0 { pairs.number("over_share_worth")? } else { 1.0 },
        max_shots: pairs.value("bounds.max_attempts")?,
        longest_advice: if pairs.value("bounds.retry_after")? {
            Some(pairs.millis("bounds.max_retry_after")?)
        } else {
            None
        },
        may_cancel: pairs.value("bounds.cancel")?,
        may_probe: pairs.value("bounds.may_probe")?,
        release: pairs.millis("domain.clear_wait")?,
        repeat: pairs.millis("domain.repeat")?,
        nacks_name_wait: pairs.value("domain.gives_wait")?,
        cold: pairs.millis("rules.cold")?,
        cold_from: pairs.number("rules.cold_from")?,
        fall_multiple: pairs.number("rules.overload_factor")?,
        fall_span: pairs.millis("rules.fall")?,
    };
    Ok((terms, order))
}

fn grade(pairs: &Pairs, i: usize, holds: &[f64]) -> Result<GradeTerms> {
    let key = |name: &str| format!("profiles.{i}.{name}");
    let effect = key("effect");
    let repeatable = match pairs.text(&effect)? {
        "repeatable" => true,
        "once" | "by_key" => false,
        other => bail!("launch: setting {effect} has no use for {other:?}"),
    };
    let hold = holds.get(i).copied().filter(|hold| hold.is_finite() && *hold > 0.0);
    Ok(GradeTerms {
        quoted: pairs.millis(&key("objective"))?,
        limit: pairs.millis(&key("deadline"))?,
        hold: hold.with_context(|| format!("launch: setting domain.mean_hold: none for grade {i}"))? * 1000.0,
        earnings: pairs.number(&key("worth"))?,
        late: pairs.number(&key("late_worth"))?,
        repeatable,
        pools: pairs.list(&format!("domain.pools_by_class.{i}"))?,
    })
}
