//! What a daemon knows of one runner's load.

/// What a daemon knows of one runner's load when it chooses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadView {
    /// How much the runner serves at once, in requests at the usual speed.
    pub capacity: f64,
    /// The requests of all daemons there by the last report.
    pub reported: f64,
    /// The requests of this daemon there that the report does not contain.
    pub unreported: f64,
    /// What the choice of this runner costs beside its load, in requests: another zone, or a prompt part that is not
    /// cached there.
    pub penalty: f64,
    /// What the runner is owed of its share, in requests; kept between choices, and random in a new view, so that daemons
    /// do not take runners in the same order.
    pub credit: f64,
}

impl LoadView {
    /// The known requests per unit of capacity, those of this daemon that the report lacks included.
    pub(crate) fn occupancy(&self) -> f64 {
        (self.reported + self.unreported + self.penalty) / self.capacity.max(f64::MIN_POSITIVE)
    }
}
