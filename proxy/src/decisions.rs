//! What a border proxy asks its decisions. [`frostthread::Proxy`] is the one that users run; baselines and
//! deliberately broken ones, which live in the laboratory, stand in for it there.

use frostthread::Proxy;
use frostthread::host::{Call, Ending, Handle, Host, Report, Server, ServerEntry, ServerView, Suspicion};

use crate::differences::Differences;

/// The calls of [`frostthread::Proxy`] and its handles; see there for each.
pub trait Decisions {
    fn advance_clock(&mut self, now: f64);
    fn update_server_list(&mut self, lines: &[ServerEntry], whole: bool, host: &mut impl Host);
    fn reported(&mut self, server: Server, report: Report);
    fn set_suspicion(&mut self, server: Server, suspicion: Option<Suspicion>);
    /// A limit of the whole fleet; gives how many conversations the former word alone kept away.
    fn set_fleet_limit(&mut self, _server: Server, _shots: Option<u32>) -> u32 {
        0
    }
    /// Whether a tenant's next conversation is within its share, where the fleet knows.
    fn set_within_share(&mut self, _tenant: usize, _within: Option<bool>) {}
    fn accept(&mut self, call: &Call) -> Handle;
    fn place(&mut self, handle: Handle);
    fn established(&mut self, handle: Handle);
    fn ended(&mut self, handle: Handle, ending: Ending, finished: bool, host: &mut impl Host);
    fn caller_gone(&mut self, handle: Handle);
    fn run_pending(&mut self, host: &mut impl Host);
    fn view(&self, server: Server) -> Option<ServerView>;
    /// Where other terms would have decided otherwise, if any are watched.
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
    fn place(&mut self, handle: Handle) {
        handle.enqueue(self);
    }
    fn established(&mut self, handle: Handle) {
        handle.established(self);
    }
    fn ended(&mut self, handle: Handle, ending: Ending, finished: bool, host: &mut impl Host) {
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
