//! Operators that wait for a decision: each is told what came of it, or that it was not decided in time.

use std::collections::HashMap;

use border::decided::CommandOutcome;
use border::{BorderProxy, Decisions};
use tokio::sync::oneshot::Sender;

use crate::clock::unix;
use crate::control::CommandRequest;

/// How long an operator waits, in milliseconds.
const PATIENCE: f64 = 10_000.0;

#[derive(Default)]
pub struct Wishes {
    waiting: HashMap<u64, (Sender<Result<CommandOutcome, String>>, f64)>,
}

impl Wishes {
    pub fn ask(
        &mut self,
        now: f64,
        proxy: &mut BorderProxy<impl Decisions>,
        wished: &CommandRequest,
        to: Sender<Result<CommandOutcome, String>>,
    ) {
        match proxy.submit_command(now, unix(), &wished.command, wished.dry_run) {
            Ok(Ok(request)) => drop(self.waiting.insert(request, (to, now + PATIENCE))),
            Ok(Err(answer)) => drop(to.send(Ok(answer))),
            Err(why) => drop(to.send(Err(why))),
        }
    }

    pub fn answer(&mut self, now: f64, proxy: &mut BorderProxy<impl Decisions>) {
        while let Some((request, answer)) = proxy.next_command_outcome() {
            if let Some((to, _)) = self.waiting.remove(&request) {
                let _ = to.send(Ok(answer));
            }
        }
        for (request, (to, _)) in self.waiting.extract_if(|_, (_, until)| now >= *until) {
            proxy.forget_command(request);
            let why = "not decided in ten seconds: no majority is heard; it may still be";
            let _ = to.send(Err(why.to_owned()));
        }
    }
}
