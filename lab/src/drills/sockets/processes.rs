//! Border proxies as processes: starting, signalling and measuring them.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use anyhow::{Context, Result};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use tokio::process::{Child, Command};
use tokio::sync::mpsc;

use super::datagrams::loopback;
use super::{Input, Run};
use crate::drills::release;
use crate::stand_ins::baseline::Routing;

/// The addresses that a process writes to its ready file.
#[derive(Deserialize)]
pub(super) struct Ready {
    pub(super) callers: SocketAddr,
    pub(super) peers: Option<SocketAddr>,
}

/// What a proxy's process has cost, as the operating system reports it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Id of the proxy's process.
    pub process: Option<u32>,
    /// Processor time in milliseconds.
    pub cpu: f64,
    /// Resident memory in bytes, at the start and at the end of the drill.
    pub memory: [f64; 2],
}

/// Processor time in milliseconds and resident memory in bytes of a process; 0 if the system doesn't report
/// them.
pub(super) fn cost(id: u32) -> (f64, f64) {
    // The kernel counts in hundredths of a second and in pages of 4 KiB on the machines that this runs on.
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<f64> =
        stat.rsplit(") ").next().unwrap_or_default().split(' ').map(|f| f.parse().unwrap_or(0.0)).collect();
    let field = |i: usize| fields.get(i).copied().unwrap_or(0.0);
    ((field(11) + field(12)) * 10.0, field(21) * 4096.0)
}

/// The program that runs a border proxy, in the directory of this one.
fn program() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("this program has no folder")?;
    // A test's program lies one directory deeper than the binaries.
    let found = [folder, folder.parent().unwrap_or(folder)].map(|f| f.join("frostthread"));
    found.into_iter().find(|path| path.exists()).context("frostthread is not built beside this program")
}

impl Run {
    pub(super) fn start(&mut self, proxy: usize) -> Result<()> {
        let slot = &self.slots[proxy];
        let (config, ready) = (slot.state.join("settings.toml"), slot.state.join("ready.json"));
        let _ = fs::remove_file(&ready);
        let callers = slot.callers.unwrap_or(loopback()).to_string();
        let state = slot.state.to_str().context("a path that is no text")?;
        let settings =
            self.cluster.drill.settings(&format!("p{proxy}"), state, &callers, &slot.feed.to_string());
        let gossip = self.gossip_settings(proxy)?;
        fs::write(&config, settings + &gossip)?;
        let routing = self.routing.context("no proxies in this drill")?;
        let mut command = if routing == Routing::Ours {
            let mut command = Command::new(program()?);
            command.args(["run", "--config"]);
            command
        } else {
            let mut command = Command::new(std::env::current_exe()?);
            command.args(["proxy", "--routing", &routing.to_string(), "--config"]);
            command
        };
        let slot = &mut self.slots[proxy];
        let log = File::options().create(true).append(true).open(slot.state.join("log"))?;
        command.arg(&config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        slot.child = Some(command.spawn()?);
        tokio::spawn(watch_ready_file(ready, proxy, self.input_sender.clone()));
        Ok(())
    }

    pub(super) fn signal(&self, proxy: usize, signal: Signal) {
        if let Some(id) = self.slots[proxy].child.as_ref().and_then(Child::id) {
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    pub(super) fn images(&self) -> Vec<String> {
        self.slots.iter().map(|slot| release::image(slot.child.as_ref().and_then(Child::id))).collect()
    }

    pub(super) fn last_log_lines(&self) -> String {
        let logs = self.slots.iter().filter_map(|slot| fs::read_to_string(slot.state.join("log")).ok());
        logs.filter_map(|log| log.lines().last().map(str::to_owned)).collect::<Vec<_>>().join("; ")
    }
}

async fn watch_ready_file(file: PathBuf, proxy: usize, sender: mpsc::UnboundedSender<Input>) {
    let mut last_text = String::new();
    loop {
        // A process that executes another program writes its addresses again.
        let text = fs::read_to_string(&file).unwrap_or_default();
        if text != last_text
            && let Ok(ready) = serde_json::from_str(&text)
        {
            last_text = text;
            if sender.send(Input::Ready(proxy, ready)).is_err() {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
