//! Drills: a fleet, a load, and a schedule of faults, as TOML. Times in the file are seconds.
//!
//! [`Drill::named`] has the built-in ones; `kind:NAME` is a drill with a single kind of fault.

use anyhow::{Context, Result, bail, ensure};
use border::ProxyTerms;
use border::limits::LimitTerms;
use border::routes::{Route, Routes};
use clap::ValueEnum;
use fleet::{FleetTerms, LoanTerms};
use frostthread::host::{GradeTerms, TenantTerms, Terms};
use iax2::Limits;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// A drill as read from its file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drill {
    pub name: String,
    pub seed: u64,
    /// How long callers start new conversations.
    pub seconds: f64,
    pub fleet: Fleet,
    pub load: Load,
    #[serde(default)]
    pub link: LinkFaults,
    #[serde(default)]
    pub list: ListDelays,
    #[serde(default)]
    pub gossip: GossipSettings,
    #[serde(default)]
    pub release: Option<ReleaseSettings>,
    #[serde(default, rename = "shape")]
    pub deployment: Deployment,
    #[serde(default, rename = "grade")]
    pub grades: Vec<Grade>,
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

/// Numbers of proxies and servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub proxies: usize,
    pub servers: usize,
    /// Whether servers report how many set-ups per second they can handle.
    #[serde(default = "default_true")]
    pub reports: bool,
}

/// How the central servers of a deployment behave.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// Whether proxies may probe servers. If not, they are given the share of capacity that a cold one has.
    pub probes: bool,
    /// Whether a server processes answers and releases before new set-ups.
    pub answers_first: bool,
    /// Whether servers report the wait of a set-up, and a Retry-After with a rejection.
    #[serde(rename = "tells_wait")]
    pub reports_wait: bool,
}

impl Default for Deployment {
    fn default() -> Self {
        Self { probes: true, answers_first: false, reports_wait: false }
    }
}

/// The load that callers offer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries per second, over all proxies.
    pub rate: f64,
    /// The rate as a share of the servers' capacity when all are healthy; it determines the work of a
    /// set-up.
    pub of_capacity: f64,
    /// How long a caller waits for one try.
    #[serde(rename = "patience")]
    pub caller_timeout: f64,
    pub redials: u32,
    /// Share of refused callers that follow Retry-After.
    #[serde(rename = "honour")]
    pub retry_after_compliance: f64,
}

/// Probabilities of faults for datagrams on the link, in each direction.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFaults {
    pub loss: f64,
    pub double: f64,
    pub reorder: f64,
}

/// Whether proxies gossip, and the faults of their gossip.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GossipSettings {
    pub on: bool,
    /// Share of messages between proxies that is lost.
    pub loss: f64,
    /// Members besides the proxies that report every server as silent.
    #[serde(rename = "liars")]
    pub faulty_members: usize,
    /// How many faulty members the suspicion rule tolerates.
    #[serde(rename = "liars_borne")]
    pub max_faulty: usize,
    /// Bytes per second that a member may send.
    #[serde(rename = "cap")]
    pub max_bytes_per_second: f64,
    /// Seconds between a proxy's probes of other members.
    #[serde(rename = "beat")]
    pub probe_interval: f64,
    /// Set-ups that each server may get from all proxies in any second; 0 for no limit.
    pub limit: usize,
    /// Whether the proxies are given the limit. If not, the check must catch them.
    #[serde(rename = "limit_told")]
    pub limit_announced: bool,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            on: false,
            loss: 0.0,
            faulty_members: 0,
            max_faulty: 2,
            max_bytes_per_second: 16_000.0,
            probe_interval: 0.2,
            limit: 0,
            limit_announced: true,
        }
    }
}

/// How the proxies are replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplacementMethod {
    /// By the fleet's decision.
    #[default]
    Agreed,
    /// A baseline: each at its own random time, without agreement, spread so that the budget holds on
    /// average.
    Timer,
    /// A baseline: all at the same time.
    Push,
}

/// A drill's release.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseSettings {
    /// When the release is started, in seconds.
    pub at: f64,
    /// The first so many proxies are council members.
    pub members: usize,
    #[serde(rename = "part")]
    pub max_unavailable_share: f64,
    pub witnesses: u16,
    /// Seconds that a proxy must be healthy before the release continues.
    #[serde(rename = "well")]
    pub healthy_seconds: f64,
    #[serde(default, rename = "by")]
    pub method: ReplacementMethod,
}

impl ReleaseSettings {
    /// How many of the proxies may be unavailable at once.
    pub fn max_unavailable(&self, proxies: usize) -> usize {
        usize::from(outs::drains::max_unavailable(self.max_unavailable_share, proxies))
    }
}

