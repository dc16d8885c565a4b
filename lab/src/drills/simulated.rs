//! Plays a drill under a virtual clock: the same border proxies as on sockets, hundreds at once. The same
//! seed gives the same events.

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
use crate::drills::cluster::{Action, StandIn, TestCluster};
use crate::stand_ins::baseline::{Defects, Routing, RoutingDecisions};
use crate::stand_ins::peers::{self, FaultyMembers};
use crate::witness::events::Events;

/// Delay between a stand-in's socket and a proxy's; the link adds its own.
const HOP_MS: f64 = 0.2;
/// Unix time in milliseconds at the start of every simulated drill.
const EPOCH_MS: f64 = 1.7e12;

type Core = BorderProxy<RoutingDecisions>;

enum Input {
    ToStandIn(StandIn, SocketAddr, Bytes),
    ToProxy(usize, u32, f64, Side, SocketAddr, Bytes),
    Refused(usize, u32, SocketAddr),
    Turn(usize),
    ToFaultyMember(usize, SocketAddr, Vec<u8>),
}

struct ProxySlot {
    core: Option<Core>,
    /// Counts its starts: messages on their way to an earlier process are lost.
    generation: u32,
    stalled_until: f64,
    turn_at: f64,
    /// The pool list's cache file, which survives a restart.
    cache: String,
}

struct Run {
    cluster: TestCluster,
    slots: Vec<ProxySlot>,
    routing: Routing,
    defects: Defects,
    terms: ProxyTerms,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(OrderedFloat<f64>, u64)>>,
    inputs: HashMap<u64, Input>,
    scheduled: u64,
    now: f64,
    roster: Roster,
    faulty_members: FaultyMembers,
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
/// Mean delay between two proxies.
const PEER_DELAY_MS: f64 = 10.0;

/// Plays the drill to its end.
pub fn run(drill: Drill, routing: Routing, defects: Defects, events: Events) -> Result<TestCluster> {
    let (proxies, members) = (drill.fleet.proxies, drill.gossip_members());
    let terms = drill.proxy_terms();
    let gossip_enabled = drill.gossip.on;
    let mut rng = Pcg64Mcg::seed_from_u64(drill.seed ^ 0x5eed);
    let mut cluster = TestCluster::new(drill, 0.001, EPOCH_MS);
    cluster.events = events;
    for server in 0..cluster.servers.len() {
        cluster.set_server_address(server, address(SERVER, server));
    }
    let slot = || ProxySlot {
        core: None,
        generation: 0,
        stalled_until: 0.0,
        turn_at: f64::INFINITY,
        cache: String::new(),
    };
    let mut run = Run {
        cluster,
        slots: (0..proxies).map(|_| slot()).collect(),
        routing,
        defects,
        terms,
        rng: Pcg64Mcg::seed_from_u64(rng.random()),
        queue: BinaryHeap::new(),
        inputs: HashMap::new(),
        scheduled: 0,
        now: 0.0,
        roster: if gossip_enabled { peers::roster(members) } else { Roster::default() },
        faulty_members: FaultyMembers::new(proxies, Vec::new()),
    };
    let faulty_members =
        (proxies..members).filter(|_| gossip_enabled).map(|member| run.node(member)).collect();
    run.faulty_members = FaultyMembers::new(proxies, faulty_members);
    (0..proxies).for_each(|proxy| run.start(proxy));
    run.play();
    let now = run.now;
    run.cluster.checker.close(now);
    Ok(run.cluster)
}

impl Run {
    fn schedule(&mut self, at: f64, what: Input) {
        self.scheduled += 1;
        self.inputs.insert(self.scheduled, what);
        self.queue.push(Reverse((OrderedFloat(at), self.scheduled)));
    }

    fn start(&mut self, proxy: usize) {
        let seed = self.rng.random();
        let module =
            RoutingDecisions::new(self.routing, self.defects, self.terms.terms.clone(), seed, self.now);
        let mut core = Core::with_decisions(module, self.terms.clone(), seed, self.now);
        if self.cluster.drill.gossip.on {
            core.join(self.node(proxy));
            if let Some(terms) = self.cluster.drill.limit_terms() {
                core.enable_fleet_limits(terms, [], seed, self.now);
            }
        }
        let slot = &mut self.slots[proxy];
        if let Ok(updates) = PoolList::from_cache(&slot.cache) {
            core.update_server_list(self.now, EPOCH_MS + self.now, &updates).expect("its own list");
        }
        slot.core = Some(core);
        slot.generation += 1;
        self.cluster.set_proxy_address(proxy, address(PROXY, proxy));
        let updates = self.cluster.whole_list(proxy);
        self.list(proxy, &updates);
    }

