//! Reads the tables of rules, legs, service grades, tenants and routes.

use std::collections::HashMap;

use border::routes::{Route, Routes};
use frostthread::host::{GradeTerms, TenantTerms, Terms};
use iax2::Limits;

use super::reader::{Reader, Section};

/// A service grade as the settings describe it.
pub(super) struct GradeSettings {
    pub(super) name: String,
    /// How long a caller waits if its call does not say so, in milliseconds.
    pub(super) caller_timeout: f64,
    pub(super) terms: GradeTerms,
}

impl Reader<'_> {
    /// Reads a table of rules into `terms`. Missing keys have their value in `base`, if there is one.
    /// `resend` is the delay of IAX2's resends in milliseconds.
    pub(super) fn rules(
        &mut self,
        section: &mut Section,
        terms: Terms,
        resend: f64,
        base: Option<&Terms>,
    ) -> Terms {
        let has_max_retry_after = section.table.is_some_and(|table| table.contains_key("longest_advice"));
        let own_max_retry_after =
            self.time(section, "longest_advice", Some(0.0)).filter(|_| has_max_retry_after);
        let time = |pick: fn(&Terms) -> f64| base.map(pick);
        let boolean = |pick: fn(&Terms) -> bool, default| base.map_or(default, pick);
        let number = |pick: fn(&Terms) -> f64, default| base.map_or(default, |base| Some(pick(base)));
        let attempts = self.integer(section, "max_shots", 1, 100, base.map(|base| base.max_attempts));
        let over_share = number(|t| t.over_share, Some(1.0));
        let cold_from = number(|t| t.initial_capacity_share, Some(0.0));
        let fall_multiple = number(|t| t.overload_factor, None);
        let resends = self.boolean(section, "setups_repeat", boolean(|t| t.resend_after > 0.0, true));
        Terms {
            over_share: self.number(section, "over_share", 0.0, 1.0, over_share).unwrap_or(1.0),
            max_attempts: attempts.unwrap_or(1),
            max_retry_after: own_max_retry_after.or(base.and_then(|base| base.max_retry_after)),
            may_cancel: self.boolean(section, "cancel", boolean(|t| t.may_cancel, true)).unwrap_or(true),
            may_probe: self.boolean(section, "probe", boolean(|t| t.may_probe, true)).unwrap_or(true),
            release: self.time(section, "release", time(|t| t.release)).unwrap_or(1.0),
            resend_after: if resends.unwrap_or(true) { resend } else { 0.0 },
            respect_retry_after: self
                .boolean(section, "nacks_name_wait", boolean(|t| t.respect_retry_after, false))
                .unwrap_or(false),
            cold_duration: self.time(section, "cold", time(|t| t.cold_duration)).unwrap_or(1.0),
            initial_capacity_share: self.number(section, "cold_from", 0.0, 1.0, cold_from).unwrap_or(0.0),
            overload_factor: self.number(section, "fall_multiple", 1.0, 1000.0, fall_multiple).unwrap_or(2.0),
            overload_duration: self.time(section, "fall_span", time(|t| t.overload_duration)).unwrap_or(1.0),
            ..terms
        }
    }

    /// Reads the limits on IAX2 legs.
    pub(super) fn limits(&mut self, top: &mut Section) -> Limits {
        let default = Limits::default();
        let mut section = self.section(top, "iax2", false);
        if section.table.is_none() {
            return default;
        }
        let limits = Limits {
            max_legs: self
                .integer(&mut section, "legs", 2, 10_000_000, Some(default.max_legs as u32))
                .unwrap_or(2) as usize,
            resend_delay: self
                .time(&mut section, "resend", Some(default.resend_delay))
                .unwrap_or(default.resend_delay),
            max_resends: self.integer(&mut section, "resends", 0, 20, Some(default.max_resends)).unwrap_or(0),
            ping_interval: self
                .time(&mut section, "ping", Some(default.ping_interval))
                .unwrap_or(default.ping_interval),
        };
        self.finish(section);
        limits
    }

    /// Reads the service grades.
    pub(super) fn grades(&mut self, top: &mut Section) -> Vec<GradeSettings> {
        let mut grades = Vec::new();
        for mut section in self.sections(top, "grade") {
            let limit = self.time(&mut section, "limit", None).unwrap_or(1.0);
            let quoted = self.time(&mut section, "quoted", None).unwrap_or(1.0);
            if quoted > limit {
                self.fault(
                    section.line,
                    section.key("quoted"),
                    format!("{quoted} ms"),
                    format!("at most limit, {limit} ms"),
                );
            }
            let pools =
                self.value(&mut section, "pools", "a list of pool numbers, not empty", None, |value| {
                    let pools: Option<Vec<u16>> =
                        value.as_array()?.iter().map(|v| u16::try_from(v.as_integer()?).ok()).collect();
                    pools.filter(|pools| !pools.is_empty())
                });
            let name = self.text(&mut section, "name", None).unwrap_or_default();
            if grades.iter().any(|grade: &GradeSettings| grade.name == name) {
                self.fault(section.line, section.key("name"), format!("{name:?} again"), "a unique name");
            }
            grades.push(GradeSettings {
                name,
                caller_timeout: self.time(&mut section, "patience", Some(limit)).unwrap_or(limit),
                terms: GradeTerms {
                    quoted,
                    limit,
                    hold: self.time(&mut section, "hold", None).unwrap_or(1.0),
                    earnings: self.number(&mut section, "earnings", 0.0, 1e9, None).unwrap_or(1.0),
                    late_share: self.number(&mut section, "late", 0.0, 1.0, Some(0.0)).unwrap_or(0.0),
                    repeatable: self.boolean(&mut section, "repeatable", true).unwrap_or(true),
                    pools: pools.unwrap_or_default(),
                },
            });
            self.finish(section);
        }
        if grades.is_empty() {
            self.fault(1, "grade".to_owned(), "nothing", "at least one [[grade]]");
        }
        grades
    }

    /// Reads the tenants: name, terms, and the user names and contexts that identify each.
    pub(super) fn tenants(&mut self, top: &mut Section) -> Vec<(String, TenantTerms, Vec<String>)> {
        let mut tenants = Vec::new();
        for mut section in self.sections(top, "tenant") {
            let name = self.text(&mut section, "name", None).unwrap_or_default();
            let quota = self.number(&mut section, "quota", 0.0, 1e9, None).unwrap_or(0.0);
            let known_by = self.text_list(&mut section, "known_by").unwrap_or_default();
            self.finish(section);
            tenants.push((name, TenantTerms { quota }, known_by));
        }
        tenants
    }

    /// Reads the routes.
    pub(super) fn routes(
        &mut self,
        top: &mut Section,
        grades: &[GradeSettings],
        tenants: &[(String, TenantTerms, Vec<String>)],
    ) -> Routes {
        let by_name: HashMap<&str, usize> =
            grades.iter().enumerate().map(|(i, g)| (&g.name[..], i)).collect();
        let mut routes = Vec::new();
        for mut section in self.sections(top, "route") {
            let context = self.text(&mut section, "context", Some(""));
            let prefix = self.text(&mut section, "prefix", Some(""));
            let wanted = "the name of a [[grade]]";
            let grade =
                self.value(&mut section, "grade", wanted, None, |v| by_name.get(v.as_str()?).copied());
            let pool =
                self.integer(&mut section, "pool", 0, u32::from(u16::MAX), None).map(|pool| pool as u16);
            if let Some((grade, pool)) = grade.zip(pool)
                && !grades[grade].terms.pools.contains(&pool)
            {
                let wanted = format!("one of the pools of grade {}", grades[grade].name);
                self.fault(section.line, section.key("pool"), pool.to_string(), wanted);
            }
            self.finish(section);
            if let (Some(context), Some(prefix), Some(grade), Some(pool)) = (context, prefix, grade, pool) {
                routes.push(Route { context, prefix, grade, pool });
            }
        }
        if routes.is_empty() && self.faults.is_empty() {
            self.fault(1, "route".to_owned(), "nothing", "at least one [[route]]");
        }
        let tenant_names = tenants.iter().enumerate().flat_map(|(i, (name, _, known_by))| {
            let names = if known_by.is_empty() { vec![name.clone()] } else { known_by.clone() };
            names.into_iter().map(move |name| (name, i))
        });
        Routes::new(routes, tenant_names)
    }
}
