//! Reads one message's body from a connection.

use std::fmt;
use std::io;

use super::{BodyLength, ChunkedDecoder, FramingError, Inbound};

/// A body that did not arrive whole.
#[derive(Debug)]
pub enum BodyError {
    /// The connection ended or broke before the body's end.
    CutShort,
    /// The framing is wrong.
    Framing,
    /// Nothing arrived for too long.
    Silent,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::CutShort => "the body was cut short",
            BodyError::Framing => "the body's framing is wrong",
            BodyError::Silent => "the body stopped arriving",
        })
    }
}

impl std::error::Error for BodyError {}

impl From<io::Error> for BodyError {
    fn from(_: io::Error) -> BodyError {
        BodyError::CutShort
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

/// Reads one message's body.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// A reader for a body delimited so.
    pub fn new(length: BodyLength) -> BodyReader {
        let state = match length {
            BodyLength::Fixed(0) => State::Done,
            BodyLength::Fixed(count) => State::Fixed(count),
            BodyLength::Chunked => State::Chunked(ChunkedDecoder::default()),
            BodyLength::UntilClose => State::UntilClose,
        };
        BodyReader { state }
    }

    /// Whether the whole body was read.
    pub fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Appends the next decoded bytes to `out`, waiting for some; false once the body is whole.
    ///
    /// # Errors
    ///
    /// The body is cut short or its framing is wrong.
    pub async fn next(&mut self, inbound: &mut Inbound, out: &mut Vec<u8>) -> Result<bool, BodyError> {
        loop {
            if self.is_done() {
                return Ok(false);
            }
            let before = out.len();
            let used = self.decode(inbound.bytes(), out)?;
            inbound.consume(used);
            if out.len() > before || self.is_done() {
                return Ok(true);
            }
            if inbound.fill().await? == 0 {
                return self.end_of_connection();
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

    fn end_of_connection(&mut self) -> Result<bool, BodyError> {
        if !matches!(self.state, State::UntilClose) {
            return Err(BodyError::CutShort);
        }
        self.state = State::Done;
        Ok(false)
    }
}
