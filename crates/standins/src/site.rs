//! The two simulated sites, with the zones, runners and teams that their users have today.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use teaselcroft_policy::Questionnaire;

/// A user's site to simulate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Site {
    /// The weed harvest fleet on the Ribarroja Reservoir.
    Reservoir,
    /// The bunting and flag library in Rosario.
    Library,
}

/// A group of identical runners that offer one model or service.
#[derive(Debug, Clone, Copy)]
pub struct RunnerGroup {
    /// Prefix of their names; a hyphen and a two-digit number follow.
    pub prefix: &'static str,
    /// The name of the model or service.
    pub upstream: &'static str,
    /// Number of runners.
    pub count: usize,
    /// Number of requests that each runs at once.
    pub places: u32,
    /// Whether they are LLM engines rather than plain services.
    pub is_engine: bool,
    /// Whether they refuse configuration orders with an outdated fencing number.
    pub fencing: bool,
}

impl Site {
    /// The name in traces and on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Site::Reservoir => "reservoir",
            Site::Library => "library",
        }
    }

    /// The availability zones.
    pub const fn zones(self) -> &'static [&'static str] {
        match self {
            Site::Reservoir => &["mequinenza", "fayon", "caspe"],
            Site::Library => &["rosario-centro", "rosario-norte", "santa-fe-capital", "parana-costa"],
        }
    }

    /// The region; its name is the cell name in the settings of the daemons.
    pub const fn region(self) -> &'static str {
        match self {
            Site::Reservoir => "ebro-norte",
            Site::Library => "litoral",
        }
    }

    /// The runner groups: the model engines first, then the plain services.
    pub const fn runner_groups(self) -> [RunnerGroup; 2] {
        let model = RunnerGroup {
            prefix: "assistant",
            upstream: "harvest-assistant",
            count: 20,
            places: 16,
            is_engine: true,
            fencing: true,
        };
        let service = RunnerGroup {
            prefix: "compost",
            upstream: "compost-scheduling",
            count: 3,
            places: 8,
            is_engine: false,
            fencing: false,
        };
        match self {
            Site::Reservoir => [model, service],
            Site::Library => [
                RunnerGroup { prefix: "drafting", upstream: "drafting-assistant", count: 10, fencing: false, ..model },
                RunnerGroup { prefix: "desk", upstream: "reservation-desk", count: 4, ..service },
            ],
        }
    }

    /// The questionnaires of the teams as YAML, from the `sites` folder of the repository.
    pub const fn questionnaire_texts(self) -> [&'static str; 2] {
        match self {
            Site::Reservoir => [
                include_str!("../../../sites/reservoir/harvest.yaml"),
                include_str!("../../../sites/reservoir/compost.yaml"),
            ],
            Site::Library => {
                [include_str!("../../../sites/library/lending.yaml"), include_str!("../../../sites/library/desk.yaml")]
            }
        }
    }

    /// The questionnaires of the teams, parsed.
    ///
    /// # Errors
    ///
    /// A file in the `sites` folder is not a valid questionnaire.
    pub fn questionnaires(self) -> Result<Vec<Questionnaire>, serde_saphyr::Error> {
        self.questionnaire_texts().iter().map(|text| serde_saphyr::from_str(text)).collect()
    }
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Site {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Site, &'static str> {
        match text {
            "reservoir" => Ok(Site::Reservoir),
            "library" => Ok(Site::Library),
            _ => Err("the site must be reservoir or library"),
        }
    }
}
