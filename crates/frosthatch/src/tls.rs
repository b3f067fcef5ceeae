//! Certificates and keys from files, as TLS wants them.

use frosthatch_discovery::dnssd::read_anchor;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::{pem::PemObject, CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The files of one side that proves itself and wants proof.
#[derive(Clone, Debug, PartialEq)]
pub struct Files {
    pub certificate: PathBuf,
    pub key: PathBuf,
    pub trust_anchor: PathBuf,
    /// The name that servers' certificates must have.
    pub server_name: String,
}

/// TLS for both sides: each end shows a certificate that descends from the trust anchor.
pub struct Tls {
    pub server: Arc<rustls::ServerConfig>,
    pub client: Arc<rustls::ClientConfig>,
    pub name: ServerName<'static>,
}

impl Files {
    /// # Errors
    /// Which file cannot be used, and why.
    pub fn read(&self) -> Result<Tls, String> {
        let roots = Arc::new(read_anchor(&self.trust_anchor)?);
        let wrong = |file: &Path, e: &dyn Display| format!("{}: {e}", file.display());
        let chain: Result<Vec<_>, _> =
            CertificateDer::pem_file_iter(&self.certificate).and_then(Iterator::collect);
        let chain = chain.map_err(|e| wrong(&self.certificate, &e))?;
        let key = || PrivateKeyDer::from_pem_file(&self.key).map_err(|e| wrong(&self.key, &e));
        let provider = Arc::new(default_provider());
        let text = |e: rustls::Error| wrong(&self.certificate, &e);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone());
        let verifier = verifier
            .build()
            .map_err(|e| wrong(&self.trust_anchor, &e))?;
        let server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(text)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key()?)
            .map_err(text)?;
        let client = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(text)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key()?)
            .map_err(text)?;
        let name = ServerName::try_from(self.server_name.clone());
        let name = name.map_err(|e| format!("server_name {:?}: {e}", self.server_name))?;
        Ok(Tls {
            server: Arc::new(server),
            client: Arc::new(client),
            name,
        })
    }
}
