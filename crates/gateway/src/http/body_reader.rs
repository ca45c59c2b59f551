//! Reads one message's body from a connection.

use std::fmt;
use std::io;

use super::{BodyLength, ChunkedDecoder, Connection, FramingError};

/// Why a body could not be read in full.
#[derive(Debug)]
pub enum BodyError {
    /// The connection closed or broke before the body's end.
    Incomplete,
    /// A chunk of the body is malformed.
    Framing,
    /// No bytes arrived for too long; callers of the reader return this when their own timeout passes.
    Stalled,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::Incomplete => "the body was cut short",
            BodyError::Framing => "the body's framing is wrong",
            BodyError::Stalled => "the body stopped arriving",
        })
    }
}

impl std::error::Error for BodyError {}

impl From<io::Error> for BodyError {
    fn from(_: io::Error) -> BodyError {
        BodyError::Incomplete
    }
}

impl From<FramingError> for BodyError {
    fn from(_: FramingError) -> BodyError {
        BodyError::Framing
    }
}

#[derive(Debug)]
enum State {
    Fixed(u64),
    Chunked(ChunkedDecoder),
    UntilClose,
    Done,
}

/// Reads one message's body from a connection, in parts.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// A reader for a body with this framing.
    pub fn new(length: BodyLength) -> BodyReader {
        let state = match length {
            BodyLength::Fixed(0) => State::Done,
            BodyLength::Fixed(count) => State::Fixed(count),
            BodyLength::Chunked => State::Chunked(ChunkedDecoder::default()),
            BodyLength::UntilClose => State::UntilClose,
        };
        BodyReader { state }
    }

    /// Whether the body was read to its end.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Waits for the next decoded bytes and appends them to `out`; returns false once the body is complete.
    ///
    /// # Errors
    ///
    /// The connection ended before the body did, or the framing is malformed.
    pub async fn next(&mut self, connection: &mut Connection, out: &mut Vec<u8>) -> Result<bool, BodyError> {
        loop {
            if self.is_done() {
                return Ok(false);
            }
            let before = out.len();
            let used = self.decode(connection.bytes(), out)?;
            connection.consume(used);
            if out.len() > before || self.is_done() {
                return Ok(true);
            }
            if connection.fill().await? == 0 {
                return self.connection_closed();
            }
        }
    }

    fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, BodyError> {
        match &mut self.state {
            State::Fixed(left) => {
                let count = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                out.extend_from_slice(&bytes[..count]);
                *left -= count as u64;
                if *left == 0 {
                    self.state = State::Done;
                }
                Ok(count)
            }
            State::Chunked(decoder) => {
                let used = decoder.decode(bytes, out)?;
                if decoder.is_done() {
                    self.state = State::Done;
                }
                Ok(used)
            }
            State::UntilClose => {
                out.extend_from_slice(bytes);
                Ok(bytes.len())
            }
            State::Done => Ok(0),
        }
    }

    fn connection_closed(&mut self) -> Result<bool, BodyError> {
        if !matches!(self.state, State::UntilClose) {
            return Err(BodyError::Incomplete);
        }
        self.state = State::Done;
        Ok(false)
    }
}
