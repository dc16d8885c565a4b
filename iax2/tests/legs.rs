//! Tests of call legs between two endpoints, over a link with seeded loss, duplication and reordering.

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

/// Two endpoints, the datagrams in transit, and all events of each endpoint.
struct Link {
    ends: [Endpoint; 2],
    now: f64,
    in_transit: Vec<(f64, usize, Bytes)>,
    events: [Vec<(Leg, Event)>; 2],
    sent: [Vec<Bytes>; 2],
    rng: Pcg64Mcg,
    loss: f64,
    duplication: f64,
    jitter: f64,
}

impl Link {
    fn new(seed: u64, loss: f64) -> Self {
        let end = |seed| Endpoint::new(Limits { ping_interval: 1e9, ..Limits::default() }, seed);
        Self {
            ends: [end(seed), end(seed + 1)],
            now: 0.0,
            in_transit: Vec::new(),
            events: Default::default(),
            sent: Default::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss,
            duplication: loss / 2.0,
            jitter: if loss > 0.0 { 60.0 } else { 0.0 },
        }
    }

    fn collect(&mut self) {
        for from in 0..2 {
            while let Some(Datagram { bytes, .. }) = self.ends[from].next_datagram() {
                self.sent[from].push(bytes.clone());
                let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplication);
                for _ in 0..copies {
                    if self.rng.random::<f64>() >= self.loss {
                        let arrival = self.now + 5.0 + self.rng.random::<f64>() * self.jitter;
                        self.in_transit.push((arrival, 1 - from, bytes.clone()));
                    }
                }
            }
            while let Some(event) = self.ends[from].next_event() {
                self.events[from].push(event);
            }
        }
    }

    /// Runs both endpoints until nothing is due before `end`.
    fn run_until(&mut self, end: f64) {
        loop {
            self.collect();
            let arrival = self.in_transit.iter().map(|d| d.0).fold(f64::INFINITY, f64::min);
            let wake = self.ends.iter().filter_map(Endpoint::due).fold(f64::INFINITY, f64::min);
            let next = arrival.min(wake);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if let Some(index) = self.in_transit.iter().position(|d| d.0 <= self.now) {
                let (_, to, bytes) = self.in_transit.swap_remove(index);
                self.ends[to].receive(self.now, address(1 - to as u16 + 1), &bytes);
            }
            let now = self.now;
            self.ends.iter_mut().for_each(|end| end.turn(now));
        }
        self.now = end;
    }

    fn call(&mut self) -> Leg {
        let elements = Elements::new().with(element::CALLED_NUMBER, "100");
        self.ends[0].call(self.now, address(2), &elements).expect("room")
    }

    fn offers(&self) -> Vec<Leg> {
        let offers = self.events[1].iter().filter(|(_, h)| matches!(h, Event::Offered { .. }));
        offers.map(|(leg, _)| *leg).collect()
    }

    fn count(&self, end: usize, which: impl Fn(&Event) -> bool) -> usize {
        self.events[end].iter().filter(|(_, h)| which(h)).count()
    }
}

#[rstest]
fn calls_over_a_lossy_link_are_answered_once_and_end_once(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut link = Link::new(seed, 0.2);
    let calls = 40;
    let legs: Vec<Leg> = (0..calls).map(|_| link.call()).collect();
    link.run_until(8_000.0);
    let offers = link.offers();
    assert!(offers.len() <= calls, "a NEW that comes twice is one offer");
    for leg in offers {
        link.ends[1].accept(link.now, leg, &Elements::new());
        link.ends[1].answer(link.now, leg, &Elements::new());
    }
    link.run_until(16_000.0);
    let answered: Vec<Leg> =
        link.events[0].iter().filter(|(_, h)| matches!(h, Event::Answered(_))).map(|(l, _)| *l).collect();
    assert!(answered.len() >= calls * 9 / 10, "{} of {calls}", answered.len());
    for leg in legs {
        link.ends[0].end(link.now, leg, &Elements::new().with_cause(16));
    }
    link.run_until(60_000.0);
    for (end, events) in link.events.iter().enumerate() {
        for &(leg, _) in events {
            let ends = events.iter().filter(|(l, h)| *l == leg && matches!(h, Event::Ended(_))).count();
            assert!(ends <= 1, "end {end}: a leg ends once");
        }
    }
    assert_eq!(link.ends.each_ref().map(Endpoint::legs), [0, 0], "all ended legs are removed");
}