/// Delays with which the pool list reaches proxies, in seconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListDelays {
    #[serde(rename = "notice")]
    pub delay: [f64; 2],
    /// For a server that became silent without a notice.
    #[serde(rename = "silent_notice")]
    pub silent_delay: [f64; 2],
    /// How long callers are still sent to a dead proxy.
    #[serde(rename = "front_notice")]
    pub front_delay: f64,
}

impl Default for ListDelays {
    fn default() -> Self {
        Self { delay: [0.3, 0.9], silent_delay: [3.0, 5.0], front_delay: 1.0 }
    }
}

/// A service grade; times in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grade {
    pub name: String,
    pub share: f64,
    pub quoted: f64,
    pub limit: f64,
    pub hold: f64,
    pub earnings: f64,
    #[serde(rename = "late")]
    pub late_share: f64,
    /// Prefix of the called numbers for this grade, if the drill doesn't generate them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub called: Option<String>,
}

/// A tenant, and its share of all callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub share: f64,
}

/// A fault in the drill's schedule.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    pub at: f64,
    #[serde(rename = "for", default)]
    pub lasts: f64,
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kinds of fault. `part` is a share of the servers or proxies, at least one of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// Machines become silent and return cold.
    Vanish { part: f64 },
    /// Servers are slower by this factor.
    Slow { part: f64, factor: f64 },
    /// Servers accept set-ups and answer none.
    Hang { part: f64 },
    /// Reports are delayed by this many seconds.
    ReportLate { late: f64 },
    /// The rate of first tries is multiplied by this factor.
    Burst { factor: f64 },
    /// A few proxies get this share of all conversations.
    HotCaller { part: f64, share: f64 },
    /// New servers replace old ones, one after the other, with `drain` seconds for each.
    Deploy { part: f64, drain: f64 },
    /// The list is delayed by this many more seconds.
    DiscoveryStale { late: f64 },
    /// Proxies are killed and start again at the end.
    BalancerCrash { part: f64 },
    /// Servers restart together, within `within` seconds, and return cold.
    MassRestart { part: f64, within: f64 },
    /// One tenant's callers hang up after this share of the quoted time and redial at once.
    RetryAbuse {
        #[serde(rename = "patience")]
        timeout_share: f64,
        redials: u32,
    },
    /// Proxies are stopped for `stall` seconds again and again, `gap` seconds apart.
    BalancerStall { part: f64, stall: f64, gap: f64 },
    /// All messages between proxies are lost.
    PeerDown {},
    /// This share of the members receives nothing from the others; the others receive nothing from it
    /// either, unless the cut is one way.
    PeerCut {
        part: f64,
        #[serde(default)]
        one_way: bool,
    },
    /// Messages between members are lost, duplicated, and delayed by up to this many seconds, so that they
    /// are reordered.
    PeerLink {
        #[serde(default)]
        loss: f64,
        #[serde(default)]
        double: f64,
        #[serde(default)]
        late: f64,
    },
    /// Servers become slower and slower, up to this factor, then crash and return cold.
    Ageing { part: f64, factor: f64 },
    /// This share of set-ups ends with a fault.
    Faulty { part: f64, share: f64 },
    /// This share of set-ups is processed, but its answer is never sent.
    AnswerLost { part: f64, share: f64 },
    /// Servers have only this many lines.
    Full { part: f64, lines: usize },
}

fn default_true() -> bool {
    true
}

/// What every deployment of the drills has in common, in milliseconds or as factors.
pub const RELEASE_MS: f64 = 300.0;
pub const DRAIN_GRACE_MS: f64 = 500.0;
pub const RESEND_INTERVAL_MS: f64 = 500.0;
pub const COLD_MS: f64 = 14_000.0;
pub const COLD_CAPACITY_SHARE: f64 = 0.28;
pub const OVERLOAD_FACTOR: f64 = 2.5;
pub const OVERLOAD_WINDOW_MS: f64 = 1_000.0;
pub const ANSWER_LEAD_MS: f64 = 40.0;
pub const OVER_SHARE: f64 = 0.2;

/// How limits of the whole fleet are held in drills, in milliseconds. The lease spread covers a machine that
/// runs many proxies at once.
pub const LIMIT_WINDOW_MS: f64 = 1_000.0;
const LIMIT_TICK_MS: f64 = 100.0;
const LEASE_MS: f64 = 2_000.0;
const LEASE_SPREAD_MS: f64 = 250.0;

