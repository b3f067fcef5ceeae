//! Control of the preload library that injects faults into system calls: errors, delays, short transfers, an offset
//! of the wall clock.

pub use frosthatch_fault_controls::Fault;
use frosthatch_fault_controls::WORDS;
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// File name of the library.
const LIBRARY_FILE_NAME: &str = "libfrosthatch_fault_injection.so";

/// Control file for the faults of one process, or of several that share it. No fault is set at first.
pub struct Shim {
    path: PathBuf,
    file: File,
}

/// Next number for a control file.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Shim {
    /// Creates a control file.
    ///
    /// # Panics
    /// If the file cannot be written.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Shim {
        let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
        let name = format!("frosthatch-shim-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let options = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .clone();
        let file = options
            .open(&path)
            .expect("the temporary directory is writable");
        file.write_all_at(&[0; WORDS * 8], 0)
            .expect("the control file is writable");
        Shim { path, file }
    }

    /// Sets the value of a fault, in the unit that [`Fault`] states; 0 removes the fault.
    pub fn set(&self, fault: Fault, value: i64) {
        self.file
            .write_all_at(&value.to_ne_bytes(), fault as u64 * 8)
            .expect("the control file is writable");
    }

    /// Sets the environment of a command so that its process loads the library with this control file.
    ///
    /// # Panics
    /// If the library cannot be built and was not built before.
    pub fn preload<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        command
            .env("LD_PRELOAD", library())
            .env("FAULTSHIM_CONTROL", &self.path)
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Returns the path of the library. The first call builds it in the profile of the running executable.
fn library() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let mut command = Command::new(cargo);
        command
            .args([
                "build",
                "--quiet",
                "--locked",
                "--package",
                "frosthatch-fault-injection",
            ])
            .current_dir(root);
        if !cfg!(debug_assertions) {
            command.arg("--release");
        }
        let build_succeeded = command.status().is_ok_and(|status| status.success());
        let executable = std::env::current_exe().expect("the running executable has a path");
        let existing = executable
            .ancestors()
            .skip(1)
            .map(|directory| directory.join(LIBRARY_FILE_NAME))
            .find(|path| path.is_file());
        assert!(
            build_succeeded || existing.is_some(),
            "the preload library is built or was built before"
        );
        existing.expect("the preload library is in the target directory of the running executable")
    })
}
