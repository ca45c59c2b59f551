//! The memory that callers' bodies take, bounded over all requests together.

use std::sync::atomic::{AtomicU64, Ordering};

/// The memory for callers' bodies.
#[derive(Debug)]
pub struct BodyMemory {
    used: AtomicU64,
    most: u64,
}

impl BodyMemory {
    /// Room for `most` bytes.
    pub fn new(most: u64) -> BodyMemory {
        BodyMemory { used: AtomicU64::new(0), most }
    }

    /// The share of one request, empty at first.
    pub fn share(&self) -> BodyShare<'_> {
        BodyShare { memory: self, bytes: 0 }
    }

    fn take(&self, bytes: u64) -> bool {
        let used = self.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if used > self.most {
            self.give_back(bytes);
        }
        used <= self.most
    }

    fn give_back(&self, bytes: u64) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The memory of one request's body, given back when dropped.
#[derive(Debug)]
pub struct BodyShare<'a> {
    memory: &'a BodyMemory,
    bytes: u64,
}

impl BodyShare<'_> {
    /// Whether the share can be `bytes`; it is unchanged if not.
    pub fn grow_to(&mut self, bytes: u64) -> bool {
        let has_room = self.memory.take(bytes.saturating_sub(self.bytes));
        if has_room {
            self.bytes = self.bytes.max(bytes);
        }
        has_room
    }
}

impl Drop for BodyShare<'_> {
    fn drop(&mut self) {
        self.memory.give_back(self.bytes);
    }
}
