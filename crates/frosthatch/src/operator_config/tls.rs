//! Reads a `[….tls]` table: the files for mutual TLS.

use crate::tls::TlsFiles;
use frosthatch_config_reader::{ConfigReader, TableReader};
use std::path::Path;
use toml::de::DeValue;

const FILE_HINT: &str = "name a PEM file";

/// Reads the table and loads its files; returns `None` if a key is missing or invalid or the files cannot be used.
pub(super) fn read(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
) -> Option<TlsFiles> {
    let span = table.span.clone();
    let file = |value: &DeValue| Some(folder.join(value.as_str()?));
    let certificate = table.read_required(reader, "certificate", FILE_HINT, file);
    let key = table.read_required(reader, "key", FILE_HINT, file);
    let trust_anchor = table.read_required(reader, "trust_anchor", FILE_HINT, file);
    let server_name = table.read_required(
        reader,
        "server_name",
        "write the name in the servers' certificates",
        |value| value.as_str().map(String::from),
    );
    table.finish(reader);
    let files = TlsFiles {
        certificate: certificate?,
        key: key?,
        trust_anchor: trust_anchor?,
        server_name: server_name?,
    };
    if let Err(error) = files.load() {
        reader.report(span, error.to_string(), "name files that belong together");
        return None;
    }
    Some(files)
}
