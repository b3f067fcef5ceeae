//! The `[upgrade]` table.

use frosthatch_config_reader::{ConfigReader, TableReader};
use std::path::{Path, PathBuf};

/// Longest path of the socket: what a Unix socket's address holds, less what is added to it while the socket is made.
pub const MAX_SOCKET_PATH_BYTES: usize = 90;

/// The path of the hand-over socket.
pub(super) fn read(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
) -> Option<PathBuf> {
    let hint = format!("write a path of at most {MAX_SOCKET_PATH_BYTES} bytes");
    let path = table.required(reader, "socket", &hint, |value| {
        let path = folder.join(value.as_str().filter(|text| !text.is_empty())?);
        (path.as_os_str().len() <= MAX_SOCKET_PATH_BYTES).then_some(path)
    });
    table.finish(reader);
    path
}
