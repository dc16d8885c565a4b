//! Handling of a peer's frames: calls, probes, acknowledgements, order, and the effect of each frame on its
//! leg.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};

use super::state::Phase;
use super::{EndReason, Endpoint, Event, Leg, Media, Poke};
use crate::cause;
use crate::element::{self, Elements};
use crate::frame::{self, Frame, Full, MAX_CALL_NUMBER, Mini, control, iax, kind};

impl Endpoint {
    /// Handles a datagram, whose contents are not trusted.
    pub fn receive(&mut self, now: f64, peer: SocketAddr, datagram: &Bytes) {
        match frame::read(datagram) {
            Ok(Frame::Full(full)) => self.handle_full(now, peer, full),
            Ok(Frame::Mini(mini)) => self.handle_mini(peer, mini),
            Ok(Frame::Trunk(minis)) => minis.into_iter().for_each(|mini| self.handle_mini(peer, mini)),
            Ok(Frame::Video(_)) => self.counts.unmatched += 1,
            Err(_) => self.counts.malformed += 1,
        }
    }

    fn handle_mini(&mut self, peer: SocketAddr, mini: Mini) {
        let leg = self.by_remote_number.get(&(peer, mini.source)).copied();
        match leg.filter(|&leg| matches!(self.legs[leg].phase, Phase::Accepted | Phase::Established)) {
            Some(leg) => {
                // The timestamp closest to the last full one that has these low 16 bits.
                let last = self.legs[leg].last_remote_timestamp;
                let offset = mini.timestamp.wrapping_sub(last as u16) as i16;
                let timestamp = last.wrapping_add_signed(i32::from(offset));
                self.legs[leg].last_remote_timestamp = timestamp;
                let media = Media { timestamp, full: None, body: mini.body };
                self.events.push_back((leg, Event::Media(media)));
            }
            None => self.counts.unmatched += 1,
        }
    }

    fn handle_full(&mut self, now: f64, peer: SocketAddr, full: Full) {
        if full.is(kind::IAX, iax::NEW) && full.dest == 0 {
            return self.handle_new(now, peer, full);
        }
        if full.is(kind::IAX, iax::POKE) {
            let poke = Poke { peer, source: full.source, timestamp: full.timestamp };
            return self.events.push_back((Leg::default(), Event::Poked(poke)));
        }
        match self.find_leg(peer, &full) {
            Some(leg) => self.handle_leg_frame(now, leg, full),
            None if full.is(kind::IAX, iax::PONG) && self.pokes.remove(&(peer, full.dest)).is_some() => {
                self.handle_pong(peer, full);
            }
            None => self.handle_unmatched(peer, &full),
        }
    }

    /// The leg that a frame belongs to: by the local number if the frame has one, else by the peer's number.
    fn find_leg(&self, peer: SocketAddr, full: &Full) -> Option<Leg> {
        if full.dest == 0 {
            return self.by_remote_number.get(&(peer, full.source)).copied();
        }
        let found = self.by_local_number.get(&(peer, full.dest)).copied();
        found.filter(|&leg| [0, full.source].contains(&self.legs[leg].remote_number))
    }

    /// Handles the answer to a probe.
    fn handle_pong(&mut self, peer: SocketAddr, full: Full) {
        let iseq = full.oseq.wrapping_add(1);
        self.send_once(peer, full.dest, full.source, full.timestamp, 1, iseq, iax::ACK, Bytes::new());
        let elements = Elements::read(full.body).unwrap_or_default();
        self.events.push_back((Leg::default(), Event::Pong { peer, elements }));
    }

    /// Handles a frame of an unknown leg (RFC 5456, 6.9.2). Frames outside the sequence are never answered,
    /// so that two endpoints cannot answer each other forever.
    fn handle_unmatched(&mut self, peer: SocketAddr, full: &Full) {
        self.counts.unmatched += 1;
        if full.is_sequenced() {
            let iseq = full.oseq.wrapping_add(1);
            // A frame with source 0 is invalid, so a frame sent before the peer knew the local number is
            // answered with another number.
            let source = if full.dest == 0 { MAX_CALL_NUMBER } else { full.dest };
            self.send_once(
                peer,
                source,
                full.source,
                full.timestamp,
                full.iseq,
                iseq,
                iax::INVAL,
                Bytes::new(),
            );
        }
    }

