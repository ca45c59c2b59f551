//! What became of an order.

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// It is in force.
    Accepted,
    /// No such runners are available in the zone; the previous order stays in force.
    NoneAvailable,
    /// It may or may not be in force.
    NoAnswer,
    /// It was not sent. One that lowered the count is dropped, since what it was decided on may be outdated later.
    NotSent,
}
