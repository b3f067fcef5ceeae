//! Reads the `[upgrade]` table.

use frosthatch_config_reader::{ConfigReader, TableReader};
use std::path::{Path, PathBuf};

/// Maximum length of the socket's path: what a Unix socket address holds, less the suffix of the temporary name
/// under which the socket is created.
pub const MAX_SOCKET_PATH_BYTES: usize = 90;

/// Reads the path of the hand-over socket.
pub(super) fn read(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
) -> Option<PathBuf> {
    let hint = format!("write a path of at most {MAX_SOCKET_PATH_BYTES} bytes");
    let path = table.read_required(reader, "socket", &hint, |value| {
        let path = folder.join(value.as_str().filter(|text| !text.is_empty())?);
        (path.as_os_str().len() <= MAX_SOCKET_PATH_BYTES).then_some(path)
    });
    table.finish(reader);
    path
}
