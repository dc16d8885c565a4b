//! How decided state is distributed by scope: what this proxy serves, or subscribes to.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use distribution::Scope;

use super::reader::{Reader, Section};
use super::{DistributionRole, DistributionSettings, ServiceSettings, SubscriberSettings};

/// What a subscriber gets by its control machines, and so has no table for.
const TABLES_WITHOUT_SUBSCRIBER: [&str; 4] = ["gossip", "fleet", "council", "outs"];
/// What a subscriber is sent in a second, where nothing is said. After a pause a second may hold twice as
/// much: with the packets around it and its own polls that stays under 8 KB.
const DEFAULT_SUBSCRIBER_BYTES_PER_SECOND: u32 = 3_000;
const ROLES: &str = "\"control\" or \"subscriber\"";
/// Scopes of one subscriber at the most.
const MAX_SCOPES: usize = 256;
/// Control machines that a subscriber chooses among at the most.
const MAX_CONTROLS: usize = 256;

/// How a role is told.
#[derive(Clone, Copy)]
enum RoleName {
    Control,
    Subscriber,
}

/// Reads "all", or the kind of a scope and its number.
fn scope(text: &str) -> Option<Scope> {
    if text == "all" {
        return Some(Scope::All);
    }
    match text.split_once(' ')? {
        ("region", number) => Some(Scope::Region(number.parse().ok()?)),
        ("zone", number) => Some(Scope::Zone(number.parse().ok()?)),
        ("service", number) => Some(Scope::Service(number.parse().ok()?)),
        _ => None,
    }
}

