//! Header fields of one message, stored in one buffer.

use std::ops::Range;

/// Header fields in the order of arrival; values are the raw bytes.
#[derive(Debug, Clone, Default)]
pub struct Fields {
    raw: Vec<u8>,
    spans: Vec<(Range<usize>, Range<usize>)>,
}

impl Fields {
    /// Copies parsed fields, so that they outlive the connection's buffer.
    pub fn copy(headers: &[httparse::Header<'_>]) -> Fields {
        let mut fields = Fields { raw: Vec::with_capacity(512), spans: Vec::with_capacity(headers.len()) };
        for header in headers {
            let start = fields.raw.len();
            fields.raw.extend_from_slice(header.name.as_bytes());
            let name_end = fields.raw.len();
            fields.raw.extend_from_slice(header.value);
            fields.spans.push((start..name_end, name_end..fields.raw.len()));
        }
        fields
    }

    /// The name and value of every field.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans.iter().map(|(name, value)| (&self.raw[name.clone()], &self.raw[value.clone()]))
    }

    /// The values of all fields called `name`, in any letter case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(key, _)| key.eq_ignore_ascii_case(name.as_bytes())).map(|(_, value)| value)
    }

    /// The first value of the field called `name`, trimmed; `None` if it is not UTF-8.
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.all(name).next().and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// The first value of the field called `name`, parsed as a decimal number.
    pub fn number<'a>(&'a self, name: &'a str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Whether a comma-separated list in a field called `name` has the element `token`, in any letter case.
    pub fn has_token<'a>(&'a self, name: &'a str, token: &str) -> bool {
        self.all(name).any(|value| {
            value.split(|byte| *byte == b',').any(|part| trim(part).eq_ignore_ascii_case(token.as_bytes()))
        })
    }
}

fn trim(bytes: &[u8]) -> &[u8] {
    bytes.trim_ascii()
}
