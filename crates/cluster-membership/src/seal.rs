//! The fleet's keys. Each datagram is sealed by one of them (HMAC-SHA-256, RFC 2104; its first 16 bytes, section 5 there: at least
//! half of the hash) and says which. Two keys are accepted while one takes the place of the other.
//!
//! ```text
//! "FH" | version 3 | key id u8 | body | seal of all before it
//! ```

use ring::hmac;

/// Longest datagram: below what any usual path carries whole.
pub const MOST_BYTES: usize = 1_200;
const MARK: [u8; 3] = [b'F', b'H', 3];
const SEAL: usize = 16;
/// What is round a body.
pub const AROUND: usize = MARK.len() + 1 + SEAL;
/// Keys that are accepted at once.
pub const MOST_KEYS: usize = 2;

/// The first one seals, all of them open.
pub struct Keys(Vec<(u8, hmac::Key)>);

impl Keys {
    /// Fewest bytes of a key: as many as the hash has (RFC 2104 section 3).
    pub const LEAST: usize = 32;

    /// Reads the text of a key file: lines of an id (0 to 255) and a secret of at least 32 bytes without spaces, the one that seals
    /// first; or, as a whole, one secret, which has the id 0.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn read(text: &[u8]) -> Result<Keys, String> {
        let line = |l: &str| {
            let (id, secret) = l.split_once(' ')?;
            Some((id.parse::<u8>().ok()?, secret.trim().to_string()))
        };
        let lines: Option<Vec<_>> = std::str::from_utf8(text).ok().and_then(|t| {
            let all: Option<Vec<_>> = t
                .lines()
                .filter(|l| !l.trim().is_empty())
                .map(line)
                .collect();
            all.filter(|all| !all.is_empty())
        });
        let Some(lines) = lines else {
            let key = Keys::one(0, text.trim_ascii()).ok_or("it holds fewer than 32 bytes")?;
            return Ok(key);
        };
        if lines.len() > MOST_KEYS {
            return Err(format!(
                "it holds {} keys, and {MOST_KEYS} at most are accepted at once",
                lines.len()
            ));
        }
        let mut keys = Keys(Vec::new());
        for (id, secret) in lines {
            if secret.len() < Keys::LEAST {
                return Err(format!("key {id} holds fewer than 32 bytes"));
            }
            if keys.0.iter().any(|(known, _)| *known == id) {
                return Err(format!("key {id} is there twice"));
            }
            keys.0
                .push((id, hmac::Key::new(hmac::HMAC_SHA256, secret.as_bytes())));
        }
        Ok(keys)
    }

    /// None if it is too short.
    pub fn one(id: u8, secret: &[u8]) -> Option<Keys> {
        let long = secret.len() >= Keys::LEAST;
        long.then(|| Keys(vec![(id, hmac::Key::new(hmac::HMAC_SHA256, secret))]))
    }

    pub fn ids(&self) -> impl Iterator<Item = u8> + '_ {
        self.0.iter().map(|(id, _)| *id)
    }

    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        let (id, key) = &self.0[0];
        let mut bytes = Vec::with_capacity(body.len() + AROUND);
        bytes.extend(MARK);
        bytes.push(*id);
        bytes.extend(body);
        let seal = hmac::sign(key, &bytes);
        bytes.extend(&seal.as_ref()[..SEAL]);
        bytes
    }

    /// The body, if the seal is that of a key that is accepted.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        if !(AROUND..=MOST_BYTES).contains(&bytes.len()) || !bytes.starts_with(&MARK) {
            return None;
        }
        let (_, key) = self.0.iter().find(|(id, _)| *id == bytes[MARK.len()])?;
        let (text, seal) = bytes.split_at(bytes.len() - SEAL);
        // Compared in a time that does not depend on where it is wrong.
        let right = hmac::sign(key, text);
        let differs = seal
            .iter()
            .zip(right.as_ref())
            .fold(0, |d, (a, b)| d | (a ^ b));
        (differs == 0).then_some(&text[MARK.len() + 1..])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
    const B: &str = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";

    fn keys(text: &str) -> Keys {
        Keys::read(text.as_bytes()).expect("keys")
    }

    #[test]
    fn a_key_is_replaced_in_three_steps_and_all_hear_each_other_throughout() {
        let steps = [
            format!("1 {A}"),
            format!("1 {A}\n2 {B}\n"),
            format!("2 {B}\n1 {A}"),
            format!("2 {B}"),
        ];
        for step in steps.windows(2) {
            let (old, new) = (keys(&step[0]), keys(&step[1]));
            let sealed = old.seal(b"text");
            assert_eq!(new.open(&sealed), Some(&b"text"[..]), "{step:?}");
            assert_eq!(old.open(&new.seal(b"text")), Some(&b"text"[..]), "{step:?}");
        }
        assert_eq!(keys(&steps[3]).open(&keys(&steps[0]).seal(b"text")), None);
    }

    #[test]
    fn a_file_of_one_secret_is_as_before_and_what_is_wrong_is_told() {
        let plain = keys("a key of the lab's own, long enough for all\n");
        assert_eq!(plain.ids().collect::<Vec<_>>(), [0]);
        let wrong = |text: &str| Keys::read(text.as_bytes()).err().expect("it is wrong");
        assert!(wrong("short").contains("32"));
        assert!(wrong(&format!("1 {A}\n2 short")).contains("key 2"));
        assert!(wrong(&format!("1 {A}\n1 {B}")).contains("twice"));
        assert!(wrong(&format!("1 {A}\n2 {B}\n3 {A}")).contains("3 keys"));
    }

    #[test]
    fn nothing_opens_that_was_changed_anywhere() {
        let key = keys(&format!("7 {A}"));
        let good = key.seal(b"some text");
        for n in 0..good.len() {
            let mut bad = good.clone();
            bad[n] ^= 1 << (n % 8);
            assert_eq!(key.open(&bad), None, "byte {n}");
            assert_eq!(key.open(&good[..n]), None);
        }
        assert_eq!(key.open(&[good, vec![0; MOST_BYTES]].concat()), None);
    }
}
