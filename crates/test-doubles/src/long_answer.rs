//! Long answers of HTTP/1.1 servers, written slowly in each framing.

use std::io::{self, Write};
use std::thread;
use std::time::Duration;

/// The byte that the body of a [`LongAnswer`] consists of. It occurs in no head that the gateway writes.
pub const BODY_BYTE: u8 = b'~';

/// Framing of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFraming {
    Length,
    Chunked,
    UntilClose,
}

impl AnswerFraming {
    pub const ALL: [AnswerFraming; 3] = [
        AnswerFraming::Length,
        AnswerFraming::Chunked,
        AnswerFraming::UntilClose,
    ];
}

/// An answer whose head is written at once, and whose body in parts of equal size.
#[derive(Clone, Copy, Debug)]
pub struct LongAnswer {
    pub framing: AnswerFraming,
    pub parts: usize,
    pub part_bytes: usize,
    /// Time from the head to the first part.
    pub first_pause: Duration,
    /// Time from one part to the next.
    pub pause: Duration,
    /// Number of parts after which the server stays silent, with the connection open.
    pub stalls_after: Option<usize>,
}

impl LongAnswer {
    /// Creates an answer of `parts` parts that follow each other without a pause.
    pub fn new(framing: AnswerFraming, parts: usize, part_bytes: usize) -> LongAnswer {
        LongAnswer {
            framing,
            parts,
            part_bytes,
            first_pause: Duration::ZERO,
            pause: Duration::ZERO,
            stalls_after: None,
        }
    }

    /// Returns the length of the whole body in bytes.
    pub fn body_bytes(&self) -> usize {
        self.parts * self.part_bytes
    }

    /// Writes the answer. Returns whether the connection stays open.
    pub(crate) fn write_to(&self, to: &mut impl Write) -> io::Result<bool> {
        to.write_all(self.head().as_bytes())?;
        thread::sleep(self.first_pause);
        let part = self.encoded_part();
        for number in 0..self.parts {
            if self.stalls_after == Some(number) {
                thread::sleep(crate::http::TIMEOUT);
            }
            to.write_all(&part)?;
            thread::sleep(self.pause);
        }
        if self.framing == AnswerFraming::Chunked {
            to.write_all(b"0\r\n\r\n")?;
        }
        Ok(self.framing != AnswerFraming::UntilClose)
    }

    fn head(&self) -> String {
        let header = match self.framing {
            AnswerFraming::Length => format!("Content-Length: {}", self.body_bytes()),
            AnswerFraming::Chunked => "Transfer-Encoding: chunked".into(),
            AnswerFraming::UntilClose => "Connection: close".into(),
        };
        format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n")
    }

    fn encoded_part(&self) -> Vec<u8> {
        let part = vec![BODY_BYTE; self.part_bytes];
        if self.framing == AnswerFraming::Chunked {
            let size_line = format!("{:x}\r\n", part.len());
            [size_line.as_bytes(), &part, b"\r\n"].concat()
        } else {
            part
        }
    }
}
