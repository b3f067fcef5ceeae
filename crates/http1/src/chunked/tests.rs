use super::{ChunkedDecoder, MAX_SIZE_LINE_BYTES};
use crate::error::MessageError;

/// Decodes `text`, fed in parts of `part_bytes`. Returns the body, the undecoded bytes, and whether the body is
/// complete.
fn decode_in_parts(
    text: &[u8],
    part_bytes: usize,
) -> Result<(Vec<u8>, Vec<u8>, bool), MessageError> {
    let mut decoder = ChunkedDecoder::default();
    let mut undecoded = Vec::new();
    let mut body = Vec::new();
    let mut is_complete = false;
    for part in text.chunks(part_bytes) {
        undecoded.extend_from_slice(part);
        is_complete = decoder.decode(&mut undecoded, &mut body)?;
    }
    Ok((body, undecoded, is_complete))
}

#[test]
fn chunks_extensions_and_trailers_are_decoded_at_any_split() {
    let text = b"4;a=b\r\nabcd\r\n0A\r\n0123456789\r\n0\r\nX-Sum: 1\r\nY:\r\n\r\nGET";
    for step in 1..text.len() {
        let (body, undecoded, is_complete) =
            decode_in_parts(text, step).expect("the chunked body is valid");
        assert_eq!(
            (&body[..], &undecoded[..], is_complete),
            (&b"abcd0123456789"[..], &b"GET"[..], true),
            "the body is decoded in parts of {step} bytes"
        );
    }
    let without_last_chunk = decode_in_parts(b"4\r\nabcd\r\n", 3).expect("the chunk is valid");
    assert!(!without_last_chunk.2);
}

#[test]
fn malformed_chunks_and_excessive_overhead_are_errors() {
    let long = [b"1;".to_vec(), vec![b'x'; MAX_SIZE_LINE_BYTES + 10]].concat();
    for text in [
        &b"x\r\n"[..],
        b"4\r\nabcdX\r\n",
        b"-1\r\n",
        b"0\r\nno field\r\n\r\n",
        b"fffffffffffffffff\r\n",
        &long,
    ] {
        assert!(
            decode_in_parts(text, 7).is_err(),
            "decoding {:?} fails",
            String::from_utf8_lossy(text)
        );
    }
    let tiny_chunks: Vec<u8> =
        std::iter::repeat_n(&b"1;abcdefghijklmnopqrstuvw\r\nx\r\n"[..], 20_000)
            .flatten()
            .copied()
            .collect();
    assert_eq!(
        decode_in_parts(&tiny_chunks, 4_096)
            .map(|_| ())
            .map_err(|error| error.to_string()),
        Err("chunk overhead exceeds both 256 KiB and 4 times the data".to_string())
    );
}
