//! The callers: first tries at random, time-outs, redials that follow Retry-After or don't, and what each
//! conversation earned. All of them share one endpoint, as behind one exchange.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

use border::causes;
use border::hints::Hints;
use bytes::Bytes;
use iax2::element::{self, Elements};
use iax2::frame::{self, Frame, iax, kind};
use iax2::{Datagram, EndReason, Endpoint, Event, Leg, Limits, cause};
use ordered_float::OrderedFloat;
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use slotmap::SecondaryMap;

use crate::drill::{Drill, RESEND_INTERVAL_MS};

/// Mean wait before a redial without Retry-After.
const REDIAL_DELAY_MS: f64 = 800.0;
/// How often the pools' shares of first choices change.
const DRIFT_INTERVAL_MS: f64 = 6_000.0;

/// Somebody who wants a conversation, over all their tries.
#[derive(Clone, Debug)]
pub struct Person {
    pub grade: usize,
    pub tenant: usize,
    pub first_at: f64,
    pub answered_at: Option<f64>,
    pub cut: bool,
    tries: u32,
    called: String,
    calling: String,
    /// Whether this person redials at once, ignoring Retry-After.
    redials_at_once: bool,
}

/// One try of a person.
#[derive(Clone, Debug)]
pub struct Try {
    pub person: usize,
    pub proxy: usize,
    pub started_at: f64,
    /// When the caller gives up.
    pub until: f64,
    leg: Leg,
    ended: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PlannedEvent {
    Arrive,
    GiveUp(usize),
    HangUp(usize),
    Dial(usize),
}

/// Faults of callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadFaults {
    /// Until when, and the factor on the rate of first tries.
    pub burst: (f64, f64),
    /// Until when, which tenant, the time-out as a share of the quoted time, and the number of redials.
    pub abuse: (f64, usize, f64, u32),
    /// Until when, the share of conversations that goes to a few proxies, and how many those are.
    pub hot: (f64, f64, usize),
}

/// All callers.
pub struct Callers {
    endpoint: Endpoint,
    rng: Pcg64Mcg,
    planned_events: BinaryHeap<Reverse<(OrderedFloat<f64>, u64, PlannedEvent)>>,
    events_planned: u64,
    pub people: Vec<Person>,
    pub tries: Vec<Try>,
    by_leg: SecondaryMap<Leg, usize>,
    by_number: HashMap<(SocketAddr, u16), usize>,
    pub faults: LoadFaults,
    /// Where each proxy is called; none if callers are not sent there.
    pub proxies: Vec<Option<SocketAddr>>,
    first_choice: Vec<f64>,
    last_drift: f64,
}

impl Callers {
    pub fn new(drill: &Drill, mut rng: Pcg64Mcg) -> Self {
        let limits = Limits {
            max_legs: 1_000_000,
            resend_delay: RESEND_INTERVAL_MS,
            ping_interval: 1e9,
            ..Limits::default()
        };
        let mut callers = Self {
            endpoint: Endpoint::new(limits, rng.random()),
            rng,
            planned_events: BinaryHeap::new(),
            events_planned: 0,
            people: Vec::new(),
            tries: Vec::new(),
            by_leg: SecondaryMap::new(),
            by_number: HashMap::new(),
            faults: LoadFaults::default(),
            proxies: vec![None; drill.fleet.proxies],
            first_choice: vec![1.0; usize::from(drill.pools())],
            last_drift: f64::NEG_INFINITY,
        };
        callers.schedule(0.0, PlannedEvent::Arrive);
        callers
    }

    fn schedule(&mut self, due: f64, event: PlannedEvent) {
        self.events_planned += 1;
        self.planned_events.push(Reverse((OrderedFloat(due), self.events_planned, event)));
    }

    /// When [`Callers::turn`] is due, in milliseconds.
    pub fn due(&self) -> f64 {
        let next = self.planned_events.peek().map_or(f64::INFINITY, |Reverse((due, ..))| due.0);
        next.min(self.endpoint.due().unwrap_or(f64::INFINITY))
    }

    /// The next datagram to send.
    pub fn datagram(&mut self) -> Option<Datagram> {
        self.endpoint.next_datagram()
    }

    /// Handles a datagram.
    pub fn receive(&mut self, now: f64, drill: &Drill, from: SocketAddr, bytes: &Bytes) {
        self.endpoint.receive(now, from, bytes);
        self.handle_events(now, drill);
    }

