//! The interface between a border proxy and what decides for it. Users run [`frostthread::Proxy`]; the lab
//! replaces it by baselines and by deliberately faulty implementations.

use frostthread::Proxy;
use frostthread::host::{Call, Ending, Handle, Host, Report, Server, ServerEntry, ServerView, Suspicion};

use crate::differences::Differences;

/// The methods of [`frostthread::Proxy`] and its handles, which document each of them.
pub trait Decisions {
    /// Advances the clock to `now`, in milliseconds.
    fn advance_clock(&mut self, now: f64);
    /// Applies entries of the pool list; `whole` if they are the complete list.
    fn update_server_list(&mut self, lines: &[ServerEntry], whole: bool, host: &mut impl Host);
    /// Applies a server's report.
    fn reported(&mut self, server: Server, report: Report);
    /// Sets or clears the suspicion that a server is silent.
    fn set_suspicion(&mut self, server: Server, suspicion: Option<Suspicion>);
    /// Sets how many set-ups the fleet's limit allows at a server; returns how many conversations were held
    /// back by the previous limit alone.
    fn set_fleet_limit(&mut self, _server: Server, _attempts: Option<u32>) -> u32 {
        0
    }
    /// Sets whether a tenant's next conversation is within its share, where the fleet knows.
    fn set_within_share(&mut self, _tenant: usize, _within: Option<bool>) {}
    /// Accepts a call and returns its handle.
    fn accept(&mut self, call: &Call) -> Handle;
    /// Queues an accepted conversation for its first decision; [`Decisions::run_pending`] sends its first attempt,
    /// holds it or gives it up.
    fn enqueue(&mut self, handle: Handle);
    /// Reports that a server answered the conversation's attempt.
    fn established(&mut self, handle: Handle);
    /// Reports that the answer to an established conversation's caller is held back until it is recorded.
    fn answer_held(&mut self, handle: Handle);
    /// Reports that a held answer was sent.
    fn answer_sent(&mut self, handle: Handle);
    /// Reports the end of an attempt or of an established conversation; `finished` if the caller needs no
    /// further answer.
    fn attempt_ended(&mut self, handle: Handle, ending: Ending, finished: bool, host: &mut impl Host);
    /// Reports that the caller hung up before an answer.
    fn caller_gone(&mut self, handle: Handle);
    /// Runs pending decisions and sends the resulting requests to `host`.
    fn run_pending(&mut self, host: &mut impl Host);
    /// The module's view of a server, if it has one.
    fn view(&self, server: Server) -> Option<ServerView>;
    /// The differences under proposed terms, where such terms are evaluated.
    fn differences(&self) -> Option<Differences> {
        None
    }
}

impl Decisions for Proxy {
    fn advance_clock(&mut self, now: f64) {
        self.advance_clock(now);
    }
    fn update_server_list(&mut self, lines: &[ServerEntry], whole: bool, host: &mut impl Host) {
        self.update_server_list(lines, whole, host);
    }
    fn reported(&mut self, server: Server, report: Report) {
        self.reported(server, report);
    }
    fn set_suspicion(&mut self, server: Server, suspicion: Option<Suspicion>) {
        self.set_suspicion(server, suspicion);
    }
    fn set_fleet_limit(&mut self, server: Server, shots: Option<u32>) -> u32 {
        self.set_fleet_limit(server, shots)
    }
    fn set_within_share(&mut self, tenant: usize, within: Option<bool>) {
        self.set_within_share(tenant, within);
    }
    fn accept(&mut self, call: &Call) -> Handle {
        self.accept(call)
    }
    fn enqueue(&mut self, handle: Handle) {
        handle.enqueue(self);
    }
    fn established(&mut self, handle: Handle) {
        handle.established(self);
    }
    fn answer_held(&mut self, handle: Handle) {
        handle.answer_held(self);
    }
    fn answer_sent(&mut self, handle: Handle) {
        handle.answer_sent(self);
    }
    fn attempt_ended(&mut self, handle: Handle, ending: Ending, finished: bool, host: &mut impl Host) {
        handle.attempt_ended(self, ending, finished, host);
    }
    fn caller_gone(&mut self, handle: Handle) {
        handle.caller_gone(self);
    }
    fn run_pending(&mut self, host: &mut impl Host) {
        self.run_pending(host);
    }
    fn view(&self, server: Server) -> Option<ServerView> {
        self.view(server)
    }
}
