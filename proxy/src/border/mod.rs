//! The border proxy. A caller's NEW starts a conversation, the module decides what to do with it, and each
//! attempt is a NEW to a central server.
//!
//! Report input through [`BorderProxy::receive`], [`BorderProxy::update_server_list`],
//! [`BorderProxy::connection_refused`] and [`BorderProxy::turn`]. After all input of one point in time, call
//! [`BorderProxy::run_pending`], then drain [`BorderProxy::outbound`] and [`BorderProxy::note`], and return
//! at the time that [`BorderProxy::due`] gives.

mod callers;
mod distribution;
mod host;
mod peers;
mod servers;

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use frostthread::Proxy;
use frostthread::host::{Ending, Handle, Server, State, Terms};
use gossip::Node;
use iax2::{Endpoint, Limits, cause, element};
use records::entry::{NumberedEntry, Outcome, Stored};
use slotmap::SecondaryMap;

use crate::causes;
use crate::decided::DecidedState;
use crate::decisions::Decisions;
use crate::distributed::Distribution;
use crate::earnings::EarningsPeriod;
use crate::journal_writer::JournalWriter;
use crate::pool::{PoolList, PoolListError, PoolUpdates};
use crate::routes::Routes;
use crate::status::{ConversationCounts, Counters, ServerStatus, Status};
use crate::timers::Timers;
use host::HostState;

/// Information elements of a caller's NEW that are copied into its attempts.
const FORWARDED_ELEMENTS: [u8; 7] = [
    element::CALLED_NUMBER,
    element::CALLING_NUMBER,
    element::CALLING_NAME,
    element::CALLED_CONTEXT,
    element::USERNAME,
    element::CAPABILITY,
    element::FORMAT,
];

/// The socket that a datagram belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The socket for callers.
    Callers,
    /// The socket for central servers.
    Servers,
    /// The socket for other border proxies, used where gossip is configured.
    Peers,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outbound {
    /// The socket to send it from.
    pub side: Side,
    /// The address to send it to.
    pub peer: SocketAddr,
    /// The payload.
    pub bytes: Bytes,
}

/// The configuration of one border proxy. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct ProxyTerms {
    /// The configuration of the module.
    pub terms: Terms,
    /// The route table.
    pub routes: Routes,
    /// How long a caller waits for an answer if its NEW does not say so, by service grade.
    pub caller_timeout: Vec<f64>,
    /// A final answer is sent this long before the caller's timeout, so that it arrives in time.
    pub answer_lead: f64,
    /// Limits of the callers' endpoint.
    pub callers: Limits,
    /// Limits of the central servers' endpoint.
    pub servers: Limits,
}

/// One border proxy; `D` decides for it.
pub struct BorderProxy<D = Proxy> {
    module: D,
    host: HostState,
    routes: Routes,
    caller_timeout: Vec<f64>,
    answer_lead: f64,
    /// The delay after which a caller first resends its NEW, in milliseconds.
    caller_resend_delay: f64,
    number_key: (u64, u64),
    stopping: bool,
    /// Set while new conversations cannot be recorded: the retry time that callers get, in milliseconds.
    recording_retry_after: Option<f64>,
}

impl BorderProxy {
    /// Creates a proxy with the module's own decisions; `now` is in milliseconds.
    pub fn new(terms: ProxyTerms, seed: u64, now: f64) -> Self {
        let module = Proxy::new(terms.terms.clone(), seed, now);
        Self::with_decisions(module, terms, seed, now)
    }
}

impl<D: Decisions> BorderProxy<D> {
    /// Creates a proxy whose decisions are made by `module`.
    pub fn with_decisions(module: D, terms: ProxyTerms, seed: u64, now: f64) -> Self {
        Self {
            routes: terms.routes,
            caller_timeout: terms.caller_timeout,
            answer_lead: terms.answer_lead,
            caller_resend_delay: terms.callers.resend_delay,
            host: HostState {
                callers: Endpoint::new(terms.callers, seed),
                servers: Endpoint::new(terms.servers, seed.rotate_left(32)),
                pool: PoolList::default(),
                conversations: Vec::new(),
                by_caller: SecondaryMap::new(),
                by_attempt: SecondaryMap::new(),
                timers: Timers::default(),
                notes: VecDeque::new(),
                counters: Counters::default(),
                now,
                gossip: None,
                gossip_changed: false,
                suspected_servers: Vec::new(),
                journal: None,
                held_answers: VecDeque::new(),
                limits: None,
                decided: None,
                distribution: None,
                earnings: EarningsPeriod::new(terms.terms.grades),
            },
            module,
            number_key: (seed, !seed),
            stopping: false,
            recording_retry_after: None,
        }
    }

