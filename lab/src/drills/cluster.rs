//! The simulated environment of a drill without I/O: stand-in servers, callers, list feed, link and the
//! schedule of faults. The driver supplies the border proxies: [`simulated`](super::simulated) under a
//! virtual clock, [`sockets`](super::sockets) as processes.
//!
//! The driver calls [`TestCluster::receive`] and [`TestCluster::turn`], carries out each
//! [`TestCluster::next_action`], and calls again at [`TestCluster::due`].

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use border::pool::{PoolEntry, PoolUpdates, Readiness};
use bytes::Bytes;
use ordered_float::OrderedFloat;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::drill::{Drill, Fault, FaultKind};
use crate::drills::release::AvailabilityChecker;
use crate::stand_ins::callers::Callers;
use crate::stand_ins::central::Central;
use crate::stand_ins::feed::Feed;
use crate::stand_ins::link::Link;
use crate::stand_ins::peers::GossipStats;
use crate::witness::events::{Event, Events};
use crate::witness::{RuleChecker, ServerFacts};

/// Time after the last first try in which conversations under way may end.
const TAIL_MS: f64 = 6_000.0;
/// Time in which a stopped server's last messages are still sent.
const STOP_GRACE_MS: f64 = 50.0;
/// Time within which proxies that gossip must detect a silent server.
const MAX_DETECTION_MS: f64 = 5_000.0;

/// A stand-in that sends and receives datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StandIn {
    Callers,
    Server(usize),
}

/// What the driver must do.
#[derive(Debug)]
pub enum Action {
    Datagram {
        from: StandIn,
        to: SocketAddr,
        bytes: Bytes,
    },
    /// Deliver changes of the list to a proxy.
    List {
        proxy: usize,
        updates: PoolUpdates,
    },
    /// The socket at the server's address is closed, or open again.
    ServerDown {
        server: usize,
    },
    ServerUp {
        server: usize,
    },
    KillProxy {
        proxy: usize,
    },
    StartProxy {
        proxy: usize,
    },
    /// The proxy must not run for this long, in milliseconds.
    StallProxy {
        proxy: usize,
        duration: f64,
    },
    /// A server is added: the driver gives it an address with [`TestCluster::set_server_address`].
    ServerAdded {
        server: usize,
    },
}

#[derive(Clone, Debug)]
enum Step {
    Begin(usize),
    Silent { server: usize, until: f64 },
    Restart { server: usize, after: f64 },
    Return { server: usize },
    Replace { server: usize, drain: f64 },
    Stop { server: usize },
    Gone { server: usize },
    StartProxy { proxy: usize },
    FrontKnows { proxy: usize },
    Stall { proxy: usize, span: f64, gap: f64, until: f64 },
    ListSilent { server: usize },
}

enum InTransit {
    ToStandIn(StandIn, SocketAddr, Bytes),
    ToProxy(StandIn, SocketAddr, Bytes),
}

/// A stand-in central server, its entry in the pool list and its state.
pub struct StandInServer {
    pub central: Central,
    pub name: String,
    pub address: Option<SocketAddr>,
    pub pool: u16,
    pub up: bool,
    silent_until: f64,
    draining: bool,
}

/// The simulated environment of a drill.
pub struct TestCluster {
    /// Checks the disruption budget during a release, if there is one.
    pub availability: Option<AvailabilityChecker>,
    pub drill: Drill,
    pub servers: Vec<StandInServer>,
    pub callers: Callers,
    pub checker: RuleChecker,
    feed: Option<Feed>,
    link: Link,
    rng: Pcg64Mcg,
    arrival_times: BinaryHeap<Reverse<(OrderedFloat<f64>, u64)>>,
    in_transit: HashMap<u64, InTransit>,
    datagrams_sent: u64,
    step_times: BinaryHeap<Reverse<(OrderedFloat<f64>, u64)>>,
    steps_by_id: HashMap<u64, Step>,
    steps_scheduled: u64,
    actions: VecDeque<Action>,
    list_delay: (f64, f64),
    proxy_up: Vec<bool>,
    addresses: Vec<Option<SocketAddr>>,
    /// Unix time in milliseconds at the cluster's time 0.
    epoch: f64,
    /// Capacity of all servers at each second, in conversations per second.
    pub capacity: Vec<f64>,
    pub gossip: GossipStats,
    pub events: Events,
    now: f64,
}

