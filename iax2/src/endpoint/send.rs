//! Sending and retransmission of frames.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};

use super::state::Unacknowledged;
use super::{Datagram, Endpoint, Leg};
use crate::element::Elements;
use crate::frame::{Full, iax, kind};

impl Endpoint {
    /// Sends a sequenced frame with these elements as its body.
    pub(super) fn send_elements(&mut self, leg: Leg, now: f64, kind: u8, subclass: u32, elements: &Elements) {
        let mut body = BytesMut::new();
        elements.write(&mut body);
        self.send(leg, now, kind, subclass, body.freeze());
    }

    /// Sends a sequenced frame with the current timestamp.
    pub(super) fn send(&mut self, leg: Leg, now: f64, kind: u8, subclass: u32, body: Bytes) {
        let state = &mut self.legs[leg];
        // Timestamps must increase from frame to frame (RFC 5456, 8.1.1), however short the time between
        // them.
        let timestamp = ((now - state.started_at).max(0.0) as u32).max(state.last_timestamp.wrapping_add(1));
        state.last_timestamp = timestamp;
        self.send_at(leg, now, timestamp, kind, subclass, body);
    }

    /// Sends a sequenced frame, and keeps it until it is acknowledged.
    pub(super) fn send_at(
        &mut self,
        leg: Leg,
        now: f64,
        timestamp: u32,
        kind: u8,
        subclass: u32,
        body: Bytes,
    ) {
        let resend_delay = self.limits.resend_delay;
        let state = &mut self.legs[leg];
        let full = Full {
            source: state.local_number,
            dest: state.remote_number,
            retransmitted: false,
            timestamp,
            oseq: state.oseq,
            iseq: state.iseq,
            kind,
            subclass,
            body,
        };
        let bytes = full.write();
        state.unacknowledged.push_back(Unacknowledged {
            oseq: state.oseq,
            bytes: bytes.clone(),
            due: now + resend_delay,
            wait: resend_delay,
            resends: 0,
        });
        state.oseq = state.oseq.wrapping_add(1);
        self.datagrams.push_back(Datagram { peer: state.peer, bytes: bytes.freeze() });
        self.schedule_wake(leg);
    }

    /// Sends an unsequenced frame such as ACK, which is never retransmitted.
    pub(super) fn send_unsequenced(&mut self, leg: Leg, subclass: u32, timestamp: u32) {
        let s = &self.legs[leg];
        self.send_once(
            s.peer,
            s.local_number,
            s.remote_number,
            timestamp,
            s.oseq,
            s.iseq,
            subclass,
            Bytes::new(),
        );
    }

    /// Sends an IAX frame with these header fields, without retransmission.
    #[allow(clippy::too_many_arguments)] // the fields of the header, in its order
    pub(super) fn send_once(
        &mut self,
        peer: SocketAddr,
        source: u16,
        dest: u16,
        timestamp: u32,
        oseq: u8,
        iseq: u8,
        subclass: u32,
        body: Bytes,
    ) {
        let full = Full {
            source,
            dest,
            retransmitted: false,
            timestamp,
            oseq,
            iseq,
            kind: kind::IAX,
            subclass,
            body,
        };
        self.datagrams.push_back(Datagram { peer, bytes: full.write().freeze() });
    }

    /// Retransmits an unacknowledged frame and doubles its next wait.
    pub(super) fn resend(&mut self, leg: Leg, now: f64, oseq: u8) {
        let state = &mut self.legs[leg];
        let Some(sent) = state.unacknowledged.iter_mut().find(|sent| sent.oseq == oseq) else { return };
        sent.resends += 1;
        sent.wait *= 2.0;
        sent.due = now + sent.wait;
        // The copy acknowledges what the peer has sent meanwhile, and carries the peer's number if it is
        // known by now.
        sent.bytes[9] = state.iseq;
        let is_new = sent.bytes[10] == kind::IAX && u32::from(sent.bytes[11]) == iax::NEW;
        let dest = if is_new { [0, 0] } else { state.remote_number.to_be_bytes() };
        (sent.bytes[2], sent.bytes[3]) = (0x80 | dest[0], dest[1]);
        let bytes = Bytes::copy_from_slice(&sent.bytes);
        self.datagrams.push_back(Datagram { peer: state.peer, bytes });
        self.counts.resent += 1;
    }
}
