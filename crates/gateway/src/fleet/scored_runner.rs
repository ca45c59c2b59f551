//! A runner that could take a prompt, and the choice among several of them.

use teaselcroft_parts::Millis;

use super::Placement;

/// A runner that could take a prompt.
#[derive(Debug)]
pub(super) struct ScoredRunner {
    /// The estimated cost of the prompt there, in milliseconds.
    pub cost: f64,
    /// Whether it is in the pool for prompts of this kind.
    pub is_in_pool: bool,
    /// The choice of this runner.
    pub placement: Placement,
}

/// Chooses the cheapest runner; a prompt with a `limit` is refused if the pressure there is above that. Where any runner
/// may prefill it, the cheapest one with room is chosen instead.
pub(super) fn choose_admitted(
    scored: &[ScoredRunner],
    limit: Option<Millis>,
    any_admitted: bool,
) -> Option<&Placement> {
    let cheapest = cheapest_of(scored.iter())?;
    let is_admitted = limit.is_none_or(|limit| cheapest.placement.pressure <= limit);
    if is_admitted || !any_admitted {
        return is_admitted.then_some(&cheapest.placement);
    }
    // Long prompts do not spill over to the other pool, where one of them delays many urgent streams, and leave half of
    // the limit to the requests beside them that are more urgent.
    let has_room = |runner: &&ScoredRunner| {
        runner.is_in_pool && limit.is_some_and(|limit| runner.placement.pressure.0 * 2 <= limit.0)
    };
    cheapest_of(scored.iter().filter(has_room)).map(|runner| &runner.placement)
}

fn cheapest_of<'a>(scored: impl Iterator<Item = &'a ScoredRunner>) -> Option<&'a ScoredRunner> {
    scored.min_by(|left, right| left.cost.total_cmp(&right.cost))
}
