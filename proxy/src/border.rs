//! The border proxy: a conversation is a caller's NEW; the module decides; its shots are NEWs to servers.
//!
//! [`BorderProxy::receive`], [`BorderProxy::listed`], [`BorderProxy::refused`] and [`BorderProxy::turn`] tell
//! what comes; [`BorderProxy::settle`] must follow when all that came at one time is told. Then drain
//! [`BorderProxy::outbound`] and [`BorderProxy::note`], and come back when [`BorderProxy::due`] says.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::net::SocketAddr;

use bytes::Bytes;
use frostthread::Proxy;
use frostthread::host::{Call, Ending, Handle, Host, Report, Server, State, Suspicion, Terms};
use gossip::Node;
use gossip::evidence::Evidence;
use gossip::keys::{Roster, Secrets};
use gossip::wire::Life;
use iax2::element::{self, Elements};
use iax2::{End, Endpoint, Happening, Leg, Limits, cause};
use records::entry::{Entry, Outcome};
use siphasher::sip::SipHasher13;
use slotmap::SecondaryMap;

use crate::causes;
use crate::decisions::Decisions;
use crate::errands::Errands;
use crate::hints::Hints;
use crate::limits::{FleetLimits, LimitTerms};
use crate::pool::{News, PoolList, Unfit};
use crate::routes::Routes;
use crate::scribe::Scribe;
use crate::status::{GossipStatus, LimitsStatus, Present, ServerStatus, Status, Tally};

/// Elements of a caller's NEW that its shots carry on.
const CARRIED: [u8; 7] = [
    element::CALLED_NUMBER,
    element::CALLING_NUMBER,
    element::CALLING_NAME,
    element::CALLED_CONTEXT,
    element::USERNAME,
    element::CAPABILITY,
    element::FORMAT,
];

/// Which socket a datagram is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    Callers,
    Servers,
    /// Other border proxies, where there is gossip.
    Peers,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outbound {
    pub side: Side,
    pub peer: SocketAddr,
    pub bytes: Bytes,
}

/// What is agreed for one border proxy.
#[derive(Clone, Debug)]
pub struct ProxyTerms {
    pub terms: Terms,
    pub routes: Routes,
    /// How long a caller waits for a try that does not say so itself, by service grade.
    pub patience: Vec<f64>,
    /// An answer sets out so long before the caller gives up, to reach it in time.
    pub answer_lead: f64,
    pub callers: Limits,
    pub servers: Limits,
}

struct Shot {
    leg: Leg,
    server: Server,
}

struct Conversation {
    caller: Leg,
    /// Its number in the journal, where there is one.
    serial: u64,
    shot: Option<Shot>,
    /// What its shots carry on from the caller.
    carried: Elements,
    accepted: bool,
    ringing: bool,
    stands: bool,
}

/// What carries out the module's wishes.
struct Hands {
    callers: Endpoint,
    servers: Endpoint,
    pool: PoolList,
    conversations: Vec<Option<Conversation>>,
    by_caller: SecondaryMap<Leg, Handle>,
    by_server: SecondaryMap<Leg, Handle>,
    errands: Errands<Leg>,
    notes: VecDeque<String>,
    tally: Tally,
    now: f64,
    gossip: Option<Node>,
    /// Gossip may have changed what is suspected.
    gossiped: bool,
    /// Servers that are believed silent.
    believed: Vec<Server>,
    scribe: Option<Scribe>,
    limits: Option<FleetLimits>,
}

/// One border proxy, with what decides for it.
pub struct BorderProxy<D = Proxy> {
    module: D,
    hands: Hands,
    routes: Routes,
    patience: Vec<f64>,
    answer_lead: f64,
    /// The first wait after which a caller sends its NEW again.
    caller_resend: f64,
    number_key: (u64, u64),
    stopping: bool,
    /// What is taken now could not be recorded: when to come back instead, in milliseconds.
    unrecordable: Option<f64>,
}

impl Hands {
    fn conversation(&mut self, handle: Handle) -> Option<&mut Conversation> {
        self.conversations.get_mut(handle.0 as usize)?.as_mut()
    }

