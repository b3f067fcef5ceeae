//! What the two processes say, and the form in which they say it.

use serde::{Deserialize, Serialize};

/// Another major version is not understood; a minor one adds fields and messages that older ones skip.
pub const VERSION: Version = Version { major: 1, minor: 0 };
/// A message is no longer than this.
pub const MOST_BYTES: usize = 1 << 20;
/// Length and checksum ahead of each message, four bytes each, big-endian.
pub const HEADER_BYTES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub major: u16,
    pub minor: u16,
}

/// An operator's mark on a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    pub server: String,
    /// When it was taken out, Unix time in milliseconds.
    pub out_ms: u64,
    /// When it was put back; none: it is out.
    pub back_ms: Option<u64>,
}

/// What the new process knows from the old one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    pub marks: Vec<Mark>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// New to old.
    Hello { version: Version, pid: u32 },
    /// Old to new; the listeners come along, in this order.
    Welcome {
        version: Version,
        listeners: Vec<String>,
        state: State,
    },
    /// Old to new: not now, or not this one.
    Refused { why: String },
    /// New to old: it accepts.
    Ready,
    /// Old to new: it does not accept any more.
    Yours,
    /// Either way.
    Marked(Mark),
    /// Of a later minor version.
    #[serde(other)]
    Unknown,
}

#[derive(Debug, PartialEq)]
pub enum Broken {
    TooLong(usize),
    Checksum,
    Malformed(String),
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Broken::TooLong(n) => write!(f, "a message of {n} bytes, of {MOST_BYTES} at most"),
            Broken::Checksum => write!(f, "a message whose checksum is wrong"),
            Broken::Malformed(e) => write!(f, "a message that cannot be read: {e}"),
        }
    }
}

impl Message {
    /// As it is sent.
    pub fn framed(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut framed = Vec::with_capacity(HEADER_BYTES + body.len());
        framed.extend((body.len() as u32).to_be_bytes());
        framed.extend(crc32fast::hash(&body).to_be_bytes());
        framed.extend(body);
        framed
    }
}

/// Takes the first message off what has come; none while it is not whole.
pub fn take(buffer: &mut Vec<u8>) -> Result<Option<Message>, Broken> {
    let word = |at: usize| {
        buffer
            .get(at..at + 4)?
            .try_into()
            .ok()
            .map(u32::from_be_bytes)
    };
    let (Some(length), Some(sum)) = (word(0), word(4)) else {
        return Ok(None);
    };
    let length = length as usize;
    if length > MOST_BYTES {
        return Err(Broken::TooLong(length));
    }
    let Some(body) = buffer.get(HEADER_BYTES..HEADER_BYTES + length) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != sum {
        return Err(Broken::Checksum);
    }
    let message = serde_json::from_slice(body).or_else(|e| {
        // A message of a later version that carries something is none of ours to read.
        let named = serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(body);
        let known = ["Hello", "Welcome", "Refused", "Marked"];
        match named {
            Ok(map) if map.len() == 1 && !map.keys().any(|k| known.contains(&k.as_str())) => {
                Ok(Message::Unknown)
            }
            _ => Err(Broken::Malformed(e.to_string())),
        }
    })?;
    buffer.drain(..HEADER_BYTES + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn raw(body: &[u8]) -> Vec<u8> {
        let mut framed = (body.len() as u32).to_be_bytes().to_vec();
        framed.extend(crc32fast::hash(body).to_be_bytes());
        framed.extend(body);
        framed
    }

    #[test]
    fn messages_come_out_as_they_went_in_however_they_are_cut() {
        let mark = Mark {
            server: "s-1".into(),
            out_ms: 5,
            back_ms: None,
        };
        let state = State {
            marks: vec![mark.clone()],
        };
        let all = [
            Message::Hello {
                version: VERSION,
                pid: 7,
            },
            Message::Welcome {
                version: VERSION,
                listeners: vec!["clients".into()],
                state,
            },
            Message::Ready,
            Message::Marked(mark),
        ];
        let bytes: Vec<u8> = all.iter().flat_map(Message::framed).collect();
        let (mut buffer, mut read) = (Vec::new(), Vec::new());
        for byte in bytes {
            buffer.push(byte);
            read.extend(take(&mut buffer).expect("in order"));
        }
        assert_eq!(read, all);
    }

    #[test]
    fn what_a_later_minor_version_says_is_skipped() {
        for later in [&br#""Later""#[..], br#"{"Later":{"x":1}}"#] {
            assert_eq!(take(&mut raw(later)), Ok(Some(Message::Unknown)));
        }
        let more =
            br#"{"Welcome":{"version":{"major":1,"minor":9,"x":0},"listeners":[],"state":{"new":[1]}}}"#;
        let read = take(&mut raw(more)).expect("in order");
        assert!(matches!(read, Some(Message::Welcome { state, .. }) if state == State::default()));
        assert!(matches!(
            take(&mut raw(br#"{"Hello":{}}"#)),
            Err(Broken::Malformed(_))
        ));
    }

    proptest! {
        /// A flipped bit is never taken for a message, and nothing panics.
        #[test]
        fn a_flipped_bit_is_told(bit in 0usize..400) {
            let mut bytes = Message::Hello { version: VERSION, pid: 1234 }.framed();
            let bit = bit % (bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
            prop_assert!(!matches!(take(&mut bytes), Ok(Some(_))));
        }

        #[test]
        fn noise_never_panics(noise in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = take(&mut noise.clone());
            let _ = take(&mut raw(&noise));
        }
    }
}
