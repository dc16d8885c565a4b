//! The border proxy: a conversation is a caller's NEW; the module decides; its shots are NEWs to servers.
//!
//! [`BorderProxy::receive`], [`BorderProxy::update_server_list`], [`BorderProxy::connection_refused`] and [`BorderProxy::turn`] tell
//! what comes; [`BorderProxy::run_pending`] must follow when all that came at one time is told. Then drain
//! [`BorderProxy::outbound`] and [`BorderProxy::note`], and come back when [`BorderProxy::due`] says.

mod callers;
mod distribution;
mod hands;
mod peers;
mod servers;

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use frostthread::Proxy;
use frostthread::host::{Ending, Handle, Server, State, Terms};
use gossip::Node;
use iax2::{Endpoint, Limits, cause, element};
use records::entry::{Entry, Outcome};
use slotmap::SecondaryMap;

use crate::causes;
use crate::decided::DecidedState;
use crate::decisions::Decisions;
use crate::distributed::Distribution;
use crate::earned::Earned;
use crate::journal_writer::JournalWriter;
use crate::pool::{PoolList, PoolListError, PoolUpdates};
use crate::routes::Routes;
use crate::status::{ConversationCounts, Counters, ServerStatus, Status};
use crate::timers::Timers;
use hands::Hands;

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
    pub caller_timeout: Vec<f64>,
    /// An answer sets out so long before the caller gives up, to reach it in time.
    pub answer_lead: f64,
    pub callers: Limits,
    pub servers: Limits,
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

impl BorderProxy {
    pub fn new(terms: ProxyTerms, seed: u64, now: f64) -> Self {
        let module = Proxy::new(terms.terms.clone(), seed, now);
        Self::with_decisions(module, terms, seed, now)
    }
}

impl<D: Decisions> BorderProxy<D> {
    /// A proxy for which something else decides.
    pub fn with_decisions(module: D, terms: ProxyTerms, seed: u64, now: f64) -> Self {
        Self {
            routes: terms.routes,
            patience: terms.caller_timeout,
            answer_lead: terms.answer_lead,
            caller_resend: terms.callers.resend_delay,
            hands: Hands {
                callers: Endpoint::new(terms.callers, seed),
                servers: Endpoint::new(terms.servers, seed.rotate_left(32)),
                pool: PoolList::default(),
                conversations: Vec::new(),
                by_caller: SecondaryMap::new(),
                by_server: SecondaryMap::new(),
                timers: Timers::default(),
                notes: VecDeque::new(),
                tally: Counters::default(),
                now,
                gossip: None,
                gossiped: false,
                believed: Vec::new(),
                scribe: None,
                limits: None,
                decided: None,
                distributed: None,
                earned: Earned::new(terms.terms.grades),
            },
            module,
            number_key: (seed, !seed),
            stopping: false,
            unrecordable: None,
        }
    }

    /// Has conversations recorded from now on.
    pub fn start_recording(&mut self, scribe: JournalWriter) {
        self.hands.scribe = Some(scribe);
    }

    /// The next entry for the journal: to be kept before what is [`BorderProxy::outbound`] to callers leaves.
    pub fn next_journal_entry(&mut self) -> Option<Entry> {
        self.hands.scribe.as_mut()?.next_entry()
    }

    /// Whether what is taken can be recorded as promised; if not, callers are told to come back in so many
    /// milliseconds.
    pub fn set_recording_unavailable(&mut self, come_back: Option<f64>) {
        self.unrecordable = come_back;
    }

    /// A datagram of one of the sockets. `arrived` is when it is thought to have come, before `now` where
    /// this proxy was late to look.
    pub fn receive(&mut self, now: f64, arrived: f64, side: Side, peer: SocketAddr, datagram: &Bytes) {
        self.advance_clock(now);
        match side {
            Side::Callers => {
                self.hands.callers.receive(now, peer, datagram);
                self.hear_callers(now - arrived);
            }
            Side::Servers => {
                self.hands.servers.receive(now, peer, datagram);
                self.hear_servers();
            }
            Side::Peers if self.hear_distribution(peer, datagram) => self.drain(),
            Side::Peers => {
                if let Some(node) = &mut self.hands.gossip {
                    node.receive(now, peer, datagram);
                    self.hands.gossiped = true;
                    if let Some(limits) = &mut self.hands.limits {
                        limits.exchange(now, node);
                    }
                    if let Some(decided) = &mut self.hands.decided {
                        decided.exchange(now, node);
                    }
                    self.drain();
                }
            }
        }
    }

    /// The network told that nobody listens at the peer's address.
    pub fn connection_refused(&mut self, now: f64, side: Side, peer: SocketAddr) {
        self.advance_clock(now);
        match side {
            Side::Callers => self.hands.callers.connection_refused(now, peer),
            Side::Servers => self.hands.servers.connection_refused(now, peer),
            Side::Peers => {}
        }
        self.hear_callers(0.0);
        self.hear_servers();
    }

