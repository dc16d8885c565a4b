//! What became of this proxy's conversations, span by span, as the council is told for comparison.

use frostthread::choice::{Histogram, quantile_after};
use frostthread::host::GradeTerms;
use outs::evidence::Report;

/// The quantile that is told leaves out this part of all set-ups, as the design's does for mean earnings.
const VIOLATION_PROBABILITY: f64 = 0.05;

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
    pub fn new(grades: Vec<GradeTerms>) -> Self {
        Self { grades, ..Self::default() }
    }

    /// A conversation of a grade stands, so many milliseconds after it was taken.
    pub fn conversation_established(&mut self, grade: usize, took: f64) {
        let Some(grade) = self.grades.get(grade) else { return };
        self.conversations = self.conversations.saturating_add(1);
        self.possible += grade.earnings;
        self.earned += grade.earnings * if took <= grade.quoted { 1.0 } else { grade.late };
        self.delays.count(took / grade.limit);
    }

    /// One was refused, failed or cut; or, of no known grade, had no route.
    pub fn conversation_lost(&mut self, grade: Option<usize>) {
        self.conversations = self.conversations.saturating_add(1);
        self.possible += grade.and_then(|grade| self.grades.get(grade)).map_or(0.0, |grade| grade.earnings);
        self.lost = self.lost.saturating_add(1);
    }

    /// One that stood was cut: it had counted as kept.
    pub fn conversation_cut(&mut self) {
        self.lost = self.lost.saturating_add(1).min(self.conversations);
    }

    /// What there was since this was last asked.
    pub fn take_report(&mut self) -> Report {
        let report = Report {
            conversations: self.conversations,
            kept: if self.possible > 0.0 { (self.earned / self.possible) as f32 } else { 0.0 },
            lost: f32::from(self.lost) / f32::from(self.conversations.max(1)),
            quantile: quantile_after(&self.delays, VIOLATION_PROBABILITY, 0.0) as f32,
        };
        *self = Self::new(std::mem::take(&mut self.grades));
        report
    }
}
