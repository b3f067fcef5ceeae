//! Authentication of datagrams by the cluster's shared keys: HMAC-SHA-256 (RFC 2104), truncated to its first 16 bytes (section 5
//! there: at least half of the hash). Two keys are accepted while one replaces the other.
//!
//! ```text
//! "FH" | version 3 | key id u8 | body | HMAC of all before it
//! ```

use ring::hmac;

#[cfg(test)]
mod tests;

/// Largest datagram: below the MTU of any usual path, so that it is not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes that sealing adds to a body.
pub const SEAL_OVERHEAD_BYTES: usize = PREFIX.len() + 1 + TAG_BYTES;
/// Keys that are accepted at once.
pub const MAX_KEYS: usize = 2;

const PREFIX: [u8; 3] = [b'F', b'H', 3];
const TAG_BYTES: usize = 16;

/// What is wrong with the text of a key file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyFileError {
    /// The file as a whole is one secret, and that is too short.
    #[error("it holds fewer than 32 bytes")]
    FileTooShort,
    /// A secret is too short.
    #[error("key {id} holds fewer than 32 bytes")]
    SecretTooShort {
        /// Id of the key.
        id: u8,
    },
    /// Two lines have the same id.
    #[error("key {id} is there twice")]
    DuplicateId {
        /// The id.
        id: u8,
    },
    /// The file holds more keys than are accepted at once.
    #[error("it holds {count} keys, and {MAX_KEYS} at most are accepted at once")]
    TooManyKeys {
        /// Keys that the file holds.
        count: usize,
    },
}

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

/// The cluster's keys: the first one seals, all of them open.
pub struct Keys(Vec<Key>);

impl Keys {
    /// Fewest bytes of a secret: as many as the hash has (RFC 2104 section 3).
    pub const MIN_SECRET_BYTES: usize = 32;

    /// Parses the text of a key file: lines of an id (0 to 255) and a secret of at least 32 bytes without spaces, the one that
    /// seals first; or, as a whole, one secret, which has the id 0.
    ///
    /// # Errors
    /// Too many keys, a secret that is too short, or an id that stands twice.
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

    /// A single key, or `None` if the secret is shorter than [`Keys::MIN_SECRET_BYTES`].
    pub fn from_secret(id: u8, secret: &[u8]) -> Option<Keys> {
        let is_long_enough = secret.len() >= Keys::MIN_SECRET_BYTES;
        is_long_enough.then(|| Keys(vec![Key::new(id, secret)]))
    }

    /// Ids of all keys, the sealing one first.
    pub fn ids(&self) -> impl Iterator<Item = u8> + '_ {
        self.0.iter().map(|key| key.id)
    }

    /// The sealed datagram of a body.
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

    /// The body of a datagram, if it was sealed by one of the keys.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let has_valid_length = (SEAL_OVERHEAD_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len());
        if !has_valid_length || !bytes.starts_with(&PREFIX) {
            return None;
        }
        let key = self.0.iter().find(|key| key.id == bytes[PREFIX.len()])?;
        let (sealed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let expected = hmac::sign(&key.hmac, sealed);
        // In constant time: the time must not show at which byte the tags differ.
        let difference = tag
            .iter()
            .zip(expected.as_ref())
            .fold(0, |difference, (a, b)| difference | (a ^ b));
        (difference == 0).then_some(&sealed[PREFIX.len() + 1..])
    }
}

/// Ids and secrets of a file whose lines all have both; `None` if it has any other form.
fn split_key_lines(text: &[u8]) -> Option<Vec<(u8, &str)>> {
    let text = std::str::from_utf8(text).ok()?;
    let mut keys = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let (id, secret) = line.split_once(' ')?;
        keys.push((id.parse().ok()?, secret.trim()));
    }
    (!keys.is_empty()).then_some(keys)
}
