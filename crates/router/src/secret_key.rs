//! Secret keys that are compared in constant time and never printed.

use std::fmt;

use serde::Deserialize;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const MIN_KEY_BYTES: usize = 8;

/// A secret key: its text, for sending, and its SHA-256 digest, for comparing.
#[derive(Clone, Deserialize)]
#[serde(try_from = "String")]
pub struct SecretKey {
    text: String,
    digest: [u8; 32],
}

impl SecretKey {
    /// Whether `offered` is this key; compares digests in constant time.
    pub fn matches(&self, offered: &str) -> bool {
        let digest: [u8; 32] = Sha256::digest(offered.as_bytes()).into();
        self.digest.ct_eq(&digest).into()
    }

    /// The key in plain text, for sending it to a peer.
    pub fn reveal(&self) -> &str {
        &self.text
    }
}

impl TryFrom<String> for SecretKey {
    type Error = &'static str;

    fn try_from(text: String) -> Result<SecretKey, &'static str> {
        if text.len() < MIN_KEY_BYTES {
            return Err("a key needs at least 8 bytes");
        }
        let digest = Sha256::digest(text.as_bytes()).into();
        Ok(SecretKey { text, digest })
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey(hidden)")
    }
}
