//! The callers: first tries by chance, patience, redials that follow advice or don't, and what each
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

use crate::drill::{Drill, REPEAT};

/// Without advice a caller dials again after about this long.
const OWN_WAIT: f64 = 800.0;
/// The pools' shares of first choices drift this often.
const DRIFT: f64 = 6_000.0;

/// Somebody who wants a conversation, over all their tries.
#[derive(Clone, Debug)]
pub struct Person {
    pub grade: usize,
    pub tenant: usize,
    pub first_at: f64,
    pub stood_at: Option<f64>,
    pub cut: bool,
    tries: u32,
    called: String,
    calling: String,
    /// Whether this one dials on at once, whatever it is told.
    instant: bool,
}

/// One try of a person.
#[derive(Clone, Debug)]
pub struct Try {
    pub person: usize,
    pub proxy: usize,
    pub at: f64,
    /// When the caller gives up.
    pub until: f64,
    leg: Leg,
    over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Plan {
    Arrive,
    GiveUp(usize),
    HangUp(usize),
    Dial(usize),
}

/// Trouble with callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mood {
    /// Until when, and how many times as often they come.
    pub burst: (f64, f64),
    /// Until when, which tenant, patience as a share of the quoted time, and how many redials.
    pub abuse: (f64, usize, f64, u32),
    /// Until when a few proxies get such a share of all.
    pub hot: (f64, f64, usize),
}

/// All callers.
pub struct Callers {
    endpoint: Endpoint,
    chance: Pcg64Mcg,
    plans: BinaryHeap<Reverse<(OrderedFloat<f64>, u64, Plan)>>,
    planned: u64,
    pub people: Vec<Person>,
    pub tries: Vec<Try>,
    by_leg: SecondaryMap<Leg, usize>,
    by_number: HashMap<(SocketAddr, u16), usize>,
    pub mood: Mood,
    /// Where each proxy is called, and whether callers are sent there.
    pub proxies: Vec<Option<SocketAddr>>,
    first_choice: Vec<f64>,
    drifted: f64,
}

impl Callers {
    pub fn new(drill: &Drill, mut chance: Pcg64Mcg) -> Self {
        let limits =
            Limits { max_legs: 1_000_000, resend_delay: REPEAT, ping_interval: 1e9, ..Limits::default() };
        let mut callers = Self {
            endpoint: Endpoint::new(limits, chance.random()),
            chance,
            plans: BinaryHeap::new(),
            planned: 0,
            people: Vec::new(),
            tries: Vec::new(),
            by_leg: SecondaryMap::new(),
            by_number: HashMap::new(),
            mood: Mood::default(),
            proxies: vec![None; drill.fleet.proxies],
            first_choice: vec![1.0; usize::from(drill.pools())],
            drifted: f64::NEG_INFINITY,
        };
        callers.plan(0.0, Plan::Arrive);
        callers
    }

    fn plan(&mut self, at: f64, plan: Plan) {
        self.planned += 1;
        self.plans.push(Reverse((OrderedFloat(at), self.planned, plan)));
    }

    pub fn due(&self) -> f64 {
        let plan = self.plans.peek().map_or(f64::INFINITY, |Reverse((at, ..))| at.0);
        plan.min(self.endpoint.due().unwrap_or(f64::INFINITY))
    }

    pub fn datagram(&mut self) -> Option<Datagram> {
        self.endpoint.next_datagram()
    }

    pub fn receive(&mut self, now: f64, drill: &Drill, from: SocketAddr, bytes: &Bytes) {
        self.endpoint.receive(now, from, bytes);
        self.hear(now, drill);
    }

