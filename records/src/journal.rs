//! The journal's form: entries framed by length and checksum. [`write()`] frames one, [`read`] finds all that are sound.
//!
//! Entries are in postcard's encoding, in the frames of [`frames`].

use frames::LONGEST;

use crate::entry::Entry;

/// Bytes of any one text in an entry.
pub const MAX_TEXT_BYTES: usize = 255;

/// What a segment holds.
pub type Found = frames::Found<Entry>;

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

/// Appends a framed entry.
pub fn write(output: &mut Vec<u8>, entry: &Entry) {
    let body = postcard::to_stdvec(&with_truncated_texts(entry)).expect("plain data");
    debug_assert!(body.len() <= LONGEST, "texts are cut to fit");
    frames::write(output, &body);
}

/// All that is sound in a segment.
pub fn read(bytes: &[u8]) -> Found {
    frames::read(bytes, |body| {
        let (entry, remaining) = postcard::take_from_bytes(body).ok()?;
        remaining.is_empty().then_some(entry)
    })
}
