//! The commands of `frostthread-lab`, one file each: its arguments and a `run` that returns the exit code.

use anyhow::Result;

pub mod caller;
pub mod drill;
pub mod limits;
pub mod list;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod relay;
pub mod scale;
pub mod server;
pub mod sizes;

/// Runs `work` to completion on a runtime of this thread.
fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}
