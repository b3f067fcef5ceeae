//! A keeper's folder: thin; what is in the files and which one counts is in [`record`](crate::record).

use crate::record::{choose, file_name, state_of, AcceptorRecord, KEPT, MOST_BYTES};
use std::fs::{self, File, TryLockError};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

pub struct StateDirectory {
    path: PathBuf,
    /// Held as long as the folder is used: two processes under one name do not both write there. None: another part of this
    /// process holds it.
    _lock: Option<File>,
}

impl StateDirectory {
    /// Locks a folder.
    ///
    /// # Errors
    /// It cannot be read or written, or another process uses it.
    pub fn open(path: &Path) -> Result<StateDirectory, String> {
        let wrong = |e: std::io::Error| format!("{}: {e}", path.display());
        let lock = File::create(path.join("lock")).map_err(wrong)?;
        match lock.try_lock() {
            Ok(()) => Ok(StateDirectory {
                path: path.into(),
                _lock: Some(lock),
            }),
            Err(TryLockError::WouldBlock) => {
                Err(format!("{}: another process uses it", path.display()))
            }
            Err(TryLockError::Error(e)) => Err(wrong(e)),
        }
    }

    /// The same folder for another thread of the process that holds its lock.
    pub fn attached(&self) -> StateDirectory {
        StateDirectory {
            path: self.path.clone(),
            _lock: None,
        }
    }

    fn states(&self) -> std::io::Result<Vec<u64>> {
        let mut all = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            all.extend(entry?.file_name().to_str().and_then(state_of));
        }
        all.sort_unstable();
        Ok(all)
    }

    /// What the keeper starts from.
    ///
    /// # Errors
    /// It cannot start from what is there.
    pub fn read(&self, keeper: &str) -> Result<AcceptorRecord, String> {
        let wrong = |e: String| format!("{}: {e}", self.path.display());
        let mut files = Vec::new();
        for state in self.states().map_err(|e| wrong(e.to_string()))? {
            let mut bytes = Vec::new();
            let file =
                File::open(self.path.join(file_name(state))).map_err(|e| wrong(e.to_string()))?;
            file.take(MOST_BYTES as u64 + 1)
                .read_to_end(&mut bytes)
                .map_err(|e| wrong(e.to_string()))?;
            files.push((state, bytes));
        }
        choose(keeper, &files).map_err(wrong)
    }

    /// Makes a new keeper's first state; `replaces`: it takes the place of one that is gone for good.
    ///
    /// # Errors
    /// Something is there already, or it cannot be written.
    pub fn init(&self, keeper: &str, replaces: bool) -> Result<(), String> {
        let wrong = |e: String| format!("{}: {e}", self.path.display());
        if !self.states().map_err(|e| wrong(e.to_string()))?.is_empty() {
            return Err(wrong("there is a state already; nothing is changed".into()));
        }
        let first = if replaces {
            AcceptorRecord::joining(keeper)
        } else {
            AcceptorRecord::first(keeper)
        };
        self.write(&first).map_err(wrong)
    }

    /// Puts a state on disk: once this returns, no loss of power takes it away. Those before the last are dropped.
    ///
    /// # Errors
    /// It may be there or not.
    pub fn write(&self, record: &AcceptorRecord) -> Result<(), String> {
        let (new, name) = (
            self.path.join("new"),
            self.path.join(file_name(record.state)),
        );
        let put = || {
            let mut file = File::create(&new)?;
            file.write_all(&record.write())?;
            file.sync_all()?;
            fs::rename(&new, &name)?;
            File::open(&self.path)?.sync_all()
        };
        put().map_err(|e: std::io::Error| e.to_string())?;
        for old in self
            .states()
            .unwrap_or_default()
            .into_iter()
            .filter(|s| s + KEPT <= record.state)
        {
            // What stays is only in the way.
            let _ = fs::remove_file(self.path.join(file_name(old)));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Place(PathBuf);

    impl Place {
        fn new(name: &str) -> Place {
            let path = std::env::temp_dir()
                .join(format!("frosthatch-folder-{}-{name}", std::process::id()));
            fs::create_dir_all(&path).expect("a folder");
            Place(path)
        }
    }

    impl Drop for Place {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    #[test]
    fn states_are_kept_and_old_ones_dropped_and_one_process_uses_it() {
        let place = Place::new("kept");
        let folder = StateDirectory::open(&place.0).expect("it opens");
        assert!(folder.read("n1").is_err_and(|e| e.contains("policy init")));
        folder.init("n1", false).expect("it is made");
        assert!(folder
            .init("n1", false)
            .is_err_and(|e| e.contains("already")));
        for state in 2..6 {
            folder
                .write(&AcceptorRecord {
                    state,
                    ..AcceptorRecord::first("n1")
                })
                .expect("it is written");
        }
        assert_eq!(folder.read("n1").map(|r| r.state), Ok(5));
        assert_eq!(folder.states().expect("it is read"), [4, 5]);
        assert!(StateDirectory::open(&place.0).is_err_and(|e| e.contains("another process")));
        drop(folder);
        // A write that was cut off is not there; a file that was damaged is told.
        fs::write(place.0.join("new"), b"half").expect("it is written");
        let folder = StateDirectory::open(&place.0).expect("it opens");
        assert_eq!(folder.read("n1").map(|r| r.state), Ok(5));
        fs::write(place.0.join(file_name(5)), b"half").expect("it is written");
        assert!(folder.read("n1").is_err_and(|e| e.contains("not whole")));
    }

    #[test]
    fn what_cannot_be_written_is_told() {
        let place = Place::new("full");
        let folder = StateDirectory::open(&place.0).expect("it opens");
        // A folder in the way of the file, as a disk that takes no more.
        fs::create_dir(place.0.join("new")).expect("a folder");
        assert!(folder.write(&AcceptorRecord::first("n1")).is_err());
        assert!(StateDirectory::open(&place.0.join("nowhere")).is_err());
    }
}
