//! The preload library that makes system calls fail, as a test controls it.

pub use frosthatch_fault_controls::Fault;
use frosthatch_fault_controls::WORDS;
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The library's file.
const LIBRARY: &str = "libfrosthatch_fault_injection.so";

/// All faults of one process, or of several that share them. None is set at first.
pub struct Shim {
    path: PathBuf,
    file: File,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

impl Shim {
    /// # Panics
    /// If the library cannot be built or no file be written.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Shim {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let name = format!("frosthatch-shim-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let options = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .clone();
        let file = options.open(&path).expect("a control file");
        file.write_all_at(&[0; WORDS * 8], 0)
            .expect("a control file");
        Shim { path, file }
    }

    /// Sets a fault from now on.
    pub fn set(&self, fault: Fault, value: i64) {
        self.file
            .write_all_at(&value.to_ne_bytes(), fault as u64 * 8)
            .expect("the control file is written");
    }

    /// Makes a process that is about to start one that hears of these faults.
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

/// The library, built in the profile of whatever runs this; built once.
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
        let built = command.status().is_ok_and(|status| status.success());
        let here = std::env::current_exe().expect("a path of one's own");
        let beside = here
            .ancestors()
            .skip(1)
            .map(|folder| folder.join(LIBRARY))
            .find(|path| path.is_file());
        assert!(built || beside.is_some(), "the preload library is built");
        beside.expect("the preload library stands beside its users")
    })
}
