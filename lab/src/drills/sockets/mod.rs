//! Plays a drill on sockets: border proxies as processes of their own, stand-ins, callers and list feed in
//! this one, all on the loopback address with ports from the kernel.

mod datagrams;
mod gossip;
mod processes;
mod releasing;

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use anyhow::{Result, bail, ensure};
use bytes::Bytes;
use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, UdpSocket};
use tokio::process::Child;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::drill::Drill;
use crate::drills::release;
use crate::drills::world::{Out, Place, World};
use crate::stand_ins::baseline::Routing;
use crate::stand_ins::peers::Liars;
use crate::witness::events::Events;

use self::gossip::ask_around;
use datagrams::read;
pub use datagrams::{LARGEST, bind, loopback};
pub use processes::Cost;
use processes::{Ready, cost};

/// How far the clock at which a datagram is read may lie from when it passed.
pub const SLACK: f64 = 20.0;
/// A proxy that is not ready by then fails the drill.
const READY_WAIT: Duration = Duration::from_secs(15);
/// A proxy that has not stopped by then is killed.
const STOP_WAIT: Duration = Duration::from_secs(6);

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

    async fn tell(&mut self, proxy: usize, line: &str) {
        let seat = &mut self.seats[proxy];
        if let Some(subscriber) = &mut seat.subscriber
            && subscriber.write_all(line.as_bytes()).await.is_err()
        {
            seat.subscriber = None;
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

fn unix() -> Result<f64> {
    Ok(SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_secs_f64() * 1000.0)
}
