//! Scenarios, random runs and an exhaustive search.

mod cluster;
mod exhaustive;
mod fakes;
mod proofs;
mod random;
mod scenarios;

/// Faults planted on purpose, to check that the tests find them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry of an earlier term counts as decided once a majority has it.
    EarlierTerm,
    /// A member answers freshness requests without confirming that it still leads.
    StaleRead,
    /// Restoring a snapshot drops the entries after it.
    SnapshotOverwritesEntries,
    /// The disk reports a write as synced before it is. The test cluster plants this one.
    Unsynced,
}