    /// Records conversations from now on.
    pub fn start_recording(&mut self, journal: JournalWriter) {
        self.host.journal = Some(journal);
    }

    /// The next entry for the journal. Write it before datagrams from [`BorderProxy::outbound`] are sent.
    pub fn next_journal_entry(&mut self) -> Option<NumberedEntry> {
        self.host.journal.as_mut()?.next_entry()
    }

    /// Reports which entries are stored as the durability requires, and sends the answers that were held for them.
    /// Call it after the entries of a turn were written.
    pub fn entries_stored(&mut self, now: f64, stored: Stored) {
        self.advance_clock(now);
        while let Some((entry, handle)) =
            self.host.held_answers.pop_front_if(|(entry, _)| *entry <= stored.through)
        {
            self.send_held_answer(handle, entry, stored);
        }
    }

    /// Sets whether new conversations can be recorded as promised. `Some` refuses new callers with this retry
    /// time in milliseconds; `None` accepts them.
    pub fn set_recording_unavailable(&mut self, retry_after: Option<f64>) {
        self.recording_retry_after = retry_after;
    }

    /// Handles a datagram of one of the sockets. `arrived` is the estimated time of arrival, earlier than
    /// `now` where this proxy read the socket late.
    pub fn receive(&mut self, now: f64, arrived: f64, side: Side, peer: SocketAddr, datagram: &Bytes) {
        self.advance_clock(now);
        match side {
            Side::Callers => {
                self.host.callers.receive(now, peer, datagram);
                self.handle_caller_events(now - arrived);
            }
            Side::Servers => {
                self.host.servers.receive(now, peer, datagram);
                self.handle_server_events();
            }
            Side::Peers if self.receive_distribution(peer, datagram) => self.apply_drains(),
            Side::Peers => {
                if let Some(node) = &mut self.host.gossip {
                    node.receive(now, peer, datagram);
                    self.host.gossip_changed = true;
                    if let Some(limits) = &mut self.host.limits {
                        limits.exchange(now, node);
                    }
                    if let Some(decided) = &mut self.host.decided {
                        decided.exchange(now, node);
                    }
                    self.apply_drains();
                }
            }
        }
    }

    /// Reports that the network answered that nothing listens at the peer's address.
    pub fn connection_refused(&mut self, now: f64, side: Side, peer: SocketAddr) {
        self.advance_clock(now);
        match side {
            Side::Callers => self.host.callers.connection_refused(now, peer),
            Side::Servers => self.host.servers.connection_refused(now, peer),
            Side::Peers => {}
        }
        self.handle_caller_events(0.0);
        self.handle_server_events();
    }

    /// Applies an update of the pool list; `unix` is the wall clock in milliseconds. On an error the old list
    /// remains in force.
    pub fn update_server_list(
        &mut self,
        now: f64,
        unix: f64,
        updates: &PoolUpdates,
    ) -> Result<(), PoolListError> {
        self.advance_clock(now);
        let lines = self.host.pool.apply(updates, now, unix)?;
        self.module.update_server_list(&lines, updates.whole, &mut self.host);
        if let Some(limits) = &mut self.host.limits {
            limits.update_server_list(now, &self.host.pool);
        }
        Ok(())
    }

    /// The pool list as this proxy has it.
    pub fn pool(&self) -> &PoolList {
        &self.host.pool
    }

    /// Runs one turn of the event loop: handles everything that is due at `now`.
    pub fn turn(&mut self, now: f64) {
        self.advance_clock(now);
        self.host.callers.turn(now);
        self.host.servers.turn(now);
        if let Some(node) = self.host.gossip.as_mut().filter(|node| node.due() <= now) {
            node.turn(now);
            self.host.gossip_changed = true;
        }
        if let Some((limits, node)) = self.host.limits.as_mut().zip(self.host.gossip.as_mut()) {
            limits.exchange(now, node);
        }
        if let Some((decided, node)) = self.host.decided.as_mut().zip(self.host.gossip.as_mut()) {
            decided.exchange(now, node);
            if decided.report_due(now) {
                decided.send_report(now, node, self.host.earnings.take_report());
            }
        }
        self.turn_distribution();
        self.apply_drains();
        self.handle_caller_events(0.0);
        self.handle_server_events();
        while let Some(leg) = self.host.timers.next_timed_out(now) {
            let Some(&handle) = self.host.by_attempt.get(leg) else { continue };
            let answered = self.host.conversation(handle).is_none_or(|c| c.is_answered());
            if !answered && self.host.hang_up_attempt(handle, cause::RECOVERY_ON_TIMER) {
                self.finish_attempt(handle, Ending::TimedOut);
            }
        }
    }

