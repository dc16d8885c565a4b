//! Plays a drill on sockets: border proxies as processes of their own, stand-ins, callers and list feed in
//! this one, all on the loopback address with ports from the kernel.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use anyhow::{Context, Result, bail, ensure};
use border::status::SuspicionStatus;
use bytes::{Bytes, BytesMut};
use gossip::Node;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use socket2::{Domain, Protocol, Socket, Type};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, UdpSocket};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::drill::{By, Drill};
use crate::drills::release::{self, AwayWitness};
use crate::drills::world::{Out, Place, World};
use crate::stand_ins::baseline::Routing;
use crate::stand_ins::peers::{self, Liars};
use crate::witness::events::Events;

/// How far the clock at which a datagram is read may lie from when it passed.
pub const SLACK: f64 = 20.0;
const RECEIVE_BUFFER: usize = 4 << 20;
/// A proxy that is not ready by then fails the drill.
const READY_WAIT: Duration = Duration::from_secs(15);
/// A proxy that has not stopped by then is killed.
const STOP_WAIT: Duration = Duration::from_secs(6);
/// How often proxies are asked which servers they believe silent.
const ASK_EVERY: Duration = Duration::from_millis(250);
pub const LARGEST: usize = 65_536;

enum Come {
    Datagram(Place, SocketAddr, Bytes),
    Subscribed(usize, OwnedWriteHalf),
    Ready(usize, Ready),
    Resume(usize),
    /// A callers' socket gave a sign of life.
    Alive(usize),
    /// The release could not be started, or what a proxy makes of it.
    Release(Result<()>),
    /// A datagram at the socket that stands for a member towards the others.
    Gossip(usize, SocketAddr, Bytes),
    Believed(usize, Vec<String>),
}

#[derive(Deserialize)]
struct Ready {
    callers: SocketAddr,
    peers: Option<SocketAddr>,
}

struct Listening {
    socket: Arc<UdpSocket>,
    reader: JoinHandle<()>,
}

struct Seat {
    state: PathBuf,
    feed: SocketAddr,
    callers: Option<SocketAddr>,
    /// Where its gossip is heard; others know it by its socket in the switch.
    peers: Option<SocketAddr>,
    child: Option<Child>,
    subscriber: Option<OwnedWriteHalf>,
}

struct Run {
    world: World,
    routing: Option<Routing>,
    costs: Vec<Cost>,
    began: Instant,
    places: HashMap<Place, Listening>,
    addresses: HashMap<usize, SocketAddr>,
    seats: Vec<Seat>,
    come: mpsc::UnboundedSender<Come>,
    comes: mpsc::UnboundedReceiver<Come>,
    /// Every member's socket in the switch that its gossip passes, and loses by.
    switch: Vec<Arc<UdpSocket>>,
    switched: Vec<SocketAddr>,
    liars: Liars,
    chance: Pcg64Mcg,
    /// Proxies that a baseline has yet to replace, with when.
    replacing: Vec<(f64, usize)>,
    looked: f64,
    _folder: TempDir,
}

pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// What a proxy's process has cost, as the system tells it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// The proxy's process, by id.
    pub process: Option<u32>,
    /// Processor time in milliseconds.
    pub cpu: f64,
    /// Resident memory in bytes, when the day began and when it ended.
    pub memory: [f64; 2],
}

/// A drill that was played.
pub struct Played {
    pub world: World,
    /// Of each proxy whose process ran from beginning to end.
    pub costs: Vec<Cost>,
}

/// Plays the drill to its end, with what the proxies cost. Without a routing there are none: callers go
/// straight to the first server.
pub fn play(drill: Drill, routing: Option<Routing>, events: Events) -> Result<Played> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut run = Run::begin(drill, routing).await?;
        run.world.events = events;
        run.play().await?;
        run.end().await
    })
}

