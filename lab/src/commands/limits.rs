//! `limits`: one limit of a whole fleet under faults.

use std::process::ExitCode;

use clap::{Args, ValueEnum};
use lab::drills::permits::{self, Case, Fault, Outcome, Scheme};

/// The cases to play.
#[derive(Args)]
pub struct LimitsArguments {
    #[arg(long, default_value_t = 40)]
    members: usize,
    /// Set-ups a second over all of them
    #[arg(long, default_value_t = 80.0)]
    rate: f64,
    /// Demand over the rate
    #[arg(long, num_args = 1.., default_values_t = [0.7, 1.5])]
    load: Vec<f64>,
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// How the limit is held
    #[arg(long, value_enum, num_args = 1.., default_values_t = [Scheme::Alone, Scheme::Lent])]
    way: Vec<Scheme>,
    /// Only these faults
    #[arg(long, value_enum, num_args = 1..)]
    fault: Vec<Fault>,
}

fn name_of(value: &impl ValueEnum) -> String {
    value.to_possible_value().map_or(String::new(), |value| value.get_name().to_owned())
}

/// Plays each case with several seeds; fails and prints the first case if a window exceeded the limit.
pub fn run(arguments: &LimitsArguments) -> ExitCode {
    let every_fault = Fault::value_variants();
    let faults = if arguments.fault.is_empty() { every_fault } else { &arguments.fault };
    let mut broken = None;
    for &load in &arguments.load {
        for &fault in faults {
            for &way in &arguments.way {
                let &LimitsArguments { members, rate, .. } = arguments;
                let case = Case { way, fault, members, rate, load, seed: 0 };
                let first_broken = play(case, arguments.seeds);
                broken = broken.or(first_broken);
            }
        }
    }
    match broken {
        Some(broken) => {
            println!("BROKEN: {broken}");
            ExitCode::FAILURE
        }
        None => ExitCode::SUCCESS,
    }
}

/// Plays one case with several seeds and prints its line; returns the first window that exceeded the limit.
fn play(case: Case, seeds: u64) -> Option<String> {
    let (fault, way) = (name_of(&case.fault), name_of(&case.way));
    let outcomes: Vec<Outcome> = (0..seeds).map(|seed| permits::run(Case { seed, ..case })).collect();
    let used = |pick: fn(f64, f64) -> f64, from| outcomes.iter().map(|o| o.used).fold(from, pick);
    let (min_used, max_used) = (used(f64::min, f64::INFINITY), used(f64::max, 0.0));
    let mean = outcomes.iter().map(|o| o.used).sum::<f64>() / outcomes.len().max(1) as f64;
    let max_in_window = outcomes.iter().map(|o| o.max_in_window).max().unwrap_or(0);
    let bytes = outcomes.iter().map(|o| o.bytes).max().unwrap_or(0);
    let over = max_in_window.saturating_sub(case.rate as usize);
    println!(
        "load {}, {fault}, {way}: over by {over}; used {mean:.3} ({min_used:.3} to {max_used:.3}); \
         {bytes} bytes",
        case.load
    );
    let (seed, first) = (0..).zip(&outcomes).find(|(_, o)| o.max_in_window > case.rate as usize)?;
    let Outcome { max_in_window, window_end, .. } = first;
    Some(format!(
        "{way}, {fault}, seed {seed}: {max_in_window} set-ups in the window that ends at {window_end:.0} ms"
    ))
}
