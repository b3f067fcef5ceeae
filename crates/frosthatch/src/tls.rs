//! Loads certificates and keys from files and builds the TLS configurations for mutual TLS.

use frosthatch_discovery::dnssd::read_trust_anchor;
use rustls::crypto::ring::default_provider;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::{pem::PemObject, CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The files for mutual TLS, and the name that servers' certificates must have.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsFiles {
    /// This side's certificate chain (PEM).
    pub certificate: PathBuf,
    /// The certificate's private key (PEM).
    pub key: PathBuf,
    /// Certificate of the authority that issues the certificates of peers (PEM).
    pub trust_anchor: PathBuf,
    /// The name that servers' certificates must have.
    pub server_name: String,
}

/// The TLS configurations for accepted and for outgoing connections.
pub struct Tls {
    /// Configuration for accepted connections.
    pub server: Arc<ServerConfig>,
    /// Configuration for outgoing connections.
    pub client: Arc<ClientConfig>,
    /// The name that servers' certificates must have.
    pub server_name: ServerName<'static>,
}

/// The reason why files cannot be used for TLS.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The trust anchor cannot be read; the message names the file.
    #[error("{0}")]
    TrustAnchor(String),
    /// A file is missing or malformed, or does not match the other files.
    #[error("{}: {reason}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The server name is not a valid host name.
    #[error("server_name {name:?}: {reason}")]
    ServerName {
        /// The name.
        name: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl TlsFiles {
    /// Reads the files and builds both sides' configurations.
    ///
    /// # Errors
    /// Returns which file or name cannot be used, and why.
    pub fn load(&self) -> Result<Tls, TlsError> {
        let anchor = read_trust_anchor(&self.trust_anchor).map_err(TlsError::TrustAnchor)?;
        let roots = Arc::new(anchor);
        let provider = Arc::new(default_provider());
        let chain = self.read_chain()?;
        let server = self.server_config(roots.clone(), provider.clone(), chain.clone())?;
        let client = self.client_config(roots, provider, chain)?;
        let server_name = ServerName::try_from(self.server_name.clone());
        let server_name = server_name.map_err(|error| TlsError::ServerName {
            name: self.server_name.clone(),
            reason: error.to_string(),
        })?;
        Ok(Tls {
            server: Arc::new(server),
            client: Arc::new(client),
            server_name,
        })
    }

    fn read_chain(&self) -> Result<Vec<CertificateDer<'static>>, TlsError> {
        let chain = CertificateDer::pem_file_iter(&self.certificate).and_then(Iterator::collect);
        chain.map_err(|error| file_error(&self.certificate, &error))
    }

    fn read_key(&self) -> Result<PrivateKeyDer<'static>, TlsError> {
        PrivateKeyDer::from_pem_file(&self.key).map_err(|error| file_error(&self.key, &error))
    }

    fn server_config(
        &self,
        roots: Arc<RootCertStore>,
        provider: Arc<CryptoProvider>,
        chain: Vec<CertificateDer<'static>>,
    ) -> Result<ServerConfig, TlsError> {
        let certificate_error = |error: rustls::Error| file_error(&self.certificate, &error);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
            .build()
            .map_err(|error| file_error(&self.trust_anchor, &error))?;
        ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(certificate_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, self.read_key()?)
            .map_err(certificate_error)
    }

    fn client_config(
        &self,
        roots: Arc<RootCertStore>,
        provider: Arc<CryptoProvider>,
        chain: Vec<CertificateDer<'static>>,
    ) -> Result<ClientConfig, TlsError> {
        let certificate_error = |error: rustls::Error| file_error(&self.certificate, &error);
        ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(certificate_error)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, self.read_key()?)
            .map_err(certificate_error)
    }
}

fn file_error(path: &Path, error: &dyn std::fmt::Display) -> TlsError {
    TlsError::File {
        path: path.to_path_buf(),
        reason: error.to_string(),
    }
}