/// Processor time and resident memory of a process; 0 where the system does not tell.
fn cost(id: u32) -> (f64, f64) {
    // The kernel counts in hundredths of a second and in pages of 4 KiB on the machines that this runs on.
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<f64> =
        stat.rsplit(") ").next().unwrap_or_default().split(' ').map(|f| f.parse().unwrap_or(0.0)).collect();
    let field = |i: usize| fields.get(i).copied().unwrap_or(0.0);
    ((field(11) + field(12)) * 10.0, field(21) * 4096.0)
}

/// The program that runs a border proxy, beside this one.
fn program() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("this program has no folder")?;
    // A test's program lies one folder deeper than the binaries.
    let found = [folder, folder.parent().unwrap_or(folder)].map(|f| f.join("frostthread"));
    found.into_iter().find(|path| path.exists()).context("frostthread is not built beside this program")
}

impl Run {
    async fn begin(drill: Drill, routing: Option<Routing>) -> Result<Self> {
        let (come, comes) = mpsc::unbounded_channel();
        let folder = tempfile::tempdir()?;
        let proxies = drill.fleet.proxies;
        let mut run = Self {
            world: World::new(drill, SLACK, unix()?),
            routing,
            costs: Vec::new(),
            began: Instant::now(),
            places: HashMap::new(),
            addresses: HashMap::new(),
            seats: Vec::new(),
            come,
            comes,
            switch: Vec::new(),
            switched: Vec::new(),
            liars: Liars::new(proxies, Vec::new()),
            chance: Pcg64Mcg::seed_from_u64(0),
            replacing: Vec::new(),
            looked: 0.0,
            _folder: folder,
        };
        run.chance = Pcg64Mcg::seed_from_u64(run.world.drill.seed ^ 0x1055);
        run.open(Place::Callers, loopback())?;
        for server in 0..run.world.servers.len() {
            run.add_server(server)?;
        }
        if routing.is_none() {
            run.world.whole_list(0);
            let server = run.addresses[&0];
            (0..proxies).for_each(|proxy| run.world.settle_proxy(proxy, server));
            run.began = Instant::now();
            return Ok(run);
        }
        if run.world.drill.gossip.on {
            run.open_switch()?;
        }
        for proxy in 0..proxies {
            let state = run._folder.path().join(format!("proxy-{proxy}"));
            fs::create_dir(&state)?;
            let feed = TcpListener::bind(loopback()).await?;
            let address = feed.local_addr()?;
            tokio::spawn(subscribers(feed, proxy, run.come.clone()));
            run.seats.push(Seat {
                state,
                feed: address,
                callers: None,
                peers: None,
                child: None,
                subscriber: None,
            });
            run.start(proxy)?;
        }
        let deadline = Instant::now() + READY_WAIT;
        while run.seats.iter().any(|seat| seat.callers.is_none() || seat.subscriber.is_none()) {
            ensure!(Instant::now() < deadline, "proxies were not ready: {}", run.last_words());
            if let Ok(Some(come)) = tokio::time::timeout(Duration::from_millis(100), run.comes.recv()).await {
                run.take(come).await?;
            }
        }
        for seat in &run.seats {
            let process = seat.child.as_ref().and_then(Child::id);
            let (cpu, memory) = process.map_or((0.0, 0.0), cost);
            run.costs.push(Cost { process, cpu, memory: [memory, memory] });
        }
        // The day begins when all are there.
        run.began = Instant::now();
        run.watch_release();
        if run.world.drill.gossip.on {
            let controls = run.seats.iter().map(|seat| seat.state.join("control.sock"));
            tokio::spawn(ask_around(controls.collect(), run.come.clone()));
        }
        Ok(run)
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    fn last_words(&self) -> String {
        let words = self.seats.iter().filter_map(|seat| fs::read_to_string(seat.state.join("log")).ok());
        words.filter_map(|log| log.lines().last().map(str::to_owned)).collect::<Vec<_>>().join("; ")
    }

    fn open(&mut self, place: Place, address: SocketAddr) -> Result<SocketAddr> {
        let socket = Arc::new(bind(address)?);
        let address = socket.local_addr()?;
        let come = self.come.clone();
        let reader = tokio::spawn(read(socket.clone(), move |from, bytes| {
            come.send(Come::Datagram(place, from, bytes)).is_ok()
        }));
        self.places.insert(place, Listening { socket, reader });
        Ok(address)
    }

    fn add_server(&mut self, server: usize) -> Result<()> {
        let address = self.open(Place::Server(server), loopback())?;
        self.addresses.insert(server, address);
        self.world.settle_server(server, address);
        Ok(())
    }

    fn start(&mut self, proxy: usize) -> Result<()> {
        let seat = &self.seats[proxy];
        let (config, ready) = (seat.state.join("settings.toml"), seat.state.join("ready.json"));
        let _ = fs::remove_file(&ready);
        let callers = seat.callers.unwrap_or(loopback()).to_string();
        let state = seat.state.to_str().context("a path that is no text")?;
        let settings =
            self.world.drill.settings(&format!("p{proxy}"), state, &callers, &seat.feed.to_string());
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
        let seat = &mut self.seats[proxy];
        let log = File::options().create(true).append(true).open(seat.state.join("log"))?;
        command.arg(&config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        seat.child = Some(command.spawn()?);
        tokio::spawn(await_ready(ready, proxy, self.come.clone()));
        Ok(())
    }

    /// A socket for each member, which the others know it by.
    fn open_switch(&mut self) -> Result<()> {
        let members = self.world.drill.members();
        for member in 0..members {
            let socket = Arc::new(bind(loopback())?);
            self.switched.push(socket.local_addr()?);
            let come = self.come.clone();
            tokio::spawn(read(socket.clone(), move |from, bytes| {
                come.send(Come::Gossip(member, from, bytes)).is_ok()
            }));
            self.switch.push(socket);
        }
        let folder = self._folder.path();
        write_key(&folder.join("fleet.key"), &peers::FLEET_KEY)?;
        let line = |member| {
            format!("{} = \"{}\"\n", peers::name(member), hex::encode(peers::secrets(member).public()))
        };
        fs::write(folder.join("roster.toml"), (0..members).map(line).collect::<String>())?;
        let (proxies, roster) = (self.world.drill.fleet.proxies, peers::roster(members));
        let now = self.now();
        let mut liars = Vec::new();
        for member in proxies..members {
            let terms = peers::terms(&self.world.drill.gossip, member, &self.switched);
            let seed = self.chance.random();
            liars.push(Node::new(terms, peers::secrets(member), roster.clone(), seed, now, unix()?));
        }
        self.liars = Liars::new(proxies, liars);
        Ok(())
    }

    /// What a proxy's settings say of gossip.
    fn gossip_settings(&self, proxy: usize) -> Result<String> {
        let play = &self.world.drill.gossip;
        if !play.on {
            return Ok(String::new());
        }
        let folder = self._folder.path();
        let key = self.seats[proxy].state.join("own.key");
        if !key.exists() {
            write_key(&key, &peers::own_key(proxy))?;
        }
        let terms = peers::terms(play, proxy, &self.switched);
        let seeds: Vec<String> = terms.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        Ok(format!(
            "\n[gossip]\nlisten = \"127.0.0.1:0\"\naddress = \"{}\"\nseeds = [{}]\nkey = {key:?}\nfleet_keys = [{:?}]\n\
             roster = {:?}\ncap = {}\nbeat = \"{} ms\"\nliars = {}\n{}",
            terms.address,
            seeds.join(", "),
            folder.join("fleet.key"),
            folder.join("roster.toml"),
            terms.cap,
            terms.beat,
            terms.liars,
            self.world.drill.limit_settings()
                + &self.world.drill.release.map_or(String::new(), |play| release::settings(&play)),
        ))
    }

    /// Has the release begin in its time, and looks at who is away from now on.
    fn watch_release(&mut self) {
        let Some(play) = self.world.drill.release else { return };
        let proxies = self.seats.len();
        self.world.away = Some(AwayWitness::new(proxies, play.most(proxies), self.images()));
        let addresses = self.seats.iter().filter_map(|seat| seat.callers).collect();
        let come = self.come.clone();
        tokio::spawn(release::look_around(addresses, move |proxy| come.send(Come::Alive(proxy)).is_ok()));
        let at = play.at * 1000.0;
        // What the budget gives on average, if each took two seconds.
        let spread = 2_000.0 * (proxies as f64 / play.most(proxies) as f64).ceil();
        let states: Vec<PathBuf> = self.seats.iter().map(|seat| seat.state.clone()).collect();
        match play.by {
            By::Agreed => {
                let come = self.come.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs_f64(at / 1000.0)).await;
                    let _ = come.send(Come::Release(release::start(states).await));
                });
            }
            By::Timer => {
                let draw = |proxy| (at + spread * self.chance.random::<f64>(), proxy);
                self.replacing = (0..proxies).map(draw).collect();
            }
            By::Push => self.replacing = (0..proxies).map(|proxy| (at, proxy)).collect(),
        }
    }

    fn images(&self) -> Vec<String> {
        self.seats.iter().map(|seat| release::image(seat.child.as_ref().and_then(Child::id))).collect()
    }

    /// Who is away, and proxies that a baseline replaces: told to stop, and started again when they have.
    fn look(&mut self, now: f64) -> Result<()> {
        if self.world.away.is_none() || now - self.looked < 100.0 {
            return Ok(());
        }
        self.looked = now;
        let due: Vec<usize> =
            self.replacing.iter().filter(|(at, _)| *at <= now).map(|(_, proxy)| *proxy).collect();
        self.replacing.retain(|(at, _)| *at > now);
        due.iter().for_each(|&proxy| self.signal(proxy, Signal::SIGTERM));
        if self.world.drill.release.is_some_and(|play| play.by != By::Agreed) {
            for proxy in 0..self.seats.len() {
                let child = self.seats[proxy].child.as_mut();
                if child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                    self.start(proxy)?;
                }
            }
        }
        let images = self.images();
        for proxy in std::mem::take(&mut self.world.witness.stopping) {
            self.world.away.as_mut().expect("watched").stopping(now, proxy);
        }
        self.world.away.as_mut().expect("watched").look(now, &images);
        Ok(())
    }

    /// Passes a message on between members, or loses it.
    fn pass(&mut self, from: usize, to: usize, bytes: &Bytes) {
        let now = self.now();
        for late in self.world.drill.peer_copies(now, from, to, &mut self.chance) {
            match self.seats.get(to) {
                // The other one sees it come from the address that it knows the sender by.
                Some(Seat { peers: Some(peer), .. }) => {
                    let (socket, peer, bytes) = (self.switch[from].clone(), *peer, bytes.clone());
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_secs_f64(late / 1000.0)).await;
                        let _ = socket.try_send_to(&bytes, peer);
                    });
                }
                Some(_) => {}
                None => {
                    self.liars.receive(now, to, self.switched[from], bytes);
                    self.hear_liars();
                }
            }
        }
    }

    fn hear_liars(&mut self) {
        while let Some((from, to, bytes)) = self.liars.outgoing() {
            if let Some(to) = self.switched.iter().position(|address| *address == to) {
                self.pass(from, to, &bytes.into());
            }
        }
    }

    async fn play(&mut self) -> Result<()> {
        let end = self.world.end();
        loop {
            let now = self.now();
            if now >= end {
                return Ok(());
            }
            self.world.turn(now);
            self.carry_out().await?;
            self.look(now)?;
            if self.liars.due() <= now {
                self.liars.turn(now);
                self.hear_liars();
            }
            let looks = if self.world.away.is_some() { self.looked + 100.0 } else { f64::INFINITY };
            let due = self.world.due().min(self.liars.due()).min(looks);
            let wait = (due.min(end) - self.now()).max(0.0);
            let first = tokio::time::timeout(Duration::from_secs_f64(wait / 1000.0), self.comes.recv()).await;
            let mut next = first.ok().flatten();
            while let Some(come) = next {
                self.take(come).await?;
                next = self.comes.try_recv().ok();
            }
        }
    }

    async fn take(&mut self, come: Come) -> Result<()> {
        match come {
            Come::Datagram(place, from, bytes) => {
                let now = self.now();
                self.world.arrive(now, place, from, bytes);
            }
            Come::Subscribed(proxy, writer) => {
                self.seats[proxy].subscriber = Some(writer);
                let news = self.world.whole_list(proxy);
                if proxy == 0 {
                    self.liars.listed(self.now(), unix()?, &news);
                }
                self.tell(proxy, &news.write()).await;
            }
            Come::Ready(proxy, Ready { callers, peers }) => {
                let first = self.seats[proxy].callers.is_none();
                (self.seats[proxy].callers, self.seats[proxy].peers) = (Some(callers), peers);
                self.world.settle_proxy(proxy, callers);
                if first && self.world.drill.release.is_some() {
                    // By a release it begins anew at the same port.
                    let config = self.seats[proxy].state.join("settings.toml");
                    let settings = fs::read_to_string(&config)?;
                    fs::write(config, settings.replacen("127.0.0.1:0", &callers.to_string(), 1))?;
                }
            }
            Come::Alive(proxy) => {
                let now = self.now();
                let image = release::image(self.seats[proxy].child.as_ref().and_then(Child::id));
                if let Some(away) = &mut self.world.away {
                    away.heard(now, proxy, &image);
                }
            }
            Come::Release(started) => started?,
            Come::Gossip(to, from, bytes) => {
                if let Some(member) = self.seats.iter().position(|seat| seat.peers == Some(from)) {
                    let now = self.now();
                    self.world.peers.sent(now, member, bytes.len());
                    self.pass(member, to, &bytes);
                }
            }
            Come::Believed(proxy, names) => {
                let now = self.now();
                self.world.believes(now, proxy, names.iter().map(String::as_str));
            }
            Come::Resume(proxy) => self.signal(proxy, Signal::SIGCONT),
        }
        Ok(())
    }

    /// What befalls the proxy until then is the script's doing.
    fn script(&mut self, proxy: usize, until: f64) {
        if let Some(away) = &mut self.world.away {
            away.script(proxy, until);
        }
    }

    async fn tell(&mut self, proxy: usize, line: &str) {
        let seat = &mut self.seats[proxy];
        if let Some(subscriber) = &mut seat.subscriber
            && subscriber.write_all(line.as_bytes()).await.is_err()
        {
            seat.subscriber = None;
        }
    }

    fn signal(&self, proxy: usize, signal: Signal) {
        if let Some(id) = self.seats[proxy].child.as_ref().and_then(Child::id) {
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    async fn carry_out(&mut self) -> Result<()> {
        while let Some(out) = self.world.out() {
            match out {
                Out::Datagram { from, to, bytes } => {
                    if let Some(place) = self.places.get(&from) {
                        // What finds no room is lost, as datagrams are.
                        let _ = place.socket.try_send_to(&bytes, to);
                    }
                }
                Out::List { proxy, news } => {
                    if proxy == 0 {
                        self.liars.listed(self.now(), unix()?, &news);
                    }
                    self.tell(proxy, &news.write()).await;
                }
                Out::Down { server } => {
                    if let Some(place) = self.places.remove(&Place::Server(server)) {
                        place.reader.abort();
                        let _ = place.reader.await;
                    }
                }
                Out::Up { server } => {
                    let address = self.addresses[&server];
                    self.open(Place::Server(server), address)?;
                }
                Out::Added { server } => self.add_server(server)?,
                Out::Kill { proxy } => {
                    self.script(proxy, f64::INFINITY);
                    self.seats[proxy].subscriber = None;
                    if let Some(mut child) = self.seats[proxy].child.take() {
                        child.kill().await?;
                    }
                }
                Out::Start { proxy } => {
                    let now = self.now();
                    self.script(proxy, now);
                    self.start(proxy)?;
                }
                Out::Stall { proxy, span } => {
                    let now = self.now();
                    self.script(proxy, now + span);
                    self.signal(proxy, Signal::SIGSTOP);
                    let come = self.come.clone();
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_secs_f64(span / 1000.0)).await;
                        let _ = come.send(Come::Resume(proxy));
                    });
                }
            }
        }
        Ok(())
    }

    /// Asks the proxies to stop, and looks whether they do so in order.
    async fn end(mut self) -> Result<Played> {
        let now = self.now();
        self.world.witness.close(now);
        for (seat, spent) in self.seats.iter().zip(&mut self.costs) {
            let process = seat.child.as_ref().and_then(Child::id);
            if process != spent.process {
                spent.process = None;
            }
            let (cpu, memory) = spent.process.map_or((spent.cpu, spent.memory[0]), cost);
            *spent = Cost { cpu: cpu - spent.cpu, memory: [spent.memory[0], memory], ..*spent };
        }
        self.costs.retain(|spent| spent.process.is_some());
        for proxy in 0..self.seats.len() {
            self.signal(proxy, Signal::SIGCONT);
            self.signal(proxy, Signal::SIGTERM);
        }
        for seat in &mut self.seats {
            let Some(child) = &mut seat.child else { continue };
            match tokio::time::timeout(STOP_WAIT, child.wait()).await {
                Ok(status) if status.as_ref().is_ok_and(|status| status.success()) => {}
                Ok(status) => {
                    let log = fs::read_to_string(seat.state.join("log")).unwrap_or_default();
                    bail!("a proxy ended with {status:?}: {}", log.lines().last().unwrap_or_default());
                }
                Err(_) => {
                    child.kill().await?;
                    bail!("a proxy did not stop within {STOP_WAIT:?} of being asked to");
                }
            }
        }
        Ok(Played { world: self.world, costs: self.costs })
    }
}