impl TestCluster {
    /// `slack` is the inaccuracy of the clocks and `epoch` the Unix time at the start, in milliseconds.
    pub fn new(drill: Drill, slack: f64, epoch: f64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(drill.seed);
        let mut new_rng = || Pcg64Mcg::seed_from_u64(rng.random());
        let new_server = |i: usize, rng| StandInServer {
            central: Central::for_drill(&drill, f64::NEG_INFINITY, rng),
            name: format!("central-{i}"),
            address: None,
            pool: i as u16,
            up: true,
            silent_until: 0.0,
            draining: false,
        };
        let servers = (0..drill.fleet.servers).map(|i| new_server(i, new_rng())).collect();
        let mut cluster = Self {
            servers,
            callers: Callers::new(&drill, new_rng()),
            link: Link::new(drill.link, new_rng()),
            availability: None,
            checker: RuleChecker::new(slack, (drill.gossip.limit > 0).then_some(drill.gossip.limit)),
            feed: None,
            arrival_times: BinaryHeap::new(),
            in_transit: HashMap::new(),
            datagrams_sent: 0,
            step_times: BinaryHeap::new(),
            steps_by_id: HashMap::new(),
            steps_scheduled: 0,
            actions: VecDeque::new(),
            list_delay: (0.0, 0.0),
            proxy_up: vec![true; drill.fleet.proxies],
            addresses: vec![None; drill.fleet.proxies],
            epoch,
            capacity: Vec::new(),
            gossip: GossipStats::default(),
            events: Events::default(),
            now: 0.0,
            rng: new_rng(),
            drill,
        };
        for (i, fault) in cluster.drill.faults.clone().iter().enumerate() {
            cluster.schedule(fault.at * 1000.0, Step::Begin(i));
        }
        cluster
    }

    /// When the drill ends, in milliseconds.
    pub fn end(&self) -> f64 {
        self.drill.seconds * 1000.0 + TAIL_MS
    }

    /// Sets the address of a server.
    pub fn set_server_address(&mut self, server: usize, address: SocketAddr) {
        self.servers[server].address = Some(address);
        if self.feed.is_some() {
            self.announce(server, Readiness::Running, false);
        }
    }

    /// Sets the address at which a proxy accepts callers.
    pub fn set_proxy_address(&mut self, proxy: usize, address: SocketAddr) {
        self.addresses[proxy] = Some(address);
        self.callers.proxies[proxy] = Some(address);
        self.proxy_up[proxy] = true;
    }

    /// The whole list as a proxy gets it when it subscribes.
    pub fn whole_list(&mut self, proxy: usize) -> PoolUpdates {
        if self.feed.is_none() {
            let entries: Vec<PoolEntry> =
                (0..self.servers.len()).map(|server| self.entry(server, Readiness::Running)).collect();
            self.feed = Some(Feed::new(self.drill.fleet.proxies, &entries));
        }
        let updates = self.feed.as_ref().expect("made above").whole(proxy);
        self.record_list(proxy, &updates);
        updates
    }

