use super::uninterrupted;
use std::io;

#[test]
fn an_interrupted_call_is_repeated_and_another_error_is_returned() {
    let mut results = vec![
        Ok(7),
        Err(io::ErrorKind::Interrupted),
        Err(io::ErrorKind::Interrupted),
    ];
    assert!(uninterrupted(|| results
        .pop()
        .expect("only interrupted calls are repeated")
        .map_err(io::Error::from))
    .is_ok_and(|n| n == 7));
    let mut results = vec![
        Ok(7),
        Err(io::ErrorKind::WouldBlock),
        Err(io::ErrorKind::Interrupted),
    ];
    let result = uninterrupted(|| {
        results
            .pop()
            .expect("only interrupted calls are repeated")
            .map_err(io::Error::from)
    });
    assert!(result.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock));
}
