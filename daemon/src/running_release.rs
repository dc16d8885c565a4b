//! Which release a process runs. [`crate::release`] determines it at the start, [`crate::settings`] passes
//! it on.

/// The release that this process runs.
#[derive(Clone, Debug, Default)]
pub struct RunningRelease {
    /// The number of the release; 0 if none is installed.
    pub release: u64,
    /// The release that could not be installed or run here, and why.
    pub failed: Option<(u64, String)>,
}
