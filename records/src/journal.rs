//! The format of a journal: entries in postcard's encoding, framed by length and checksum as in [`frames`]. [`write()`]
//! appends an entry, [`read`] finds all intact ones.

use frames::MAX_BODY_BYTES;

use crate::entry::Entry;

/// Maximum length of a text in an entry; longer texts are truncated.
pub const MAX_TEXT_BYTES: usize = 255;

/// The intact entries of a segment, and where it is damaged.
pub type Found = frames::Decoded<Entry>;

/// The longest prefix of the text that fits into an entry.
fn truncate_text(text: &str) -> String {
    let end =
        (0..=MAX_TEXT_BYTES.min(text.len())).rev().find(|&index| text.is_char_boundary(index)).unwrap_or(0);
    text[..end].to_owned()
}

fn with_truncated_texts(entry: &Entry) -> Entry {
    let mut entry = entry.clone();
    match &mut entry {
        Entry::GenerationStarted(author) => author.proxy = truncate_text(&author.proxy),
        Entry::Opened { calling, called, grade, tenant, .. } => {
            for text in [calling, called, grade, tenant] {
                *text = truncate_text(text);
            }
        }
        Entry::Attempt { server, .. } => *server = truncate_text(server),
        Entry::Answered { .. } | Entry::Closed { .. } => {}
    }
    entry
}

/// Appends a framed entry to `output`.
pub fn write(output: &mut Vec<u8>, entry: &Entry) {
    let body = postcard::to_stdvec(&with_truncated_texts(entry)).expect("plain data");
    debug_assert!(body.len() <= MAX_BODY_BYTES, "truncated texts fit into a frame");
    frames::write(output, &body);
}

/// Reads all intact entries of a segment.
pub fn read(bytes: &[u8]) -> Found {
    frames::read(bytes, |body| {
        let (entry, remaining) = postcard::take_from_bytes(body).ok()?;
        remaining.is_empty().then_some(entry)
    })
}