/// Work of an answer and of a release, in set-ups.
pub const ANSWER_WORK: f64 = 0.2;
pub const RELEASE_WORK: f64 = 0.2;

impl Drill {
    /// Parses a drill, fills in the default grades and tenants, and validates it.
    pub fn read(source: &str) -> Result<Self> {
        let mut drill: Self = toml::from_str(source)?;
        if drill.grades.is_empty() {
            drill.grades = default_grades();
        }
        if drill.tenants.is_empty() {
            drill.tenants = default_tenants();
        }
        drill.validate()?;
        Ok(drill)
    }

    /// Reads a built-in drill, or a file.
    pub fn named(name: &str) -> Result<Self> {
        if let Some(kind) = name.strip_prefix("kind:") {
            return Self::of_kind(kind);
        }
        match name {
            "bad-day" => Self::read(include_str!("../drills/bad-day.toml")),
            "release" => Self::read(include_str!("../drills/release.toml")),
            "gossip-100" => Self::read(include_str!("../drills/gossip-100.toml")),
            "fleet-limits" => Self::read(include_str!("../drills/fleet-limits.toml")),
            "new-shape" => Self::read(include_str!("../drills/new-shape.toml")),
            "calm" => Self::read(include_str!("../drills/calm.toml")),
            file => Self::read(&std::fs::read_to_string(file).with_context(|| format!("drill {file}"))?),
        }
    }

    fn of_kind(name: &str) -> Result<Self> {
        let mut drill = Self::read(include_str!("../drills/calm.toml"))?;
        let (lasts, kind) = match name {
            "vanish" => (8.0, FaultKind::Vanish { part: 0.12 }),
            "slow" => (14.0, FaultKind::Slow { part: 0.4, factor: 3.0 }),
            "hang" => (10.0, FaultKind::Hang { part: 0.15 }),
            "report_late" => (14.0, FaultKind::ReportLate { late: 3.0 }),
            "burst" => (6.0, FaultKind::Burst { factor: 1.7 }),
            "hot_caller" => (14.0, FaultKind::HotCaller { part: 0.02, share: 0.2 }),
            "deploy" => (14.0, FaultKind::Deploy { part: 0.28, drain: 2.0 }),
            "discovery_stale" => (14.0, FaultKind::DiscoveryStale { late: 4.0 }),
            "balancer_crash" => (4.0, FaultKind::BalancerCrash { part: 0.35 }),
            "mass_restart" => (2.0, FaultKind::MassRestart { part: 0.36, within: 0.4 }),
            "retry_abuse" => (14.0, FaultKind::RetryAbuse { timeout_share: 0.4, redials: 8 }),
            "balancer_stall" => (14.0, FaultKind::BalancerStall { part: 0.8, stall: 1.8, gap: 3.0 }),
            "peer_down" => (14.0, FaultKind::PeerDown {}),
            "answer_lost" => (14.0, FaultKind::AnswerLost { part: 0.75, share: 0.25 }),
            "ageing" => (10.0, FaultKind::Ageing { part: 0.3, factor: 12.0 }),
            other => bail!("no kind of fault is called {other:?}"),
        };
        drill.name = format!("kind:{name}");
        drill.faults = vec![Fault { at: 6.0, lasts, kind }];
        Ok(drill)
    }

    /// Checks that all values are in their ranges.
    pub fn validate(&self) -> Result<()> {
        ensure!(
            (1..=2000).contains(&self.fleet.proxies),
            "fleet.proxies: {}, wanted 1 to 2000",
            self.fleet.proxies
        );
        ensure!(
            (1..=200).contains(&self.fleet.servers),
            "fleet.servers: {}, wanted 1 to 200",
            self.fleet.servers
        );
        ensure!(self.seconds > 0.0 && self.seconds <= 3600.0, "seconds: {}, wanted up to 3600", self.seconds);
        ensure!(
            self.load.rate > 0.0 && self.load.rate <= 1e5,
            "load.rate: {}, wanted above 0, up to 100000",
            self.load.rate
        );
        ensure!(
            (0.01..=5.0).contains(&self.load.of_capacity),
            "load.of_capacity: {}, wanted 0.01 to 5",
            self.load.of_capacity
        );
        let LinkFaults { loss, double, reorder } = self.link;
        ensure!(
            [loss, double, reorder].iter().all(|p| (0.0..1.0).contains(p)),
            "link: {loss}, {double}, {reorder}, wanted probabilities from 0 to below 1"
        );
        ensure!(
            self.gossip.faulty_members <= 100,
            "gossip.liars: {}, wanted up to 100",
            self.gossip.faulty_members
        );
        ensure!(
            (0.0..1.0).contains(&self.gossip.loss),
            "gossip.loss: {}, wanted a probability from 0 to below 1",
            self.gossip.loss
        );
        Ok(())
    }

