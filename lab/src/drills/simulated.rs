//! Plays a drill under a virtual clock: the same border proxies as on sockets, hundreds at once, one seed
//! giving one course of events.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

use anyhow::Result;
use border::pool::{PoolList, PoolUpdates};
use border::{BorderProxy, ProxyTerms, Side};
use bytes::Bytes;
use gossip::Node;
use gossip::keys::Roster;
use ordered_float::OrderedFloat;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::drill::Drill;
use crate::drills::world::{Out, Place, World};
use crate::stand_ins::baseline::{Broken, Decider, Routing};
use crate::stand_ins::peers::{self, Liars};
use crate::witness::events::Events;

/// From a stand-in's socket to a proxy's, or back; the link adds its own.
const HOP: f64 = 0.2;
/// Unix milliseconds at the start of every simulated drill.
const EPOCH: f64 = 1.7e12;

type Core = BorderProxy<Decider>;

enum Come {
    World(Place, SocketAddr, Bytes),
    Proxy(usize, u32, f64, Side, SocketAddr, Bytes),
    Refused(usize, u32, SocketAddr),
    Look(usize),
    Liar(usize, SocketAddr, Vec<u8>),
}

struct Seat {
    core: Option<Core>,
    /// Counts its lives: what is on its way to a former one is lost.
    life: u32,
    stalled_until: f64,
    look_at: f64,
    /// What lasts over a restart.
    cache: String,
}

struct Run {
    world: World,
    seats: Vec<Seat>,
    routing: Routing,
    broken: Broken,
    terms: ProxyTerms,
    chance: Pcg64Mcg,
    heap: BinaryHeap<Reverse<(OrderedFloat<f64>, u64)>>,
    coming: HashMap<u64, Come>,
    count: u64,
    now: f64,
    roster: Roster,
    liars: Liars,
}

fn address(kind: u8, index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, kind, (index >> 8) as u8, index as u8), 4569))
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[2]) << 8 | usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("none is given out"),
    }
}

const CALLERS: u8 = 1;
const PROXY: u8 = 2;
const PROXY_BACK: u8 = 3;
const SERVER: u8 = 4;
const PEERS: u8 = 5;
/// The way between two proxies, on average.
const PEER_WAY: f64 = 10.0;

/// Plays the drill to its end.
pub fn run(drill: Drill, routing: Routing, broken: Broken, events: Events) -> Result<World> {
    let (proxies, members) = (drill.fleet.proxies, drill.members());
    let terms = drill.proxy_terms();
    let gossips = drill.gossip.on;
    let mut chance = Pcg64Mcg::seed_from_u64(drill.seed ^ 0x5eed);
    let mut world = World::new(drill, 0.001, EPOCH);
    world.events = events;
    for server in 0..world.servers.len() {
        world.settle_server(server, address(SERVER, server));
    }
    let seat =
        || Seat { core: None, life: 0, stalled_until: 0.0, look_at: f64::INFINITY, cache: String::new() };
    let mut run = Run {
        world,
        seats: (0..proxies).map(|_| seat()).collect(),
        routing,
        broken,
        terms,
        chance: Pcg64Mcg::seed_from_u64(chance.random()),
        heap: BinaryHeap::new(),
        coming: HashMap::new(),
        count: 0,
        now: 0.0,
        roster: if gossips { peers::roster(members) } else { Roster::default() },
        liars: Liars::new(proxies, Vec::new()),
    };
    let liars = (proxies..members).filter(|_| gossips).map(|member| run.node(member)).collect();
    run.liars = Liars::new(proxies, liars);
    (0..proxies).for_each(|proxy| run.start(proxy));
    run.play();
    let now = run.now;
    run.world.witness.close(now);
    Ok(run.world)
}

impl Run {
    fn come(&mut self, at: f64, what: Come) {
        self.count += 1;
        self.coming.insert(self.count, what);
        self.heap.push(Reverse((OrderedFloat(at), self.count)));
    }

