//! Prices conversations. Money is whole thousandths of the unit that a plan is in; parts are whole thousandths too,
//! so that rating is exact and the same everywhere.
//!
//! A plan is a TOML file with a version and the date from which it is in force; [`Plans`] holds several, and a
//! conversation is rated by the one in force at its first try, whatever comes into force before it ends.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::entry::Outcome;
use crate::join::Conversation;

const WHOLE_THOUSANDTHS: u64 = 1000;

#[derive(Debug, Error, PartialEq, Eq)]
pub enum InvalidPlan {
    #[error("plan: {0}")]
    Syntax(String),
    #[error("plan {version}: effective: found {found:?}, wanted a time as \"2026-12-01T00:00:00Z\"")]
    Effective { version: u32, found: String },
    #[error("plan {version}: {field}: found {found}, wanted at most {max}")]
    TooLarge { version: u32, field: String, found: u64, max: u64 },
    #[error("plan {0}: comes twice")]
    DuplicateVersion(u32),
    #[error("plans {0} and {1} come into force at the same time")]
    SameEffectiveTime(u32, u32),
    #[error("plan {0}: no [grade] at all")]
    NoGrades(u32),
}

/// What a service grade costs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// For a conversation that stood, in thousandths.
    #[serde(rename = "stands")]
    pub per_call: u64,
    /// For each minute begun while it stood, in thousandths.
    #[serde(default, rename = "minute")]
    pub per_minute: u64,
    /// It is late when it stood so many milliseconds after its first try, and then pays this part of `stands`.
    #[serde(rename = "quoted")]
    pub quoted_ms: u64,
    pub late_part: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub version: u32,
    effective: String,
    /// The part that a conversation pays over its tenant's share.
    pub over_share_part: u64,
    pub grade: BTreeMap<String, Price>,
    /// The part that a tenant pays of all; the whole where it is not named.
    #[serde(default)]
    pub tenant: BTreeMap<String, u64>,
    #[serde(skip)]
    effective_ms: u64,
}

/// A conversation's price, with all that it follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rated {
    /// 0 where no plan was in force, or it does not name the grade: told by `known`.
    pub plan: u32,
    pub known: bool,
    pub amount: u64,
    pub late: bool,
    pub minutes: u64,
}

impl Plan {
    pub fn read(source: &str) -> Result<Self, InvalidPlan> {
        let mut plan: Self = toml::from_str(source)
            .map_err(|error| InvalidPlan::Syntax(error.to_string().trim_end().to_owned()))?;
        let version = plan.version;
        let time = humantime::parse_rfc3339(&plan.effective).ok();
        let since_epoch = time.and_then(|time| time.duration_since(std::time::UNIX_EPOCH).ok());
        let Some(since_epoch) = since_epoch else {
            return Err(InvalidPlan::Effective { version, found: plan.effective });
        };
        plan.effective_ms = since_epoch.as_millis() as u64;
        let parts =
            plan.grade.iter().map(|(name, price)| (format!("grade.{name}.late_part"), price.late_part));
        let parts = parts.chain(plan.tenant.iter().map(|(name, part)| (format!("tenant.{name}"), *part)));
        let parts = parts.chain([("over_share_part".to_owned(), plan.over_share_part)]);
        // Far from where a sum over a year could overflow.
        let max = u64::from(u32::MAX);
        let prices = plan.grade.iter().flat_map(|(name, price)| {
            [
                (format!("grade.{name}.stands"), price.per_call),
                (format!("grade.{name}.minute"), price.per_minute),
            ]
        });
        let limits = parts
            .map(|(field, found)| (field, found, WHOLE_THOUSANDTHS))
            .chain(prices.map(|(field, price)| (field, price, max)));
        if let Some((field, found, max)) = limits.into_iter().find(|(_, found, max)| found > max) {
            return Err(InvalidPlan::TooLarge { version, field, found, max });
        }
        if plan.grade.is_empty() { Err(InvalidPlan::NoGrades(version)) } else { Ok(plan) }
    }

    /// Only what stood and was closed in order is billed: nothing that a crash left open.
    pub fn rate(&self, conversation: &Conversation) -> Rated {
        let last = conversation.last();
        let Some(price) = self.grade.get(&last.grade) else {
            return Rated { plan: self.version, known: false, amount: 0, late: false, minutes: 0 };
        };
        let not_billed = Rated { plan: self.version, known: true, amount: 0, late: false, minutes: 0 };
        let Some(answered) = last.answered.filter(|_| conversation.outcome() == Outcome::Completed) else {
            return not_billed;
        };
        let late = answered.saturating_sub(conversation.first_opened_at()) > price.quoted_ms;
        let minutes = last.closed.saturating_sub(answered).div_ceil(60_000);
        let call_price =
            if late { price.per_call * price.late_part / WHOLE_THOUSANDTHS } else { price.per_call };
        let full = call_price.saturating_add(price.per_minute.saturating_mul(minutes));
        let share_part = if last.over_share { self.over_share_part } else { WHOLE_THOUSANDTHS };
        let tenant_part = self.tenant.get(&last.tenant).copied().unwrap_or(WHOLE_THOUSANDTHS);
        // Multiplied out first, so that it is rounded down once.
        let amount = u128::from(full) * u128::from(share_part) * u128::from(tenant_part)
            / u128::from(WHOLE_THOUSANDTHS * WHOLE_THOUSANDTHS);
        Rated { amount: u64::try_from(amount).unwrap_or(u64::MAX), late, minutes, ..not_billed }
    }
}

/// All plans, by when they come into force.
#[derive(Clone, Debug, Default)]
pub struct Plans(BTreeMap<u64, Plan>);

impl Plans {
    pub fn add(&mut self, plan: Plan) -> Result<(), InvalidPlan> {
        if self.0.values().any(|other| other.version == plan.version) {
            return Err(InvalidPlan::DuplicateVersion(plan.version));
        }
        if let Some(other) = self.0.get(&plan.effective_ms) {
            return Err(InvalidPlan::SameEffectiveTime(other.version, plan.version));
        }
        self.0.insert(plan.effective_ms, plan);
        Ok(())
    }

    /// Rates by the plan in force at the first try.
    pub fn rate(&self, conversation: &Conversation) -> Rated {
        let unknown = Rated { plan: 0, known: false, amount: 0, late: false, minutes: 0 };
        let plan = self.0.range(..=conversation.first_opened_at()).next_back();
        plan.map_or(unknown, |(_, plan)| plan.rate(conversation))
    }
}
