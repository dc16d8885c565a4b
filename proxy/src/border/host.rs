//! What carries out the module's wishes.

use std::collections::VecDeque;

use frostthread::host::{Ending, Handle, Host, Server};
use gossip::Node;
use gossip::evidence::Evidence;
use gossip::wire::Life;
use iax2::element::Elements;
use iax2::{Endpoint, Leg, cause};
use records::entry::Outcome;
use slotmap::SecondaryMap;

use crate::causes;
use crate::decided::DecidedState;
use crate::distributed::Distribution;
use crate::earnings::EarningsPeriod;
use crate::hints::Hints;
use crate::journal_writer::JournalWriter;
use crate::limits::FleetLimits;
use crate::pool::PoolList;
use crate::status::Counters;
use crate::timers::Timers;

pub(super) struct Attempt {
    pub(super) leg: Leg,
    pub(super) server: Server,
}

pub(super) struct Conversation {
    pub(super) caller: Leg,
    /// Its number in the journal, where there is one.
    pub(super) serial: u64,
    pub(super) attempt: Option<Attempt>,
    /// What its shots carry on from the caller.
    pub(super) forwarded: Elements,
    pub(super) accept_sent: bool,
    pub(super) ringing_sent: bool,
    pub(super) established: bool,
    pub(super) grade: usize,
    /// When it was taken, by when its caller asked.
    pub(super) accepted_at: f64,
}

/// What carries out the module's wishes.
pub(super) struct HostState {
    pub(super) callers: Endpoint,
    pub(super) servers: Endpoint,
    pub(super) pool: PoolList,
    pub(super) conversations: Vec<Option<Conversation>>,
    pub(super) by_caller: SecondaryMap<Leg, Handle>,
    pub(super) by_attempt: SecondaryMap<Leg, Handle>,
    pub(super) timers: Timers<Leg>,
    pub(super) notes: VecDeque<String>,
    pub(super) counters: Counters,
    pub(super) now: f64,
    pub(super) gossip: Option<Node>,
    /// Gossip may have changed what is suspected.
    pub(super) gossip_changed: bool,
    /// Servers that are believed silent.
    pub(super) suspected_servers: Vec<Server>,
    pub(super) journal: Option<JournalWriter>,
    pub(super) limits: Option<FleetLimits>,
    pub(super) decided: Option<DecidedState>,
    pub(super) distribution: Option<Distribution>,
    pub(super) earnings: EarningsPeriod,
}

impl HostState {
    pub(super) fn conversation(&mut self, handle: Handle) -> Option<&mut Conversation> {
        self.conversations.get_mut(handle.0 as usize)?.as_mut()
    }

    /// Takes the conversation off the books; its handle may be given out again from now on.
    pub(super) fn remove_conversation(&mut self, handle: Handle) -> Option<Conversation> {
        let conversation = self.conversations.get_mut(handle.0 as usize)?.take()?;
        self.by_caller.remove(conversation.caller);
        if let Some(attempt) = &conversation.attempt {
            self.by_attempt.remove(attempt.leg);
        }
        Some(conversation)
    }

    /// Tells the caller its final answer, and leaves nothing out for it.
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

    /// Keeps what was seen of a server as evidence, where there is gossip.
    pub(super) fn record_evidence(&mut self, server: Server, record: impl FnOnce(&mut Evidence, Life)) {
        if let Some((node, generation)) = self.gossip.as_mut().zip(self.pool.generation(server)) {
            record(&mut node.evidence, generation);
        }
    }

    /// It was refused or failed.
    fn count_lost(&mut self, handle: Handle) {
        let grade = self.conversation(handle).map(|conversation| conversation.grade);
        self.earnings.conversation_lost(grade);
    }

    /// Has it recorded what became of a conversation.
    pub(super) fn record_outcome(&mut self, handle: Handle, outcome: Outcome) {
        let (now, serial) = (self.now, self.conversation(handle).map(|c| c.serial));
        if let Some((journal, serial)) = self.journal.as_mut().zip(serial) {
            journal.closed(now, serial, outcome);
        }
    }

    /// Calls a attempt off; gives whether there was one.
    pub(super) fn hang_up_attempt(&mut self, handle: Handle, code: u8) -> bool {
        let now = self.now;
        let Some(attempt) = self.conversation(handle).and_then(|c| c.attempt.take()) else { return false };
        self.by_attempt.remove(attempt.leg);
        self.servers.end(now, attempt.leg, &Elements::new().with_cause(code));
        true
    }
}

impl Host for HostState {
    fn shoot(&mut self, handle: Handle, server: Server, time_out: f64) {
        let (now, peer) = (self.now, self.pool.address(server));
        let Some(conversation) = self.conversation(handle) else { return };
        let forwarded = conversation.forwarded.clone();
        let Some(leg) = self.servers.call(now, peer, &forwarded) else {
            return self.timers.defer_ending(handle, Ending::Moot);
        };
        self.counters.attempts += 1;
        if let Some(limits) = &mut self.limits {
            limits.record_attempt(now, server);
        }
        let serial = self.conversation(handle).expect("just there").serial;
        if let Some(journal) = &mut self.journal {
            journal.attempt_sent(now, serial, self.pool.name(server));
        }
        self.record_evidence(server, |evidence, generation| evidence.shot(now, generation));
        self.by_attempt.insert(leg, handle);
        self.conversation(handle).expect("just there").attempt = Some(Attempt { leg, server });
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

    fn tell(&mut self, _message: &[u8]) {}

    fn note(&mut self, line: &str) {
        self.notes.push_back(line.to_owned());
    }
}