    pub fn turn(&mut self, now: f64, drill: &Drill) {
        self.endpoint.turn(now);
        self.hear(now, drill);
        while let Some(Reverse((at, _, plan))) = self.plans.peek().copied() {
            if at.0 > now {
                break;
            }
            self.plans.pop();
            match plan {
                Plan::Arrive => self.arrive(at.0, now, drill),
                Plan::Dial(person) => self.dial(now, drill, person),
                Plan::GiveUp(number) => {
                    let Try { leg, over, person, .. } = self.tries[number];
                    if !over {
                        self.tries[number].over = true;
                        self.endpoint.end(now, leg, &Elements::new().with_cause(cause::NORMAL_CLEARING));
                        self.again(now, drill, person, None);
                    }
                }
                Plan::HangUp(number) => {
                    if !std::mem::replace(&mut self.tries[number].over, true) {
                        let leg = self.tries[number].leg;
                        self.endpoint.end(now, leg, &Elements::new().with_cause(cause::NORMAL_CLEARING));
                    }
                }
            }
        }
    }

    /// Which try a call number of the callers' stands for, at a proxy.
    pub fn try_at(&self, proxy: SocketAddr, number: u16) -> Option<usize> {
        self.by_number.get(&(proxy, number)).copied()
    }

    /// Notes which call number a try's NEW went out under.
    pub fn sent(&mut self, datagram: &Datagram) {
        if let Ok(Frame::Full(full)) = frame::read(&datagram.bytes)
            && full.is(kind::IAX, iax::NEW)
            && let Ok(elements) = Elements::read(full.body)
            && let Some(number) =
                elements.text(element::CALLING_NAME).and_then(|t| t.strip_prefix("try ")?.parse().ok())
        {
            self.by_number.insert((datagram.peer, full.source), number);
        }
    }

    /// A proxy was killed: what stands through it is cut.
    pub fn cut_through(&mut self, proxy: usize) {
        for standing in self.tries.iter_mut().filter(|t| t.proxy == proxy && !t.over && t.at == f64::INFINITY)
        {
            standing.over = true;
            self.people[standing.person].cut = true;
        }
    }

    fn arrive(&mut self, planned: f64, now: f64, drill: &Drill) {
        let busy = if now < self.mood.burst.0 { self.mood.burst.1 } else { 1.0 };
        let gap: f64 = Exp1.sample(&mut self.chance);
        // From the time planned: a drill that is late to look offers no less.
        let next = planned + gap * 1000.0 / (drill.load.rate * busy);
        if next < drill.seconds * 1000.0 {
            self.plan(next, Plan::Arrive);
        }
        if now - self.drifted > DRIFT {
            self.drifted = now;
            for weight in &mut self.first_choice {
                *weight = 0.6 + 0.8 * self.chance.random::<f64>();
            }
        }
        let grade = pick(&mut self.chance, drill.grades.iter().map(|g| g.share));
        let tenant = pick(&mut self.chance, drill.tenants.iter().map(|t| t.share));
        let pool = pick(&mut self.chance, self.first_choice.iter().copied());
        let person = self.people.len();
        let line = self.chance.random_range(0..10_000);
        self.people.push(Person {
            grade,
            tenant,
            first_at: now,
            stood_at: None,
            cut: false,
            tries: 0,
            called: drill.called(grade, pool as u16, line),
            calling: format!("9{person:07}"),
            instant: now < self.mood.abuse.0 && tenant == self.mood.abuse.1,
        });
        self.dial(now, drill, person);
    }

    fn dial(&mut self, now: f64, drill: &Drill, person: usize) {
        let up: Vec<usize> = (0..self.proxies.len()).filter(|&p| self.proxies[p].is_some()).collect();
        if up.is_empty() {
            return;
        }
        let hot = now < self.mood.hot.0 && self.chance.random::<f64>() < self.mood.hot.1;
        let among = if hot { self.mood.hot.2.min(up.len()).max(1) } else { up.len() };
        let proxy = up[self.chance.random_range(0..among)];
        let caller = &mut self.people[person];
        let mut patience = drill.load.patience * 1000.0;
        if caller.instant {
            patience = self.mood.abuse.2 * drill.grades[caller.grade].quoted * 1000.0;
        }
        caller.tries += 1;
        let hints = Hints { caller_timeout: Some(patience as u32), ..Hints::default() };
        let number = self.tries.len();
        let elements = Elements::new()
            .with(element::CALLED_NUMBER, &caller.called)
            .with(element::CALLING_NUMBER, &caller.calling)
            .with(element::CALLING_NAME, format!("try {number}"))
            .with(element::USERNAME, &drill.tenants[caller.tenant].name);
        let to = self.proxies[proxy].expect("up");
        let Some(leg) = self.endpoint.call(now, to, &hints.add_to(elements)) else { return };
        self.by_leg.insert(leg, number);
        let until = now + patience;
        self.tries.push(Try { person, proxy, at: now, until, leg, over: false });
        self.plan(until, Plan::GiveUp(number));
    }

