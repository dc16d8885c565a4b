//! The interface between the decisions and the program around them: plain types and [`Host`].
//! Times are milliseconds on the host's clock, which only goes forward.

use std::fmt;

/// A conversation that this proxy has taken. What can be done with it is in `choice/`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Handle(pub u32);

/// A central server: a small index that the host gives out and keeps for as long as the proxy lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server(pub u32);

/// What is agreed for one deployment.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// How many proxies there are.
    pub proxies: u32,
    pub grades: Vec<GradeTerms>,
    pub tenants: Vec<TenantTerms>,
    /// The part of its earnings that a conversation over its tenant's share keeps.
    pub over_share: f64,
    pub max_attempts: u32,
    /// The longest wait that a refused caller can be told, where advice is allowed at all.
    pub max_retry_after: Option<f64>,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// After a time-out, reset or cancel the conversation rests for this long.
    pub release: f64,
    /// A set-up that waits at a processor is sent again after this; 0 for never.
    pub resend_after: f64,
    /// Whether the wait that a nack names is kept.
    pub respect_retry_after: bool,
    /// A central server is warm this long after its start.
    pub cold_duration: f64,
    /// It starts at this share of its capacity or more; 0 where that is not known.
    pub initial_capacity_share: f64,
    /// A cold one falls over at this multiple of its present capacity, kept up for `overload_duration`.
    pub overload_factor: f64,
    pub overload_duration: f64,
}

#[derive(Clone, Debug, Default)]
pub struct GradeTerms {
    pub quoted: f64,
    pub limit: f64,
    /// How long a conversation lasts on average.
    pub hold: f64,
    pub earnings: f64,
    /// The part of the earnings that is left after the quoted time.
    pub late_share: f64,
    /// Whether a shot that may have run can be followed by another.
    pub repeatable: bool,
    pub pools: Vec<u16>,
}

#[derive(Clone, Debug, Default)]
pub struct TenantTerms {
    /// Conversations a second, over all proxies, within the tenant's share.
    pub quota: f64,
}

/// A conversation as its caller hands it over.
#[derive(Clone, Debug)]
pub struct Call {
    pub grade: usize,
    pub tenant: Option<usize>,
    /// The pool of first choice.
    pub preferred_pool: u16,
    /// The number that is called; a caller that dials again calls the same.
    pub number: Option<u64>,
    /// How long the caller still waits.
    pub remaining: f64,
    pub redial: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    Running,
    Draining,
    #[default]
    Gone,
}

/// A line of the list of central servers.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    pub server: Server,
    pub state: State,
    pub pool: u16,
    /// When it last started, if that is known.
    pub started_at: Option<f64>,
}

/// What a central server says of itself, as far as it is used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free lines of the pool, and how many it has.
    pub free: Option<f64>,
    pub lines: Option<f64>,
    /// Set-ups a second that its processor can take from all proxies.
    pub rate: Option<f64>,
    /// How long a set-up waits at its processor before it is begun.
    pub wait: Option<f64>,
    /// How long it asks the sender of a shot that it turned back to wait.
    pub retry_after: Option<f64>,
}

/// How a shot, or the conversation that it set up, came to its end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Ok,
    Error,
    /// All lines of the number that is called are busy.
    Busy,
    Rejected,
    /// Turned back because the pool had no free line.
    NoFreeLine,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    /// Never sent.
    NotSent,
}

/// These names are written to the log under the label `ending`; they stay when a variant is renamed.
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

/// Others' word that a central server answers nobody.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspicion {
    /// From 1 on enough of them say so.
    pub strength: f64,
    /// Since when, by what they say.
    pub since: f64,
}

/// What a proxy makes of a central server at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    pub state: State,
    pub cold: bool,
    /// Shots out and still waited for, and how many may be; under one, the share of the time that one may.
    pub in_flight: usize,
    pub concurrency_limit: f64,
    /// No shot but of high earnings for now.
    pub cooling_down: bool,
    /// Samples of set-up delay over time limit in the window, and their mean.
    pub samples: usize,
    pub mean_ratio: f64,
    /// Its answers' delay of late.
    pub delay: f64,
    /// Set-ups a second that it last said it can take.
    pub rate: Option<f64>,
}

/// What the decisions ask of the program around them.
pub trait Host {
    /// Send the conversation's set-up, to be given up after `timeout`.
    fn send_attempt(&mut self, handle: Handle, server: Server, timeout: f64);
    /// Refuse the conversation, with advice when to come back.
    fn refuse(&mut self, handle: Handle, retry_after: Option<f64>);
    fn fail(&mut self, handle: Handle);
    fn cancel(&mut self, handle: Handle, attempt: u16);
    /// Call [`crate::Proxy::advance_clock`] and [`crate::Proxy::run_pending`] at this time.
    fn wake(&mut self, at: f64);
    fn probe(&mut self, server: Server);
    /// Send a short message to every other proxy.
    fn broadcast(&mut self, message: &[u8]);
    /// Write a line to the log.
    fn log(&mut self, line: &str);
}
