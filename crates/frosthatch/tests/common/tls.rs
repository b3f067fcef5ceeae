//! Certificates generated for a test, and TLS proxies for test doubles without TLS.

use frosthatch_test_doubles::write_config_file;
use rcgen::{BasicConstraints, Certificate, CertificateParams, IsCa, KeyPair};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};

pub struct Authority {
    certificate: Certificate,
    key: KeyPair,
}

/// A leaf certificate with its private key.
pub struct CertifiedKey {
    pub certificate: rcgen::Certificate,
    pub key: KeyPair,
}

impl Authority {
    pub fn new() -> Authority {
        let key = KeyPair::generate().expect("a key pair can be generated");
        let mut parameters = CertificateParams::new(Vec::new()).expect("the names are valid");
        parameters.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        Authority {
            certificate: parameters
                .self_signed(&key)
                .expect("the authority's certificate is valid"),
            key,
        }
    }

    pub fn pem(&self) -> String {
        self.certificate.pem()
    }

    pub fn issue(&self, name: &str) -> CertifiedKey {
        let key = KeyPair::generate().expect("a key pair can be generated");
        let leaf = CertificateParams::new(vec![name.into()]).expect("the names are valid");
        CertifiedKey {
            certificate: leaf
                .signed_by(&key, &self.certificate, &self.key)
                .expect("the authority signs the certificate"),
            key,
        }
    }

    fn roots(&self) -> Arc<rustls::RootCertStore> {
        let mut roots = rustls::RootCertStore::empty();
        roots
            .add(self.certificate.der().clone())
            .expect("the authority's certificate is valid");
        Arc::new(roots)
    }
}

impl CertifiedKey {
    fn private_key_der(&self) -> rustls::pki_types::PrivateKeyDer<'static> {
        rustls::pki_types::PrivateKeyDer::try_from(self.key.serialize_der())
            .expect("the key is valid PKCS #8")
    }
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// Returns a TLS acceptor with this certificate; with an authority, clients must present a certificate that it
/// signed.
pub fn tls_acceptor(certified_key: &CertifiedKey, clients: Option<&Authority>) -> TlsAcceptor {
    let config = rustls::ServerConfig::builder_with_provider(provider());
    let config = config
        .with_safe_default_protocol_versions()
        .expect("the provider supports the default TLS versions");
    let config = match clients {
        None => config.with_no_client_auth(),
        Some(authority) => {
            let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
                authority.roots(),
                provider(),
            );
            config.with_client_cert_verifier(
                verifier
                    .build()
                    .expect("the client verifier accepts the trust anchor"),
            )
        }
    };
    let chain = vec![certified_key.certificate.der().clone()];
    TlsAcceptor::from(Arc::new(
        config
            .with_single_cert(chain, certified_key.private_key_der())
            .expect("the key belongs to the certificate"),
    ))
}

/// Accepts connections for the rest of the process, handles each in a task of its own, and returns the
/// listener's address.
fn start_proxy<F: Future<Output = ()> + Send + 'static>(
    handle: impl Fn(TcpStream) -> F + Send + 'static,
) -> SocketAddr {
    let listener =
        std::net::TcpListener::bind("127.0.0.1:0").expect("a free loopback port can be bound");
    let address = listener
        .local_addr()
        .expect("the socket has a local address");
    listener
        .set_nonblocking(true)
        .expect("the listener can be set up on the runtime");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the Tokio runtime starts");
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener)
                .expect("the listener can be set up on the runtime");
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(handle(stream));
            }
        });
    });
    address
}

/// Starts a proxy that terminates TLS in front of a plain server, and returns its address.
pub fn start_tls_terminator(acceptor: TlsAcceptor, server: SocketAddr) -> SocketAddr {
    start_proxy(move |stream| {
        let acceptor = acceptor.clone();
        async move {
            let Ok(mut tls) = acceptor.accept(stream).await else {
                return;
            };
            let Ok(mut plain) = TcpStream::connect(server).await else {
                return;
            };
            let _ = tokio::io::copy_bidirectional(&mut tls, &mut plain).await;
        }
    })
}

/// Starts a proxy that originates TLS for a plain client, with a client certificate if given, and returns its
/// address.
pub fn start_tls_originator(
    authority: &Authority,
    certified_key: Option<&CertifiedKey>,
    name: &'static str,
    to: SocketAddr,
) -> SocketAddr {
    let config = rustls::ClientConfig::builder_with_provider(provider());
    let config = config
        .with_safe_default_protocol_versions()
        .expect("the provider supports the default TLS versions");
    let config = config.with_root_certificates(authority.roots());
    let config = match certified_key {
        None => config.with_no_client_auth(),
        Some(p) => config
            .with_client_auth_cert(vec![p.certificate.der().clone()], p.private_key_der())
            .expect("the key belongs to the client certificate"),
    };
    let connector = TlsConnector::from(Arc::new(config));
    start_proxy(move |mut plain| {
        let connector = connector.clone();
        async move {
            let name = rustls::pki_types::ServerName::try_from(name)
                .expect("the name is a valid DNS name");
            let Ok(stream) = TcpStream::connect(to).await else {
                return;
            };
            let Ok(mut tls) = connector.connect(name, stream).await else {
                return;
            };
            let _ = tokio::io::copy_bidirectional(&mut plain, &mut tls).await;
        }
    })
}

/// Creates an empty directory of the test's own and returns its path.
pub fn create_directory() -> PathBuf {
    let directory = write_config_file("");
    std::fs::remove_file(&directory).expect("the file was just created");
    std::fs::create_dir(&directory).expect("the directory can be created");
    directory
}
