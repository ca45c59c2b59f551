//! How a start of a runner left, by its entry in the store.

use teaselcroft_parts::Millis;

use crate::store::Revision;

/// How long it is remembered that a runner left: longer than the store's copies are old.
const DEPARTURE_TTL: Millis = Millis(60_000);

/// How a start of a runner left, by its entry in the store: the entry said so, or was gone for good. A store that comes back from
/// an older copy brings back the entry from before, which no runner stands behind.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    /// The revision of that entry, or of the one that a copy brought back.
    revision: Revision,
    /// Whether the entry at `revision` is one that a copy brought back.
    is_copied: bool,
    /// When it was first swept.
    swept: Option<Millis>,
}

impl Departure {
    /// A departure by the entry at `revision`.
    pub const fn new(revision: Revision) -> Departure {
        Departure { revision, is_copied: false, swept: None }
    }

    /// Whether an entry that says that the runner is ready may be older than the departure. The first entry of a later era may
    /// be; what is written after it in that era is not.
    pub fn overrules(&mut self, revision: Revision) -> bool {
        if revision.era() > self.revision.era() {
            *self = Departure { revision, is_copied: true, swept: self.swept };
        }
        self.is_copied && revision <= self.revision
    }

    /// Notes that the time is `now`; returns false once the departure no longer matters.
    pub fn is_recent(&mut self, now: Millis) -> bool {
        now.since(*self.swept.get_or_insert(now)) < DEPARTURE_TTL
    }
}
