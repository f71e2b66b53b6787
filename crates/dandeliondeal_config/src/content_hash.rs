//! Hashes that name and check content.

use std::fmt::Write;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// SHA-256 of a body in lower-case hexadecimal; names objects of the platform.
pub type ContentHash = Arc<str>;

/// Hashes text.
pub fn content_hash(text: &str) -> ContentHash {
    let digest = Sha256::digest(text.as_bytes());
    let mut output = String::with_capacity(2 * digest.len());
    for byte in digest {
        let _ = write!(output, "{byte:02x}");
    }
    output.into()
}
