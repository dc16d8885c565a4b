//! The layout of a fleet: regions, zones, services of uneven size, control machines, and what each proxy
//! subscribes to.
//!
//! Everything follows from [`LayoutTerms`] and a seed. Control machines have the first numbers, border
//! proxies the next, so a number below [`Layout::controls`] is a control machine's.

use std::net::{Ipv4Addr, SocketAddr};

use anyhow::{Result, ensure};
pub use distribution::Scope;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Number of a node in the layout.
pub type NodeId = usize;

/// Proxies of the operators' target; the sizes of services scale with the fleet's part of it.
pub const TARGET_PROXIES: usize = 33_000;
const TARGET_SERVICES: usize = 1_300;
const TARGET_LARGEST_SERVICE: usize = 2_000;
/// Maximum exponent of the power law of service sizes.
const MAX_SIZE_EXPONENT: f64 = 8.0;
/// Number of halvings in the search for the exponent, enough for the precision of an `f64`.
const BISECTION_STEPS: usize = 60;
/// Port of every node under the virtual clock.
const PORT: u16 = 7000;

/// Size of a fleet, and how it is distributed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LayoutTerms {
    pub proxies: usize,
    pub regions: usize,
    /// Zones of all regions together.
    pub zones: usize,
    pub controls_per_region: usize,
    /// Control machines that vote; a region gets a second one only when each has one.
    pub voters: usize,
    /// Other services that each service calls. An assumption; the operators name no number.
    pub fan_out: usize,
    /// One-way delay within a zone, and between zones of a region, in milliseconds.
    pub zone_delay: f64,
    pub region_delay: f64,
    /// The range of one-way delays between regions, in milliseconds.
    pub far_delay: [f64; 2],
    /// Maximum random increase of a delay, as a share of it.
    pub jitter: f64,
}

impl Default for LayoutTerms {
    fn default() -> Self {
        Self {
            proxies: TARGET_PROXIES,
            regions: 6,
            zones: 16,
            controls_per_region: 3,
            voters: 5,
            fan_out: 4,
            zone_delay: 0.3,
            region_delay: 1.0,
            far_delay: [20.0, 120.0],
            jitter: 0.2,
        }
    }
}

impl LayoutTerms {
    fn check(&self) -> Result<()> {
        ensure!(self.proxies > 0, "layout: no proxies");
        ensure!(self.regions > 0 && self.zones >= self.regions, "layout: a region without a zone");
        ensure!(self.controls_per_region > 0, "layout: a region without a control machine");
        let controls = self.regions * self.controls_per_region;
        ensure!((1..=controls).contains(&self.voters), "layout: voters are not 1 to {controls}");
        let [near, far] = self.far_delay;
        let ordered = 0.0 < self.zone_delay && self.zone_delay <= self.region_delay;
        ensure!(ordered && self.region_delay <= near && near <= far, "layout: delays are not in order");
        ensure!(self.jitter >= 0.0, "layout: a negative jitter");
        Ok(())
    }
}

/// The region and zone of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Site {
    pub region: usize,
    pub zone: usize,
}

/// A fleet with the site and the subscriptions of each node.
#[derive(Clone, Debug)]
pub struct Layout {
    pub terms: LayoutTerms,
    /// Number of control machines; these have the first node numbers.
    pub controls: usize,
    sites: Vec<Site>,
    /// The region of each zone.
    zone_regions: Vec<usize>,
    /// The service of each proxy, and the services that each service calls.
    services: Vec<usize>,
    called: Vec<Vec<usize>>,
    sizes: Vec<usize>,
    /// One-way delays between regions, in milliseconds.
    region_delays: Vec<Vec<f64>>,
}

impl Layout {
    /// Builds a layout; the same terms and seed give the same layout.
    ///
    /// # Errors
    ///
    /// Fails if the terms contradict each other.
    pub fn new(terms: LayoutTerms, seed: u64) -> Result<Self> {
        terms.check()?;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let zone_regions: Vec<usize> =
            (0..terms.zones).map(|zone| zone * terms.regions / terms.zones).collect();
        let sizes = service_sizes(terms.proxies);
        let mut services: Vec<usize> =
            sizes.iter().enumerate().flat_map(|(service, &size)| vec![service; size]).collect();
        services.shuffle(&mut rng);
        let called =
            (0..sizes.len()).map(|own| called_services(own, &services, terms.fan_out, &mut rng)).collect();
        let controls = terms.regions * terms.controls_per_region;
        let mut layout = Self {
            controls,
            sites: Vec::new(),
            zone_regions,
            services,
            called,
            sizes,
            region_delays: region_delays(&terms, &mut rng),
            terms,
        };
        let controls = (0..controls).map(|control| layout.control_site(control));
        let proxies = (0..terms.proxies).map(|proxy| layout.site_of_zone(proxy % terms.zones));
        layout.sites = controls.chain(proxies).collect();
        Ok(layout)
    }

    fn site_of_zone(&self, zone: usize) -> Site {
        Site { region: self.zone_regions[zone], zone }
    }

    /// A region's control machines are spread over its zones.
    fn control_site(&self, control: usize) -> Site {
        let region = control / self.terms.controls_per_region;
        let zones = self.zones_in_region(region);
        self.site_of_zone(zones[control % self.terms.controls_per_region % zones.len()])
    }

    pub fn zones_in_region(&self, region: usize) -> Vec<usize> {
        (0..self.terms.zones).filter(|&zone| self.zone_regions[zone] == region).collect()
    }

