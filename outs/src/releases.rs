//! Software releases: proxies are replaced in waves, each only while it holds a grant, and are rolled back
//! the same way.
//!
//! | phase | what happens | leads to |
//! | --- | --- | --- |
//! | staged | each proxy checks its file and reports whether it is valid | running, done (called off) |
//! | running | proxies of the open waves request grants; the next wave opens when all before it run the release | done, halted |
//! | halted | no grants for it; grants that were not begun are revoked | running again, going back |
//! | going back | proxies that run it request grants to return to what ran before, the newest wave first | done |
//!
//! There is one release at a time. Its number determines which wave each proxy is in, among those that are
//! ready when it starts, so all replicas come to the same waves.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher as _;

use agree::{Hash, Id, Index};
use serde::{Deserialize, Serialize};

use crate::drains::{MAX_NAME_BYTES, MAX_REASON_BYTES};

/// The fractions of all proxies that the waves reach: the first wave is one proxy, the last all.
const WAVE_FRACTIONS: [f64; 4] = [0.0, 0.01, 0.1, 1.0];

/// What is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Settings,
    Program,
}

/// The phase of a release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Staged,
    Running { wave: u8 },
    Halted { wave: u8, why: String },
    GoingBack,
    Done,
}

/// A command about releases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Stages a file, by its BLAKE3 hash; each proxy has to find it beside its state.
    Stage { kind: Kind, sum: Hash, by: String, why: String, unix_ms: u64 },
    /// The proxy has a valid file.
    Ready { release: Index, proxy: Id },
    /// The proxy's file is missing or invalid.
    Rejected { release: Index, proxy: Id, why: String },
    /// Starts the release; `proxies` is the number of proxies that have to be ready.
    Start { release: Index, proxies: u16 },
    /// Opens a wave: all earlier waves run the release, and no harm was found.
    OpenWave { release: Index, wave: u8 },
    /// Halts the release.
    Halt { release: Index, why: String },
    /// Calls off a staged release, or returns to what ran before.
    RollBack { release: Index },
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Done,
    NoEffect,
    /// Not all proxies are ready.
    NotReady {
        ready: u16,
        proxies: u16,
    },
    /// Another release is in progress.
    AnotherInProgress {
        release: Index,
    },
    Invalid,
}

/// A software release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    pub number: Index,
    pub kind: Kind,
    pub sum: Hash,
    pub by: String,
    pub why: String,
    pub unix_ms: u64,
    pub phase: Phase,
    pub ready: BTreeSet<Id>,
    pub rejected: BTreeMap<Id, String>,
    /// The proxies of each wave, once the release is started.
    pub waves: Vec<Vec<Id>>,
}

impl Release {
    /// The wave that a proxy is in.
    pub fn wave_of(&self, proxy: Id) -> Option<u8> {
        self.waves.iter().position(|wave| wave.contains(&proxy)).map(|wave| wave as u8)
    }

    /// Whether the release is done.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Done
    }
}

/// The current or last release, and the release that each proxy runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Releases {
    current: Option<Release>,
    running: BTreeMap<Id, Index>,
}

impl Releases {
    /// The current or last release.
    pub fn current(&self) -> Option<&Release> {
        self.current.as_ref()
    }

    /// The release that a proxy was last confirmed healthy with; 0 for none.
    pub fn running_release(&self, proxy: Id) -> Index {
        self.running.get(&proxy).copied().unwrap_or(0)
    }

    /// The release for which a proxy may request a grant now, and whether to run it or to return to what
    /// ran before.
    pub fn next_change(&self, proxy: Id) -> Option<(&Release, bool)> {
        let release = self.current.as_ref()?;
        let wave = release.wave_of(proxy)?;
        let is_running = self.running_release(proxy) == release.number;
        match release.phase {
            Phase::Running { wave: open } if wave <= open && !is_running => Some((release, true)),
            Phase::GoingBack if is_running => {
                let newest = release
                    .waves
                    .iter()
                    .rposition(|of| of.iter().any(|&id| self.running_release(id) == release.number));
                (newest == Some(usize::from(wave))).then_some((release, false))
            }
            _ => None,
        }
    }

    /// The wave that may open next, once all proxies of the open waves run the release.
    pub fn next_wave(&self) -> Option<(Index, u8)> {
        let release = self.current.as_ref()?;
        let Phase::Running { wave } = release.phase else { return None };
        let open = release.waves.iter().take(usize::from(wave) + 1).flatten();
        let all = open.into_iter().all(|&id| self.running_release(id) == release.number);
        (all && usize::from(wave) + 1 < release.waves.len()).then_some((release.number, wave + 1))
    }

    /// Records the release that a proxy was confirmed healthy with.
    pub(crate) fn set_running(&mut self, proxy: Id, running_release: Index) {
        if running_release == 0 {
            self.running.remove(&proxy);
        } else {
            self.running.insert(proxy, running_release);
        }
    }

