//! Who holds the duties, as heartbeats say.

use teaselcroft_parts::{FencingToken, Millis};

/// What a daemon said of itself as the holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The daemon's name.
    pub name: String,
    /// Its fencing token.
    pub token: FencingToken,
    /// When it said so last.
    pub heard: Millis,
    /// Whether it has not said since that it holds the duties no longer.
    pub is_held: bool,
}

/// Who holds the duties, as heartbeats say. The highest token counts, since it only rises.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderView {
    own: Option<FencingToken>,
    last: Option<Announcement>,
}

impl HolderView {
    /// The token of this daemon while it holds the duties.
    pub fn own(&self) -> Option<FencingToken> {
        self.own
    }

    /// Sets the token of this daemon; `None` if it does not hold the duties.
    pub fn set_own(&mut self, token: Option<FencingToken>) {
        self.own = token;
    }

    /// Notes what a peer's heartbeat says. Returns true if the known holder changed by it.
    pub fn heard(&mut self, name: &str, token: Option<FencingToken>, now: Millis) -> bool {
        let Some(token) = token else {
            let ended = self.last.as_mut().filter(|last| last.name == name && last.is_held);
            return ended.is_some_and(|last| {
                last.is_held = false;
                true
            });
        };
        if self.last.as_ref().is_some_and(|last| token < last.token) {
            return false;
        }
        let announcement = Announcement { name: name.to_owned(), token, heard: now, is_held: true };
        let previous = self.last.replace(announcement);
        previous.is_none_or(|previous| previous.token != token || !previous.is_held)
    }

    /// The peer that holds the duties, unless this daemon has a higher token.
    pub fn peer(&self) -> Option<&Announcement> {
        self.last.as_ref().filter(|last| last.is_held && self.own.is_none_or(|own| own < last.token))
    }

    /// Whether a peer said within `window` that it holds the duties.
    pub fn is_held(&self, window: Millis, now: Millis) -> bool {
        self.peer().is_some_and(|peer| now.since(peer.heard) <= window)
    }
}