    fn start(&mut self, proxy: usize) {
        let seed = self.chance.random();
        let module = Decider::new(self.routing, self.broken, self.terms.terms.clone(), seed, self.now);
        let mut core = Core::with_decisions(module, self.terms.clone(), seed, self.now);
        if self.world.drill.gossip.on {
            core.join(self.node(proxy));
            if let Some(terms) = self.world.drill.limit_terms() {
                core.enable_fleet_limits(terms, [], seed, self.now);
            }
        }
        let seat = &mut self.seats[proxy];
        if let Ok(news) = PoolList::from_cache(&seat.cache) {
            core.update_server_list(self.now, EPOCH + self.now, &news).expect("its own list");
        }
        seat.core = Some(core);
        seat.life += 1;
        self.world.settle_proxy(proxy, address(PROXY, proxy));
        let news = self.world.whole_list(proxy);
        self.list(proxy, &news);
    }

    /// A member's gossip: keys of its own, made from its place in the fleet.
    fn node(&mut self, member: usize) -> Node {
        let addresses: Vec<SocketAddr> =
            (0..self.world.drill.members()).map(|member| address(PEERS, member)).collect();
        let terms = peers::terms(&self.world.drill.gossip, member, &addresses);
        let (roster, seed) = (self.roster.clone(), self.chance.random());
        Node::new(terms, peers::secrets(member), roster, seed, self.now, EPOCH + self.now)
    }

    fn list(&mut self, proxy: usize, news: &PoolUpdates) {
        let now = self.now;
        if proxy == 0 {
            self.liars.listed(now, EPOCH + now, news);
        }
        let seat = &mut self.seats[proxy];
        let Some(core) = &mut seat.core else { return };
        if core.update_server_list(now, EPOCH + now, news).is_err() {
            let whole = self.world.whole_list(proxy);
            let core = self.seats[proxy].core.as_mut().expect("just there");
            core.update_server_list(now, EPOCH + now, &whole).expect("a whole list fits");
        }
        let seat = &mut self.seats[proxy];
        seat.cache = seat.core.as_ref().expect("just there").pool().to_cache();
        self.settle(proxy);
    }

    /// Lets a proxy finish its turn, and sends what it has to send.
    fn settle(&mut self, proxy: usize) {
        let (now, life) = (self.now, self.seats[proxy].life);
        let Some(core) = &mut self.seats[proxy].core else { return };
        core.run_pending();
        while core.note().is_some() {}
        let mut sent = Vec::new();
        while let Some(out) = core.outbound() {
            sent.push(out);
        }
        let believed = core.suspected_servers().iter().map(|&server| core.pool().name(server));
        self.world.believes(now, proxy, believed);
        let due = core.due();
        if due < self.seats[proxy].look_at {
            self.seats[proxy].look_at = due;
            self.come(due.max(now), Come::Look(proxy));
        }
        for out in sent {
            let what = match out.side {
                Side::Callers => Come::World(Place::Callers, address(PROXY, proxy), out.bytes),
                Side::Peers => {
                    self.pass(proxy, out.peer, out.bytes);
                    continue;
                }
                Side::Servers => {
                    let server = index(out.peer);
                    if !self.world.servers[server].up {
                        self.come(now + HOP, Come::Refused(proxy, life, out.peer));
                        continue;
                    }
                    Come::World(Place::Server(server), address(PROXY_BACK, proxy), out.bytes)
                }
            };
            self.come(now + HOP, what);
        }
    }

    /// A message between members is on its way, or lost.
    fn pass(&mut self, from: usize, to: SocketAddr, bytes: Bytes) {
        let now = self.now;
        self.world.peers.sent(now, from, bytes.len());
        let (to, sender) = (index(to), address(PEERS, from));
        for late in self.world.drill.peer_copies(now, from, to, &mut self.chance) {
            let at = now + late + PEER_WAY * (0.2 + 1.8 * self.chance.random::<f64>());
            let what = match self.seats.get(to) {
                Some(seat) => Come::Proxy(to, seat.life, at, Side::Peers, sender, bytes.clone()),
                None => Come::Liar(to, sender, bytes.to_vec()),
            };
            self.come(at, what);
        }
    }

