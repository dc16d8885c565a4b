//! Reads `[distribution]`: how this proxy serves decided state by scope, or what it subscribes to.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use distribution::Scope;

use super::reader::{Reader, Section};
use super::{DistributionRole, DistributionSettings, ServiceSettings, SubscriberSettings};

/// Tables that a subscriber must not have: it receives all of this from its control machines.
const TABLES_WITHOUT_SUBSCRIBER: [&str; 4] = ["gossip", "fleet", "council", "outs"];
/// Default limit on bytes per second sent to one subscriber. After a pause one second may hold twice as much;
/// with packet headers and the subscriber's own polls that stays under 8 KB.
const DEFAULT_SUBSCRIBER_BYTES_PER_SECOND: u32 = 3_000;
/// The values of `role`, as errors list them.
const ROLES: &str = "\"control\" or \"subscriber\"";
/// Maximum number of scopes of one subscriber.
const MAX_SCOPES: usize = 256;
/// Maximum number of control machines that a subscriber chooses from.
const MAX_CONTROLS: usize = 256;

/// The value of `role`.
#[derive(Clone, Copy)]
enum RoleName {
    Control,
    Subscriber,
}

/// Parses "all", or a scope's kind and number.
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
    /// Reads `[distribution]`.
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
            // Without a role it is not known which keys are valid.
            None => return None,
        };
        self.finish(section);
        Some(DistributionSettings { heartbeat: heartbeat?, role: role? })
    }

    fn service(&mut self, top: &Section, section: &mut Section) -> Option<ServiceSettings> {
        self.require_table(top, section, "gossip", "which carries decisions to control machines");
        self.require_table(top, section, "council", "whose decisions are distributed");
        let subscribers = self.text(section, "subscribers", None);
        let max_subscribers = self.integer(section, "most_subscribers", 1, 100_000, Some(4096));
        // The responses to a second's polls need space besides the data that they carry.
        let min_bytes_per_second = 8 * gossip::wire::MAX_DATAGRAM_BYTES as u32;
        let bytes_per_second =
            self.integer(section, "bytes_per_second", min_bytes_per_second, 1_000_000_000, Some(8_000_000));
        // Each second must have space for a message of changes and its proof.
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
        let wanted = "a list of \"all\", \"region N\", \"zone N\" and \"service N\", at least one";
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

/// A control machine as a subscriber's settings list it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlMachineSettings {
    /// Its name in the roster.
    pub name: String,
    /// The address of its socket.
    pub address: SocketAddr,
    /// Its region.
    pub region: u16,
}
