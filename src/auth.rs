//! Tokens, kept only as hashes and compared in constant time.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The account that works where none is configured, and its token.
pub const DEMO: &str = "demo";

/// SHA-256 in lower-case hexadecimal.
pub fn sha256_hex(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        // The length keeps the borders: ("ab", "c") is not ("a", "bc").
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hex(&hasher.finalize())
}

/// What is kept of a token or a key: its plain SHA-256, so that any tool can make it. Tables may be keyed by it: how
/// far a comparison of hashes gets tells nothing of the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TokenHash([u8; 32]);

impl TokenHash {
    /// The hash of a token.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// In lower-case hexadecimal, as configurations hold it.
    pub fn to_hex(self) -> String {
        hex(&self.0)
    }
}

/// The hash of a token as configurations hold it.
pub fn token_hash(token: &str) -> String {
    TokenHash::of(token).to_hex()
}

/// Whether two hashes are the same, in a time that does not tell where they differ.
pub fn same_hash(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// The token of an `Authorization: Bearer` header.
pub fn bearer(value: Option<&str>) -> Option<&str> {
    let (scheme, token) = value?.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
