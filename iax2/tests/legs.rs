//! Two endpoints over a link that loses, doubles and reorders by seed; and the troubles of legs, one by one.

use std::net::SocketAddr;

use bytes::Bytes;
use iax2::element::{self, Elements};
use iax2::frame::{self, Frame, iax, kind};
use iax2::{Datagram, EndReason, Endpoint, Event, Leg, Limits};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Two endpoints, the datagrams on their way, and all that happened at each.
struct Link {
    ends: [Endpoint; 2],
    now: f64,
    on_the_way: Vec<(f64, usize, Bytes)>,
    happened: [Vec<(Leg, Event)>; 2],
    sent: [Vec<Bytes>; 2],
    chance: Pcg64Mcg,
    loss: f64,
    double: f64,
    jitter: f64,
}

impl Link {
    fn new(seed: u64, loss: f64) -> Self {
        let end = |seed| Endpoint::new(Limits { ping_interval: 1e9, ..Limits::default() }, seed);
        Self {
            ends: [end(seed), end(seed + 1)],
            now: 0.0,
            on_the_way: Vec::new(),
            happened: Default::default(),
            sent: Default::default(),
            chance: Pcg64Mcg::seed_from_u64(seed),
            loss,
            double: loss / 2.0,
            jitter: if loss > 0.0 { 60.0 } else { 0.0 },
        }
    }

    fn collect(&mut self) {
        for from in 0..2 {
            while let Some(Datagram { bytes, .. }) = self.ends[from].next_datagram() {
                self.sent[from].push(bytes.clone());
                let copies = 1 + usize::from(self.chance.random::<f64>() < self.double);
                for _ in 0..copies {
                    if self.chance.random::<f64>() >= self.loss {
                        let at = self.now + 5.0 + self.chance.random::<f64>() * self.jitter;
                        self.on_the_way.push((at, 1 - from, bytes.clone()));
                    }
                }
            }
            while let Some(happening) = self.ends[from].next_event() {
                self.happened[from].push(happening);
            }
        }
    }

    /// Runs until nothing more is due before `until`.
    fn run(&mut self, until: f64) {
        loop {
            self.collect();
            let arrival = self.on_the_way.iter().map(|d| d.0).fold(f64::INFINITY, f64::min);
            let wake = self.ends.iter().filter_map(Endpoint::due).fold(f64::INFINITY, f64::min);
            let next = arrival.min(wake);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if let Some(at) = self.on_the_way.iter().position(|d| d.0 <= self.now) {
                let (_, to, bytes) = self.on_the_way.swap_remove(at);
                self.ends[to].receive(self.now, address(1 - to as u16 + 1), &bytes);
            }
            let now = self.now;
            self.ends.iter_mut().for_each(|end| end.turn(now));
        }
        self.now = until;
    }

    fn call(&mut self) -> Leg {
        let elements = Elements::new().with(element::CALLED_NUMBER, "100");
        self.ends[0].call(self.now, address(2), &elements).expect("room")
    }

    fn offers(&self) -> Vec<Leg> {
        let offers = self.happened[1].iter().filter(|(_, h)| matches!(h, Event::Offered { .. }));
        offers.map(|(leg, _)| *leg).collect()
    }

    fn count(&self, end: usize, which: impl Fn(&Event) -> bool) -> usize {
        self.happened[end].iter().filter(|(_, h)| which(h)).count()
    }
}

#[rstest]
fn calls_stand_once_and_end_once_over_a_bad_link(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut link = Link::new(seed, 0.2);
    let calls = 40;
    let legs: Vec<Leg> = (0..calls).map(|_| link.call()).collect();
    link.run(8_000.0);
    let offers = link.offers();
    assert!(offers.len() <= calls, "a NEW that comes twice is one offer");
    for leg in offers {
        link.ends[1].accept(link.now, leg, &Elements::new());
        link.ends[1].answer(link.now, leg, &Elements::new());
    }
    link.run(16_000.0);
    let answered: Vec<Leg> =
        link.happened[0].iter().filter(|(_, h)| matches!(h, Event::Answered(_))).map(|(l, _)| *l).collect();
    assert!(answered.len() >= calls * 9 / 10, "{} of {calls}", answered.len());
    for leg in legs {
        link.ends[0].end(link.now, leg, &Elements::new().with_cause(16));
    }
    link.run(60_000.0);
    for (end, happened) in link.happened.iter().enumerate() {
        for &(leg, _) in happened {
            let ends = happened.iter().filter(|(l, h)| *l == leg && matches!(h, Event::Ended(_))).count();
            assert!(ends <= 1, "end {end}: a leg ends once");
        }
    }
    assert_eq!(link.ends.each_ref().map(Endpoint::legs), [0, 0], "all have rested and are gone");
}

