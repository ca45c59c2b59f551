//! What a request carries that may crash runners.

use std::fmt;

use crate::heartbeat::{Clearance, Crash};

/// What a request carries that may crash runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Suspect {
    /// Its whole content, by its hash.
    Content(u64),
    /// A part of its prompt, by the part's id.
    Part(u64),
}

impl Suspect {
    /// The message to peers that it was at a runner that crashed.
    pub const fn crash_of(self, runner: u64) -> Crash {
        match self {
            Suspect::Content(hash) => Crash { suspect: hash, runner, is_part: false, age_ms: 0 },
            Suspect::Part(id) => Crash { suspect: id, runner, is_part: true, age_ms: 0 },
        }
    }

    /// The message to peers that an answer cleared it `age_ms` milliseconds ago.
    pub const fn clearance(self, age_ms: u32) -> Clearance {
        match self {
            Suspect::Content(hash) => Clearance { suspect: hash, is_part: false, age_ms },
            Suspect::Part(id) => Clearance { suspect: id, is_part: true, age_ms },
        }
    }

    /// Whether it is a part of a prompt, which several different requests may carry.
    pub const fn is_part(self) -> bool {
        matches!(self, Suspect::Part(_))
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Suspect::Content(id) | Suspect::Part(id)) = self;
        write!(f, "{id:x}")
    }
}

impl From<Crash> for Suspect {
    fn from(crash: Crash) -> Suspect {
        if crash.is_part { Suspect::Part(crash.suspect) } else { Suspect::Content(crash.suspect) }
    }
}

impl From<Clearance> for Suspect {
    fn from(clearance: Clearance) -> Suspect {
        if clearance.is_part { Suspect::Part(clearance.suspect) } else { Suspect::Content(clearance.suspect) }
    }
}
