//! Decodes the chunked transfer coding from input split at any byte.

use super::FramingError;

const MAX_LINE_BYTES: usize = 256;
const MAX_TRAILER_BYTES: usize = 8_192;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// An incremental decoder of a chunked body; trailers are discarded.
#[derive(Debug)]
pub struct ChunkedDecoder {
    state: State,
    line: Vec<u8>,
    trailer_bytes: usize,
}

impl Default for ChunkedDecoder {
    fn default() -> ChunkedDecoder {
        ChunkedDecoder { state: State::Size, line: Vec::new(), trailer_bytes: 0 }
    }
}

impl ChunkedDecoder {
    /// Whether the last chunk and the trailers were read.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes `input` into `out` and returns the number of bytes consumed, which ends at the body's end.
    ///
    /// # Errors
    ///
    /// The bytes are not valid chunks, or a line or the trailers are too long.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, FramingError> {
        let mut used = 0;
        while used < input.len() && self.state != State::Done {
            used += match self.state {
                State::Data(remaining) => self.take_data(remaining, &input[used..], out),
                _ => self.take_line_byte(input[used])?,
            };
        }
        Ok(used)
    }

    fn take_data(&mut self, remaining: u64, input: &[u8], out: &mut Vec<u8>) -> usize {
        let count = usize::try_from(remaining).unwrap_or(usize::MAX).min(input.len());
        out.extend_from_slice(&input[..count]);
        let remaining = remaining - count as u64;
        self.state = if remaining == 0 { State::DataEnd } else { State::Data(remaining) };
        count
    }

    fn take_line_byte(&mut self, byte: u8) -> Result<usize, FramingError> {
        if byte != b'\n' {
            self.line.push(byte);
            let limit = if self.state == State::Trailer { MAX_TRAILER_BYTES } else { MAX_LINE_BYTES };
            return if self.line.len() > limit { Err(FramingError) } else { Ok(1) };
        }
        if self.line.pop() != Some(b'\r') {
            return Err(FramingError);
        }
        self.state = self.end_line()?;
        self.line.clear();
        Ok(1)
    }

    fn end_line(&mut self) -> Result<State, FramingError> {
        match self.state {
            State::Size => Ok(match chunk_size(&self.line)? {
                0 => State::Trailer,
                size => State::Data(size),
            }),
            State::DataEnd if self.line.is_empty() => Ok(State::Size),
            State::Trailer if self.line.is_empty() => Ok(State::Done),
            State::Trailer => {
                self.trailer_bytes += self.line.len();
                if self.trailer_bytes > MAX_TRAILER_BYTES { Err(FramingError) } else { Ok(State::Trailer) }
            }
            _ => Err(FramingError),
        }
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, FramingError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(FramingError);
    }
    let text = std::str::from_utf8(digits).map_err(|_| FramingError)?;
    u64::from_str_radix(text, 16).map_err(|_| FramingError)
}
