//! The border proxy without I/O.
//!
//! [`BorderProxy`] is handed datagrams, news of the pool list and the time; it tells the module of
//! `frostthread` what happens, carries out what the module decides, and hands back datagrams and the time
//! at which it wants to be woken. The daemon drives it on sockets, the laboratory under a virtual clock.

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
