//! A budget that fills up with time: a token bucket.

/// So much a second may be used, and what was not used is kept for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    a_second: f64,
    most: f64,
    left: f64,
    at: f64,
}

impl Budget {
    /// A full one: `a_second` units come each second, up to `most`.
    pub fn new(a_second: f64, most: f64, now: f64) -> Self {
        Self { a_second, most, left: most, at: now }
    }

    fn fill(&mut self, now: f64) {
        let came = (now - self.at).max(0.0) / 1000.0 * self.a_second;
        (self.left, self.at) = ((self.left + came).min(self.most), self.at.max(now));
    }

    /// What may be used now; less than nothing where more was used than there was.
    pub fn left(&mut self, now: f64) -> f64 {
        self.fill(now);
        self.left
    }

    /// The part of the most that was left when it was last looked at.
    pub fn share(&self) -> f64 {
        self.left / self.most
    }

    /// Uses so much, also where there is less: the rest comes off what is to come.
    pub fn spend(&mut self, now: f64, units: f64) {
        self.fill(now);
        self.left -= units;
    }

    /// Uses so much if there is as much.
    pub fn take(&mut self, now: f64, units: f64) -> bool {
        let enough = self.left(now) >= units;
        if enough {
            self.left -= units;
        }
        enough
    }

    /// When there will be as much, as things stand.
    pub fn when(&self, units: f64) -> f64 {
        let wanting = units.min(self.most) - self.left;
        self.at + wanting.max(0.0) / self.a_second * 1000.0
    }
}
