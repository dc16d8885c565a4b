//! What is agreed with the other proxies: gossip, limits.

use std::net::SocketAddr;
use std::path::PathBuf;

use ::outs::holder::HolderTerms;
use border::decided::AvailabilityTerms;
use border::limits::LimitTerms;
use fleet::{FleetTerms, LoanTerms};

use super::reader::{Reader, Rows};
use super::{CouncilPlan, GossipPlan};

/// The parts of a pool's servers and of all proxies that may be out, and how long a proxy has to be well,
/// where nothing is said.
const POOL_PART: f64 = 0.25;
const PROXY_PART: f64 = 0.1;
const WELL: f64 = 5_000.0;
/// Released proxies are compared with others by spans of this length.
const SPAN: f64 = 10_000.0;
/// A lease is so many beats at the least.
const LEAST_LEASE_BEATS: f64 = 40.0;
/// How many members of a council are named at first.
pub(super) const COUNCIL_SIZES: [usize; 3] = [3, 5, 7];

impl Reader<'_> {
    pub(super) fn gossip(&mut self, top: &mut Rows) -> Option<GossipPlan> {
        let mut rows = self.rows(top, "gossip", false);
        rows.table?;
        let listen = self.address(&mut rows, "listen", None);
        let address = self.text(&mut rows, "address", Some("")).filter(|text| !text.is_empty());
        let address = address.and_then(|_| self.address(&mut rows, "address", None));
        let wanted = "a list of addresses and ports, as [\"127.0.0.1:4571\"]";
        let seeds = self.value(&mut rows, "seeds", wanted, None, |value| {
            value.as_array()?.iter().map(|v| v.as_str()?.parse().ok()).collect::<Option<Vec<SocketAddr>>>()
        });
        let key = self.text(&mut rows, "key", None);
        let fleet_keys = self.texts(&mut rows, "fleet_keys");
        if fleet_keys.as_ref().is_some_and(Vec::is_empty) {
            self.fault(
                rows.line,
                rows.key("fleet_keys"),
                "none",
                "a list of key files, the one in use first",
            );
        }
        let roster = self.text(&mut rows, "roster", None);
        // A packet is to fit into the part of the cap that is spent at once.
        let least = 8 * gossip::wire::MAX_DATAGRAM_BYTES as u32;
        let cap = self.whole(&mut rows, "cap", least, 100_000_000, None);
        let beat = self.time(&mut rows, "beat", None);
        let liars = self.whole(&mut rows, "liars", 0, 1000, None);
        self.done(rows);
        Some(GossipPlan {
            listen: listen?,
            address,
            seeds: seeds?,
            key: PathBuf::from(key?),
            fleet_keys: fleet_keys?.into_iter().map(PathBuf::from).collect(),
            roster: PathBuf::from(roster?),
            cap: f64::from(cap?),
            beat: beat?,
            liars: liars? as usize,
        })
    }

    pub(super) fn fleet(&mut self, top: &mut Rows) -> Option<LimitTerms> {
        let mut rows = self.rows(top, "fleet", false);
        let table = rows.table?;
        self.beside(top, &rows, "gossip", "which carries what members say");
        let window = self.time(&mut rows, "window", Some(1000.0));
        let beat = self.time(&mut rows, "beat", Some(100.0));
        let lease = self.time(&mut rows, "lease", Some(2000.0));
        let drift = self.number(&mut rows, "drift", 0.0, 0.5, Some(0.001));
        let spread = self.time(&mut rows, "spread", Some(20.0));
        let floor = self.number(&mut rows, "floor", 0.0, 1.0, Some(0.25));
        let most = self.number(&mut rows, "most", 0.0, 1e6, Some(0.0)).filter(|_| table.contains_key("most"));
        let shared = table.contains_key("share_window");
        let share_window = self.time(&mut rows, "share_window", Some(1000.0)).filter(|_| shared);
        let (line, key) = (rows.line, rows.key("lease"));
        self.done(rows);
        let (window, beat, lease) = (window?, beat?, lease?);
        if lease < 2.0 * beat {
            self.fault(line, key, format!("{lease} ms, with a beat of {beat} ms"), "two beats or more");
        }
        let loans = LoanTerms { lease, drift: drift?, spread: spread?, floor: floor? };
        Some(LimitTerms {
            fleet: FleetTerms { loans, tick_interval: beat },
            window,
            max_rate: most,
            share_window,
        })
    }

    /// Names of the roster, each once, of which there are so many.
    pub(super) fn names(
        &mut self,
        rows: &mut Rows,
        key: &'static str,
        sizes: [usize; 3],
    ) -> Option<Vec<String>> {
        let names = self.texts(rows, key)?;
        let (line, path) = (rows.line, rows.key(key));
        let mut once = names.clone();
        once.sort_unstable();
        once.dedup();
        if once.len() != names.len() {
            self.fault(line, path, "a name twice", "each name once");
        } else if !sizes.contains(&names.len()) {
            let [a, b, c] = sizes;
            let wanted = format!("{a}, {b} or {c} names of the roster");
            self.fault(line, path, format!("{} names", names.len()), wanted);
        }
        Some(names)
    }

    /// Wants another table beside the one that is read.
    pub(super) fn beside(&mut self, top: &Rows, rows: &Rows, other: &str, why: &str) {
        if !top.table.is_some_and(|table| table.contains_key(other)) {
            let wanted = format!("[{other}] beside it, {why}");
            self.fault(rows.line, rows.path.clone(), format!("no [{other}]"), wanted);
        }
    }

    pub(super) fn council(&mut self, top: &mut Rows, state: &str) -> Option<CouncilPlan> {
        let mut rows = self.rows(top, "council", false);
        if rows.table.is_none() {
            self.outs(top, 0.0);
            return None;
        }
        self.beside(top, &rows, "gossip", "which carries what members say");
        let line = rows.line;
        let members = self.names(&mut rows, "members", COUNCIL_SIZES);
        let file = self.text(&mut rows, "file", Some(""));
        let beat = self.time(&mut rows, "beat", Some(200.0));
        let lease = self.time(&mut rows, "lease", Some(10_000.0));
        let outs = self.outs(top, lease.unwrap_or_default());
        let lease_key = rows.key("lease");
        self.done(rows);
        let (members, file, beat, lease) = (members?, file?, beat?, lease?);
        // A new leader has to be found and asked within it.
        if lease < LEAST_LEASE_BEATS * beat {
            let wanted = format!("{LEAST_LEASE_BEATS} beats or more, in which a leader can be replaced");
            self.fault(line, lease_key, format!("{lease} ms, with a beat of {beat} ms"), wanted);
        }
        let file = if file.is_empty() { PathBuf::from(state).join("council") } else { PathBuf::from(file) };
        Some(CouncilPlan { members, file, beat, lease, outs: outs? })
    }

    fn outs(&mut self, top: &mut Rows, lease: f64) -> Option<AvailabilityTerms> {
        let mut rows = self.rows(top, "outs", false);
        if rows.table.is_none() {
            let holder =
                HolderTerms { max_unavailable_fraction: PROXY_PART, witnesses: 1, healthy_for: WELL, lease };
            return Some(AvailabilityTerms { pool_part: POOL_PART, holder, comparison_period: Some(SPAN) });
        }
        self.beside(top, &rows, "council", "which decides who may be out");
        let pool_part = self.part(&mut rows, "pool_part", POOL_PART);
        let proxy_part = self.part(&mut rows, "proxy_part", PROXY_PART);
        let witnesses = self.whole(&mut rows, "witnesses", 1, 100, Some(1));
        let well = self.time(&mut rows, "well", Some(WELL));
        let judged = self.truth(&mut rows, "judged", true)?;
        let span = self.time(&mut rows, "span", Some(SPAN));
        self.done(rows);
        let holder = HolderTerms {
            max_unavailable_fraction: proxy_part?,
            witnesses: witnesses? as u16,
            healthy_for: well?,
            lease,
        };
        Some(AvailabilityTerms { pool_part: pool_part?, holder, comparison_period: span.filter(|_| judged) })
    }

    /// A part of all above 0, of which one at least may be out.
    fn part(&mut self, rows: &mut Rows, key: &'static str, usual: f64) -> Option<f64> {
        let (line, path) = (rows.line, rows.key(key));
        let part = self.number(rows, key, 0.0, 1.0, Some(usual));
        if part == Some(0.0) {
            self.fault(line, path, "0", "a part above 0: none could ever go");
        }
        part
    }
}
