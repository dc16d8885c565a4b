//! The measured worlds: what is played at a size by a seed, and the values that come of it.

use anyhow::Result;

use super::figure::Subject;
use super::members::{Terms, World};

/// A cap of gossip that is never reached: bytes are then what the mechanism needs.
const NO_CAP: f64 = 1_000_000.0;
/// The target's bytes a second.
const TARGET_BYTES: f64 = 8_000.0;
/// The target's processor time a second, in milliseconds.
const TARGET_CPU: f64 = 14.0;
/// The target's time in force, in milliseconds.
const TARGET_TIME: f64 = 4_000.0;
/// The default cap of the settings in today's drills, in bytes a second.
const DRILL_CAP: f64 = 16_000.0;
/// Milliseconds of virtual time between an event and the count.
const SETTLE: f64 = 20_000.0;
/// Decisions of a burst, and the gap between two, in milliseconds.
const BURST: usize = 50;
const BURST_GAP: f64 = 20.0;

/// What a world gives at one size: a value for each of its subjects.
pub type Play = fn(size: usize, seed: u64) -> Result<Vec<f64>>;

/// A world, the sizes it is played at, and what it measures.
pub struct Measured {
    pub subsystem: &'static str,
    pub sizes: &'static [usize],
    pub left_out: usize,
    pub subjects: fn() -> Vec<Subject>,
    pub play: Play,
}

/// All worlds.
pub const WORLDS: [Measured; 3] = [
    Measured {
        subsystem: "agree",
        sizes: &[10, 20, 40, 80, 120],
        left_out: 120,
        subjects: agree,
        play: play_agree,
    },
    Measured {
        subsystem: "gossip",
        sizes: &[10, 20, 40, 80, 120],
        left_out: 120,
        subjects: gossip,
        play: play_gossip,
    },
    Measured {
        subsystem: "fleet",
        sizes: &[2, 4, 8, 12, 16],
        left_out: 12,
        subjects: limits,
        play: play_limits,
    },
];

fn subject(id: &str, unit: &str, by: &str, mechanism: &str, limit: Option<f64>) -> Subject {
    Subject { id: id.into(), unit: unit.into(), by: by.into(), mechanism: mechanism.into(), limit }
}

fn agree() -> Vec<Subject> {
    let of = |id, unit, limit| subject(id, unit, "members", "agree/src/follow.rs", limit);
    let at_leader = |id, unit, limit| subject(id, unit, "members", "agree/src/replicate.rs", limit);
    vec![
        of("agree.decision: one decision known to the last, no cap", "ms", Some(TARGET_TIME)),
        of("agree.burst: 50 in a second, last, no cap", "ms", Some(TARGET_TIME)),
        at_leader("agree.leader: busiest second of any in the burst, no cap", "bytes", Some(TARGET_BYTES)),
        of("agree.bytes: mean, gossip and log, burst in it", "bytes/s", Some(TARGET_BYTES)),
        of("agree.cpu: gossip and log, burst in it", "ms/s", Some(TARGET_CPU)),
    ]
}

fn gossip() -> Vec<Subject> {
    let of = |id, unit, limit| subject(id, unit, "members", "gossip/src/node/", limit);
    vec![
        of("gossip.know99: 30% lost, cap 8,000, 99 of 100 know", "ms", Some(TARGET_TIME)),
        of("gossip.most: busiest second of any", "bytes", Some(TARGET_BYTES)),
        of("gossip.cpu", "ms/s", Some(TARGET_CPU)),
    ]
}

fn limits() -> Vec<Subject> {
    let of = |id, unit, limit| subject(id, unit, "limits in use", "fleet/src/fleet.rs", limit);
    vec![
        of("fleet.cpu: 40 members, cap 16,000", "ms/s", Some(TARGET_CPU)),
        of("fleet.bytes: 40 members, cap 16,000, mean", "bytes/s", Some(TARGET_BYTES)),
    ]
}

fn terms(members: usize, cap: f64, seed: u64) -> Terms {
    Terms {
        members,
        cap,
        loss: 0.0,
        liars: 2,
        servers: 0,
        rate: 0.0,
        council: false,
        limits: 0,
        limit_rate: 0.0,
        limits_used: 0,
        seed,
    }
}

fn last(took: &[f64], unaware: usize) -> f64 {
    // Who did not come to know it by the end did so after it.
    if unaware > 0 { SETTLE } else { took.last().copied().unwrap_or(SETTLE) }
}

fn play_agree(size: usize, seed: u64) -> Result<Vec<f64>> {
    let mut world = World::new(Terms { council: true, ..terms(size, NO_CAP, seed) })?;
    world.pass(SETTLE);
    world.count_anew();
    let line = world.ask(size - 1);
    world.pass(SETTLE / 4.0);
    let (took, unaware) = world.spread(line);
    let one = last(&took, unaware);
    let lines: Vec<u64> = (0..BURST)
        .map(|number| {
            let line = world.ask((number * 7 + 5) % size);
            world.pass(BURST_GAP);
            line
        })
        .collect();
    world.pass(SETTLE / 2.0);
    let burst = lines.iter().map(|&line| world.spread(line)).map(|(took, unaware)| last(&took, unaware));
    let burst = burst.fold(0.0, f64::max);
    let (bytes, most) = world.bytes_a_second();
    Ok(vec![one, burst, most as f64, bytes, world.cpu_a_second()])
}

fn play_gossip(size: usize, seed: u64) -> Result<Vec<f64>> {
    let of = Terms { loss: 0.3, servers: 6, rate: 1.0, ..terms(size, TARGET_BYTES, seed) };
    let mut world = World::new(of)?;
    world.pass(1.5 * SETTLE);
    world.count_anew();
    world.silence(0);
    world.pass(SETTLE);
    let (took, unaware) = world.belief();
    let place = ((took.len() + unaware) as f64 * 0.99).ceil() as usize;
    let know = took.get(place.saturating_sub(1)).copied().unwrap_or(SETTLE);
    Ok(vec![know, world.bytes_a_second().1 as f64, world.cpu_a_second()])
}

fn play_limits(size: usize, seed: u64) -> Result<Vec<f64>> {
    const MEMBERS: usize = 40;
    const RATE: f64 = 0.4;
    let of = Terms {
        servers: size as u64,
        rate: RATE,
        limits: size,
        limits_used: size,
        limit_rate: 2.0 * RATE * MEMBERS as f64,
        ..terms(MEMBERS, DRILL_CAP, seed)
    };
    let mut world = World::new(of)?;
    world.pass(SETTLE);
    world.count_anew();
    world.pass(SETTLE / 2.0);
    Ok(vec![world.cpu_a_second(), world.bytes_a_second().0])
}
