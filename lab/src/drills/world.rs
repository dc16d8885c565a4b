//! A drill being played: stand-in servers, callers, list feed, link and script, without I/O. Whoever drives
//! it brings the border proxies: [`simulated`](super::simulated) under a virtual clock,
//! [`sockets`](super::sockets) as processes.
//!
//! Feed it with [`World::arrive`] and [`World::turn`], drain [`World::out`], come back at [`World::due`].

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

use border::pool::{PoolEntry, PoolUpdates, Readiness};
use bytes::Bytes;
use ordered_float::OrderedFloat;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::drill::{Drill, Kind, Trouble};
use crate::drills::release::AwayWitness;
use crate::stand_ins::callers::Callers;
use crate::stand_ins::central::Central;
use crate::stand_ins::feed::Feed;
use crate::stand_ins::link::Link;
use crate::stand_ins::peers::Seen;
use crate::witness::events::{Event, Events};
use crate::witness::{ServerFacts, Witness};

/// After the last first try, what is under way is given so long.
const AFTERWARDS: f64 = 6_000.0;
/// A stopped processor's last words are given so long.
const LAST_WORDS: f64 = 50.0;
/// Proxies that gossip are to know of a silent server after so long.
const TIME_TO_KNOW: f64 = 5_000.0;

/// A place in the world that datagrams come to and from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Place {
    Callers,
    Server(usize),
}

/// What the driver has to do.
#[derive(Debug)]
pub enum Out {
    Datagram {
        from: Place,
        to: SocketAddr,
        bytes: Bytes,
    },
    /// Deliver news of the list to a proxy.
    List {
        proxy: usize,
        news: PoolUpdates,
    },
    /// Nobody listens at the server's address any more, or somebody does again.
    Down {
        server: usize,
    },
    Up {
        server: usize,
    },
    Kill {
        proxy: usize,
    },
    Start {
        proxy: usize,
    },
    /// The proxy has no turn for so long.
    Stall {
        proxy: usize,
        span: f64,
    },
    /// A server is added: the driver gives it an address by [`World::settle_server`].
    Added {
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

enum Flight {
    Arrive(Place, SocketAddr, Bytes),
    Leave(Place, SocketAddr, Bytes),
}

pub struct Stand {
    pub central: Central,
    pub name: String,
    pub address: Option<SocketAddr>,
    pub pool: u16,
    pub up: bool,
    silent_until: f64,
    draining: bool,
}

pub struct World {
    /// Who is away while a release goes on, where there is one.
    pub away: Option<AwayWitness>,
    pub drill: Drill,
    pub servers: Vec<Stand>,
    pub callers: Callers,
    pub witness: Witness,
    feed: Option<Feed>,
    link: Link,
    chance: Pcg64Mcg,
    flights: BinaryHeap<Reverse<(OrderedFloat<f64>, u64)>>,
    cargo: HashMap<u64, Flight>,
    flown: u64,
    steps: BinaryHeap<Reverse<(OrderedFloat<f64>, u64)>>,
    step_of: HashMap<u64, Step>,
    stepped: u64,
    outs: VecDeque<Out>,
    list_late: (f64, f64),
    proxy_up: Vec<bool>,
    addresses: Vec<Option<SocketAddr>>,
    /// Unix milliseconds at the world's time 0.
    epoch: f64,
    /// Capacity of all servers, second by second, as it was.
    pub capacity: Vec<f64>,
    pub peers: Seen,
    pub events: Events,
    now: f64,
}

impl World {
    pub fn new(drill: Drill, slack: f64, epoch: f64) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(drill.seed);
        let mut own = || Pcg64Mcg::seed_from_u64(chance.random());
        let stand = |i: usize, chance| Stand {
            central: Central::of(&drill, f64::NEG_INFINITY, chance),
            name: format!("central-{i}"),
            address: None,
            pool: i as u16,
            up: true,
            silent_until: 0.0,
            draining: false,
        };
        let servers = (0..drill.fleet.servers).map(|i| stand(i, own())).collect();
        let mut world = Self {
            servers,
            callers: Callers::new(&drill, own()),
            link: Link::new(drill.link, own()),
            away: None,
            witness: Witness::new(slack, (drill.gossip.limit > 0).then_some(drill.gossip.limit)),
            feed: None,
            flights: BinaryHeap::new(),
            cargo: HashMap::new(),
            flown: 0,
            steps: BinaryHeap::new(),
            step_of: HashMap::new(),
            stepped: 0,
            outs: VecDeque::new(),
            list_late: (0.0, 0.0),
            proxy_up: vec![true; drill.fleet.proxies],
            addresses: vec![None; drill.fleet.proxies],
            epoch,
            capacity: Vec::new(),
            peers: Seen::default(),
            events: Events::default(),
            now: 0.0,
            chance: own(),
            drill,
        };
        for (i, trouble) in world.drill.troubles.clone().iter().enumerate() {
            world.step(trouble.at * 1000.0, Step::Begin(i));
        }
        world
    }

    /// When all is over.
    pub fn end(&self) -> f64 {
        self.drill.seconds * 1000.0 + AFTERWARDS
    }

    /// Where a server is to be found.
    pub fn settle_server(&mut self, server: usize, address: SocketAddr) {
        self.servers[server].address = Some(address);
        if self.feed.is_some() {
            self.list(server, Readiness::Running, false);
        }
    }

    /// Where a proxy takes callers.
    pub fn settle_proxy(&mut self, proxy: usize, address: SocketAddr) {
        self.addresses[proxy] = Some(address);
        self.callers.proxies[proxy] = Some(address);
        self.proxy_up[proxy] = true;
    }

    /// The whole list, as a proxy that subscribes is told it.
    pub fn whole_list(&mut self, proxy: usize) -> PoolUpdates {
        if self.feed.is_none() {
            let entries: Vec<PoolEntry> =
                (0..self.servers.len()).map(|server| self.entry(server, Readiness::Running)).collect();
            self.feed = Some(Feed::new(self.drill.fleet.proxies, &entries));
        }
        let news = self.feed.as_ref().expect("just made").whole(proxy);
        self.delivered(proxy, &news);
        news
    }

    /// Servers that a proxy believes silent, by name.
    pub fn believes<'a>(&mut self, now: f64, proxy: usize, names: impl Iterator<Item = &'a str>) {
        for name in names {
            let Some(server) = self.servers.iter().position(|stand| stand.name == name) else { continue };
            let stand = &self.servers[server];
            let answers = stand.up && now >= stand.silent_until && now >= stand.central.hung_until;
            self.peers.believes(now, proxy, server, !answers || stand.central.fallen);
        }
    }

