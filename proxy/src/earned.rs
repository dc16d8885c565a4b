//! What became of this proxy's conversations, span by span, as the council is told for comparison.

use frostthread::choice::{Histogram, quantile_after};
use frostthread::host::GradeTerms;
use outs::evidence::Report;

/// The quantile that is told leaves out this part of all set-ups, as the design's does for mean earnings.
const VIOLATION: f64 = 0.05;

#[derive(Default)]
pub struct Earned {
    grades: Vec<GradeTerms>,
    conversations: u16,
    could: f64,
    kept: f64,
    lost: u16,
    delays: Histogram,
}

impl Earned {
    pub fn new(grades: Vec<GradeTerms>) -> Self {
        Self { grades, ..Self::default() }
    }

    /// A conversation of a grade stands, so many milliseconds after it was taken.
    pub fn stood(&mut self, grade: usize, took: f64) {
        let Some(grade) = self.grades.get(grade) else { return };
        self.conversations = self.conversations.saturating_add(1);
        self.could += grade.earnings;
        self.kept += grade.earnings * if took <= grade.quoted { 1.0 } else { grade.late_share };
        self.delays.record(took / grade.limit);
    }

    /// One was refused, failed or cut; or, of no known grade, had no route.
    pub fn lost(&mut self, grade: Option<usize>) {
        self.conversations = self.conversations.saturating_add(1);
        self.could += grade.and_then(|grade| self.grades.get(grade)).map_or(0.0, |grade| grade.earnings);
        self.lost = self.lost.saturating_add(1);
    }

    /// One that stood was cut: it had counted as kept.
    pub fn cut(&mut self) {
        self.lost = self.lost.saturating_add(1).min(self.conversations);
    }

    /// What there was since this was last asked.
    pub fn report(&mut self) -> Report {
        let report = Report {
            conversations: self.conversations,
            earned: if self.could > 0.0 { (self.kept / self.could) as f32 } else { 0.0 },
            failed: f32::from(self.lost) / f32::from(self.conversations.max(1)),
            setup_quantile: quantile_after(&self.delays, VIOLATION, 0.0) as f32,
        };
        *self = Self::new(std::mem::take(&mut self.grades));
        report
    }
}