    /// The number of gossip members: the proxies, then the faulty members.
    pub fn gossip_members(&self) -> usize {
        self.fleet.proxies + self.gossip.faulty_members
    }

    /// Mean work of a set-up in milliseconds, from the planned load.
    pub fn setup_work(&self) -> f64 {
        Self::setup_work_for(self.server_capacity())
    }

    /// Mean work of a set-up in milliseconds for a server of this capacity, in conversations per second.
    pub fn setup_work_for(capacity: f64) -> f64 {
        1000.0 / capacity / (1.0 + ANSWER_WORK + RELEASE_WORK)
    }

    /// Conversations per second that one healthy server can carry.
    pub fn server_capacity(&self) -> f64 {
        self.load.rate / self.fleet.servers as f64 / self.load.of_capacity
    }

    /// Number of pools: one for each server of the drill's start.
    pub fn pools(&self) -> u16 {
        self.fleet.servers as u16
    }

    /// The called number for a grade, a pool of first choice and a line.
    pub fn called_number(&self, grade: usize, pool: u16, line: u32) -> String {
        match &self.grades[grade].called {
            Some(prefix) => format!("{prefix}{line:04}"),
            None => format!("{grade}{pool:03}{line:04}"),
        }
    }

    /// Delay in milliseconds of each copy of a message between two members: none if it is lost, otherwise
    /// one or more.
    pub fn peer_copy_delays(&self, now: f64, from: usize, to: usize, rng: &mut impl Rng) -> Vec<f64> {
        let lasts = |t: &&Fault| (t.at..t.at + t.lasts).contains(&(now / 1000.0));
        let mut copies = vec![0.0];
        if rng.random::<f64>() < self.gossip.loss {
            return Vec::new();
        }
        for fault in self.faults.iter().filter(lasts) {
            match fault.kind {
                FaultKind::PeerDown {} => return Vec::new(),
                FaultKind::PeerCut { part, one_way } => {
                    let apart = |member: usize| (member as f64) < part * self.gossip_members() as f64;
                    if apart(from) != apart(to) && (!one_way || apart(to)) {
                        return Vec::new();
                    }
                }
                FaultKind::PeerLink { loss, double, late } => {
                    if rng.random::<f64>() < loss {
                        return Vec::new();
                    }
                    if rng.random::<f64>() < double {
                        copies.push(0.0);
                    }
                    copies.iter_mut().for_each(|copy| *copy += late * 1000.0 * rng.random::<f64>());
                }
                _ => {}
            }
        }
        copies
    }

    /// The terms by which proxies hold the limit on servers, if there is one and they are given it.
    pub fn limit_terms(&self) -> Option<LimitTerms> {
        let loans = LoanTerms { lease: LEASE_MS, drift: 0.001, spread: LEASE_SPREAD_MS, floor: 0.25 };
        let fleet = FleetTerms { loans, tick_interval: LIMIT_TICK_MS };
        let most =
            Some(self.gossip.limit as f64).filter(|&most| most > 0.0 && self.gossip.limit_announced)?;
        Some(LimitTerms { fleet, window: LIMIT_WINDOW_MS, max_rate: Some(most), share_window: None })
    }

    /// The same as a section of the settings file; empty if there is none.
    pub fn limit_settings(&self) -> String {
        self.limit_terms().map_or(String::new(), |LimitTerms { fleet, window, max_rate: most, .. }| {
            let LoanTerms { lease, drift, spread, floor } = fleet.loans;
            format!(
                "\n[fleet]\nwindow = \"{window} ms\"\nbeat = \"{} ms\"\nlease = \"{lease} ms\"\ndrift = {drift:?}\n\
                 spread = \"{spread} ms\"\nfloor = {floor:?}\nmost = {:?}\n",
                fleet.tick_interval,
                most.unwrap_or_default()
            )
        })
    }

