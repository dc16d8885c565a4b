//! The border proxy without I/O.
//!
//! [`BorderProxy`] receives datagrams, updates of the pool list and the current time. It reports events to
//! the module of `frostthread`, carries out the module's decisions, and returns datagrams to send and the
//! time of its next turn. The daemon drives it on sockets, the lab under a virtual clock.

#![forbid(unsafe_code)]

mod border;
pub mod causes;
pub mod decided;
mod decisions;
pub mod differences;
pub mod distributed;
mod earnings;
pub mod hints;
pub mod journal_writer;
pub mod limits;
pub mod pool;
pub mod routes;
pub mod status;
mod timers;
pub mod watch;

pub use border::{BorderProxy, Outbound, ProxyTerms, Side};
pub use decisions::Decisions;
pub use timers::Timers;
pub use watch::Watched;
