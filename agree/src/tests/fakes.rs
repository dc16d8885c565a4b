//! What stands in for keys, disks and machines.

use crate::disk::DiskWrite;
use crate::{Hash, Id, Index, Machine, Signer, UnsupportedDecision};

/// Signatures that cost little: nobody here forges any.
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

/// Keeps all that it is given, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordingMachine {
    pub lines: Vec<u64>,
    /// Makes it meet a command that it does not know.
    pub rejects_other_parts: bool,
}

impl Machine for RecordingMachine {
    fn decide(&mut self, index: Index, part: u8, command: &[u8]) -> Result<Vec<u8>, UnsupportedDecision> {
        let Ok(line) = <[u8; 8]>::try_from(command) else {
            return Err(UnsupportedDecision { index, part, reason: "no line".to_owned() });
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
        postcard::to_stdvec(&self.lines).expect("plain data")
    }

    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), UnsupportedDecision> {
        let unreadable = |_| UnsupportedDecision { index, part: 0, reason: "no book".to_owned() };
        self.lines = postcard::from_bytes(state).map_err(unreadable)?;
        Ok(())
    }
}

/// A disk: what it holds for good, and what is on its way there.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub contents: Vec<u8>,
    pub writing: Option<(DiskWrite, f64)>,
    pub fails_next_write: bool,
}

impl Disk {
    /// What was being written has come to the disk.
    pub fn sync(&mut self) -> bool {
        let Some((write, _)) = self.writing.take() else { return false };
        if write.replaces_file {
            self.contents = write.bytes;
        } else {
            self.contents.extend(write.bytes);
        }
        true
    }

    /// The power goes: a part of what was being written may have come, of a new file all or nothing.
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
