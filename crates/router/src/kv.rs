//! The interface to the platform's key-value service.

use std::fmt;

/// A stored value and the version of the write that stored it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// The write's version; versions rise with every write to the service, whatever the key.
    pub version: u64,
    /// The stored bytes.
    pub value: Vec<u8>,
}

/// The result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapAnswer {
    /// The write took effect and has this version.
    Done(u64),
    /// The version did not match; holds the current value, or `None` if the key does not exist.
    Conflict(Option<Stored>),
}

/// A platform service gave no usable answer in time; a write may have taken effect nevertheless.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;

impl fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the key-value service does not answer; a write may have taken effect")
    }
}

impl std::error::Error for NoAnswer {}

/// A client of the key-value service.
pub trait KeyValue: Send + Sync + 'static {
    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The service gave no usable answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Stored>, NoAnswer>> + Send;

    /// Writes `key` if its version is still `expected`; zero means that the key must not exist.
    ///
    /// # Errors
    ///
    /// The service gave no usable answer; the write may have taken effect.
    fn swap(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: u64,
    ) -> impl Future<Output = Result<SwapAnswer, NoAnswer>> + Send;

    /// Long-polls for writes under `prefix` with a version above `after`; returns an empty list if none
    /// happens for a while.
    ///
    /// # Errors
    ///
    /// The service gave no usable answer.
    fn watch(&self, prefix: &str, after: u64) -> impl Future<Output = Result<Vec<(String, Stored)>, NoAnswer>> + Send;
}