    /// Does what is due: arrivals, redials, give-ups and hang-ups.
    pub fn turn(&mut self, now: f64, drill: &Drill) {
        self.endpoint.turn(now);
        self.handle_events(now, drill);
        while let Some(Reverse((due, _, event))) = self.planned_events.peek().copied() {
            if due.0 > now {
                break;
            }
            self.planned_events.pop();
            match event {
                PlannedEvent::Arrive => self.arrive(due.0, now, drill),
                PlannedEvent::Dial(person) => self.dial(now, drill, person),
                PlannedEvent::GiveUp(number) => {
                    let Try { leg, ended, person, .. } = self.tries[number];
                    if !ended {
                        self.tries[number].ended = true;
                        self.endpoint.end(now, leg, &Elements::new().with_cause(cause::NORMAL_CLEARING));
                        self.redial(now, drill, person, None);
                    }
                }
                PlannedEvent::HangUp(number) => {
                    if !std::mem::replace(&mut self.tries[number].ended, true) {
                        let leg = self.tries[number].leg;
                        self.endpoint.end(now, leg, &Elements::new().with_cause(cause::NORMAL_CLEARING));
                    }
                }
            }
        }
    }

    /// The try that one of the callers' call numbers belongs to, at a proxy.
    pub fn try_of_call_number(&self, proxy: SocketAddr, number: u16) -> Option<usize> {
        self.by_number.get(&(proxy, number)).copied()
    }

    /// Records the call number under which a try's NEW was sent.
    pub fn record_sent(&mut self, datagram: &Datagram) {
        if let Ok(Frame::Full(full)) = frame::read(&datagram.bytes)
            && full.is(kind::IAX, iax::NEW)
            && let Ok(elements) = Elements::read(full.body)
            && let Some(number) =
                elements.text(element::CALLING_NAME).and_then(|t| t.strip_prefix("try ")?.parse().ok())
        {
            self.by_number.insert((datagram.peer, full.source), number);
        }
    }

    /// Cuts the calls established through a proxy that was killed.
    pub fn cut_calls_through(&mut self, proxy: usize) {
        for established in
            self.tries.iter_mut().filter(|t| t.proxy == proxy && !t.ended && t.started_at == f64::INFINITY)
        {
            established.ended = true;
            self.people[established.person].cut = true;
        }
    }

    fn arrive(&mut self, planned_at: f64, now: f64, drill: &Drill) {
        let rate_factor = if now < self.faults.burst.0 { self.faults.burst.1 } else { 1.0 };
        let interval: f64 = Exp1.sample(&mut self.rng);
        // From the planned time, so that a drill that runs late offers the same load.
        let next = planned_at + interval * 1000.0 / (drill.load.rate * rate_factor);
        if next < drill.seconds * 1000.0 {
            self.schedule(next, PlannedEvent::Arrive);
        }
        if now - self.last_drift > DRIFT_INTERVAL_MS {
            self.last_drift = now;
            for weight in &mut self.first_choice {
                *weight = 0.6 + 0.8 * self.rng.random::<f64>();
            }
        }
        let grade = weighted_choice(&mut self.rng, drill.grades.iter().map(|g| g.share));
        let tenant = weighted_choice(&mut self.rng, drill.tenants.iter().map(|t| t.share));
        let pool = weighted_choice(&mut self.rng, self.first_choice.iter().copied());
        let person = self.people.len();
        let line = self.rng.random_range(0..10_000);
        self.people.push(Person {
            grade,
            tenant,
            first_at: now,
            answered_at: None,
            cut: false,
            tries: 0,
            called: drill.called_number(grade, pool as u16, line),
            calling: format!("9{person:07}"),
            redials_at_once: now < self.faults.abuse.0 && tenant == self.faults.abuse.1,
        });
        self.dial(now, drill, person);
    }

