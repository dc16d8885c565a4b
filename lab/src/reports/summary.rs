//! The result of a drill: the rules with counts, and the share of earnings that was answered within the
//! quoted time, next to what capacity alone allowed.

use hdrhistogram::Histogram;
use serde::Serialize;
use tabled::{Table, Tabled, settings::Style};

use crate::drill::{Drill, ReplacementMethod};
use crate::drills::cluster::TestCluster;
use crate::drills::sockets::Cost;
use crate::witness::Verdict;

/// Names of the five rules in a summary.
pub const RULES: [&str; 5] =
    ["one answer, in time", "never two shots", "drains kept", "cold not pushed over", "release awaited"];

/// A rule by its name, with its verdict.
#[derive(Clone, Debug, Serialize)]
pub struct Rule {
    pub rule: &'static str,
    #[serde(flatten)]
    pub verdict: Verdict,
}

/// The result of a drill.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub drill: String,
    pub routing: String,
    pub virtual_clock: bool,
    pub seed: u64,
    pub proxies: usize,
    pub servers: usize,
    pub people: usize,
    pub tries: usize,
    pub rules: Vec<Rule>,
    pub unknowable: u64,
    pub cold_peak: f64,
    /// Earnings answered within the quoted time over earnings offered; and the same with later answers.
    pub served: f64,
    pub earned: f64,
    /// Share of earnings that capacity alone allowed.
    pub bound: f64,
    pub worst_ten_seconds: f64,
    /// Share of earnings served, by grade and by tenant.
    pub grades: Vec<(String, f64)>,
    pub tenants: Vec<(String, f64)>,
    pub cut: usize,
    pub setups: u64,
    pub setups_again: u64,
    /// From a caller's first try until its answer, in milliseconds.
    pub delay_median: f64,
    pub delay_p99: f64,
    /// Earnings offered and served, by second of the first try.
    pub by_second: Vec<(f64, f64)>,
    #[serde(rename = "fallen_servers")]
    pub overloaded_servers: usize,
    /// Attempts sent to servers that had been silent for five seconds.
    #[serde(rename = "late_shots")]
    pub late_attempts: u64,
    pub gossip: Option<GossipSummary>,
    /// On sockets, the mean of the proxies that ran throughout: milliseconds of processor time, and bytes of
    /// memory at the end. A virtual clock cannot measure these.
    pub cost: Option<(f64, f64)>,
    /// If the fleet has a limit on each server: set-ups allowed per second, the most in any second, and the
    /// violations.
    pub limit: Option<(usize, usize, Verdict)>,
    /// If there was a release.
    pub release: Option<ReleaseSummary>,
    /// Conversations per second that all servers could carry, by second.
    pub capacity: Vec<f64>,
}

/// The result of a release, as observed at callers' sockets and processes.
#[derive(Clone, Debug, Serialize)]
pub struct ReleaseSummary {
    pub by: ReplacementMethod,
    /// Proxies that may be unavailable at once, the most that were, the number of checks that found more,
    /// and the first of those.
    pub allowed: usize,
    pub most: usize,
    pub broken: u64,
    #[serde(rename = "told")]
    pub examples: Vec<String>,
    /// How many run something else than at the start.
    pub replaced: usize,
    /// Seconds from the start until all were replaced, if they were.
    pub took: Option<f64>,
}

/// The result of gossip, as observed from outside; times in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct GossipSummary {
    pub members: usize,
    #[serde(rename = "liars")]
    pub faulty_members: usize,
    #[serde(rename = "liars_borne")]
    pub max_faulty: usize,
    pub loss: f64,
    /// From when a server became silent until proxies suspected it: median, 99th percentile and maximum.
    pub know_median: Option<f64>,
    pub know_p99: Option<f64>,
    pub know_worst: Option<f64>,
    /// Pairs of a proxy and a silent server that it never suspected.
    #[serde(rename = "unaware")]
    pub undetected: usize,
    /// Pairs of a proxy and a healthy server that it suspected.
    pub wrong: usize,
    /// The most bytes that any member sent in any second.
    pub most_bytes: usize,
    pub cap: f64,
    pub mean_bytes: f64,
}

