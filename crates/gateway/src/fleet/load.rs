//! What a runner carries.

/// What a runner carries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests under way.
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    pub reading: u32,
}

impl std::ops::Add for Load {
    type Output = Load;

    fn add(self, other: Load) -> Load {
        Load { requests: self.requests + other.requests, reading: self.reading + other.reading }
    }
}

impl Load {
    /// This load less another, or nothing.
    pub fn without(self, other: Load) -> Load {
        Load {
            requests: self.requests.saturating_sub(other.requests),
            reading: self.reading.saturating_sub(other.reading),
        }
    }
}