#[test]
fn resends_grow_apart_and_end() {
    let mut link = Link::new(1, 0.0);
    let leg = link.call();
    link.on_the_way.clear();
    link.loss = 1.0;
    link.run(499.0);
    assert_eq!(link.sent[0].len(), 1);
    link.run(14_999.0);
    assert_eq!(link.sent[0].len(), 5, "after 500, 1500, 3500 and 7500 ms");
    link.run(16_000.0);
    assert_eq!(link.happened[0], [(leg, Event::Ended(EndReason::Silent { heard: false }))]);
}

#[test]
fn an_end_before_any_word_takes_the_new_back() {
    let mut link = Link::new(1, 1.0);
    let leg = link.call();
    link.run(100.0);
    link.ends[0].end(link.now, leg, &Elements::new());
    link.run(20_000.0);
    let news = link.sent[0].iter().filter(|bytes| bytes[11] == iax::NEW as u8 && bytes[10] == kind::IAX);
    assert_eq!(news.count(), 1, "the NEW is not sent again once its call is off");
}

#[test]
fn a_new_overtaken_by_its_own_hangup_is_told_invalid() {
    let mut link = Link::new(1, 0.0);
    let leg = link.call();
    link.ends[0].end(0.0, leg, &Elements::new());
    link.collect();
    link.on_the_way.reverse();
    link.on_the_way[0].0 = 1.0;
    link.run(1_000.0);
    let offer = link.offers()[0];
    link.ends[1].accept(link.now, offer, &Elements::new());
    link.ends[1].answer(link.now, offer, &Elements::new());
    link.run(2_000.0);
    assert_eq!(link.count(1, |h| matches!(h, Event::Ended(EndReason::Unknown))), 1);
    assert_eq!(link.count(0, |h| matches!(h, Event::Answered(_))), 0);
}

/// A sound link with a call on it that was offered and accepted.
fn linked() -> (Link, Leg, Leg) {
    let mut link = Link::new(1, 0.0);
    let leg = link.call();
    link.run(50.0);
    let offer = link.offers()[0];
    link.ends[1].accept(link.now, offer, &Elements::new());
    (link, leg, offer)
}

#[test]
fn hangup_crossing_answer_ends_both_sides_once() {
    let (mut link, leg, offer) = linked();
    link.run(100.0);
    link.ends[1].answer(link.now, offer, &Elements::new());
    link.ends[0].end(link.now, leg, &Elements::new().with_cause(16));
    link.run(30_000.0);
    assert_eq!(link.count(0, |h| matches!(h, Event::Answered(_) | Event::Ended(_))), 0);
    assert_eq!(link.count(1, |h| matches!(h, Event::Ended(_))), 1);
}

#[test]
fn a_peer_that_restarted_under_the_same_number_is_a_new_call() {
    let (mut link, ..) = linked();
    link.run(100.0);
    // The same seed: the same call numbers, with another called number.
    link.ends[0] = Endpoint::new(Limits::default(), 1);
    let elements = Elements::new().with(element::CALLED_NUMBER, "200");
    link.ends[0].call(link.now, address(2), &elements);
    link.run(200.0);
    assert_eq!(link.offers().len(), 2);
    assert_eq!(link.count(1, |h| matches!(h, Event::Ended(EndReason::Unknown))), 1);
}

#[test]
fn a_server_that_restarted_says_invalid_and_the_leg_ends() {
    let (mut link, leg, _) = linked();
    link.run(100.0);
    link.ends[1] = Endpoint::new(Limits::default(), 9);
    let text = iax2::Media { timestamp: 60, full: Some((kind::TEXT, 0)), body: Bytes::new() };
    link.ends[0].media(link.now, leg, &text);
    link.run(200.0);
    assert_eq!(link.happened[0].last(), Some(&(leg, Event::Ended(EndReason::Unknown))));
}

