//! Hangup causes (RFC 5456, 8.6.33) as endings for the module, and final answers as causes for the caller.
//! docs/wire.md has the same two tables for operators.

use frostthread::host::Ending;
use iax2::EndReason;
use iax2::cause;

/// What a server's word means for a shot that does not stand yet.
///
/// | the server's word | RFC 5456 | ending |
/// | --- | --- | --- |
/// | REJECT or HANGUP, cause 17 | 8.6.33 | the number's lines are busy |
/// | cause 34 | 8.6.33 | the pool has no free line |
/// | REJECT or HANGUP, causes 21, 38, 42, 47 | 8.6.33 | nacked: it did not run |
/// | REJECT, another cause or none | 6.2.4 | nacked: it did not run |
/// | HANGUP, another cause or none | 6.2.5 | fault |
/// | INVAL | 6.9.2 | reset |
/// | nobody listens there | - | no connection |
/// | no acknowledgement of the NEW, however often sent | 7.2.1 | timed out: it may have run |
pub fn attempt_ending(end: &EndReason) -> Ending {
    match end {
        EndReason::Peer { rejected, elements } => match elements.cause() {
            Some(cause::USER_BUSY) => Ending::Busy,
            Some(cause::NO_CIRCUIT) => Ending::NoFreeLine,
            Some(cause::REJECTED | 38 | cause::CONGESTION | 47) => Ending::Rejected,
            _ if *rejected => Ending::Rejected,
            _ => Ending::Error,
        },
        EndReason::Unknown => Ending::Reset,
        EndReason::Silent { .. } => Ending::TimedOut,
        EndReason::Refused => Ending::NoConnection,
    }
}

/// What a server's word means for a conversation that stands: cleared in the usual way, or cut.
pub fn established_ending(end: &EndReason) -> Ending {
    match end {
        EndReason::Peer { elements, .. } => match elements.cause() {
            None | Some(cause::NORMAL_CLEARING | cause::USER_BUSY | cause::NO_ANSWER | 31) => Ending::Ok,
            Some(_) => Ending::Reset,
        },
        _ => Ending::Reset,
    }
}

/// What the caller is told: refused (come back later), failed, cut while it stood, not to be routed, or
/// turned away by a proxy that is about to stop.
pub const REFUSED: u8 = cause::CONGESTION;
pub const FAILED: u8 = cause::TEMPORARY_FAILURE;
pub const CUT: u8 = cause::TEMPORARY_FAILURE;
pub const NO_ROUTE: u8 = cause::NO_ROUTE;
pub const STOPPING: u8 = 38;
