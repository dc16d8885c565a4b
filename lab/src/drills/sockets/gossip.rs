//! Gossip between the proxies of a drill, through a switch that loses messages, and the servers they
//! suspect.

use std::fs::{self, File};
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use border::status::SuspicionStatus;
use bytes::Bytes;
use gossip::Node;
use rand::Rng;
use tokio::sync::mpsc;

use super::datagrams::{bind, loopback, read};
use super::{Input, ProxySlot, Run, unix};
use crate::drills::release;
use crate::stand_ins::peers::{self, FaultyMembers};

/// How often proxies are asked which servers they suspect.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

impl Run {
    /// Opens a socket for each member, whose address the others know it by.
    pub(super) fn open_switch(&mut self) -> Result<()> {
        let members = self.cluster.drill.gossip_members();
        for member in 0..members {
            let socket = Arc::new(bind(loopback())?);
            self.switch_addresses.push(socket.local_addr()?);
            let sender = self.input_sender.clone();
            tokio::spawn(read(socket.clone(), move |from, bytes| {
                sender.send(Input::Gossip(member, from, bytes)).is_ok()
            }));
            self.switch.push(socket);
        }
        let folder = self._folder.path();
        write_key(&folder.join("fleet.key"), &peers::FLEET_KEY)?;
        let line = |member| {
            format!("{} = \"{}\"\n", peers::name(member), hex::encode(peers::secrets(member).public_key()))
        };
        fs::write(folder.join("roster.toml"), (0..members).map(line).collect::<String>())?;
        let (proxies, roster) = (self.cluster.drill.fleet.proxies, peers::roster(members));
        let now = self.now();
        let mut faulty_members = Vec::new();
        for member in proxies..members {
            let terms = peers::terms(&self.cluster.drill.gossip, member, &self.switch_addresses);
            let seed = self.rng.random();
            faulty_members.push(Node::new(terms, peers::secrets(member), roster.clone(), seed, now, unix()?));
        }
        self.faulty_members = FaultyMembers::new(proxies, faulty_members);
        Ok(())
    }

    /// A proxy's settings for gossip.
    pub(super) fn gossip_settings(&self, proxy: usize) -> Result<String> {
        let play = &self.cluster.drill.gossip;
        if !play.on {
            return Ok(String::new());
        }
        let folder = self._folder.path();
        let key = self.slots[proxy].state.join("own.key");
        if !key.exists() {
            write_key(&key, &peers::own_key(proxy))?;
        }
        let terms = peers::terms(play, proxy, &self.switch_addresses);
        let seeds: Vec<String> = terms.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        Ok(format!(
            "\n[gossip]\nlisten = \"127.0.0.1:0\"\naddress = \"{}\"\nseeds = [{}]\nkey = {key:?}\nfleet_keys = [{:?}]\n\
             roster = {:?}\ncap = {}\nbeat = \"{} ms\"\nliars = {}\n{}",
            terms.address,
            seeds.join(", "),
            folder.join("fleet.key"),
            folder.join("roster.toml"),
            terms.max_bytes_per_second,
            terms.probe_interval,
            terms.max_faulty,
            self.cluster.drill.limit_settings()
                + &self.cluster.drill.release.map_or(String::new(), |play| release::settings(&play)),
        ))
    }

    /// Forwards a message between members, or loses it.
    pub(super) fn pass(&mut self, from: usize, to: usize, bytes: &Bytes) {
        let now = self.now();
        for late in self.cluster.drill.peer_copy_delays(now, from, to, &mut self.rng) {
            match self.slots.get(to) {
                // The receiver sees it come from the address that it knows the sender by.
                Some(ProxySlot { peers: Some(peer), .. }) => {
                    let (socket, peer, bytes) = (self.switch[from].clone(), *peer, bytes.clone());
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_secs_f64(late / 1000.0)).await;
                        let _ = socket.try_send_to(&bytes, peer);
                    });
                }
                Some(_) => {}
                None => {
                    self.faulty_members.receive(now, to, self.switch_addresses[from], bytes);
                    self.send_faulty_members_messages();
                }
            }
        }
    }

    pub(super) fn send_faulty_members_messages(&mut self) {
        while let Some((from, to, bytes)) = self.faulty_members.outgoing() {
            if let Some(to) = self.switch_addresses.iter().position(|address| *address == to) {
                self.pass(from, to, &bytes.into());
            }
        }
    }
}

fn write_key(file: &Path, key: &[u8; 32]) -> Result<()> {
    let mut to = File::options().write(true).create_new(true).mode(0o600).open(file)?;
    Ok(io::Write::write_all(&mut to, hex::encode(key).as_bytes())?)
}

/// Asks every proxy in turn which servers it suspects to be silent.
pub(super) async fn poll_suspicions(controls: Vec<PathBuf>, sender: mpsc::UnboundedSender<Input>) {
    loop {
        for (proxy, control) in controls.iter().enumerate() {
            tokio::time::sleep(POLL_INTERVAL / controls.len() as u32).await;
            let request = daemon::control::request::<Vec<SuspicionStatus>>(control, "suspicions");
            // A proxy that is down or stopped does not answer.
            let Ok(Ok(suspicions)) = tokio::time::timeout(POLL_INTERVAL, request).await else { continue };
            let suspected = suspicions.into_iter().filter(|s| s.believed).map(|s| s.server).collect();
            if sender.send(Input::Suspicions(proxy, suspected)).is_err() {
                return;
            }
        }
    }
}
