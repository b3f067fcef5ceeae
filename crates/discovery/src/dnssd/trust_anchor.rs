//! Loading of the root certificates that authenticate a push server.

use rustls::pki_types::{pem::PemObject, CertificateDer};
use rustls::RootCertStore;
use std::fmt::Display;
use std::path::Path;

/// Reads the root certificates that a push server's certificate chain must lead to, from a PEM file.
///
/// # Errors
/// Returns a message if the file cannot be read, a certificate is invalid, or the file contains none.
pub fn read_trust_anchor(file: &Path) -> Result<RootCertStore, String> {
    let describe = |error: &dyn Display| format!("{}: {error}", file.display());
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(file).map_err(|e| describe(&e))? {
        let certificate = certificate.map_err(|e| describe(&e))?;
        roots.add(certificate).map_err(|e| describe(&e))?;
    }
    if roots.is_empty() {
        return Err(describe(&"the file contains no certificate"));
    }
    Ok(roots)
}
