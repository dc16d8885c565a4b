//! Faults that tests put in on purpose, so that the search over orders is seen to find them. Without the
//! feature `fault-injection` there are none, and no code of them is built.

/// A fault of a subscriber or a control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A subscriber puts in force what is staged without comparing its digest with the proved one.
    SkipDigestCheck,
    /// A subscriber takes a proof though its seal is older than the one in force.
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

    /// Plants a fault in this thread, or takes it away.
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
