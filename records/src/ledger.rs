//! Builds tries from a journal's entries. Pass all entries to [`Ledger::apply`] in order, segment after segment; then
//! [`Ledger::tries`] returns one try for each that was opened.
//!
//! A try that is still open when a later generation starts, or at the end, is lost: it is closed at the time of its
//! generation's last entry, and never billed. Repeated entries have no effect. An entry whose opening entry was damaged
//! is counted, since no record can be built from it.

use std::collections::BTreeMap;

use crate::entry::{Author, Entry, Outcome, Try, TryId};

/// The tries found so far.
#[derive(Default)]
pub struct Ledger {
    author: Option<Author>,
    /// The latest time in this generation's entries.
    last_written_at: u64,
    open: BTreeMap<u64, Try>,
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
                self.open.entry(serial).or_insert_with(|| Try {
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
                });
            }
            Entry::Attempt { serial, unix_ms, server } => {
                self.last_written_at = self.last_written_at.max(unix_ms);
                match self.open.get_mut(&serial) {
                    Some(open) => {
                        (open.attempts, open.server) = (open.attempts + 1, Some(server));
                        // The answer to an earlier attempt was never passed on.
                        open.answered = None;
                    }
                    None => self.orphans += 1,
                }
            }
            Entry::Answered { serial, unix_ms } => {
                self.last_written_at = self.last_written_at.max(unix_ms);
                match self.open.get_mut(&serial) {
                    Some(open) => open.answered = Some(unix_ms),
                    None => self.orphans += 1,
                }
            }
            Entry::Closed { serial, unix_ms, outcome, over_share } => {
                self.last_written_at = self.last_written_at.max(unix_ms);
                let Some(mut ended) = self.open.remove(&serial) else {
                    let id = TryId { author: author.clone(), serial };
                    self.orphans += u64::from(!self.closed.contains_key(&id));
                    return;
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

    fn close_open_as_lost(&mut self) {
        for (_, mut open) in std::mem::take(&mut self.open) {
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