    /// Runs the module's pending decisions. Call it after all input of one point in time was reported.
    pub fn run_pending(&mut self) {
        if std::mem::take(&mut self.host.gossip_changed) {
            self.apply_suspicions();
        }
        loop {
            self.apply_fleet_limits();
            self.module.run_pending(&mut self.host);
            // Each deferred ending uses up one attempt of its conversation, so the loop ends.
            let endings = self.host.timers.take_deferred_endings();
            if endings.is_empty() {
                break;
            }
            for (handle, ending) in endings {
                self.finish_attempt(handle, ending);
            }
        }
    }

    /// The time of the next [`BorderProxy::turn`].
    pub fn due(&self) -> f64 {
        let host = &self.host;
        let node = host.gossip.as_ref().map(Node::due);
        let limits = host.limits.as_ref().map(|limits| limits.due(host.now));
        let decided = host.decided.as_ref().map(DecidedState::due);
        let distribution = host.distribution.as_ref().map(Distribution::due);
        let legs = [host.callers.due(), host.servers.due(), node, limits, decided, distribution];
        legs.into_iter().flatten().fold(host.timers.due(), f64::min)
    }

    /// The next datagram to send.
    pub fn outbound(&mut self) -> Option<Outbound> {
        let host = &mut self.host;
        let leg_datagram = |side| move |d: iax2::Datagram| Outbound { side, peer: d.peer, bytes: d.bytes };
        let peer_datagram =
            |d: gossip::Outgoing| Outbound { side: Side::Peers, peer: d.peer, bytes: d.bytes.into() };
        let servers = host.servers.next_datagram().map(leg_datagram(Side::Servers));
        let legs = servers.or_else(|| host.callers.next_datagram().map(leg_datagram(Side::Callers)));
        let (node, distribution) = (&mut host.gossip, &mut host.distribution);
        let gossip = legs.or_else(|| node.as_mut().and_then(Node::outgoing).map(peer_datagram));
        gossip.or_else(|| distribution.as_mut().and_then(Distribution::outgoing).map(peer_datagram))
    }

    /// The next line for the log.
    pub fn note(&mut self) -> Option<String> {
        self.host.notes.pop_front()
    }

    /// Rejects new calls from now on; existing conversations continue.
    pub fn stop_accepting(&mut self) {
        self.stopping = true;
    }

    /// Ends all remaining conversations: established ones are cut, the others fail.
    pub fn close_all(&mut self, now: f64) {
        self.advance_clock(now);
        for index in 0..self.host.conversations.len() as u32 {
            let Some(conversation) = self.host.conversation(Handle(index)) else { continue };
            let established = conversation.is_established();
            let count =
                if established { &mut self.host.counters.cut } else { &mut self.host.counters.failed };
            *count += 1;
            self.host.record_outcome(Handle(index), if established { Outcome::Cut } else { Outcome::Failed });
            self.host.close(Handle(index), if established { causes::CUT } else { causes::FAILED }, None);
        }
    }

    /// The number of current conversations.
    pub fn conversations(&self) -> usize {
        self.host.conversations.iter().flatten().count()
    }

    /// The counters and the servers' state, for operators.
    pub fn status(&self) -> Status {
        let mut counts = ConversationCounts::default();
        for conversation in self.host.conversations.iter().flatten() {
            match (conversation.is_established(), &conversation.attempt) {
                (true, _) => counts.established += 1,
                (false, Some(_)) => counts.attempting += 1,
                (false, None) => counts.waiting += 1,
            }
        }
        let pool = &self.host.pool;
        let server_status = |server: Server| {
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
            legs: self.host.callers.legs() + self.host.servers.legs(),
            conversations: counts,
            counters: self.host.counters,
            servers: pool.servers().filter_map(server_status).collect(),
            watch: self.module.differences(),
        }
    }

    fn advance_clock(&mut self, now: f64) {
        self.host.now = now;
        self.host.timers.clear_passed_wake(now);
        self.module.advance_clock(now);
    }
}
