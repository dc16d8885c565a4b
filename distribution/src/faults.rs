//! Faults that tests inject to verify that the exhaustive search in tests/search.rs finds them. Without the
//! feature `fault-injection` none of this code is built.

/// A fault of a subscriber or a control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A subscriber puts staged content in force without comparing its digest with the proved one.
    SkipDigestCheck,
    /// A subscriber accepts a proof whose certificate is older than the one in force.
    AcceptOlderCertificate,
    /// A control machine leaves out what has changed since a snapshot began.
    OmitDeltas,
}

#[cfg(feature = "fault-injection")]
mod injection {
    use std::cell::Cell;

    use super::Fault;

    thread_local! {
        static INJECTED: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    /// Injects a fault into this thread, or removes it.
    pub fn inject_fault(fault: Option<Fault>) {
        INJECTED.set(fault);
    }

    pub(crate) fn is_injected(fault: Fault) -> bool {
        INJECTED.get() == Some(fault)
    }
}

#[cfg(feature = "fault-injection")]
pub use injection::inject_fault;
#[cfg(feature = "fault-injection")]
pub(crate) use injection::is_injected;

#[cfg(not(feature = "fault-injection"))]
pub(crate) const fn is_injected(_: Fault) -> bool {
    false
}
