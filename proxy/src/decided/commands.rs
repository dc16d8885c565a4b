//! Commands of operators to the council, and their outcomes.

use agree::{Council, Machine, Outcome, Refusal, Voter};
use gossip::Node;
use outs::{AVAILABILITY_PART, Command, Kind, Verdict, drains, grants, releases};
use serde::{Deserialize, Serialize};

use super::{DecidedState, RETRY_INTERVALS};
use crate::pool::PoolList;

/// A command of an operator to the council.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorCommand {
    /// Sends no new set-ups to a central server.
    Drain { server: String, why: String },
    /// Ends the drain of a central server.
    Undrain { server: String },
    /// Adds a voter to the council. `generation` is required if no member of the council knows the proxy's.
    Add {
        proxy: String,
        #[serde(rename = "life")]
        generation: Option<u64>,
    },
    /// Removes a voter from the council.
    Remove { proxy: String },
    /// Stages a release. `sum` is the BLAKE3 hash of its file, in hexadecimal digits.
    Stage { kind: Kind, sum: String, why: String },
    /// Starts the staged release.
    Start,
    /// Stops the release that is under way.
    Halt { why: String },
    /// Takes the release back.
    Back,
    /// Declares that an unavailable proxy never returns.
    WriteOff { proxy: String, why: String },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandOutcome {
    /// Decided, with the number of the decision.
    Done { decision: u64 },
    /// It was in effect already.
    Already,
    /// Refused, with the reason.
    Refused { why: String },
}

fn refusal_text(refusal: Refusal) -> String {
    match refusal {
        Refusal::NotOneVoter => "a council changes by one voter at a time, and keeps at least one",
        Refusal::ChangeUnderWay => "the previous change is not decided or not yet proved to all: try again",
        Refusal::NoMajority => "too few members of that council would vote now: it would have no majority",
        Refusal::TooLong => "the command is longer than a decision may be",
        Refusal::TooMany => "too many commands are pending",
    }
    .to_owned()
}

impl DecidedState {
    /// The number of the current or last release.
    fn release(&self) -> Result<u64, String> {
        let release = self.agreement.machine().releases.current();
        release.map(|release| release.number).ok_or_else(|| "no release was staged".to_owned())
    }

    /// The proposal for a command, or the reason why there is none.
    fn proposal_for(
        &self,
        command: &OperatorCommand,
        node: &Node,
        pool: &PoolList,
        unix: f64,
    ) -> Result<Proposal, String> {
        let id = |name: &str| {
            node.roster_ids()
                .find(|&id| node.name(id) == Some(name))
                .ok_or_else(|| format!("{name}: not in the roster"))
        };
        let standing = self.agreement.status(0.0);
        Ok(match command {
            OperatorCommand::Undrain { server } => {
                Proposal::Availability(Command::Drains(drains::Command::Undrain { server: server.clone() }))
            }
            OperatorCommand::Stage { kind, sum, why } => {
                Proposal::Availability(Command::Releases(releases::Command::Stage {
                    kind: *kind,
                    sum: parse_hash(sum).ok_or_else(|| format!("{sum}: 64 hexadecimal digits wanted"))?,
                    by: self.name.clone(),
                    why: why.clone(),
                    unix_ms: unix as u64,
                }))
            }
            OperatorCommand::Start => Proposal::Availability(Command::Releases(releases::Command::Start {
                release: self.release()?,
                proxies: node.roster_ids().count() as u16,
            })),
            OperatorCommand::Halt { why } => {
                let (release, why) = (self.release()?, why.clone());
                Proposal::Availability(Command::Releases(releases::Command::Halt { release, why }))
            }
            OperatorCommand::Back => Proposal::Availability(Command::Releases(releases::Command::RollBack {
                release: self.release()?,
            })),
            OperatorCommand::WriteOff { proxy, why } => {
                let (proxy, why) = (id(proxy)?, why.clone());
                Proposal::Availability(Command::Grants(grants::Command::WriteOff { proxy, why }))
            }
            OperatorCommand::Drain { server, why } => {
                let listed =
                    pool.server_by_name(server).ok_or_else(|| format!("{server}: not on the pool list"))?;
                let (of, listed_out) = pool.count_listed_and_draining(pool.pool(listed));
                Proposal::Availability(Command::Drains(drains::Command::Drain {
                    server: server.clone(),
                    pool: pool.pool(listed),
                    max_unavailable: drains::max_unavailable(self.terms.pool_part, of),
                    listed_unavailable: listed_out as u16,
                    by: self.name.clone(),
                    why: why.clone(),
                    unix_ms: unix as u64,
                }))
            }
            OperatorCommand::Remove { proxy } => Proposal::Council(standing.council.without(id(proxy)?)),
            OperatorCommand::Add { proxy, generation: life } => {
                let id = id(proxy)?;
                let life = life.or(standing.unadmitted_disks.get(&id).copied());
                let unheard = || {
                    format!(
                        "{proxy}: the number of its disk is not known here; `council state` on that proxy shows it"
                    )
                };
                Proposal::Council(standing.council.with(Voter { id, disk_id: life.ok_or_else(unheard)? }))
            }
        })
    }