async fn read(socket: Arc<UdpSocket>, tell: impl Fn(SocketAddr, Bytes) -> bool) {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(LARGEST);
        // A refusal tells of a proxy that is down; its callers and servers find out by themselves.
        let Ok((_, from)) = socket.recv_buf_from(&mut buffer).await else { continue };
        if !tell(from, buffer.split().freeze()) {
            return;
        }
    }
}

/// Takes a proxy's subscriptions; what it asks for first is read and answered with the whole list.
async fn subscribers(listener: TcpListener, proxy: usize, come: mpsc::UnboundedSender<Come>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (from, to) = stream.into_split();
        let mut asked = String::new();
        if BufReader::new(from).read_line(&mut asked).await.is_ok_and(|read| read > 0) {
            let _ = come.send(Come::Subscribed(proxy, to));
        }
    }
}

async fn await_ready(file: PathBuf, proxy: usize, come: mpsc::UnboundedSender<Come>) {
    let mut told = String::new();
    loop {
        // A process that becomes another says anew where it listens.
        let text = fs::read_to_string(&file).unwrap_or_default();
        if text != told
            && let Ok(ready) = serde_json::from_str(&text)
        {
            told = text;
            if come.send(Come::Ready(proxy, ready)).is_err() {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn unix() -> Result<f64> {
    Ok(SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_secs_f64() * 1000.0)
}

fn write_key(file: &Path, key: &[u8; 32]) -> Result<()> {
    let mut to = File::options().write(true).create_new(true).mode(0o600).open(file)?;
    Ok(io::Write::write_all(&mut to, hex::encode(key).as_bytes())?)
}

/// Asks every proxy in turn which servers it believes silent.
async fn ask_around(controls: Vec<PathBuf>, come: mpsc::UnboundedSender<Come>) {
    loop {
        for (proxy, control) in controls.iter().enumerate() {
            tokio::time::sleep(ASK_EVERY / controls.len() as u32).await;
            let asked = daemon::control::ask::<Vec<SuspicionStatus>>(control, "suspicions");
            // One that is down or stands still has nothing to say.
            let Ok(Ok(suspicions)) = tokio::time::timeout(ASK_EVERY, asked).await else { continue };
            let believed = suspicions.into_iter().filter(|s| s.believed).map(|s| s.server).collect();
            if come.send(Come::Believed(proxy, believed)).is_err() {
                return;
            }
        }
    }
}
