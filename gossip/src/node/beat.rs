//! What falls due: looks at others, news, comparisons.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::{
    AGED_BEATS, CLOCKS, COMPARE_BEATS, DIGESTS, FAN_OUT, HELPERS, Node, Ping, SEED_BEATS, STALL_BEATS,
};
use crate::budget::Priority;
use crate::keys::Id;
use crate::wire::Message;

impl Node {
    /// Does what has fallen due.
    pub fn turn(&mut self, now: f64) {
        if now - self.beat_at > STALL_BEATS * self.terms.probe_interval {
            self.members.stalled();
            self.evidence.stalled(now);
            self.pings.clear();
        }
        let late: Vec<u64> =
            self.pings.iter().filter(|(_, ping)| ping.until <= now).map(|(&n, _)| n).collect();
        for nonce in late {
            self.unanswered(now, nonce);
        }
        if now >= self.beat_at {
            self.beat(now);
            let next = self.beat_at + self.terms.probe_interval * (0.9 + 0.2 * self.chance.random::<f64>());
            self.beat_at = if next > now { next } else { now + self.terms.probe_interval };
        }
    }

    fn beat(&mut self, now: f64) {
        self.beats += 1;
        self.members.bury(now);
        if self.changed(now) {
            self.say(now);
        }
        let seeds: Vec<SocketAddr> =
            self.terms.seeds.iter().copied().filter(|seed| *seed != self.terms.address).collect();
        if self.members.alive() < 2 {
            for &seed in &seeds {
                let nonce = self.chance.random();
                self.send_to(now, seed, Message::Ping { nonce }, Priority::Probe);
            }
        } else if self.beats.is_multiple_of(SEED_BEATS) && self.members.all().count() + 1 < self.roster.len()
        {
            // Groups that came together by different seeds know nothing of each other until one asks a seed
            // again.
            if let Some(&seed) = seeds.choose(&mut self.chance) {
                let nonce = self.chance.random();
                self.send_to(now, seed, Message::Ping { nonce }, Priority::Repair);
            }
        }
        let fresh = self.statements.fresh(self.terms.max_faulty);
        if !fresh.is_empty() {
            for peer in self.members.some(&mut self.chance, FAN_OUT, None) {
                self.send(now, peer, Message::Carry, Priority::Spread);
            }
        }
        self.ask_clocks(now);
        if let Some(target) = self.members.next(&mut self.chance) {
            let nonce = self.chance.random();
            if self.send(now, target, Message::Ping { nonce }, Priority::Probe) {
                let until = now + self.members.patience();
                self.pings.insert(
                    nonce,
                    Ping { target, until, asked: now, helped: false, for_clock: false, for_other: None },
                );
            }
        }
        if self.beats.is_multiple_of(COMPARE_BEATS) {
            self.compare(now);
        }
    }

    /// Asks authors for their clocks where it matters how old their words are.
    fn ask_clocks(&mut self, now: f64) {
        let aged = AGED_BEATS * self.terms.probe_interval;
        let authors = self.statements.unproven(now, self.terms.max_faulty, aged);
        let mut asks: Vec<(bool, u32, Id)> = Vec::new();
        for (author, accuses) in authors.into_iter().filter(|(author, _)| *author != self.id) {
            asks.push((!accuses, self.chance.random(), author));
        }
        asks.sort_unstable();
        for (_, _, target) in asks.into_iter().take(CLOCKS) {
            let nonce = self.chance.random();
            let Some(address) = self.members.get(target).map(|member| member.address) else { continue };
            if self.send_with(now, address, Message::Clock { nonce }, Priority::News, Vec::new()) {
                let until = now + self.members.patience();
                let ping =
                    Ping { target, until, asked: now, helped: false, for_clock: true, for_other: None };
                self.pings.insert(nonce, ping);
            }
        }
    }

    /// Repairs what loss hid: shows a peer what this member has of some authors, a range after the other.
    fn compare(&mut self, now: f64) {
        let Some(&peer) = self.members.some(&mut self.chance, 1, None).first() else { return };
        let have = self.statements.digests(self.compare_from, DIGESTS);
        let from = self.compare_from;
        let to = if have.len() < DIGESTS { Id::MAX } else { have.last().map_or(Id::MAX, |last| last.0) };
        if self.send(now, peer, Message::Compare { from, to, have, asks: true }, Priority::Repair) {
            self.compare_from = to.wrapping_add(1);
        }
    }

    fn unanswered(&mut self, now: f64, nonce: u64) {
        let Some(ping) = self.pings.remove(&nonce) else { return };
        if ping.for_other.is_some() || ping.for_clock {
            return;
        }
        if ping.helped {
            return self.members.missed(now, ping.target);
        }
        for helper in self.members.some(&mut self.chance, HELPERS, Some(ping.target)) {
            self.send(now, helper, Message::PingFor { nonce, target: ping.target }, Priority::Probe);
        }
        let until = now + 2.0 * self.members.patience();
        self.pings.insert(nonce, Ping { helped: true, until, ..ping });
    }
}
