//! Maps hangup causes (RFC 5456, 8.6.33) to the module's endings, and final answers to the causes that
//! callers get. docs/wire.md has the same two tables for operators.

use frostthread::host::Ending;
use iax2::EndReason;
use iax2::cause;

/// The ending of an attempt that is not established, by the server's response.
///
/// | the server's response | RFC 5456 | ending |
/// | --- | --- | --- |
/// | REJECT or HANGUP, cause 17 | 8.6.33 | the number's lines are busy |
/// | cause 34 | 8.6.33 | the pool has no free line |
/// | REJECT or HANGUP, causes 21, 38, 42, 47 | 8.6.33 | rejected: it did not run |
/// | REJECT, another cause or none | 6.2.4 | rejected: it did not run |
/// | HANGUP, another cause or none | 6.2.5 | fault |
/// | INVAL | 6.9.2 | reset |
/// | nobody listens there | - | no connection |
/// | no acknowledgement of the NEW, however often sent | 7.2.1 | timed out: it may have run |
pub fn attempt_ending(end: &EndReason) -> Ending {
    match end {
        EndReason::Peer { rejected, elements } => match elements.cause() {
            Some(cause::USER_BUSY) => Ending::Busy,
            Some(cause::NO_CIRCUIT) => Ending::NoFreeLine,
            Some(
                cause::REJECTED
                | cause::NETWORK_OUT_OF_ORDER
                | cause::CONGESTION
                | cause::RESOURCE_UNAVAILABLE,
            ) => Ending::Rejected,
            _ if *rejected => Ending::Rejected,
            _ => Ending::Error,
        },
        EndReason::Unknown => Ending::Reset,
        EndReason::Silent { .. } => Ending::TimedOut,
        EndReason::Refused => Ending::NoConnection,
    }
}

/// The ending of an established conversation, by the server's response: cleared normally or cut.
pub fn established_ending(end: &EndReason) -> Ending {
    match end {
        EndReason::Peer { elements, .. } => match elements.cause() {
            None
            | Some(
                cause::NORMAL_CLEARING | cause::USER_BUSY | cause::NO_ANSWER | cause::NORMAL_UNSPECIFIED,
            ) => Ending::Ok,
            Some(_) => Ending::Reset,
        },
        _ => Ending::Reset,
    }
}

/// The cause for a caller that is refused and should retry later.
pub const REFUSED: u8 = cause::CONGESTION;
/// The cause for a caller whose call failed.
pub const FAILED: u8 = cause::TEMPORARY_FAILURE;
/// The cause for a caller whose established call was cut.
pub const CUT: u8 = cause::TEMPORARY_FAILURE;
/// The cause for a called number without a route.
pub const NO_ROUTE: u8 = cause::NO_ROUTE;
/// The cause for a caller rejected by a proxy that is about to stop.
pub const STOPPING: u8 = cause::NETWORK_OUT_OF_ORDER;
