//! Reads the tables of gossip, fleet limits, the council and its availability rules.

use std::net::SocketAddr;
use std::path::PathBuf;

use ::outs::holder::HolderTerms;
use border::decided::AvailabilityTerms;
use border::limits::LimitTerms;
use fleet::{FleetTerms, LoanTerms};

use super::reader::{Reader, Section};
use super::{CouncilSettings, GossipSettings};

/// Default parts of a pool's servers and of all proxies that may be unavailable at once.
const DEFAULT_POOL_PART: f64 = 0.25;
const DEFAULT_PROXY_PART: f64 = 0.1;
/// Default time for which a returned proxy must be healthy, in milliseconds.
const DEFAULT_HEALTHY_MS: f64 = 5_000.0;
/// Default length of the periods by which released proxies are compared with the others, in milliseconds.
const DEFAULT_COMPARISON_MS: f64 = 10_000.0;
/// Minimum length of a lease in heartbeats.
const MIN_LEASE_HEARTBEATS: f64 = 40.0;
/// Allowed numbers of initial council members.
pub(super) const COUNCIL_SIZES: [usize; 3] = [3, 5, 7];

impl Reader<'_> {
    /// Reads `[gossip]`.
    pub(super) fn gossip(&mut self, top: &mut Section) -> Option<GossipSettings> {
        let mut section = self.section(top, "gossip", false);
        section.table?;
        let listen = self.address(&mut section, "listen", None);
        let advertised_address = self.text(&mut section, "address", Some("")).filter(|text| !text.is_empty());
        let advertised_address = advertised_address.and_then(|_| self.address(&mut section, "address", None));
        let wanted = "a list of addresses and ports, as [\"127.0.0.1:4571\"]";
        let seeds = self.value(&mut section, "seeds", wanted, None, |value| {
            value.as_array()?.iter().map(|v| v.as_str()?.parse().ok()).collect::<Option<Vec<SocketAddr>>>()
        });
        let key = self.text(&mut section, "key", None);
        let fleet_keys = self.text_list(&mut section, "fleet_keys");
        if fleet_keys.as_ref().is_some_and(Vec::is_empty) {
            self.fault(
                section.line,
                section.key("fleet_keys"),
                "none",
                "a list of key files, the one in use first",
            );
        }
        let roster = self.text(&mut section, "roster", None);
        // The part of the cap that may be spent at once must hold a whole packet.
        let min_cap = 8 * gossip::wire::MAX_DATAGRAM_BYTES as u32;
        let cap = self.integer(&mut section, "cap", min_cap, 100_000_000, None);
        let probe_interval = self.time(&mut section, "beat", None);
        let max_faulty = self.integer(&mut section, "liars", 0, 1000, None);
        self.finish(section);
        Some(GossipSettings {
            listen: listen?,
            advertised_address,
            seeds: seeds?,
            key: PathBuf::from(key?),
            fleet_keys: fleet_keys?.into_iter().map(PathBuf::from).collect(),
            roster: PathBuf::from(roster?),
            max_bytes_per_second: f64::from(cap?),
            probe_interval: probe_interval?,
            max_faulty: max_faulty? as usize,
        })
    }

    /// Reads `[fleet]`.
    pub(super) fn fleet_limits(&mut self, top: &mut Section) -> Option<LimitTerms> {
        let mut section = self.section(top, "fleet", false);
        let table = section.table?;
        self.require_table(top, &section, "gossip", "which carries messages between proxies");
        let window = self.time(&mut section, "window", Some(1000.0));
        let interval = self.time(&mut section, "beat", Some(100.0));
        let lease = self.time(&mut section, "lease", Some(2000.0));
        let drift = self.number(&mut section, "drift", 0.0, 0.5, Some(0.001));
        let spread = self.time(&mut section, "spread", Some(20.0));
        let floor = self.number(&mut section, "floor", 0.0, 1.0, Some(0.25));
        let rate =
            self.number(&mut section, "most", 0.0, 1e6, Some(0.0)).filter(|_| table.contains_key("most"));
        let has_share_window = table.contains_key("share_window");
        let share_window = self.time(&mut section, "share_window", Some(1000.0)).filter(|_| has_share_window);
        let (line, key) = (section.line, section.key("lease"));
        self.finish(section);
        let (window, interval, lease) = (window?, interval?, lease?);
        if lease < 2.0 * interval {
            self.fault(
                line,
                key,
                format!("{lease} ms, with a beat of {interval} ms"),
                "at least two times beat",
            );
        }
        let loans = LoanTerms { lease, drift: drift?, spread: spread?, floor: floor? };
        Some(LimitTerms {
            fleet: FleetTerms { loans, tick_interval: interval },
            window,
            max_rate: rate,
            share_window,
        })
    }

    /// Reads a list of names of the roster, each once; `sizes` are the allowed lengths.
    pub(super) fn roster_names(
        &mut self,
        section: &mut Section,
        key: &'static str,
        sizes: [usize; 3],
    ) -> Option<Vec<String>> {
        let names = self.text_list(section, key)?;
        let (line, path) = (section.line, section.key(key));
        let mut unique_names = names.clone();
        unique_names.sort_unstable();
        unique_names.dedup();
        if unique_names.len() != names.len() {
            self.fault(line, path, "a name twice", "each name once");
        } else if !sizes.contains(&names.len()) {
            let [a, b, c] = sizes;
            let wanted = format!("{a}, {b} or {c} names of the roster");
            self.fault(line, path, format!("{} names", names.len()), wanted);
        }
        Some(names)
    }

    /// Reports an error if the table `other`, which this one needs, is missing; `why` says what for.
    pub(super) fn require_table(&mut self, top: &Section, section: &Section, other: &str, why: &str) {
        if !top.table.is_some_and(|table| table.contains_key(other)) {
            let wanted = format!("[{other}] beside it, {why}");
            self.fault(section.line, section.path.clone(), format!("no [{other}]"), wanted);
        }
    }

    /// Reads `[council]`.
    pub(super) fn council(&mut self, top: &mut Section, state: &str) -> Option<CouncilSettings> {
        let mut section = self.section(top, "council", false);
        if section.table.is_none() {
            self.availability(top, 0.0);
            return None;
        }
        self.require_table(top, &section, "gossip", "which carries messages between proxies");
        let line = section.line;
        let members = self.roster_names(&mut section, "members", COUNCIL_SIZES);
        let file = self.text(&mut section, "file", Some(""));
        let heartbeat = self.time(&mut section, "beat", Some(200.0));
        let lease = self.time(&mut section, "lease", Some(10_000.0));
        let availability = self.availability(top, lease.unwrap_or_default());
        let lease_key = section.key("lease");
        self.finish(section);
        let (members, file, heartbeat, lease) = (members?, file?, heartbeat?, lease?);
        // A new leader must be elected and heard from within a lease.
        if lease < MIN_LEASE_HEARTBEATS * heartbeat {
            let wanted =
                format!("at least {MIN_LEASE_HEARTBEATS} times beat, in which a leader can be replaced");
            self.fault(line, lease_key, format!("{lease} ms, with a beat of {heartbeat} ms"), wanted);
        }
        let file = if file.is_empty() { PathBuf::from(state).join("council") } else { PathBuf::from(file) };
        Some(CouncilSettings { members, file, heartbeat, lease, availability: availability? })
    }

    /// Reads `[outs]`; `lease` is the council's, in milliseconds.
    fn availability(&mut self, top: &mut Section, lease: f64) -> Option<AvailabilityTerms> {
        let mut section = self.section(top, "outs", false);
        if section.table.is_none() {
            let holder = HolderTerms {
                max_unavailable_fraction: DEFAULT_PROXY_PART,
                witnesses: 1,
                healthy_for: DEFAULT_HEALTHY_MS,
                lease,
            };
            return Some(AvailabilityTerms {
                pool_part: DEFAULT_POOL_PART,
                holder,
                comparison_period: Some(DEFAULT_COMPARISON_MS),
            });
        }
        self.require_table(top, &section, "council", "which decides who may be unavailable");
        let pool_part = self.fraction(&mut section, "pool_part", DEFAULT_POOL_PART);
        let proxy_part = self.fraction(&mut section, "proxy_part", DEFAULT_PROXY_PART);
        let witnesses = self.integer(&mut section, "witnesses", 1, 100, Some(1));
        let healthy = self.time(&mut section, "well", Some(DEFAULT_HEALTHY_MS));
        let compare = self.boolean(&mut section, "judged", true)?;
        let period = self.time(&mut section, "span", Some(DEFAULT_COMPARISON_MS));
        self.finish(section);
        let holder = HolderTerms {
            max_unavailable_fraction: proxy_part?,
            witnesses: witnesses? as u16,
            healthy_for: healthy?,
            lease,
        };
        Some(AvailabilityTerms {
            pool_part: pool_part?,
            holder,
            comparison_period: period.filter(|_| compare),
        })
    }

    /// Reads a part above 0 of servers or proxies; at least one of them may always be unavailable.
    fn fraction(&mut self, section: &mut Section, key: &'static str, default: f64) -> Option<f64> {
        let (line, path) = (section.line, section.key(key));
        let fraction = self.number(section, key, 0.0, 1.0, Some(default));
        if fraction == Some(0.0) {
            self.fault(line, path, "0", "a part above 0: with 0 none could ever be drained or replaced");
        }
        fraction
    }
}
