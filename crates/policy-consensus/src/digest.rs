//! SHA-256 digests and their hexadecimal form.

use ring::digest::{digest, SHA256};

/// A SHA-256 digest.
pub type Digest = [u8; 32];

/// Computes the SHA-256 digest of `data`.
pub fn sha256(data: impl AsRef<[u8]>) -> Digest {
    let mut bytes = [0; 32];
    bytes.copy_from_slice(digest(&SHA256, data.as_ref()).as_ref());
    bytes
}

/// Formats `bytes` as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses a digest from 64 hexadecimal digits.
pub(crate) fn parse_digest(text: &str) -> Option<Digest> {
    let mut bytes = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
