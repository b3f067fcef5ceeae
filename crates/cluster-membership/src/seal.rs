//! Authentication of datagrams by the cluster's shared keys with HMAC-SHA-256 (RFC 2104), truncated to its first 16
//! bytes (RFC 2104 section 5 requires at least half of the hash). During a key rotation, two keys are accepted.
//!
//! ```text
//! "FH" | version 3 | key id u8 | body | HMAC of all preceding bytes
//! ```

use ring::hmac;

#[cfg(test)]
mod tests;

/// Upper bound of the length of a datagram, in bytes: below the MTU of usual paths, so that datagrams are not
/// fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Number of bytes that sealing adds to a body.
pub const SEAL_OVERHEAD_BYTES: usize = PREFIX.len() + 1 + TAG_BYTES;
/// Upper bound of the keys accepted at one time.
pub const MAX_KEYS: usize = 2;

/// First bytes of each datagram: a magic number and the version of the format.
const PREFIX: [u8; 3] = [b'F', b'H', 3];
/// Length of the truncated HMAC, in bytes.
const TAG_BYTES: usize = 16;

/// An error in the text of a key file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyFileError {
    /// The file holds a single secret without an id, which is too short.
    #[error("the secret holds fewer than 32 bytes")]
    FileTooShort,
    /// A secret with an id is too short.
    #[error("the secret of key {id} holds fewer than 32 bytes")]
    SecretTooShort {
        /// Id of the key.
        id: u8,
    },
    /// Two lines of the file have the same id.
    #[error("key id {id} occurs twice")]
    DuplicateId {
        /// Id of both keys.
        id: u8,
    },
    /// The file holds more than [`MAX_KEYS`] keys.
    #[error("the file holds {count} keys, more than the limit of {MAX_KEYS}")]
    TooManyKeys {
        /// Number of keys in the file.
        count: usize,
    },
}

/// One key of the cluster.
struct Key {
    id: u8,
    hmac: hmac::Key,
}

impl Key {
    fn new(id: u8, secret: &[u8]) -> Key {
        Key {
            id,
            hmac: hmac::Key::new(hmac::HMAC_SHA256, secret),
        }
    }
}

/// The cluster's keys. The first one seals datagrams; all of them open datagrams.
pub struct Keys(Vec<Key>);

impl Keys {
    /// Minimum length of a secret in bytes: that of the hash (RFC 2104 section 3).
    pub const MIN_SECRET_BYTES: usize = 32;

    /// Parses the text of a key file. The file holds either one line per key, with an id (0 to 255) and a secret of
    /// at least 32 bytes without spaces, the sealing key first; or a single secret, which gets the id 0.
    ///
    /// # Errors
    /// The file holds too many keys, a secret that is too short, or two keys with the same id.
    pub fn parse(text: &[u8]) -> Result<Keys, KeyFileError> {
        let Some(lines) = split_key_lines(text) else {
            return Keys::from_secret(0, text.trim_ascii()).ok_or(KeyFileError::FileTooShort);
        };
        if lines.len() > MAX_KEYS {
            return Err(KeyFileError::TooManyKeys { count: lines.len() });
        }
        let mut keys: Vec<Key> = Vec::new();
        for (id, secret) in lines {
            if secret.len() < Keys::MIN_SECRET_BYTES {
                return Err(KeyFileError::SecretTooShort { id });
            }
            if keys.iter().any(|known| known.id == id) {
                return Err(KeyFileError::DuplicateId { id });
            }
            keys.push(Key::new(id, secret.as_bytes()));
        }
        Ok(Keys(keys))
    }

    /// Creates a single key; returns `None` if the secret is shorter than [`Keys::MIN_SECRET_BYTES`].
    pub fn from_secret(id: u8, secret: &[u8]) -> Option<Keys> {
        let is_long_enough = secret.len() >= Keys::MIN_SECRET_BYTES;
        is_long_enough.then(|| Keys(vec![Key::new(id, secret)]))
    }

    /// Iterates over the ids of all keys, starting with the sealing one.
    pub fn ids(&self) -> impl Iterator<Item = u8> + '_ {
        self.0.iter().map(|key| key.id)
    }

    /// Returns the sealed datagram with the given body.
    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        let key = &self.0[0];
        let mut bytes = Vec::with_capacity(body.len() + SEAL_OVERHEAD_BYTES);
        bytes.extend(PREFIX);
        bytes.push(key.id);
        bytes.extend(body);
        let tag = hmac::sign(&key.hmac, &bytes);
        bytes.extend(&tag.as_ref()[..TAG_BYTES]);
        bytes
    }

    /// Returns the body of a datagram, or `None` if it was not sealed by one of the keys.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let has_valid_length = (SEAL_OVERHEAD_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len());
        if !has_valid_length || !bytes.starts_with(&PREFIX) {
            return None;
        }
        let key = self.0.iter().find(|key| key.id == bytes[PREFIX.len()])?;
        let (sealed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let expected = hmac::sign(&key.hmac, sealed);
        // The comparison takes constant time, so that its duration does not reveal at which byte the tags differ.
        let difference = tag
            .iter()
            .zip(expected.as_ref())
            .fold(0, |difference, (a, b)| difference | (a ^ b));
        (difference == 0).then_some(&sealed[PREFIX.len() + 1..])
    }
}

/// Returns ids and secrets of a file in which every line has both; `None` if the file has any other form.
fn split_key_lines(text: &[u8]) -> Option<Vec<(u8, &str)>> {
    let text = std::str::from_utf8(text).ok()?;
    let mut keys = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let (id, secret) = line.split_once(' ')?;
        keys.push((id.parse().ok()?, secret.trim()));
    }
    (!keys.is_empty()).then_some(keys)
}