    /// A member's gossip node, with its own keys derived from its index.
    fn node(&mut self, member: usize) -> Node {
        let addresses: Vec<SocketAddr> =
            (0..self.cluster.drill.gossip_members()).map(|member| address(PEERS, member)).collect();
        let terms = peers::terms(&self.cluster.drill.gossip, member, &addresses);
        let (roster, seed) = (self.roster.clone(), self.rng.random());
        Node::new(terms, peers::secrets(member), roster, seed, self.now, EPOCH_MS + self.now)
    }

    fn list(&mut self, proxy: usize, updates: &PoolUpdates) {
        let now = self.now;
        if proxy == 0 {
            self.faulty_members.update_server_list(now, EPOCH_MS + now, updates);
        }
        let slot = &mut self.slots[proxy];
        let Some(core) = &mut slot.core else { return };
        if core.update_server_list(now, EPOCH_MS + now, updates).is_err() {
            let whole = self.cluster.whole_list(proxy);
            let core = self.slots[proxy].core.as_mut().expect("just there");
            core.update_server_list(now, EPOCH_MS + now, &whole).expect("a whole list fits");
        }
        let slot = &mut self.slots[proxy];
        slot.cache = slot.core.as_ref().expect("just there").pool().to_cache();
        self.run_pending_and_send(proxy);
    }

    /// Runs a proxy's pending decisions, and sends what it has to send.
    fn run_pending_and_send(&mut self, proxy: usize) {
        let (now, generation) = (self.now, self.slots[proxy].generation);
        let Some(core) = &mut self.slots[proxy].core else { return };
        core.run_pending();
        while core.note().is_some() {}
        let mut sent = Vec::new();
        while let Some(out) = core.outbound() {
            sent.push(out);
        }
        let suspected = core.suspected_servers().iter().map(|&server| core.pool().name(server));
        self.cluster.record_suspicions(now, proxy, suspected);
        let due = core.due();
        if due < self.slots[proxy].turn_at {
            self.slots[proxy].turn_at = due;
            self.schedule(due.max(now), Input::Turn(proxy));
        }
        for out in sent {
            let what = match out.side {
                Side::Callers => Input::ToStandIn(StandIn::Callers, address(PROXY, proxy), out.bytes),
                Side::Peers => {
                    self.pass(proxy, out.peer, out.bytes);
                    continue;
                }
                Side::Servers => {
                    let server = index(out.peer);
                    if !self.cluster.servers[server].up {
                        self.schedule(now + HOP_MS, Input::Refused(proxy, generation, out.peer));
                        continue;
                    }
                    Input::ToStandIn(StandIn::Server(server), address(PROXY_BACK, proxy), out.bytes)
                }
            };
            self.schedule(now + HOP_MS, what);
        }
    }

    /// Sends a message between members, or loses it.
    fn pass(&mut self, from: usize, to: SocketAddr, bytes: Bytes) {
        let now = self.now;
        self.cluster.gossip.sent(now, from, bytes.len());
        let (to, sender) = (index(to), address(PEERS, from));
        for late in self.cluster.drill.peer_copy_delays(now, from, to, &mut self.rng) {
            let at = now + late + PEER_DELAY_MS * (0.2 + 1.8 * self.rng.random::<f64>());
            let what = match self.slots.get(to) {
                Some(slot) => Input::ToProxy(to, slot.generation, at, Side::Peers, sender, bytes.clone()),
                None => Input::ToFaultyMember(to, sender, bytes.to_vec()),
            };
            self.schedule(at, what);
        }
    }

