//! A release on sockets: the proxies' settings for it, how it is started, and the checker of the disruption
//! budget. The checker observes callers' sockets and processes, never what a proxy reports about itself.
//!
//! A proxy is unavailable from its first message to a caller that it is stopping, or from when its callers'
//! socket has been silent for [`SILENCE_TIMEOUT_MS`], until another process, or the same one with another
//! program, answers there.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use border::decided::{CommandOutcome, OperatorCommand};
use bytes::Bytes;
use daemon::control::{CommandRequest, request};
use iax2::{Endpoint, Event, Limits};
use outs::Kind;
use tokio::net::UdpSocket;

use crate::drill::ReleaseSettings;
use crate::stand_ins::peers;

/// How often each callers' socket is probed, and the silence after which its proxy counts as unavailable.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const SILENCE_TIMEOUT_MS: f64 = 1_000.0;
/// How long after a scheduled fault its effects are not counted against the budget.
const FAULT_TAIL_MS: f64 = 3_000.0;

/// The settings of each proxy for the release.
pub fn settings(play: &ReleaseSettings) -> String {
    let members: Vec<String> = (0..play.members).map(|proxy| format!("\"{}\"", peers::name(proxy))).collect();
    format!(
        "\n[council]\nmembers = [{}]\nbeat = \"100 ms\"\nlease = \"4 s\"\n\n[outs]\nproxy_part = {:?}\nwitnesses = {}\n\
         well = \"{} ms\"\njudged = false\n",
        members.join(", "),
        play.max_unavailable_share,
        play.witnesses,
        play.healthy_seconds * 1000.0
    )
}

/// The settings that the release installs at each proxy in place of the same tables.
pub const CHANGED_SETTINGS: &[u8] = b"[iax2]\nresend = \"500 ms\"\nresends = 4\n";

