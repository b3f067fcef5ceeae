use super::{Keys, MAX_DATAGRAM_BYTES};

const A: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
const B: &str = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";

fn keys(text: &str) -> Keys {
    Keys::parse(text.as_bytes()).expect("keys")
}

#[test]
fn members_open_each_other_throughout_the_three_steps_of_a_key_rotation() {
    let steps = [
        format!("1 {A}"),
        format!("1 {A}\n2 {B}\n"),
        format!("2 {B}\n1 {A}"),
        format!("2 {B}"),
    ];
    for step in steps.windows(2) {
        let old = keys(&step[0]);
        let new = keys(&step[1]);
        let sealed = old.seal(b"text");
        assert_eq!(new.open(&sealed), Some(&b"text"[..]), "{step:?}");
        assert_eq!(old.open(&new.seal(b"text")), Some(&b"text"[..]), "{step:?}");
    }
    assert_eq!(keys(&steps[3]).open(&keys(&steps[0]).seal(b"text")), None);
}

#[test]
fn a_file_of_one_secret_has_the_id_0_and_errors_name_the_key() {
    let plain = keys("a key of the lab's own, long enough for all\n");
    assert_eq!(plain.ids().collect::<Vec<_>>(), [0]);
    let error = |text: &str| {
        let error = Keys::parse(text.as_bytes()).err().expect("it is wrong");
        error.to_string()
    };
    assert!(error("short").contains("32"));
    assert!(error(&format!("1 {A}\n2 short")).contains("key 2"));
    assert!(error(&format!("1 {A}\n1 {B}")).contains("twice"));
    assert!(error(&format!("1 {A}\n2 {B}\n3 {A}")).contains("3 keys"));
}

#[test]
fn a_datagram_changed_at_any_byte_does_not_open() {
    let key = keys(&format!("7 {A}"));
    let sealed = key.seal(b"some text");
    for n in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[n] ^= 1 << (n % 8);
        assert_eq!(key.open(&changed), None, "byte {n}");
        assert_eq!(key.open(&sealed[..n]), None);
    }
    let too_long = [sealed, vec![0; MAX_DATAGRAM_BYTES]].concat();
    assert_eq!(key.open(&too_long), None);
}
