//! A release in a drill: starts it at its time, and checks availability from outside.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Result;
use nix::sys::signal::Signal;
use rand::Rng;

use super::{Input, Run};
use crate::drill::ReplacementMethod;
use crate::drills::release::{self, AvailabilityChecker};

impl Run {
    /// Schedules the release, and starts observing which proxies are unavailable.
    pub(super) fn watch_release(&mut self) {
        let Some(play) = self.cluster.drill.release else { return };
        let proxies = self.slots.len();
        self.cluster.availability =
            Some(AvailabilityChecker::new(proxies, play.max_unavailable(proxies), self.images()));
        let addresses = self.slots.iter().filter_map(|slot| slot.callers).collect();
        let sender = self.input_sender.clone();
        tokio::spawn(release::probe_callers_sockets(addresses, move |proxy| {
            sender.send(Input::Alive(proxy)).is_ok()
        }));
        let at = play.at * 1000.0;
        // The interval that the budget allows on average if each replacement takes two seconds.
        let spread = 2_000.0 * (proxies as f64 / play.max_unavailable(proxies) as f64).ceil();
        let states: Vec<PathBuf> = self.slots.iter().map(|slot| slot.state.clone()).collect();
        match play.method {
            ReplacementMethod::Agreed => {
                let sender = self.input_sender.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs_f64(at / 1000.0)).await;
                    let _ = sender.send(Input::Release(release::start(states).await));
                });
            }
            ReplacementMethod::Timer => {
                let draw = |proxy| (at + spread * self.rng.random::<f64>(), proxy);
                self.replacing = (0..proxies).map(draw).collect();
            }
            ReplacementMethod::Push => self.replacing = (0..proxies).map(|proxy| (at, proxy)).collect(),
        }
    }

    /// Observes availability, and replaces proxies for the baselines: stops each at its time, and starts it
    /// again once it has ended.
    pub(super) fn check_release(&mut self, now: f64) -> Result<()> {
        if self.cluster.availability.is_none() || now - self.last_look < 100.0 {
            return Ok(());
        }
        self.last_look = now;
        let due: Vec<usize> =
            self.replacing.iter().filter(|(at, _)| *at <= now).map(|(_, proxy)| *proxy).collect();
        self.replacing.retain(|(at, _)| *at > now);
        due.iter().for_each(|&proxy| self.signal(proxy, Signal::SIGTERM));
        if self.cluster.drill.release.is_some_and(|play| play.method != ReplacementMethod::Agreed) {
            for proxy in 0..self.slots.len() {
                let child = self.slots[proxy].child.as_mut();
                if child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                    self.start(proxy)?;
                }
            }
        }
        let images = self.images();
        for proxy in std::mem::take(&mut self.cluster.checker.stopping) {
            self.cluster.availability.as_mut().expect("watched").stopping(now, proxy);
        }
        self.cluster.availability.as_mut().expect("watched").observe(now, &images);
        Ok(())
    }

    /// A scheduled fault accounts for the proxy until then.
    pub(super) fn expect_fault(&mut self, proxy: usize, until: f64) {
        if let Some(availability) = &mut self.cluster.availability {
            availability.expect_fault(proxy, until);
        }
    }
}
