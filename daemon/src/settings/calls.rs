//! Rules, legs, service grades, tenants and routes.

use std::collections::HashMap;

use border::routes::{Route, Routes};
use frostthread::host::{GradeTerms, TenantTerms, Terms};
use iax2::Limits;

use super::reader::{Reader, Rows};

pub(super) struct GradePlan {
    pub(super) name: String,
    pub(super) patience: f64,
    pub(super) terms: GradeTerms,
}

impl Reader<'_> {
    /// The rules of a table, into `terms`; what is left out stands as in `base`, where there is one.
    pub(super) fn rules(
        &mut self,
        rows: &mut Rows,
        terms: Terms,
        resend: f64,
        base: Option<&Terms>,
    ) -> Terms {
        let advised = rows.table.is_some_and(|table| table.contains_key("longest_advice"));
        let advice = self.time(rows, "longest_advice", Some(0.0)).filter(|_| advised);
        let time = |pick: fn(&Terms) -> f64| base.map(pick);
        let truth = |pick: fn(&Terms) -> bool, usual| base.map_or(usual, pick);
        let number = |pick: fn(&Terms) -> f64, usual| base.map_or(usual, |base| Some(pick(base)));
        let shots = self.whole(rows, "max_shots", 1, 100, base.map(|base| base.max_attempts));
        let over_share = number(|t| t.over_share, Some(1.0));
        let cold_from = number(|t| t.initial_capacity_share, Some(0.0));
        let fall_multiple = number(|t| t.overload_factor, None);
        let repeats = self.truth(rows, "setups_repeat", truth(|t| t.resend_after > 0.0, true));
        Terms {
            over_share: self.number(rows, "over_share", 0.0, 1.0, over_share).unwrap_or(1.0),
            max_attempts: shots.unwrap_or(1),
            max_retry_after: advice.or(base.and_then(|base| base.max_retry_after)),
            may_cancel: self.truth(rows, "cancel", truth(|t| t.may_cancel, true)).unwrap_or(true),
            may_probe: self.truth(rows, "probe", truth(|t| t.may_probe, true)).unwrap_or(true),
            release: self.time(rows, "release", time(|t| t.release)).unwrap_or(1.0),
            resend_after: if repeats.unwrap_or(true) { resend } else { 0.0 },
            respect_retry_after: self
                .truth(rows, "nacks_name_wait", truth(|t| t.respect_retry_after, false))
                .unwrap_or(false),
            cold_duration: self.time(rows, "cold", time(|t| t.cold_duration)).unwrap_or(1.0),
            initial_capacity_share: self.number(rows, "cold_from", 0.0, 1.0, cold_from).unwrap_or(0.0),
            overload_factor: self.number(rows, "fall_multiple", 1.0, 1000.0, fall_multiple).unwrap_or(2.0),
            overload_duration: self.time(rows, "fall_span", time(|t| t.overload_duration)).unwrap_or(1.0),
            ..terms
        }
    }

    pub(super) fn limits(&mut self, top: &mut Rows) -> Limits {
        let usual = Limits::default();
        let mut rows = self.rows(top, "iax2", false);
        if rows.table.is_none() {
            return usual;
        }
        let limits = Limits {
            max_legs: self.whole(&mut rows, "legs", 2, 10_000_000, Some(usual.max_legs as u32)).unwrap_or(2)
                as usize,
            resend_delay: self
                .time(&mut rows, "resend", Some(usual.resend_delay))
                .unwrap_or(usual.resend_delay),
            max_resends: self.whole(&mut rows, "resends", 0, 20, Some(usual.max_resends)).unwrap_or(0),
            ping_interval: self
                .time(&mut rows, "ping", Some(usual.ping_interval))
                .unwrap_or(usual.ping_interval),
        };
        self.done(rows);
        limits
    }

    pub(super) fn grades(&mut self, top: &mut Rows) -> Vec<GradePlan> {
        let mut grades = Vec::new();
        for mut rows in self.each(top, "grade") {
            let limit = self.time(&mut rows, "limit", None).unwrap_or(1.0);
            let quoted = self.time(&mut rows, "quoted", None).unwrap_or(1.0);
            if quoted > limit {
                self.fault(
                    rows.line,
                    rows.key("quoted"),
                    format!("{quoted} ms"),
                    format!("at most limit, {limit} ms"),
                );
            }
            let pools = self.value(&mut rows, "pools", "a list of pool numbers, not empty", None, |value| {
                let pools: Option<Vec<u16>> =
                    value.as_array()?.iter().map(|v| u16::try_from(v.as_integer()?).ok()).collect();
                pools.filter(|pools| !pools.is_empty())
            });
            let name = self.text(&mut rows, "name", None).unwrap_or_default();
            if grades.iter().any(|grade: &GradePlan| grade.name == name) {
                self.fault(rows.line, rows.key("name"), format!("{name:?} again"), "a name of its own");
            }
            grades.push(GradePlan {
                name,
                patience: self.time(&mut rows, "patience", Some(limit)).unwrap_or(limit),
                terms: GradeTerms {
                    quoted,
                    limit,
                    hold: self.time(&mut rows, "hold", None).unwrap_or(1.0),
                    earnings: self.number(&mut rows, "earnings", 0.0, 1e9, None).unwrap_or(1.0),
                    late_share: self.number(&mut rows, "late", 0.0, 1.0, Some(0.0)).unwrap_or(0.0),
                    repeatable: self.truth(&mut rows, "repeatable", true).unwrap_or(true),
                    pools: pools.unwrap_or_default(),
                },
            });
            self.done(rows);
        }
        if grades.is_empty() {
            self.fault(1, "grade".to_owned(), "nothing", "at least one [[grade]]");
        }
        grades
    }

    pub(super) fn tenants(&mut self, top: &mut Rows) -> Vec<(String, TenantTerms, Vec<String>)> {
        let mut tenants = Vec::new();
        for mut rows in self.each(top, "tenant") {
            let name = self.text(&mut rows, "name", None).unwrap_or_default();
            let quota = self.number(&mut rows, "quota", 0.0, 1e9, None).unwrap_or(0.0);
            let known_by = self.texts(&mut rows, "known_by").unwrap_or_default();
            self.done(rows);
            tenants.push((name, TenantTerms { quota }, known_by));
        }
        tenants
    }

    pub(super) fn routes(
        &mut self,
        top: &mut Rows,
        grades: &[GradePlan],
        tenants: &[(String, TenantTerms, Vec<String>)],
    ) -> Routes {
        let by_name: HashMap<&str, usize> =
            grades.iter().enumerate().map(|(i, g)| (&g.name[..], i)).collect();
        let mut routes = Vec::new();
        for mut rows in self.each(top, "route") {
            let context = self.text(&mut rows, "context", Some(""));
            let prefix = self.text(&mut rows, "prefix", Some(""));
            let wanted = "the name of a [[grade]]";
            let grade = self.value(&mut rows, "grade", wanted, None, |v| by_name.get(v.as_str()?).copied());
            let pool = self.whole(&mut rows, "pool", 0, u32::from(u16::MAX), None).map(|pool| pool as u16);
            if let Some((grade, pool)) = grade.zip(pool)
                && !grades[grade].terms.pools.contains(&pool)
            {
                let wanted = format!("one of the pools of grade {}", grades[grade].name);
                self.fault(rows.line, rows.key("pool"), pool.to_string(), wanted);
            }
            self.done(rows);
            if let (Some(context), Some(prefix), Some(grade), Some(pool)) = (context, prefix, grade, pool) {
                routes.push(Route { context, prefix, grade, pool });
            }
        }
        if routes.is_empty() && self.faults.is_empty() {
            self.fault(1, "route".to_owned(), "nothing", "at least one [[route]]");
        }
        let known = tenants.iter().enumerate().flat_map(|(i, (name, _, known_by))| {
            let names = if known_by.is_empty() { vec![name.clone()] } else { known_by.clone() };
            names.into_iter().map(move |name| (name, i))
        });
        Routes::new(routes, known)
    }
}
