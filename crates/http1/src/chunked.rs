//! Bodies in chunks (RFC 9112 section 7.1), taken apart as they come. No I/O.

use httparse::Status;

/// A chunk's size with its extensions, or the trailer section, is no longer than this.
const LINE_BYTES: usize = 4 << 10;
const TRAILER_BYTES: usize = 16 << 10;
/// What stands around the chunks is no more than this, or four times what is in them.
const AROUND_BYTES: usize = 256 << 10;

#[derive(Debug, Default, PartialEq)]
enum At {
    #[default]
    Size,
    /// So many bytes of a chunk are still to come, then its end.
    Data(usize),
    DataEnd,
    Trailer,
    Done,
}

#[derive(Debug, Default)]
pub struct Chunked {
    at: At,
    around: usize,
    inside: usize,
}

/// Why a body is no body.
#[derive(Debug, PartialEq)]
pub struct Spoilt(pub &'static str);

impl Chunked {
    /// Moves what stands in chunks at the start of `from` behind `into`, as far as it has come; whether that was all.
    /// What belongs to no chunk is left in `from`.
    pub fn take(&mut self, from: &mut Vec<u8>, into: &mut Vec<u8>) -> Result<bool, Spoilt> {
        let mut used = 0;
        let whole = self.walk(from, &mut used, into);
        from.drain(..used);
        if self.around > AROUND_BYTES.max(4 * self.inside) {
            return Err(Spoilt("too much around its chunks"));
        }
        whole
    }

    fn walk(&mut self, from: &[u8], used: &mut usize, into: &mut Vec<u8>) -> Result<bool, Spoilt> {
        loop {
            let rest = &from[*used..];
            match self.at {
                At::Size => match httparse::parse_chunk_size(rest)
                    .map_err(|_| Spoilt("a chunk's size"))?
                {
                    Status::Complete((line, size)) => {
                        (*used, self.around) = (*used + line, self.around + line);
                        let size = usize::try_from(size).map_err(|_| Spoilt("a chunk's size"))?;
                        self.at = if size == 0 {
                            At::Trailer
                        } else {
                            At::Data(size)
                        };
                    }
                    Status::Partial if rest.len() > LINE_BYTES => {
                        return Err(Spoilt("a chunk's size"))
                    }
                    Status::Partial => return Ok(false),
                },
                At::Data(left) => {
                    let n = left.min(rest.len());
                    into.extend_from_slice(&rest[..n]);
                    (*used, self.inside) = (*used + n, self.inside + n);
                    self.at = if n == left {
                        At::DataEnd
                    } else {
                        At::Data(left - n)
                    };
                    if n < left {
                        return Ok(false);
                    }
                }
                At::DataEnd => {
                    if rest.len() < 2 {
                        return Ok(false);
                    }
                    if &rest[..2] != b"\r\n" {
                        return Err(Spoilt("a chunk's end"));
                    }
                    (*used, self.around, self.at) = (*used + 2, self.around + 2, At::Size);
                }
                // Fields that come behind are nobody's here; they end with an empty line.
                At::Trailer => match rest.windows(2).position(|w| w == b"\r\n") {
                    Some(end) => {
                        let line = &rest[..end];
                        let field = line.is_empty()
                            || line
                                .iter()
                                .position(|&b| b == b':')
                                .is_some_and(|at| at > 0);
                        if !field || line.contains(&b'\n') {
                            return Err(Spoilt("its trailer"));
                        }
                        self.around += end + 2;
                        *used += end + 2;
                        if line.is_empty() {
                            self.at = At::Done;
                        }
                    }
                    None if rest.len() > TRAILER_BYTES => return Err(Spoilt("its trailer")),
                    None => return Ok(false),
                },
                At::Done => return Ok(true),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(text: &[u8], step: usize) -> Result<(Vec<u8>, Vec<u8>, bool), Spoilt> {
        let (mut chunked, mut from, mut into, mut whole) =
            (Chunked::default(), Vec::new(), Vec::new(), false);
        for part in text.chunks(step) {
            from.extend_from_slice(part);
            whole = chunked.take(&mut from, &mut into)?;
        }
        Ok((into, from, whole))
    }

    #[test]
    fn chunks_extensions_and_trailers_are_taken_apart_however_they_are_cut() {
        let text = b"4;a=b\r\nabcd\r\n0A\r\n0123456789\r\n0\r\nX-Sum: 1\r\nY:\r\n\r\nGET";
        for step in 1..text.len() {
            let (body, behind, whole) = all(text, step).expect("in order");
            assert_eq!(
                (&body[..], &behind[..], whole),
                (&b"abcd0123456789"[..], &b"GET"[..], true),
                "{step}"
            );
        }
        assert!(!all(b"4\r\nabcd\r\n", 3).expect("in order").2);
    }

    #[test]
    fn what_is_no_chunk_is_told() {
        let long = [b"1;".to_vec(), vec![b'x'; LINE_BYTES + 10]].concat();
        for text in [
            &b"x\r\n"[..],
            b"4\r\nabcdX\r\n",
            b"-1\r\n",
            b"0\r\nno field\r\n\r\n",
            b"fffffffffffffffff\r\n",
            &long,
        ] {
            assert!(all(text, 7).is_err(), "{:?}", String::from_utf8_lossy(text));
        }
        let dust: Vec<u8> = std::iter::repeat_n(&b"1;abcdefghijklmnopqrstuvw\r\nx\r\n"[..], 20_000)
            .flatten()
            .copied()
            .collect();
        assert_eq!(
            all(&dust, 4_096).map(|_| ()),
            Err(Spoilt("too much around its chunks"))
        );
    }
}
