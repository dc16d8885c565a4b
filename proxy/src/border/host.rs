//! The state behind the border proxy's decisions, and the [`Host`] that carries the module's requests out.

use std::collections::VecDeque;

use frostthread::host::{Ending, Handle, Host, Server};
use gossip::Node;
use gossip::evidence::Evidence;
use gossip::wire::Generation;
use iax2::element::Elements;
use iax2::{Endpoint, Leg, cause};
use records::entry::Outcome;
use slotmap::SecondaryMap;

use crate::causes;
use crate::decided::DecidedState;
use crate::distributed::Distribution;
use crate::earnings::EarningsPeriod;
use crate::hints::Hints;
use crate::journal_writer::{JournalWriter, RecordedTry};
use crate::limits::FleetLimits;
use crate::pool::PoolList;
use crate::status::Counters;
use crate::timers::Timers;

/// An attempt in flight or established: its leg to a central server.
pub(super) struct Attempt {
    pub(super) leg: Leg,
    pub(super) server: Server,
}

/// How far a conversation has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// No server has answered.
    SettingUp,
    /// A server has answered; the caller is told once this entry of the journal is stored.
    AnswerHeld { answered_entry: u64 },
    /// The caller was told.
    Established,
}

/// A caller's conversation.
pub(super) struct Conversation {
    /// The leg to the caller.
    pub(super) caller: Leg,
    /// Its numbers in the journal; zeros where nothing is recorded.
    pub(super) recorded: RecordedTry,
    /// The current attempt, if any.
    pub(super) attempt: Option<Attempt>,
    /// Elements of the caller's NEW that its attempts forward.
    pub(super) forwarded: Elements,
    /// Whether ACCEPT was sent to the caller.
    pub(super) accept_sent: bool,
    /// Whether RINGING was sent to the caller.
    pub(super) ringing_sent: bool,
    pub(super) progress: Progress,
    /// Index of the service grade.
    pub(super) grade: usize,
    /// When the caller sent its NEW, in milliseconds: earlier than the time of acceptance if the NEW was
    /// delayed.
    pub(super) accepted_at: f64,
}

impl Conversation {
    /// Whether a server has answered and media passes.
    pub(super) fn is_answered(&self) -> bool {
        self.progress != Progress::SettingUp
    }

    /// Whether the caller was told that the call is established.
    pub(super) fn is_established(&self) -> bool {
        self.progress == Progress::Established
    }
}

/// Endpoints, conversations and optional parts of a border proxy; the module's [`Host`].
pub(super) struct HostState {
    /// The endpoint for callers.
    pub(super) callers: Endpoint,
    /// The endpoint for central servers.
    pub(super) servers: Endpoint,
    pub(super) pool: PoolList,
    /// Conversations by handle.
    pub(super) conversations: Vec<Option<Conversation>>,
    /// Conversations by their caller's leg.
    pub(super) by_caller: SecondaryMap<Leg, Handle>,
    /// Conversations by the leg of their attempt.
    pub(super) by_attempt: SecondaryMap<Leg, Handle>,
    pub(super) timers: Timers<Leg>,
    /// Lines for the log.
    pub(super) notes: VecDeque<String>,
    pub(super) counters: Counters,
    /// The time of the current input, in milliseconds.
    pub(super) now: f64,
    /// The gossip node, if this proxy gossips.
    pub(super) gossip: Option<Node>,
    /// Whether gossip may have changed the suspicions since they were last applied.
    pub(super) gossip_changed: bool,
    /// Servers that this proxy believes to be silent.
    pub(super) suspected_servers: Vec<Server>,
    /// The journal, if conversations are recorded.
    pub(super) journal: Option<JournalWriter>,
    /// Conversations whose answers were held, in the order of their entries. Some may have ended since.
    pub(super) held_answers: VecDeque<(u64, Handle)>,
    /// The fleet's limits, if there are any.
    pub(super) limits: Option<FleetLimits>,
    /// What the fleet has decided, if there is a council.
    pub(super) decided: Option<DecidedState>,
    /// This proxy's part in the distribution of decided state, if any.
    pub(super) distribution: Option<Distribution>,
    /// Outcomes of the current reporting period.
    pub(super) earnings: EarningsPeriod,
}

impl HostState {
    /// The conversation of a handle.
    pub(super) fn conversation(&mut self, handle: Handle) -> Option<&mut Conversation> {
        self.conversations.get_mut(handle.0 as usize)?.as_mut()
    }