    fn play(&mut self) {
        let end = self.world.end();
        loop {
            self.carry_out();
            let next = self.heap.peek().map_or(f64::INFINITY, |Reverse((at, _))| at.0);
            let liars = self.liars.due();
            if liars < next.min(self.world.due()) {
                self.now = self.now.max(liars);
                self.liars.turn(self.now);
                self.hear_liars();
                continue;
            }
            let world = self.world.due();
            if next.min(world) > end {
                break;
            }
            self.now = self.now.max(next.min(world));
            let now = self.now;
            if world <= next {
                self.world.turn(now);
                continue;
            }
            let Reverse((_, id)) = self.heap.pop().expect("just seen");
            match self.coming.remove(&id).expect("planned") {
                Come::World(place, from, bytes) => self.world.arrive(now, place, from, bytes),
                Come::Liar(member, from, bytes) => {
                    self.liars.receive(now, member, from, &bytes);
                    self.hear_liars();
                }
                Come::Proxy(proxy, life, arrived, side, from, bytes) => {
                    let seat = &mut self.seats[proxy];
                    if seat.life == life && now < seat.stalled_until {
                        let until = seat.stalled_until;
                        self.come(until, Come::Proxy(proxy, life, arrived, side, from, bytes));
                    } else if seat.life == life
                        && let Some(core) = &mut seat.core
                    {
                        core.receive(now, arrived, side, from, &bytes);
                        self.batch(proxy);
                        self.settle(proxy);
                    }
                }
                Come::Refused(proxy, life, peer) => {
                    let seat = &mut self.seats[proxy];
                    if seat.life == life && now < seat.stalled_until {
                        let until = seat.stalled_until;
                        self.come(until, Come::Refused(proxy, life, peer));
                    } else if seat.life == life
                        && let Some(core) = &mut seat.core
                    {
                        core.connection_refused(now, Side::Servers, peer);
                        self.settle(proxy);
                    }
                }
                Come::Look(proxy) => {
                    let seat = &mut self.seats[proxy];
                    if now < seat.stalled_until {
                        let until = seat.stalled_until;
                        self.come(until, Come::Look(proxy));
                    } else if seat.look_at <= now {
                        seat.look_at = f64::INFINITY;
                        if let Some(core) = &mut seat.core {
                            core.turn(now);
                            self.settle(proxy);
                        }
                    }
                }
            }
        }
    }

    fn hear_liars(&mut self) {
        while let Some((from, to, bytes)) = self.liars.outgoing() {
            self.pass(from, to, bytes.into());
        }
    }

    /// What has come for a proxy at the same time is told before it decides, as its sockets would.
    fn batch(&mut self, proxy: usize) {
        while let Some(Reverse((at, id))) = self.heap.peek().copied() {
            let same = matches!(self.coming.get(&id), Some(Come::Proxy(p, life, ..))
                if *p == proxy && *life == self.seats[proxy].life);
            if at.0 > self.now || !same {
                return;
            }
            self.heap.pop();
            if let Some(Come::Proxy(_, _, arrived, side, from, bytes)) = self.coming.remove(&id)
                && let Some(core) = &mut self.seats[proxy].core
            {
                core.receive(self.now, arrived, side, from, &bytes);
            }
        }
    }

    fn carry_out(&mut self) {
        while let Some(out) = self.world.out() {
            let now = self.now;
            match out {
                Out::Datagram { from, to, bytes } => {
                    let proxy = index(to);
                    let (side, peer) = match from {
                        Place::Callers => (Side::Callers, address(CALLERS, 0)),
                        Place::Server(server) => (Side::Servers, address(SERVER, server)),
                    };
                    let life = self.seats[proxy].life;
                    self.come(now + HOP, Come::Proxy(proxy, life, now + HOP, side, peer, bytes));
                }
                Out::List { proxy, news } => self.list(proxy, &news),
                Out::Down { .. } | Out::Up { .. } => {}
                Out::Added { server } => self.world.settle_server(server, address(SERVER, server)),
                Out::Kill { proxy } => self.seats[proxy].core = None,
                Out::Start { proxy } => {
                    self.seats[proxy].look_at = f64::INFINITY;
                    self.start(proxy);
                }
                Out::Stall { proxy, span } => self.seats[proxy].stalled_until = now + span,
            }
        }
    }
}
