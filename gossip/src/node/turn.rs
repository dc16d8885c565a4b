//! One turn of the event loop: probes, pushed updates and comparisons that are due.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::{
    CLOCK_REQUESTS, COMPARE_INTERVALS, DIGESTS_PER_COMPARE, FANOUT, MAX_AGE_INTERVALS, Node, PROBE_HELPERS,
    Ping, SEED_INTERVALS, STALL_INTERVALS,
};
use crate::budget::Priority;
use crate::keys::Id;
use crate::wire::Message;

impl Node {
    /// Does everything that is due.
    pub fn turn(&mut self, now: f64) {
        if now - self.next_probe_at > STALL_INTERVALS * self.terms.probe_interval {
            self.members.local_stall();
            self.evidence.stalled(now);
            self.pending_pings.clear();
        }
        let overdue: Vec<u64> =
            self.pending_pings.iter().filter(|(_, ping)| ping.deadline <= now).map(|(&n, _)| n).collect();
        for nonce in overdue {
            self.ping_timed_out(now, nonce);
        }
        if now >= self.next_probe_at {
            self.probe_round(now);
            let next =
                self.next_probe_at + self.terms.probe_interval * (0.9 + 0.2 * self.rng.random::<f64>());
            self.next_probe_at = if next > now { next } else { now + self.terms.probe_interval };
        }
    }

    /// Probes the next member, pushes updates and runs the periodic work.
    fn probe_round(&mut self, now: f64) {
        self.probe_rounds += 1;
        self.members.expire_suspects(now);
        if self.claims_changed(now) {
            self.publish_statement(now);
        }
        let seeds: Vec<SocketAddr> =
            self.terms.seeds.iter().copied().filter(|seed| *seed != self.terms.address).collect();
        if self.members.alive() < 2 {
            for &seed in &seeds {
                let nonce = self.rng.random();
                self.send_to(now, seed, Message::Ping { nonce }, Priority::Probe);
            }
        } else if self.probe_rounds.is_multiple_of(SEED_INTERVALS)
            && self.members.all().count() + 1 < self.roster.len()
        {
            // Groups that formed around different seeds do not know each other until a member pings a seed
            // again.
            if let Some(&seed) = seeds.choose(&mut self.rng) {
                let nonce = self.rng.random();
                self.send_to(now, seed, Message::Ping { nonce }, Priority::Repair);
            }
        }
        let authors = self.statements.authors_to_send(self.terms.max_faulty);
        if !authors.is_empty() {
            for peer in self.members.random_members(&mut self.rng, FANOUT, None) {
                self.send(now, peer, Message::PiggybackOnly, Priority::Spread);
            }
        }
        self.request_clocks(now);
        if let Some(target) = self.members.next_probe_target(&mut self.rng) {
            let nonce = self.rng.random();
            if self.send(now, target, Message::Ping { nonce }, Priority::Probe) {
                let deadline = now + self.members.probe_timeout();
                self.pending_pings.insert(
                    nonce,
                    Ping {
                        target,
                        deadline,
                        sent_at: now,
                        indirect: false,
                        clock_only: false,
                        on_behalf_of: None,
                    },
                );
            }
        }
        if self.probe_rounds.is_multiple_of(COMPARE_INTERVALS) {
            self.compare_statements(now);
        }
    }

    /// Requests the clocks of authors whose statements' age decides whether a server is believed silent.
    fn request_clocks(&mut self, now: f64) {
        let max_age = MAX_AGE_INTERVALS * self.terms.probe_interval;
        let authors = self.statements.unproven_authors(now, self.terms.max_faulty, max_age);
        let mut requests: Vec<(bool, u32, Id)> = Vec::new();
        for (author, accuses) in authors.into_iter().filter(|(author, _)| *author != self.id) {
            requests.push((!accuses, self.rng.random(), author));
        }
        requests.sort_unstable();
        for (_, _, target) in requests.into_iter().take(CLOCK_REQUESTS) {
            let nonce = self.rng.random();
            let Some(address) = self.members.get(target).map(|member| member.address) else { continue };
            if self.send_with(now, address, Message::ClockRequest { nonce }, Priority::Update, Vec::new()) {
                let deadline = now + self.members.probe_timeout();
                let ping = Ping {
                    target,
                    deadline,
                    sent_at: now,
                    indirect: false,
                    clock_only: true,
                    on_behalf_of: None,
                };
                self.pending_pings.insert(nonce, ping);
            }
        }
    }

    /// Repairs losses: sends a random peer the digests of a range of authors, and goes on with the next range
    /// next time.
    fn compare_statements(&mut self, now: f64) {
        let Some(&peer) = self.members.random_members(&mut self.rng, 1, None).first() else { return };
        let have = self.statements.digests(self.compare_from, DIGESTS_PER_COMPARE);
        let from = self.compare_from;
        let to = if have.len() < DIGESTS_PER_COMPARE {
            Id::MAX
        } else {
            have.last().map_or(Id::MAX, |last| last.0)
        };
        if self.send(now, peer, Message::Compare { from, to, have, reply_wanted: true }, Priority::Repair) {
            self.compare_from = to.wrapping_add(1);
        }
    }

    /// Requests helpers to probe the target, or reports the probe as failed if they were already asked.
    fn ping_timed_out(&mut self, now: f64, nonce: u64) {
        let Some(ping) = self.pending_pings.remove(&nonce) else { return };
        if ping.on_behalf_of.is_some() || ping.clock_only {
            return;
        }
        if ping.indirect {
            return self.members.probe_failed(now, ping.target);
        }
        for helper in self.members.random_members(&mut self.rng, PROBE_HELPERS, Some(ping.target)) {
            self.send(now, helper, Message::PingRequest { nonce, target: ping.target }, Priority::Probe);
        }
        let deadline = now + 2.0 * self.members.probe_timeout();
        self.pending_pings.insert(nonce, Ping { indirect: true, deadline, ..ping });
    }
}