    /// Removes the conversation. Its handle may be assigned again from now on.
    pub(super) fn remove_conversation(&mut self, handle: Handle) -> Option<Conversation> {
        let conversation = self.conversations.get_mut(handle.0 as usize)?.take()?;
        self.by_caller.remove(conversation.caller);
        if let Some(attempt) = &conversation.attempt {
            self.by_attempt.remove(attempt.leg);
        }
        Some(conversation)
    }

    /// Sends the caller its final answer and hangs up the attempt, if any. `retry_after` is in milliseconds.
    pub(super) fn close(&mut self, handle: Handle, code: u8, retry_after: Option<f64>) {
        if let Some(conversation) = self.remove_conversation(handle) {
            let hints = Hints { retry_after: retry_after.map(|ms| ms as u32), ..Hints::default() };
            let answer = hints.add_to(Elements::new().with_cause(code));
            self.callers.end(self.now, conversation.caller, &answer);
            if let Some(attempt) = conversation.attempt {
                self.servers.end(self.now, attempt.leg, &Elements::new().with_cause(cause::NORMAL_CLEARING));
            }
        }
    }

    /// Stores an observation of a server as evidence for gossip, if this proxy gossips.
    pub(super) fn record_evidence(&mut self, server: Server, record: impl FnOnce(&mut Evidence, Generation)) {
        if let Some((node, generation)) = self.gossip.as_mut().zip(self.pool.generation(server)) {
            record(&mut node.evidence, generation);
        }
    }

    /// Counts a conversation that was refused or failed.
    fn count_lost(&mut self, handle: Handle) {
        let grade = self.conversation(handle).map(|conversation| conversation.grade);
        self.earnings.conversation_lost(grade);
    }

    /// Records the outcome of a conversation in the journal.
    pub(super) fn record_outcome(&mut self, handle: Handle, outcome: Outcome) {
        let (now, serial) = (self.now, self.conversation(handle).map(|c| c.recorded.serial));
        if let Some((journal, serial)) = self.journal.as_mut().zip(serial) {
            journal.closed(now, serial, outcome);
        }
    }

    /// Hangs up the attempt; returns whether there was one.
    pub(super) fn hang_up_attempt(&mut self, handle: Handle, code: u8) -> bool {
        let now = self.now;
        let Some(attempt) = self.conversation(handle).and_then(|c| c.attempt.take()) else { return false };
        self.by_attempt.remove(attempt.leg);
        self.servers.end(now, attempt.leg, &Elements::new().with_cause(code));
        true
    }
}

impl Host for HostState {
    fn send_attempt(&mut self, handle: Handle, server: Server, time_out: f64) {
        let (now, peer) = (self.now, self.pool.address(server));
        let Some(conversation) = self.conversation(handle) else { return };
        let forwarded = conversation.forwarded.clone();
        let Some(leg) = self.servers.call(now, peer, &forwarded) else {
            return self.timers.defer_ending(handle, Ending::NotSent);
        };
        self.counters.attempts += 1;
        if let Some(limits) = &mut self.limits {
            limits.record_attempt(now, server);
        }
        let serial = self.conversation(handle).expect("checked above").recorded.serial;
        if let Some(journal) = &mut self.journal {
            journal.attempt_sent(now, serial, self.pool.name(server));
        }
        self.record_evidence(server, |evidence, generation| evidence.attempt_sent(now, generation));
        self.by_attempt.insert(leg, handle);
        self.conversation(handle).expect("checked above").attempt = Some(Attempt { leg, server });
        self.timers.start_timeout(now + time_out, leg);
    }

    fn refuse(&mut self, handle: Handle, retry_after: Option<f64>) {
        self.counters.refused += 1;
        self.count_lost(handle);
        self.record_outcome(handle, Outcome::Refused);
        self.close(handle, causes::REFUSED, retry_after);
    }

    fn fail(&mut self, handle: Handle) {
        self.counters.failed += 1;
        self.count_lost(handle);
        self.record_outcome(handle, Outcome::Failed);
        self.close(handle, causes::FAILED, None);
    }

    fn cancel(&mut self, handle: Handle, _shot: u16) {
        if self.hang_up_attempt(handle, cause::NORMAL_CLEARING) {
            self.timers.defer_ending(handle, Ending::Cancelled);
        }
    }

    fn wake(&mut self, at: f64) {
        self.timers.set_wake(at);
    }

    fn probe(&mut self, server: Server) {
        self.counters.probes += 1;
        let (now, peer) = (self.now, self.pool.address(server));
        self.servers.poke(now, peer);
    }

    fn broadcast(&mut self, _message: &[u8]) {}

    fn log(&mut self, line: &str) {
        self.notes.push_back(line.to_owned());
    }
}