    fn dial(&mut self, now: f64, drill: &Drill, person: usize) {
        let available: Vec<usize> = (0..self.proxies.len()).filter(|&p| self.proxies[p].is_some()).collect();
        if available.is_empty() {
            return;
        }
        let hot = now < self.faults.hot.0 && self.rng.random::<f64>() < self.faults.hot.1;
        let among = if hot { self.faults.hot.2.min(available.len()).max(1) } else { available.len() };
        let proxy = available[self.rng.random_range(0..among)];
        let caller = &mut self.people[person];
        let mut caller_timeout = drill.load.caller_timeout * 1000.0;
        if caller.redials_at_once {
            caller_timeout = self.faults.abuse.2 * drill.grades[caller.grade].quoted * 1000.0;
        }
        caller.tries += 1;
        let hints = Hints { caller_timeout: Some(caller_timeout as u32), ..Hints::default() };
        let number = self.tries.len();
        let elements = Elements::new()
            .with(element::CALLED_NUMBER, &caller.called)
            .with(element::CALLING_NUMBER, &caller.calling)
            .with(element::CALLING_NAME, format!("try {number}"))
            .with(element::USERNAME, &drill.tenants[caller.tenant].name);
        let to = self.proxies[proxy].expect("reachable");
        let Some(leg) = self.endpoint.call(now, to, &hints.add_to(elements)) else { return };
        self.by_leg.insert(leg, number);
        let until = now + caller_timeout;
        self.tries.push(Try { person, proxy, started_at: now, until, leg, ended: false });
        self.schedule(until, PlannedEvent::GiveUp(number));
    }

    fn handle_events(&mut self, now: f64, drill: &Drill) {
        while let Some((leg, event)) = self.endpoint.next_event() {
            let Some(&number) = self.by_leg.get(leg) else { continue };
            let person = self.tries[number].person;
            match event {
                Event::Answered(_) if !self.tries[number].ended => {
                    self.people[person].answered_at = Some(now);
                    // The scheduled give-up finds an ended try; a second try with the same leg tracks the
                    // established call.
                    let hold: f64 = Exp1.sample(&mut self.rng);
                    let established = Try { ended: false, ..self.tries[number].clone() };
                    self.tries[number].ended = true;
                    let established_number = self.tries.len();
                    self.tries.push(Try { started_at: f64::INFINITY, ..established });
                    self.by_leg.insert(leg, established_number);
                    let hold = hold * drill.grades[self.people[person].grade].hold * 1000.0;
                    self.schedule(now + hold, PlannedEvent::HangUp(established_number));
                }
                Event::Ended(end) => {
                    self.by_leg.remove(leg);
                    if std::mem::replace(&mut self.tries[number].ended, true) {
                        continue;
                    }
                    if self.tries[number].started_at == f64::INFINITY {
                        self.people[person].cut = true;
                        continue;
                    }
                    let retry_after = match &end {
                        EndReason::Peer { elements, .. } => {
                            let stopping = elements.cause() == Some(causes::STOPPING);
                            Hints::read(elements).retry_after.or(stopping.then_some(0))
                        }
                        _ => None,
                    };
                    self.redial(now, drill, person, retry_after);
                }
                _ => {}
            }
        }
    }

    /// Schedules a redial, unless the person has used up their redials.
    fn redial(&mut self, now: f64, drill: &Drill, person: usize, retry_after: Option<u32>) {
        let caller = &self.people[person];
        let max_redials = if caller.redials_at_once { self.faults.abuse.3 } else { drill.load.redials };
        if caller.tries > max_redials {
            return;
        }
        let wait = if caller.redials_at_once {
            1.0
        } else if let Some(retry_after) =
            retry_after.filter(|_| self.rng.random::<f64>() < drill.load.retry_after_compliance)
        {
            f64::from(retry_after) * (1.0 + 0.1 * self.rng.random::<f64>())
        } else {
            REDIAL_DELAY_MS * (0.5 + self.rng.random::<f64>())
        };
        self.schedule(now + wait, PlannedEvent::Dial(person));
    }

    /// Number of conversations established now.
    pub fn established_count(&self) -> usize {
        self.tries.iter().filter(|t| t.started_at == f64::INFINITY && !t.ended).count()
    }

    /// What a person's conversation could earn, and what it did earn. Tenants' shares are not counted here.
    pub fn earned(&self, drill: &Drill, person: &Person) -> (f64, f64) {
        let grade = &drill.grades[person.grade];
        let worth = grade.earnings;
        let share = match person.answered_at {
            Some(answered_at) if !person.cut && answered_at - person.first_at <= grade.quoted * 1000.0 => 1.0,
            Some(answered_at) if !person.cut && answered_at - person.first_at <= grade.limit * 1000.0 => {
                grade.late_share
            }
            _ => 0.0,
        };
        (worth, worth * share)
    }
}

/// Draws an index by weight.
fn weighted_choice(rng: &mut Pcg64Mcg, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut draw = rng.random::<f64>() * weights.clone().sum::<f64>();
    let index = weights.clone().position(|weight| {
        draw -= weight;
        draw <= 0.0
    });
    index.unwrap_or(weights.count().saturating_sub(1))
}
