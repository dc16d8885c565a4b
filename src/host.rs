//! The interface between the decisions and the program around them: plain types and the trait [`Host`].
//! Times and durations are in milliseconds. Points in time are on the host's clock, which never goes back.

use std::fmt;

/// Identifies a conversation that this proxy has accepted. Its methods are in `choice/`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Handle(pub u32);

/// Index of a central server. The host assigns it and keeps it for the lifetime of the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server(pub u32);

/// The settings of one deployment.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Number of border proxies.
    pub proxies: u32,
    pub grades: Vec<GradeTerms>,
    pub tenants: Vec<TenantTerms>,
    /// The part of its earnings that a conversation over its tenant's share keeps, from 0 to 1.
    pub over_share: f64,
    /// The most attempts that one conversation may have.
    pub max_attempts: u32,
    /// The longest wait that a refused caller can be given; `None` where callers get no retry time.
    pub max_retry_after: Option<f64>,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether central servers may be probed.
    pub may_probe: bool,
    /// After a timeout, reset or cancel the conversation must wait this long before its next attempt.
    pub release: f64,
    /// A set-up that waits at a processor is sent again after this time; 0 for never.
    pub resend_after: f64,
    /// Whether the wait that a rejection names is respected.
    pub respect_retry_after: bool,
    /// How long a central server is cold after its start.
    pub cold_duration: f64,
    /// The least share of its capacity that a central server has at its start; 0 where that is unknown.
    pub initial_capacity_share: f64,
    /// A cold server fails under a load of this multiple of its present capacity that lasts for
    /// `overload_duration`.
    pub overload_factor: f64,
    /// See `overload_factor`.
    pub overload_duration: f64,
}

/// The settings of one service grade.
#[derive(Clone, Debug, Default)]
pub struct GradeTerms {
    /// Quoted time: a set-up should be answered within it.
    pub quoted: f64,
    /// Time limit of a set-up.
    pub limit: f64,
    /// Mean length of a conversation.
    pub hold: f64,
    /// Earnings of a conversation that is answered within the quoted time.
    pub earnings: f64,
    /// The part of the earnings that remains after the quoted time, from 0 to 1.
    pub late_share: f64,
    /// Whether an attempt that may have been carried out can be followed by another one.
    pub repeatable: bool,
    /// The pools that can serve this grade.
    pub pools: Vec<u16>,
}

/// The settings of one tenant.
#[derive(Clone, Debug, Default)]
pub struct TenantTerms {
    /// The tenant's share: conversations per second over all proxies.
    pub quota: f64,
}

/// A call as its caller requests it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Index into [`Terms::grades`].
    pub grade: usize,
    /// Index into [`Terms::tenants`].
    pub tenant: Option<usize>,
    pub preferred_pool: u16,
    /// The called number; a redial has the same one.
    pub number: Option<u64>,
    /// How long the caller will still wait.
    pub remaining: f64,
    /// Whether the call is a redial.
    pub redial: bool,
}

/// State of a central server. The names are written to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Accepts attempts.
    Running,
    /// Gets no new attempts.
    Draining,
    /// Out of service.
    #[default]
    Gone,
}

/// An entry of the list of central servers.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    pub server: Server,
    pub state: State,
    pub pool: u16,
    /// When it last started, if known.
    pub started_at: Option<f64>,
}

/// The figures that a central server reports about itself; `None` for a figure that it did not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free lines of its pool.
    pub free: Option<f64>,
    /// All lines of its pool.
    pub lines: Option<f64>,
    /// Set-ups per second that its processor can handle from all proxies together.
    pub rate: Option<f64>,
    /// How long a set-up waits at its processor before the work on it starts.
    pub wait: Option<f64>,
    /// How long it asks the sender of a rejected attempt to wait.
    pub retry_after: Option<f64>,
}

/// How an attempt, or the conversation that it established, ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The attempt was accepted, and the conversation has ended normally.
    Ok,
    /// The set-up or the conversation failed with a fault.
    Error,
    /// All lines of the called number are busy.
    Busy,
    /// Rejected before any work on it.
    Rejected,
    /// Rejected because the pool had no free line.
    NoFreeLine,
    /// No answer within the timeout.
    TimedOut,
    /// The connection was refused.
    NoConnection,
    /// Cut off after it was sent.
    Reset,
    /// Cancelled by this proxy.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

/// The log shows these names under the label `ending`; they stay when a variant is renamed.
impl fmt::Debug for Ending {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Ok => "Ok",
            Self::Error => "Error",
            Self::Busy => "Busy",
            Self::Rejected => "Nacked",
            Self::NoFreeLine => "NoLine",
            Self::TimedOut => "TimedOut",
            Self::NoConnection => "NoConnection",
            Self::Reset => "Reset",
            Self::Cancelled => "Cancelled",
            Self::NotSent => "Moot",
        })
    }
}

/// Reports of other proxies that a central server does not answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspicion {
    /// At 1 or more, enough proxies report it.
    pub strength: f64,
    /// Since when, according to their reports.
    pub since: f64,
}

/// A proxy's current view of a central server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    pub state: State,
    pub cold: bool,
    /// Unanswered attempts that are still expected to be answered.
    pub in_flight: usize,
    /// How many attempts may be in flight; below 1, the share of the time in which one may be.
    pub concurrency_limit: f64,
    /// Only attempts with high earnings may go for now.
    pub cooling_down: bool,
    /// Number of samples of set-up delay / time limit in the window.
    pub samples: usize,
    /// Mean of the samples.
    pub mean_ratio: f64,
    /// Moving average of the delay of its answers.
    pub delay: f64,
    /// Set-ups per second that it last reported it can handle.
    pub rate: Option<f64>,
}

/// Actions that the decisions request from the program around them.
pub trait Host {
    /// Sends the conversation's set-up to a central server; it times out after `timeout`.
    fn send_attempt(&mut self, handle: Handle, server: Server, timeout: f64);
    /// Refuses the conversation and tells the caller how long to wait before it tries again.
    fn refuse(&mut self, handle: Handle, retry_after: Option<f64>);
    /// Ends the conversation with an error.
    fn fail(&mut self, handle: Handle);
    /// Cancels an attempt; they are numbered from 0.
    fn cancel(&mut self, handle: Handle, attempt: u16);
    /// Asks to call [`crate::Proxy::advance_clock`] and [`crate::Proxy::run_pending`] at this time.
    fn wake(&mut self, at: f64);
    /// Requests a report from a central server.
    fn probe(&mut self, server: Server);
    /// Sends a short message to every other proxy.
    fn broadcast(&mut self, message: &[u8]);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
