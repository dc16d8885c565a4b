//! Distribution of decided state in the daemon: its keys, and the file that a subscriber keeps what it holds
//! in.

use std::fs;
use std::io::ErrorKind;
use std::path::PathBuf;

use agree::Id;
use agree::certificate::FleetKeys;
use anyhow::{Context, Result};
use border::distributed::{
    ControlAddress, Distribution, STATE_WRITE_INTERVAL, Service, ServiceTerms, Subscription,
    SubscriptionTerms,
};
use border::{BorderProxy, Decisions};
use distribution::placement::ControlMachine;
use gossip::keys::Roster;

use crate::keys::{self, Keyring};
use crate::settings::{DistributionPlan, DistributionRole, Plan, ServedPlan, SubscriberPlan};

/// The file of a subscriber's state.
pub struct StateFile {
    path: PathBuf,
    unwritten: Option<Vec<u8>>,
    write_at: f64,
}

impl StateFile {
    fn new(path: PathBuf) -> Self {
        Self { path, unwritten: None, write_at: 0.0 }
    }

    /// What was kept; nothing where there is no file that can be read.
    fn read(&self) -> Option<Vec<u8>> {
        match fs::read(&self.path) {
            Ok(bytes) => Some(bytes),
            Err(error) if error.kind() == ErrorKind::NotFound => None,
            Err(error) => {
                tracing::warn!(file = %self.path.display(), "distribution.unread: {error}");
                None
            }
        }
    }

    /// Keeps what the proxy holds now, at most once in [`STATE_WRITE_INTERVAL`].
    pub fn turn(&mut self, now: f64, proxy: &mut BorderProxy<impl Decisions>) {
        if let Some(bytes) = proxy.distribution_state_to_save() {
            self.unwritten = Some(bytes);
        }
        if now >= self.write_at
            && let Some(bytes) = self.unwritten.take()
        {
            self.write_at = now + STATE_WRITE_INTERVAL;
            self.write(&bytes);
        }
    }

    /// Writes what waits, as the proxy stops.
    pub fn finish(&mut self) {
        if let Some(bytes) = self.unwritten.take() {
            self.write(&bytes);
        }
    }

    /// When [`StateFile::turn`] has something to write.
    pub fn due(&self) -> f64 {
        if self.unwritten.is_some() { self.write_at } else { f64::INFINITY }
    }

    fn write(&self, bytes: &[u8]) {
        if let Err(error) = crate::run::write_whole(&self.path, bytes) {
            tracing::warn!(file = %self.path.display(), "distribution.unwritten: {error:#}");
        }
    }
}

/// Where a subscriber listens.
pub fn listens(plan: &Plan) -> Option<&SubscriberPlan> {
    match &plan.distribution.as_ref()?.role {
        DistributionRole::Subscriber(subscriber) => Some(subscriber),
        DistributionRole::Control(_) => None,
    }
}

/// Lets the proxy take part in the distribution by its settings, if it does. A control machine has to decide
/// with others before. Gives the file that a subscriber keeps.
pub fn begin(
    proxy: &mut BorderProxy<impl Decisions>,
    plan: &Plan,
    seed: u64,
    now: f64,
    unix: f64,
) -> Result<Option<StateFile>> {
    let Some(distribution) = &plan.distribution else { return Ok(None) };
    match (&distribution.role, &plan.gossip) {
        (DistributionRole::Subscriber(subscriber), _) => {
            let file = StateFile::new(subscriber.file.clone());
            let mut subscription = subscribe(subscriber, distribution, &plan.name, seed, now, unix)?;
            if let Some(bytes) = file.read() {
                let restored = subscription.restore(&bytes);
                let (scopes, unproved) = (restored.scopes, restored.unverified);
                tracing::info!(scopes, unproved, "distribution.restored");
            }
            proxy.enable_distribution(Distribution::Subscribes(Box::new(subscription)));
            Ok(Some(file))
        }
        (DistributionRole::Control(served), Some(gossip)) => {
            let Keyring { secrets, .. } = Keyring::read(gossip, &plan.name).context("gossip")?;
            let roster = keys::read_roster(&served.subscribers).context("distribution.subscribers")?;
            let terms = service_terms(served, distribution.heartbeat);
            let service = Service::new(terms, secrets, roster, seed, now, unix);
            proxy.enable_distribution(Distribution::Serves(Box::new(service)));
            Ok(None)
        }
        (DistributionRole::Control(_), None) => Ok(None),
    }
}

fn service_terms(served: &ServedPlan, heartbeat: f64) -> ServiceTerms {
    ServiceTerms {
        heartbeat,
        max_subscribers: served.most_subscribers,
        bytes_per_second: served.bytes_per_second,
        subscriber_bytes_per_second: served.subscriber_bytes_per_second,
        snapshots_at_once: served.snapshots_at_once,
    }
}

fn subscribe(
    plan: &SubscriberPlan,
    distribution: &DistributionPlan,
    name: &str,
    seed: u64,
    now: f64,
    unix: f64,
) -> Result<Subscription> {
    let Keyring { secrets, roster } = Keyring::read(plan, name).context("distribution")?;
    let founders = plan.founders.iter().map(|name| named(&roster, "founders", name));
    let controls = plan.controls.iter().map(|control| {
        let id = named(&roster, "control", &control.name)?;
        let machine = ControlMachine { id, region: control.region };
        Ok(ControlAddress { machine, address: control.address })
    });
    let terms = SubscriptionTerms {
        region: plan.region,
        controls: controls.collect::<Result<_>>()?,
        bootstrap_members: founders.collect::<Result<_>>()?,
        scopes: plan.scopes.clone(),
        heartbeat: distribution.heartbeat,
    };
    Ok(Subscription::new(terms, FleetKeys { secrets, roster }, seed, now, unix))
}

fn named(roster: &Roster, key: &str, name: &str) -> Result<Id> {
    let found = roster.ids().find(|&id| roster.name(id) == Some(name));
    found.with_context(|| format!("distribution.{key}: {name}: not in the roster"))
}

/// Reads the key files and rosters of the distribution again.
///
/// # Errors
///
/// What is wrong with them; the proxy goes on with the former ones then.
pub fn rekey(proxy: &mut BorderProxy<impl Decisions>, plan: &Plan) -> Result<()> {
    let Some(distribution) = &plan.distribution else { return Ok(()) };
    let (secrets, roster) = match (&distribution.role, &plan.gossip) {
        (DistributionRole::Subscriber(subscriber), _) => {
            let Keyring { secrets, roster } = Keyring::read(subscriber, &plan.name)?;
            (secrets, roster)
        }
        (DistributionRole::Control(served), Some(gossip)) => {
            let Keyring { secrets, .. } = Keyring::read(gossip, &plan.name)?;
            (secrets, keys::read_roster(&served.subscribers)?)
        }
        (DistributionRole::Control(_), None) => return Ok(()),
    };
    proxy.rekey_distribution(secrets, roster);
    Ok(())
}
