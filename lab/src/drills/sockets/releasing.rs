//! A release in a drill: begun in its time, with who is away looked at from outside.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Result;
use nix::sys::signal::Signal;
use rand::Rng;

use super::{Come, Run};
use crate::drill::By;
use crate::drills::release::{self, AwayWitness};

impl Run {
    /// Has the release begin in its time, and looks at who is away from now on.
    pub(super) fn watch_release(&mut self) {
        let Some(play) = self.world.drill.release else { return };
        let proxies = self.seats.len();
        self.world.away = Some(AwayWitness::new(proxies, play.most(proxies), self.images()));
        let addresses = self.seats.iter().filter_map(|seat| seat.callers).collect();
        let come = self.come.clone();
        tokio::spawn(release::look_around(addresses, move |proxy| come.send(Come::Alive(proxy)).is_ok()));
        let at = play.at * 1000.0;
        // What the budget gives on average, if each took two seconds.
        let spread = 2_000.0 * (proxies as f64 / play.most(proxies) as f64).ceil();
        let states: Vec<PathBuf> = self.seats.iter().map(|seat| seat.state.clone()).collect();
        match play.by {
            By::Agreed => {
                let come = self.come.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs_f64(at / 1000.0)).await;
                    let _ = come.send(Come::Release(release::start(states).await));
                });
            }
            By::Timer => {
                let draw = |proxy| (at + spread * self.chance.random::<f64>(), proxy);
                self.replacing = (0..proxies).map(draw).collect();
            }
            By::Push => self.replacing = (0..proxies).map(|proxy| (at, proxy)).collect(),
        }
    }

    /// Who is away, and proxies that a baseline replaces: told to stop, and started again when they have.
    pub(super) fn look(&mut self, now: f64) -> Result<()> {
        if self.world.away.is_none() || now - self.looked < 100.0 {
            return Ok(());
        }
        self.looked = now;
        let due: Vec<usize> =
            self.replacing.iter().filter(|(at, _)| *at <= now).map(|(_, proxy)| *proxy).collect();
        self.replacing.retain(|(at, _)| *at > now);
        due.iter().for_each(|&proxy| self.signal(proxy, Signal::SIGTERM));
        if self.world.drill.release.is_some_and(|play| play.by != By::Agreed) {
            for proxy in 0..self.seats.len() {
                let child = self.seats[proxy].child.as_mut();
                if child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                    self.start(proxy)?;
                }
            }
        }
        let images = self.images();
        for proxy in std::mem::take(&mut self.world.witness.stopping) {
            self.world.away.as_mut().expect("watched").stopping(now, proxy);
        }
        self.world.away.as_mut().expect("watched").look(now, &images);
        Ok(())
    }

    /// What befalls the proxy until then is the script's doing.
    pub(super) fn script(&mut self, proxy: usize, until: f64) {
        if let Some(away) = &mut self.world.away {
            away.script(proxy, until);
        }
    }
}
