//! Plays a drill on sockets: border proxies as separate processes, stand-ins, callers and list feed in this
//! one, all on the loopback address with ports chosen by the kernel.

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
use crate::drills::cluster::{Action, StandIn, TestCluster};
use crate::drills::release;
use crate::stand_ins::baseline::Routing;
use crate::stand_ins::peers::FaultyMembers;
use crate::witness::events::Events;

use self::gossip::poll_suspicions;
use datagrams::read;
pub use datagrams::{MAX_DATAGRAM_BYTES, bind, loopback};
pub use processes::Cost;
use processes::{Ready, cost};

/// Largest difference between the time when a datagram is read and when it passed.
pub const CLOCK_SLACK_MS: f64 = 20.0;
/// A proxy that is not ready within this time fails the drill.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// A proxy that has not stopped within this time is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

enum Input {
    Datagram(StandIn, SocketAddr, Bytes),
    Subscribed(usize, OwnedWriteHalf),
    Ready(usize, Ready),
    Resume(usize),
    /// A callers' socket answered a probe.
    Alive(usize),
    /// The result of starting the release.
    Release(Result<()>),
    /// A datagram at a member's socket in the switch.
    Gossip(usize, SocketAddr, Bytes),
    Suspicions(usize, Vec<String>),
}

struct Listening {
    socket: Arc<UdpSocket>,
    reader: JoinHandle<()>,
}

struct ProxySlot {
    state: PathBuf,
    feed: SocketAddr,
    callers: Option<SocketAddr>,
    /// Where it receives gossip; others know it by its socket in the switch.
    peers: Option<SocketAddr>,
    child: Option<Child>,
    subscriber: Option<OwnedWriteHalf>,
}

struct Run {
    cluster: TestCluster,
    routing: Option<Routing>,
    costs: Vec<Cost>,
    started_at: Instant,
    listeners: HashMap<StandIn, Listening>,
    addresses: HashMap<usize, SocketAddr>,
    slots: Vec<ProxySlot>,
    input_sender: mpsc::UnboundedSender<Input>,
    inputs: mpsc::UnboundedReceiver<Input>,
    /// A socket for each member; all gossip goes through them, and is lost here.
    switch: Vec<Arc<UdpSocket>>,
    switch_addresses: Vec<SocketAddr>,
    faulty_members: FaultyMembers,
    rng: Pcg64Mcg,
    /// Proxies that a baseline has yet to replace, with the time for each.
    replacing: Vec<(f64, usize)>,
    last_look: f64,
    _folder: TempDir,
}

/// A finished drill.
pub struct DrillResult {
    pub cluster: TestCluster,
    /// Costs of each proxy whose process ran from start to end.
    pub costs: Vec<Cost>,
}

/// Plays the drill to its end, and measures what the proxies cost. Without a routing there are no proxies:
/// callers go straight to the first server.
pub fn play(drill: Drill, routing: Option<Routing>, events: Events) -> Result<DrillResult> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut run = Run::begin(drill, routing).await?;
        run.cluster.events = events;
        run.play().await?;
        run.end().await
    })
}