    fn delivered(&mut self, proxy: usize, news: &PoolUpdates) {
        self.witness.delivered(self.now, proxy, news);
        self.events.note(&Event::List { ms: self.now, proxy, news });
    }

    fn entry(&self, server: usize, state: Readiness) -> PoolEntry {
        let stand = &self.servers[server];
        let started = stand.central.started;
        PoolEntry {
            name: stand.name.clone(),
            address: stand.address.expect("settled"),
            state,
            pool: stand.pool,
            started: started.is_finite().then_some(self.epoch + started),
        }
    }

    fn list(&mut self, server: usize, state: Readiness, silent: bool) {
        let entry = self.entry(server, state);
        let times = self.drill.list;
        let [low, high] = if silent { times.silent_notice } else { times.notice };
        let late = if self.now < self.list_late.0 { self.list_late.1 } else { 0.0 };
        let (now, chance) = (self.now, &mut self.chance);
        if let Some(feed) = &mut self.feed {
            feed.change(&entry, |_| now + late + 1000.0 * chance.random_range(low..=high));
        }
    }

    fn step(&mut self, at: f64, step: Step) {
        self.stepped += 1;
        self.step_of.insert(self.stepped, step);
        self.steps.push(Reverse((OrderedFloat(at), self.stepped)));
    }

    fn fly(&mut self, flight: impl Fn() -> Flight) {
        for at in self.link.pass(self.now) {
            self.flown += 1;
            self.cargo.insert(self.flown, flight());
            self.flights.push(Reverse((OrderedFloat(at), self.flown)));
        }
    }

