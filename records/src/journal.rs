//! The journal's form: entries framed by length and checksum. [`write()`] frames one, [`read`] finds all that are sound.
//!
//! Entries are in postcard's encoding, in the frames of [`frames`].

use frames::MAX_BODY_BYTES;

use crate::entry::Entry;

/// Bytes of any one text in an entry.
pub const MAX_TEXT_BYTES: usize = 255;

/// What a segment holds.
pub type Found = frames::Decoded<Entry>;

fn fit(text: &str) -> String {
    let end = (0..=MAX_TEXT_BYTES.min(text.len())).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0);
    text[..end].to_owned()
}

fn fitted(entry: &Entry) -> Entry {
    let mut entry = entry.clone();
    match &mut entry {
        Entry::GenerationStarted(author) => author.proxy = fit(&author.proxy),
        Entry::Opened { calling, called, grade, tenant, .. } => {
            for text in [calling, called, grade, tenant] {
                *text = fit(text);
            }
        }
        Entry::Attempt { server, .. } => *server = fit(server),
        Entry::Answered { .. } | Entry::Closed { .. } => {}
    }
    entry
}

/// Appends a framed entry.
pub fn write(to: &mut Vec<u8>, entry: &Entry) {
    let body = postcard::to_stdvec(&fitted(entry)).expect("plain data");
    debug_assert!(body.len() <= MAX_BODY_BYTES, "texts are cut to fit");
    frames::write(to, &body);
}

/// All that is sound in a segment.
pub fn read(bytes: &[u8]) -> Found {
    frames::read(bytes, |body| {
        let (entry, left) = postcard::take_from_bytes(body).ok()?;
        left.is_empty().then_some(entry)
    })
}
