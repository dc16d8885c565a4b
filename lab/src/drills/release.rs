//! A release played on sockets: what the proxies' settings say of it, who starts it and how, and the witness
//! of who is away. The witness looks at callers' sockets and processes, never at what a proxy says of itself.
//!
//! A proxy is away from its first word to a caller that it is stopping, or from when its callers' socket has
//! been silent for a while, until another process, or the same one as another program, answers there.

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

use crate::drill::ReleasePlay;
use crate::stand_ins::peers;

/// How often each callers' socket is asked, and the silence after which nobody is there.
const LOOK_EVERY: Duration = Duration::from_millis(100);
const SILENT: f64 = 1_000.0;
/// What a fault put in by the script does lasts this long after it for the witness.
const AFTER: f64 = 3_000.0;

/// What each proxy's settings say of the release.
pub fn settings(play: &ReleasePlay) -> String {
    let members: Vec<String> = (0..play.members).map(|proxy| format!("\"{}\"", peers::name(proxy))).collect();
    format!(
        "\n[council]\nmembers = [{}]\nbeat = \"100 ms\"\nlease = \"4 s\"\n\n[outs]\nproxy_part = {:?}\nwitnesses = {}\n\
         well = \"{} ms\"\njudged = false\n",
        members.join(", "),
        play.part,
        play.witnesses,
        play.well * 1000.0
    )
}

/// The tables that the release puts in the place of those of each proxy.
pub const CHANGE: &[u8] = b"[iax2]\nresend = \"500 ms\"\nresends = 4\n";

/// Puts the file at each proxy, and asks any of them for each step until the release is started.
pub async fn start(states: Vec<PathBuf>) -> Result<()> {
    let sum = *blake3::hash(CHANGE).as_bytes();
    for state in &states {
        let to = daemon::release::staged_path(state, &sum);
        fs::create_dir_all(to.parent().unwrap_or(state))?;
        fs::write(to, CHANGE)?;
    }
    let stage =
        OperatorCommand::Stage { kind: Kind::Settings, sum: hex::encode(sum), why: "a drill".to_owned() };
    for wish in [stage, OperatorCommand::Start] {
        let end = Instant::now() + Duration::from_secs(30);
        let mut tries = 0;
        loop {
            let control = states[tries % states.len()].join("control.sock");
            tries += 1;
            let word = serde_json::to_string(&CommandRequest { command: wish.clone(), dry_run: false })?;
            if let Ok(CommandOutcome::Done { .. } | CommandOutcome::Already) =
                request::<CommandOutcome>(&control, &word).await
            {
                break;
            }
            if Instant::now() > end {
                bail!("{wish:?} was not decided");
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
    Ok(())
}

/// Asks every callers' socket for a sign of life, and tells whose came.
pub async fn look_around(addresses: Vec<SocketAddr>, tell: impl Fn(usize) -> bool) {
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
        let end = tokio::time::Instant::now() + LOOK_EVERY;
        while let Ok(Ok((length, from))) = tokio::time::timeout_at(end, socket.recv_from(&mut buffer)).await {
            prober.receive(now, from, &Bytes::copy_from_slice(&buffer[..length]));
            while let Some((_, happening)) = prober.next_event() {
                if let Event::Pong { peer, .. } = happening
                    && let Some(proxy) = addresses.iter().position(|at| *at == peer)
                    && !tell(proxy)
                {
                    return;
                }
            }
        }
    }
}

/// What a process runs: its id and how it was started.
pub fn image(process: Option<u32>) -> String {
    process.map_or(String::new(), |id| {
        format!("{id} {}", fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default())
    })
}

/// Who is away, as seen from outside.
#[derive(Debug, Default)]
pub struct AwayWitness {
    most_allowed: usize,
    /// Since when, and what ran there then.
    away: BTreeMap<usize, (f64, String)>,
    heard: Vec<f64>,
    /// Until when the script's own faults are to blame.
    scripted: BTreeMap<usize, f64>,
    /// What was last heard there, and since when.
    ran: Vec<(f64, String)>,
    first: Vec<String>,
    /// The most that were away at once but for the script's, and what broke the budget.
    pub most: usize,
    pub broken: u64,
    pub told: Vec<String>,
    /// How many run something else than at first, and when all did.
    pub replaced: usize,
    pub replaced_at: Option<f64>,
}

impl AwayWitness {
    pub fn new(proxies: usize, most_allowed: usize, images: Vec<String>) -> Self {
        let ran = images.iter().map(|image| (f64::NEG_INFINITY, image.clone())).collect();
        Self { most_allowed, heard: vec![0.0; proxies], ran, first: images, ..Self::default() }
    }

    /// A proxy told a caller that it is stopping. Soon after another has answered there that was the former
    /// one's word, read late.
    pub fn stopping(&mut self, now: f64, proxy: usize) {
        let (since, image) = &self.ran[proxy];
        if now - since >= SILENT {
            self.away.entry(proxy).or_insert((now, image.clone()));
        }
    }

    /// Its callers' socket answered.
    pub fn heard(&mut self, now: f64, proxy: usize, image: &str) {
        self.heard[proxy] = now;
        if self.ran[proxy].1 != image {
            self.ran[proxy] = (now, image.to_owned());
        }
        if self.away.get(&proxy).is_some_and(|(_, then)| then != image || then.is_empty()) {
            self.away.remove(&proxy);
        }
    }

    /// The script stops or kills it, or lets it go on.
    pub fn script(&mut self, proxy: usize, until: f64) {
        self.scripted.insert(proxy, until + AFTER);
    }

    /// Looks at all; `images` is what runs now.
    pub fn look(&mut self, now: f64, images: &[String]) {
        for (proxy, heard) in self.heard.iter().enumerate() {
            if now - heard > SILENT && now > SILENT {
                self.away.entry(proxy).or_insert((now, String::new()));
            }
        }
        let scripted: BTreeSet<usize> =
            self.scripted.iter().filter(|(_, until)| now <= **until).map(|(&proxy, _)| proxy).collect();
        let away: Vec<usize> = self.away.keys().copied().filter(|proxy| !scripted.contains(proxy)).collect();
        self.most = self.most.max(away.len());
        if away.len() > self.most_allowed {
            self.broken += 1;
            if self.told.len() < 5 {
                let allowed = self.most_allowed;
                self.told.push(format!(
                    "{now:.0} ms: {} proxies away at once, {allowed} may be: {away:?}",
                    away.len()
                ));
            }
        }
        let replaced =
            images.iter().zip(&self.first).filter(|(now, then)| now != then && !now.is_empty()).count();
        self.replaced = replaced;
        if replaced == images.len() && self.away.is_empty() {
            self.replaced_at.get_or_insert(now);
        }
    }
}
