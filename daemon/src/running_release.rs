//! Which release a process runs. [`crate::release`] finds it at the start, [`crate::settings`] hands it on.

/// The release that this process runs.
#[derive(Clone, Debug, Default)]
pub struct RunningRelease {
    /// The release's number; 0 for none.
    pub release: u64,
    /// The release that this proxy could not become, and why.
    pub failed: Option<(u64, String)>,
}
