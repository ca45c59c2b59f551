//! What the driver of a duty holder or candidate knows beside the store's answers.

/// What the driver of a duty holder or candidate knows beside the store's answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DutyView {
    /// This daemon's place among the candidates, 0 for the first; `None` if it is not one of them.
    pub rank: Option<u32>,
    /// Whether another daemon announced lately that it holds the duties.
    pub is_held: bool,
    /// Whether all calls of this daemon's duties ended with an answer, so that none can arrive later.
    pub has_settled: bool,
}
