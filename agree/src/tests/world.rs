//! A few proxies on one virtual clock, each with a clock and a disk of its own, and what is checked of them
//! at every step: no two come to different decisions at an index, nor two lead in one term.

use std::collections::BTreeMap;

use links::Links;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Fault;
use super::parts::{Book, Disk, Keys};
use crate::agreement::{Agreement, AgreementTerms};
use crate::council::{Council, Voter};
use crate::{AgreementStatus, Hash, Id, Index, Outcome, Role, Term, disk};

pub const BEAT: f64 = 50.0;
pub const LEASE: f64 = 1500.0;
const TICK: f64 = 5.0;

pub type Proxy = Agreement<Book, Keys>;

/// Something that was asked for: when, and when its answer came, with the index it was decided at or that was
/// read.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub line: Option<u64>,
    pub began: f64,
    pub ended: Option<(f64, Index)>,
}

pub struct World {
    pub now: f64,
    pub proxies: Vec<Option<Proxy>>,
    pub disks: Vec<Disk>,
    /// Turns of one that is stopped do not come, until then.
    pub stopped: Vec<f64>,
    clocks: Vec<f64>,
    founders: usize,
    pub links: Links<Vec<u8>>,
    /// Bytes of messages, without what carries them.
    pub bytes: u64,
    pub chance: Pcg64Mcg,
    pub fault: Option<Fault>,
    /// How long a write takes at the most.
    pub write: f64,
    hashes: BTreeMap<Index, Hash>,
    checked: Vec<Index>,
    leaders: BTreeMap<Term, Id>,
    pub broken: Vec<String>,
    open: BTreeMap<(usize, u64), usize>,
    pub history: Vec<Asked>,
    lines: u64,
    /// Reads that wait, by proxy: which in the history, and since when by the proxy's own clock.
    reads: Vec<(usize, usize, f64)>,
}

