//! I/O on the directory of an acceptor's record files. The format of the files and the choice of the valid one are in
//! [`record`](crate::record).

use crate::record::{
    file_name, parse_file_name, read_latest, AcceptorRecord, RecordFile, MAX_FILE_BYTES,
    MAX_KEPT_STATES,
};
use std::fmt::Display;
use std::fs::{self, File, TryLockError};
use std::io::{Read, Result as IoResult, Write};
use std::path::{Path, PathBuf};

/// An acceptor's directory, which is locked against use by other processes.
pub struct StateDirectory {
    path: PathBuf,
    /// The lock file, locked while the handle exists, so that no two processes write to the directory; `None` if
    /// another handle of this process holds the lock.
    _lock: Option<File>,
}

impl StateDirectory {
    /// Opens and locks a directory.
    ///
    /// # Errors
    /// Returns an error if the directory is not writable or another process holds the lock.
    pub fn open(path: &Path) -> Result<StateDirectory, String> {
        let lock = File::create(path.join("lock")).map_err(|e| error_at(path, e))?;
        match lock.try_lock() {
            Ok(()) => Ok(StateDirectory {
                path: path.into(),
                _lock: Some(lock),
            }),
            Err(TryLockError::WouldBlock) => Err(format!(
                "{}: the folder is in use by another process",
                path.display()
            )),
            Err(TryLockError::Error(e)) => Err(error_at(path, e)),
        }
    }

    /// Returns another handle of the same directory, for a thread of the process that holds the lock. The handle
    /// itself holds no lock.
    pub fn unlocked_handle(&self) -> StateDirectory {
        StateDirectory {
            path: self.path.clone(),
            _lock: None,
        }
    }

    /// Reads the acceptor's latest record.
    ///
    /// # Errors
    /// Returns an error if the files cannot be read or the acceptor cannot start from them.
    pub fn read(&self, acceptor: &str) -> Result<AcceptorRecord, String> {
        let files = self.read_files().map_err(|e| error_at(&self.path, e))?;
        read_latest(acceptor, &files).map_err(|e| error_at(&self.path, e))
    }

    /// Writes the first record of a new acceptor; with `replaces`, of an acceptor that joins to replace a lost one.
    ///
    /// # Errors
    /// Returns an error if the directory holds a record already or the record cannot be written.
    pub fn init(&self, acceptor: &str, replaces: bool) -> Result<(), String> {
        let states = self.states().map_err(|e| error_at(&self.path, e))?;
        if !states.is_empty() {
            let message = "there is a state already; nothing is changed";
            return Err(error_at(&self.path, message));
        }
        let first = if replaces {
            AcceptorRecord::joining(acceptor)
        } else {
            AcceptorRecord::initial(acceptor)
        };
        self.write(&first).map_err(|e| error_at(&self.path, e))
    }

    /// Writes a record durably, and removes the records beyond the last [`MAX_KEPT_STATES`].
    ///
    /// # Errors
    /// Returns an error if writing failed; it is then unknown whether the record is on disk.
    pub fn write(&self, record: &AcceptorRecord) -> Result<(), String> {
        self.write_and_sync(record).map_err(|e| e.to_string())?;
        for state in self.states().unwrap_or_default() {
            if state + MAX_KEPT_STATES <= record.state {
                // A failure is ignored: an old file does no harm, because only the latest one is read.
                let _ = fs::remove_file(self.path.join(file_name(state)));
            }
        }
        Ok(())
    }

    /// Writes a record to a temporary file, syncs it, renames it to its final name and syncs the directory.
    fn write_and_sync(&self, record: &AcceptorRecord) -> IoResult<()> {
        let temporary_path = self.path.join("new");
        let final_path = self.path.join(file_name(record.state));
        let mut file = File::create(&temporary_path)?;
        file.write_all(&record.write())?;
        file.sync_all()?;
        fs::rename(&temporary_path, &final_path)?;
        File::open(&self.path)?.sync_all()
    }

    /// Lists the numbers of the states that have a file, in ascending order.
    fn states(&self) -> IoResult<Vec<u64>> {
        let mut states = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            states.extend(entry?.file_name().to_str().and_then(parse_file_name));
        }
        states.sort_unstable();
        Ok(states)
    }

    fn read_files(&self) -> IoResult<Vec<RecordFile>> {
        let mut files = Vec::new();
        for state in self.states()? {
            let mut bytes = Vec::new();
            File::open(self.path.join(file_name(state)))?
                .take(MAX_FILE_BYTES as u64 + 1)
                .read_to_end(&mut bytes)?;
            files.push(RecordFile { state, bytes });
        }
        Ok(files)
    }
}

/// Formats an error in the directory `path` for operators.
fn error_at(path: &Path, message: impl Display) -> String {
    format!("{}: {message}", path.display())
}

#[cfg(test)]
mod tests;
