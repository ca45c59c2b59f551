//! Cuts a stream of server-sent events at the ends of events.

/// Collects a stream's bytes and hands out whole events.
#[derive(Debug, Default)]
pub struct EventStream {
    pending: Vec<u8>,
    last_id: Option<String>,
    events: u64,
}

impl EventStream {
    /// Where to append what arrives.
    pub fn input(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Moves all whole events to `out`; false if there are none.
    pub fn take_events(&mut self, out: &mut Vec<u8>) -> bool {
        let Some(end) = last_event_end(&self.pending) else {
            return false;
        };
        self.note(end);
        out.extend_from_slice(&self.pending[..end]);
        self.pending.drain(..end);
        true
    }

    /// Whether an event has begun and not ended.
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the beginning of an event that will not be continued.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// The id of the last event handed out.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Events handed out.
    pub fn count(&self) -> u64 {
        self.events
    }

    fn note(&mut self, end: usize) {
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

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(carriage)
}
