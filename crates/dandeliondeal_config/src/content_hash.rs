//! Content hashes, which name stored objects and verify their content.

use std::fmt::Write;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// SHA-256 of an object's content in lower-case hexadecimal.
pub type ContentHash = Arc<str>;

/// Returns the SHA-256 of `text` in lower-case hexadecimal.
pub fn content_hash(text: &str) -> ContentHash {
    let digest = Sha256::digest(text.as_bytes());
    let mut output = String::with_capacity(2 * digest.len());
    for byte in digest {
        let _ = write!(output, "{byte:02x}");
    }
    output.into()
}
