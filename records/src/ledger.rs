//! Builds tries from a journal's entries. Pass all entries to [`Ledger::apply`] in order, segment after segment; then
//! [`Ledger::tries`] returns one try for each that was opened.
//!
//! A try that is still open when a later generation starts, or at the end, is lost: it is closed at the time of its
//! generation's last entry, and never billed. Repeated entries have no effect: after a failed write or sync a journal holds
//! some of its entries twice, in the same order. An entry whose opening entry was damaged is counted, since no record can
//! be built from it.

use std::collections::{BTreeMap, BTreeSet};

use crate::entry::{Author, Entry, Outcome, Try, TryId};

/// A try that is not closed yet.
struct OpenTry {
    record: Try,
    /// Time and server of its attempts, by which repeated entries are recognised.
    attempts: BTreeSet<(u64, String)>,
}

impl OpenTry {
    fn apply_attempt(&mut self, unix_ms: u64, server: String) {
        if !self.attempts.insert((unix_ms, server.clone())) {
            return;
        }
        (self.record.attempts, self.record.server) = (self.record.attempts + 1, Some(server));
        // The answer to an earlier attempt was never passed on.
        self.record.answered = None;
    }
}

/// The tries found so far.
#[derive(Default)]
pub struct Ledger {
    author: Option<Author>,
    /// The latest time in this generation's entries.
    last_written_at: u64,
    open: BTreeMap<u64, OpenTry>,
    closed: BTreeMap<TryId, Try>,
    /// Entries without the opening entry of their try.
    orphans: u64,
}

impl Ledger {
    /// Applies the next entry.
    pub fn apply(&mut self, entry: Entry) {
        if let Entry::GenerationStarted(author) = entry {
            // Repeated at the head of each segment.
            if self.author.as_ref() != Some(&author) {
                self.close_open_as_lost();
                self.author = Some(author);
                self.last_written_at = 0;
            }
            return;
        }
        let Some(author) = &self.author else {
            self.orphans += 1;
            return;
        };
        match entry {
            Entry::GenerationStarted(_) => {}
            Entry::Opened { serial, unix_ms, calling, called, grade, tenant } => {
                self.last_written_at = self.last_written_at.max(unix_ms);
                let id = TryId { author: author.clone(), serial };
                if self.closed.contains_key(&id) {
                    return;
                }
                let opened = || Try {
                    id,
                    calling,
                    called,
                    grade,
                    tenant,
                    opened: unix_ms,
                    attempts: 0,
                    server: None,
                    answered: None,
                    closed: unix_ms,
                    outcome: Outcome::Lost,
                    over_share: false,
                };
                self.open
                    .entry(serial)
                    .or_insert_with(|| OpenTry { record: opened(), attempts: BTreeSet::new() });
            }
            Entry::Attempt { serial, unix_ms, server } => {
                self.last_written_at = self.last_written_at.max(unix_ms);
                match self.open.get_mut(&serial) {
                    Some(open) => open.apply_attempt(unix_ms, server),
                    None => self.count_if_orphan(serial),
                }
            }
            Entry::Answered { serial, unix_ms } => {
                self.last_written_at = self.last_written_at.max(unix_ms);
                match self.open.get_mut(&serial) {
                    Some(open) => open.record.answered = Some(unix_ms),
                    None => self.count_if_orphan(serial),
                }
            }
            Entry::Closed { serial, unix_ms, outcome, over_share } => {
                self.last_written_at = self.last_written_at.max(unix_ms);
                let Some(OpenTry { record: mut ended, .. }) = self.open.remove(&serial) else {
                    return self.count_if_orphan(serial);
                };
                // A clock that was set back must not end a call before it began.
                ended.closed = unix_ms.max(ended.answered.unwrap_or(ended.opened));
                // A completed call without a recorded answer is not billed, since the time of the answer is unknown.
                let consistent = outcome != Outcome::Completed || ended.answered.is_some();
                (ended.outcome, ended.over_share) =
                    (if consistent { outcome } else { Outcome::Lost }, over_share);
                // A server's answer that did not reach the caller establishes nothing.
                if !matches!(ended.outcome, Outcome::Completed | Outcome::Cut) {
                    ended.answered = None;
                }
                self.closed.insert(ended.id.clone(), ended);
            }
        }
    }

    /// Counts an entry of a try that is not open, unless the try is closed and the entry repeated.
    fn count_if_orphan(&mut self, serial: u64) {
        let Some(author) = self.author.clone() else { return };
        let is_repeated = self.closed.contains_key(&TryId { author, serial });
        self.orphans += u64::from(!is_repeated);
    }

    fn close_open_as_lost(&mut self) {
        for (_, OpenTry { record: mut open, .. }) in std::mem::take(&mut self.open) {
            open.closed = self.last_written_at.max(open.opened);
            self.closed.insert(open.id.clone(), open);
        }
    }

    /// All opened tries, in order of author and serial, and the number of entries without an opening entry.
    pub fn tries(mut self) -> (Vec<Try>, u64) {
        self.close_open_as_lost();
        (self.closed.into_values().collect(), self.orphans)
    }
}
