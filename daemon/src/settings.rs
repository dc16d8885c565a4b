//! The settings of one border proxy: a TOML file, read with [`read`], which tells all that is wrong with it
//! at once. [`EXAMPLE`] is a full one with a word on each key; docs/operating.md says more.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use border::ProxyTerms;
use border::limits::LimitTerms;
use border::routes::{Route, Routes};
use border::watch::ToCome;
use fleet::{FleetTerms, LoanTerms};
use frostthread::host::{GradeTerms, TenantTerms, Terms};
use iax2::Limits;
use records::commit::Promise;
use toml_edit::{Document, Item, TableLike, Value};

pub const EXAMPLE: &str = include_str!("example.toml");

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
pub struct Plan {
    pub name: String,
    /// Directory for what lasts: the cached list, the addresses that it listens on.
    pub state: PathBuf,
    pub callers: SocketAddr,
    /// The address that servers are called from; a port is given out for each.
    pub servers: SocketAddr,
    pub control: PathBuf,
    pub feed: SocketAddr,
    /// Milliseconds for which what stands goes on after a stop was asked for.
    pub standing: f64,
    pub receive_buffer: Option<usize>,
    pub gossip: Option<GossipPlan>,
    /// Limits that hold for the whole fleet, where there are any.
    pub fleet: Option<LimitTerms>,
    pub records: Option<RecordsPlan>,
    /// Terms that are watched: what would be decided under them is counted.
    pub to_come: Option<ToCome>,
    /// Names of service grades and tenants, by index.
    pub names: (Vec<String>, Vec<String>),
    pub terms: ProxyTerms,
}

/// How a border proxy keeps its records.
#[derive(Clone, Debug)]
pub struct RecordsPlan {
    pub folder: PathBuf,
    pub promise: Promise,
    /// Milliseconds.
    pub delay: f64,
    pub patience: f64,
    /// Bytes.
    pub segment: u64,
}

/// How a border proxy gossips.
#[derive(Clone, Debug)]
pub struct GossipPlan {
    pub listen: SocketAddr,
    /// The address that others are told, where that differs.
    pub address: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub key: PathBuf,
    pub fleet_keys: Vec<PathBuf>,
    pub roster: PathBuf,
    /// Bytes a second.
    pub cap: f64,
    /// Milliseconds.
    pub beat: f64,
    pub liars: usize,
}

impl Plan {
    pub fn pool_cache(&self) -> PathBuf {
        self.state.join("pool.list")
    }

    /// Where the addresses stand once it listens.
    pub fn ready_file(&self) -> PathBuf {
        self.state.join("ready.json")
    }
}

/// Reads a settings file; all that is wrong with it otherwise, in the order of lines.
pub fn read(source: &str) -> Result<Plan, Vec<Fault>> {
    let document = Document::parse(source).map_err(|error| {
        let line = line_of(source, error.span().map_or(0, |span| span.start));
        let found = error.message().lines().next().unwrap_or_default().to_owned();
        vec![Fault { line, key: "(file)".to_owned(), found, wanted: "TOML".to_owned() }]
    })?;
    let mut reader = Reader { source, faults: Vec::new() };
    let plan = reader.plan(document.as_table());
    reader.faults.sort_by_key(|fault| fault.line);
    match plan {
        Some(plan) if reader.faults.is_empty() => Ok(plan),
        _ => Err(reader.faults),
    }
}

fn line_of(source: &str, at: usize) -> usize {
    source.as_bytes()[..at.min(source.len())].iter().filter(|&&b| b == b'\n').count() + 1
}

struct Reader<'a> {
    source: &'a str,
    faults: Vec<Fault>,
}

/// A table that is being read: which of its keys were asked for.
struct Rows<'t> {
    path: String,
    table: Option<&'t dyn TableLike>,
    line: usize,
    asked: HashSet<&'static str>,
}

impl<'t> Rows<'t> {
    fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
}

