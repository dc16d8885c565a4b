//! Makes one conversation of a caller's tries, also where they went through several proxies.
//!
//! Tries belong together when the same number called the same one for the same grade and tenant, and each began no
//! later than the redial gap after all earlier ones had ended without standing. The outcome does not depend on the
//! order in which tries are given, nor on how often: doubles are one by their id, and joining again what was joined
//! changes nothing.
//!
//! Two callers behind one number that call the same one at once cannot be told from a caller who dials again: a try
//! that overlaps another in time is therefore a conversation of its own, unless that one's proxy died over it.

use std::collections::BTreeMap;

use crate::entry::{Outcome, Try, TryId};

/// A conversation: its tries in order of time. The first one names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conversation {
    pub tries: Vec<Try>,
}

impl Conversation {
    pub fn id(&self) -> &TryId {
        &self.tries[0].id
    }

    pub fn first_opened_at(&self) -> u64 {
        self.tries[0].opened
    }

    /// The try that stood, or else the last.
    pub fn last(&self) -> &Try {
        self.tries.last().expect("never empty")
    }

    pub fn outcome(&self) -> Outcome {
        self.last().outcome
    }

    /// Whether the try is this caller dialling again.
    fn continues(&self, next: &Try, redial_gap: u64) -> bool {
        let last = self.last();
        let ended = self.tries.iter().map(|record| record.closed).max().unwrap_or(0);
        let starts_after_end = next.opened >= ended || last.outcome == Outcome::Lost;
        // A conversation that was lost after it stood was heard to stand: dialling on is a new one.
        let open = last.answered.is_none() && !matches!(last.outcome, Outcome::Completed | Outcome::Cut);
        open && starts_after_end && next.opened <= ended.saturating_add(redial_gap)
    }
}

/// All conversations, in order of their first tries; `gap` is in milliseconds.
pub fn join(tries: impl IntoIterator<Item = Try>, redial_gap: u64) -> Vec<Conversation> {
    let by_id: BTreeMap<TryId, Try> = tries.into_iter().map(|record| (record.id.clone(), record)).collect();
    let mut ordered: Vec<Try> = by_id.into_values().collect();
    ordered.sort_by(|a, b| (a.opened, &a.id).cmp(&(b.opened, &b.id)));
    let mut all: Vec<Conversation> = Vec::new();
    let mut latest_by_parties: BTreeMap<[String; 4], Vec<usize>> = BTreeMap::new();
    for next in ordered {
        let parties = [&next.calling, &next.called, &next.grade, &next.tenant].map(String::clone);
        let candidates = latest_by_parties.entry(parties).or_default();
        // No later try continues what is over for longer than the gap.
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
