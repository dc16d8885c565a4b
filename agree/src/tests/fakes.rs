//! Test doubles for keys, disks and machines.

use crate::disk::DiskWrite;
use crate::{Hash, Id, Index, Machine, Signer, UnsupportedDecision};

/// Cheap signatures, which no test forges.
#[derive(Clone, Debug)]
pub struct Keys(pub Id);

fn signature(id: Id, bytes: &[u8]) -> [u8; 64] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&id.to_le_bytes());
    hasher.update(bytes);
    let mut signature = [0; 64];
    hasher.finalize_xof().fill(&mut signature);
    signature
}

impl Signer for Keys {
    fn sign(&self, bytes: &[u8]) -> [u8; 64] {
        signature(self.0, bytes)
    }

    fn verify(&self, by: Id, bytes: &[u8], claimed: &[u8; 64]) -> bool {
        signature(by, bytes) == *claimed
    }
}

/// A machine that records all lines in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordingMachine {
    pub lines: Vec<u64>,
    /// Makes the machine report commands of other parts than 0 as unsupported.
    pub rejects_other_parts: bool,
}

impl Machine for RecordingMachine {
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, UnsupportedDecision> {
        let Ok(line) = <[u8; 8]>::try_from(command) else {
            return Err(UnsupportedDecision { index, part, reason: "command is not one line".to_owned() });
        };
        if self.rejects_other_parts && part > 0 {
            return Err(UnsupportedDecision { index, part, reason: "no such part".to_owned() });
        }
        self.lines.push(u64::from_le_bytes(line));
        Ok(self.lines.len().to_le_bytes().to_vec())
    }

    fn root(&self) -> Hash {
        *blake3::hash(&self.state()).as_bytes()
    }

    fn state(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.lines).expect("plain data can be encoded")
    }

    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), UnsupportedDecision> {
        let unreadable = |_| UnsupportedDecision { index, part: 0, reason: "unreadable state".to_owned() };
        self.lines = postcard::from_bytes(state).map_err(unreadable)?;
        Ok(())
    }
}

/// A disk: its synced contents, and the write that is under way.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub contents: Vec<u8>,
    pub writing: Option<(DiskWrite, f64)>,
    pub fails_next_write: bool,
}

impl Disk {
    /// Completes the write that is under way. Returns whether there was one.
    pub fn sync(&mut self) -> bool {
        let Some((write, _)) = self.writing.take() else { return false };
        if write.replaces_file {
            self.contents = write.bytes;
        } else {
            self.contents.extend(write.bytes);
        }
        true
    }

    /// Simulates a power failure: the given part of the current write reaches the disk; of a replaced file
    /// all or nothing.
    pub fn crash(&mut self, part: f64) {
        if let Some((write, _)) = self.writing.take() {
            let written = (write.bytes.len() as f64 * part) as usize;
            if !write.replaces_file {
                self.contents.extend(&write.bytes[..written]);
            } else if part > 0.9 {
                self.contents = write.bytes;
            }
        }
    }
}