#[test]
fn resends_back_off_and_stop() {
    let mut link = Link::new(1, 0.0);
    let leg = link.call();
    link.in_transit.clear();
    link.loss = 1.0;
    link.run_until(499.0);
    assert_eq!(link.sent[0].len(), 1);
    link.run_until(14_999.0);
    assert_eq!(link.sent[0].len(), 5, "after 500, 1500, 3500 and 7500 ms");
    link.run_until(16_000.0);
    assert_eq!(link.events[0], [(leg, Event::Ended(EndReason::Silent { heard: false }))]);
}

#[test]
fn ending_an_unacknowledged_call_stops_resends_of_its_new() {
    let mut link = Link::new(1, 1.0);
    let leg = link.call();
    link.run_until(100.0);
    link.ends[0].end(link.now, leg, &Elements::new());
    link.run_until(20_000.0);
    let new_frames =
        link.sent[0].iter().filter(|bytes| bytes[11] == iax::NEW as u8 && bytes[10] == kind::IAX);
    assert_eq!(new_frames.count(), 1, "the NEW is not sent again once its call is off");
}

#[test]
fn a_new_that_arrives_after_its_own_hangup_is_ended_by_inval() {
    let mut link = Link::new(1, 0.0);
    let leg = link.call();
    link.ends[0].end(0.0, leg, &Elements::new());
    link.collect();
    link.in_transit.reverse();
    link.in_transit[0].0 = 1.0;
    link.run_until(1_000.0);
    let offer = link.offers()[0];
    link.ends[1].accept(link.now, offer, &Elements::new());
    link.ends[1].answer(link.now, offer, &Elements::new());
    link.run_until(2_000.0);
    assert_eq!(link.count(1, |h| matches!(h, Event::Ended(EndReason::Unknown))), 1);
    assert_eq!(link.count(0, |h| matches!(h, Event::Answered(_))), 0);
}

/// A lossless link with a call that was offered and accepted.
fn accepted_call() -> (Link, Leg, Leg) {
    let mut link = Link::new(1, 0.0);
    let leg = link.call();
    link.run_until(50.0);
    let offer = link.offers()[0];
    link.ends[1].accept(link.now, offer, &Elements::new());
    (link, leg, offer)
}

#[test]
fn a_hangup_crossing_an_answer_ends_both_sides_once() {
    let (mut link, leg, offer) = accepted_call();
    link.run_until(100.0);
    link.ends[1].answer(link.now, offer, &Elements::new());
    link.ends[0].end(link.now, leg, &Elements::new().with_cause(16));
    link.run_until(30_000.0);
    assert_eq!(link.count(0, |h| matches!(h, Event::Answered(_) | Event::Ended(_))), 0);
    assert_eq!(link.count(1, |h| matches!(h, Event::Ended(_))), 1);
}

#[test]
fn a_peer_that_restarted_under_the_same_number_is_a_new_call() {
    let (mut link, ..) = accepted_call();
    link.run_until(100.0);
    // The same seed gives the same call numbers; the called number differs.
    link.ends[0] = Endpoint::new(Limits::default(), 1);
    let elements = Elements::new().with(element::CALLED_NUMBER, "200");
    link.ends[0].call(link.now, address(2), &elements);
    link.run_until(200.0);
    assert_eq!(link.offers().len(), 2);
    assert_eq!(link.count(1, |h| matches!(h, Event::Ended(EndReason::Unknown))), 1);
}

