//! The record of a case, the time since its start, and its verdict.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Opens the record that `RECORD` names, and ends the case with 2 if it is not done within `limit` or the file
/// that `STOP` names appears.
pub fn begin(limit: Duration) {
    START.set(Instant::now()).expect("a case begins once");
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    let file = File::create(&path).expect("the record can be written");
    FILE.set(Mutex::new(file)).expect("a case begins once");
    let folder = std::env::temp_dir().join(format!("frosthatch-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    FOLDER.set(folder).expect("a case begins once");
    std::thread::spawn(move || {
        let end = Instant::now() + limit;
        let stop = std::env::var("STOP").unwrap_or_default();
        while Instant::now() < end {
            if !stop.is_empty() && std::path::Path::new(&stop).exists() {
                finish(2, "the case was told to end");
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        finish(2, "the case did not end in time");
    });
}

/// Temporary folder of the case.
pub fn folder() -> PathBuf {
    FOLDER.get().expect("the case has begun").clone()
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

/// Milliseconds since the start.
pub fn now_ms() -> f64 {
    START
        .get()
        .expect("the case has begun")
        .elapsed()
        .as_secs_f64()
        * 1e3
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Writes a line to the record.
pub fn note(line: &str) {
    let mut file = FILE
        .get()
        .expect("the case has begun")
        .lock()
        .unwrap_or_else(|e| e.into_inner());
    let _ = writeln!(file, "{:10.1} {line}", now_ms());
}

/// A process that the case has to end.
pub fn add_child(pid: u32) {
    CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).push(pid);
}

pub fn remove_child(pid: u32) {
    CHILDREN
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .retain(|p| *p != pid);
}

/// Ends the processes of the case and the case itself.
pub fn finish(code: i32, verdict: &str) -> ! {
    let children: Vec<u32> = CHILDREN
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .drain(..)
        .collect();
    for pid in children {
        let _ = std::process::Command::new("kill")
            .arg("-KILL")
            .arg(pid.to_string())
            .status();
    }
    let word = match code {
        0 => "HELD",
        1 => "BROKEN",
        _ => "NOT RUN",
    };
    note(&format!("{word}: {verdict}"));
    println!("{word}: {verdict}");
    if let Some(folder) = FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}