    /// Takes the conversation off the books; its handle may be given out again from now on.
    fn drop_conversation(&mut self, handle: Handle) -> Option<Conversation> {
        let conversation = self.conversations.get_mut(handle.0 as usize)?.take()?;
        self.by_caller.remove(conversation.caller);
        if let Some(shot) = &conversation.shot {
            self.by_server.remove(shot.leg);
        }
        Some(conversation)
    }

    /// Tells the caller its final answer, and leaves nothing out for it.
    fn close(&mut self, handle: Handle, code: u8, come_back: Option<f64>) {
        if let Some(conversation) = self.drop_conversation(handle) {
            let hints = Hints { come_back: come_back.map(|ms| ms as u32), ..Hints::default() };
            let answer = hints.add_to(Elements::new().with_cause(code));
            self.callers.end(self.now, conversation.caller, &answer);
            if let Some(shot) = conversation.shot {
                self.servers.end(self.now, shot.leg, &Elements::new().with_cause(cause::NORMAL_CLEARING));
            }
        }
    }

    /// Keeps what was seen of a server as evidence, where there is gossip.
    fn witness(&mut self, server: Server, keep: impl FnOnce(&mut Evidence, Life)) {
        if let Some((node, life)) = self.gossip.as_mut().zip(self.pool.life(server)) {
            keep(&mut node.evidence, life);
        }
    }

    /// Has it recorded what became of a conversation.
    fn closed(&mut self, handle: Handle, outcome: Outcome) {
        let (now, serial) = (self.now, self.conversation(handle).map(|c| c.serial));
        if let Some((scribe, serial)) = self.scribe.as_mut().zip(serial) {
            scribe.closed(now, serial, outcome);
        }
    }

    /// Calls a shot off; gives whether there was one.
    fn hang_up_shot(&mut self, handle: Handle, code: u8) -> bool {
        let now = self.now;
        let Some(shot) = self.conversation(handle).and_then(|c| c.shot.take()) else { return false };
        self.by_server.remove(shot.leg);
        self.servers.end(now, shot.leg, &Elements::new().with_cause(code));
        true
    }
}

impl Host for Hands {
    fn shoot(&mut self, handle: Handle, server: Server, time_out: f64) {
        let (now, peer) = (self.now, self.pool.address(server));
        let Some(conversation) = self.conversation(handle) else { return };
        let carried = conversation.carried.clone();
        let Some(leg) = self.servers.call(now, peer, &carried) else {
            return self.errands.unheard(handle, Ending::Moot);
        };
        self.tally.shots += 1;
        if let Some(limits) = &mut self.limits {
            limits.take(now, server);
        }
        let serial = self.conversation(handle).expect("just there").serial;
        if let Some(scribe) = &mut self.scribe {
            scribe.shot(now, serial, self.pool.name(server));
        }
        self.witness(server, |evidence, life| evidence.shot(now, life));
        self.by_server.insert(leg, handle);
        self.conversation(handle).expect("just there").shot = Some(Shot { leg, server });
        self.errands.time_out(now + time_out, leg);
    }

    fn refuse(&mut self, handle: Handle, come_back: Option<f64>) {
        self.tally.refused += 1;
        self.closed(handle, Outcome::Refused);
        self.close(handle, causes::REFUSED, come_back);
    }

    fn fail(&mut self, handle: Handle) {
        self.tally.failed += 1;
        self.closed(handle, Outcome::Failed);
        self.close(handle, causes::FAILED, None);
    }

    fn cancel(&mut self, handle: Handle, _shot: u16) {
        if self.hang_up_shot(handle, cause::NORMAL_CLEARING) {
            self.errands.unheard(handle, Ending::Cancelled);
        }
    }

    fn wake(&mut self, at: f64) {
        self.errands.wake(at);
    }

    fn probe(&mut self, server: Server) {
        self.tally.probes += 1;
        let (now, peer) = (self.now, self.pool.address(server));
        self.servers.poke(now, peer);
    }

    fn tell(&mut self, _message: &[u8]) {}

    fn note(&mut self, line: &str) {
        self.notes.push_back(line.to_owned());
    }
}