    pub fn out(&mut self) -> Option<Out> {
        self.outs.pop_front()
    }

    pub fn due(&self) -> f64 {
        let heap = |heap: &BinaryHeap<Reverse<(OrderedFloat<f64>, u64)>>| {
            heap.peek().map_or(f64::INFINITY, |Reverse((at, _))| at.0)
        };
        let servers =
            self.servers.iter().filter(|s| s.up).map(|s| s.central.due()).fold(f64::INFINITY, f64::min);
        let feed = self.feed.as_ref().map_or(f64::INFINITY, Feed::due);
        servers.min(feed).min(self.callers.due()).min(heap(&self.flights)).min(heap(&self.steps))
    }

    /// A proxy's datagram passes at a stand-in's socket.
    pub fn arrive(&mut self, now: f64, at: Place, from: SocketAddr, bytes: Bytes) {
        self.now = now;
        match at {
            Place::Callers => {
                let legs = &self.callers;
                self.events.frame(now, "callers", "in", from, &bytes);
                self.witness.to_caller(now, &bytes, |dest| legs.try_at(from, dest));
            }
            Place::Server(server) => {
                let stand = &self.servers[server];
                if !stand.up {
                    return;
                }
                let facts = ServerFacts {
                    name: &stand.name,
                    started: stand.central.started,
                    capacity: stand.central.capacity(now),
                };
                let before = self.witness.setups;
                self.witness.to_server(now, server, from, &bytes, &facts);
                let silent = self.peers.silent.get(&server).filter(|_| now < stand.silent_until);
                if silent.is_some_and(|since| now > since + TIME_TO_KNOW) {
                    self.peers.late_shots += self.witness.setups - before;
                }
                self.events.frame(now, &stand.name, "in", from, &bytes);
                if now < stand.silent_until {
                    return;
                }
            }
        }
        self.fly(|| Flight::Arrive(at, from, bytes.clone()));
        self.collect();
    }

    /// Does what has fallen due.
    pub fn turn(&mut self, now: f64) {
        self.now = now;
        while self.capacity.len() as f64 * 1000.0 < now {
            let able =
                |s: &&Stand| s.up && !s.draining && now >= s.silent_until && now >= s.central.hung_until;
            let able = self.servers.iter().filter(able).filter(|s| !s.central.fallen);
            self.capacity.push(able.map(|s| s.central.capacity(now)).sum());
        }
        while let Some(Reverse((at, id))) = self.steps.peek().copied().filter(|Reverse((at, _))| at.0 <= now)
        {
            self.steps.pop();
            let step = self.step_of.remove(&id).expect("planned");
            self.take_step(at.0, step);
        }
        if let Some(feed) = &mut self.feed {
            for (proxy, news) in feed.deliver(now) {
                if self.proxy_up[proxy] {
                    self.delivered(proxy, &news);
                    self.outs.push_back(Out::List { proxy, news });
                }
            }
        }
        while let Some(Reverse((_, id))) = self.flights.peek().copied().filter(|Reverse((at, _))| at.0 <= now)
        {
            self.flights.pop();
            match self.cargo.remove(&id).expect("in flight") {
                Flight::Arrive(Place::Callers, from, bytes) => {
                    self.callers.receive(now, &self.drill, from, &bytes);
                }
                Flight::Arrive(Place::Server(server), from, bytes) => {
                    let stand = &mut self.servers[server];
                    if stand.up && now >= stand.silent_until {
                        stand.central.receive(now, from, &bytes);
                    }
                }
                Flight::Leave(from, to, bytes) => self.outs.push_back(Out::Datagram { from, to, bytes }),
            }
        }
        self.callers.turn(now, &self.drill);
        for stand in self.servers.iter_mut().filter(|stand| stand.up && stand.central.due() <= now) {
            stand.central.turn(now);
        }
        self.collect();
    }

