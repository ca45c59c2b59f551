//! The platform's key-value service.

use std::fmt;

/// A value and the version of the write that put it there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Rises with every write to the service.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// The answer to a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapAnswer {
    /// It took effect at this version.
    Done(u64),
    /// The service holds something else.
    Conflict(Option<Stored>),
}

/// No answer: a write may have taken effect nevertheless.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;

impl fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the key-value service does not answer; a write may have taken effect")
    }
}

impl std::error::Error for NoAnswer {}

/// What the system needs of the key-value service.
pub trait KeyValue: Send + Sync + 'static {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// The service did not answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Stored>, NoAnswer>> + Send;

    /// Writes `key` if its version still is `expected`; zero stands for a key that does not exist.
    ///
    /// # Errors
    ///
    /// The service did not answer; the write may have taken effect.
    fn swap(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: u64,
    ) -> impl Future<Output = Result<SwapAnswer, NoAnswer>> + Send;

    /// Waits for writes later than `after` under `prefix`; returns nothing after a while without.
    ///
    /// # Errors
    ///
    /// The service did not answer.
    fn watch(&self, prefix: &str, after: u64) -> impl Future<Output = Result<Vec<(String, Stored)>, NoAnswer>> + Send;
}