    /// The outcome of a command by what this proxy knows now, without proposing it.
    pub fn evaluate_command(
        &self,
        command: &OperatorCommand,
        node: &Node,
        pool: &PoolList,
        unix: f64,
    ) -> Result<CommandOutcome, String> {
        Ok(match self.proposal_for(command, node, pool, unix)? {
            Proposal::Availability(proposed) => {
                let answer =
                    self.agreement.machine().clone().decide(0, AVAILABILITY_PART, &proposed.encode());
                let answer = answer.map_err(|unknown| unknown.to_string())?;
                Verdict::decode(&answer)
                    .map_or(CommandOutcome::Already, |verdict| verdict_outcome(0, &verdict))
            }
            Proposal::Council(council) if council.follows(&self.agreement.status(0.0).council) => {
                CommandOutcome::Done { decision: 0 }
            }
            Proposal::Council(_) => CommandOutcome::Refused { why: refusal_text(Refusal::NotOneVoter) },
        })
    }

    /// Proposes a command; returns the number of its outcome.
    pub fn submit_command(
        &mut self,
        now: f64,
        unix: f64,
        command: &OperatorCommand,
        node: &Node,
        pool: &PoolList,
    ) -> Result<u64, String> {
        match self.proposal_for(command, node, pool, unix)? {
            Proposal::Availability(proposed) => {
                self.agreement.propose(now, AVAILABILITY_PART, proposed.encode())
            }
            Proposal::Council(council) => self.agreement.propose_council(now, council),
        }
        .map_err(refusal_text)
    }

    /// Drops the outcome of a command.
    pub fn forget_command(&mut self, request: u64) {
        self.agreement.forget(request);
    }

    /// The next outcome of a command, with the command's number.
    pub fn next_outcome(&mut self) -> Option<(u64, CommandOutcome)> {
        let (request, outcome) = loop {
            let (request, outcome) = self.agreement.outcome()?;
            match self.pending.remove(&request) {
                // A command of this proxy that is still wanted, for example after a refusal, is proposed
                // again later.
                Some(command) => {
                    self.retry_later.push((command, self.next_turn_at + RETRY_INTERVALS * self.interval))
                }
                None => break (request, outcome),
            }
        };
        let answer = match outcome {
            Outcome::Refused(why) => CommandOutcome::Refused { why: refusal_text(why) },
            Outcome::Done { by } => CommandOutcome::Done { decision: by },
            Outcome::Decided { index, answer } if answer.is_empty() => {
                CommandOutcome::Done { decision: index }
            }
            Outcome::Decided { index, answer } => match Verdict::decode(&answer) {
                Some(verdict) => verdict_outcome(index, &verdict),
                None => CommandOutcome::Done { decision: index },
            },
        };
        Some((request, answer))
    }
}

enum Proposal {
    Availability(Command),
    Council(Council),
}

fn parse_hash(digits: &str) -> Option<agree::Hash> {
    hex::decode(digits).ok()?.try_into().ok()
}

fn verdict_outcome(decision: u64, verdict: &Verdict) -> CommandOutcome {
    use {drains::Verdict as D, grants::Verdict as G, releases::Verdict as R};
    let why = match verdict {
        Verdict::Drains(D::Done) | Verdict::Grants(G::Done) | Verdict::Releases(R::Done) => {
            return CommandOutcome::Done { decision };
        }
        Verdict::Drains(D::Unchanged) | Verdict::Grants(G::NoEffect) | Verdict::Releases(R::NoEffect) => {
            return CommandOutcome::Already;
        }
        Verdict::Drains(D::Invalid) | Verdict::Grants(G::Invalid) | Verdict::Releases(R::Invalid) => {
            "a name or reason is empty or too long, or there are too many".to_owned()
        }
        Verdict::Drains(D::OverBudget { unavailable: out, max_unavailable: most, drained }) => {
            format!(
                "{out} servers of its pool would be unavailable, {most} may be; drained: {}",
                drained.join(" ")
            )
        }
        Verdict::Grants(G::Full { unavailable: out, max_unavailable: most }) => {
            format!("{out} proxies are unavailable, {most} may be")
        }
        Verdict::Releases(R::NotReady { ready, proxies }) => {
            format!(
                "{ready} of {proxies} proxies are ready, or one cannot run it: `release state` shows them"
            )
        }
        Verdict::Releases(R::AnotherInProgress { release }) => format!("release {release} is under way"),
    };
    CommandOutcome::Refused { why }
}
