//! Which servers and border proxies may be unavailable at the same time, as decided for the whole fleet,
//! without I/O.
//!
//! [`Availability`] is the state machine that the decisions apply to: [`drains`] of central servers,
//! [`grants`] for border proxies, software [`releases`] that replace them in waves. [`holder`] contains one
//! proxy's actions: when it requests a grant, leaves and reports its return, and what it witnesses of
//! others. [`feed`] passes changes on for distribution by scope.

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

/// The part of the replicated state machine that this package is.
pub const AVAILABILITY_PART: u8 = 1;
/// The version of the encoding of commands and verdicts.
const VERSION: u8 = 1;
/// The version of the encoding of the state: since 2 it contains the state that is distributed by scope.
const STATE_VERSION: u8 = 2;

/// A command for the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Drains(drains::Command),
    Grants(grants::Command),
    Releases(releases::Command),
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Drains(drains::Verdict),
    Grants(grants::Verdict),
    Releases(releases::Verdict),
}

/// Encodes a value after a version byte.
fn encode(version: u8, value: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(value, vec![version]).expect("plain data can be encoded")
}

/// Decodes a value of that version; `None` if malformed.
fn decode<'a, T: Deserialize<'a>>(version: u8, bytes: &'a [u8]) -> Option<T> {
    let body = bytes.strip_prefix(&[version])?;
    let (value, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some(value)
}

impl Command {
    /// Encodes the command.
    pub fn encode(&self) -> Vec<u8> {
        encode(VERSION, self)
    }
}

impl Verdict {
    /// Decodes a verdict; `None` if malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        decode(VERSION, bytes)
    }
}

/// The decided state of drains, grants and releases.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Availability {
    pub drains: Drains,
    pub grants: Grants,
    pub releases: Releases,
    /// The part of the state that is distributed by scope: the drains.
    scoped: ScopedState,
    #[serde(skip)]
    feed: feed::Feed,
}

/// Changes that wait to be taken are not part of the decided state.
impl PartialEq for Availability {
    fn eq(&self, other: &Self) -> bool {
        let Self { drains, grants, releases, scoped, feed: _ } = self;
        let same = (drains, grants, releases) == (&other.drains, &other.grants, &other.releases);
        same && *scoped == other.scoped
    }
}

impl Eq for Availability {}

impl Availability {
    /// The state that is distributed by scope, as of the last applied decision.
    pub fn scoped(&self) -> &ScopedState {
        &self.scoped
    }

    /// The changes in [`Availability::scoped`] since the last call.
    pub fn take_changes(&mut self) -> Changes {
        self.feed.take()
    }

    /// Distributes the change of a decision. A change with an earlier index than the state's has no effect:
    /// that only occurs when a command is tried on a copy.
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
                // A proxy with a grant for the release that has not left yet stays.
                if let Some(release) = self.releases.current().filter(|_| stops_release) {
                    self.grants.revoke_unstarted(release.number);
                }
                Verdict::Releases(verdict)
            }
        }
    }

    /// Whether it is a proxy's turn to request a grant: those before it in the release's order would leave
    /// a place free. Without this check all proxies of a wave would request again and again, and every
    /// refusal is a decision that all replicas have to process.
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
            return Err(unsupported("this program does not know the part; a newer one is needed"));
        }
        let command =
            decode(VERSION, command).ok_or_else(|| unsupported("this program does not know the command"))?;
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
            reason: "the state has an unknown form".to_owned(),
        };
        *self = decode(STATE_VERSION, state).ok_or_else(unreadable)?;
        self.feed.reset();
        Ok(())
    }
}
