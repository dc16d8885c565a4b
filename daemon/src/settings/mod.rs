//! The settings of one border proxy: a TOML file, read with [`read`], which tells all that is wrong with it
//! at once. [`EXAMPLE`] is a full one with a word on each key; docs/operating.md says more.

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
use ::records::commit::Durability;
use border::ProxyTerms;
use border::decided::AvailabilityTerms;
use border::limits::LimitTerms;
use border::watch::ProposedTerms;
use frostthread::host::Terms;
use toml_edit::Document;

use crate::running_release::RunningRelease;
use reader::{Reader, Section, line_of};

pub use distribution::ControlMachineSettings;

pub const EXAMPLE: &str = include_str!("../example.toml");

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub key: String,
    pub found: String,
    pub wanted: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}: found {}, wanted {}", self.line, self.key, self.found, self.wanted)
    }
}

/// What a border proxy runs by.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    pub name: String,
    /// The file that it was read from, and what of a release this process runs: by whoever starts it.
    pub config_file: PathBuf,
    pub running_release: RunningRelease,
    /// Directory for what lasts: the cached list, the addresses that it listens on.
    pub state_dir: PathBuf,
    pub callers_address: SocketAddr,
    /// The address that servers are called from; a port is given out for each.
    pub server_source: SocketAddr,
    pub control_socket: PathBuf,
    pub pool_feed: SocketAddr,
    /// Milliseconds for which what stands goes on after a stop was asked for.
    pub stop_grace: f64,
    pub receive_buffer: Option<usize>,
    pub gossip: Option<GossipSettings>,
    /// Limits that hold for the whole fleet, where there are any.
    pub fleet_limits: Option<LimitTerms>,
    /// Decisions of all proxies in one order, where there are any.
    pub council: Option<CouncilSettings>,
    /// Decided state by scope, where it is distributed.
    pub distribution: Option<DistributionSettings>,
    pub records: Option<RecordsSettings>,
    /// Terms that are watched: what would be decided under them is counted.
    pub proposed_terms: Option<ProposedTerms>,
    /// Names of service grades and tenants, by index.
    pub names: (Vec<String>, Vec<String>),
    pub terms: ProxyTerms,
}

/// How a border proxy keeps its records.
#[derive(Clone, Debug)]
pub struct RecordsSettings {
    pub folder: PathBuf,
    pub durability: Durability,
    /// Milliseconds.
    pub max_sync_delay: f64,
    pub max_sync_time: f64,
    /// Bytes.
    pub segment_bytes: u64,
}

/// How a border proxy gossips.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    pub listen: SocketAddr,
    /// The address that others are told, where that differs.
    pub advertised_address: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub key: PathBuf,
    pub fleet_keys: Vec<PathBuf>,
    pub roster: PathBuf,
    /// Bytes a second.
    pub max_bytes_per_second: f64,
    /// Milliseconds.
    pub probe_interval: f64,
    pub max_faulty: usize,
}

/// How a border proxy takes part in the decisions of all.
#[derive(Clone, Debug)]
pub struct CouncilSettings {
    /// Who votes at first, by the roster's names.
    pub members: Vec<String>,
    pub file: PathBuf,
    /// Milliseconds.
    pub heartbeat: f64,
    pub lease: f64,
    pub availability: AvailabilityTerms,
}

/// How decided state is distributed by scope, and this proxy's part in it.
#[derive(Clone, Debug)]
pub struct DistributionSettings {
    /// How often a subscriber and its control machine hear of each other, in milliseconds.
    pub heartbeat: f64,
    /// What this proxy is in it.
    pub role: DistributionRole,
}

/// What a border proxy is in the distribution of decided state.
#[derive(Clone, Debug)]
pub enum DistributionRole {
    /// It follows the log and serves subscribers.
    Control(ServiceSettings),
    /// It holds the scopes that it uses, by one control machine at a time.
    Subscriber(SubscriberSettings),
}

/// Whom a control machine serves.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The roster of subscribers.
    pub subscribers: PathBuf,
    /// Subscribers at the most.
    pub max_subscribers: usize,
    /// Bytes a second to all subscribers together, and to each of them.
    pub bytes_per_second: f64,
    /// See [`ServiceSettings::bytes_per_second`].
    pub subscriber_bytes_per_second: f64,
    /// Subscribers that fetch whole scopes at a time.
    pub snapshots_at_once: usize,
}

/// What a subscriber subscribes to, and where.
#[derive(Clone, Debug)]
pub struct SubscriberSettings {
    /// Where it is heard.
    pub listen: SocketAddr,
    /// Its own key.
    pub key: PathBuf,
    /// The fleet's keys, the one in use first.
    pub fleet_keys: Vec<PathBuf>,
    /// Public keys of all control machines, all who may vote, and this proxy.
    pub roster: PathBuf,
    /// The region that it is in, whose control machines it prefers.
    pub region: u16,
    /// Who votes at first, by the roster's names.
    pub bootstrap_members: Vec<String>,
    /// What it holds.
    pub scopes: BTreeSet<Scope>,
    /// Where it keeps what it holds.
    pub file: PathBuf,
    /// The control machines.
    pub controls: Vec<ControlMachineSettings>,
}

impl ProxySettings {
    pub fn pool_cache(&self) -> PathBuf {
        self.state_dir.join("pool.list")
    }

    /// Where the addresses stand once it listens.
    pub fn ready_file(&self) -> PathBuf {
        self.state_dir.join("ready.json")
    }
}

/// Reads a settings file; all that is wrong with it otherwise, in the order of lines.
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
