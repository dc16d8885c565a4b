//! Central servers: what becomes of shots, and what stands.

use frostthread::host::{Ending, Handle, Report, Server};
use iax2::element::{self, Elements};
use iax2::{EndReason, Event, cause};
use records::entry::Outcome;

use super::BorderProxy;
use crate::causes;
use crate::decisions::Decisions;
use crate::hints::Hints;

impl<D: Decisions> BorderProxy<D> {
    pub(super) fn hear_servers(&mut self) {
        while let Some((leg, happening)) = self.hands.servers.next_event() {
            match happening {
                Event::Pong { peer, elements } => {
                    let now = self.hands.now;
                    self.hands.tally.pongs += 1;
                    if let Some(decided) = &mut self.hands.decided {
                        decided.probe_answered(now, peer);
                    }
                    if let Some(server) = self.hands.pool.server_at(peer) {
                        self.hands.witness(server, |evidence, life| evidence.answered(now, life));
                        self.reported(server, Hints::read(&elements).report());
                    }
                }
                Event::Poked(poke) => self.hands.servers.pong(&poke, &Elements::new()),
                // No server has anything to offer here.
                Event::Offered { .. } => {
                    let now = self.hands.now;
                    self.hands.servers.end(now, leg, &Elements::new().with_cause(cause::REJECTED));
                }
                happening => {
                    if let Some(&handle) = self.hands.by_server.get(leg) {
                        self.of_shot(handle, happening);
                    }
                }
            }
        }
    }

    pub(super) fn of_shot(&mut self, handle: Handle, happening: Event) {
        let now = self.hands.now;
        let Some(conversation) = self.hands.conversation(handle) else { return };
        let caller = conversation.caller;
        let Some(server) = conversation.shot.as_ref().map(|shot| shot.server) else { return };
        if !matches!(happening, Event::Ended(EndReason::Silent { .. } | EndReason::Refused)) {
            self.hands.witness(server, |evidence, life| evidence.answered(now, life));
        }
        let Some(conversation) = self.hands.conversation(handle) else { return };
        match happening {
            Event::Accepted(elements) => {
                let first = !std::mem::replace(&mut conversation.accepted, true);
                self.reported(server, Hints::read(&elements).report());
                if first {
                    self.hands.callers.accept(now, caller, &elements.only(&[element::FORMAT]));
                }
            }
            Event::Ringing if !std::mem::replace(&mut conversation.ringing, true) => {
                self.hands.callers.ringing(now, caller);
            }
            Event::Answered(elements) => {
                if std::mem::replace(&mut conversation.stands, true) {
                    return;
                }
                let (serial, grade, took) =
                    (conversation.serial, conversation.grade, now - conversation.taken);
                if !std::mem::replace(&mut conversation.accepted, true) {
                    self.hands.callers.accept(now, caller, &Elements::new());
                }
                self.hands.tally.established += 1;
                self.hands.earned.stood(grade, took);
                if let Some(scribe) = &mut self.hands.scribe {
                    scribe.answered(now, serial);
                }
                self.hands.callers.answer(now, caller, &Elements::new());
                self.reported(server, Hints::read(&elements).report());
                self.module.established(handle);
            }
            Event::Media(media) if conversation.stands => self.hands.callers.media(now, caller, &media),
            Event::Ended(end) => self.shot_ended(handle, server, &end),
            _ => {}
        }
    }

    pub(super) fn shot_ended(&mut self, handle: Handle, server: Server, end: &EndReason) {
        if let EndReason::Peer { elements, .. } = end {
            self.reported(server, Hints::read(elements).report());
        }
        let Some(conversation) = self.hands.conversation(handle) else { return };
        let shot = conversation.shot.take().expect("it ended");
        let stands = conversation.stands;
        self.hands.by_server.remove(shot.leg);
        if !stands {
            return self.ended(handle, causes::attempt_ending(end));
        }
        let ending = causes::established_ending(end);
        let cut = ending != Ending::Ok;
        if cut {
            self.hands.earned.cut();
        }
        *(if cut { &mut self.hands.tally.cut } else { &mut self.hands.tally.cleared }) += 1;
        self.hands.closed(handle, if cut { Outcome::Cut } else { Outcome::Completed });
        self.hands.close(handle, if cut { causes::CUT } else { cause::NORMAL_CLEARING }, None);
        self.module.ended(handle, ending, true, &mut self.hands);
    }

    pub(super) fn ended(&mut self, handle: Handle, ending: Ending) {
        let tally = &mut self.hands.tally;
        match ending {
            Ending::Rejected | Ending::NoFreeLine => tally.rejected += 1,
            Ending::TimedOut => tally.timed_out += 1,
            Ending::Reset => tally.reset += 1,
            _ => {}
        }
        self.module.ended(handle, ending, false, &mut self.hands);
    }

    pub(super) fn reported(&mut self, server: Server, report: Report) {
        if let Some((limits, rate)) = self.hands.limits.as_mut().zip(report.rate) {
            limits.set_reported_rate(server, rate);
        }
        self.module.reported(server, report);
    }
}
