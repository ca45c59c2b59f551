//! The two users' sites at their sizes of today.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use teaselcroft_policy::Questionnaire;

/// A user's site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Site {
    /// The weed harvest fleet on the Ribarroja Reservoir.
    Reservoir,
    /// The bunting and flag library in Rosario.
    Library,
}

/// Runners that offer one model or service.
#[derive(Debug, Clone, Copy)]
pub struct RunnerGroup {
    /// The beginning of their names.
    pub prefix: &'static str,
    /// The model or service.
    pub upstream: &'static str,
    /// How many there are.
    pub count: usize,
    /// How many requests each runs at once.
    pub places: u32,
    /// Whether they are model engines.
    pub model: bool,
    /// Whether they refuse orders with an old fencing number.
    pub fencing: bool,
}

impl Site {
    /// The site's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Site::Reservoir => "reservoir",
            Site::Library => "library",
        }
    }

    /// Its zones.
    pub const fn zones(self) -> &'static [&'static str] {
        match self {
            Site::Reservoir => &["mequinenza", "fayon", "caspe"],
            Site::Library => &["rosario-centro", "rosario-norte", "santa-fe-capital", "parana-costa"],
        }
    }

    /// Its region, which is one cell.
    pub const fn region(self) -> &'static str {
        match self {
            Site::Reservoir => "ebro-norte",
            Site::Library => "litoral",
        }
    }

    /// Its runners.
    pub const fn groups(self) -> [RunnerGroup; 2] {
        let model = RunnerGroup {
            prefix: "assistant",
            upstream: "harvest-assistant",
            count: 20,
            places: 16,
            model: true,
            fencing: true,
        };
        let service = RunnerGroup {
            prefix: "compost",
            upstream: "compost-scheduling",
            count: 3,
            places: 8,
            model: false,
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

    /// The questionnaires of its teams, as in the repository's `sites` folder.
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

    /// The questionnaires of its teams.
    ///
    /// # Errors
    ///
    /// A file in the repository's `sites` folder cannot be read.
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
            _ => Err("a site is reservoir or library"),
        }
    }
}