    /// What the stand-ins send passes at their sockets and goes on its way.
    fn collect(&mut self) {
        let now = self.now;
        while let Some(datagram) = self.callers.datagram() {
            self.events.frame(now, "callers", "out", datagram.peer, &datagram.bytes);
            let tries = &self.callers.tries;
            self.witness
                .from_caller(now, datagram.peer, &datagram.bytes, |n| (tries[n].proxy, tries[n].until));
            self.callers.sent(&datagram);
            self.fly(|| Flight::Leave(Place::Callers, datagram.peer, datagram.bytes.clone()));
        }
        for server in 0..self.servers.len() {
            while let Some(datagram) = self.servers[server].central.datagram() {
                if self.servers[server].up && now >= self.servers[server].silent_until {
                    let name = &self.servers[server].name;
                    self.events.frame(now, name, "out", datagram.peer, &datagram.bytes);
                    self.witness.from_server(now, server, datagram.peer, &datagram.bytes);
                    let place = Place::Server(server);
                    self.fly(|| Flight::Leave(place, datagram.peer, datagram.bytes.clone()));
                }
            }
        }
    }

    fn some(&mut self, part: f64, of: usize) -> Vec<usize> {
        let amount = ((part * of as f64).round() as usize).clamp(1, of);
        let mut chosen = index::sample(&mut self.chance, of, amount).into_vec();
        chosen.sort_unstable();
        chosen
    }

    /// Servers that nothing has happened to yet, as far as there are any.
    fn some_servers(&mut self, part: f64) -> Vec<usize> {
        let sound: Vec<usize> = (0..self.servers.len())
            .filter(|&i| {
                let s = &self.servers[i];
                s.up && !s.draining && self.now >= s.silent_until && self.now >= s.central.hung_until
            })
            .collect();
        if sound.is_empty() {
            return Vec::new();
        }
        let amount = ((part * self.drill.fleet.servers as f64).round() as usize).clamp(1, sound.len());
        let mut chosen = index::sample(&mut self.chance, sound.len(), amount).into_vec();
        chosen.sort_unstable();
        chosen.into_iter().map(|i| sound[i]).collect()
    }

    fn take_step(&mut self, at: f64, step: Step) {
        self.events.step(at, &step);
        match step {
            Step::Begin(trouble) => self.begin(at, &self.drill.troubles[trouble].clone()),
            Step::Silent { server, until } => {
                self.servers[server].silent_until = until;
                self.peers.silent.entry(server).or_insert(at);
                self.step(until, Step::Return { server });
                self.step(at + 1.0, Step::ListSilent { server });
            }
            Step::ListSilent { server } => self.list(server, Readiness::Gone, true),
            Step::Restart { server, after } => {
                self.down(server);
                self.list(server, Readiness::Gone, false);
                self.step(at + after, Step::Return { server });
            }
            Step::Return { server } => {
                let chance = Pcg64Mcg::seed_from_u64(self.chance.random());
                let stand = &mut self.servers[server];
                let was_up = std::mem::replace(&mut stand.up, true);
                stand.silent_until = 0.0;
                stand.central = Central::of(&self.drill, at, chance);
                if was_up {
                    self.witness.server_down(at, server);
                } else {
                    self.outs.push_back(Out::Up { server });
                }
                self.list(server, Readiness::Running, false);
            }
            Step::Replace { server, drain } => {
                self.servers[server].draining = true;
                self.list(server, Readiness::Draining, false);
                let chance = Pcg64Mcg::seed_from_u64(self.chance.random());
                let added = self.servers.len();
                let stand = Stand {
                    central: Central::of(&self.drill, at, chance),
                    name: format!("central-{added}"),
                    address: None,
                    pool: self.servers[server].pool,
                    up: true,
                    silent_until: 0.0,
                    draining: false,
                };
                self.servers.push(stand);
                self.outs.push_back(Out::Added { server: added });
                self.step(at + drain * 1000.0, Step::Stop { server });
            }
            Step::Stop { server } => {
                self.servers[server].central.cut_all(at);
                self.step(at + LAST_WORDS, Step::Gone { server });
            }
            Step::Gone { server } => {
                self.down(server);
                self.list(server, Readiness::Gone, false);
            }
            Step::StartProxy { proxy } => self.outs.push_back(Out::Start { proxy }),
            Step::FrontKnows { proxy } => {
                if !self.proxy_up[proxy] {
                    self.callers.proxies[proxy] = None;
                }
            }
            Step::Stall { proxy, span, gap, until } => {
                if self.proxy_up[proxy] {
                    self.witness.excuse(proxy);
                    self.outs.push_back(Out::Stall { proxy, span });
                }
                if at + gap < until {
                    self.step(at + gap, Step::Stall { proxy, span, gap, until });
                }
            }
        }
    }