/// Stages the file at each proxy, and sends each command to the proxies in turn until one accepts it.
pub async fn start(states: Vec<PathBuf>) -> Result<()> {
    let sum = *blake3::hash(CHANGED_SETTINGS).as_bytes();
    for state in &states {
        let to = daemon::release::staged_path(state, &sum);
        fs::create_dir_all(to.parent().unwrap_or(state))?;
        fs::write(to, CHANGED_SETTINGS)?;
    }
    let stage =
        OperatorCommand::Stage { kind: Kind::Settings, sum: hex::encode(sum), why: "a drill".to_owned() };
    for command in [stage, OperatorCommand::Start] {
        let end = Instant::now() + Duration::from_secs(30);
        let mut tries = 0;
        loop {
            let control = states[tries % states.len()].join("control.sock");
            tries += 1;
            let command_text =
                serde_json::to_string(&CommandRequest { command: command.clone(), dry_run: false })?;
            if let Ok(CommandOutcome::Done { .. } | CommandOutcome::Already) =
                request::<CommandOutcome>(&control, &command_text).await
            {
                break;
            }
            if Instant::now() > end {
                bail!("{command:?} was not decided");
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
    Ok(())
}

/// Probes every callers' socket, and calls `report` with each proxy that answered.
pub async fn probe_callers_sockets(addresses: Vec<SocketAddr>, report: impl Fn(usize) -> bool) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { return };
    let mut prober = Endpoint::new(Limits::default(), 3);
    let began = Instant::now();
    let mut buffer = [0; 2048];
    loop {
        let now = began.elapsed().as_secs_f64() * 1000.0;
        prober.turn(now);
        addresses.iter().for_each(|&at| prober.poke(now, at));
        while let Some(out) = prober.next_datagram() {
            let _ = socket.try_send_to(&out.bytes, out.peer);
        }
        let end = tokio::time::Instant::now() + PROBE_INTERVAL;
        while let Ok(Ok((length, from))) = tokio::time::timeout_at(end, socket.recv_from(&mut buffer)).await {
            prober.receive(now, from, &Bytes::copy_from_slice(&buffer[..length]));
            while let Some((_, event)) = prober.next_event() {
                if let Event::Pong { peer, .. } = event
                    && let Some(proxy) = addresses.iter().position(|at| *at == peer)
                    && !report(proxy)
                {
                    return;
                }
            }
        }
    }
}

/// Identifies what a process runs: its id and its command line.
pub fn image(process: Option<u32>) -> String {
    process.map_or(String::new(), |id| {
        format!("{id} {}", fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default())
    })
}

/// Checks which proxies are unavailable, as seen from outside.
#[derive(Debug, Default)]
pub struct AvailabilityChecker {
    max_allowed: usize,
    /// Since when, and what ran there at that time.
    unavailable: BTreeMap<usize, (f64, String)>,
    last_answer: Vec<f64>,
    /// Until when a scheduled fault accounts for the proxy.
    expected_until: BTreeMap<usize, f64>,
    /// What last answered there, and since when.
    running: Vec<(f64, String)>,
    first_images: Vec<String>,
    /// The most that were unavailable at once apart from scheduled faults, and the violations of the budget.
    pub max_unavailable: usize,
    pub broken: u64,
    pub examples: Vec<String>,
    /// How many run something else than at the start, and when all did.
    pub replaced: usize,
    pub replaced_at: Option<f64>,
}

impl AvailabilityChecker {
    pub fn new(proxies: usize, max_allowed: usize, images: Vec<String>) -> Self {
        let running = images.iter().map(|image| (f64::NEG_INFINITY, image.clone())).collect();
        Self {
            max_allowed,
            last_answer: vec![0.0; proxies],
            running,
            first_images: images,
            ..Self::default()
        }
    }

    /// A proxy sent a caller that it is stopping. Soon after another process has answered there, that
    /// message came from the former one and was read late.
    pub fn stopping(&mut self, now: f64, proxy: usize) {
        let (since, image) = &self.running[proxy];
        if now - since >= SILENCE_TIMEOUT_MS {
            self.unavailable.entry(proxy).or_insert((now, image.clone()));
        }
    }

    /// Its callers' socket answered.
    pub fn answered(&mut self, now: f64, proxy: usize, image: &str) {
        self.last_answer[proxy] = now;
        if self.running[proxy].1 != image {
            self.running[proxy] = (now, image.to_owned());
        }
        if self.unavailable.get(&proxy).is_some_and(|(_, former)| former != image || former.is_empty()) {
            self.unavailable.remove(&proxy);
        }
    }

    /// A scheduled fault stops, kills or resumes the proxy.
    pub fn expect_fault(&mut self, proxy: usize, until: f64) {
        self.expected_until.insert(proxy, until + FAULT_TAIL_MS);
    }

    /// Checks all proxies; `images` is what each runs now.
    pub fn observe(&mut self, now: f64, images: &[String]) {
        for (proxy, last_answer) in self.last_answer.iter().enumerate() {
            if now - last_answer > SILENCE_TIMEOUT_MS && now > SILENCE_TIMEOUT_MS {
                self.unavailable.entry(proxy).or_insert((now, String::new()));
            }
        }
        let expected_until: BTreeSet<usize> =
            self.expected_until.iter().filter(|(_, until)| now <= **until).map(|(&proxy, _)| proxy).collect();
        let unavailable: Vec<usize> =
            self.unavailable.keys().copied().filter(|proxy| !expected_until.contains(proxy)).collect();
        self.max_unavailable = self.max_unavailable.max(unavailable.len());
        if unavailable.len() > self.max_allowed {
            self.broken += 1;
            if self.examples.len() < 5 {
                let allowed = self.max_allowed;
                self.examples.push(format!(
                    "{now:.0} ms: {} proxies unavailable at once, {allowed} may be: {unavailable:?}",
                    unavailable.len()
                ));
            }
        }
        let replaced = images
            .iter()
            .zip(&self.first_images)
            .filter(|(now, former)| now != former && !now.is_empty())
            .count();
        self.replaced = replaced;
        if replaced == images.len() && self.unavailable.is_empty() {
            self.replaced_at.get_or_insert(now);
        }
    }
}
