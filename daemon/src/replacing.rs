//! Sees to a proxy's part in a release while it runs: has the staged file checked, notes that it was seen
//! well, and says when it is to leave for what it is to become.

use std::path::PathBuf;
use std::sync::mpsc::{Receiver, channel};

use border::{BorderProxy, Decisions};
use outs::holder::Replacement;

use crate::release;
use crate::settings::Plan;

/// A staged file that is not here yet is looked for again after this, in milliseconds.
const AGAIN: f64 = 500.0;

type Checked = ([u8; 32], Option<Result<(), String>>);

pub struct Replacing {
    state: PathBuf,
    config: PathBuf,
    release: u64,
    /// Noted as seen well.
    well: bool,
    looks: Option<Receiver<Checked>>,
    look_at: f64,
    /// What it is to become once all that it has is over.
    pub leaving: Option<Replacement>,
}

impl Replacing {
    pub fn new(plan: &Plan) -> Self {
        let (state, config) = (plan.state.clone(), plan.config.clone());
        Self {
            state,
            config,
            release: plan.runs.release,
            well: false,
            looks: None,
            look_at: 0.0,
            leaving: None,
        }
    }

    /// Does what has fallen due; true where it is to leave from now on.
    pub fn turn(&mut self, now: f64, proxy: &mut BorderProxy<impl Decisions>) -> bool {
        let Some(decided) = proxy.decided() else { return false };
        if let Some((sum, fit)) = self.looks.as_ref().and_then(|looks| looks.try_recv().ok()) {
            self.looks = None;
            if let Some(fit) = fit {
                tracing::info!(fit = fit.is_ok(), "release.checked");
                decided.release_checked(sum, fit);
            }
        }
        if self.looks.is_none() && now >= self.look_at {
            self.look_at = now + AGAIN;
            if let Some((kind, sum)) = decided.release_to_check() {
                let (told, looks) = channel();
                self.looks = Some(looks);
                let (state, config) = (self.state.clone(), self.config.clone());
                tokio::task::spawn_blocking(move || {
                    let _ = told.send((sum, release::check(&state, &config, kind, &sum)));
                });
            }
            if self.release > 0 && !self.well && decided.is_healthy() {
                self.well = true;
                if let Err(error) = release::well(&self.state) {
                    tracing::warn!("release.unnoted: {error:#}");
                }
            }
        }
        match decided.next_replacement() {
            Some(replace) if self.leaving.is_none() => {
                tracing::info!(release = replace.release, forward = replace.forward, "release.leaving");
                self.leaving = Some(replace);
                true
            }
            _ => false,
        }
    }
}
