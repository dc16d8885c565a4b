//! Prices conversations. Amounts are integers in thousandths of the plan's currency unit, and parts of an amount are in
//! thousandths too, so that rating is exact and the same everywhere.
//!
//! A plan is a TOML file with a version and the time from which it is in force. [`Plans`] holds several; a conversation
//! is rated by the plan in force at its first try, even if another one comes into force before it ends.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::entry::Outcome;
use crate::join::Conversation;

/// The whole of an amount, in thousandths.
const WHOLE_THOUSANDTHS: u64 = 1000;
const MS_PER_MINUTE: u64 = 60_000;

/// Why a plan cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum InvalidPlan {
    /// It is not valid TOML, or has missing or unknown fields.
    #[error("plan: {0}")]
    Syntax(String),
    /// The time from which it is in force cannot be read.
    #[error("plan {version}: effective: found {found:?}, wanted a time as \"2026-12-01T00:00:00Z\"")]
    Effective { version: u32, found: String },
    /// A price or part is too large.
    #[error("plan {version}: {field}: found {found}, wanted at most {max}")]
    TooLarge { version: u32, field: String, found: u64, max: u64 },
    /// Another plan has the same version.
    #[error("plan {0}: another plan has the same version")]
    DuplicateVersion(u32),
    /// Two plans come into force at the same time.
    #[error("plans {0} and {1} come into force at the same time")]
    SameEffectiveTime(u32, u32),
    /// It prices no grade.
    #[error("plan {0}: found no [grade], wanted at least one")]
    NoGrades(u32),
}

/// The prices of a service grade, in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// For a completed call.
    #[serde(rename = "stands")]
    pub per_call: u64,
    /// For each started minute of the call.
    #[serde(default, rename = "minute")]
    pub per_minute: u64,
    /// The quoted time: a call established later than this after its first try is late. In milliseconds.
    #[serde(rename = "quoted")]
    pub quoted_ms: u64,
    /// The part of the price per call that a late call pays, in thousandths.
    pub late_part: u64,
}

/// A price list with the time from which it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The version, unique among all plans.
    pub version: u32,
    effective: String,
    /// The part of the price that a conversation pays when its tenant is over its share, in thousandths.
    pub over_share_part: u64,
    /// Prices by the name of the service grade.
    pub grade: BTreeMap<String, Price>,
    /// The part of the price that a tenant pays, in thousandths; the whole price if it is not named.
    #[serde(default)]
    pub tenant: BTreeMap<String, u64>,
    /// `effective` in Unix milliseconds.
    #[serde(skip)]
    effective_ms: u64,
}

/// The price of a conversation, and what it is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rated {
    /// The version of the plan in force, or 0 if there was none.
    pub plan: u32,
    /// Whether a plan was in force and prices the grade.
    pub known: bool,
    /// The price, in thousandths.
    pub amount: u64,
    /// Whether it was established after the quoted time.
    pub late: bool,
    /// The started minutes that were billed.
    pub minutes: u64,
}

impl Plan {
    /// Parses a plan.
    ///
    /// # Errors
    ///
    /// Fails on an invalid plan; the error names the field.
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
        // Small enough that a sum over a year cannot overflow.
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

    /// Prices a conversation. Only completed calls are billed, and none that a crash left open.
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
        let minutes = last.closed.saturating_sub(answered).div_ceil(MS_PER_MINUTE);
        let call_price =
            if late { price.per_call * price.late_part / WHOLE_THOUSANDTHS } else { price.per_call };
        let full = call_price.saturating_add(price.per_minute.saturating_mul(minutes));
        let share_part = if last.over_share { self.over_share_part } else { WHOLE_THOUSANDTHS };
        let tenant_part = self.tenant.get(&last.tenant).copied().unwrap_or(WHOLE_THOUSANDTHS);
        // Multiply before dividing, so that it is rounded down only once.
        let amount = u128::from(full) * u128::from(share_part) * u128::from(tenant_part)
            / u128::from(WHOLE_THOUSANDTHS * WHOLE_THOUSANDTHS);
        Rated { amount: u64::try_from(amount).unwrap_or(u64::MAX), late, minutes, ..not_billed }
    }
}

/// All plans, by the time from which they are in force.
#[derive(Clone, Debug, Default)]
pub struct Plans(BTreeMap<u64, Plan>);

impl Plans {
    /// Adds a plan.
    ///
    /// # Errors
    ///
    /// Fails when another plan has the same version or comes into force at the same time.
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

    /// Prices a conversation by the plan in force at its first try.
    pub fn rate(&self, conversation: &Conversation) -> Rated {
        let unknown = Rated { plan: 0, known: false, amount: 0, late: false, minutes: 0 };
        let plan = self.0.range(..=conversation.first_opened_at()).next_back();
        plan.map_or(unknown, |(_, plan)| plan.rate(conversation))
    }
}