    /// Number of nodes: control machines and proxies.
    pub fn node_count(&self) -> usize {
        self.sites.len()
    }

    pub fn is_control(&self, node: NodeId) -> bool {
        node < self.controls
    }

    pub fn site(&self, node: NodeId) -> Site {
        self.sites[node]
    }

    pub fn nodes_in_zone(&self, zone: usize) -> Vec<NodeId> {
        (0..self.node_count()).filter(|&node| self.sites[node].zone == zone).collect()
    }

    /// The control machines that vote: the first of each region, then the second ones.
    pub fn voters(&self) -> Vec<NodeId> {
        let (regions, each) = (self.terms.regions, self.terms.controls_per_region);
        (0..self.terms.voters).map(|index| index % regions * each + index / regions).collect()
    }

    /// The sizes of the services in proxies, the largest first.
    pub fn service_sizes(&self) -> &[usize] {
        &self.sizes
    }

    /// What a proxy subscribes to: the whole fleet, its region, its zone, its own service, and those that
    /// this service calls. A control machine subscribes to nothing.
    pub fn scopes(&self, node: NodeId) -> Vec<Scope> {
        if self.is_control(node) {
            return Vec::new();
        }
        let (site, own) = (self.sites[node], self.services[node - self.controls]);
        let mut scopes = vec![Scope::All, Scope::Region(site.region as u16), Scope::Zone(site.zone as u16)];
        scopes.push(Scope::Service(own as u32));
        scopes.extend(self.called[own].iter().map(|&service| Scope::Service(service as u32)));
        scopes
    }

    /// The one-way delay between two nodes without jitter, in milliseconds.
    pub fn delay(&self, from: NodeId, to: NodeId) -> f64 {
        self.delay_between(self.sites[from], self.sites[to])
    }

    fn delay_between(&self, from: Site, to: Site) -> f64 {
        if from.zone == to.zone {
            self.terms.zone_delay
        } else if from.region == to.region {
            self.terms.region_delay
        } else {
            self.region_delays[from.region][to.region]
        }
    }

    /// Minimum delay between two zones in milliseconds; `None` if there is only one zone.
    pub fn min_delay_between_zones(&self) -> Option<f64> {
        let pairs = (0..self.terms.zones).flat_map(|one| (0..one).map(move |other| (one, other)));
        let delays =
            pairs.map(|(one, other)| self.delay_between(self.site_of_zone(one), self.site_of_zone(other)));
        delays.min_by(f64::total_cmp)
    }

    /// The address of a node under the virtual clock.
    pub fn address(node: NodeId) -> SocketAddr {
        let address = Ipv4Addr::new(10, (node >> 16) as u8, (node >> 8) as u8, node as u8);
        SocketAddr::from((address, PORT))
    }

    /// The node whose [`Layout::address`] this is, if any.
    pub fn node_at(&self, address: SocketAddr) -> Option<NodeId> {
        let SocketAddr::V4(address) = address else { return None };
        let [ten, high, middle, low] = address.ip().octets();
        let node = usize::from(high) << 16 | usize::from(middle) << 8 | usize::from(low);
        (ten == 10 && node < self.node_count()).then_some(node)
    }
}

/// Sizes of services by a power law. Its exponent is chosen so that the largest service and the sum are those
/// of the target, scaled to the fleet. In a small fleet the largest is at least twice the average.
fn service_sizes(proxies: usize) -> Vec<usize> {
    let scaled = |of: usize| (of * proxies).div_ceil(TARGET_PROXIES);
    let services = scaled(TARGET_SERVICES);
    let average = proxies.div_ceil(services);
    let largest = scaled(TARGET_LARGEST_SERVICE).max(2 * average).min(proxies - (services - 1));
    let size = |rank: usize, exponent: f64| {
        ((largest as f64 * (rank as f64 + 1.0).powf(-exponent)) as usize).clamp(1, largest)
    };
    let sum = |exponent: f64| (0..services).map(|rank| size(rank, exponent)).sum::<usize>();
    let (mut low, mut high) = (0.0, MAX_SIZE_EXPONENT);
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if sum(middle) > proxies { low = middle } else { high = middle }
    }
    let mut sizes: Vec<usize> = (0..services).map(|rank| size(rank, high)).collect();
    // Proxies left over by rounding go to the smaller services in turn.
    let remaining = proxies - sizes.iter().sum::<usize>();
    for rank in (1..services.max(2)).rev().cycle().take(remaining) {
        sizes[rank.min(services - 1)] += 1;
    }
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes
}

/// Draws the other services that a service calls; larger ones are more likely.
fn called_services(own: usize, services: &[usize], fan_out: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
    let others = services.iter().collect::<std::collections::BTreeSet<_>>().len().saturating_sub(1);
    let mut called = Vec::new();
    while called.len() < fan_out.min(others) {
        let service = services[rng.random_range(0..services.len())];
        if service != own && !called.contains(&service) {
            called.push(service);
        }
    }
    called.sort_unstable();
    called
}

fn region_delays(terms: &LayoutTerms, rng: &mut Pcg64Mcg) -> Vec<Vec<f64>> {
    let [near, far] = terms.far_delay;
    let mut delays = vec![vec![terms.region_delay; terms.regions]; terms.regions];
    let pairs = (0..terms.regions).flat_map(|one| (0..one).map(move |other| (one, other)));
    for (one, other) in pairs {
        let delay = near + (far - near) * rng.random::<f64>();
        delays[one][other] = delay;
        delays[other][one] = delay;
    }
    delays
}