impl Run {
    async fn begin(drill: Drill, routing: Option<Routing>) -> Result<Self> {
        let (input_sender, inputs) = mpsc::unbounded_channel();
        let folder = tempfile::tempdir()?;
        let proxies = drill.fleet.proxies;
        let mut run = Self {
            cluster: TestCluster::new(drill, CLOCK_SLACK_MS, unix()?),
            routing,
            costs: Vec::new(),
            started_at: Instant::now(),
            listeners: HashMap::new(),
            addresses: HashMap::new(),
            slots: Vec::new(),
            input_sender,
            inputs,
            switch: Vec::new(),
            switch_addresses: Vec::new(),
            faulty_members: FaultyMembers::new(proxies, Vec::new()),
            rng: Pcg64Mcg::seed_from_u64(0),
            replacing: Vec::new(),
            last_look: 0.0,
            _folder: folder,
        };
        run.rng = Pcg64Mcg::seed_from_u64(run.cluster.drill.seed ^ 0x1055);
        run.open(StandIn::Callers, loopback())?;
        for server in 0..run.cluster.servers.len() {
            run.add_server(server)?;
        }
        if routing.is_none() {
            run.cluster.whole_list(0);
            let server = run.addresses[&0];
            (0..proxies).for_each(|proxy| run.cluster.set_proxy_address(proxy, server));
            run.started_at = Instant::now();
            return Ok(run);
        }
        if run.cluster.drill.gossip.on {
            run.open_switch()?;
        }
        for proxy in 0..proxies {
            let state = run._folder.path().join(format!("proxy-{proxy}"));
            fs::create_dir(&state)?;
            let feed = TcpListener::bind(loopback()).await?;
            let address = feed.local_addr()?;
            tokio::spawn(subscribers(feed, proxy, run.input_sender.clone()));
            run.slots.push(ProxySlot {
                state,
                feed: address,
                callers: None,
                peers: None,
                child: None,
                subscriber: None,
            });
            run.start(proxy)?;
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        while run.slots.iter().any(|slot| slot.callers.is_none() || slot.subscriber.is_none()) {
            ensure!(Instant::now() < deadline, "proxies were not ready: {}", run.last_log_lines());
            if let Ok(Some(input)) = tokio::time::timeout(Duration::from_millis(100), run.inputs.recv()).await
            {
                run.handle_input(input).await?;
            }
        }
        for slot in &run.slots {
            let process = slot.child.as_ref().and_then(Child::id);
            let (cpu, memory) = process.map_or((0.0, 0.0), cost);
            run.costs.push(Cost { process, cpu, memory: [memory, memory] });
        }
        // The drill's time starts when all proxies are ready.
        run.started_at = Instant::now();
        run.watch_release();
        if run.cluster.drill.gossip.on {
            let controls = run.slots.iter().map(|slot| slot.state.join("control.sock"));
            tokio::spawn(poll_suspicions(controls.collect(), run.input_sender.clone()));
        }
        Ok(run)
    }

    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    fn open(&mut self, stand_in: StandIn, address: SocketAddr) -> Result<SocketAddr> {
        let socket = Arc::new(bind(address)?);
        let address = socket.local_addr()?;
        let sender = self.input_sender.clone();
        let reader = tokio::spawn(read(socket.clone(), move |from, bytes| {
            sender.send(Input::Datagram(stand_in, from, bytes)).is_ok()
        }));
        self.listeners.insert(stand_in, Listening { socket, reader });
        Ok(address)
    }

    fn add_server(&mut self, server: usize) -> Result<()> {
        let address = self.open(StandIn::Server(server), loopback())?;
        self.addresses.insert(server, address);
        self.cluster.set_server_address(server, address);
        Ok(())
    }

    async fn play(&mut self) -> Result<()> {
        let end = self.cluster.end();
        loop {
            let now = self.now();
            if now >= end {
                return Ok(());
            }
            self.cluster.turn(now);
            self.run_actions().await?;
            self.check_release(now)?;
            if self.faulty_members.due() <= now {
                self.faulty_members.turn(now);
                self.send_faulty_members_messages();
            }
            let looks =
                if self.cluster.availability.is_some() { self.last_look + 100.0 } else { f64::INFINITY };
            let due = self.cluster.due().min(self.faulty_members.due()).min(looks);
            let wait = (due.min(end) - self.now()).max(0.0);
            let first =
                tokio::time::timeout(Duration::from_secs_f64(wait / 1000.0), self.inputs.recv()).await;
            let mut next = first.ok().flatten();
            while let Some(input) = next {
                self.handle_input(input).await?;
                next = self.inputs.try_recv().ok();
            }
        }
    }

    async fn handle_input(&mut self, input: Input) -> Result<()> {
        match input {
            Input::Datagram(stand_in, from, bytes) => {
                let now = self.now();
                self.cluster.receive(now, stand_in, from, bytes);
            }
            Input::Subscribed(proxy, writer) => {
                self.slots[proxy].subscriber = Some(writer);
                let updates = self.cluster.whole_list(proxy);
                if proxy == 0 {
                    self.faulty_members.update_server_list(self.now(), unix()?, &updates);
                }
                self.send_list(proxy, &updates.write()).await;
            }
            Input::Ready(proxy, Ready { callers, peers }) => {
                let first = self.slots[proxy].callers.is_none();
                (self.slots[proxy].callers, self.slots[proxy].peers) = (Some(callers), peers);
                self.cluster.set_proxy_address(proxy, callers);
                if first && self.cluster.drill.release.is_some() {
                    // After a release the new process starts at the same port.
                    let config = self.slots[proxy].state.join("settings.toml");
                    let settings = fs::read_to_string(&config)?;
                    fs::write(config, settings.replacen("127.0.0.1:0", &callers.to_string(), 1))?;
                }
            }
            Input::Alive(proxy) => {
                let now = self.now();
                let image = release::image(self.slots[proxy].child.as_ref().and_then(Child::id));
                if let Some(availability) = &mut self.cluster.availability {
                    availability.answered(now, proxy, &image);
                }
            }
            Input::Release(started) => started?,
            Input::Gossip(to, from, bytes) => {
                if let Some(member) = self.slots.iter().position(|slot| slot.peers == Some(from)) {
                    let now = self.now();
                    self.cluster.gossip.sent(now, member, bytes.len());
                    self.pass(member, to, &bytes);
                }
            }
            Input::Suspicions(proxy, names) => {
                let now = self.now();
                self.cluster.record_suspicions(now, proxy, names.iter().map(String::as_str));
            }
            Input::Resume(proxy) => self.signal(proxy, Signal::SIGCONT),
        }
        Ok(())
    }

    async fn send_list(&mut self, proxy: usize, line: &str) {
        let slot = &mut self.slots[proxy];
        if let Some(subscriber) = &mut slot.subscriber
            && subscriber.write_all(line.as_bytes()).await.is_err()
        {
            slot.subscriber = None;
        }
    }

    async fn run_actions(&mut self) -> Result<()> {
        while let Some(action) = self.cluster.next_action() {
            match action {
                Action::Datagram { from, to, bytes } => {
                    if let Some(listener) = self.listeners.get(&from) {
                        // A datagram that the socket's buffer has no space for is lost.
                        let _ = listener.socket.try_send_to(&bytes, to);
                    }
                }
                Action::List { proxy, updates } => {
                    if proxy == 0 {
                        self.faulty_members.update_server_list(self.now(), unix()?, &updates);
                    }
                    self.send_list(proxy, &updates.write()).await;
                }
                Action::ServerDown { server } => {
                    if let Some(listener) = self.listeners.remove(&StandIn::Server(server)) {
                        listener.reader.abort();
                        let _ = listener.reader.await;
                    }
                }
                Action::ServerUp { server } => {
                    let address = self.addresses[&server];
                    self.open(StandIn::Server(server), address)?;
                }
                Action::ServerAdded { server } => self.add_server(server)?,
                Action::KillProxy { proxy } => {
                    self.expect_fault(proxy, f64::INFINITY);
                    self.slots[proxy].subscriber = None;
                    if let Some(mut child) = self.slots[proxy].child.take() {
                        child.kill().await?;
                    }
                }
                Action::StartProxy { proxy } => {
                    let now = self.now();
                    self.expect_fault(proxy, now);
                    self.start(proxy)?;
                }
                Action::StallProxy { proxy, duration } => {
                    let now = self.now();
                    self.expect_fault(proxy, now + duration);
                    self.signal(proxy, Signal::SIGSTOP);
                    let sender = self.input_sender.clone();
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_secs_f64(duration / 1000.0)).await;
                        let _ = sender.send(Input::Resume(proxy));
                    });
                }
            }
        }
        Ok(())
    }

    /// Asks the proxies to stop, and checks that they stop cleanly.
    async fn end(mut self) -> Result<DrillResult> {
        let now = self.now();
        self.cluster.checker.close(now);
        for (slot, spent) in self.slots.iter().zip(&mut self.costs) {
            let process = slot.child.as_ref().and_then(Child::id);
            if process != spent.process {
                spent.process = None;
            }
            let (cpu, memory) = spent.process.map_or((spent.cpu, spent.memory[0]), cost);
            *spent = Cost { cpu: cpu - spent.cpu, memory: [spent.memory[0], memory], ..*spent };
        }
        self.costs.retain(|spent| spent.process.is_some());
        for proxy in 0..self.slots.len() {
            self.signal(proxy, Signal::SIGCONT);
            self.signal(proxy, Signal::SIGTERM);
        }
        for slot in &mut self.slots {
            let Some(child) = &mut slot.child else { continue };
            match tokio::time::timeout(STOP_TIMEOUT, child.wait()).await {
                Ok(status) if status.as_ref().is_ok_and(|status| status.success()) => {}
                Ok(status) => {
                    let log = fs::read_to_string(slot.state.join("log")).unwrap_or_default();
                    bail!("a proxy ended with {status:?}: {}", log.lines().last().unwrap_or_default());
                }
                Err(_) => {
                    child.kill().await?;
                    bail!("a proxy did not stop within {STOP_TIMEOUT:?} of being asked to");
                }
            }
        }
        Ok(DrillResult { cluster: self.cluster, costs: self.costs })
    }
}

/// Accepts a proxy's subscriptions: reads the request, and hands on the connection for the whole list.
async fn subscribers(listener: TcpListener, proxy: usize, sender: mpsc::UnboundedSender<Input>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (from, to) = stream.into_split();
        let mut request = String::new();
        if BufReader::new(from).read_line(&mut request).await.is_ok_and(|read| read > 0) {
            let _ = sender.send(Input::Subscribed(proxy, to));
        }
    }
}

fn unix() -> Result<f64> {
    Ok(SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_secs_f64() * 1000.0)
}
