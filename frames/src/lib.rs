//! Frames of bytes by length and checksum, without I/O. [`write`] frames a body, [`read`] finds all that are
//! sound.
//!
//! A frame is two bytes of mark, two of length, four of CRC-32 over length and body, and the body. A torn
//! tail is told as such; after a damaged place reading goes on at the next sound frame, and the place is
//! told. The mark is no valid UTF-8, so no text in a body can hold a frame, not even where the frame around
//! it is damaged.

#![forbid(unsafe_code)]

const MAGIC: [u8; 2] = [0xC7, 0x5D];
const HEADER_BYTES: usize = 8;
/// Bytes of the longest body.
pub const MAX_BODY_BYTES: usize = 4096;

/// A stretch that holds no sound frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    pub offset: usize,
    pub bytes: usize,
    /// At the end, as a crash in the middle of a write leaves it.
    pub torn: bool,
}

/// What some bytes hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded<T> {
    pub entries: Vec<T>,
    pub damage: Vec<Damage>,
    /// Up to where it is sound: what follows is cut before anything is appended.
    pub valid_bytes: usize,
}

impl<T> Default for Decoded<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), damage: Vec::new(), valid_bytes: 0 }
    }
}

fn checksum(length: [u8; 2], body: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(body);
    hasher.finalize().to_le_bytes()
}

/// Appends a framed body.
///
/// # Panics
///
/// Where the body is over [`MAX_BODY_BYTES`]: whoever frames knows how long what it writes can be.
pub fn write(to: &mut Vec<u8>, body: &[u8]) {
    assert!(body.len() <= MAX_BODY_BYTES, "a body of {} bytes", body.len());
    let length = (body.len() as u16).to_le_bytes();
    to.extend(MAGIC);
    to.extend(length);
    to.extend(checksum(length, body));
    to.extend(body);
}

/// The sound body that begins at the front of some bytes, with its frame's size.
fn frame(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let (header, remaining) = bytes.split_first_chunk::<HEADER_BYTES>()?;
    let [m0, m1, l0, l1, expected_checksum @ ..] = *header;
    let length = usize::from(u16::from_le_bytes([l0, l1]));
    if [m0, m1] != MAGIC || length > MAX_BODY_BYTES {
        return None;
    }
    let body = remaining.get(..length)?;
    (checksum([l0, l1], body) == expected_checksum).then_some((body, HEADER_BYTES + length))
}

/// All that is sound in some bytes. A body that `take` makes nothing of is damage too.
pub fn read<T>(bytes: &[u8], decode: impl Fn(&[u8]) -> Option<T>) -> Decoded<T> {
    let mut found = Decoded::default();
    let mut offset = 0;
    let mut damaged_from = None;
    while offset < bytes.len() {
        match frame(&bytes[offset..]).and_then(|(body, frame_bytes)| Some((decode(body)?, frame_bytes))) {
            Some((body, frame_bytes)) => {
                if let Some(start) = damaged_from.take() {
                    found.damage.push(Damage { offset: start, bytes: offset - start, torn: false });
                }
                found.entries.push(body);
                offset += frame_bytes;
                found.valid_bytes = offset;
            }
            None => {
                damaged_from.get_or_insert(offset);
                offset += 1;
            }
        }
    }
    if let Some(start) = damaged_from {
        found.damage.push(Damage { offset: start, bytes: bytes.len() - start, torn: true });
    }
    found
}