    /// News of the pool list; `unix` is the wall clock in milliseconds. Told wrong, the old list stands.
    pub fn update_server_list(
        &mut self,
        now: f64,
        unix: f64,
        news: &PoolUpdates,
    ) -> Result<(), PoolListError> {
        self.advance_clock(now);
        let lines = self.hands.pool.apply(news, now, unix)?;
        self.module.update_server_list(&lines, news.whole, &mut self.hands);
        if let Some(limits) = &mut self.hands.limits {
            limits.update_server_list(now, &self.hands.pool);
        }
        Ok(())
    }

    /// The pool list as this proxy has it.
    pub fn pool(&self) -> &PoolList {
        &self.hands.pool
    }

    /// Does what has fallen due.
    pub fn turn(&mut self, now: f64) {
        self.advance_clock(now);
        self.hands.callers.turn(now);
        self.hands.servers.turn(now);
        if let Some(node) = self.hands.gossip.as_mut().filter(|node| node.due() <= now) {
            node.turn(now);
            self.hands.gossiped = true;
        }
        if let Some((limits, node)) = self.hands.limits.as_mut().zip(self.hands.gossip.as_mut()) {
            limits.exchange(now, node);
        }
        if let Some((decided, node)) = self.hands.decided.as_mut().zip(self.hands.gossip.as_mut()) {
            decided.exchange(now, node);
            if decided.report_due(now) {
                decided.send_report(now, node, self.hands.earned.report());
            }
        }
        self.turn_distribution();
        self.drain();
        self.hear_callers(0.0);
        self.hear_servers();
        while let Some(leg) = self.hands.timers.next_timed_out(now) {
            let Some(&handle) = self.hands.by_server.get(leg) else { continue };
            let stands = self.hands.conversation(handle).is_none_or(|c| c.stands);
            if !stands && self.hands.hang_up_shot(handle, cause::RECOVERY_ON_TIMER) {
                self.ended(handle, Ending::TimedOut);
            }
        }
    }

    /// To be called when all that has come at one time is told.
    pub fn run_pending(&mut self) {
        if std::mem::take(&mut self.hands.gossiped) {
            self.suspect();
        }
        loop {
            self.allot();
            self.module.run_pending(&mut self.hands);
            // Each of these uses up a shot of its conversation, so there is an end to it.
            let unheard = self.hands.timers.take_deferred_endings();
            if unheard.is_empty() {
                break;
            }
            for (handle, ending) in unheard {
                self.ended(handle, ending);
            }
        }
    }

    /// When [`BorderProxy::turn`] is next wanted.
    pub fn due(&self) -> f64 {
        let hands = &self.hands;
        let node = hands.gossip.as_ref().map(Node::due);
        let limits = hands.limits.as_ref().map(|limits| limits.due(hands.now));
        let decided = hands.decided.as_ref().map(DecidedState::due);
        let distributed = hands.distributed.as_ref().map(Distribution::due);
        let legs = [hands.callers.due(), hands.servers.due(), node, limits, decided, distributed];
        legs.into_iter().flatten().fold(hands.timers.due(), f64::min)
    }

    /// The next datagram to send.
    pub fn outbound(&mut self) -> Option<Outbound> {
        let hands = &mut self.hands;
        let of = |side| move |d: iax2::Datagram| Outbound { side, peer: d.peer, bytes: d.bytes };
        let peers = |d: gossip::Outgoing| Outbound { side: Side::Peers, peer: d.peer, bytes: d.bytes.into() };
        let servers = hands.servers.next_datagram().map(of(Side::Servers));
        let legs = servers.or_else(|| hands.callers.next_datagram().map(of(Side::Callers)));
        let (node, distributed) = (&mut hands.gossip, &mut hands.distributed);
        let gossiped = legs.or_else(|| node.as_mut().and_then(Node::outgoing).map(peers));
        gossiped.or_else(|| distributed.as_mut().and_then(Distribution::outgoing).map(peers))
    }

    /// The next line for the log.
    pub fn note(&mut self) -> Option<String> {
        self.hands.notes.pop_front()
    }

    /// Takes nothing new from now on; what it has goes on.
    pub fn stop_accepting(&mut self) {
        self.stopping = true;
    }

    /// Ends all that is left: those that stand are cut, the others fail.
    pub fn close_all(&mut self, now: f64) {
        self.advance_clock(now);
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
        let mut present = ConversationCounts::default();
        for conversation in self.hands.conversations.iter().flatten() {
            match (conversation.stands, &conversation.shot) {
                (true, _) => present.established += 1,
                (false, Some(_)) => present.attempting += 1,
                (false, None) => present.waiting += 1,
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
                in_flight: view.in_flight,
                concurrency_limit: view.concurrency_limit,
                cooling_down: view.cooling_down,
                samples: view.samples,
                mean_ratio: view.mean_ratio,
                delay_ms: view.delay,
                reported_rate: view.rate,
            })
        };
        Status {
            list_version: pool.version(),
            stopping: self.stopping,
            legs: self.hands.callers.legs() + self.hands.servers.legs(),
            conversations: present,
            counters: self.hands.tally,
            servers: pool.servers().filter_map(row).collect(),
            watch: self.module.differences(),
        }
    }

    fn advance_clock(&mut self, now: f64) {
        self.hands.now = now;
        self.hands.timers.clear_passed_wake(now);
        self.module.advance_clock(now);
    }
}
