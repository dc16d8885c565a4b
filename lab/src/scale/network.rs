//! Faults of links and nodes by time: cuts, loss, and nodes that are paused or slow. Nothing here changes
//! during a run, so all threads share it.

use super::layout::{Layout, NodeId, Site};
use super::script::{CutDirection, FaultKind, Script};

/// A period in milliseconds, including `from` and excluding `until`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Period {
    pub from: f64,
    pub until: f64,
}

impl Period {
    pub fn contains(&self, now: f64) -> bool {
        (self.from..self.until).contains(&now)
    }
}

#[derive(Clone, Copy, Debug)]
enum Area {
    Zone(usize),
    Region(usize),
}

impl Area {
    fn contains(self, site: Site) -> bool {
        match self {
            Self::Zone(zone) => site.zone == zone,
            Self::Region(region) => site.region == region,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Cut {
    period: Period,
    area: Area,
    direction: CutDirection,
}

impl Cut {
    fn blocks(&self, from: Site, to: Site) -> bool {
        match (self.area.contains(from), self.area.contains(to)) {
            (true, false) => self.direction != CutDirection::In,
            (false, true) => self.direction != CutDirection::Out,
            _ => false,
        }
    }
}

/// Why a node does not read the messages that have arrived for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stall {
    /// It reads nothing before the end of the period.
    Paused(Period),
    /// During the period it reads only once in this many milliseconds.
    Slow(Period, f64),
}

impl Stall {
    /// The time at which a node that has something to do at `now` does it.
    pub fn acts_at(&self, now: f64) -> f64 {
        match *self {
            Self::Paused(period) if period.contains(now) => period.until,
            Self::Slow(period, every) if period.contains(now) => {
                let next = period.from + ((now - period.from) / every).ceil() * every;
                next.max(now).min(period.until)
            }
            _ => now,
        }
    }
}

/// Loss and cuts of all links over the whole run.
#[derive(Clone, Debug)]
pub struct Network {
    loss: f64,
    losses: Vec<(Period, f64)>,
    cuts: Vec<Cut>,
}

impl Network {
    pub fn new(script: &Script) -> Self {
        let (mut cuts, mut losses) = (Vec::new(), Vec::new());
        for fault in &script.faults {
            let period = Period { from: script.to_ms(fault.at), until: script.to_ms(fault.ends_at()) };
            match fault.kind {
                FaultKind::CutZone { zone, ways } => {
                    cuts.push(Cut { period, area: Area::Zone(zone), direction: ways })
                }
                FaultKind::CutRegion { region, ways } => {
                    cuts.push(Cut { period, area: Area::Region(region), direction: ways });
                }
                FaultKind::Loss { part } => losses.push((period, part)),
                _ => {}
            }
        }
        Self { loss: script.loss, losses, cuts }
    }

    /// Share of messages lost between two nodes; 1 if a cut separates them.
    pub fn loss(&self, now: f64, layout: &Layout, from: NodeId, to: NodeId) -> f64 {
        let (from, to) = (layout.site(from), layout.site(to));
        if self.cuts.iter().any(|cut| cut.period.contains(now) && cut.blocks(from, to)) {
            return 1.0;
        }
        let override_loss = self.losses.iter().find(|(period, _)| period.contains(now));
        override_loss.map_or(self.loss, |(_, part)| *part)
    }
}
