//! Central servers: the course of attempts and of established conversations.

use frostthread::host::{Ending, Handle, Report, Server};
use iax2::element::{self, Elements};
use iax2::{EndReason, Event, cause};
use records::entry::{Outcome, Stored};

use super::BorderProxy;
use super::host::Progress;
use crate::causes;
use crate::decisions::Decisions;
use crate::hints::Hints;

impl<D: Decisions> BorderProxy<D> {
    /// Handles all pending events of the central servers' endpoint.
    pub(super) fn handle_server_events(&mut self) {
        while let Some((leg, event)) = self.host.servers.next_event() {
            match event {
                Event::Pong { peer, elements } => {
                    let now = self.host.now;
                    self.host.counters.pongs += 1;
                    if let Some(decided) = &mut self.host.decided {
                        decided.probe_answered(now, peer);
                    }
                    if let Some(server) = self.host.pool.server_at(peer) {
                        self.host.record_evidence(server, |evidence, generation| {
                            evidence.answered(now, generation)
                        });
                        self.handle_report(server, Hints::read(&elements).report());
                    }
                }
                Event::Poked(poke) => self.host.servers.pong(&poke, &Elements::new()),
                // Central servers place no calls.
                Event::Offered { .. } => {
                    let now = self.host.now;
                    self.host.servers.end(now, leg, &Elements::new().with_cause(cause::REJECTED));
                }
                event => {
                    if let Some(&handle) = self.host.by_attempt.get(leg) {
                        self.handle_attempt_event(handle, event);
                    }
                }
            }
        }
    }

    /// Handles an event on the leg of an attempt.
    pub(super) fn handle_attempt_event(&mut self, handle: Handle, event: Event) {
        let now = self.host.now;
        let Some(conversation) = self.host.conversation(handle) else { return };
        let caller = conversation.caller;
        let Some(server) = conversation.attempt.as_ref().map(|attempt| attempt.server) else { return };
        if !matches!(event, Event::Ended(EndReason::Silent { .. } | EndReason::Refused)) {
            self.host.record_evidence(server, |evidence, generation| evidence.answered(now, generation));
        }
        let Some(conversation) = self.host.conversation(handle) else { return };
        match event {
            Event::Accepted(elements) => {
                let first = !std::mem::replace(&mut conversation.accept_sent, true);
                self.handle_report(server, Hints::read(&elements).report());
                if first {
                    self.host.callers.accept(now, caller, &elements.only(&[element::FORMAT]));
                }
            }
            Event::Ringing if !std::mem::replace(&mut conversation.ringing_sent, true) => {
                self.host.callers.ringing(now, caller);
            }
            Event::Answered(elements) => {
                if conversation.is_answered() {
                    return;
                }
                if !std::mem::replace(&mut conversation.accept_sent, true) {
                    self.host.callers.accept(now, caller, &Elements::new());
                }
                self.handle_report(server, Hints::read(&elements).report());
                self.module.established(handle);
                self.answer_caller(handle);
            }
            Event::Media(media) if conversation.is_answered() => {
                self.host.callers.media(now, caller, &media);
            }
            Event::Ended(end) => self.attempt_ended(handle, server, &end),
            _ => {}
        }
    }

    /// Answers the caller of a conversation that a server has answered, or holds the answer until it is recorded.
    fn answer_caller(&mut self, handle: Handle) {
        let now = self.host.now;
        let Some(conversation) = self.host.conversation(handle) else { return };
        let serial = conversation.recorded.serial;
        let Some(journal) = &mut self.host.journal else { return self.send_answer(handle) };
        let answered_entry = journal.answered(now, serial);
        self.host.held_answers.push_back((answered_entry, handle));
        if let Some(conversation) = self.host.conversation(handle) {
            conversation.progress = Progress::AnswerHeld { answered_entry };
        }
        self.module.answer_held(handle);
    }

    /// Sends an answer whose entry is stored, unless the conversation has ended or lacks an entry. In that case the
    /// module gives it up in time.
    pub(super) fn send_held_answer(&mut self, handle: Handle, answered_entry: u64, stored: Stored) {
        let Some(conversation) = self.host.conversation(handle) else { return };
        let waits_for_entry = conversation.progress == Progress::AnswerHeld { answered_entry };
        if waits_for_entry && stored.covers(conversation.recorded.opened_entry, answered_entry) {
            self.module.answer_sent(handle);
            self.send_answer(handle);
        }
    }

    /// Tells the caller that its call is established.
    fn send_answer(&mut self, handle: Handle) {
        let now = self.host.now;
        let Some(conversation) = self.host.conversation(handle) else { return };
        conversation.progress = Progress::Established;
        let (caller, grade, set_up_ms) =
            (conversation.caller, conversation.grade, now - conversation.accepted_at);
        self.host.counters.established += 1;
        self.host.earnings.conversation_established(grade, set_up_ms);
        self.host.callers.answer(now, caller, &Elements::new());
    }

    /// Handles the end of an attempt's leg: the attempt ends, or the established conversation is over.
    pub(super) fn attempt_ended(&mut self, handle: Handle, server: Server, end: &EndReason) {
        if let EndReason::Peer { elements, .. } = end {
            self.handle_report(server, Hints::read(elements).report());
        }
        let Some(conversation) = self.host.conversation(handle) else { return };
        let attempt = conversation.attempt.take().expect("it ended");
        let progress = conversation.progress;
        if let Progress::AnswerHeld { .. } = progress {
            // The module may send another attempt.
            conversation.progress = Progress::SettingUp;
        }
        self.host.by_attempt.remove(attempt.leg);
        match progress {
            Progress::SettingUp => return self.finish_attempt(handle, causes::attempt_ending(end)),
            Progress::AnswerHeld { .. } => {
                return self.finish_attempt(handle, causes::established_ending(end));
            }
            Progress::Established => {}
        }
        let ending = causes::established_ending(end);
        let cut = ending != Ending::Ok;
        if cut {
            self.host.earnings.conversation_cut();
        }
        *(if cut { &mut self.host.counters.cut } else { &mut self.host.counters.cleared }) += 1;
        self.host.record_outcome(handle, if cut { Outcome::Cut } else { Outcome::Completed });
        self.host.close(handle, if cut { causes::CUT } else { cause::NORMAL_CLEARING }, None);
        self.module.attempt_ended(handle, ending, true, &mut self.host);
    }

    /// Counts the end of an attempt and reports it to the module, which may send another attempt.
    pub(super) fn finish_attempt(&mut self, handle: Handle, ending: Ending) {
        let counters = &mut self.host.counters;
        match ending {
            Ending::Rejected | Ending::NoFreeLine => counters.rejected += 1,
            Ending::TimedOut => counters.timed_out += 1,
            Ending::Reset => counters.reset += 1,
            _ => {}
        }
        self.module.attempt_ended(handle, ending, false, &mut self.host);
    }

    /// Passes a server's report to the module and its rate to the fleet's limits.
    pub(super) fn handle_report(&mut self, server: Server, report: Report) {
        if let Some((limits, rate)) = self.host.limits.as_mut().zip(report.rate) {
            limits.set_reported_rate(server, rate);
        }
        self.module.reported(server, report);
    }
}
