//! The settings of one border proxy: a TOML file, read by [`read`], which reports all errors at once.
//! [`EXAMPLE`] is a full file with a comment on each key; docs/operating.md says more.

mod calls;
mod distribution;
mod fleet;
mod reader;
mod records;

use std::collections::{BTreeSet, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use ::distribution::Scope;
use ::records::store::StoreTerms;
use border::ProxyTerms;
use border::decided::AvailabilityTerms;
use border::limits::LimitTerms;
use border::watch::ProposedTerms;
use frostthread::host::Terms;
use toml_edit::Document;

use crate::running_release::RunningRelease;
use reader::{Reader, Section, line_of};

pub use distribution::ControlMachineSettings;

/// A full settings file with a comment on each key.
pub const EXAMPLE: &str = include_str!("../example.toml");

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its line, counted from 1.
    pub line: usize,
    /// The key with its tables, as `grade[0].limit`.
    pub key: String,
    /// What the file has there.
    pub found: String,
    /// What was expected.
    pub wanted: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}: found {}, wanted {}", self.line, self.key, self.found, self.wanted)
    }
}

/// The settings of a border proxy.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// The proxy's name, as in the roster.
    pub name: String,
    /// The file that the settings were read from; set by the caller of [`read`].
    pub config_file: PathBuf,
    /// The release that this process runs; set by the caller of [`read`].
    pub running_release: RunningRelease,
    /// Directory for persistent files, such as the cached pool list and `ready.json`.
    pub state_dir: PathBuf,
    /// The address on which callers' legs are accepted.
    pub callers_address: SocketAddr,
    /// The local address of the sockets to servers, one for each.
    pub server_source: SocketAddr,
    /// The path of the control socket.
    pub control_socket: PathBuf,
    /// The address of the pool list's feed.
    pub pool_feed: SocketAddr,
    /// How long established conversations continue after a stop was requested, in milliseconds.
    pub stop_grace: f64,
    /// Size of the sockets' receive buffers in bytes; none for the kernel's default.
    pub receive_buffer: Option<usize>,
    /// Gossip with the other proxies, if any.
    pub gossip: Option<GossipSettings>,
    /// Limits that hold for the whole fleet, if any.
    pub fleet_limits: Option<LimitTerms>,
    /// The council, which decides for all proxies in one order, if there is one.
    pub council: Option<CouncilSettings>,
    /// The distribution of decided state by scope, if any.
    pub distribution: Option<DistributionSettings>,
    /// Call detail records, if any are kept.
    pub records: Option<RecordsSettings>,
    /// Proposed terms: decisions under them are compared with the actual ones and counted.
    pub proposed_terms: Option<ProposedTerms>,
    /// Names of service grades and tenants, by index.
    pub names: (Vec<String>, Vec<String>),
    /// The terms of the proxy and its decisions.
    pub terms: ProxyTerms,
}

/// How a border proxy keeps its call detail records.
#[derive(Clone, Debug)]
pub struct RecordsSettings {
    /// The folder of the journal.
    pub folder: PathBuf,
    /// How entries are stored.
    pub store: StoreTerms,
}

/// How a border proxy takes part in gossip.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// The local address of the gossip socket.
    pub listen: SocketAddr,
    /// The address that other proxies use, if it differs.
    pub advertised_address: Option<SocketAddr>,
    /// Addresses of other proxies to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The file of this proxy's own key.
    pub key: PathBuf,
    /// The files of the fleet's keys, the one in use first.
    pub fleet_keys: Vec<PathBuf>,
    /// The file of all proxies' public keys.
    pub roster: PathBuf,
    /// Limit on sent bytes per second.
    pub max_bytes_per_second: f64,
    /// Interval between probes of other proxies, in milliseconds.
    pub probe_interval: f64,
    /// How many proxies may report falsely without effect.
    pub max_faulty: usize,
}

/// How a border proxy takes part in the council's decisions.
#[derive(Clone, Debug)]
pub struct CouncilSettings {
    /// The members that vote at first, by their names in the roster.
    pub members: Vec<String>,
    /// The file of this proxy's council state.
    pub file: PathBuf,
    /// Interval of the leader's heartbeats, in milliseconds.
    pub heartbeat: f64,
    /// How long a proxy may act on what it last heard, in milliseconds.
    pub lease: f64,
    /// How many servers and proxies may be unavailable at once.
    pub availability: AvailabilityTerms,
}

/// How decided state is distributed by scope, and this proxy's part in it.
#[derive(Clone, Debug)]
pub struct DistributionSettings {
    /// Interval at which a subscriber and its control machine hear from each other, in milliseconds.
    pub heartbeat: f64,
    /// This proxy's role.
    pub role: DistributionRole,
}

/// A border proxy's role in the distribution of decided state.
#[derive(Clone, Debug)]
pub enum DistributionRole {
    /// Follows the council's log and serves subscribers.
    Control(ServiceSettings),
    /// Holds the scopes that it uses, received from one control machine at a time.
    Subscriber(SubscriberSettings),
}

/// How a control machine serves subscribers.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The file of the subscribers' public keys.
    pub subscribers: PathBuf,
    /// Maximum number of subscribers.
    pub max_subscribers: usize,
    /// Limit on bytes per second sent to all subscribers together.
    pub bytes_per_second: f64,
    /// Limit on bytes per second sent to each subscriber.
    pub subscriber_bytes_per_second: f64,
    /// Maximum number of subscribers that fetch whole scopes at a time.
    pub snapshots_at_once: usize,
}

