//! The command `frostthread records`: joins and rates conversations from the journals of one or more proxies.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::{Args, Subcommand};
use records::entry::{Outcome, Try};
use records::join::{self, Conversation};
use records::ledger::Ledger;
use records::rating::{Plan, Plans, Rated};
use serde::Serialize;
use tabled::{Table, Tabled, settings::Style};

use crate::journal;

// Not a doc comment: clap would print it as help.
// The subcommands of `frostthread records`.
#[derive(Subcommand)]
pub enum RecordsCommand {
    /// Print conversations, one JSON object per line
    Show(Selection),
    /// Print counts and amounts by grade and tenant
    Sum(Selection),
}

// Not a doc comment: clap would print it as help.
// Which conversations are read, and how they are rated.
#[derive(Args)]
pub struct Selection {
    /// Journal folders, one per proxy
    #[arg(required = true)]
    folders: Vec<PathBuf>,
    /// Rating plans
    #[arg(long)]
    plan: Vec<PathBuf>,
    /// A caller who dials again within this time continues the same conversation
    #[arg(long, default_value = "10 s", value_parser = humantime::parse_duration)]
    redial_gap: std::time::Duration,
    /// Only conversations with this calling or called number
    #[arg(long)]
    number: Option<String>,
    #[arg(long)]
    tenant: Option<String>,
}

/// A conversation as printed: its last try, and what all tries come to.
#[derive(Serialize)]
struct PrintedConversation<'a> {
    #[serde(flatten)]
    last: &'a Try,
    first_at: u64,
    tries: usize,
    rated: Rated,
}

impl Selection {
    fn read(&self) -> Result<(Vec<Conversation>, Plans)> {
        let mut plans = Plans::default();
        for file in &self.plan {
            let path_text = || file.display().to_string();
            let source = fs::read_to_string(file).with_context(path_text)?;
            Plan::read(&source).and_then(|plan| plans.add(plan)).with_context(path_text)?;
        }
        let mut tries = Vec::new();
        for folder in &self.folders {
            let mut ledger = Ledger::default();
            for segment in journal::segments(std::slice::from_ref(folder))? {
                journal::read(&segment)?.into_iter().for_each(|entry| ledger.apply(entry));
            }
            let (of_folder, orphans) = ledger.tries();
            if orphans > 0 {
                eprintln!("{}: {orphans} entries whose first entry is missing", folder.display());
            }
            tries.extend(of_folder);
        }
        let mut conversations = join::join(tries, self.redial_gap.as_millis() as u64);
        conversations.retain(|conversation| {
            let last = conversation.last();
            self.number.as_ref().is_none_or(|number| *number == last.calling || *number == last.called)
                && self.tenant.as_ref().is_none_or(|tenant| *tenant == last.tenant)
        });
        Ok((conversations, plans))
    }
}

/// Runs a subcommand.
pub fn execute(command: &RecordsCommand) -> Result<()> {
    match command {
        RecordsCommand::Show(selection) => {
            let (conversations, plans) = selection.read()?;
            for conversation in &conversations {
                let (first_at, tries) = (conversation.first_opened_at(), conversation.tries.len());
                let printed = PrintedConversation {
                    last: conversation.last(),
                    first_at,
                    tries,
                    rated: plans.rate(conversation),
                };
                println!("{}", serde_json::to_string(&printed)?);
            }
        }
        RecordsCommand::Sum(selection) => {
            let (conversations, plans) = selection.read()?;
            print_sums(&conversations, &plans);
        }
    }
    Ok(())
}

fn print_sums(conversations: &[Conversation], plans: &Plans) {
    #[derive(Tabled, Default)]
    struct Row {
        tenant: String,
        grade: String,
        conversations: u64,
        tries: u64,
        stood: u64,
        cut: u64,
        refused: u64,
        failed: u64,
        left: u64,
        lost: u64,
        amount: u64,
        unrated: u64,
    }
    let mut rows: BTreeMap<(&str, &str), Row> = BTreeMap::new();
    for conversation in conversations {
        let (last, rated) = (conversation.last(), plans.rate(conversation));
        let row = rows.entry((&last.tenant, &last.grade)).or_default();
        (row.tenant, row.grade) = (last.tenant.clone(), last.grade.clone());
        row.conversations += 1;
        row.tries += conversation.tries.len() as u64;
        row.amount += rated.amount;
        row.unrated += u64::from(!rated.known);
        *(match conversation.outcome() {
            Outcome::Completed => &mut row.stood,
            Outcome::Cut => &mut row.cut,
            Outcome::Refused => &mut row.refused,
            Outcome::Failed => &mut row.failed,
            Outcome::CallerGone => &mut row.left,
            Outcome::Lost => &mut row.lost,
        }) += 1;
    }
    println!("{}", Table::new(rows.into_values()).with(Style::sharp()));
}
