//! Splits a stream of server-sent events at the boundaries between events.

use std::fmt;

/// The longest event, in bytes; one holds the text of a few tokens.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Bytes of a stream that are no event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedEvent;

impl fmt::Display for MalformedEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream has bytes that are no event")
    }
}

impl std::error::Error for MalformedEvent {}

/// Buffers a stream's bytes and releases them as complete events.
#[derive(Debug, Default)]
pub struct EventStream {
    pending: Vec<u8>,
    last_id: Option<String>,
    events: u64,
    /// The bytes of comments and empty lines since the last event.
    idle_bytes: usize,
}

impl EventStream {
    /// The buffer to which received bytes are appended.
    pub fn input(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Moves all complete events to `out`; returns false if there are none.
    ///
    /// # Errors
    ///
    /// The bytes are no event: a block without an id that is more than a comment, or one longer than `MAX_EVENT_BYTES`, or
    /// as many bytes of comments. Events before it are moved first.
    pub fn take_events(&mut self, out: &mut Vec<u8>) -> Result<bool, MalformedEvent> {
        let end = end_of_last_event(&self.pending).unwrap_or(0);
        let valid = self.scan_blocks(end);
        out.extend_from_slice(&self.pending[..valid]);
        self.pending.drain(..valid);
        let is_malformed = valid < end || self.pending.len() > MAX_EVENT_BYTES;
        if valid == 0 && is_malformed { Err(MalformedEvent) } else { Ok(valid > 0) }
    }

    /// Whether a part of an event is buffered.
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards the buffered part of an event whose rest will not arrive.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// The last id among the released events, from which the stream can resume.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// The number of events released.
    pub fn count(&self) -> u64 {
        self.events
    }

    /// Notes the ids of the blocks in the first `end` bytes, up to the first block that is no event; returns where the
    /// valid ones end.
    fn scan_blocks(&mut self, end: usize) -> usize {
        let (mut at, mut valid) = (0, 0);
        let (mut id, mut has_fields) = (None, false);
        for line in self.pending[..end].split_inclusive(|byte| *byte == b'\n') {
            at += line.len();
            match line.trim_ascii_end() {
                [] if has_fields && id.is_none() => return valid,
                [] => {
                    self.idle_bytes = if id.is_some() { 0 } else { self.idle_bytes + at - valid };
                    if self.idle_bytes > MAX_EVENT_BYTES {
                        return valid;
                    }
                    self.events += u64::from(id.is_some());
                    self.last_id = id.take().or(self.last_id.take());
                    has_fields = false;
                    valid = at;
                }
                [b':', ..] => {}
                field => {
                    has_fields = true;
                    id = field.strip_prefix(b"id:").and_then(event_id).or(id);
                }
            }
        }
        valid
    }
}

fn event_id(value: &[u8]) -> Option<String> {
    std::str::from_utf8(value.trim_ascii()).ok().map(str::to_owned)
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(carriage)
}
