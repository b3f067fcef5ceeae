use super::{DocumentPart, DocumentStore, MAX_DOCUMENTS, MAX_PARTIAL_DOCUMENTS, PART_BYTES};

#[test]
fn parts_in_any_order_make_a_complete_document() {
    let text: String = (0..3_000)
        .map(|n| char::from(b'a' + (n % 26) as u8))
        .collect();
    let mut sender = DocumentStore::default();
    let mut receiver = DocumentStore::default();
    let digest = sender.insert(&text);
    assert_eq!(receiver.missing_offsets(&digest), [0]);
    let mut is_complete = false;
    for _ in 0..3 {
        let mut offsets = receiver.missing_offsets(&digest);
        offsets.reverse();
        for offset in offsets {
            let part = sender
                .read_part(&digest, offset)
                .expect("the sender stores the complete document");
            is_complete |= receiver.add_part(part);
        }
    }
    assert!(
        is_complete
            && receiver.get(&digest) == Some(text.as_str())
            && receiver.missing_offsets(&digest).is_empty()
    );
}

#[test]
fn a_document_that_does_not_match_its_digest_is_requested_again() {
    let mut sender = DocumentStore::default();
    let mut receiver = DocumentStore::default();
    let digest = sender.insert("version = 1");
    receiver.missing_offsets(&digest);
    let part = |offset: u32, total_bytes: u32, bytes: &[u8]| DocumentPart {
        digest,
        offset,
        total_bytes,
        bytes: bytes.to_vec(),
    };
    assert!(!receiver.add_part(part(0, 11, b"version = 2")));
    assert!(!receiver.contains(&digest));
    assert_eq!(receiver.missing_offsets(&digest), [0]);
    for (offset, total_bytes, part_bytes) in [
        (1, 11, 10),
        (0, 11, 5),
        (0, 1 << 30, PART_BYTES),
        (800, 11, 3),
    ] {
        assert!(
            !receiver.add_part(part(offset, total_bytes, &vec![b'x'; part_bytes])),
            "{offset} {total_bytes} {part_bytes}"
        );
    }
    assert!(receiver.add_part(part(0, 11, b"version = 1")));
}

#[test]
fn the_number_of_stored_documents_is_bounded() {
    let mut store = DocumentStore::default();
    let recently_used = store.insert("first");
    for n in 0..MAX_DOCUMENTS {
        store.get(&recently_used);
        store.insert(&n.to_string());
        store.missing_offsets(&[n as u8 + 1; 32]);
    }
    assert!(
        store.contains(&recently_used),
        "the most recently used document is not evicted"
    );
    assert!(store.complete.len() <= MAX_DOCUMENTS && store.partial.len() <= MAX_PARTIAL_DOCUMENTS);
}