    fn hear(&mut self, now: f64, drill: &Drill) {
        while let Some((leg, happening)) = self.endpoint.next_event() {
            let Some(&number) = self.by_leg.get(leg) else { continue };
            let person = self.tries[number].person;
            match happening {
                Event::Answered(_) if !self.tries[number].over => {
                    self.people[person].stood_at = Some(now);
                    // The give-up that is planned finds a try that is over; another stands for its end.
                    let hold: f64 = Exp1.sample(&mut self.chance);
                    let standing = Try { over: false, ..self.tries[number].clone() };
                    self.tries[number].over = true;
                    let kept = self.tries.len();
                    self.tries.push(Try { at: f64::INFINITY, ..standing });
                    self.by_leg.insert(leg, kept);
                    let hold = hold * drill.grades[self.people[person].grade].hold * 1000.0;
                    self.plan(now + hold, Plan::HangUp(kept));
                }
                Event::Ended(end) => {
                    self.by_leg.remove(leg);
                    if std::mem::replace(&mut self.tries[number].over, true) {
                        continue;
                    }
                    if self.tries[number].at == f64::INFINITY {
                        self.people[person].cut = true;
                        continue;
                    }
                    let advice = match &end {
                        EndReason::Peer { elements, .. } => {
                            let stopping = elements.cause() == Some(causes::STOPPING);
                            Hints::read(elements).retry_after.or(stopping.then_some(0))
                        }
                        _ => None,
                    };
                    self.again(now, drill, person, advice);
                }
                _ => {}
            }
        }
    }

    /// Dials again, unless it has had enough.
    fn again(&mut self, now: f64, drill: &Drill, person: usize, advice: Option<u32>) {
        let caller = &self.people[person];
        let most = if caller.instant { self.mood.abuse.3 } else { drill.load.redials };
        if caller.tries > most {
            return;
        }
        let wait = if caller.instant {
            1.0
        } else if let Some(advice) = advice.filter(|_| self.chance.random::<f64>() < drill.load.honour) {
            f64::from(advice) * (1.0 + 0.1 * self.chance.random::<f64>())
        } else {
            OWN_WAIT * (0.5 + self.chance.random::<f64>())
        };
        self.plan(now + wait, Plan::Dial(person));
    }

    /// Conversations that stand at present.
    pub fn standing(&self) -> usize {
        self.tries.iter().filter(|t| t.at == f64::INFINITY && !t.over).count()
    }

    /// What a person's conversation could earn, with what it did. Shares of tenants are not counted here.
    pub fn earned(&self, drill: &Drill, person: &Person) -> (f64, f64) {
        let grade = &drill.grades[person.grade];
        let worth = grade.earnings;
        let part = match person.stood_at {
            Some(at) if !person.cut && at - person.first_at <= grade.quoted * 1000.0 => 1.0,
            Some(at) if !person.cut && at - person.first_at <= grade.limit * 1000.0 => grade.late,
            _ => 0.0,
        };
        (worth, worth * part)
    }
}

/// A place by its weight.
fn pick(chance: &mut Pcg64Mcg, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut draw = chance.random::<f64>() * weights.clone().sum::<f64>();
    let at = weights.clone().position(|weight| {
        draw -= weight;
        draw <= 0.0
    });
    at.unwrap_or(weights.count().saturating_sub(1))
}
