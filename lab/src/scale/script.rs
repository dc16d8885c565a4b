//! What befalls a fleet, by the second, as TOML. Times in it are seconds since the end of the warm-up.

use anyhow::{Context, Result, ensure};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::layout::{Layout, NodeId};

/// The longest run that a script may ask for, in seconds.
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
    /// How long the fleet comes together before anything is changed or measured.
    pub warm_up: f64,
    /// How long it is measured after that.
    pub seconds: f64,
    /// The part of messages that is lost throughout.
    #[serde(default)]
    pub loss: f64,
    pub changes: Changes,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Changes made one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Seconds between two.
    pub every: f64,
    /// When the last one is made, so that it can still come into force within the run.
    pub until: f64,
}

/// One thing that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub at: f64,
    /// How long it lasts.
    #[serde(rename = "for", default)]
    pub duration: f64,
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// Which messages a cut stops, as seen from what is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutDirection {
    Both,
    /// Nothing leaves.
    Out,
    /// Nothing comes in.
    In,
}

/// The kinds of fault. Zones, regions and control machines are given by number, `part` is of all proxies.
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
    /// Processes are killed, and start again at the end with what their disks hold.
    KillProxies {
        part: f64,
    },
    KillZone {
        zone: usize,
    },
    KillControl {
        control: usize,
    },
    /// Processes stand still, as with SIGSTOP: what comes meanwhile waits.
    PauseProxies {
        part: f64,
    },
    PauseControl {
        control: usize,
    },
    /// A control machine is killed, and starts again with its disk as it was so many seconds before.
    OldDisk {
        control: usize,
        older: f64,
    },
    /// Proxies read what has come for them only once in so many seconds.
    SlowProxies {
        part: f64,
        every: f64,
    },
    /// So many changes more, spread over one second.
    Burst {
        changes: usize,
    },
    /// The part of messages that is lost, in place of the script's.
    Loss {
        part: f64,
    },
}

impl Script {
    /// A built-in script, or one from a file.
    ///
    /// # Errors
    ///
    /// When there is none of that name, or it is not sound.
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

    /// Reads a script.
    ///
    /// # Errors
    ///
    /// When it is no TOML of this form, or its times or parts are out of range.
    pub fn parse(text: &str) -> Result<Self> {
        let script: Self = toml::from_str(text)?;
        let in_range = |seconds: f64| (0.0..=MAX_SECONDS).contains(&seconds);
        ensure!(
            in_range(script.warm_up) && in_range(script.seconds),
            "times are not 0 to {MAX_SECONDS} seconds"
        );
        ensure!((0.0..1.0).contains(&script.loss), "loss is no part");
        ensure!(script.changes.every > 0.0, "changes.every is not above 0");
        ensure!(script.changes.until <= script.seconds, "changes.until is after the end");
        script.faults.iter().try_for_each(|fault| fault.check(&script))?;
        Ok(script)
    }

    /// A time of the script in milliseconds since the run began.
    pub fn to_ms(&self, seconds: f64) -> f64 {
        (self.warm_up + seconds) * 1000.0
    }

    /// When the run ends, in milliseconds since it began.
    pub fn end_ms(&self) -> f64 {
        self.to_ms(self.seconds)
    }

    /// Faults must fit the layout: zones, regions and control machines that are there.
    ///
    /// # Errors
    ///
    /// When one names what is not there.
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

    /// The nodes that it befalls: those that are killed, paused, slow, or on the inner side of a cut. `place`
    /// is the fault's place in its script.
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
