//! Limits the memory that buffered bodies of requests and answers take, over all requests together.

use std::sync::atomic::{AtomicU64, Ordering};

/// The memory limit for buffered bodies, and how much of it is reserved.
#[derive(Debug)]
pub struct BodyMemory {
    used: AtomicU64,
    limit: u64,
}

impl BodyMemory {
    /// A limit of `limit` bytes.
    pub fn new(limit: u64) -> BodyMemory {
        BodyMemory { used: AtomicU64::new(0), limit }
    }

    /// The reservation of one request, with no bytes at first.
    pub fn reservation(&self) -> BodyReservation<'_> {
        BodyReservation { memory: self, bytes: 0 }
    }

    fn try_reserve(&self, bytes: u64) -> bool {
        let used = self.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if used > self.limit {
            self.release(bytes);
        }
        used <= self.limit
    }

    fn release(&self, bytes: u64) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The memory reserved for one request's body, released when dropped.
#[derive(Debug)]
pub struct BodyReservation<'a> {
    memory: &'a BodyMemory,
    bytes: u64,
}

impl BodyReservation<'_> {
    /// Grows the reservation to `bytes` in total; returns false and leaves it unchanged if that exceeds the limit.
    pub fn grow_to(&mut self, bytes: u64) -> bool {
        let has_room = self.memory.try_reserve(bytes.saturating_sub(self.bytes));
        if has_room {
            self.bytes = self.bytes.max(bytes);
        }
        has_room
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.memory.release(self.bytes);
    }
}