    /// Finishes the release when all proxies run it, or, going back, when none does and none is unavailable
    /// that may return with it.
    pub(crate) fn finish_if_complete(&mut self, is_unavailable: impl Fn(Id) -> bool) {
        let Some(release) = &self.current else { return };
        let mut runs_release =
            release.waves.iter().flatten().map(|&id| self.running_release(id) == release.number);
        let is_complete = match release.phase {
            Phase::Running { .. } => runs_release.all(|runs| runs),
            Phase::GoingBack => {
                !runs_release.any(|runs| runs)
                    && !release.waves.iter().flatten().any(|&id| is_unavailable(id))
            }
            _ => false,
        };
        if let Some(release) = self.current.as_mut().filter(|_| is_complete) {
            release.phase = Phase::Done;
        }
    }

    /// Applies a command with the index of its decision.
    pub fn decide(&mut self, decision: Index, command: Command) -> Verdict {
        if let Command::Stage { kind, sum, by, why, unix_ms } = command {
            if let Some(release) = self.current.as_ref().filter(|release| !release.is_finished()) {
                return Verdict::AnotherInProgress { release: release.number };
            }
            if !(1..=MAX_NAME_BYTES).contains(&by.len()) || why.len() > MAX_REASON_BYTES {
                return Verdict::Invalid;
            }
            let (ready, rejected, waves) = (BTreeSet::new(), BTreeMap::new(), Vec::new());
            let phase = Phase::Staged;
            self.current = Some(Release {
                number: decision,
                kind,
                sum,
                by,
                why,
                unix_ms,
                phase,
                ready,
                rejected,
                waves,
            });
            return Verdict::Done;
        }
        self.decide_current(command)
    }

    fn decide_current(&mut self, command: Command) -> Verdict {
        let Some(current) = &mut self.current else { return Verdict::NoEffect };
        let release_number = match &command {
            Command::Stage { .. } => return Verdict::Invalid,
            Command::Ready { release, .. }
            | Command::Rejected { release, .. }
            | Command::Start { release, .. }
            | Command::OpenWave { release, .. }
            | Command::Halt { release, .. }
            | Command::RollBack { release } => *release,
        };
        if release_number != current.number {
            return Verdict::NoEffect;
        }
        match (command, current.phase.clone()) {
            (Command::Ready { proxy, .. }, Phase::Staged) => {
                current.rejected.remove(&proxy);
                if current.ready.insert(proxy) { Verdict::Done } else { Verdict::NoEffect }
            }
            (Command::Rejected { proxy, why, .. }, Phase::Staged) if why.len() <= MAX_REASON_BYTES => {
                current.ready.remove(&proxy);
                current.rejected.insert(proxy, why);
                Verdict::Done
            }
            (Command::Start { proxies, .. }, Phase::Staged) => {
                let ready = current.ready.len() as u16;
                if ready < proxies || !current.rejected.is_empty() {
                    return Verdict::NotReady { ready, proxies };
                }
                current.waves = waves(current.number, &current.ready);
                current.phase = Phase::Running { wave: 0 };
                Verdict::Done
            }
            // An operator opens the next wave without waiting for evidence.
            (Command::Start { .. }, Phase::Running { .. }) => match self.next_wave() {
                Some((_, wave)) => {
                    let current = self.current.as_mut().expect("the next wave can open");
                    current.phase = Phase::Running { wave };
                    Verdict::Done
                }
                None => Verdict::NoEffect,
            },
            // An operator who starts it again continues at the wave where it was halted.
            (Command::Start { .. }, Phase::Halted { wave, .. }) => {
                current.phase = Phase::Running { wave };
                Verdict::Done
            }
            (Command::OpenWave { wave, .. }, Phase::Running { .. }) => match self.next_wave() {
                Some((_, next)) if next == wave => {
                    let current = self.current.as_mut().expect("the next wave can open");
                    current.phase = Phase::Running { wave };
                    Verdict::Done
                }
                _ => Verdict::NoEffect,
            },
            (Command::Halt { why, .. }, Phase::Running { wave }) if why.len() <= MAX_REASON_BYTES => {
                current.phase = Phase::Halted { wave, why };
                Verdict::Done
            }
            (Command::RollBack { .. }, Phase::Staged) => {
                current.phase = Phase::Done;
                Verdict::Done
            }
            (Command::RollBack { .. }, Phase::Running { .. } | Phase::Halted { .. } | Phase::Done)
                if !current.waves.is_empty() =>
            {
                current.phase = Phase::GoingBack;
                Verdict::Done
            }
            _ => Verdict::NoEffect,
        }
    }
}

/// Assigns the ready proxies to waves.
fn waves(number: Index, ready: &BTreeSet<Id>) -> Vec<Vec<Id>> {
    let draw = |id: Id| {
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(number, 0);
        hasher.write_u64(id);
        hasher.finish()
    };
    let mut order: Vec<Id> = ready.iter().copied().collect();
    order.sort_unstable_by_key(|&id| (draw(id), id));
    let mut waves = Vec::new();
    let mut assigned = 0;
    for fraction in WAVE_FRACTIONS {
        let end = ((fraction * order.len() as f64).ceil() as usize).max(assigned + 1).min(order.len());
        if end > assigned {
            waves.push(order[assigned..end].to_vec());
            assigned = end;
        }
    }
    waves
}
