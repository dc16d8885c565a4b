//! Stories, random runs and a search.

mod cluster;
mod exhaustive;
mod fakes;
mod proofs;
mod random;
mod scenarios;

/// Faults put in on purpose, to see that the checks find them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// What an earlier leader left is decided as soon as a majority has it.
    EarlierTerm,
    /// A member answers how far decisions are without asking whether it still leads.
    StaleRead,
    /// A snapshot takes the place of entries that follow it.
    SnapshotOverwritesEntries,
    /// The disk says that it has what it has not (this one is the world's).
    Unsynced,
}