#[test]
fn past_its_legs_a_new_is_turned_away_and_costs_nothing() {
    let mut link = Link::new(1, 0.0);
    link.ends[1] = Endpoint::new(Limits { max_legs: 1, ..Limits::default() }, 3);
    link.call();
    link.call();
    link.run(100.0);
    assert_eq!(link.offers().len(), 1);
    let rejected = |h: &Event| matches!(h, Event::Ended(EndReason::Peer { rejected: true, elements }) if elements.cause() == Some(42));
    assert_eq!(link.count(0, rejected), 1);
    assert_eq!(link.ends[1].counts().turned_away, 1);
}

#[test]
fn an_unknown_call_is_told_invalid_but_never_an_ack_or_an_invalid() {
    let mut end = Endpoint::new(Limits::default(), 1);
    let send = |end: &mut Endpoint, subclass: u32| {
        let full = frame::Full {
            source: 5,
            dest: 77,
            retransmitted: false,
            timestamp: 1,
            oseq: 3,
            iseq: 2,
            kind: kind::IAX,
            subclass,
            body: Bytes::new(),
        };
        end.receive(0.0, address(9), &full.write().freeze());
        end.next_datagram()
    };
    let Some(Datagram { bytes, .. }) = send(&mut end, iax::PING) else { panic!("an answer") };
    let Ok(Frame::Full(full)) = frame::read(&bytes) else { panic!("a full frame") };
    assert!(full.is(kind::IAX, iax::INVAL));
    assert_eq!((full.source, full.dest), (77, 5));
    assert_eq!(send(&mut end, iax::ACK), None);
    assert_eq!(send(&mut end, iax::INVAL), None);
}

#[test]
fn a_probe_is_answered_with_what_the_peer_says_of_itself() {
    let mut link = Link::new(1, 0.0);
    link.ends[0].poke(0.0, address(2));
    link.run(50.0);
    let Some((_, Event::Poked(poke))) = link.happened[1].pop() else { panic!("poked") };
    link.ends[1].pong(&poke, &Elements::new().with(element::CAUSE, "well"));
    link.run(100.0);
    let Some((_, Event::Pong { elements, .. })) = link.happened[0].pop() else { panic!("ponged") };
    assert_eq!(elements.text(element::CAUSE), Some("well"));
}

#[rstest]
fn arbitrary_datagrams_leave_bounded_state(#[values(1, 2, 3)] seed: u64) {
    let mut end = Endpoint::new(Limits { max_legs: 50, ..Limits::default() }, seed);
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    for i in 0..20_000 {
        let mut bytes = vec![0u8; chance.random_range(0..40)];
        chance.fill(&mut bytes[..]);
        // Half of them look like full frames of the protocol, to come further.
        if bytes.len() >= 12 && chance.random() {
            bytes[0] |= 0x80;
            (bytes[2], bytes[3]) = (0, chance.random_range(0..4));
            (bytes[10], bytes[11]) = (6, chance.random_range(1..0x28));
            (bytes[8], bytes[9]) = (0, 0);
        }
        end.receive(f64::from(i), address(chance.random_range(1..4)), &bytes.into());
        end.turn(f64::from(i));
        while end.next_datagram().is_some() {}
        while end.next_event().is_some() {}
    }
    assert!(end.legs() <= 50);
    assert!(end.counts().malformed > 0 && end.counts().unmatched > 0);
}

#[test]
fn media_keeps_its_distances_when_its_clock_wraps() {
    let (mut link, leg, offer) = linked();
    link.ends[1].answer(link.now, offer, &Elements::new());
    link.run(100.0);
    let media = |timestamp, full| iax2::Media { timestamp, full, body: Bytes::from_static(b"sound") };
    link.ends[0].media(link.now, leg, &media(65_500, Some((kind::VOICE, 4))));
    for timestamp in [65_520, 65_540, 65_560] {
        link.ends[0].media(link.now, leg, &media(timestamp, None));
    }
    link.run(200.0);
    let times = link.happened[1].iter().filter_map(|(_, h)| match h {
        Event::Media(media) => Some(media.timestamp),
        _ => None,
    });
    let mut times: Vec<u32> = times.collect();
    times.sort_unstable();
    let gaps: Vec<u32> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(gaps, [20, 20, 20]);
}
