//! The rules by which a daemon can choose a runner from reported loads.

use std::fmt;
use std::str::FromStr;

/// How a daemon chooses a runner from reported loads. All rules run in the product's code, so that the benchmark measures
/// what daemons do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BalanceRule {
    /// The least reported load.
    LeastKnown,
    /// The least reported load, with own sends that the report lacks.
    OwnSends,
    /// The less loaded of two random runners, by the report and own sends.
    TwoChoices,
    /// The same, with runners drawn by their room under the common level.
    WeightedChoices,
    /// Each daemon in an order of its own, by capacity alone.
    DaemonOrder,
    /// Shares of the room under the common level, each used in turn.
    #[default]
    Shares,
    /// A random runner, weighted by its room under the common level.
    Level,
}

impl BalanceRule {
    /// Every rule.
    pub const ALL: [BalanceRule; 7] = [
        BalanceRule::LeastKnown,
        BalanceRule::OwnSends,
        BalanceRule::TwoChoices,
        BalanceRule::WeightedChoices,
        BalanceRule::DaemonOrder,
        BalanceRule::Shares,
        BalanceRule::Level,
    ];

    /// Its name in tables and settings.
    pub const fn name(self) -> &'static str {
        match self {
            BalanceRule::LeastKnown => "least-known",
            BalanceRule::OwnSends => "own-sends",
            BalanceRule::TwoChoices => "two-choices",
            BalanceRule::WeightedChoices => "weighted-choices",
            BalanceRule::DaemonOrder => "daemon-order",
            BalanceRule::Shares => "shares",
            BalanceRule::Level => "level",
        }
    }
}

impl fmt::Display for BalanceRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for BalanceRule {
    type Err = String;

    fn from_str(text: &str) -> Result<BalanceRule, String> {
        let known = BalanceRule::ALL.into_iter().find(|rule| rule.name() == text);
        known.ok_or_else(|| format!("unknown balance rule: {text}"))
    }
}
