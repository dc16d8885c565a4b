//! Callers: what they ask for, and when they go.

use std::hash::Hasher;

use frostthread::host::{Call, Ending, Handle};
use gossip::evidence::Evidence;
use iax2::element::{self, Elements};
use iax2::{Event, Leg, cause};
use records::entry::Outcome;
use siphasher::sip::SipHasher13;

use super::hands::Conversation;
use super::{BorderProxy, CARRIED};
use crate::causes;
use crate::decisions::Decisions;
use crate::hints::Hints;

impl<D: Decisions> BorderProxy<D> {
    pub(super) fn hear_callers(&mut self, waited: f64) {
        while let Some((leg, happening)) = self.hands.callers.next_event() {
            match happening {
                Event::Offered { elements, retransmitted: again, .. } => {
                    self.offered(leg, &elements, again, waited)
                }
                Event::Media(media) => {
                    let Some(&handle) = self.hands.by_caller.get(leg) else { continue };
                    let now = self.hands.now;
                    let shot =
                        self.hands.conversation(handle).filter(|c| c.stands).and_then(|c| c.shot.as_ref());
                    if let Some(to) = shot.map(|shot| shot.leg) {
                        self.hands.servers.media(now, to, &media);
                    }
                }
                Event::Ended(_) => {
                    if let Some(&handle) = self.hands.by_caller.get(leg) {
                        self.caller_left(handle);
                    }
                }
                Event::Poked(poke) => self.hands.callers.pong(&poke, &Elements::new()),
                _ => {}
            }
        }
    }

    pub(super) fn offered(&mut self, caller: Leg, elements: &Elements, again: bool, waited: f64) {
        let now = self.hands.now;
        let mut turn_away = |code| self.hands.callers.end(now, caller, &Elements::new().with_cause(code));
        let text = |kind| elements.text(kind).unwrap_or_default();
        let (called, context) = (text(element::CALLED_NUMBER), text(element::CALLED_CONTEXT));
        if self.stopping {
            self.hands.tally.turned_away += 1;
            return turn_away(causes::STOPPING);
        }
        if let Some(come_back) = self.unrecordable {
            self.hands.tally.unrecordable += 1;
            let hints = Hints { retry_after: Some(come_back as u32), ..Hints::default() };
            let answer = hints.add_to(Elements::new().with_cause(causes::REFUSED));
            return self.hands.callers.end(now, caller, &answer);
        }
        let Some((grade, first)) = self.routes.find(context, called) else {
            self.hands.tally.unrouted += 1;
            self.hands.earned.lost(None);
            return turn_away(causes::NO_ROUTE);
        };
        let hints = Hints::read(elements);
        // An earlier copy of it was lost: the caller has waited for at least the first gap.
        let waited = waited + if again { self.caller_resend } else { 0.0 };
        let patience = hints.caller_timeout.map_or(self.patience[grade], f64::from);
        let calling = text(element::CALLING_NUMBER);
        let call = Call {
            grade,
            tenant: self.routes.tenant(text(element::USERNAME), context),
            preferred_pool: first,
            number: (!calling.is_empty()).then(|| self.number(calling, called)),
            remaining: patience.min(self.patience[grade]) - waited - self.answer_lead,
            redial: hints.redial,
        };
        self.hands.tally.accepted += 1;
        if let Some((limits, tenant)) = self.hands.limits.as_mut().zip(call.tenant) {
            self.module.set_within_share(tenant, limits.within_share(now, tenant));
        }
        let scribe = self.hands.scribe.as_mut();
        let serial = scribe.map_or(0, |scribe| scribe.opened(now, calling, called, grade, call.tenant));
        let handle = self.module.accept(&call);
        let conversation = Conversation {
            caller,
            serial,
            shot: None,
            carried: elements.only(&CARRIED),
            accepted: false,
            ringing: false,
            stands: false,
            grade,
            taken: now - waited,
        };
        let index = handle.0 as usize;
        if self.hands.conversations.len() <= index {
            self.hands.conversations.resize_with(index + 1, || None);
        }
        self.hands.conversations[index] = Some(conversation);
        self.hands.by_caller.insert(caller, handle);
        self.module.place(handle);
    }

    /// A caller that dials again is known by its own number and the one it calls: many call the same.
    pub(super) fn number(&self, calling: &str, called: &str) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.number_key.0, self.number_key.1);
        hasher.write(calling.as_bytes());
        hasher.write_u8(0xff);
        hasher.write(called.as_bytes());
        hasher.finish()
    }

    pub(super) fn caller_left(&mut self, handle: Handle) {
        let stands = self.hands.conversation(handle).is_some_and(|c| c.stands);
        self.hands.closed(handle, if stands { Outcome::Completed } else { Outcome::CallerGone });
        let Some(conversation) = self.hands.drop_conversation(handle) else { return };
        let now = self.hands.now;
        if let Some(shot) = &conversation.shot {
            self.hands.servers.end(now, shot.leg, &Elements::new().with_cause(cause::NORMAL_CLEARING));
            if !conversation.stands {
                self.hands.witness(shot.server, Evidence::attempt_cancelled);
            }
        }
        if conversation.stands {
            self.hands.tally.cleared += 1;
        } else {
            self.hands.tally.caller_gone += 1;
        }
        // The conversation is over for the module too: its shot, if any, has been called off with it.
        let ending = if conversation.stands { Ending::Ok } else { Ending::Cancelled };
        let out = conversation.shot.is_some();
        if !conversation.stands {
            self.module.caller_gone(handle);
        }
        if out {
            self.module.ended(handle, ending, true, &mut self.hands);
        }
    }
}
