//! The measured scenarios: what each runs at a given size and seed, and the values that it measures.

use anyhow::Result;

use super::cluster::{Cluster, ClusterTerms};
use super::figure::Subject;

/// Byte limit of gossip that is never reached, so that the bytes measured are those the mechanism needs.
const UNLIMITED_BYTES_PER_SECOND: f64 = 1_000_000.0;
/// Target: bytes per second at a proxy.
const TARGET_BYTES_PER_SECOND: f64 = 8_000.0;
/// Target: milliseconds of processor time per second at a proxy.
const TARGET_CPU_MS_PER_SECOND: f64 = 14.0;
/// Target: milliseconds until a change is in force everywhere.
const TARGET_IN_FORCE_MS: f64 = 4_000.0;
/// Byte limit of gossip in the settings of today's drills, in bytes per second.
const DRILL_BYTES_PER_SECOND: f64 = 16_000.0;
/// Milliseconds of virtual time in which the cluster settles before and after an event.
const SETTLE_MS: f64 = 20_000.0;
/// Number of decisions in a burst, and milliseconds between two of them.
const BURST_DECISIONS: usize = 50;
const BURST_INTERVAL_MS: f64 = 20.0;

/// Runs a scenario at one size and returns a value for each of its subjects.
pub type RunScenario = fn(size: usize, seed: u64) -> Result<Vec<f64>>;

/// A scenario, the sizes at which it is run, the size left out of the fit, and what it measures.
pub struct Scenario {
    pub subsystem: &'static str,
    pub sizes: &'static [usize],
    pub left_out: usize,
    pub subjects: fn() -> Vec<Subject>,
    pub run: RunScenario,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 3] = [
    Scenario {
        subsystem: "agree",
        sizes: &[10, 20, 40, 80, 120],
        left_out: 120,
        subjects: agree_subjects,
        run: run_agree,
    },
    Scenario {
        subsystem: "gossip",
        sizes: &[10, 20, 40, 80, 120],
        left_out: 120,
        subjects: gossip_subjects,
        run: run_gossip,
    },
    Scenario {
        subsystem: "fleet",
        sizes: &[2, 4, 8, 12, 16],
        left_out: 12,
        subjects: limit_subjects,
        run: run_limits,
    },
];

fn subject(id: &str, unit: &str, by: &str, mechanism: &str, limit: Option<f64>) -> Subject {
    Subject { id: id.into(), unit: unit.into(), by: by.into(), mechanism: mechanism.into(), limit }
}

fn agree_subjects() -> Vec<Subject> {
    let at_follower = |id, unit, limit| subject(id, unit, "members", "agree/src/dissemination.rs", limit);
    let at_leader = |id, unit, limit| subject(id, unit, "members", "agree/src/replication.rs", limit);
    vec![
        at_follower("agree.decision: one decision known to the last, no cap", "ms", Some(TARGET_IN_FORCE_MS)),
        at_follower("agree.burst: 50 in a second, last, no cap", "ms", Some(TARGET_IN_FORCE_MS)),
        at_leader(
            "agree.leader: busiest second of any in the burst, no cap",
            "bytes",
            Some(TARGET_BYTES_PER_SECOND),
        ),
        at_follower(
            "agree.bytes: mean, gossip and log, burst in it",
            "bytes/s",
            Some(TARGET_BYTES_PER_SECOND),
        ),
        at_follower("agree.cpu: gossip and log, burst in it", "ms/s", Some(TARGET_CPU_MS_PER_SECOND)),
    ]
}

fn gossip_subjects() -> Vec<Subject> {
    let gossip = |id, unit, limit| subject(id, unit, "members", "gossip/src/node/", limit);
    vec![
        gossip("gossip.know99: 30% lost, cap 8,000, 99 of 100 know", "ms", Some(TARGET_IN_FORCE_MS)),
        gossip("gossip.most: busiest second of any", "bytes", Some(TARGET_BYTES_PER_SECOND)),
        gossip("gossip.cpu", "ms/s", Some(TARGET_CPU_MS_PER_SECOND)),
    ]
}