    fn down(&mut self, server: usize) {
        self.servers[server].up = false;
        self.witness.server_down(self.now, server);
        self.outs.push_back(Out::Down { server });
    }

    fn begin(&mut self, at: f64, trouble: &Trouble) {
        self.events.note(&Event::Trouble { ms: at, trouble });
        let until = at + trouble.lasts * 1000.0;
        match trouble.kind {
            Kind::Vanish { part } => {
                for server in self.some_servers(part) {
                    self.take_step(at, Step::Silent { server, until });
                }
            }
            Kind::Slow { part, factor } => {
                for server in self.some_servers(part) {
                    self.servers[server].central.slow = (until, factor);
                }
            }
            Kind::Hang { part } => {
                for server in self.some_servers(part) {
                    self.servers[server].central.hung_until = until;
                }
            }
            Kind::ReportLate { late } => {
                for stand in &mut self.servers {
                    stand.central.report_late = (until, late * 1000.0);
                }
            }
            Kind::Burst { factor } => self.callers.mood.burst = (until, factor),
            Kind::HotCaller { part, share } => {
                let few = (part * self.drill.fleet.proxies as f64).round().max(1.0) as usize;
                self.callers.mood.hot = (until, share, few);
            }
            Kind::Deploy { part, drain } => {
                let servers = self.some_servers(part);
                let gap = trouble.lasts * 1000.0 / servers.len().max(1) as f64;
                for (i, server) in servers.into_iter().enumerate() {
                    self.step(at + gap * i as f64, Step::Replace { server, drain });
                }
            }
            Kind::DiscoveryStale { late } => self.list_late = (until, late * 1000.0),
            Kind::BalancerCrash { part } => {
                for proxy in self.some(part, self.drill.fleet.proxies) {
                    self.proxy_up[proxy] = false;
                    self.witness.excuse(proxy);
                    self.callers.cut_through(proxy);
                    self.outs.push_back(Out::Kill { proxy });
                    self.step(at + self.drill.list.front_notice * 1000.0, Step::FrontKnows { proxy });
                    self.step(until, Step::StartProxy { proxy });
                }
            }
            Kind::MassRestart { part, within } => {
                for server in self.some_servers(part) {
                    let begin = at + within * 1000.0 * self.chance.random::<f64>();
                    self.step(begin, Step::Restart { server, after: trouble.lasts * 1000.0 });
                }
            }
            Kind::RetryAbuse { patience, redials } => {
                let tenant = self.chance.random_range(0..self.drill.tenants.len());
                self.callers.mood.abuse = (until, tenant, patience, redials);
            }
            Kind::BalancerStall { part, stall, gap } => {
                for proxy in self.some(part, self.drill.fleet.proxies) {
                    let begin = at + gap * 1000.0 * self.chance.random::<f64>();
                    let (span, gap) = (stall * 1000.0, gap * 1000.0);
                    self.step(begin, Step::Stall { proxy, span, gap, until });
                }
            }
            // Whoever carries the proxies' messages looks it up in the drill.
            Kind::PeerDown {} | Kind::PeerCut { .. } | Kind::PeerLink { .. } => {}
            Kind::Ageing { part, factor } => {
                for server in self.some_servers(part) {
                    self.servers[server].central.ageing = (at, until, factor);
                    self.step(until, Step::Restart { server, after: 2_000.0 });
                }
            }
            Kind::Faulty { part, share } => {
                for server in self.some_servers(part) {
                    self.servers[server].central.faulty = (until, share);
                }
            }
            Kind::AnswerLost { part, share } => {
                for server in self.some_servers(part) {
                    self.servers[server].central.losing = (until, share);
                }
            }
            Kind::Full { part, lines } => {
                for server in self.some_servers(part) {
                    self.servers[server].central.lines = lines;
                }
            }
        }
    }
}