impl Reader<'_> {
    fn fault(&mut self, line: usize, key: String, found: impl Into<String>, wanted: impl Into<String>) {
        self.faults.push(Fault { line, key, found: found.into(), wanted: wanted.into() });
    }

    fn line(&self, item: &Item) -> Option<usize> {
        Some(line_of(self.source, item.span()?.start))
    }

    fn rows<'t>(&mut self, parent: &mut Rows<'t>, key: &'static str, wanted: bool) -> Rows<'t> {
        parent.asked.insert(key);
        let path = parent.key(key);
        let item = parent.table.and_then(|table| table.get(key));
        let line = item.and_then(|item| self.line(item)).unwrap_or(parent.line);
        let table = item.and_then(Item::as_table_like);
        match item {
            None if wanted => self.fault(line, path.clone(), "nothing", "a table"),
            Some(item) if table.is_none() => self.fault(line, path.clone(), item.type_name(), "a table"),
            _ => {}
        }
        Rows { path, table, line, asked: HashSet::new() }
    }

    fn each<'t>(&mut self, parent: &mut Rows<'t>, key: &'static str) -> Vec<Rows<'t>> {
        parent.asked.insert(key);
        let Some(item) = parent.table.and_then(|table| table.get(key)) else { return Vec::new() };
        let line = self.line(item).unwrap_or(parent.line);
        let Some(all) = item.as_array_of_tables() else {
            self.fault(line, key.to_owned(), item.type_name(), format!("tables headed [[{key}]]"));
            return Vec::new();
        };
        let rows = all.iter().enumerate().map(|(i, table)| Rows {
            path: format!("{key}[{i}]"),
            line: table.span().map_or(line, |span| line_of(self.source, span.start)),
            table: Some(table as &dyn TableLike),
            asked: HashSet::new(),
        });
        rows.collect()
    }

    /// Tells of keys that nothing asked for.
    fn done(&mut self, rows: Rows) {
        let Some(table) = rows.table else { return };
        for (key, item) in table.iter().filter(|(key, _)| !rows.asked.contains(key)) {
            let line = self.line(item).unwrap_or(rows.line);
            let mut known: Vec<&str> = rows.asked.iter().copied().collect();
            known.sort_unstable();
            self.fault(line, rows.key(key), "a key of no use", format!("one of {}", known.join(", ")));
        }
    }

    /// The value of a key as `take` reads it; a fault where it is missing or `take` finds it wrong.
    fn value<T>(
        &mut self,
        rows: &mut Rows,
        key: &'static str,
        wanted: &str,
        default: Option<T>,
        take: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        rows.asked.insert(key);
        let table = rows.table?;
        let Some(item) = table.get(key) else {
            if default.is_none() {
                self.fault(rows.line, rows.key(key), "nothing", wanted);
            }
            return default;
        };
        let line = self.line(item).unwrap_or(rows.line);
        let value = item.as_value().and_then(take);
        if value.is_none() {
            let found =
                item.as_value().map_or(item.type_name().to_owned(), |v| v.to_string().trim().to_owned());
            self.fault(line, rows.key(key), found, wanted);
        }
        value
    }

    fn time(&mut self, rows: &mut Rows, key: &'static str, default: Option<f64>) -> Option<f64> {
        self.value(rows, key, "a time above 0, as \"300 ms\"", default, |value| {
            let span = humantime::parse_duration(value.as_str()?).ok()?;
            Some(span.as_secs_f64() * 1000.0).filter(|&ms| ms > 0.0 && ms < 1e9)
        })
    }

    fn number(
        &mut self,
        rows: &mut Rows,
        key: &'static str,
        low: f64,
        high: f64,
        default: Option<f64>,
    ) -> Option<f64> {
        let wanted = format!("a number from {low} to {high}");
        self.value(rows, key, &wanted, default, |value| {
            let number = value.as_float().or_else(|| value.as_integer().map(|n| n as f64))?;
            Some(number).filter(|n| (low..=high).contains(n))
        })
    }

    fn whole(
        &mut self,
        rows: &mut Rows,
        key: &'static str,
        low: u32,
        high: u32,
        default: Option<u32>,
    ) -> Option<u32> {
        let wanted = format!("a whole number from {low} to {high}");
        self.value(rows, key, &wanted, default, |value| {
            u32::try_from(value.as_integer()?).ok().filter(|n| (low..=high).contains(n))
        })
    }

    fn truth(&mut self, rows: &mut Rows, key: &'static str, default: bool) -> Option<bool> {
        self.value(rows, key, "true or false", Some(default), Value::as_bool)
    }

    fn text(&mut self, rows: &mut Rows, key: &'static str, default: Option<&str>) -> Option<String> {
        let take = |value: &Value| value.as_str().map(str::to_owned);
        self.value(rows, key, "text", default.map(str::to_owned), take)
    }

    fn address(&mut self, rows: &mut Rows, key: &'static str, default: Option<&str>) -> Option<SocketAddr> {
        let default = default.map(|text| text.parse().expect("a default address"));
        self.value(rows, key, "an address and port, as \"127.0.0.1:4569\"", default, |value| {
            value.as_str()?.parse().ok()
        })
    }

    fn texts(&mut self, rows: &mut Rows, key: &'static str) -> Option<Vec<String>> {
        self.value(rows, key, "a list of texts", Some(Vec::new()), |value| {
            value.as_array()?.iter().map(|v| v.as_str().map(str::to_owned)).collect()
        })
    }

    fn plan(&mut self, table: &toml_edit::Table) -> Option<Plan> {
        let mut top = Rows { path: String::new(), table: Some(table), line: 1, asked: HashSet::new() };

        let mut proxy = self.rows(&mut top, "proxy", true);
        let name = self.text(&mut proxy, "name", None);
        let proxies = self.whole(&mut proxy, "proxies", 1, 100_000, None);
        let state = self.text(&mut proxy, "state", None);
        self.done(proxy);

        let mut listen = self.rows(&mut top, "listen", true);
        let callers = self.address(&mut listen, "callers", None);
        let servers = self.address(&mut listen, "servers", Some("127.0.0.1:0"));
        let control = self.text(&mut listen, "control", Some(""));
        let receive_buffer = self.whole(&mut listen, "receive_buffer", 0, 1 << 30, Some(0));
        self.done(listen);

        let mut pool = self.rows(&mut top, "pool", true);
        let feed = self.address(&mut pool, "feed", None);
        self.done(pool);

        let gossip = self.gossip(&mut top);
        let fleet = self.fleet(&mut top);
        let records = self.records(&mut top, state.as_deref().unwrap_or_default());
        let limits = self.limits(&mut top);
        let mut stop = self.rows(&mut top, "stop", false);
        let standing = if stop.table.is_some() {
            self.time(&mut stop, "standing", Some(30_000.0))
        } else {
            Some(30_000.0)
        };
        self.done(stop);

        let grades = self.grades(&mut top);
        let tenants = self.tenants(&mut top);
        let parts = Terms {
            proxies: proxies.unwrap_or(1),
            grades: grades.iter().map(|grade| grade.terms.clone()).collect(),
            tenants: tenants.iter().map(|(_, terms, _)| terms.clone()).collect(),
            ..Terms::default()
        };
        let mut rules = self.rows(&mut top, "rules", true);
        let terms = self.rules(&mut rules, parts, limits.resend, None);
        let answer_lead = self.time(&mut rules, "answer_lead", None);
        self.done(rules);
        let mut watch = self.rows(&mut top, "watch", false);
        let to_come = watch.table.is_some().then(|| ToCome {
            terms: self.rules(&mut watch, terms.clone(), limits.resend, Some(&terms)),
            share: self.number(&mut watch, "share", 0.0, 1.0, Some(1.0)).unwrap_or(1.0),
        });
        self.done(watch);

        let routes = self.routes(&mut top, &grades, &tenants);
        self.done(top);
        let state = PathBuf::from(state?);
        let control = control?;
        Some(Plan {
            name: name?,
            control: if control.is_empty() { state.join("control.sock") } else { PathBuf::from(control) },
            state,
            callers: callers?,
            servers: servers?,
            feed: feed?,
            standing: standing?,
            gossip,
            fleet,
            records,
            to_come,
            names: (
                grades.iter().map(|grade| grade.name.clone()).collect(),
                tenants.iter().map(|(name, ..)| name.clone()).collect(),
            ),
            receive_buffer: receive_buffer.filter(|&bytes| bytes > 0).map(|bytes| bytes as usize),
            terms: ProxyTerms {
                patience: grades.iter().map(|grade| grade.patience).collect(),
                terms,
                routes,
                answer_lead: answer_lead?,
                callers: limits,
                servers: limits,
            },
        })
    }

    fn records(&mut self, top: &mut Rows, state: &str) -> Option<RecordsPlan> {
        let mut rows = self.rows(top, "records", false);
        rows.table?;
        let folder = self.text(&mut rows, "folder", Some(""));
        let wanted = "\"synced\", \"written\" or \"loose\"";
        let promise = self.value(&mut rows, "promise", wanted, Some(Promise::default()), |value| match value
            .as_str(
        )? {
            "synced" => Some(Promise::Synced),
            "written" => Some(Promise::Written),
            "loose" => Some(Promise::Loose),
            _ => None,
        });
        let delay = self.time(&mut rows, "delay", None);
        let patience = self.time(&mut rows, "patience", None);
        let segment = self.whole(&mut rows, "segment", 4096, u32::MAX, None);
        self.done(rows);
        let folder = folder.filter(|folder| !folder.is_empty());
        Some(RecordsPlan {
            folder: folder.map_or_else(|| PathBuf::from(state).join("records"), PathBuf::from),
            promise: promise?,
            delay: delay?,
            patience: patience?,
            segment: u64::from(segment?),
        })
    }

    fn gossip(&mut self, top: &mut Rows) -> Option<GossipPlan> {
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
        let least = 8 * gossip::wire::LARGEST as u32;
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

    fn fleet(&mut self, top: &mut Rows) -> Option<LimitTerms> {
        let gossips = top.table.is_some_and(|table| table.contains_key("gossip"));
        let mut rows = self.rows(top, "fleet", false);
        let table = rows.table?;
        if !gossips {
            self.fault(
                rows.line,
                rows.key(""),
                "no [gossip]",
                "[gossip] beside it, which carries what members say",
            );
        }
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
        Some(LimitTerms { fleet: FleetTerms { loans, beat }, window, most, share_window })
    }

    /// The rules of a table, into `terms`; what is left out stands as in `base`, where there is one.
    fn rules(&mut self, rows: &mut Rows, terms: Terms, resend: f64, base: Option<&Terms>) -> Terms {
        let advised = rows.table.is_some_and(|table| table.contains_key("longest_advice"));
        let advice = self.time(rows, "longest_advice", Some(0.0)).filter(|_| advised);
        let time = |pick: fn(&Terms) -> f64| base.map(pick);
        let truth = |pick: fn(&Terms) -> bool, usual| base.map_or(usual, pick);
        let number = |pick: fn(&Terms) -> f64, usual| base.map_or(usual, |base| Some(pick(base)));
        let shots = self.whole(rows, "max_shots", 1, 100, base.map(|base| base.max_shots));
        let over_share = number(|t| t.over_share, Some(1.0));
        let cold_from = number(|t| t.cold_from, Some(0.0));
        let fall_multiple = number(|t| t.fall_multiple, None);
        let repeats = self.truth(rows, "setups_repeat", truth(|t| t.repeat > 0.0, true));
        Terms {
            over_share: self.number(rows, "over_share", 0.0, 1.0, over_share).unwrap_or(1.0),
            max_shots: shots.unwrap_or(1),
            longest_advice: advice.or(base.and_then(|base| base.longest_advice)),
            may_cancel: self.truth(rows, "cancel", truth(|t| t.may_cancel, true)).unwrap_or(true),
            may_probe: self.truth(rows, "probe", truth(|t| t.may_probe, true)).unwrap_or(true),
            release: self.time(rows, "release", time(|t| t.release)).unwrap_or(1.0),
            repeat: if repeats.unwrap_or(true) { resend } else { 0.0 },
            nacks_name_wait: self
                .truth(rows, "nacks_name_wait", truth(|t| t.nacks_name_wait, false))
                .unwrap_or(false),
            cold: self.time(rows, "cold", time(|t| t.cold)).unwrap_or(1.0),
            cold_from: self.number(rows, "cold_from", 0.0, 1.0, cold_from).unwrap_or(0.0),
            fall_multiple: self.number(rows, "fall_multiple", 1.0, 1000.0, fall_multiple).unwrap_or(2.0),
            fall_span: self.time(rows, "fall_span", time(|t| t.fall_span)).unwrap_or(1.0),
            ..terms
        }
    }

    fn limits(&mut self, top: &mut Rows) -> Limits {
        let usual = Limits::default();
        let mut rows = self.rows(top, "iax2", false);
        if rows.table.is_none() {
            return usual;
        }
        let limits = Limits {
            legs: self.whole(&mut rows, "legs", 2, 10_000_000, Some(usual.legs as u32)).unwrap_or(2) as usize,
            resend: self.time(&mut rows, "resend", Some(usual.resend)).unwrap_or(usual.resend),
            resends: self.whole(&mut rows, "resends", 0, 20, Some(usual.resends)).unwrap_or(0),
            ping: self.time(&mut rows, "ping", Some(usual.ping)).unwrap_or(usual.ping),
        };
        self.done(rows);
        limits
    }

    fn grades(&mut self, top: &mut Rows) -> Vec<GradePlan> {
        let mut grades = Vec::new();
        for mut rows in self.each(top, "grade") {
            let limit = self.time(&mut rows, "limit", None).unwrap_or(1.0);
            let quoted = self.time(&mut rows, "quoted", None).unwrap_or(1.0);
            if quoted > limit {
                self.fault(
                    rows.line,
                    rows.key("quoted"),
                    format!("{quoted} ms"),
                    format!("at most limit, {limit} ms"),
                );
            }
            let pools = self.value(&mut rows, "pools", "a list of pool numbers, not empty", None, |value| {
                let pools: Option<Vec<u16>> =
                    value.as_array()?.iter().map(|v| u16::try_from(v.as_integer()?).ok()).collect();
                pools.filter(|pools| !pools.is_empty())
            });
            let name = self.text(&mut rows, "name", None).unwrap_or_default();
            if grades.iter().any(|grade: &GradePlan| grade.name == name) {
                self.fault(rows.line, rows.key("name"), format!("{name:?} again"), "a name of its own");
            }
            grades.push(GradePlan {
                name,
                patience: self.time(&mut rows, "patience", Some(limit)).unwrap_or(limit),
                terms: GradeTerms {
                    quoted,
                    limit,
                    hold: self.time(&mut rows, "hold", None).unwrap_or(1.0),
                    earnings: self.number(&mut rows, "earnings", 0.0, 1e9, None).unwrap_or(1.0),
                    late: self.number(&mut rows, "late", 0.0, 1.0, Some(0.0)).unwrap_or(0.0),
                    repeatable: self.truth(&mut rows, "repeatable", true).unwrap_or(true),
                    pools: pools.unwrap_or_default(),
                },
            });
            self.done(rows);
        }
        if grades.is_empty() {
            self.fault(1, "grade".to_owned(), "nothing", "at least one [[grade]]");
        }
        grades
    }

    fn tenants(&mut self, top: &mut Rows) -> Vec<(String, TenantTerms, Vec<String>)> {
        let mut tenants = Vec::new();
        for mut rows in self.each(top, "tenant") {
            let name = self.text(&mut rows, "name", None).unwrap_or_default();
            let quota = self.number(&mut rows, "quota", 0.0, 1e9, None).unwrap_or(0.0);
            let known_by = self.texts(&mut rows, "known_by").unwrap_or_default();
            self.done(rows);
            tenants.push((name, TenantTerms { quota }, known_by));
        }
        tenants
    }

    fn routes(
        &mut self,
        top: &mut Rows,
        grades: &[GradePlan],
        tenants: &[(String, TenantTerms, Vec<String>)],
    ) -> Routes {
        let by_name: HashMap<&str, usize> =
            grades.iter().enumerate().map(|(i, g)| (&g.name[..], i)).collect();
        let mut routes = Vec::new();
        for mut rows in self.each(top, "route") {
            let context = self.text(&mut rows, "context", Some(""));
            let prefix = self.text(&mut rows, "prefix", Some(""));
            let wanted = "the name of a [[grade]]";
            let grade = self.value(&mut rows, "grade", wanted, None, |v| by_name.get(v.as_str()?).copied());
            let pool = self.whole(&mut rows, "pool", 0, u32::from(u16::MAX), None).map(|pool| pool as u16);
            if let Some((grade, pool)) = grade.zip(pool)
                && !grades[grade].terms.pools.contains(&pool)
            {
                let wanted = format!("one of the pools of grade {}", grades[grade].name);
                self.fault(rows.line, rows.key("pool"), pool.to_string(), wanted);
            }
            self.done(rows);
            if let (Some(context), Some(prefix), Some(grade), Some(pool)) = (context, prefix, grade, pool) {
                routes.push(Route { context, prefix, grade, pool });
            }
        }
        if routes.is_empty() && self.faults.is_empty() {
            self.fault(1, "route".to_owned(), "nothing", "at least one [[route]]");
        }
        let known = tenants.iter().enumerate().flat_map(|(i, (name, _, known_by))| {
            let names = if known_by.is_empty() { vec![name.clone()] } else { known_by.clone() };
            names.into_iter().map(move |name| (name, i))
        });
        Routes::new(routes, known)
    }
}

struct GradePlan {
    name: String,
    patience: f64,
    terms: GradeTerms,
}