    /// Records the servers, by name, that a proxy suspects to be silent.
    pub fn record_suspicions<'a>(&mut self, now: f64, proxy: usize, names: impl Iterator<Item = &'a str>) {
        for name in names {
            let Some(server) = self.servers.iter().position(|stand_in| stand_in.name == name) else {
                continue;
            };
            let stand_in = &self.servers[server];
            let answers = stand_in.up && now >= stand_in.silent_until && now >= stand_in.central.hung_until;
            self.gossip.record_suspicion(now, proxy, server, !answers || stand_in.central.overloaded);
        }
    }

    fn record_list(&mut self, proxy: usize, updates: &PoolUpdates) {
        self.checker.list_delivered(self.now, proxy, updates);
        self.events.record(&Event::List { ms: self.now, proxy, updates });
    }

    fn entry(&self, server: usize, state: Readiness) -> PoolEntry {
        let stand_in = &self.servers[server];
        let started = stand_in.central.started_at;
        PoolEntry {
            name: stand_in.name.clone(),
            address: stand_in.address.expect("address is set"),
            state,
            pool: stand_in.pool,
            started: started.is_finite().then_some(self.epoch + started),
        }
    }

    fn announce(&mut self, server: usize, state: Readiness, silent: bool) {
        let entry = self.entry(server, state);
        let times = self.drill.list;
        let [low, high] = if silent { times.silent_delay } else { times.delay };
        let late = if self.now < self.list_delay.0 { self.list_delay.1 } else { 0.0 };
        let (now, rng) = (self.now, &mut self.rng);
        if let Some(feed) = &mut self.feed {
            feed.change(&entry, |_| now + late + 1000.0 * rng.random_range(low..=high));
        }
    }

    fn schedule(&mut self, at: f64, step: Step) {
        self.steps_scheduled += 1;
        self.steps_by_id.insert(self.steps_scheduled, step);
        self.step_times.push(Reverse((OrderedFloat(at), self.steps_scheduled)));
    }

    fn transmit(&mut self, make: impl Fn() -> InTransit) {
        for at in self.link.pass(self.now) {
            self.datagrams_sent += 1;
            self.in_transit.insert(self.datagrams_sent, make());
            self.arrival_times.push(Reverse((OrderedFloat(at), self.datagrams_sent)));
        }
    }

    /// The next action for the driver.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`TestCluster::turn`] is due, in milliseconds.
    pub fn due(&self) -> f64 {
        let heap = |heap: &BinaryHeap<Reverse<(OrderedFloat<f64>, u64)>>| {
            heap.peek().map_or(f64::INFINITY, |Reverse((at, _))| at.0)
        };
        let servers =
            self.servers.iter().filter(|s| s.up).map(|s| s.central.due()).fold(f64::INFINITY, f64::min);
        let feed = self.feed.as_ref().map_or(f64::INFINITY, Feed::due);
        servers.min(feed).min(self.callers.due()).min(heap(&self.arrival_times)).min(heap(&self.step_times))
    }

    /// Handles a datagram of a proxy at a stand-in's socket.
    pub fn receive(&mut self, now: f64, receiver: StandIn, from: SocketAddr, bytes: Bytes) {
        self.now = now;
        match receiver {
            StandIn::Callers => {
                let legs = &self.callers;
                self.events.frame(now, "callers", "in", from, &bytes);
                self.checker.to_caller(now, &bytes, |dest| legs.try_of_call_number(from, dest));
            }
            StandIn::Server(server) => {
                let stand_in = &self.servers[server];
                if !stand_in.up {
                    return;
                }
                let facts = ServerFacts {
                    name: &stand_in.name,
                    started: stand_in.central.started_at,
                    capacity: stand_in.central.capacity(now),
                };
                let before = self.checker.setups;
                self.checker.to_server(now, server, from, &bytes, &facts);
                let silent = self.gossip.silent_since.get(&server).filter(|_| now < stand_in.silent_until);
                if silent.is_some_and(|since| now > since + MAX_DETECTION_MS) {
                    self.gossip.late_attempts += self.checker.setups - before;
                }
                self.events.frame(now, &stand_in.name, "in", from, &bytes);
                if now < stand_in.silent_until {
                    return;
                }
            }
        }
        self.transmit(|| InTransit::ToStandIn(receiver, from, bytes.clone()));
        self.send_outgoing();
    }

    /// Does all that is due: faults, list changes, datagrams, callers and servers.
    pub fn turn(&mut self, now: f64) {
        self.now = now;
        while self.capacity.len() as f64 * 1000.0 < now {
            let in_service = |s: &&StandInServer| {
                s.up && !s.draining && now >= s.silent_until && now >= s.central.hung_until
            };
            let in_service = self.servers.iter().filter(in_service).filter(|s| !s.central.overloaded);
            self.capacity.push(in_service.map(|s| s.central.capacity(now)).sum());
        }
        while let Some(Reverse((at, id))) =
            self.step_times.peek().copied().filter(|Reverse((at, _))| at.0 <= now)
        {
            self.step_times.pop();
            let step = self.steps_by_id.remove(&id).expect("planned");
            self.run_step(at.0, step);
        }
        if let Some(feed) = &mut self.feed {
            for (proxy, updates) in feed.deliver(now) {
                if self.proxy_up[proxy] {
                    self.record_list(proxy, &updates);
                    self.actions.push_back(Action::List { proxy, updates });
                }
            }
        }
        while let Some(Reverse((_, id))) =
            self.arrival_times.peek().copied().filter(|Reverse((at, _))| at.0 <= now)
        {
            self.arrival_times.pop();
            match self.in_transit.remove(&id).expect("in transit") {
                InTransit::ToStandIn(StandIn::Callers, from, bytes) => {
                    self.callers.receive(now, &self.drill, from, &bytes);
                }
                InTransit::ToStandIn(StandIn::Server(server), from, bytes) => {
                    let stand_in = &mut self.servers[server];
                    if stand_in.up && now >= stand_in.silent_until {
                        stand_in.central.receive(now, from, &bytes);
                    }
                }
                InTransit::ToProxy(from, to, bytes) => {
                    self.actions.push_back(Action::Datagram { from, to, bytes })
                }
            }
        }
        self.callers.turn(now, &self.drill);
        for stand_in in
            self.servers.iter_mut().filter(|stand_in| stand_in.up && stand_in.central.due() <= now)
        {
            stand_in.central.turn(now);
        }
        self.send_outgoing();
    }

    /// Takes the stand-ins' datagrams from their sockets and puts them on the link.
    fn send_outgoing(&mut self) {
        let now = self.now;
        while let Some(datagram) = self.callers.datagram() {
            self.events.frame(now, "callers", "out", datagram.peer, &datagram.bytes);
            let tries = &self.callers.tries;
            self.checker
                .from_caller(now, datagram.peer, &datagram.bytes, |n| (tries[n].proxy, tries[n].until));
            self.callers.record_sent(&datagram);
            self.transmit(|| InTransit::ToProxy(StandIn::Callers, datagram.peer, datagram.bytes.clone()));
        }
        for server in 0..self.servers.len() {
            while let Some(datagram) = self.servers[server].central.datagram() {
                if self.servers[server].up && now >= self.servers[server].silent_until {
                    let name = &self.servers[server].name;
                    self.events.frame(now, name, "out", datagram.peer, &datagram.bytes);
                    self.checker.from_server(now, server, datagram.peer, &datagram.bytes);
                    let place = StandIn::Server(server);
                    self.transmit(|| InTransit::ToProxy(place, datagram.peer, datagram.bytes.clone()));
                }
            }
        }
    }

    fn choose_share(&mut self, part: f64, of: usize) -> Vec<usize> {
        let amount = ((part * of as f64).round() as usize).clamp(1, of);
        let mut chosen = index::sample(&mut self.rng, of, amount).into_vec();
        chosen.sort_unstable();
        chosen
    }

    /// Chooses among the servers that have no fault yet; fewer if there are not enough.
    fn choose_healthy_servers(&mut self, part: f64) -> Vec<usize> {
        let healthy: Vec<usize> = (0..self.servers.len())
            .filter(|&i| {
                let s = &self.servers[i];
                s.up && !s.draining && self.now >= s.silent_until && self.now >= s.central.hung_until
            })
            .collect();
        if healthy.is_empty() {
            return Vec::new();
        }
        let amount = ((part * self.drill.fleet.servers as f64).round() as usize).clamp(1, healthy.len());
        let mut chosen = index::sample(&mut self.rng, healthy.len(), amount).into_vec();
        chosen.sort_unstable();
        chosen.into_iter().map(|i| healthy[i]).collect()
    }

    fn run_step(&mut self, at: f64, step: Step) {
        self.events.step(at, &step);
        match step {
            Step::Begin(fault) => self.begin_fault(at, &self.drill.faults[fault].clone()),
            Step::Silent { server, until } => {
                self.servers[server].silent_until = until;
                self.gossip.silent_since.entry(server).or_insert(at);
                self.schedule(until, Step::Return { server });
                self.schedule(at + 1.0, Step::ListSilent { server });
            }
            Step::ListSilent { server } => self.announce(server, Readiness::Gone, true),
            Step::Restart { server, after } => {
                self.take_down(server);
                self.announce(server, Readiness::Gone, false);
                self.schedule(at + after, Step::Return { server });
            }
            Step::Return { server } => {
                let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
                let stand_in = &mut self.servers[server];
                let was_up = std::mem::replace(&mut stand_in.up, true);
                stand_in.silent_until = 0.0;
                stand_in.central = Central::for_drill(&self.drill, at, rng);
                if was_up {
                    self.checker.server_down(at, server);
                } else {
                    self.actions.push_back(Action::ServerUp { server });
                }
                self.announce(server, Readiness::Running, false);
            }
            Step::Replace { server, drain } => {
                self.servers[server].draining = true;
                self.announce(server, Readiness::Draining, false);
                let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
                let added = self.servers.len();
                let stand_in = StandInServer {
                    central: Central::for_drill(&self.drill, at, rng),
                    name: format!("central-{added}"),
                    address: None,
                    pool: self.servers[server].pool,
                    up: true,
                    silent_until: 0.0,
                    draining: false,
                };
                self.servers.push(stand_in);
                self.actions.push_back(Action::ServerAdded { server: added });
                self.schedule(at + drain * 1000.0, Step::Stop { server });
            }
            Step::Stop { server } => {
                self.servers[server].central.cut_all(at);
                self.schedule(at + STOP_GRACE_MS, Step::Gone { server });
            }
            Step::Gone { server } => {
                self.take_down(server);
                self.announce(server, Readiness::Gone, false);
            }
            Step::StartProxy { proxy } => self.actions.push_back(Action::StartProxy { proxy }),
            Step::FrontKnows { proxy } => {
                if !self.proxy_up[proxy] {
                    self.callers.proxies[proxy] = None;
                }
            }
            Step::Stall { proxy, span, gap, until } => {
                if self.proxy_up[proxy] {
                    self.checker.excuse(proxy);
                    self.actions.push_back(Action::StallProxy { proxy, duration: span });
                }
                if at + gap < until {
                    self.schedule(at + gap, Step::Stall { proxy, span, gap, until });
                }
            }
        }
    }

    fn take_down(&mut self, server: usize) {
        self.servers[server].up = false;
        self.checker.server_down(self.now, server);
        self.actions.push_back(Action::ServerDown { server });
    }

    fn begin_fault(&mut self, at: f64, fault: &Fault) {
        self.events.record(&Event::Fault { ms: at, fault });
        let until = at + fault.lasts * 1000.0;
        match fault.kind {
            FaultKind::Vanish { part } => {
                for server in self.choose_healthy_servers(part) {
                    self.run_step(at, Step::Silent { server, until });
                }
            }
            FaultKind::Slow { part, factor } => {
                for server in self.choose_healthy_servers(part) {
                    self.servers[server].central.slow = (until, factor);
                }
            }
            FaultKind::Hang { part } => {
                for server in self.choose_healthy_servers(part) {
                    self.servers[server].central.hung_until = until;
                }
            }
            FaultKind::ReportLate { late } => {
                for stand_in in &mut self.servers {
                    stand_in.central.report_late = (until, late * 1000.0);
                }
            }
            FaultKind::Burst { factor } => self.callers.faults.burst = (until, factor),
            FaultKind::HotCaller { part, share } => {
                let few = (part * self.drill.fleet.proxies as f64).round().max(1.0) as usize;
                self.callers.faults.hot = (until, share, few);
            }
            FaultKind::Deploy { part, drain } => {
                let servers = self.choose_healthy_servers(part);
                let gap = fault.lasts * 1000.0 / servers.len().max(1) as f64;
                for (i, server) in servers.into_iter().enumerate() {
                    self.schedule(at + gap * i as f64, Step::Replace { server, drain });
                }
            }
            FaultKind::DiscoveryStale { late } => self.list_delay = (until, late * 1000.0),
            FaultKind::BalancerCrash { part } => {
                for proxy in self.choose_share(part, self.drill.fleet.proxies) {
                    self.proxy_up[proxy] = false;
                    self.checker.excuse(proxy);
                    self.callers.cut_calls_through(proxy);
                    self.actions.push_back(Action::KillProxy { proxy });
                    self.schedule(at + self.drill.list.front_delay * 1000.0, Step::FrontKnows { proxy });
                    self.schedule(until, Step::StartProxy { proxy });
                }
            }
            FaultKind::MassRestart { part, within } => {
                for server in self.choose_healthy_servers(part) {
                    let begin = at + within * 1000.0 * self.rng.random::<f64>();
                    self.schedule(begin, Step::Restart { server, after: fault.lasts * 1000.0 });
                }
            }
            FaultKind::RetryAbuse { timeout_share, redials } => {
                let tenant = self.rng.random_range(0..self.drill.tenants.len());
                self.callers.faults.abuse = (until, tenant, timeout_share, redials);
            }
            FaultKind::BalancerStall { part, stall, gap } => {
                for proxy in self.choose_share(part, self.drill.fleet.proxies) {
                    let begin = at + gap * 1000.0 * self.rng.random::<f64>();
                    let (span, gap) = (stall * 1000.0, gap * 1000.0);
                    self.schedule(begin, Step::Stall { proxy, span, gap, until });
                }
            }
            // The driver that carries the proxies' messages reads these faults from the drill.
            FaultKind::PeerDown {} | FaultKind::PeerCut { .. } | FaultKind::PeerLink { .. } => {}
            FaultKind::Ageing { part, factor } => {
                for server in self.choose_healthy_servers(part) {
                    self.servers[server].central.ageing = (at, until, factor);
                    self.schedule(until, Step::Restart { server, after: 2_000.0 });
                }
            }
            FaultKind::Faulty { part, share } => {
                for server in self.choose_healthy_servers(part) {
                    self.servers[server].central.faulty = (until, share);
                }
            }
            FaultKind::AnswerLost { part, share } => {
                for server in self.choose_healthy_servers(part) {
                    self.servers[server].central.answer_loss = (until, share);
                }
            }
            FaultKind::Full { part, lines } => {
                for server in self.choose_healthy_servers(part) {
                    self.servers[server].central.lines = lines;
                }
            }
        }
    }
}
