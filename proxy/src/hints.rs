//! The information element that frostthread adds to those of IAX2: retry times, servers' reports, callers'
//! timeouts. A peer that does not know the element ignores it (RFC 5456, 8.6). docs/wire.md specifies its
//! format: `ft`, a version, then entries of a tag, a length and a big-endian value.

use bytes::Bytes;
use frostthread::host::Report;
use iax2::Elements;

/// The type of the element, above all types that RFC 5456 assigns.
pub const HINTS: u8 = 0xf5;
const HEADER: [u8; 3] = [b'f', b't', 1];

const RETRY_AFTER: u8 = 1;
const FREE: u8 = 2;
const LINES: u8 = 3;
const RATE: u8 = 4;
const QUEUE: u8 = 5;
const REDIAL: u8 = 6;
const CALLER_TIMEOUT: u8 = 7;
const WAIT: u8 = 8;

/// The contents of the element; all entries are optional.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hints {
    /// Milliseconds after which a refused caller, or one whose attempt was rejected, should retry.
    pub retry_after: Option<u32>,
    /// Free lines of the pool.
    pub free: Option<u32>,
    /// All lines of the pool.
    pub lines: Option<u32>,
    /// Set-ups that the server's processor can handle from all proxies, in thousandths per second.
    pub rate: Option<u32>,
    /// Set-ups waiting at the processor.
    pub queue: Option<u32>,
    /// Milliseconds that a set-up waits at the processor before it is started.
    pub wait: Option<u32>,
    /// Whether the caller has tried before.
    pub redial: bool,
    /// Milliseconds from the sending of the NEW until the caller gives up.
    pub caller_timeout: Option<u32>,
}

impl Hints {
    /// Reads the hints of a frame; an element of another format is ignored.
    pub fn read(elements: &Elements) -> Self {
        let mut hints = Self::default();
        let Some(rest) = elements.get(HINTS).and_then(|body| body.strip_prefix(&HEADER[..])) else {
            return hints;
        };
        let mut rest = rest;
        while let [tag, length, after @ ..] = rest {
            let Some((value, more)) = after.split_at_checked(usize::from(*length)) else { break };
            rest = more;
            let number = value.try_into().map(u32::from_be_bytes).ok();
            match *tag {
                RETRY_AFTER => hints.retry_after = number,
                FREE => hints.free = number,
                LINES => hints.lines = number,
                RATE => hints.rate = number,
                QUEUE => hints.queue = number,
                REDIAL => hints.redial = true,
                CALLER_TIMEOUT => hints.caller_timeout = number,
                WAIT => hints.wait = number,
                _ => {}
            }
        }
        hints
    }

    /// Adds the element, unless all entries are empty.
    pub fn add_to(&self, elements: Elements) -> Elements {
        let mut body = HEADER.to_vec();
        let numbers = [
            (RETRY_AFTER, self.retry_after),
            (FREE, self.free),
            (LINES, self.lines),
            (RATE, self.rate),
            (QUEUE, self.queue),
            (CALLER_TIMEOUT, self.caller_timeout),
            (WAIT, self.wait),
        ];
        for (tag, value) in numbers {
            if let Some(value) = value {
                body.extend([tag, 4]);
                body.extend(value.to_be_bytes());
            }
        }
        if self.redial {
            body.extend([REDIAL, 0]);
        }
        if body.len() > HEADER.len() { elements.with(HINTS, Bytes::from(body)) } else { elements }
    }

    /// The entries that form a server's report.
    pub fn report(&self) -> Report {
        Report {
            free: self.free.map(f64::from),
            lines: self.lines.map(f64::from),
            rate: self.rate.map(|rate| f64::from(rate) / 1000.0),
            wait: self.wait.map(f64::from),
            retry_after: self.retry_after.map(f64::from),
        }
    }
}