fn limit_subjects() -> Vec<Subject> {
    let limit_figure = |id, unit, limit| subject(id, unit, "limits in use", "fleet/src/fleet.rs", limit);
    vec![
        limit_figure("fleet.cpu: 40 members, cap 16,000", "ms/s", Some(TARGET_CPU_MS_PER_SECOND)),
        limit_figure("fleet.bytes: 40 members, cap 16,000, mean", "bytes/s", Some(TARGET_BYTES_PER_SECOND)),
    ]
}

fn terms(members: usize, max_bytes_per_second: f64, seed: u64) -> ClusterTerms {
    ClusterTerms {
        members,
        max_bytes_per_second,
        loss: 0.0,
        max_faulty: 2,
        servers: 0,
        rate: 0.0,
        council: false,
        limits: 0,
        limit_rate: 0.0,
        limits_used: 0,
        seed,
    }
}

fn last_delay(delays: &[f64], unaware: usize) -> f64 {
    // A member that did not know it by the end would learn it later: the full time counts.
    if unaware > 0 { SETTLE_MS } else { delays.last().copied().unwrap_or(SETTLE_MS) }
}

fn run_agree(size: usize, seed: u64) -> Result<Vec<f64>> {
    let mut cluster =
        Cluster::new(ClusterTerms { council: true, ..terms(size, UNLIMITED_BYTES_PER_SECOND, seed) })?;
    cluster.run_for(SETTLE_MS);
    cluster.reset_counters();
    let number = cluster.propose(size - 1);
    cluster.run_for(SETTLE_MS / 4.0);
    let (delays, unaware) = cluster.decision_delays(number);
    let single = last_delay(&delays, unaware);
    let numbers: Vec<u64> = (0..BURST_DECISIONS)
        .map(|decision| {
            let number = cluster.propose((decision * 7 + 5) % size);
            cluster.run_for(BURST_INTERVAL_MS);
            number
        })
        .collect();
    cluster.run_for(SETTLE_MS / 2.0);
    let burst = numbers
        .iter()
        .map(|&number| cluster.decision_delays(number))
        .map(|(delays, unaware)| last_delay(&delays, unaware));
    let burst = burst.fold(0.0, f64::max);
    let (bytes, max_bytes) = cluster.bytes_per_second();
    Ok(vec![single, burst, max_bytes as f64, bytes, cluster.cpu_ms_per_second()])
}

fn run_gossip(size: usize, seed: u64) -> Result<Vec<f64>> {
    let cluster_terms =
        ClusterTerms { loss: 0.3, servers: 6, rate: 1.0, ..terms(size, TARGET_BYTES_PER_SECOND, seed) };
    let mut cluster = Cluster::new(cluster_terms)?;
    cluster.run_for(1.5 * SETTLE_MS);
    cluster.reset_counters();
    cluster.silence_server(0);
    cluster.run_for(SETTLE_MS);
    let (delays, unaware) = cluster.belief_delays();
    let index = ((delays.len() + unaware) as f64 * 0.99).ceil() as usize;
    let know_ms = delays.get(index.saturating_sub(1)).copied().unwrap_or(SETTLE_MS);
    Ok(vec![know_ms, cluster.bytes_per_second().1 as f64, cluster.cpu_ms_per_second()])
}

fn run_limits(size: usize, seed: u64) -> Result<Vec<f64>> {
    const MEMBERS: usize = 40;
    const RATE: f64 = 0.4;
    let cluster_terms = ClusterTerms {
        servers: size as u64,
        rate: RATE,
        limits: size,
        limits_used: size,
        limit_rate: 2.0 * RATE * MEMBERS as f64,
        ..terms(MEMBERS, DRILL_BYTES_PER_SECOND, seed)
    };
    let mut cluster = Cluster::new(cluster_terms)?;
    cluster.run_for(SETTLE_MS);
    cluster.reset_counters();
    cluster.run_for(SETTLE_MS / 2.0);
    Ok(vec![cluster.cpu_ms_per_second(), cluster.bytes_per_second().0])
}
