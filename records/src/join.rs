//! Joins a caller's tries to one conversation, also across proxies.
//!
//! Tries belong together when they have the same calling and called number, grade and tenant, and each began no later
//! than the redial gap after all earlier ones had ended without being established. The result does not depend on the
//! order of the tries or on duplicates, which have the same id, and joining the joined tries again changes nothing.
//!
//! Two callers behind one number that call the same number at once cannot be distinguished from one caller who
//! redials. A try that overlaps another one in time is therefore a separate conversation, unless the other one's proxy
//! ended while it was open.

use std::collections::BTreeMap;

use crate::entry::{Outcome, Try, TryId};

/// A conversation, as its tries in order of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conversation {
    /// The tries, at least one.
    pub tries: Vec<Try>,
}

impl Conversation {
    /// The id of its first try, which identifies the conversation.
    pub fn id(&self) -> &TryId {
        &self.tries[0].id
    }

    /// When its first try was accepted, in Unix milliseconds.
    pub fn first_opened_at(&self) -> u64 {
        self.tries[0].opened
    }

    /// The try that was established, or else the last one.
    pub fn last(&self) -> &Try {
        self.tries.last().expect("never empty")
    }

    /// How the last try ended.
    pub fn outcome(&self) -> Outcome {
        self.last().outcome
    }

    /// Whether the next try is a redial of this conversation's caller.
    fn continues(&self, next: &Try, redial_gap: u64) -> bool {
        let last = self.last();
        let ended = self.tries.iter().map(|record| record.closed).max().unwrap_or(0);
        let starts_after_end = next.opened >= ended || last.outcome == Outcome::Lost;
        // The caller of a call that was lost after it was established got its answer, so the next try is a new
        // conversation.
        let open = last.answered.is_none() && !matches!(last.outcome, Outcome::Completed | Outcome::Cut);
        open && starts_after_end && next.opened <= ended.saturating_add(redial_gap)
    }
}

/// Joins tries to conversations, in order of their first tries. `redial_gap` is in milliseconds.
pub fn join(tries: impl IntoIterator<Item = Try>, redial_gap: u64) -> Vec<Conversation> {
    let by_id: BTreeMap<TryId, Try> = tries.into_iter().map(|record| (record.id.clone(), record)).collect();
    let mut ordered: Vec<Try> = by_id.into_values().collect();
    ordered.sort_by(|a, b| (a.opened, &a.id).cmp(&(b.opened, &b.id)));
    let mut all: Vec<Conversation> = Vec::new();
    let mut latest_by_parties: BTreeMap<[String; 4], Vec<usize>> = BTreeMap::new();
    for next in ordered {
        let parties = [&next.calling, &next.called, &next.grade, &next.tenant].map(String::clone);
        let candidates = latest_by_parties.entry(parties).or_default();
        // Tries are in order of time, so none continues a conversation that ended longer ago than the gap.
        candidates.retain(|&index| {
            all[index].continues(&next, redial_gap) || all[index].last().closed >= next.opened
        });
        match candidates.iter().find(|&&index| all[index].continues(&next, redial_gap)) {
            Some(&index) => all[index].tries.push(next),
            None => {
                candidates.push(all.len());
                all.push(Conversation { tries: vec![next] });
            }
        }
    }
    all
}
