//! Splits a stream of server-sent events at the boundaries between events.

/// Buffers a stream's bytes and releases them as complete events.
#[derive(Debug, Default)]
pub struct EventStream {
    pending: Vec<u8>,
    last_id: Option<String>,
    events: u64,
}

impl EventStream {
    /// The buffer to which received bytes are appended.
    pub fn input(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Moves all complete events to `out`; returns false if there are none.
    pub fn take_events(&mut self, out: &mut Vec<u8>) -> bool {
        let Some(end) = end_of_last_event(&self.pending) else {
            return false;
        };
        self.scan_lines(end);
        out.extend_from_slice(&self.pending[..end]);
        self.pending.drain(..end);
        true
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

    fn scan_lines(&mut self, end: usize) {
        for line in self.pending[..end - 1].split(|byte| *byte == b'\n') {
            if line.is_empty() || line == b"\r" {
                self.events += 1;
            }
            let Some(id) = line.strip_prefix(b"id:") else {
                continue;
            };
            if let Ok(id) = std::str::from_utf8(id.trim_ascii()) {
                self.last_id = Some(id.to_owned());
            }
        }
    }
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(carriage)
}