    fn play(&mut self) {
        let end = self.cluster.end();
        loop {
            self.run_actions();
            let next = self.queue.peek().map_or(f64::INFINITY, |Reverse((at, _))| at.0);
            let faulty_members = self.faulty_members.due();
            if faulty_members < next.min(self.cluster.due()) {
                self.now = self.now.max(faulty_members);
                self.faulty_members.turn(self.now);
                self.send_faulty_members_messages();
                continue;
            }
            let cluster = self.cluster.due();
            if next.min(cluster) > end {
                break;
            }
            self.now = self.now.max(next.min(cluster));
            let now = self.now;
            if cluster <= next {
                self.cluster.turn(now);
                continue;
            }
            let Reverse((_, id)) = self.queue.pop().expect("just seen");
            match self.inputs.remove(&id).expect("planned") {
                Input::ToStandIn(place, from, bytes) => self.cluster.receive(now, place, from, bytes),
                Input::ToFaultyMember(member, from, bytes) => {
                    self.faulty_members.receive(now, member, from, &bytes);
                    self.send_faulty_members_messages();
                }
                Input::ToProxy(proxy, generation, arrived, side, from, bytes) => {
                    let slot = &mut self.slots[proxy];
                    if slot.generation == generation && now < slot.stalled_until {
                        let until = slot.stalled_until;
                        self.schedule(until, Input::ToProxy(proxy, generation, arrived, side, from, bytes));
                    } else if slot.generation == generation
                        && let Some(core) = &mut slot.core
                    {
                        core.receive(now, arrived, side, from, &bytes);
                        self.receive_simultaneous(proxy);
                        self.run_pending_and_send(proxy);
                    }
                }
                Input::Refused(proxy, generation, peer) => {
                    let slot = &mut self.slots[proxy];
                    if slot.generation == generation && now < slot.stalled_until {
                        let until = slot.stalled_until;
                        self.schedule(until, Input::Refused(proxy, generation, peer));
                    } else if slot.generation == generation
                        && let Some(core) = &mut slot.core
                    {
                        core.connection_refused(now, Side::Servers, peer);
                        self.run_pending_and_send(proxy);
                    }
                }
                Input::Turn(proxy) => {
                    let slot = &mut self.slots[proxy];
                    if now < slot.stalled_until {
                        let until = slot.stalled_until;
                        self.schedule(until, Input::Turn(proxy));
                    } else if slot.turn_at <= now {
                        slot.turn_at = f64::INFINITY;
                        if let Some(core) = &mut slot.core {
                            core.turn(now);
                            self.run_pending_and_send(proxy);
                        }
                    }
                }
            }
        }
    }

    fn send_faulty_members_messages(&mut self) {
        while let Some((from, to, bytes)) = self.faulty_members.outgoing() {
            self.pass(from, to, bytes.into());
        }
    }

    /// Delivers everything that arrives for a proxy at the same time before it decides, as its sockets
    /// would.
    fn receive_simultaneous(&mut self, proxy: usize) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            let same = matches!(self.inputs.get(&id), Some(Input::ToProxy(p, generation, ..))
                if *p == proxy && *generation == self.slots[proxy].generation);
            if at.0 > self.now || !same {
                return;
            }
            self.queue.pop();
            if let Some(Input::ToProxy(_, _, arrived, side, from, bytes)) = self.inputs.remove(&id)
                && let Some(core) = &mut self.slots[proxy].core
            {
                core.receive(self.now, arrived, side, from, &bytes);
            }
        }
    }

    fn run_actions(&mut self) {
        while let Some(action) = self.cluster.next_action() {
            let now = self.now;
            match action {
                Action::Datagram { from, to, bytes } => {
                    let proxy = index(to);
                    let (side, peer) = match from {
                        StandIn::Callers => (Side::Callers, address(CALLERS, 0)),
                        StandIn::Server(server) => (Side::Servers, address(SERVER, server)),
                    };
                    let generation = self.slots[proxy].generation;
                    self.schedule(
                        now + HOP_MS,
                        Input::ToProxy(proxy, generation, now + HOP_MS, side, peer, bytes),
                    );
                }
                Action::List { proxy, updates } => self.list(proxy, &updates),
                Action::ServerDown { .. } | Action::ServerUp { .. } => {}
                Action::ServerAdded { server } => {
                    self.cluster.set_server_address(server, address(SERVER, server))
                }
                Action::KillProxy { proxy } => self.slots[proxy].core = None,
                Action::StartProxy { proxy } => {
                    self.slots[proxy].turn_at = f64::INFINITY;
                    self.start(proxy);
                }
                Action::StallProxy { proxy, duration } => self.slots[proxy].stalled_until = now + duration,
            }
        }
    }
}