    fn handle_new(&mut self, now: f64, peer: SocketAddr, full: Full) {
        if let Some(&leg) = self.by_remote_number.get(&(peer, full.source)) {
            let state = &self.legs[leg];
            let copy = |(stamp, body): &(u32, Bytes)| *stamp == full.timestamp && *body == full.body;
            if state.offer.as_ref().is_some_and(copy) {
                self.counts.duplicates += 1;
                return self.send_unsequenced(leg, iax::ACK, full.timestamp);
            }
            // The peer has restarted and uses the number again.
            if state.phase != Phase::Ended {
                self.end_with(leg, now, EndReason::Unknown);
            }
            self.legs[leg].unacknowledged.clear();
            self.by_remote_number.remove(&(peer, full.source));
        }
        let elements_read = Elements::read(full.body.clone());
        let version_known =
            elements_read.as_ref().is_ok_and(|e| e.u16(element::VERSION) == Some(element::PROTOCOL_VERSION));
        let created =
            if version_known { self.create_leg(now, peer, full.source, Phase::Offered) } else { None };
        let Some(leg) = created else { return self.reject_without_leg(peer, &full, version_known) };
        let state = &mut self.legs[leg];
        state.iseq = full.oseq.wrapping_add(1);
        state.offer = Some((full.timestamp, full.body));
        self.send_unsequenced(leg, iax::ACK, full.timestamp);
        let elements = elements_read.expect("version checked");
        self.events.push_back((leg, Event::Offered { peer, elements, retransmitted: full.retransmitted }));
    }

    /// Rejects a NEW without creating a leg. The same NEW gets the same answer again, and no state is kept.
    fn reject_without_leg(&mut self, peer: SocketAddr, full: &Full, version_known: bool) {
        let code = if version_known { cause::CONGESTION } else { cause::INVALID_NUMBER };
        let count = if version_known { &mut self.counts.turned_away } else { &mut self.counts.malformed };
        *count += 1;
        let mut body = BytesMut::new();
        Elements::new().with_cause(code).write(&mut body);
        let iseq = full.oseq.wrapping_add(1);
        let (source, dest, body) = (MAX_CALL_NUMBER, full.source, body.freeze());
        self.send_once(peer, source, dest, full.timestamp, 0, iseq, iax::REJECT, body);
    }

    fn handle_leg_frame(&mut self, now: f64, leg: Leg, full: Full) {
        let state = &mut self.legs[leg];
        state.heard = true;
        if state.remote_number == 0 && !full.is(kind::IAX, iax::INVAL) {
            state.remote_number = full.source;
            let key = (state.peer, full.source);
            // The peer has reused this number, so an older leg under it has ended for the peer.
            let old = self.by_remote_number.insert(key, leg);
            if let Some(old) = old.filter(|&old| old != leg && self.legs[old].phase != Phase::Ended) {
                self.end_with(old, now, EndReason::Unknown);
            }
        }
        let state = &mut self.legs[leg];
        while let Some(sent) = state.unacknowledged.front() {
            // Frames up to half the number range before the expected one are acknowledged.
            if !(1..=128).contains(&full.iseq.wrapping_sub(sent.oseq)) {
                break;
            }
            state.unacknowledged.pop_front();
        }
        if !full.is_sequenced() {
            match full.subclass {
                iax::INVAL if full.kind == kind::IAX && state.phase != Phase::Ended => {
                    state.unacknowledged.clear();
                    self.end_with(leg, now, EndReason::Unknown);
                }
                iax::INVAL => state.unacknowledged.clear(),
                iax::VNAK => {
                    let all: Vec<u8> = state.unacknowledged.iter().map(|sent| sent.oseq).collect();
                    all.into_iter().for_each(|oseq| self.resend(leg, now, oseq));
                }
                _ => {}
            }
            return self.schedule_wake(leg);
        }
        let ahead = full.oseq.wrapping_sub(state.iseq);
        if ahead != 0 {
            if ahead >= 128 {
                self.counts.duplicates += 1;
                self.send_unsequenced(leg, iax::ACK, full.timestamp);
            } else {
                self.counts.out_of_order += 1;
                self.send_unsequenced(leg, iax::VNAK, full.timestamp);
            }
            return self.schedule_wake(leg);
        }
        state.iseq = state.iseq.wrapping_add(1);
        state.last_remote_timestamp = full.timestamp;
        self.handle_in_order(now, leg, full);
        self.schedule_wake(leg);
    }