/// What a subscriber subscribes to, and from which control machines.
#[derive(Clone, Debug)]
pub struct SubscriberSettings {
    /// The local address of its socket.
    pub listen: SocketAddr,
    /// The file of its own key.
    pub key: PathBuf,
    /// The files of the fleet's keys, the one in use first.
    pub fleet_keys: Vec<PathBuf>,
    /// The file of the public keys of all control machines, all possible voters and this proxy.
    pub roster: PathBuf,
    /// Its region, whose control machines it prefers.
    pub region: u16,
    /// The members that vote at first, by their names in the roster.
    pub bootstrap_members: Vec<String>,
    /// The scopes that it holds.
    pub scopes: BTreeSet<Scope>,
    /// The file in which it persists its scopes.
    pub file: PathBuf,
    /// The control machines.
    pub controls: Vec<ControlMachineSettings>,
}

impl ProxySettings {
    /// Returns the path of the cached pool list.
    pub fn pool_cache(&self) -> PathBuf {
        self.state_dir.join("pool.list")
    }

    /// Returns the path of the file with the proxy's addresses, written once it listens.
    pub fn ready_file(&self) -> PathBuf {
        self.state_dir.join("ready.json")
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// All errors in the file, in the order of lines.
pub fn read(source: &str) -> Result<ProxySettings, Vec<Fault>> {
    let document = Document::parse(source).map_err(|error| {
        let line = line_of(source, error.span().map_or(0, |span| span.start));
        let found = error.message().lines().next().unwrap_or_default().to_owned();
        vec![Fault { line, key: "(file)".to_owned(), found, wanted: "TOML".to_owned() }]
    })?;
    let mut reader = Reader { source, faults: Vec::new() };
    let settings = reader.proxy_settings(document.as_table());
    reader.faults.sort_by_key(|fault| fault.line);
    match settings {
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => Err(reader.faults),
    }
}

impl Reader<'_> {
    fn proxy_settings(&mut self, table: &toml_edit::Table) -> Option<ProxySettings> {
        let mut top =
            Section { path: String::new(), table: Some(table), line: 1, known_keys: HashSet::new() };

        let mut proxy = self.section(&mut top, "proxy", true);
        let name = self.text(&mut proxy, "name", None);
        let proxies = self.integer(&mut proxy, "proxies", 1, 100_000, None);
        let state = self.text(&mut proxy, "state", None);
        self.finish(proxy);

        let mut listen = self.section(&mut top, "listen", true);
        let callers = self.address(&mut listen, "callers", None);
        let servers = self.address(&mut listen, "servers", Some("127.0.0.1:0"));
        let control = self.text(&mut listen, "control", Some(""));
        let receive_buffer = self.integer(&mut listen, "receive_buffer", 0, 1 << 30, Some(0));
        self.finish(listen);

        let mut pool = self.section(&mut top, "pool", true);
        let feed = self.address(&mut pool, "feed", None);
        self.finish(pool);

        let gossip = self.gossip(&mut top);
        let fleet_limits = self.fleet_limits(&mut top);
        let council = self.council(&mut top, state.as_deref().unwrap_or_default());
        let distribution = self.distribution(&mut top, state.as_deref().unwrap_or_default());
        let records = self.records(&mut top, state.as_deref().unwrap_or_default());
        let limits = self.limits(&mut top);
        let mut stop = self.section(&mut top, "stop", false);
        let stop_grace = if stop.table.is_some() {
            self.time(&mut stop, "standing", Some(30_000.0))
        } else {
            Some(30_000.0)
        };
        self.finish(stop);

        let grades = self.grades(&mut top);
        let tenants = self.tenants(&mut top);
        let base_terms = Terms {
            proxies: proxies.unwrap_or(1),
            grades: grades.iter().map(|grade| grade.terms.clone()).collect(),
            tenants: tenants.iter().map(|(_, terms, _)| terms.clone()).collect(),
            ..Terms::default()
        };
        let mut rules = self.section(&mut top, "rules", true);
        let terms = self.rules(&mut rules, base_terms, limits.resend_delay, None);
        let answer_lead = self.time(&mut rules, "answer_lead", None);
        self.finish(rules);
        let mut watch = self.section(&mut top, "watch", false);
        let proposed_terms = watch.table.is_some().then(|| ProposedTerms {
            terms: self.rules(&mut watch, terms.clone(), limits.resend_delay, Some(&terms)),
            share: self.number(&mut watch, "share", 0.0, 1.0, Some(1.0)).unwrap_or(1.0),
        });
        self.finish(watch);

        let routes = self.routes(&mut top, &grades, &tenants);
        self.finish(top);
        let state_dir = PathBuf::from(state?);
        let control = control?;
        Some(ProxySettings {
            name: name?,
            config_file: PathBuf::new(),
            running_release: RunningRelease::default(),
            control_socket: if control.is_empty() {
                state_dir.join("control.sock")
            } else {
                PathBuf::from(control)
            },
            state_dir,
            callers_address: callers?,
            server_source: servers?,
            pool_feed: feed?,
            stop_grace: stop_grace?,
            gossip,
            fleet_limits,
            council,
            distribution,
            records,
            proposed_terms,
            names: (
                grades.iter().map(|grade| grade.name.clone()).collect(),
                tenants.iter().map(|(name, ..)| name.clone()).collect(),
            ),
            receive_buffer: receive_buffer.filter(|&bytes| bytes > 0).map(|bytes| bytes as usize),
            terms: ProxyTerms {
                caller_timeout: grades.iter().map(|grade| grade.caller_timeout).collect(),
                terms,
                routes,
                answer_lead: answer_lead?,
                callers: limits,
                servers: limits,
            },
        })
    }
}