impl BorderProxy {
    pub fn new(terms: ProxyTerms, seed: u64, now: f64) -> Self {
        let module = Proxy::new(terms.terms.clone(), seed, now);
        Self::deciding(module, terms, seed, now)
    }
}

impl<D: Decisions> BorderProxy<D> {
    /// A proxy for which something else decides.
    pub fn deciding(module: D, terms: ProxyTerms, seed: u64, now: f64) -> Self {
        Self {
            routes: terms.routes,
            patience: terms.patience,
            answer_lead: terms.answer_lead,
            caller_resend: terms.callers.resend,
            hands: Hands {
                callers: Endpoint::new(terms.callers, seed),
                servers: Endpoint::new(terms.servers, seed.rotate_left(32)),
                pool: PoolList::default(),
                conversations: Vec::new(),
                by_caller: SecondaryMap::new(),
                by_server: SecondaryMap::new(),
                errands: Errands::default(),
                notes: VecDeque::new(),
                tally: Tally::default(),
                now,
                gossip: None,
                gossiped: false,
                believed: Vec::new(),
                scribe: None,
                limits: None,
            },
            module,
            number_key: (seed, !seed),
            stopping: false,
            unrecordable: None,
        }
    }

    /// Has conversations recorded from now on.
    pub fn record(&mut self, scribe: Scribe) {
        self.hands.scribe = Some(scribe);
    }

    /// The next entry for the journal: to be kept before what is [`BorderProxy::outbound`] to callers leaves.
    pub fn entry(&mut self) -> Option<Entry> {
        self.hands.scribe.as_mut()?.entry()
    }

    /// Whether what is taken can be recorded as promised; if not, callers are told to come back in so many
    /// milliseconds.
    pub fn unrecordable(&mut self, come_back: Option<f64>) {
        self.unrecordable = come_back;
    }

    /// Lets the proxy gossip with others of its fleet.
    pub fn join(&mut self, node: Node) {
        self.hands.gossip = Some(node);
    }

    /// Holds the fleet's limits on central servers from now on, with those it gossips with; nothing where it
    /// does not. `tenants` are their names and shares, as in [`FleetLimits::new`].
    pub fn limit(
        &mut self,
        terms: LimitTerms,
        tenants: impl IntoIterator<Item = (String, f64)>,
        seed: u64,
        now: f64,
    ) {
        let node = self.hands.gossip.as_ref();
        let limits = node.map(|node| FleetLimits::new(node, terms, tenants, seed, now));
        self.hands.limits = limits;
        if let Some(limits) = &mut self.hands.limits {
            limits.listed(now, &self.hands.pool);
        }
    }

    /// Where this proxy stands with the fleet's limits, if it holds any.
    pub fn limits(&mut self) -> Option<LimitsStatus> {
        let now = self.hands.now;
        self.hands.limits.as_mut().map(|limits| LimitsStatus::of(limits.standings(now)))
    }