impl World {
    /// So many proxies, the first of them founders of the council; all have started just now.
    pub fn new(proxies: usize, founders: usize, seed: u64) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let clocks = (0..proxies).map(|_| 0.95 + 0.1 * chance.random::<f64>()).collect();
        let mut world = Self {
            now: 0.0,
            proxies: (0..proxies).map(|_| None).collect(),
            disks: vec![Disk::default(); proxies],
            stopped: vec![0.0; proxies],
            clocks,
            founders,
            links: Links::new(10.0, seed ^ 1),
            bytes: 0,
            chance,
            fault: None,
            write: 8.0,
            hashes: BTreeMap::new(),
            checked: vec![0; proxies],
            leaders: BTreeMap::new(),
            broken: Vec::new(),
            open: BTreeMap::new(),
            history: Vec::new(),
            lines: 0,
            reads: Vec::new(),
        };
        (0..proxies).for_each(|place| world.start(place));
        world
    }

    pub fn clock(&self, place: usize) -> f64 {
        self.now * self.clocks[place]
    }

    pub fn start(&mut self, place: usize) {
        let terms = AgreementTerms {
            bootstrap_members: (0..self.founders as Id).collect(),
            heartbeat: BEAT,
            lease: LEASE,
        };
        let file = disk::recover(&self.disks[place].holds);
        let (id, seed, now) = (place as Id, self.chance.random(), self.clock(place));
        let made = Agreement::new(id, terms, Keys(id), Book::default(), file, seed, now);
        let mut proxy = made.expect("its own snapshot");
        proxy.set_peers(0..self.proxies.len() as Id);
        proxy.fault = self.fault;
        self.checked[place] = 0;
        self.proxies[place] = Some(proxy);
    }

    pub fn crash(&mut self, place: usize) {
        let part = self.chance.random();
        self.disks[place].crash(part);
        self.proxies[place] = None;
        self.open.retain(|(at, _), _| *at != place);
        self.reads.retain(|(at, ..)| *at != place);
    }

    pub fn restart(&mut self, place: usize) {
        self.crash(place);
        self.start(place);
    }

    /// Stops turns for a while, as with SIGSTOP: what comes meanwhile waits.
    pub fn stop(&mut self, place: usize, span: f64) {
        self.stopped[place] = self.now + span;
    }

    pub fn proxy(&mut self, place: usize) -> &mut Proxy {
        self.proxies[place].as_mut().expect("runs")
    }

    pub fn status(&mut self, place: usize) -> AgreementStatus {
        let now = self.clock(place);
        self.proxy(place).status(now)
    }

    /// Asks at a proxy for a line to be written.
    pub fn ask(&mut self, place: usize) {
        let now = self.clock(place);
        self.lines += 1;
        let line = self.lines;
        let Some(proxy) = &mut self.proxies[place] else { return };
        if let Ok(request) = proxy.propose(now, 0, line.to_le_bytes().to_vec()) {
            self.open.insert((place, request), self.history.len());
            self.history.push(Asked { line: Some(line), began: self.now, ended: None });
        }
    }

    /// Asks at a proxy for another council; gives its place in the history, as of a read of its index.
    pub fn ask_council(&mut self, place: usize, council: Council) -> usize {
        let now = self.clock(place);
        let request = self.proxy(place).propose_council(now, council).expect("one seat more or less");
        self.open.insert((place, request), self.history.len());
        self.history.push(Asked { line: None, began: self.now, ended: None });
        self.history.len() - 1
    }

    /// Reads at a proxy, as of now at the earliest.
    pub fn read(&mut self, place: usize) {
        let now = self.clock(place);
        let Some(proxy) = &mut self.proxies[place] else { return };
        proxy.refresh(now);
        self.reads.push((place, self.history.len(), now));
        self.history.push(Asked { line: None, began: self.now, ended: None });
    }

    /// An operator lets those in anew that have lost their votes, one step at a time.
    pub fn let_in(&mut self) {
        let Some(leader) = self.leader() else { return };
        let now = self.clock(leader);
        let status = self.status(leader);
        let barred = status.unadmitted_disks.iter().find(|(id, disk_id)| {
            let voter = status.council.voter(**id);
            voter.is_none_or(|voter| voter.disk_id != **disk_id)
        });
        let Some((&id, &disk_id)) = barred else { return };
        let council: Council = match status.council.voter(id) {
            Some(_) => status.council.without(id),
            None => status.council.with(Voter { id, disk_id }),
        };
        let _ = self.proxy(leader).propose_council(now, council);
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |place: &usize| self.proxies[*place].as_ref().is_some_and(|p| p.role() == Role::Leads);
        let all = (0..self.proxies.len()).filter(|&place| self.stopped[place] <= self.now);
        all.filter(leads).max_by_key(|&place| self.proxies[place].as_ref().map(|p| p.kept.term))
    }

    pub fn pass(&mut self, span: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.step();
        }
    }

    /// Lets time pass until something holds.
    pub fn until(&mut self, what: &str, most: f64, holds: impl Fn(&mut Self) -> bool) -> f64 {
        let began = self.now;
        while !holds(self) {
            if self.now - began >= most {
                let all: Vec<_> =
                    (0..self.proxies.len()).filter(|&place| self.proxies[place].is_some()).collect();
                let all: Vec<_> = all.into_iter().map(|place| self.status(place)).collect();
                panic!("{what}: not within {most} ms; broken: {:?}; {all:#?}", self.broken);
            }
            self.pass(TICK);
        }
        self.now - began
    }

    fn step(&mut self) {
        while let Some((from, to, bytes)) = self.links.next_arrival(self.now) {
            if self.stopped[to] > self.now {
                // It waits in the socket.
                let way = std::mem::replace(&mut self.links.max_delay, 0.0);
                let (loss, double) = (self.links.loss, self.links.duplication);
                (self.links.loss, self.links.duplication) = (0.0, 0.0);
                if !self.links.is_cut(from, to) {
                    let later = self.stopped[to];
                    self.links.send(later, from, to, bytes);
                }
                (self.links.max_delay, self.links.loss, self.links.duplication) = (way, loss, double);
                continue;
            }
            let now = self.clock(to);
            if let Some(proxy) = &mut self.proxies[to] {
                proxy.receive(now, from as Id, &bytes);
                self.carry_on(to);
            }
        }
        for place in 0..self.proxies.len() {
            if self.stopped[place] <= self.now && self.proxies[place].is_some() {
                let now = self.clock(place);
                self.proxy(place).turn(now);
                self.carry_on(place);
            }
        }
    }

    /// Disk, messages and answers of one.
    fn carry_on(&mut self, place: usize) {
        let now = self.clock(place);
        let done_at = self.now + self.write * self.chance.random::<f64>();
        let (at, disk) = (self.now, &mut self.disks[place]);
        let proxy = self.proxies[place].as_mut().expect("runs");
        if disk.writing.as_ref().is_some_and(|(_, done)| *done <= at) {
            if std::mem::take(&mut disk.refuses) {
                disk.writing = None;
                proxy.write_failed(now);
            } else {
                disk.sync();
                if self.fault != Some(Fault::Unsynced) {
                    proxy.write_succeeded(now);
                }
            }
        }
        if disk.writing.is_none()
            && let Some(write) = proxy.next_write(now)
        {
            disk.writing = Some((write, done_at));
            if self.fault == Some(Fault::Unsynced) {
                proxy.write_succeeded(now);
            }
        }
        while let Some(out) = proxy.outgoing() {
            self.bytes += out.bytes.len() as u64;
            self.links.send(self.now, place, out.to as usize, out.bytes);
        }
        while let Some((request, outcome)) = proxy.outcome() {
            let asked = self.open.remove(&(place, request));
            if let Some(asked) = asked
                && let Outcome::Decided { index, .. } = outcome
            {
                self.history[asked].ended = Some((self.now, index));
            }
        }
        let (age, applied) = (proxy.age(now), proxy.applied);
        for (_, asked, _) in self.reads.extract_if(.., |(at, _, since)| *at == place && now - age >= *since) {
            self.history[asked].ended = Some((self.now, applied));
        }
        self.check(place);
    }

    fn check(&mut self, place: usize) {
        let proxy = self.proxies[place].as_ref().expect("runs");
        for index in self.checked[place] + 1..=proxy.applied {
            let Some(hash) = proxy.hash_at(index) else { continue };
            let known = *self.hashes.entry(index).or_insert(hash);
            if known != hash {
                self.broken.push(format!("{:.0} ms: p{place} decided otherwise at {index}", self.now));
            }
        }
        self.checked[place] = proxy.applied;
        if proxy.role() == Role::Leads {
            let (term, id) = (proxy.kept.term, place as Id);
            if *self.leaders.entry(term).or_insert(id) != id {
                self.broken.push(format!("{:.0} ms: p{place} leads term {term} too", self.now));
            }
        }
    }

    /// What was asked for and answered has an order that keeps to the times of asking and answering.
    pub fn is_linear(&mut self) {
        let ended = |asked: &&Asked| asked.ended.is_some();
        for later in self.history.iter().filter(ended) {
            let (_, at) = later.ended.expect("just seen");
            let before = self.history.iter().filter(|a| a.ended.is_some_and(|(end, _)| end < later.began));
            let newest = before.filter_map(|a| a.ended).map(|(_, index)| index).max().unwrap_or(0);
            // A write comes after all that was known before it; a read sees all of that.
            if at < newest || later.line.is_some() && at == newest {
                self.broken.push(format!("{later:?} after {newest} was known"));
            }
        }
        let mut lines: Vec<u64> = Vec::new();
        for place in 0..self.proxies.len() {
            if let Some(proxy) = &self.proxies[place]
                && proxy.machine.lines.len() > lines.len()
            {
                lines = proxy.machine.lines.clone();
            }
        }
        let mut once = lines.clone();
        once.sort_unstable();
        once.dedup();
        if once.len() != lines.len() {
            self.broken.push("a line was written twice".to_owned());
        }
        let lost = self.history.iter().filter(|a| a.ended.is_some()).filter_map(|a| a.line);
        for line in lost.filter(|line| !lines.contains(line)) {
            self.broken.push(format!("line {line} was answered and is not there"));
        }
    }

    /// All run, and links and disks are whole.
    fn recovers(&mut self) {
        self.links.heal();
        for place in 0..self.proxies.len() {
            self.stopped[place] = 0.0;
            self.disks[place].refuses = false;
            if self.proxies[place].is_none() {
                self.start(place);
            }
        }
    }

    /// All run, links are whole, and all come to the same.
    pub fn settles(&mut self, most: f64) -> f64 {
        self.recovers();
        self.until("all at one", most, |world| {
            let leads = world.leader();
            let mut at: Vec<(Index, Hash)> = Vec::new();
            for place in 0..world.proxies.len() {
                let status = world.status(place);
                at.push((status.applied, status.hash));
            }
            // What a new leader found in its log is decided too.
            let whole = |place: usize| world.proxies[place].as_ref().map(|p| p.kept.log.last().index);
            leads.and_then(whole) == Some(at[0].0) && at.windows(2).all(|pair| pair[0] == pair[1])
        })
    }
}
