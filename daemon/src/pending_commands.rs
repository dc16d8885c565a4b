//! Operators' commands that wait for a decision. Each gets its outcome, or an error if it was not decided in
//! time.

use std::collections::HashMap;

use border::decided::CommandOutcome;
use border::{BorderProxy, Decisions};
use tokio::sync::oneshot::Sender;

use crate::clock::unix_ms;
use crate::control::CommandRequest;

/// How long a command may wait for its decision, in milliseconds.
const DECISION_TIMEOUT_MS: f64 = 10_000.0;

/// Commands waiting for their outcome: by request number, where to reply and until when.
#[derive(Default)]
pub struct PendingCommands {
    waiting: HashMap<u64, (Sender<Result<CommandOutcome, String>>, f64)>,
}

impl PendingCommands {
    /// Submits a command, and replies at once if it is not to be decided by the council.
    pub fn submit(
        &mut self,
        now: f64,
        proxy: &mut BorderProxy<impl Decisions>,
        request: &CommandRequest,
        reply: Sender<Result<CommandOutcome, String>>,
    ) {
        match proxy.submit_command(now, unix_ms(), &request.command, request.dry_run) {
            Ok(Ok(id)) => drop(self.waiting.insert(id, (reply, now + DECISION_TIMEOUT_MS))),
            Ok(Err(outcome)) => drop(reply.send(Ok(outcome))),
            Err(why) => drop(reply.send(Err(why))),
        }
    }

    /// Replies to commands that were decided or have timed out.
    pub fn deliver_outcomes(&mut self, now: f64, proxy: &mut BorderProxy<impl Decisions>) {
        while let Some((id, outcome)) = proxy.next_command_outcome() {
            if let Some((reply, _)) = self.waiting.remove(&id) {
                let _ = reply.send(Ok(outcome));
            }
        }
        for (id, (reply, _)) in self.waiting.extract_if(|_, (_, deadline)| now >= *deadline) {
            proxy.forget_command(id);
            let why = "not decided within 10 s: no majority is reachable; it may still be decided later";
            let _ = reply.send(Err(why.to_owned()));
        }
    }
}
