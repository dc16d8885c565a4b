//! Distribution of decided state in the daemon: its keys, and the file in which a subscriber persists its
//! scopes.

use std::fs;
use std::io::ErrorKind;
use std::path::PathBuf;
use std::time::Duration;

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
use crate::saved_file::SavedFile;
use crate::settings::{
    DistributionRole, DistributionSettings, ProxySettings, ServiceSettings, SubscriberSettings,
};

/// The file of a subscriber's state.
pub struct StateFile {
    file: SavedFile,
    /// State that is still to be written.
    unwritten: Option<Vec<u8>>,
    write_at: f64,
}

impl StateFile {
    fn new(path: PathBuf) -> Self {
        Self { file: SavedFile::new(path, "distribution.unwritten"), unwritten: None, write_at: 0.0 }
    }

    /// Reads the saved state; none if there is no readable file.
    fn read(&self) -> Option<Vec<u8>> {
        match fs::read(self.file.path()) {
            Ok(bytes) => Some(bytes),
            Err(error) if error.kind() == ErrorKind::NotFound => None,
            Err(error) => {
                tracing::warn!(file = %self.file.path().display(), "distribution.unread: {error}");
                None
            }
        }
    }

    /// Writes the proxy's state if it has changed, at most once per [`STATE_WRITE_INTERVAL`].
    pub fn turn(&mut self, now: f64, proxy: &mut BorderProxy<impl Decisions>) {
        if let Some(bytes) = proxy.distribution_state_to_save() {
            self.unwritten = Some(bytes);
        }
        if now >= self.write_at
            && let Some(bytes) = self.unwritten.take()
        {
            self.write_at = now + STATE_WRITE_INTERVAL;
            self.file.save(bytes);
        }
    }

    /// Writes pending state when the proxy stops, for at most `timeout`.
    pub async fn finish(&mut self, timeout: Duration) {
        if let Some(bytes) = self.unwritten.take() {
            self.file.save(bytes);
        }
        self.file.finish(timeout).await;
    }

    /// Returns when [`StateFile::turn`] has something to write, in milliseconds.
    pub fn due(&self) -> f64 {
        if self.unwritten.is_some() { self.write_at } else { f64::INFINITY }
    }
}

/// Returns a subscriber's settings; none if this proxy is not a subscriber.
pub fn subscriber_settings(settings: &ProxySettings) -> Option<&SubscriberSettings> {
    match &settings.distribution.as_ref()?.role {
        DistributionRole::Subscriber(subscriber) => Some(subscriber),
        DistributionRole::Control(_) => None,
    }
}

/// Starts this proxy's part in the distribution, if its settings give it one. A control machine must have
/// joined the council before. Returns a subscriber's state file.
pub fn start(
    proxy: &mut BorderProxy<impl Decisions>,
    settings: &ProxySettings,
    seed: u64,
    now: f64,
    unix_ms: f64,
) -> Result<Option<StateFile>> {
    let Some(distribution) = &settings.distribution else { return Ok(None) };
    match (&distribution.role, &settings.gossip) {
        (DistributionRole::Subscriber(subscriber), _) => {
            let file = StateFile::new(subscriber.file.clone());
            let mut subscription = subscribe(subscriber, distribution, &settings.name, seed, now, unix_ms)?;
            if let Some(bytes) = file.read() {
                let restored = subscription.restore(&bytes);
                let (scopes, unproved) = (restored.scopes, restored.unverified);
                tracing::info!(scopes, unproved, "distribution.restored");
            }
            proxy.enable_distribution(Distribution::Subscribes(Box::new(subscription)));
            Ok(Some(file))
        }
        (DistributionRole::Control(service), Some(gossip)) => {
            let Keyring { secrets, .. } = Keyring::read(gossip, &settings.name).context("gossip")?;
            let roster = keys::read_roster(&service.subscribers).context("distribution.subscribers")?;
            let terms = service_terms(service, distribution.heartbeat);
            let service_state = Service::new(terms, secrets, roster, seed, now, unix_ms);
            proxy.enable_distribution(Distribution::Serves(Box::new(service_state)));
            Ok(None)
        }
        (DistributionRole::Control(_), None) => Ok(None),
    }
}

fn service_terms(service: &ServiceSettings, heartbeat: f64) -> ServiceTerms {
    ServiceTerms {
        heartbeat,
        max_subscribers: service.max_subscribers,
        bytes_per_second: service.bytes_per_second,
        subscriber_bytes_per_second: service.subscriber_bytes_per_second,
        snapshots_at_once: service.snapshots_at_once,
    }
}

fn subscribe(
    settings: &SubscriberSettings,
    distribution: &DistributionSettings,
    name: &str,
    seed: u64,
    now: f64,
    unix_ms: f64,
) -> Result<Subscription> {
    let Keyring { secrets, roster } = Keyring::read(settings, name).context("distribution")?;
    let members = settings.bootstrap_members.iter().map(|name| roster_id(&roster, "founders", name));
    let controls = settings.controls.iter().map(|control| {
        let id = roster_id(&roster, "control", &control.name)?;
        let machine = ControlMachine { id, region: control.region };
        Ok(ControlAddress { machine, address: control.address })
    });
    let terms = SubscriptionTerms {
        region: settings.region,
        controls: controls.collect::<Result<_>>()?,
        bootstrap_members: members.collect::<Result<_>>()?,
        scopes: settings.scopes.clone(),
        heartbeat: distribution.heartbeat,
    };
    Ok(Subscription::new(terms, FleetKeys { secrets, roster }, seed, now, unix_ms))
}

/// Finds a member of a roster; `key` is the settings key for the error.
fn roster_id(roster: &Roster, key: &str, name: &str) -> Result<Id> {
    let id = roster.ids().find(|&id| roster.name(id) == Some(name));
    id.with_context(|| format!("distribution.{key}: {name}: not in the roster"))
}

/// Reads the key files and rosters of the distribution again.
///
/// # Errors
///
/// What is wrong with them; the proxy then continues with the previous ones.
pub fn rekey(proxy: &mut BorderProxy<impl Decisions>, settings: &ProxySettings) -> Result<()> {
    let Some(distribution) = &settings.distribution else { return Ok(()) };
    let (secrets, roster) = match (&distribution.role, &settings.gossip) {
        (DistributionRole::Subscriber(subscriber), _) => {
            let Keyring { secrets, roster } = Keyring::read(subscriber, &settings.name)?;
            (secrets, roster)
        }
        (DistributionRole::Control(service), Some(gossip)) => {
            let Keyring { secrets, .. } = Keyring::read(gossip, &settings.name)?;
            (secrets, keys::read_roster(&service.subscribers)?)
        }
        (DistributionRole::Control(_), None) => return Ok(()),
    };
    proxy.rekey_distribution(secrets, roster);
    Ok(())
}
