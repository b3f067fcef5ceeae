use super::StateDirectory;
use crate::record::{file_name, AcceptorRecord};
use std::fs;
use std::path::PathBuf;

struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> TempDirectory {
        let path =
            std::env::temp_dir().join(format!("frosthatch-folder-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary directory is writable");
        TempDirectory(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_last_two_states_are_kept_and_the_directory_is_locked() {
    let temp_directory = TempDirectory::new("kept");
    let state_directory =
        StateDirectory::open(&temp_directory.0).expect("the directory is not locked");
    assert!(state_directory
        .read("n1")
        .is_err_and(|e| e.contains("policy init")));
    state_directory
        .init("n1", false)
        .expect("the directory holds no record");
    assert!(state_directory
        .init("n1", false)
        .is_err_and(|e| e.contains("already")));
    for state in 2..6 {
        state_directory
            .write(&AcceptorRecord {
                state,
                ..AcceptorRecord::initial("n1")
            })
            .expect("the directory is writable");
    }
    assert_eq!(state_directory.read("n1").map(|r| r.state), Ok(5));
    assert_eq!(
        state_directory.states().expect("the directory is readable"),
        [4, 5]
    );
    assert!(StateDirectory::open(&temp_directory.0).is_err_and(|e| e.contains("another process")));
    drop(state_directory);
    // The temporary file of an unfinished write is ignored; a damaged record is an error.
    fs::write(temp_directory.0.join("new"), b"half").expect("the directory is writable");
    let state_directory =
        StateDirectory::open(&temp_directory.0).expect("the directory is not locked");
    assert_eq!(state_directory.read("n1").map(|r| r.state), Ok(5));
    fs::write(temp_directory.0.join(file_name(5)), b"half").expect("the directory is writable");
    assert!(state_directory
        .read("n1")
        .is_err_and(|e| e.contains("incomplete")));
}

#[test]
fn a_failed_write_is_an_error() {
    let temp_directory = TempDirectory::new("full");
    let state_directory =
        StateDirectory::open(&temp_directory.0).expect("the directory is not locked");
    // A directory in place of the temporary file makes writing fail, as a full disk would.
    fs::create_dir(temp_directory.0.join("new")).expect("the directory is writable");
    assert!(state_directory
        .write(&AcceptorRecord::initial("n1"))
        .is_err());
    assert!(StateDirectory::open(&temp_directory.0.join("nowhere")).is_err());
}