impl Reader<'_> {
    pub(super) fn distribution(&mut self, top: &mut Section, state: &str) -> Option<DistributionSettings> {
        let mut section = self.section(top, "distribution", false);
        section.table?;
        let role = self.value(&mut section, "role", ROLES, None, |value| match value.as_str()? {
            "control" => Some(RoleName::Control),
            "subscriber" => Some(RoleName::Subscriber),
            _ => None,
        });
        let heartbeat = self.time(&mut section, "heartbeat", Some(1000.0));
        let role = match role {
            Some(RoleName::Control) => self.service(top, &mut section).map(DistributionRole::Control),
            Some(RoleName::Subscriber) => {
                self.subscriber(top, &mut section, state).map(DistributionRole::Subscriber)
            }
            // Which keys are of use is not known.
            None => return None,
        };
        self.finish(section);
        Some(DistributionSettings { heartbeat: heartbeat?, role: role? })
    }

    fn service(&mut self, top: &Section, section: &mut Section) -> Option<ServiceSettings> {
        self.require_table(top, section, "gossip", "by which control machines hear of decisions");
        self.require_table(top, section, "council", "whose decisions are distributed");
        let subscribers = self.text(section, "subscribers", None);
        let max_subscribers = self.integer(section, "most_subscribers", 1, 100_000, Some(4096));
        // An answer to each of a second's polls needs room beside what it carries.
        let min_bytes_per_second = 8 * gossip::wire::MAX_DATAGRAM_BYTES as u32;
        let bytes_per_second =
            self.integer(section, "bytes_per_second", min_bytes_per_second, 1_000_000_000, Some(8_000_000));
        // A message of changes and its proof need room in each second.
        let min_subscriber_bytes_per_second = 2 * gossip::wire::MAX_DATAGRAM_BYTES as u32;
        let subscriber_bytes_per_second = self.integer(
            section,
            "subscriber_bytes_per_second",
            min_subscriber_bytes_per_second,
            1_000_000_000,
            Some(DEFAULT_SUBSCRIBER_BYTES_PER_SECOND),
        );
        let snapshots_at_once = self.integer(section, "snapshots_at_once", 1, 10_000, Some(64));
        Some(ServiceSettings {
            subscribers: PathBuf::from(subscribers?),
            max_subscribers: max_subscribers? as usize,
            bytes_per_second: f64::from(bytes_per_second?),
            subscriber_bytes_per_second: f64::from(subscriber_bytes_per_second?),
            snapshots_at_once: snapshots_at_once? as usize,
        })
    }

    fn subscriber(
        &mut self,
        top: &Section,
        section: &mut Section,
        state: &str,
    ) -> Option<SubscriberSettings> {
        for other in TABLES_WITHOUT_SUBSCRIBER {
            if top.table.is_some_and(|table| table.contains_key(other)) {
                let wanted = "none beside a subscriber, which neither gossips nor votes";
                self.fault(section.line, section.path.clone(), format!("[{other}]"), wanted);
            }
        }
        let listen = self.address(section, "listen", None);
        let key = self.text(section, "key", None);
        let fleet_keys = self.text_list(section, "fleet_keys");
        if fleet_keys.as_ref().is_some_and(Vec::is_empty) {
            let wanted = "a list of key files, the one in use first";
            self.fault(section.line, section.key("fleet_keys"), "none", wanted);
        }
        let roster = self.text(section, "roster", None);
        let region = self.integer(section, "region", 0, u32::from(u16::MAX), None);
        let bootstrap_members = self.roster_names(section, "founders", super::fleet::COUNCIL_SIZES);
        let scopes = self.scopes(section);
        let file = self.text(section, "file", Some(""));
        let controls = self.controls(section);
        let file = file.map(|file| match &file[..] {
            "" => Path::new(state).join("distribution"),
            file => PathBuf::from(file),
        });
        Some(SubscriberSettings {
            listen: listen?,
            key: PathBuf::from(key?),
            fleet_keys: fleet_keys?.into_iter().map(PathBuf::from).collect(),
            roster: PathBuf::from(roster?),
            region: region? as u16,
            bootstrap_members: bootstrap_members?,
            scopes: scopes?,
            file: file?,
            controls: controls?,
        })
    }

    fn scopes(&mut self, section: &mut Section) -> Option<BTreeSet<Scope>> {
        let wanted = "a list of \"all\", \"region N\", \"zone N\" and \"service N\", one at least";
        self.value(section, "scopes", wanted, None, |value| {
            let scopes = value.as_array()?.iter().map(|value| scope(value.as_str()?));
            let scopes: BTreeSet<Scope> = scopes.collect::<Option<_>>()?;
            (1..=MAX_SCOPES).contains(&scopes.len()).then_some(scopes)
        })
    }

    fn controls(&mut self, section: &mut Section) -> Option<Vec<ControlMachineSettings>> {
        let (line, path) = (section.line, section.key("control"));
        let tables = self.sections(section, "control");
        if tables.is_empty() || tables.len() > MAX_CONTROLS {
            let wanted = format!("1 to {MAX_CONTROLS} tables headed [[{path}]]");
            self.fault(line, path, tables.len().to_string(), wanted);
            return None;
        }
        let controls: Vec<Option<ControlMachineSettings>> =
            tables.into_iter().map(|section| self.control(section)).collect();
        let controls: Vec<ControlMachineSettings> = controls.into_iter().collect::<Option<_>>()?;
        let names: BTreeSet<&str> = controls.iter().map(|control| &control.name[..]).collect();
        if names.len() != controls.len() {
            self.fault(line, path, "a name twice", "each name once");
            return None;
        }
        Some(controls)
    }

    fn control(&mut self, mut section: Section) -> Option<ControlMachineSettings> {
        let name = self.text(&mut section, "name", None);
        let address = self.address(&mut section, "address", None);
        let region = self.integer(&mut section, "region", 0, u32::from(u16::MAX), None);
        self.finish(section);
        Some(ControlMachineSettings { name: name?, address: address?, region: region? as u16 })
    }
}

/// A control machine as a subscriber's settings have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlMachineSettings {
    /// Its name in the roster.
    pub name: String,
    /// Where it is heard.
    pub address: SocketAddr,
    /// The region that it is in.
    pub region: u16,
}