    /// Goes on gossiping with other keys: its own stays the same.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        if let Some(node) = &mut self.hands.gossip {
            node.rekey(secrets, roster);
            self.hands.gossiped = true;
            if let Some(limits) = &mut self.hands.limits {
                limits.set_members(node);
            }
        }
    }

    /// Tells the other proxies that this one goes.
    pub fn leave(&mut self, now: f64) {
        if let Some(node) = &mut self.hands.gossip {
            node.leave(now);
        }
    }

    /// Servers that gossip has this proxy believe silent.
    pub fn believed(&self) -> &[Server] {
        &self.hands.believed
    }

    /// Members and suspicions as this proxy sees them, where there is gossip.
    pub fn gossip(&self) -> Option<GossipStatus> {
        let hands = &self.hands;
        hands.gossip.as_ref().map(|node| GossipStatus::of(node, &hands.pool, hands.now))
    }

    /// A datagram of one of the sockets. `arrived` is when it is thought to have come, before `now` where
    /// this proxy was late to look.
    pub fn receive(&mut self, now: f64, arrived: f64, side: Side, peer: SocketAddr, datagram: &Bytes) {
        self.at(now);
        match side {
            Side::Callers => {
                self.hands.callers.receive(now, peer, datagram);
                self.hear_callers(now - arrived);
            }
            Side::Servers => {
                self.hands.servers.receive(now, peer, datagram);
                self.hear_servers();
            }
            Side::Peers => {
                if let Some(node) = &mut self.hands.gossip {
                    node.receive(now, peer, datagram);
                    self.hands.gossiped = true;
                    if let Some(limits) = &mut self.hands.limits {
                        limits.exchange(now, node);
                    }
                }
            }
        }
    }

    /// The network told that nobody listens at the peer's address.
    pub fn refused(&mut self, now: f64, side: Side, peer: SocketAddr) {
        self.at(now);
        match side {
            Side::Callers => self.hands.callers.refused(now, peer),
            Side::Servers => self.hands.servers.refused(now, peer),
            Side::Peers => {}
        }
        self.hear_callers(0.0);
        self.hear_servers();
    }

    /// News of the pool list; `unix` is the wall clock in milliseconds. Told wrong, the old list stands.
    pub fn listed(&mut self, now: f64, unix: f64, news: &News) -> Result<(), Unfit> {
        self.at(now);
        let lines = self.hands.pool.apply(news, now, unix)?;
        self.module.listed(&lines, news.whole, &mut self.hands);
        if let Some(limits) = &mut self.hands.limits {
            limits.listed(now, &self.hands.pool);
        }
        Ok(())
    }

    /// The pool list as this proxy has it.
    pub fn pool(&self) -> &PoolList {
        &self.hands.pool
    }

    /// Does what has fallen due.
    pub fn turn(&mut self, now: f64) {
        self.at(now);
        self.hands.callers.turn(now);
        self.hands.servers.turn(now);
        if let Some(node) = self.hands.gossip.as_mut().filter(|node| node.due() <= now) {
            node.turn(now);
            self.hands.gossiped = true;
        }
        if let Some((limits, node)) = self.hands.limits.as_mut().zip(self.hands.gossip.as_mut()) {
            limits.exchange(now, node);
        }
        self.hear_callers(0.0);
        self.hear_servers();
        while let Some(leg) = self.hands.errands.timed_out(now) {
            let Some(&handle) = self.hands.by_server.get(leg) else { continue };
            let stands = self.hands.conversation(handle).is_none_or(|c| c.stands);
            if !stands && self.hands.hang_up_shot(handle, cause::RECOVERY_ON_TIMER) {
                self.ended(handle, Ending::TimedOut);
            }
        }
    }

    /// To be called when all that has come at one time is told.
    pub fn settle(&mut self) {
        if std::mem::take(&mut self.hands.gossiped) {
            self.suspect();
        }
        loop {
            self.allot();
            self.module.settle(&mut self.hands);
            // Each of these uses up a shot of its conversation, so there is an end to it.
            let unheard = self.hands.errands.take_unheard();
            if unheard.is_empty() {
                break;
            }
            for (handle, ending) in unheard {
                self.ended(handle, ending);
            }
        }
    }

    /// Brings what the fleet's limits leave here to whoever decides, and back what it was short of.
    fn allot(&mut self) {
        let now = self.hands.now;
        let Some(limits) = &mut self.hands.limits else { return };
        for server in self.hands.pool.servers() {
            let short = self.module.allotted(server, limits.free(now, server));
            limits.missed(now, server, short);
        }
    }

    /// Brings what is believed of servers to whoever decides.
    fn suspect(&mut self) {
        let Some(node) = &self.hands.gossip else { return };
        let accused = node.accused(self.hands.now);
        self.hands.believed.clear();
        for server in self.hands.pool.servers() {
            let Some(life) = self.hands.pool.life(server) else { continue };
            let of = accused.iter().find(|accused| accused.life == life && accused.believed);
            self.hands.believed.extend(of.map(|_| server));
            self.module.suspected(server, of.map(|of| Suspicion { strength: 1.0, since: of.since }));
        }
    }

    /// When [`BorderProxy::turn`] is next wanted.
    pub fn due(&self) -> f64 {
        let hands = &self.hands;
        let node = hands.gossip.as_ref().map(Node::due);
        let limits = hands.limits.as_ref().map(|limits| limits.due(hands.now));
        let legs = [hands.callers.due(), hands.servers.due(), node, limits];
        legs.into_iter().flatten().fold(hands.errands.due(), f64::min)
    }

    /// The next datagram to send.
    pub fn outbound(&mut self) -> Option<Outbound> {
        let hands = &mut self.hands;
        let of = |side| move |d: iax2::Datagram| Outbound { side, peer: d.peer, bytes: d.bytes };
        let peers = |d: gossip::Outgoing| Outbound { side: Side::Peers, peer: d.peer, bytes: d.bytes.into() };
        let servers = hands.servers.datagram().map(of(Side::Servers));
        let legs = servers.or_else(|| hands.callers.datagram().map(of(Side::Callers)));
        legs.or_else(|| hands.gossip.as_mut().and_then(Node::outgoing).map(peers))
    }

    /// The next line for the log.
    pub fn note(&mut self) -> Option<String> {
        self.hands.notes.pop_front()
    }

    /// Takes nothing new from now on; what it has goes on.
    pub fn stop_taking(&mut self) {
        self.stopping = true;
    }

    /// Ends all that is left: those that stand are cut, the others fail.
    pub fn close_all(&mut self, now: f64) {
        self.at(now);
        for index in 0..self.hands.conversations.len() as u32 {
            let Some(conversation) = self.hands.conversation(Handle(index)) else { continue };
            let stands = conversation.stands;
            let count = if stands { &mut self.hands.tally.cut } else { &mut self.hands.tally.failed };
            *count += 1;
            self.hands.closed(Handle(index), if stands { Outcome::Cut } else { Outcome::Failed });
            self.hands.close(Handle(index), if stands { causes::CUT } else { causes::FAILED }, None);
        }
    }

    /// Conversations there are.
    pub fn conversations(&self) -> usize {
        self.hands.conversations.iter().flatten().count()
    }

    pub fn status(&self) -> Status {
        let mut present = Present::default();
        for conversation in self.hands.conversations.iter().flatten() {
            match (conversation.stands, &conversation.shot) {
                (true, _) => present.standing += 1,
                (false, Some(_)) => present.shot += 1,
                (false, None) => present.held += 1,
            }
        }
        let pool = &self.hands.pool;
        let row = |server: Server| {
            let view = self.module.view(server)?;
            Some(ServerStatus {
                name: pool.name(server).to_owned(),
                address: pool.address(server).to_string(),
                state: match view.state {
                    State::Running => "running",
                    State::Draining => "draining",
                    State::Gone => "gone",
                }
                .to_owned(),
                cold: view.cold,
                out: view.out,
                allowance: view.allowance,
                resting: view.resting,
                samples: view.samples,
                mean_ratio: view.mean_ratio,
                delay_ms: view.delay,
                told_rate: view.rate,
            })
        };
        Status {
            list_version: pool.version(),
            stopping: self.stopping,
            legs: self.hands.callers.legs() + self.hands.servers.legs(),
            present,
            tally: self.hands.tally,
            servers: pool.servers().filter_map(row).collect(),
            watch: self.module.differences(),
        }
    }

    fn at(&mut self, now: f64) {
        self.hands.now = now;
        self.hands.errands.woken(now);
        self.module.at(now);
    }

    fn ended(&mut self, handle: Handle, ending: Ending) {
        let tally = &mut self.hands.tally;
        match ending {
            Ending::Nacked | Ending::NoLine => tally.nacked += 1,
            Ending::TimedOut => tally.timed_out += 1,
            Ending::Reset => tally.reset += 1,
            _ => {}
        }
        self.module.ended(handle, ending, false, &mut self.hands);
    }

    fn reported(&mut self, server: Server, report: Report) {
        if let Some((limits, rate)) = self.hands.limits.as_mut().zip(report.rate) {
            limits.told(server, rate);
        }
        self.module.reported(server, report);
    }

    fn hear_callers(&mut self, waited: f64) {
        while let Some((leg, happening)) = self.hands.callers.happening() {
            match happening {
                Happening::Offered { elements, again, .. } => self.offered(leg, &elements, again, waited),
                Happening::Media(media) => {
                    let Some(&handle) = self.hands.by_caller.get(leg) else { continue };
                    let now = self.hands.now;
                    let shot =
                        self.hands.conversation(handle).filter(|c| c.stands).and_then(|c| c.shot.as_ref());
                    if let Some(to) = shot.map(|shot| shot.leg) {
                        self.hands.servers.media(now, to, &media);
                    }
                }
                Happening::Ended(_) => {
                    if let Some(&handle) = self.hands.by_caller.get(leg) {
                        self.caller_left(handle);
                    }
                }
                Happening::Poked(poke) => self.hands.callers.pong(&poke, &Elements::new()),
                _ => {}
            }
        }
    }

    fn offered(&mut self, caller: Leg, elements: &Elements, again: bool, waited: f64) {
        let now = self.hands.now;
        let mut turn_away = |code| self.hands.callers.end(now, caller, &Elements::new().with_cause(code));
        let text = |kind| elements.text(kind).unwrap_or_default();
        let (called, context) = (text(element::CALLED_NUMBER), text(element::CALLED_CONTEXT));
        if self.stopping {
            self.hands.tally.turned_away += 1;
            return turn_away(causes::STOPPING);
        }
        if let Some(come_back) = self.unrecordable {
            self.hands.tally.unrecordable += 1;
            let hints = Hints { come_back: Some(come_back as u32), ..Hints::default() };
            let answer = hints.add_to(Elements::new().with_cause(causes::REFUSED));
            return self.hands.callers.end(now, caller, &answer);
        }
        let Some((grade, first)) = self.routes.find(context, called) else {
            self.hands.tally.unrouted += 1;
            return turn_away(causes::NO_ROUTE);
        };
        let hints = Hints::read(elements);
        // An earlier copy of it was lost: the caller has waited for at least the first gap.
        let waited = waited + if again { self.caller_resend } else { 0.0 };
        let patience = hints.patience.map_or(self.patience[grade], f64::from);
        let calling = text(element::CALLING_NUMBER);
        let call = Call {
            grade,
            tenant: self.routes.tenant(text(element::USERNAME), context),
            first,
            number: (!calling.is_empty()).then(|| self.number(calling, called)),
            remaining: patience.min(self.patience[grade]) - waited - self.answer_lead,
            redial: hints.redial,
        };
        self.hands.tally.taken += 1;
        if let Some((limits, tenant)) = self.hands.limits.as_mut().zip(call.tenant) {
            self.module.shared(tenant, limits.within_share(now, tenant));
        }
        let scribe = self.hands.scribe.as_mut();
        let serial = scribe.map_or(0, |scribe| scribe.opened(now, calling, called, grade, call.tenant));
        let handle = self.module.take(&call);
        let conversation = Conversation {
            caller,
            serial,
            shot: None,
            carried: elements.only(&CARRIED),
            accepted: false,
            ringing: false,
            stands: false,
        };
        let index = handle.0 as usize;
        if self.hands.conversations.len() <= index {
            self.hands.conversations.resize_with(index + 1, || None);
        }
        self.hands.conversations[index] = Some(conversation);
        self.hands.by_caller.insert(caller, handle);
        self.module.place(handle);
    }

    /// A caller that dials again is known by its own number and the one it calls: many call the same.
    fn number(&self, calling: &str, called: &str) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.number_key.0, self.number_key.1);
        hasher.write(calling.as_bytes());
        hasher.write_u8(0xff);
        hasher.write(called.as_bytes());
        hasher.finish()
    }

    fn caller_left(&mut self, handle: Handle) {
        let stands = self.hands.conversation(handle).is_some_and(|c| c.stands);
        self.hands.closed(handle, if stands { Outcome::Stood } else { Outcome::Left });
        let Some(conversation) = self.hands.drop_conversation(handle) else { return };
        let now = self.hands.now;
        if let Some(shot) = &conversation.shot {
            self.hands.servers.end(now, shot.leg, &Elements::new().with_cause(cause::NORMAL_CLEARING));
            if !conversation.stands {
                self.hands.witness(shot.server, Evidence::called_off);
            }
        }
        if conversation.stands {
            self.hands.tally.cleared += 1;
        } else {
            self.hands.tally.left += 1;
        }
        // The conversation is over for the module too: its shot, if any, has been called off with it.
        let ending = if conversation.stands { Ending::Ok } else { Ending::Cancelled };
        let out = conversation.shot.is_some();
        if !conversation.stands {
            self.module.left(handle);
        }
        if out {
            self.module.ended(handle, ending, true, &mut self.hands);
        }
    }

    fn hear_servers(&mut self) {
        while let Some((leg, happening)) = self.hands.servers.happening() {
            match happening {
                Happening::Pong { peer, elements } => {
                    self.hands.tally.pongs += 1;
                    if let Some(server) = self.hands.pool.at(peer) {
                        let now = self.hands.now;
                        self.hands.witness(server, |evidence, life| evidence.answered(now, life));
                        self.reported(server, Hints::read(&elements).report());
                    }
                }
                Happening::Poked(poke) => self.hands.servers.pong(&poke, &Elements::new()),
                // No server has anything to offer here.
                Happening::Offered { .. } => {
                    let now = self.hands.now;
                    self.hands.servers.end(now, leg, &Elements::new().with_cause(cause::REJECTED));
                }
                happening => {
                    if let Some(&handle) = self.hands.by_server.get(leg) {
                        self.of_shot(handle, happening);
                    }
                }
            }
        }
    }

    fn of_shot(&mut self, handle: Handle, happening: Happening) {
        let now = self.hands.now;
        let Some(conversation) = self.hands.conversation(handle) else { return };
        let caller = conversation.caller;
        let Some(server) = conversation.shot.as_ref().map(|shot| shot.server) else { return };
        if !matches!(happening, Happening::Ended(End::Silent { .. } | End::Refused)) {
            self.hands.witness(server, |evidence, life| evidence.answered(now, life));
        }
        let Some(conversation) = self.hands.conversation(handle) else { return };
        match happening {
            Happening::Accepted(elements) => {
                let first = !std::mem::replace(&mut conversation.accepted, true);
                self.reported(server, Hints::read(&elements).report());
                if first {
                    self.hands.callers.accept(now, caller, &elements.only(&[element::FORMAT]));
                }
            }
            Happening::Ringing if !std::mem::replace(&mut conversation.ringing, true) => {
                self.hands.callers.ringing(now, caller);
            }
            Happening::Answered(elements) => {
                if std::mem::replace(&mut conversation.stands, true) {
                    return;
                }
                let serial = conversation.serial;
                if !std::mem::replace(&mut conversation.accepted, true) {
                    self.hands.callers.accept(now, caller, &Elements::new());
                }
                self.hands.tally.stood += 1;
                if let Some(scribe) = &mut self.hands.scribe {
                    scribe.answered(now, serial);
                }
                self.hands.callers.answer(now, caller, &Elements::new());
                self.reported(server, Hints::read(&elements).report());
                self.module.stood(handle);
            }
            Happening::Media(media) if conversation.stands => self.hands.callers.media(now, caller, &media),
            Happening::Ended(end) => self.shot_ended(handle, server, &end),
            _ => {}
        }
    }

    fn shot_ended(&mut self, handle: Handle, server: Server, end: &End) {
        if let End::Peer { elements, .. } = end {
            self.reported(server, Hints::read(elements).report());
        }
        let Some(conversation) = self.hands.conversation(handle) else { return };
        let shot = conversation.shot.take().expect("it ended");
        let stands = conversation.stands;
        self.hands.by_server.remove(shot.leg);
        if !stands {
            return self.ended(handle, causes::of_shot(end));
        }
        let ending = causes::of_standing(end);
        let cut = ending != Ending::Ok;
        *(if cut { &mut self.hands.tally.cut } else { &mut self.hands.tally.cleared }) += 1;
        self.hands.closed(handle, if cut { Outcome::Cut } else { Outcome::Stood });
        self.hands.close(handle, if cut { causes::CUT } else { cause::NORMAL_CLEARING }, None);
        self.module.ended(handle, ending, true, &mut self.hands);
    }
}
