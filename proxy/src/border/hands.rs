//! What carries out the module's wishes.

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
use crate::earned::Earned;
use crate::hints::Hints;
use crate::journal_writer::JournalWriter;
use crate::limits::FleetLimits;
use crate::pool::PoolList;
use crate::status::Counters;
use crate::timers::Timers;

pub(super) struct Shot {
    pub(super) leg: Leg,
    pub(super) server: Server,
}

pub(super) struct Conversation {
    pub(super) caller: Leg,
    /// Its number in the journal, where there is one.
    pub(super) serial: u64,
    pub(super) shot: Option<Shot>,
    /// What its shots carry on from the caller.
    pub(super) carried: Elements,
    pub(super) accepted: bool,
    pub(super) ringing: bool,
    pub(super) stands: bool,
    pub(super) grade: usize,
    /// When it was taken, by when its caller asked.
    pub(super) taken: f64,
}

/// What carries out the module's wishes.
pub(super) struct Hands {
    pub(super) callers: Endpoint,
    pub(super) servers: Endpoint,
    pub(super) pool: PoolList,
    pub(super) conversations: Vec<Option<Conversation>>,
    pub(super) by_caller: SecondaryMap<Leg, Handle>,
    pub(super) by_server: SecondaryMap<Leg, Handle>,
    pub(super) timers: Timers<Leg>,
    pub(super) notes: VecDeque<String>,
    pub(super) tally: Counters,
    pub(super) now: f64,
    pub(super) gossip: Option<Node>,
    /// Gossip may have changed what is suspected.
    pub(super) gossiped: bool,
    /// Servers that are believed silent.
    pub(super) believed: Vec<Server>,
    pub(super) scribe: Option<JournalWriter>,
    pub(super) limits: Option<FleetLimits>,
    pub(super) decided: Option<DecidedState>,
    pub(super) distributed: Option<Distribution>,
    pub(super) earned: Earned,
}

impl Hands {
    pub(super) fn conversation(&mut self, handle: Handle) -> Option<&mut Conversation> {
        self.conversations.get_mut(handle.0 as usize)?.as_mut()
    }

    /// Takes the conversation off the books; its handle may be given out again from now on.
    pub(super) fn drop_conversation(&mut self, handle: Handle) -> Option<Conversation> {
        let conversation = self.conversations.get_mut(handle.0 as usize)?.take()?;
        self.by_caller.remove(conversation.caller);
        if let Some(shot) = &conversation.shot {
            self.by_server.remove(shot.leg);
        }
        Some(conversation)
    }

    /// Tells the caller its final answer, and leaves nothing out for it.
    pub(super) fn close(&mut self, handle: Handle, code: u8, come_back: Option<f64>) {
        if let Some(conversation) = self.drop_conversation(handle) {
            let hints = Hints { retry_after: come_back.map(|ms| ms as u32), ..Hints::default() };
            let answer = hints.add_to(Elements::new().with_cause(code));
            self.callers.end(self.now, conversation.caller, &answer);
            if let Some(shot) = conversation.shot {
                self.servers.end(self.now, shot.leg, &Elements::new().with_cause(cause::NORMAL_CLEARING));
            }
        }
    }

    /// Keeps what was seen of a server as evidence, where there is gossip.
    pub(super) fn witness(&mut self, server: Server, keep: impl FnOnce(&mut Evidence, Generation)) {
        if let Some((node, life)) = self.gossip.as_mut().zip(self.pool.generation(server)) {
            keep(&mut node.evidence, life);
        }
    }

    /// It was refused or failed.
    fn lost(&mut self, handle: Handle) {
        let grade = self.conversation(handle).map(|conversation| conversation.grade);
        self.earned.lost(grade);
    }

    /// Has it recorded what became of a conversation.
    pub(super) fn closed(&mut self, handle: Handle, outcome: Outcome) {
        let (now, serial) = (self.now, self.conversation(handle).map(|c| c.serial));
        if let Some((scribe, serial)) = self.scribe.as_mut().zip(serial) {
            scribe.closed(now, serial, outcome);
        }
    }

    /// Calls a shot off; gives whether there was one.
    pub(super) fn hang_up_shot(&mut self, handle: Handle, code: u8) -> bool {
        let now = self.now;
        let Some(shot) = self.conversation(handle).and_then(|c| c.shot.take()) else { return false };
        self.by_server.remove(shot.leg);
        self.servers.end(now, shot.leg, &Elements::new().with_cause(code));
        true
    }
}

impl Host for Hands {
    fn send_attempt(&mut self, handle: Handle, server: Server, time_out: f64) {
        let (now, peer) = (self.now, self.pool.address(server));
        let Some(conversation) = self.conversation(handle) else { return };
        let carried = conversation.carried.clone();
        let Some(leg) = self.servers.call(now, peer, &carried) else {
            return self.timers.defer_ending(handle, Ending::NotSent);
        };
        self.tally.attempts += 1;
        if let Some(limits) = &mut self.limits {
            limits.record_attempt(now, server);
        }
        let serial = self.conversation(handle).expect("just there").serial;
        if let Some(scribe) = &mut self.scribe {
            scribe.attempt_sent(now, serial, self.pool.name(server));
        }
        self.witness(server, |evidence, life| evidence.attempt_sent(now, life));
        self.by_server.insert(leg, handle);
        self.conversation(handle).expect("just there").shot = Some(Shot { leg, server });
        self.timers.start_timeout(now + time_out, leg);
    }

    fn refuse(&mut self, handle: Handle, come_back: Option<f64>) {
        self.tally.refused += 1;
        self.lost(handle);
        self.closed(handle, Outcome::Refused);
        self.close(handle, causes::REFUSED, come_back);
    }

    fn fail(&mut self, handle: Handle) {
        self.tally.failed += 1;
        self.lost(handle);
        self.closed(handle, Outcome::Failed);
        self.close(handle, causes::FAILED, None);
    }

    fn cancel(&mut self, handle: Handle, _shot: u16) {
        if self.hang_up_shot(handle, cause::NORMAL_CLEARING) {
            self.timers.defer_ending(handle, Ending::Cancelled);
        }
    }

    fn wake(&mut self, at: f64) {
        self.timers.set_wake(at);
    }

    fn probe(&mut self, server: Server) {
        self.tally.probes += 1;
        let (now, peer) = (self.now, self.pool.address(server));
        self.servers.poke(now, peer);
    }

    fn broadcast(&mut self, _message: &[u8]) {}

    fn log(&mut self, line: &str) {
        self.notes.push_back(line.to_owned());
    }
}
