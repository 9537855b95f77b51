//! Tokens of accounts and operators, and API keys: only hashes of them are kept, and [`hashes_match`] compares two
//! hashes in constant time.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Name and token of the account that exists while no account is configured.
pub const DEMO_ACCOUNT: &str = "demo";

/// Returns the SHA-256 of several parts in lower-case hexadecimal.
pub fn sha256_hex(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        // The length before each part tells ("ab", "c") from ("a", "bc").
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hex(&hasher.finalize())
}

/// Hash of a token or an API key. It is the plain SHA-256, so that any tool can compute it. It may be the key of a map:
/// the duration of a comparison of hashes reveals nothing about the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TokenHash([u8; 32]);

impl TokenHash {
    /// Computes the hash of a token.
    pub fn from_token(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Returns the hash in lower-case hexadecimal, as configurations hold it.
    pub fn to_hex(self) -> String {
        hex(&self.0)
    }
}

/// Returns the hash of a token in lower-case hexadecimal, as configurations hold it.
pub fn token_hash(token: &str) -> String {
    TokenHash::from_token(token).to_hex()
}

/// Returns whether two hashes are equal. The time taken does not depend on where they differ.
pub fn hashes_match(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// Returns the token of an `Authorization: Bearer` header.
pub fn bearer(value: Option<&str>) -> Option<&str> {
    let (scheme, token) = value?.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
