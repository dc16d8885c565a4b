//! The journal's form: entries framed by length and checksum. [`write()`] frames one, [`read`] finds all that are sound.
//!
//! A frame is two bytes of mark, two of length, four of CRC-32 over length and body, and the body in postcard's
//! encoding. A torn tail is cut; after a damaged place reading goes on at the next sound frame, and the place is told.
//! The mark is no valid UTF-8, so no text that a caller sends can hold a frame, not even where the entry around it
//! is damaged.

use crate::entry::Entry;

const MARK: [u8; 2] = [0xC7, 0x5D];
const HEAD: usize = 8;
/// Bytes of the longest body: an entry's texts come from callers, and are cut to fit before they are written.
pub const LONGEST: usize = 4096;
/// Bytes of any one text in an entry.
pub const LONGEST_TEXT: usize = 255;

/// A stretch of a segment that holds no sound frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    pub at: usize,
    pub bytes: usize,
    /// At the end, as a crash in the middle of a write leaves it.
    pub torn: bool,
}

/// What a segment holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    pub entries: Vec<Entry>,
    pub damage: Vec<Damage>,
    /// Up to where it is sound: what follows is cut before anything is appended.
    pub sound: usize,
}

fn sum(length: [u8; 2], body: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(body);
    hasher.finalize().to_le_bytes()
}

fn fit(text: &str) -> String {
    let end = (0..=LONGEST_TEXT.min(text.len())).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0);
    text[..end].to_owned()
}

fn fitted(entry: &Entry) -> Entry {
    let mut entry = entry.clone();
    match &mut entry {
        Entry::Life(author) => author.proxy = fit(&author.proxy),
        Entry::Opened { calling, called, grade, tenant, .. } => {
            for text in [calling, called, grade, tenant] {
                *text = fit(text);
            }
        }
        Entry::Shot { server, .. } => *server = fit(server),
        Entry::Answered { .. } | Entry::Closed { .. } => {}
    }
    entry
}

/// Appends a framed entry.
pub fn write(to: &mut Vec<u8>, entry: &Entry) {
    let body = postcard::to_stdvec(&fitted(entry)).expect("plain data");
    let length = (body.len() as u16).to_le_bytes();
    to.extend(MARK);
    to.extend(length);
    to.extend(sum(length, &body));
    to.extend(body);
}

/// The sound frame that begins at the front of some bytes, with its size.
fn frame(bytes: &[u8]) -> Option<(Entry, usize)> {
    let (head, rest) = bytes.split_first_chunk::<HEAD>()?;
    let [m0, m1, l0, l1, sum_then @ ..] = *head;
    let length = usize::from(u16::from_le_bytes([l0, l1]));
    if [m0, m1] != MARK || length > LONGEST {
        return None;
    }
    let body = rest.get(..length)?;
    if sum([l0, l1], body) != sum_then {
        return None;
    }
    let (entry, left) = postcard::take_from_bytes(body).ok()?;
    left.is_empty().then_some((entry, HEAD + length))
}

/// All that is sound in a segment.
pub fn read(bytes: &[u8]) -> Found {
    let mut found = Found::default();
    let mut at = 0;
    let mut bad = None;
    while at < bytes.len() {
        match frame(&bytes[at..]) {
            Some((entry, size)) => {
                if let Some(from) = bad.take() {
                    found.damage.push(Damage { at: from, bytes: at - from, torn: false });
                }
                found.entries.push(entry);
                at += size;
                found.sound = at;
            }
            None => {
                bad.get_or_insert(at);
                at += 1;
            }
        }
    }
    if let Some(from) = bad {
        found.damage.push(Damage { at: from, bytes: bytes.len() - from, torn: true });
    }
    found
}
