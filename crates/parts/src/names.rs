//! The types of names: daemons, runners, customers and so on.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

const MAX_NAME_BYTES: usize = 128;

/// A name is empty, too long or contains a control character.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameError;

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a name needs 1 to {MAX_NAME_BYTES} bytes and no control characters")
    }
}

impl std::error::Error for NameError {}

fn check_name(text: &str) -> Result<(), NameError> {
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    if fits && !text.chars().any(char::is_control) {
        return Ok(());
    }
    Err(NameError)
}

/// Declares a string type that holds only valid names.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<$name, NameError> {
                check_name(text)?;
                Ok($name(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<$name, NameError> {
                check_name(&text)?;
                Ok($name(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }
    };
}

name_type!(
    /// The name of a daemon, the same across restarts.
    DaemonName
);
name_type!(
    /// The name of a runner: a model engine or an instance of a plain service.
    RunnerName
);
name_type!(
    /// The name of a customer, which authenticates with a bearer key.
    CustomerName
);
name_type!(
    /// The name of a request class of a questionnaire.
    ClassName
);
name_type!(
    /// The name of a team of operators, which answers one questionnaire.
    TeamName
);
name_type!(
    /// The name of an availability zone.
    ZoneName
);
name_type!(
    /// The name of a model or plain service that a group of runners offers.
    ModelName
);
name_type!(
    /// The id of a request, as its caller chose it.
    RequestId
);
