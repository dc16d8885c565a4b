//! Who may be out at once, as decided for all border proxies, without I/O.
//!
//! [`Outs`] is the machine that the agreement gives its decisions to: [`drains`] of central servers,
//! [`grants`] for border proxies, [`releases`] that replace them in waves. [`holder`] is what one proxy does
//! by it: when it asks, goes and says that it is back, and what it tells of others.

#![forbid(unsafe_code)]

pub mod drains;
pub mod evidence;
pub mod grants;
pub mod holder;
pub mod releases;

use agree::{Id, Index, Machine, Unknown};
use serde::{Deserialize, Serialize};

pub use drains::{Drain, Drains};
pub use grants::Grants;
pub use releases::{Kind, Phase, Release, Releases};

/// The part of the agreement that all of this is.
pub const OUTS: u8 = 1;
/// The form of commands, answers and of the state.
const VERSION: u8 = 1;

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

fn write(what: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(what, vec![VERSION]).expect("plain data")
}

fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    let body = bytes.strip_prefix(&[VERSION])?;
    let (what, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some(what)
}

impl Command {
    pub fn write(&self) -> Vec<u8> {
        write(self)
    }
}

impl Verdict {
    pub fn read(bytes: &[u8]) -> Option<Self> {
        read(bytes)
    }
}

/// All that is decided about who is out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outs {
    pub drains: Drains,
    pub grants: Grants,
    pub releases: Releases,
}

impl Outs {
    fn carry_out(&mut self, index: Index, command: Command) -> Verdict {
        let verdict = self.of_part(index, command);
        let grants = &self.grants;
        self.releases.settle(|proxy| grants.away(proxy).is_some());
        verdict
    }

    fn of_part(&mut self, index: Index, command: Command) -> Verdict {
        match command {
            Command::Drains(command) => Verdict::Drains(self.drains.decide(index, command)),
            Command::Grants(command) => Verdict::Grants(self.grant(index, command)),
            Command::Releases(command) => {
                let halts =
                    matches!(command, releases::Command::Halt { .. } | releases::Command::Back { .. });
                let verdict = self.releases.decide(index, command);
                // Whoever was let out for it and has not gone stays.
                if let Some(release) = self.releases.current().filter(|_| halts) {
                    self.grants.recall(release.number);
                }
                Verdict::Releases(verdict)
            }
        }
    }

    /// Whether a proxy's turn has come to ask: those before it in its release's order would leave a place
    /// free. Without this all of a wave would ask again and again, and each refusal is a decision that all
    /// are told.
    pub fn is_next(&self, proxy: Id) -> bool {
        let free = usize::from(self.grants.most()).saturating_sub(self.grants.out().count());
        let waits = |id: Id| {
            let there = !self.grants.counts(id) && self.grants.written_off(id).is_none();
            there && self.releases.turn_of(id).is_some()
        };
        let order = self.releases.current().into_iter().flat_map(|release| release.waves.iter().flatten());
        let ahead = order.take_while(|&&id| id != proxy).filter(|&&id| waits(id)).count();
        self.grants.counts(proxy) || ahead < free
    }

    fn grant(&mut self, index: Index, command: grants::Command) -> grants::Verdict {
        if let grants::Command::Ask { proxy, release } = &command {
            let turn = self.releases.turn_of(*proxy).is_some_and(|(of, _)| of.number == *release);
            if !turn {
                return grants::Verdict::Moot;
            }
        }
        let verdict = self.grants.decide(index, command);
        if let Some((proxy, runs)) = self.grants.came_in() {
            self.releases.came_in(proxy, runs);
        }
        verdict
    }
}

impl Machine for Outs {
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, Unknown> {
        let unknown = |what: &str| Unknown { index, part, what: what.to_owned() };
        if part != OUTS {
            return Err(unknown("no part of this program: a newer one is wanted"));
        }
        let command = read(command).ok_or_else(|| unknown("no command of this program"))?;
        Ok(write(&self.carry_out(index, command)))
    }

    fn state(&self) -> Vec<u8> {
        write(self)
    }

    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), Unknown> {
        let unread = || Unknown { index, part: OUTS, what: "a state of no known form".to_owned() };
        *self = read(state).ok_or_else(unread)?;
        Ok(())
    }
}
