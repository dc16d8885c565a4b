//! A running proxy's part in a release: it checks the staged file, notes that the installed release is
//! healthy, and reports when the proxy is to be replaced.

use std::path::PathBuf;
use std::sync::mpsc::{Receiver, channel};

use border::{BorderProxy, Decisions};
use outs::holder::Replacement;

use crate::release;
use crate::settings::ProxySettings;

/// Interval at which a staged file that is not here yet is checked again, in milliseconds.
const RECHECK_MS: f64 = 500.0;

/// A staged file's checksum and the result of its check; none while the file is missing.
type CheckResult = ([u8; 32], Option<Result<(), String>>);

/// This proxy's part in the fleet's release.
pub struct ReleaseAgent {
    state: PathBuf,
    config: PathBuf,
    release: u64,
    /// The running release was noted as healthy.
    noted_healthy: bool,
    check_result: Option<Receiver<CheckResult>>,
    check_at: f64,
    /// What replaces this process once its conversations have ended.
    pub replacement: Option<Replacement>,
}

impl ReleaseAgent {
    /// Creates it for a proxy with these settings.
    pub fn new(settings: &ProxySettings) -> Self {
        let (state, config) = (settings.state_dir.clone(), settings.config_file.clone());
        Self {
            state,
            config,
            release: settings.running_release.release,
            noted_healthy: false,
            check_result: None,
            check_at: 0.0,
            replacement: None,
        }
    }

    /// Performs due work; true if the proxy is to be replaced from now on.
    pub fn turn(&mut self, now: f64, proxy: &mut BorderProxy<impl Decisions>) -> bool {
        let Some(decided) = proxy.decided() else { return false };
        if let Some((sum, valid)) =
            self.check_result.as_ref().and_then(|check_result| check_result.try_recv().ok())
        {
            self.check_result = None;
            if let Some(valid) = valid {
                tracing::info!(fit = valid.is_ok(), "release.checked");
                decided.release_checked(sum, valid);
            }
        }
        if self.check_result.is_none() && now >= self.check_at {
            self.check_at = now + RECHECK_MS;
            if let Some((kind, sum)) = decided.release_to_check() {
                let (sender, check_result) = channel();
                self.check_result = Some(check_result);
                let (state, config) = (self.state.clone(), self.config.clone());
                tokio::task::spawn_blocking(move || {
                    let _ = sender.send((sum, release::check(&state, &config, kind, &sum)));
                });
            }
            if self.release > 0 && !self.noted_healthy && decided.is_healthy() {
                self.noted_healthy = true;
                let state = self.state.clone();
                tokio::task::spawn_blocking(move || {
                    if let Err(error) = release::mark_healthy(&state) {
                        tracing::warn!("release.unnoted: {error:#}");
                    }
                });
            }
        }
        match decided.next_replacement() {
            Some(replacement) if self.replacement.is_none() => {
                tracing::info!(
                    release = replacement.release,
                    forward = replacement.forward,
                    "release.leaving"
                );
                self.replacement = Some(replacement);
                true
            }
            _ => false,
        }
    }
}
