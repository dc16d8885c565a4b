//! Who may be out at once, as decided for all border proxies, without I/O.
//!
//! [`Outs`] is the machine that the agreement gives its decisions to: [`drains`] of central servers,
//! [`grants`] for border proxies, [`releases`] that replace them in waves. [`holder`] is what one proxy does
//! by it: when it asks, goes and says that it is back, and what it tells of others. [`feed`] hands what
//! changes on to whoever distributes it by scope.

#![forbid(unsafe_code)]

pub mod drains;
pub mod evidence;
pub mod feed;
pub mod grants;
pub mod holder;
pub mod releases;

use agree::{Hash, Id, Index, Machine, UnsupportedDecision};
use distribution::{Change, ScopedState};
use serde::{Deserialize, Serialize};

pub use drains::{Drain, Drains};
pub use feed::Changes;
pub use grants::Grants;
pub use releases::{Kind, Phase, Release, Releases};

/// The part of the agreement that all of this is.
pub const AVAILABILITY_PART: u8 = 1;
/// The form of commands and answers.
const VERSION: u8 = 1;
/// The form of the state: since 2 it holds what is distributed by scope.
const STATE_VERSION: u8 = 2;

/// What may be asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Drains(drains::Command),
    Grants(grants::Command),
    Releases(releases::Command),
}

/// What became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Drains(drains::Verdict),
    Grants(grants::Verdict),
    Releases(releases::Verdict),
}

fn encode(version: u8, value: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(value, vec![version]).expect("plain data")
}

fn decode<'a, T: Deserialize<'a>>(version: u8, bytes: &'a [u8]) -> Option<T> {
    let body = bytes.strip_prefix(&[version])?;
    let (value, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some(value)
}

impl Command {
    pub fn write(&self) -> Vec<u8> {
        encode(VERSION, self)
    }
}

impl Verdict {
    pub fn read(bytes: &[u8]) -> Option<Self> {
        decode(VERSION, bytes)
    }
}

/// All that is decided about who is out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Availability {
    pub drains: Drains,
    pub grants: Grants,
    pub releases: Releases,
    /// What of it is distributed by scope: the drains.
    scoped: ScopedState,
    #[serde(skip)]
    feed: feed::Feed,
}

/// What waits to be handed on is no part of what was decided.
impl PartialEq for Availability {
    fn eq(&self, other: &Self) -> bool {
        let Self { drains, grants, releases, scoped, feed: _ } = self;
        let same = (drains, grants, releases) == (&other.drains, &other.grants, &other.releases);
        same && *scoped == other.scoped
    }
}

impl Eq for Availability {}

impl Availability {
    /// What is distributed by scope, as of the newest decision that was carried out.
    pub fn scoped(&self) -> &ScopedState {
        &self.scoped
    }

    /// What was changed in [`Outs::scoped`] since this was last called.
    pub fn take_changes(&mut self) -> Changes {
        self.feed.take()
    }

    /// Applies what a decision changed. One of an earlier index than the state's changes nothing there: only
    /// a trial of what a command would come to has such.
    fn distribute(&mut self, change: Change) {
        if self.scoped.apply(change.clone()).is_ok() {
            self.feed.push(change);
        }
    }

    fn decide_drain(&mut self, index: Index, command: drains::Command) -> drains::Verdict {
        let server = command.server().to_owned();
        let former = self.drains.get(&server).cloned();
        let verdict = self.drains.decide(index, command);
        let drain = self.drains.get(&server).cloned();
        if drain != former
            && let Some(pool) = drain.as_ref().or(former.as_ref()).map(|drain| drain.pool)
            && let Some(change) = drains::change(index, &server, pool, drain.as_ref())
        {
            self.distribute(change);
        }
        verdict
    }

    fn apply(&mut self, index: Index, command: Command) -> Verdict {
        let verdict = self.dispatch(index, command);
        let grants = &self.grants;
        self.releases.finish_if_complete(|proxy| grants.unavailability(proxy).is_some());
        verdict
    }

    fn dispatch(&mut self, index: Index, command: Command) -> Verdict {
        match command {
            Command::Drains(command) => Verdict::Drains(self.decide_drain(index, command)),
            Command::Grants(command) => Verdict::Grants(self.decide_grant(index, command)),
            Command::Releases(command) => {
                let stops_release =
                    matches!(command, releases::Command::Halt { .. } | releases::Command::RollBack { .. });
                let verdict = self.releases.decide(index, command);
                // Whoever was let out for it and has not gone stays.
                if let Some(release) = self.releases.current().filter(|_| stops_release) {
                    self.grants.revoke_unstarted(release.number);
                }
                Verdict::Releases(verdict)
            }
        }
    }

    /// Whether a proxy's turn has come to ask: those before it in its release's order would leave a place
    /// free. Without this all of a wave would ask again and again, and each refusal is a decision that all
    /// are told.
    pub fn may_request(&self, proxy: Id) -> bool {
        let free_places =
            usize::from(self.grants.max_unavailable()).saturating_sub(self.grants.unavailable().count());
        let may_change = |id: Id| {
            let is_available =
                !self.grants.counts_as_unavailable(id) && self.grants.written_off(id).is_none();
            is_available && self.releases.next_change(id).is_some()
        };
        let order = self.releases.current().into_iter().flat_map(|release| release.waves.iter().flatten());
        let ahead = order.take_while(|&&id| id != proxy).filter(|&&id| may_change(id)).count();
        self.grants.counts_as_unavailable(proxy) || ahead < free_places
    }

    fn decide_grant(&mut self, index: Index, command: grants::Command) -> grants::Verdict {
        if let grants::Command::Request { proxy, release } = &command {
            let has_turn = self.releases.next_change(*proxy).is_some_and(|(of, _)| of.number == *release);
            if !has_turn {
                return grants::Verdict::NoEffect;
            }
        }
        let verdict = self.grants.decide(index, command);
        if let Some((proxy, running_release)) = self.grants.take_returned() {
            self.releases.set_running(proxy, running_release);
        }
        verdict
    }
}

impl Machine for Availability {
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, UnsupportedDecision> {
        let unsupported = |reason: &str| UnsupportedDecision { index, part, reason: reason.to_owned() };
        if part != AVAILABILITY_PART {
            return Err(unsupported("no part of this program: a newer one is wanted"));
        }
        let command = decode(VERSION, command).ok_or_else(|| unsupported("no command of this program"))?;
        Ok(encode(VERSION, &self.apply(index, command)))
    }

    fn root(&self) -> Hash {
        self.scoped.root()
    }

    fn state(&self) -> Vec<u8> {
        encode(STATE_VERSION, self)
    }

    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), UnsupportedDecision> {
        let unreadable = || UnsupportedDecision {
            index,
            part: AVAILABILITY_PART,
            reason: "a state of no known form".to_owned(),
        };
        *self = decode(STATE_VERSION, state).ok_or_else(unreadable)?;
        self.feed.reset();
        Ok(())
    }
}
