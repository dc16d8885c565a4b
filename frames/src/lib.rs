//! Framing of byte strings with length and checksum, without I/O. [`write()`] frames a body, [`read`] finds
//! all valid frames.
//!
//! A frame is two magic bytes, two bytes of length, four bytes of CRC-32 over length and body, and the body.
//! A torn tail is reported as such. After damaged bytes reading goes on at the next valid frame, and the
//! damage is reported. The magic bytes are not valid UTF-8, so no text in a body can contain a frame, not
//! even where the frame around it is damaged.

#![forbid(unsafe_code)]

/// First bytes of each frame.
const MAGIC: [u8; 2] = [0xC7, 0x5D];
/// Bytes of magic, length and checksum.
const HEADER_BYTES: usize = 8;
/// Bytes of the longest body.
pub const MAX_BODY_BYTES: usize = 4096;

/// A range of bytes that holds no valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Where the range begins.
    pub offset: usize,
    /// Length of the range.
    pub bytes: usize,
    /// At the end of the input, as a crash during a write leaves it.
    pub torn: bool,
}

/// What was decoded from the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded<T> {
    /// The decoded bodies, in order.
    pub entries: Vec<T>,
    /// The damaged ranges, in order.
    pub damage: Vec<Damage>,
    /// End of the last valid frame: what follows is cut off before anything is appended.
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
/// If the body is longer than [`MAX_BODY_BYTES`]: the caller knows how long its bodies can be.
pub fn write(to: &mut Vec<u8>, body: &[u8]) {
    assert!(
        body.len() <= MAX_BODY_BYTES,
        "frame body has {} bytes, wanted are at most {MAX_BODY_BYTES}",
        body.len()
    );
    let length = (body.len() as u16).to_le_bytes();
    to.extend(MAGIC);
    to.extend(length);
    to.extend(checksum(length, body));
    to.extend(body);
}

/// The body of the valid frame at the start of the input, with the size of the frame.
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

/// Decodes all valid frames. A body for which `decode` returns `None` counts as damage too.
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
