//! Who may be out at once, as decided for all border proxies, without I/O.
//!
//! [`Outs`] is the machine that the agreement gives its decisions to. So far it knows drains of central servers:
//! [`drains`] says what may be asked, and when it is refused. A proxy reads from it which servers get nothing new.

#![forbid(unsafe_code)]

pub mod drains;

use agree::{Index, Machine, Unknown};

pub use drains::{Command, Drain, Drains, Verdict};

/// The number by which the agreement knows commands of drains.
pub const DRAINS: u8 = 1;

/// All that is decided about who is out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outs {
    pub drains: Drains,
}

impl Machine for Outs {
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, Unknown> {
        let unknown = |what: &str| Unknown { index, part, what: what.to_owned() };
        if part != DRAINS {
            return Err(unknown("no part of this program: a newer one is wanted"));
        }
        let command = Command::read(command).ok_or_else(|| unknown("no command of this program"))?;
        Ok(self.drains.decide(index, command).write())
    }

    fn state(&self) -> Vec<u8> {
        self.drains.state()
    }

    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), Unknown> {
        let unread = || Unknown { index, part: DRAINS, what: "a state of no known form".to_owned() };
        self.drains = Drains::read(state).ok_or_else(unread)?;
        Ok(())
    }
}