    /// The terms of each proxy in the drill.
    pub fn proxy_terms(&self) -> ProxyTerms {
        let pools: Vec<u16> = (0..self.pools()).collect();
        let grade = |g: &Grade| GradeTerms {
            quoted: g.quoted * 1000.0,
            limit: g.limit * 1000.0,
            hold: g.hold * 1000.0,
            earnings: g.earnings,
            late_share: g.late_share,
            repeatable: true,
            pools: pools.clone(),
        };
        let capacity = self.load.rate / self.load.of_capacity;
        let tenant = |t: &Tenant| TenantTerms { quota: t.share * capacity };
        let routes = (0..self.grades.len()).flat_map(|grade| {
            let prefix = move |pool| format!("{grade}{pool:03}");
            pools.iter().map(move |&pool| Route { context: String::new(), prefix: prefix(pool), grade, pool })
        });
        let tenants = self.tenants.iter().enumerate().map(|(i, t)| (t.name.clone(), i));
        let limits = Limits { resend_delay: RESEND_INTERVAL_MS, ..Limits::default() };
        ProxyTerms {
            terms: Terms {
                proxies: self.fleet.proxies as u32,
                grades: self.grades.iter().map(grade).collect(),
                tenants: self.tenants.iter().map(tenant).collect(),
                over_share: OVER_SHARE,
                max_attempts: 4,
                max_retry_after: Some(2000.0),
                may_cancel: true,
                may_probe: self.deployment.probes,
                release: RELEASE_MS,
                resend_after: RESEND_INTERVAL_MS,
                respect_retry_after: self.deployment.reports_wait,
                cold_duration: COLD_MS,
                initial_capacity_share: if self.deployment.probes { 0.0 } else { COLD_CAPACITY_SHARE },
                overload_factor: OVERLOAD_FACTOR,
                overload_duration: OVERLOAD_WINDOW_MS,
            },
            routes: Routes::new(routes, tenants),
            caller_timeout: self.grades.iter().map(|g| g.limit * 1000.0).collect(),
            answer_lead: ANSWER_LEAD_MS,
            callers: limits,
            servers: limits,
        }
    }

    /// The same as a settings file of the daemon.
    pub fn settings(&self, name: &str, state: &str, callers: &str, feed: &str) -> String {
        let terms = self.proxy_terms().terms;
        let mut file = format!(
            "[proxy]\nname = {name:?}\nproxies = {}\nstate = {state:?}\n\n[listen]\ncallers = {callers:?}\n\
             receive_buffer = 4194304\n\n[pool]\nfeed = {feed:?}\n\n[iax2]\nresend = \"{RESEND_INTERVAL_MS} ms\"\n\n\
             [stop]\nstanding = \"{} s\"\n\n[rules]\nmax_shots = {}\nrelease = \"{RELEASE_MS} ms\"\ncold = \"{COLD_MS} ms\"\n\
             fall_multiple = {OVERLOAD_FACTOR:?}\nfall_span = \"{OVERLOAD_WINDOW_MS} ms\"\nlongest_advice = \"2 s\"\n\
             over_share = {OVER_SHARE:?}\nanswer_lead = \"{ANSWER_LEAD_MS} ms\"\n",
            self.fleet.proxies,
            if self.release.is_some() { 5 } else { 1 },
            terms.max_attempts,
        );
        let pools: Vec<String> = (0..self.pools()).map(|pool| pool.to_string()).collect();
        let ms = |seconds: f64| (seconds * 1000.0).round();
        for g in &self.grades {
            file += &format!(
                "\n[[grade]]\nname = {:?}\nquoted = \"{} ms\"\nlimit = \"{} ms\"\nhold = \"{} ms\"\nearnings = {:?}\n\
                 late = {:?}\npools = [{}]\n",
                g.name,
                ms(g.quoted),
                ms(g.limit),
                ms(g.hold),
                g.earnings,
                g.late_share,
                pools.join(", "),
            );
        }
        for (tenant, terms) in self.tenants.iter().zip(&terms.tenants) {
            file += &format!("\n[[tenant]]\nname = {:?}\nquota = {:?}\n", tenant.name, terms.quota);
        }
        for (grade, g) in self.grades.iter().enumerate() {
            for pool in 0..self.pools() {
                let name = &g.name;
                file +=
                    &format!("\n[[route]]\nprefix = \"{grade}{pool:03}\"\ngrade = {name:?}\npool = {pool}\n");
            }
        }
        file
    }
}

fn default_grades() -> Vec<Grade> {
    let grade = |name: &str, share, quoted, hold, earnings| Grade {
        name: name.to_owned(),
        share,
        quoted,
        limit: 9.0,
        hold,
        earnings,
        late_share: 0.2,
        called: None,
    };
    vec![
        grade("open", 0.6, 2.0, 5.0, 1.0),
        grade("slot", 0.17, 2.0, 7.0, 2.0),
        grade("seat", 0.23, 1.5, 4.0, 1.0),
    ]
}

fn default_tenants() -> Vec<Tenant> {
    let tenant = |name: &str, share| Tenant { name: name.to_owned(), share };
    vec![tenant("north", 0.44), tenant("middle", 0.34), tenant("south", 0.22)]
}
