//! Callers: new calls, media, hang-ups.

use std::hash::Hasher;

use frostthread::host::{Call, Ending, Handle};
use gossip::evidence::Evidence;
use iax2::element::{self, Elements};
use iax2::{Event, Leg, cause};
use records::entry::Outcome;
use siphasher::sip::SipHasher13;

use super::host::{Conversation, Progress};
use super::{BorderProxy, FORWARDED_ELEMENTS};
use crate::causes;
use crate::decisions::Decisions;
use crate::hints::Hints;

impl<D: Decisions> BorderProxy<D> {
    /// Handles all pending events of the callers' endpoint; `waited` is how long ago the datagram arrived, in
    /// milliseconds.
    pub(super) fn handle_caller_events(&mut self, waited: f64) {
        while let Some((leg, event)) = self.host.callers.next_event() {
            match event {
                Event::Offered { elements, retransmitted, .. } => {
                    self.handle_new_call(leg, &elements, retransmitted, waited)
                }
                Event::Media(media) => {
                    let Some(&handle) = self.host.by_caller.get(leg) else { continue };
                    let now = self.host.now;
                    let attempt = self
                        .host
                        .conversation(handle)
                        .filter(|c| c.is_answered())
                        .and_then(|c| c.attempt.as_ref());
                    if let Some(server_leg) = attempt.map(|attempt| attempt.leg) {
                        self.host.servers.media(now, server_leg, &media);
                    }
                }
                Event::Ended(_) => {
                    if let Some(&handle) = self.host.by_caller.get(leg) {
                        self.handle_caller_gone(handle);
                    }
                }
                Event::Poked(poke) => self.host.callers.pong(&poke, &Elements::new()),
                _ => {}
            }
        }
    }

    /// Accepts a caller's NEW, or rejects it if the proxy is stopping, cannot record it, or has no route.
    pub(super) fn handle_new_call(
        &mut self,
        caller: Leg,
        elements: &Elements,
        retransmitted: bool,
        waited: f64,
    ) {
        let now = self.host.now;
        let mut turn_away = |code| self.host.callers.end(now, caller, &Elements::new().with_cause(code));
        let text = |kind| elements.text(kind).unwrap_or_default();
        let (called, context) = (text(element::CALLED_NUMBER), text(element::CALLED_CONTEXT));
        if self.stopping {
            self.host.counters.turned_away += 1;
            return turn_away(causes::STOPPING);
        }
        if let Some(retry_after) = self.recording_retry_after {
            self.host.counters.unrecordable += 1;
            let hints = Hints { retry_after: Some(retry_after as u32), ..Hints::default() };
            let answer = hints.add_to(Elements::new().with_cause(causes::REFUSED));
            return self.host.callers.end(now, caller, &answer);
        }
        let Some((grade, first)) = self.routes.find(context, called) else {
            self.host.counters.unrouted += 1;
            self.host.earnings.conversation_lost(None);
            return turn_away(causes::NO_ROUTE);
        };
        let hints = Hints::read(elements);
        // The first copy was lost, so the caller has waited for at least its first resend delay.
        let waited = waited + if retransmitted { self.caller_resend_delay } else { 0.0 };
        let caller_timeout = hints.caller_timeout.map_or(self.caller_timeout[grade], f64::from);
        let calling = text(element::CALLING_NUMBER);
        let call = Call {
            grade,
            tenant: self.routes.tenant(text(element::USERNAME), context),
            preferred_pool: first,
            number: (!calling.is_empty()).then(|| self.caller_key(calling, called)),
            remaining: caller_timeout.min(self.caller_timeout[grade]) - waited - self.answer_lead,
            redial: hints.redial,
        };
        self.host.counters.accepted += 1;
        if let Some((limits, tenant)) = self.host.limits.as_mut().zip(call.tenant) {
            self.module.set_within_share(tenant, limits.within_share(now, tenant));
        }
        let journal = self.host.journal.as_mut();
        let recorded = journal.map(|journal| journal.opened(now, calling, called, grade, call.tenant));
        let handle = self.module.accept(&call);
        let conversation = Conversation {
            caller,
            recorded: recorded.unwrap_or_default(),
            attempt: None,
            forwarded: elements.only(&FORWARDED_ELEMENTS),
            accept_sent: false,
            ringing_sent: false,
            progress: Progress::SettingUp,
            grade,
            accepted_at: now - waited,
        };
        let index = handle.0 as usize;
        if self.host.conversations.len() <= index {
            self.host.conversations.resize_with(index + 1, || None);
        }
        self.host.conversations[index] = Some(conversation);
        self.host.by_caller.insert(caller, handle);
        self.module.enqueue(handle);
    }

    /// The key by which a caller that dials again is recognised. It includes the called number, as many
    /// callers call the same number.
    pub(super) fn caller_key(&self, calling: &str, called: &str) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.number_key.0, self.number_key.1);
        hasher.write(calling.as_bytes());
        hasher.write_u8(0xff);
        hasher.write(called.as_bytes());
        hasher.finish()
    }

    /// Ends the conversation of a caller that hung up or no longer answers.
    pub(super) fn handle_caller_gone(&mut self, handle: Handle) {
        let established = self.host.conversation(handle).is_some_and(|c| c.is_established());
        self.host.record_outcome(handle, if established { Outcome::Completed } else { Outcome::CallerGone });
        let Some(conversation) = self.host.remove_conversation(handle) else { return };
        let now = self.host.now;
        if let Some(attempt) = &conversation.attempt {
            self.host.servers.end(now, attempt.leg, &Elements::new().with_cause(cause::NORMAL_CLEARING));
            if !conversation.is_answered() {
                self.host.record_evidence(attempt.server, Evidence::attempt_cancelled);
            }
        }
        if established {
            self.host.counters.cleared += 1;
        } else {
            self.host.counters.caller_gone += 1;
        }
        // The conversation ends for the module too; its attempt, if any, was hung up above.
        let ending = if established { Ending::Ok } else { Ending::Cancelled };
        let had_attempt = conversation.attempt.is_some();
        if !established {
            self.module.caller_gone(handle);
        }
        if had_attempt {
            self.module.attempt_ended(handle, ending, true, &mut self.host);
        }
    }
}
