//! What the script makes of links and nodes at a time: cuts, loss, and nodes that stand still or are slow.
//! Nothing here changes in a run, so that all threads share it.

use super::layout::{Layout, NodeId, Site};
use super::script::{FaultKind, Script, Ways};

/// A stretch of time in milliseconds, from the first up to before the second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    pub from: f64,
    pub until: f64,
}

impl Span {
    pub fn holds(&self, now: f64) -> bool {
        (self.from..self.until).contains(&now)
    }
}

#[derive(Clone, Copy, Debug)]
enum Inside {
    Zone(usize),
    Region(usize),
}

impl Inside {
    fn holds(self, site: Site) -> bool {
        match self {
            Self::Zone(zone) => site.zone == zone,
            Self::Region(region) => site.region == region,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Cut {
    span: Span,
    inside: Inside,
    ways: Ways,
}

impl Cut {
    fn stops(&self, from: Site, to: Site) -> bool {
        match (self.inside.holds(from), self.inside.holds(to)) {
            (true, false) => self.ways != Ways::In,
            (false, true) => self.ways != Ways::Out,
            _ => false,
        }
    }
}

/// When a node does not read what has come for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stall {
    /// Not before the end of the span.
    Paused(Span),
    /// Within the span only once in so many milliseconds.
    Slow(Span, f64),
}

impl Stall {
    /// When a node that would act at `now` does so.
    pub fn acts_at(&self, now: f64) -> f64 {
        match *self {
            Self::Paused(span) if span.holds(now) => span.until,
            Self::Slow(span, every) if span.holds(now) => {
                let next = span.from + ((now - span.from) / every).ceil() * every;
                next.max(now).min(span.until)
            }
            _ => now,
        }
    }
}

/// All links, over the whole run.
#[derive(Clone, Debug)]
pub struct Network {
    loss: f64,
    losses: Vec<(Span, f64)>,
    cuts: Vec<Cut>,
}

impl Network {
    pub fn new(script: &Script) -> Self {
        let (mut cuts, mut losses) = (Vec::new(), Vec::new());
        for fault in &script.faults {
            let span = Span { from: script.at(fault.at), until: script.at(fault.ends()) };
            match fault.kind {
                FaultKind::CutZone { zone, ways } => {
                    cuts.push(Cut { span, inside: Inside::Zone(zone), ways })
                }
                FaultKind::CutRegion { region, ways } => {
                    cuts.push(Cut { span, inside: Inside::Region(region), ways });
                }
                FaultKind::Loss { part } => losses.push((span, part)),
                _ => {}
            }
        }
        Self { loss: script.loss, losses, cuts }
    }

    /// The part of messages that is lost on the way between two nodes; 1 where they are cut off.
    pub fn loss(&self, now: f64, layout: &Layout, from: NodeId, to: NodeId) -> f64 {
        let (from, to) = (layout.site(from), layout.site(to));
        if self.cuts.iter().any(|cut| cut.span.holds(now) && cut.stops(from, to)) {
            return 1.0;
        }
        let later = self.losses.iter().find(|(span, _)| span.holds(now));
        later.map_or(self.loss, |(_, part)| *part)
    }
}