impl GossipSummary {
    fn of(cluster: &TestCluster) -> Self {
        let (drill, stats) = (&cluster.drill, &cluster.gossip);
        let detection_times = stats.detection_times();
        let seconds = cluster.capacity.len().max(1) as f64;
        Self {
            members: drill.gossip_members(),
            faulty_members: drill.gossip.faulty_members,
            max_faulty: drill.gossip.max_faulty,
            loss: drill.gossip.loss,
            know_median: detection_times.get(detection_times.len() / 2).copied(),
            know_p99: detection_times.get(detection_times.len() * 99 / 100).copied(),
            know_worst: detection_times.last().copied(),
            undetected: drill.fleet.proxies * stats.silent_since.len() - detection_times.len(),
            wrong: stats.false_suspicions.len(),
            most_bytes: stats.max_bytes_per_second,
            cap: drill.gossip.max_bytes_per_second,
            mean_bytes: stats.bytes as f64 / seconds / drill.gossip_members() as f64,
        }
    }

    /// Whether the byte limit held, and no healthy server was suspected.
    pub fn passed(&self) -> bool {
        self.wrong == 0 && self.most_bytes as f64 <= self.cap
    }
}

/// The longest delay that reports distinguish from longer ones, in milliseconds.
const MAX_DELAY_MS: u64 = 600_000;

/// An empty histogram of set-up delays in milliseconds.
pub fn delay_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_DELAY_MS, 3).expect("fixed bounds")
}

impl Summary {
    pub fn of(cluster: &TestCluster, routing: &str, virtual_clock: bool) -> Self {
        let drill = &cluster.drill;
        let seconds = drill.seconds.ceil() as usize;
        let mut by_second = vec![(0.0, 0.0); seconds.max(1)];
        let mut grades = vec![(0.0, 0.0); drill.grades.len()];
        let mut tenants = vec![(0.0, 0.0); drill.tenants.len()];
        let mut demand: Vec<Vec<f64>> = vec![Vec::new(); by_second.len()];
        let (mut offered, mut served, mut earned) = (0.0, 0.0, 0.0);
        let mut delays = delay_histogram();
        let mut cut = 0;
        for person in &cluster.callers.people {
            let (worth, got) = cluster.callers.earned(drill, person);
            let in_time = if got == worth { got } else { 0.0 };
            let second = ((person.first_at / 1000.0) as usize).min(by_second.len() - 1);
            for slot in [&mut by_second[second], &mut grades[person.grade], &mut tenants[person.tenant]] {
                slot.0 += worth;
                slot.1 += in_time;
            }
            demand[second].push(worth);
            (offered, served, earned) = (offered + worth, served + in_time, earned + got);
            cut += usize::from(person.cut);
            if let Some(at) = person.answered_at {
                delays.saturating_record((at - person.first_at).max(1.0) as u64);
            }
        }
        let part = |(offered, served): &(f64, f64)| if *offered > 0.0 { served / offered } else { 1.0 };
        let ten = |window: &[(f64, f64)]| {
            part(&window.iter().fold((0.0, 0.0), |sum, slot| (sum.0 + slot.0, sum.1 + slot.1)))
        };
        let named = |names: Vec<&String>, slots: &[(f64, f64)]| {
            names.into_iter().cloned().zip(slots.iter().map(part)).collect()
        };
        let rules = RULES.iter().zip(&cluster.checker.verdicts);
        Self {
            drill: drill.name.clone(),
            routing: routing.to_owned(),
            virtual_clock,
            seed: drill.seed,
            proxies: drill.fleet.proxies,
            servers: drill.fleet.servers,
            people: cluster.callers.people.len(),
            tries: cluster.callers.tries.iter().filter(|t| t.started_at.is_finite()).count(),
            rules: rules.map(|(rule, verdict)| Rule { rule, verdict: verdict.clone() }).collect(),
            unknowable: cluster.checker.unjudged,
            cold_peak: cluster.checker.cold_peak,
            served: served / offered,
            earned: earned / offered,
            bound: bound(drill, &demand, &cluster.capacity) / offered,
            worst_ten_seconds: by_second.windows(10.min(by_second.len())).map(ten).fold(1.0, f64::min),
            grades: named(drill.grades.iter().map(|g| &g.name).collect(), &grades),
            tenants: named(drill.tenants.iter().map(|t| &t.name).collect(), &tenants),
            cut,
            setups: cluster.checker.setups,
            setups_again: cluster.checker.copies,
            delay_median: delays.value_at_quantile(0.5) as f64,
            delay_p99: delays.value_at_quantile(0.99) as f64,
            by_second,
            late_attempts: cluster.gossip.late_attempts,
            gossip: drill.gossip.on.then(|| GossipSummary::of(cluster)),
            cost: None,
            limit: (drill.gossip.limit > 0).then(|| {
                (drill.gossip.limit, cluster.checker.max_in_window, cluster.checker.limit_verdict.clone())
            }),
            release: drill.release.zip(cluster.availability.as_ref()).map(|(play, availability)| {
                ReleaseSummary {
                    by: play.method,
                    allowed: play.max_unavailable(drill.fleet.proxies),
                    most: availability.max_unavailable,
                    broken: availability.broken,
                    examples: availability.examples.clone(),
                    replaced: availability.replaced,
                    took: availability.replaced_at.map(|at| at / 1000.0 - play.at),
                }
            }),
            capacity: cluster.capacity.clone(),
            overloaded_servers: cluster.servers.iter().filter(|s| s.central.overloaded).count(),
        }
    }

