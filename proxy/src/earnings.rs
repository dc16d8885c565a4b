//! The outcomes of this proxy's conversations by reporting period, which the council compares across proxies.

use frostthread::choice::{Histogram, quantile_after};
use frostthread::host::GradeTerms;
use outs::evidence::Report;

/// The reported quantile leaves out this part of all set-ups, the violation probability that the design uses
/// for mean earnings.
const VIOLATION_PROBABILITY: f64 = 0.05;

/// Outcomes since the last report.
#[derive(Default)]
pub struct EarningsPeriod {
    grades: Vec<GradeTerms>,
    conversations: u16,
    possible: f64,
    earned: f64,
    lost: u16,
    delays: Histogram,
}

impl EarningsPeriod {
    /// Starts an empty period.
    pub fn new(grades: Vec<GradeTerms>) -> Self {
        Self { grades, ..Self::default() }
    }

    /// Counts a conversation that was established `set_up_ms` milliseconds after it was accepted.
    pub fn conversation_established(&mut self, grade: usize, set_up_ms: f64) {
        let Some(grade) = self.grades.get(grade) else { return };
        self.conversations = self.conversations.saturating_add(1);
        self.possible += grade.earnings;
        self.earned += grade.earnings * if set_up_ms <= grade.quoted { 1.0 } else { grade.late_share };
        self.delays.record(set_up_ms / grade.limit);
    }

    /// Counts a conversation that was refused, failed or cut; `None` if it had no route and thus no grade.
    pub fn conversation_lost(&mut self, grade: Option<usize>) {
        self.conversations = self.conversations.saturating_add(1);
        self.possible += grade.and_then(|grade| self.grades.get(grade)).map_or(0.0, |grade| grade.earnings);
        self.lost = self.lost.saturating_add(1);
    }

    /// Counts an established conversation that was cut. It already counted as earned, so only the losses
    /// grow.
    pub fn conversation_cut(&mut self) {
        self.lost = self.lost.saturating_add(1).min(self.conversations);
    }

    /// Returns the report of the period and starts a new one.
    pub fn take_report(&mut self) -> Report {
        let report = Report {
            conversations: self.conversations,
            earned: if self.possible > 0.0 { (self.earned / self.possible) as f32 } else { 0.0 },
            failed: f32::from(self.lost) / f32::from(self.conversations.max(1)),
            setup_quantile: quantile_after(&self.delays, VIOLATION_PROBABILITY, 0.0) as f32,
        };
        *self = Self::new(std::mem::take(&mut self.grades));
        report
    }
}
