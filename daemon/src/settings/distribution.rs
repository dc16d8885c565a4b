//! How decided state is distributed by scope: what this proxy serves, or subscribes to.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use distribution::Scope;

use super::reader::{Reader, Rows};
use super::{DistributionPlan, DistributionRole, ServedPlan, SubscriberPlan};

/// What a subscriber gets by its control machines, and so has no table for.
const NOT_BESIDE_SUBSCRIBER: [&str; 4] = ["gossip", "fleet", "council", "outs"];
/// What a subscriber is sent in a second, where nothing is said. After a pause a second may hold twice as
/// much: with the packets around it and its own polls that stays under 8 KB.
const EACH_BYTES: u32 = 3_000;
const ROLES: &str = "\"control\" or \"subscriber\"";
/// Scopes of one subscriber at the most.
const MOST_SCOPES: usize = 256;
/// Control machines that a subscriber chooses among at the most.
const MOST_CONTROLS: usize = 256;

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
    pub(super) fn distribution(&mut self, top: &mut Rows, state: &str) -> Option<DistributionPlan> {
        let mut rows = self.rows(top, "distribution", false);
        rows.table?;
        let role = self.value(&mut rows, "role", ROLES, None, |value| match value.as_str()? {
            "control" => Some(RoleName::Control),
            "subscriber" => Some(RoleName::Subscriber),
            _ => None,
        });
        let heartbeat = self.time(&mut rows, "heartbeat", Some(1000.0));
        let role = match role {
            Some(RoleName::Control) => self.served(top, &mut rows).map(DistributionRole::Control),
            Some(RoleName::Subscriber) => {
                self.subscriber(top, &mut rows, state).map(DistributionRole::Subscriber)
            }
            // Which keys are of use is not known.
            None => return None,
        };
        self.done(rows);
        Some(DistributionPlan { heartbeat: heartbeat?, role: role? })
    }

    fn served(&mut self, top: &Rows, rows: &mut Rows) -> Option<ServedPlan> {
        self.beside(top, rows, "gossip", "by which control machines hear of decisions");
        self.beside(top, rows, "council", "whose decisions are distributed");
        let subscribers = self.text(rows, "subscribers", None);
        let most_subscribers = self.whole(rows, "most_subscribers", 1, 100_000, Some(4096));
        // An answer to each of a second's polls needs room beside what it carries.
        let least = 8 * gossip::wire::MAX_DATAGRAM_BYTES as u32;
        let bytes_per_second = self.whole(rows, "bytes_per_second", least, 1_000_000_000, Some(8_000_000));
        // A message of changes and its proof need room in each second.
        let least_each = 2 * gossip::wire::MAX_DATAGRAM_BYTES as u32;
        let each =
            self.whole(rows, "subscriber_bytes_per_second", least_each, 1_000_000_000, Some(EACH_BYTES));
        let snapshots_at_once = self.whole(rows, "snapshots_at_once", 1, 10_000, Some(64));
        Some(ServedPlan {
            subscribers: PathBuf::from(subscribers?),
            most_subscribers: most_subscribers? as usize,
            bytes_per_second: f64::from(bytes_per_second?),
            subscriber_bytes_per_second: f64::from(each?),
            snapshots_at_once: snapshots_at_once? as usize,
        })
    }

    fn subscriber(&mut self, top: &Rows, rows: &mut Rows, state: &str) -> Option<SubscriberPlan> {
        for other in NOT_BESIDE_SUBSCRIBER {
            if top.table.is_some_and(|table| table.contains_key(other)) {
                let wanted = "none beside a subscriber, which neither gossips nor votes";
                self.fault(rows.line, rows.path.clone(), format!("[{other}]"), wanted);
            }
        }
        let listen = self.address(rows, "listen", None);
        let key = self.text(rows, "key", None);
        let fleet_keys = self.texts(rows, "fleet_keys");
        if fleet_keys.as_ref().is_some_and(Vec::is_empty) {
            let wanted = "a list of key files, the one in use first";
            self.fault(rows.line, rows.key("fleet_keys"), "none", wanted);
        }
        let roster = self.text(rows, "roster", None);
        let region = self.whole(rows, "region", 0, u32::from(u16::MAX), None);
        let founders = self.names(rows, "founders", super::fleet::COUNCIL_SIZES);
        let scopes = self.scopes(rows);
        let file = self.text(rows, "file", Some(""));
        let controls = self.controls(rows);
        let file = file.map(|file| match &file[..] {
            "" => Path::new(state).join("distribution"),
            file => PathBuf::from(file),
        });
        Some(SubscriberPlan {
            listen: listen?,
            key: PathBuf::from(key?),
            fleet_keys: fleet_keys?.into_iter().map(PathBuf::from).collect(),
            roster: PathBuf::from(roster?),
            region: region? as u16,
            founders: founders?,
            scopes: scopes?,
            file: file?,
            controls: controls?,
        })
    }

    fn scopes(&mut self, rows: &mut Rows) -> Option<BTreeSet<Scope>> {
        let wanted = "a list of \"all\", \"region N\", \"zone N\" and \"service N\", one at least";
        self.value(rows, "scopes", wanted, None, |value| {
            let scopes = value.as_array()?.iter().map(|value| scope(value.as_str()?));
            let scopes: BTreeSet<Scope> = scopes.collect::<Option<_>>()?;
            (1..=MOST_SCOPES).contains(&scopes.len()).then_some(scopes)
        })
    }

    fn controls(&mut self, rows: &mut Rows) -> Option<Vec<ControlPlan>> {
        let (line, path) = (rows.line, rows.key("control"));
        let tables = self.each(rows, "control");
        if tables.is_empty() || tables.len() > MOST_CONTROLS {
            let wanted = format!("1 to {MOST_CONTROLS} tables headed [[{path}]]");
            self.fault(line, path, tables.len().to_string(), wanted);
            return None;
        }
        let controls: Vec<Option<ControlPlan>> = tables.into_iter().map(|rows| self.control(rows)).collect();
        let controls: Vec<ControlPlan> = controls.into_iter().collect::<Option<_>>()?;
        let names: BTreeSet<&str> = controls.iter().map(|control| &control.name[..]).collect();
        if names.len() != controls.len() {
            self.fault(line, path, "a name twice", "each name once");
            return None;
        }
        Some(controls)
    }

    fn control(&mut self, mut rows: Rows) -> Option<ControlPlan> {
        let name = self.text(&mut rows, "name", None);
        let address = self.address(&mut rows, "address", None);
        let region = self.whole(&mut rows, "region", 0, u32::from(u16::MAX), None);
        self.done(rows);
        Some(ControlPlan { name: name?, address: address?, region: region? as u16 })
    }
}

/// A control machine as a subscriber's settings have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlPlan {
    /// Its name in the roster.
    pub name: String,
    /// Where it is heard.
    pub address: SocketAddr,
    /// The region that it is in.
    pub region: u16,
}