    pub fn broken(&self) -> u64 {
        let limited = self.limit.as_ref().map_or(0, |(.., limited)| limited.broken);
        // A release that did not replace all proxies is a violation too.
        let released = self.release.as_ref().map_or(0, |of| of.broken + u64::from(of.took.is_none()));
        self.rules.iter().map(|rule| rule.verdict.broken).sum::<u64>() + limited + released
    }

    /// Adds the mean cost of the proxies that ran throughout, if any did.
    pub fn with_cost(self, costs: &[Cost]) -> Self {
        let mean = |of: fn(&Cost) -> f64| costs.iter().map(of).sum::<f64>() / costs.len() as f64;
        let cost = (!costs.is_empty()).then(|| (mean(|cost| cost.cpu), mean(|cost| cost.memory[1])));
        Self { cost, ..self }
    }

    /// Prints the rules with their counts, and the first violations in full.
    pub fn print_rules(&self) {
        if let Some((limit, most, limited)) = &self.limit {
            println!("limit of the fleet: at most {most} of {limit} set-ups in any second at any server");
            limited.examples.iter().for_each(|example| println!("BROKEN: {example}"));
        }
        if let Some(release) = &self.release {
            let took = release.took.map_or_else(
                || format!("{} replaced at the end", release.replaced),
                |took| format!("all replaced in {took:.1} s"),
            );
            println!(
                "release {:?}: {took}; at most {} of {} unavailable at once",
                release.by, release.most, release.allowed
            );
            release.examples.iter().for_each(|example| println!("BROKEN: {example}"));
        }
        #[derive(Tabled)]
        struct Row {
            rule: &'static str,
            checked: u64,
            broken: u64,
        }
        let rows = self.rules.iter().map(|r| Row {
            rule: r.rule,
            checked: r.verdict.checked,
            broken: r.verdict.broken,
        });
        println!("{}", Table::new(rows).with(Style::sharp()));
        for rule in &self.rules {
            for example in &rule.verdict.examples {
                println!("BROKEN, {}: {example}", rule.rule);
            }
        }
    }
}

