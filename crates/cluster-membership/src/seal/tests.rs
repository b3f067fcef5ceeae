use super::{Keys, MAX_DATAGRAM_BYTES};

const SECRET_A: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
const SECRET_B: &str = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";

fn keys(text: &str) -> Keys {
    Keys::parse(text.as_bytes()).expect("the key file is valid")
}

#[test]
fn members_open_each_others_datagrams_throughout_the_three_steps_of_a_key_rotation() {
    let steps = [
        format!("1 {SECRET_A}"),
        format!("1 {SECRET_A}\n2 {SECRET_B}\n"),
        format!("2 {SECRET_B}\n1 {SECRET_A}"),
        format!("2 {SECRET_B}"),
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
fn a_single_secret_gets_the_id_0_and_errors_name_the_key() {
    let plain = keys("a key of the lab's own, long enough for all\n");
    assert_eq!(plain.ids().collect::<Vec<_>>(), [0]);
    let error = |text: &str| {
        let error = Keys::parse(text.as_bytes())
            .err()
            .expect("the key file is invalid");
        error.to_string()
    };
    assert!(error("short").contains("32"));
    assert!(error(&format!("1 {SECRET_A}\n2 short")).contains("key 2"));
    assert!(error(&format!("1 {SECRET_A}\n1 {SECRET_B}")).contains("twice"));
    assert!(error(&format!("1 {SECRET_A}\n2 {SECRET_B}\n3 {SECRET_A}")).contains("3 keys"));
}

#[test]
fn a_datagram_changed_at_any_byte_does_not_open() {
    let key = keys(&format!("7 {SECRET_A}"));
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
