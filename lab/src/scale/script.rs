//! Scripts of scale runs, as TOML: changes and faults. Times are seconds since the end of the warm-up.

use anyhow::{Context, Result, ensure};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::layout::{Layout, NodeId};

/// Maximum length of the warm-up and of the measured time, in seconds each.
const MAX_SECONDS: f64 = 600.0;

const BUILT_IN: [(&str, &str); 6] = [
    ("calm", include_str!("../../scale/calm.toml")),
    ("loss", include_str!("../../scale/loss.toml")),
    ("control-dead", include_str!("../../scale/control-dead.toml")),
    ("region-cut", include_str!("../../scale/region-cut.toml")),
    ("zone-back", include_str!("../../scale/zone-back.toml")),
    ("bad-day", include_str!("../../scale/bad-day.toml")),
];

/// A run: changes of configuration, and faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    pub name: String,
    /// Seconds in which the fleet forms before anything is changed or measured.
    pub warm_up: f64,
    /// Seconds measured after the warm-up.
    pub seconds: f64,
    /// Share of messages lost throughout the run.
    #[serde(default)]
    pub loss: f64,
    pub changes: Changes,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Changes proposed at a fixed interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Seconds between two changes.
    pub every: f64,
    /// Time of the last change, early enough that it can come into force within the run.
    pub until: f64,
}

/// A fault, or a burst of changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub at: f64,
    /// Duration in seconds.
    #[serde(rename = "for", default)]
    pub duration: f64,
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// Which messages a cut stops, as seen from the part that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutDirection {
    Both,
    /// Nothing leaves.
    Out,
    /// Nothing enters.
    In,
}

/// The kinds of fault. Zones, regions and control machines are given by number; `part` is a share of all
/// proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    CutZone {
        zone: usize,
        ways: CutDirection,
    },
    CutRegion {
        region: usize,
        ways: CutDirection,
    },
    /// Processes are killed, and restart at the end of the fault with the content of their disks.
    KillProxies {
        part: f64,
    },
    KillZone {
        zone: usize,
    },
    KillControl {
        control: usize,
    },
    /// Processes are paused, as by SIGSTOP: messages that arrive meanwhile wait.
    PauseProxies {
        part: f64,
    },
    PauseControl {
        control: usize,
    },
    /// A control machine is killed, and restarts with its disk as it was `older` seconds before the kill.
    OldDisk {
        control: usize,
        older: f64,
    },
    /// Proxies read the messages that have arrived only once in `every` seconds.
    SlowProxies {
        part: f64,
        every: f64,
    },
    /// This many additional changes, spread over one second.
    Burst {
        changes: usize,
    },
    /// Share of messages lost, in place of the script's.
    Loss {
        part: f64,
    },
}

impl Script {
    /// Loads a built-in script by name, or else a script from a file.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name, or it is invalid.
    pub fn named(name: &str) -> Result<Self> {
        let built_in = BUILT_IN.iter().find(|(built_in_name, _)| *built_in_name == name);
        let text = match built_in {
            Some((_, text)) => (*text).to_owned(),
            None => std::fs::read_to_string(name).with_context(|| {
                format!("{name}: no such script; built in are {}", Self::built_in_names())
            })?,
        };
        Self::parse(&text).with_context(|| name.to_owned())
    }

    fn built_in_names() -> String {
        BUILT_IN.map(|(name, _)| name).join(", ")
    }

    /// Parses a script.
    ///
    /// # Errors
    ///
    /// Fails if it is not TOML of this form, or a time or share is out of range.
    pub fn parse(text: &str) -> Result<Self> {
        let script: Self = toml::from_str(text)?;
        let in_range = |seconds: f64| (0.0..=MAX_SECONDS).contains(&seconds);
        ensure!(
            in_range(script.warm_up) && in_range(script.seconds),
            "times are not 0 to {MAX_SECONDS} seconds"
        );
        ensure!((0.0..1.0).contains(&script.loss), "loss is not a share from 0 to below 1");
        ensure!(script.changes.every > 0.0, "changes.every is not above 0");
        ensure!(script.changes.until <= script.seconds, "changes.until is after the end of the run");
        script.faults.iter().try_for_each(|fault| fault.check(&script))?;
        Ok(script)
    }

    /// Converts a time of the script to milliseconds since the run began.
    pub fn to_ms(&self, seconds: f64) -> f64 {
        (self.warm_up + seconds) * 1000.0
    }

    /// When the run ends, in milliseconds since it began.
    pub fn end_ms(&self) -> f64 {
        self.to_ms(self.seconds)
    }

    /// Checks that the layout has the zones, regions and control machines that the faults name.
    ///
    /// # Errors
    ///
    /// Fails if a fault names one that the layout does not have.
    pub fn check(&self, layout: &Layout) -> Result<()> {
        for fault in &self.faults {
            let (number, count, what) = match fault.kind {
                FaultKind::CutZone { zone, .. } | FaultKind::KillZone { zone } => {
                    (zone, layout.terms.zones, "zone")
                }
                FaultKind::CutRegion { region, .. } => (region, layout.terms.regions, "region"),
                FaultKind::KillControl { control }
                | FaultKind::PauseControl { control }
                | FaultKind::OldDisk { control, .. } => (control, layout.controls, "control machine"),
                _ => continue,
            };
            ensure!(number < count, "{what} {number} is not there: the layout has {count}");
        }
        Ok(())
    }
}

impl Fault {
    fn check(&self, script: &Script) -> Result<()> {
        let share = match self.kind {
            FaultKind::KillProxies { part }
            | FaultKind::PauseProxies { part }
            | FaultKind::Loss { part }
            | FaultKind::SlowProxies { part, .. } => part,
            _ => 0.0,
        };
        ensure!((0.0..=1.0).contains(&share), "a fault's part is not 0 to 1");
        let within_run = self.at >= 0.0 && self.duration >= 0.0 && self.at + self.duration <= script.seconds;
        ensure!(within_run, "a fault at {} s does not end within the run", self.at);
        Ok(())
    }

    pub fn ends_at(&self) -> f64 {
        self.at + self.duration
    }

    /// The nodes that the fault affects: those killed, paused, slow, or on the inner side of a cut. `index`
    /// is the fault's index in its script.
    pub fn affected_nodes(&self, layout: &Layout, index: usize, seed: u64) -> Vec<NodeId> {
        match self.kind {
            FaultKind::CutZone { zone, .. } | FaultKind::KillZone { zone } => layout.nodes_in_zone(zone),
            FaultKind::CutRegion { region, .. } => {
                (0..layout.node_count()).filter(|&node| layout.site(node).region == region).collect()
            }
            FaultKind::KillControl { control }
            | FaultKind::PauseControl { control }
            | FaultKind::OldDisk { control, .. } => vec![control],
            FaultKind::KillProxies { part }
            | FaultKind::PauseProxies { part }
            | FaultKind::SlowProxies { part, .. } => random_proxies(layout, part, seed ^ index as u64),
            FaultKind::Burst { .. } | FaultKind::Loss { .. } => Vec::new(),
        }
    }
}

fn random_proxies(layout: &Layout, part: f64, seed: u64) -> Vec<NodeId> {
    let mut proxies: Vec<NodeId> = (layout.controls..layout.node_count()).collect();
    proxies.shuffle(&mut Pcg64Mcg::seed_from_u64(seed));
    proxies.truncate((part * proxies.len() as f64).ceil() as usize);
    proxies.sort_unstable();
    proxies
}
