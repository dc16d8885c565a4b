//! Meters a node: bytes and messages per second, processor time, and versions as they come into force.

use std::collections::VecDeque;

use nix::time::{ClockId, clock_gettime};
use serde::Serialize;

use super::node::Version;

const SECOND_MS: f64 = 1000.0;

/// Processor time of this thread in nanoseconds; 0 if the clock cannot be read.
pub fn thread_cpu_ns() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    time.map_or(0, |time| time.tv_sec() as u64 * 1_000_000_000 + time.tv_nsec() as u64)
}

/// Sum over a sliding second, and its maximum.
#[derive(Clone, Debug, Default)]
pub struct SlidingSecond {
    items: VecDeque<(f64, u32)>,
    sum: u64,
    pub worst: u64,
    pub total: u64,
}

impl SlidingSecond {
    pub fn add(&mut self, now: f64, amount: u32) {
        while let Some((_, old)) = self.items.pop_front_if(|(at, _)| *at <= now - SECOND_MS) {
            self.sum -= u64::from(old);
        }
        self.items.push_back((now, amount));
        self.sum += u64::from(amount);
        self.total += u64::from(amount);
        self.worst = self.worst.max(self.sum);
    }
}

/// Sum over each full second of the clock, and its maximum.
#[derive(Clone, Copy, Debug, Default)]
struct ClockSecond {
    second: u64,
    sum: u64,
    worst: u64,
    total: u64,
}

impl ClockSecond {
    fn add(&mut self, now: f64, amount: u64) {
        let second = (now / SECOND_MS) as u64;
        if second != self.second {
            (self.second, self.sum) = (second, 0);
        }
        self.sum += amount;
        self.total += amount;
        self.worst = self.worst.max(self.sum);
    }
}

/// A version of a scope that came into force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InForceEvent {
    pub in_force_at: f64,
    /// Index of the scope among those that the node subscribes to.
    pub slot: u16,
    pub version: Version,
}

/// The meter of one node.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Nothing before this time is counted, in milliseconds.
    counts_from: f64,
    both_ways: SlidingSecond,
    sent: u64,
    received: u64,
    messages: u64,
    processor: ClockSecond,
    pub in_force_events: Vec<InForceEvent>,
    /// How often a scope's version in force went back.
    pub went_back: u64,
}

/// Cost of a node over the measured time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Bytes of datagrams without network headers, sent and received together.
    pub bytes: u64,
    pub worst_second_bytes: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    /// Messages sent and received.
    pub messages: u64,
    pub processor_ns: u64,
    pub worst_second_processor_ns: u64,
}

impl Meter {
    pub fn new(counts_from: f64) -> Self {
        Self { counts_from, ..Self::default() }
    }

    pub fn record_sent(&mut self, now: f64, bytes: usize) {
        if now >= self.counts_from {
            self.sent += bytes as u64;
            self.record_message(now, bytes);
        }
    }

    pub fn record_received(&mut self, now: f64, bytes: usize) {
        if now >= self.counts_from {
            self.received += bytes as u64;
            self.record_message(now, bytes);
        }
    }

    fn record_message(&mut self, now: f64, bytes: usize) {
        self.messages += 1;
        self.both_ways.add(now, bytes as u32);
    }

    pub fn record_cpu(&mut self, now: f64, nanoseconds: u64) {
        if now >= self.counts_from {
            self.processor.add(now, nanoseconds);
        }
    }

    pub fn cost(&self) -> Cost {
        Cost {
            bytes: self.both_ways.total,
            worst_second_bytes: self.both_ways.worst,
            sent_bytes: self.sent,
            received_bytes: self.received,
            messages: self.messages,
            processor_ns: self.processor.total,
            worst_second_processor_ns: self.processor.worst,
        }
    }
}