    fn handle_in_order(&mut self, now: f64, leg: Leg, full: Full) {
        let phase = self.legs[leg].phase;
        let reply = match (full.kind, full.subclass) {
            (kind::IAX, iax::PING) => Some(iax::PONG),
            (kind::IAX, iax::LAGRQ) => Some(iax::LAGRP),
            _ => None,
        };
        if let Some(subclass) = reply.filter(|_| phase != Phase::Ended) {
            // The reply acknowledges the frame by its sequence numbers (RFC 5456, 6.7).
            return self.send(leg, now, kind::IAX, subclass, Bytes::new());
        }
        if phase == Phase::Ended {
            // A peer that continues, although no frame is in flight that would tell it, has missed the end.
            let ends = full.kind == kind::IAX && [iax::HANGUP, iax::REJECT].contains(&full.subclass);
            let peer_missed_end = self.legs[leg].unacknowledged.is_empty() && !ends;
            return self.send_unsequenced(
                leg,
                if peer_missed_end { iax::INVAL } else { iax::ACK },
                full.timestamp,
            );
        }
        self.send_unsequenced(leg, iax::ACK, full.timestamp);
        let elements = |body| Elements::read(body).unwrap_or_default();
        let event = match (full.kind, full.subclass) {
            (kind::IAX, iax::ACCEPT) if phase == Phase::Calling => {
                self.legs[leg].phase = Phase::Accepted;
                Event::Accepted(elements(full.body))
            }
            (kind::IAX, iax::REJECT) if phase == Phase::Calling => {
                let end = EndReason::Peer { rejected: true, elements: elements(full.body) };
                return self.end_with(leg, now, end);
            }
            (kind::IAX, iax::HANGUP) => {
                let end = EndReason::Peer { rejected: false, elements: elements(full.body) };
                return self.end_with(leg, now, end);
            }
            (kind::CONTROL, control::HANGUP | control::BUSY | control::CONGESTION)
                if phase != Phase::Established =>
            {
                let code = match full.subclass {
                    control::BUSY => cause::USER_BUSY,
                    control::CONGESTION => cause::CONGESTION,
                    _ => cause::NORMAL_CLEARING,
                };
                let end = EndReason::Peer { rejected: false, elements: Elements::new().with_cause(code) };
                self.end(now, leg, &Elements::new());
                return self.events.push_back((leg, Event::Ended(end)));
            }
            (kind::CONTROL, control::RINGING) if phase == Phase::Accepted => Event::Ringing,
            (kind::CONTROL, control::PROCEEDING | control::PROGRESS) if phase == Phase::Accepted => {
                Event::Proceeding
            }
            (kind::CONTROL, control::ANSWER) if matches!(phase, Phase::Calling | Phase::Accepted) => {
                self.establish(leg, now);
                Event::Answered(elements(full.body))
            }
            (kind::IAX, iax::PONG | iax::LAGRP | iax::UNSUPPORT) => return,
            (kind::IAX, subclass) => {
                // RFC 5456, 6.9.4: an unknown subclass is answered by UNSUPPORT.
                let body = Elements::new().with(element::UNKNOWN, [subclass as u8]);
                return self.send_elements(leg, now, kind::IAX, iax::UNSUPPORT, &body);
            }
            (kind, subclass) => {
                let media =
                    Media { timestamp: full.timestamp, full: Some((kind, subclass)), body: full.body };
                Event::Media(media)
            }
        };
        self.events.push_back((leg, event));
    }
}