#[test]
fn inval_from_a_restarted_server_ends_the_leg() {
    let (mut link, leg, _) = accepted_call();
    link.run_until(100.0);
    link.ends[1] = Endpoint::new(Limits::default(), 9);
    let text = iax2::Media { timestamp: 60, full: Some((kind::TEXT, 0)), body: Bytes::new() };
    link.ends[0].media(link.now, leg, &text);
    link.run_until(200.0);
    assert_eq!(link.events[0].last(), Some(&(leg, Event::Ended(EndReason::Unknown))));
}

#[test]
fn a_new_beyond_the_leg_limit_is_rejected_without_a_leg() {
    let mut link = Link::new(1, 0.0);
    link.ends[1] = Endpoint::new(Limits { max_legs: 1, ..Limits::default() }, 3);
    link.call();
    link.call();
    link.run_until(100.0);
    assert_eq!(link.offers().len(), 1);
    let rejected = |h: &Event| matches!(h, Event::Ended(EndReason::Peer { rejected: true, elements }) if elements.cause() == Some(42));
    assert_eq!(link.count(0, rejected), 1);
    assert_eq!(link.ends[1].counts().turned_away, 1);
}

#[test]
fn a_frame_of_an_unknown_call_is_answered_by_inval_unless_it_is_unsequenced() {
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
fn a_poke_is_answered_by_a_pong_with_the_peers_elements() {
    let mut link = Link::new(1, 0.0);
    link.ends[0].poke(0.0, address(2));
    link.run_until(50.0);
    let Some((_, Event::Poked(poke))) = link.events[1].pop() else { panic!("poked") };
    link.ends[1].pong(&poke, &Elements::new().with(element::CAUSE, "well"));
    link.run_until(100.0);
    let Some((_, Event::Pong { elements, .. })) = link.events[0].pop() else { panic!("ponged") };
    assert_eq!(elements.text(element::CAUSE), Some("well"));
}

#[rstest]
fn arbitrary_datagrams_do_not_exceed_the_leg_limit(#[values(1, 2, 3)] seed: u64) {
    let mut end = Endpoint::new(Limits { max_legs: 50, ..Limits::default() }, seed);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for i in 0..20_000 {
        let mut bytes = vec![0u8; rng.random_range(0..40)];
        rng.fill(&mut bytes[..]);
        // Half of them get the header of a valid full frame, so that more of the code is reached.
        if bytes.len() >= 12 && rng.random() {
            bytes[0] |= 0x80;
            (bytes[2], bytes[3]) = (0, rng.random_range(0..4));
            (bytes[10], bytes[11]) = (6, rng.random_range(1..0x28));
            (bytes[8], bytes[9]) = (0, 0);
        }
        end.receive(f64::from(i), address(rng.random_range(1..4)), &bytes.into());
        end.turn(f64::from(i));
        while end.next_datagram().is_some() {}
        while end.next_event().is_some() {}
    }
    assert!(end.legs() <= 50);
    assert!(end.counts().malformed > 0 && end.counts().unmatched > 0);
}

#[test]
fn media_timestamps_keep_their_distances_across_a_clock_wrap() {
    let (mut link, leg, offer) = accepted_call();
    link.ends[1].answer(link.now, offer, &Elements::new());
    link.run_until(100.0);
    let media = |timestamp, full| iax2::Media { timestamp, full, body: Bytes::from_static(b"sound") };
    link.ends[0].media(link.now, leg, &media(65_500, Some((kind::VOICE, 4))));
    for timestamp in [65_520, 65_540, 65_560] {
        link.ends[0].media(link.now, leg, &media(timestamp, None));
    }
    link.run_until(200.0);
    let times = link.events[1].iter().filter_map(|(_, h)| match h {
        Event::Media(media) => Some(media.timestamp),
        _ => None,
    });
    let mut times: Vec<u32> = times.collect();
    times.sort_unstable();
    let distances: Vec<u32> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(distances, [20, 20, 20]);
}