/// Earnings that capacity allows, second by second, highest earnings first. Nothing is carried over from one
/// second to the next, and a set-up under way when its server fails counts as served: an estimate, not a
/// proof.
fn bound(drill: &Drill, demand: &[Vec<f64>], capacity: &[f64]) -> f64 {
    let all = drill.load.rate / drill.load.of_capacity;
    let second = |(i, worths): (usize, &Vec<f64>)| {
        let mut worths = worths.clone();
        worths.sort_by(|a, b| b.total_cmp(a));
        let room = capacity.get(i).copied().unwrap_or(all);
        worths.into_iter().take(room.ceil() as usize).sum::<f64>()
    };
    demand.iter().enumerate().map(second).sum()
}

/// Prints the same drill's results for each routing.
pub fn print_comparison(summaries: &[Summary]) {
    #[derive(Tabled)]
    struct Row {
        routing: String,
        served: String,
        with_late: String,
        bound: String,
        worst_10_s: String,
        worst_grade: String,
        delay_p50: String,
        delay_p99: String,
        set_ups: u64,
        cut: usize,
        #[tabled(rename = "fallen")]
        overloaded: usize,
        rules_broken: u64,
    }
    let percent = |part: f64| format!("{:.1}%", part * 100.0);
    let rows = summaries.iter().map(|s| Row {
        routing: s.routing.clone(),
        served: percent(s.served),
        with_late: percent(s.earned),
        bound: percent(s.bound),
        worst_10_s: percent(s.worst_ten_seconds),
        worst_grade: percent(s.grades.iter().map(|g| g.1).fold(1.0, f64::min)),
        delay_p50: format!("{:.0} ms", s.delay_median),
        delay_p99: format!("{:.0} ms", s.delay_p99),
        set_ups: s.setups,
        cut: s.cut,
        overloaded: s.overloaded_servers,
        rules_broken: s.broken(),
    });
    println!("{}", Table::new(rows).with(Style::sharp()));
}

/// Prints how well proxies detected silent servers, with gossip and without.
pub fn print_gossip(summaries: &[Summary]) {
    #[derive(Tabled)]
    struct Row {
        routing: String,
        gossip: String,
        know_p50: String,
        know_p99: String,
        know_worst: String,
        #[tabled(rename = "unaware")]
        undetected: String,
        wrong: String,
        most_bytes_a_second: String,
        mean: String,
        #[tabled(rename = "late_shots")]
        late_attempts: u64,
        served: String,
    }
    let seconds = |ms: Option<f64>| ms.map_or("-".to_owned(), |ms| format!("{:.1} s", ms / 1000.0));
    let rows = summaries.iter().map(|s| {
        let of = |show: &dyn Fn(&GossipSummary) -> String| s.gossip.as_ref().map_or("-".to_owned(), show);
        Row {
            routing: s.routing.clone(),
            gossip: of(&|g| {
                format!(
                    "{} members, {} faulty, {} tolerated, {:.0}% lost",
                    g.members,
                    g.faulty_members,
                    g.max_faulty,
                    g.loss * 100.0
                )
            }),
            know_p50: of(&|g| seconds(g.know_median)),
            know_p99: of(&|g| seconds(g.know_p99)),
            know_worst: of(&|g| seconds(g.know_worst)),
            undetected: of(&|g| g.undetected.to_string()),
            wrong: of(&|g| g.wrong.to_string()),
            most_bytes_a_second: of(&|g| format!("{} of {:.0}", g.most_bytes, g.cap)),
            mean: of(&|g| format!("{:.0}", g.mean_bytes)),
            late_attempts: s.late_attempts,
            served: format!("{:.1}%", s.served * 100.0),
        }
    });
    println!("{}", Table::new(rows).with(Style::sharp()));
}
