//! Turns events of conversations into entries of the records' journal, in order. The daemon drains them with
//! [`crate::BorderProxy::next_journal_entry`], stores them, and reports what is stored with
//! [`crate::BorderProxy::entries_stored`]; only then are the answers sent that depend on it.

use std::collections::VecDeque;

use records::entry::{Entry, NumberedEntry, Outcome};

/// The numbers of a recorded try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordedTry {
    /// The try's number within the generation.
    pub serial: u64,
    /// The number of its opening entry.
    pub opened_entry: u64,
}

/// The names used in the journal, and the entries to be written.
pub struct JournalWriter {
    grades: Vec<String>,
    tenants: Vec<String>,
    /// The Unix time in milliseconds at the proxy's time 0. A step of the wall clock does not move entries.
    unix_at_zero: f64,
    serial: u64,
    /// The number of the latest entry.
    last_entry: u64,
    entries: VecDeque<NumberedEntry>,
}

impl JournalWriter {
    /// `grades` and `tenants` are the names by index; `unix_at_zero` is the Unix time in milliseconds at the
    /// proxy's time 0.
    pub fn new(grades: Vec<String>, tenants: Vec<String>, unix_at_zero: f64) -> Self {
        Self { grades, tenants, unix_at_zero, serial: 0, last_entry: 0, entries: VecDeque::new() }
    }

    fn unix_ms(&self, now: f64) -> u64 {
        (self.unix_at_zero + now).max(0.0) as u64
    }

    /// Queues an entry; returns its number.
    fn push(&mut self, entry: Entry) -> u64 {
        self.last_entry += 1;
        self.entries.push_back(NumberedEntry { number: self.last_entry, entry });
        self.last_entry
    }

    /// Records an accepted conversation; returns its numbers.
    pub fn opened(
        &mut self,
        now: f64,
        calling: &str,
        called: &str,
        grade: usize,
        tenant: Option<usize>,
    ) -> RecordedTry {
        self.serial += 1;
        let (serial, at) = (self.serial, self.unix_ms(now));
        let tenant = tenant.and_then(|tenant| self.tenants.get(tenant)).cloned().unwrap_or_default();
        let grade = self.grades.get(grade).cloned().unwrap_or_default();
        let (calling, called) = (calling.to_owned(), called.to_owned());
        let opened_entry = self.push(Entry::Opened { serial, unix_ms: at, calling, called, grade, tenant });
        RecordedTry { serial, opened_entry }
    }

    /// Records an attempt sent to a server.
    pub fn attempt_sent(&mut self, now: f64, serial: u64, server: &str) {
        let at = self.unix_ms(now);
        self.push(Entry::Attempt { serial, unix_ms: at, server: server.to_owned() });
    }

    /// Records that a conversation was answered; returns the number of the entry.
    pub fn answered(&mut self, now: f64, serial: u64) -> u64 {
        let at = self.unix_ms(now);
        self.push(Entry::Answered { serial, unix_ms: at })
    }

    /// Records the outcome of a conversation.
    pub fn closed(&mut self, now: f64, serial: u64, outcome: Outcome) {
        let at = self.unix_ms(now);
        self.push(Entry::Closed { serial, unix_ms: at, outcome, over_share: false });
    }

    /// The next entry to be written.
    pub fn next_entry(&mut self) -> Option<NumberedEntry> {
        self.entries.pop_front()
    }
}
