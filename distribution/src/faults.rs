//! Faults that tests put in on purpose, so that the search over orders is seen to find them. Without the
//! feature `planted-faults` there are none, and no code of them is built.

/// A fault of a subscriber or a control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A subscriber puts in force what is staged without comparing its digest with the proved one.
    Unproved,
    /// A subscriber takes a proof though its seal is older than the one in force.
    OlderSeal,
    /// A control machine leaves out what has changed since a snapshot began.
    NoDeltas,
}

#[cfg(feature = "planted-faults")]
mod planting {
    use std::cell::Cell;

    use super::Fault;

    thread_local! {
        static PLANTED: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    /// Plants a fault in this thread, or takes it away.
    pub fn plant(fault: Option<Fault>) {
        PLANTED.set(fault);
    }

    pub(crate) fn planted(fault: Fault) -> bool {
        PLANTED.get() == Some(fault)
    }
}

#[cfg(feature = "planted-faults")]
pub use planting::plant;
#[cfg(feature = "planted-faults")]
pub(crate) use planting::planted;

#[cfg(not(feature = "planted-faults"))]
pub(crate) const fn planted(_: Fault) -> bool {
    false
}
