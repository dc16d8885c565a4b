//! Releases: proxies are replaced in waves, each only while it holds a grant, and go back the same way.
//!
//! | phase | what goes on | from it |
//! | --- | --- | --- |
//! | staged | each proxy looks at its file and says whether it is fit | started, called off |
//! | running | proxies of the open waves ask for grants; the next wave opens when all before it run it | done, halted |
//! | halted | nobody is let out for it; grants that were not begun are taken back | started again, going back |
//! | going back | whoever runs it asks for a grant to go back, the newest wave first | done |
//!
//! One release at a time. Who is in which wave is drawn by the release's number, among those that said they
//! are ready when it was started: the same everywhere.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher as _;

use agree::{Hash, Id, Index};
use serde::{Deserialize, Serialize};

use crate::drains::{MAX_NAME_BYTES, MAX_REASON_BYTES};

/// The parts of all proxies that the waves go up to: the first is one proxy, the last all.
const WAVE_FRACTIONS: [f64; 4] = [0.0, 0.01, 0.1, 1.0];

/// What is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Settings,
    Program,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Staged,
    Running { wave: u8 },
    Halted { wave: u8, why: String },
    GoingBack,
    Done,
}

/// What may be asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A file by its BLAKE3 sum, which each proxy is to find beside its state.
    Stage {
        kind: Kind,
        sum: Hash,
        by: String,
        why: String,
        unix_ms: u64,
    },
    Ready {
        release: Index,
        proxy: Id,
    },
    Rejected {
        release: Index,
        proxy: Id,
        why: String,
    },
    /// With how many proxies there are: all of them have to be ready.
    Start {
        release: Index,
        proxies: u16,
    },
    /// All of the waves before run it, and nothing speaks against it.
    OpenWave {
        release: Index,
        wave: u8,
    },
    Halt {
        release: Index,
        why: String,
    },
    RollBack {
        release: Index,
    },
}

/// What became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Done,
    NoEffect,
    /// Not all are ready: so many are.
    NotReady {
        ready: u16,
        proxies: u16,
    },
    /// Another release is under way.
    AnotherInProgress {
        release: Index,
    },
    Invalid,
}

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
    /// By wave, once it is started.
    pub waves: Vec<Vec<Id>>,
}

impl Release {
    pub fn wave_of(&self, proxy: Id) -> Option<u8> {
        self.waves.iter().position(|wave| wave.contains(&proxy)).map(|wave| wave as u8)
    }

    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Done
    }
}

/// The release that is under way, or was last, and who runs which.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Releases {
    current: Option<Release>,
    running: BTreeMap<Id, Index>,
}

impl Releases {
    pub fn current(&self) -> Option<&Release> {
        self.current.as_ref()
    }

    /// The release that a proxy was last seen well with; 0 for none.
    pub fn running_release(&self, proxy: Id) -> Index {
        self.running.get(&proxy).copied().unwrap_or(0)
    }

    /// Whether a proxy may ask to go out for the release now, and whether that is to run it or to go back.
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

    /// The wave that may open next, once all that are open run the release.
    pub fn next_wave(&self) -> Option<(Index, u8)> {
        let release = self.current.as_ref()?;
        let Phase::Running { wave } = release.phase else { return None };
        let open = release.waves.iter().take(usize::from(wave) + 1).flatten();
        let all = open.into_iter().all(|&id| self.running_release(id) == release.number);
        (all && usize::from(wave) + 1 < release.waves.len()).then_some((release.number, wave + 1))
    }

    /// A proxy was seen well again.
    pub(crate) fn set_running(&mut self, proxy: Id, running_release: Index) {
        if running_release == 0 {
            self.running.remove(&proxy);
        } else {
            self.running.insert(proxy, running_release);
        }
    }

    /// It is done when all run it, or, going back, none does, nor is one away that may come back with it.
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
            // An operator's word that the next wave may open, whatever is known.
            (Command::Start { .. }, Phase::Running { .. }) => match self.next_wave() {
                Some((_, wave)) => {
                    let current = self.current.as_mut().expect("it opens");
                    current.phase = Phase::Running { wave };
                    Verdict::Done
                }
                None => Verdict::NoEffect,
            },
            // An operator who starts it again goes on where it was halted.
            (Command::Start { .. }, Phase::Halted { wave, .. }) => {
                current.phase = Phase::Running { wave };
                Verdict::Done
            }
            (Command::OpenWave { wave, .. }, Phase::Running { .. }) => match self.next_wave() {
                Some((_, next)) if next == wave => {
                    let current = self.current.as_mut().expect("it opens");
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

/// Who is in which wave.
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
