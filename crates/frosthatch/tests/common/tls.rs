//! Certificates made for a test, and TLS in front of stand-ins that know none.

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

/// A certificate with its key.
pub struct Proof {
    pub certificate: rcgen::Certificate,
    pub key: KeyPair,
}

impl Authority {
    pub fn new() -> Authority {
        let key = KeyPair::generate().expect("a key");
        let mut ca = CertificateParams::new(Vec::new()).expect("parameters");
        ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        Authority {
            certificate: ca.self_signed(&key).expect("an authority"),
            key,
        }
    }

    pub fn pem(&self) -> String {
        self.certificate.pem()
    }

    pub fn proof(&self, name: &str) -> Proof {
        let key = KeyPair::generate().expect("a key");
        let leaf = CertificateParams::new(vec![name.into()]).expect("parameters");
        Proof {
            certificate: leaf
                .signed_by(&key, &self.certificate, &self.key)
                .expect("a certificate"),
            key,
        }
    }

    fn roots(&self) -> Arc<rustls::RootCertStore> {
        let mut roots = rustls::RootCertStore::empty();
        roots
            .add(self.certificate.der().clone())
            .expect("an authority");
        Arc::new(roots)
    }
}

impl Proof {
    fn der(&self) -> rustls::pki_types::PrivateKeyDer<'static> {
        rustls::pki_types::PrivateKeyDer::try_from(self.key.serialize_der()).expect("a key")
    }
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// A server's side of TLS; with an authority its clients must prove themselves.
pub fn acceptor(proof: &Proof, clients: Option<&Authority>) -> TlsAcceptor {
    let config = rustls::ServerConfig::builder_with_provider(provider());
    let config = config
        .with_safe_default_protocol_versions()
        .expect("versions");
    let config = match clients {
        None => config.with_no_client_auth(),
        Some(authority) => {
            let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
                authority.roots(),
                provider(),
            );
            config.with_client_cert_verifier(verifier.build().expect("a verifier"))
        }
    };
    let chain = vec![proof.certificate.der().clone()];
    TlsAcceptor::from(Arc::new(
        config
            .with_single_cert(chain, proof.der())
            .expect("a certificate and its key"),
    ))
}

/// Takes connections for good, each with a task of its own.
fn proxy<F: Future<Output = ()> + Send + 'static>(
    each: impl Fn(TcpStream) -> F + Send + 'static,
) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a listener");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(each(stream));
            }
        });
    });
    address
}

/// Ends TLS in front of a plain server.
pub fn terminator(acceptor: TlsAcceptor, behind: SocketAddr) -> SocketAddr {
    proxy(move |stream| {
        let acceptor = acceptor.clone();
        async move {
            let Ok(mut tls) = acceptor.accept(stream).await else {
                return;
            };
            let Ok(mut plain) = TcpStream::connect(behind).await else {
                return;
            };
            let _ = tokio::io::copy_bidirectional(&mut tls, &mut plain).await;
        }
    })
}

/// Begins TLS for a plain client, with this proof if any.
pub fn originator(
    authority: &Authority,
    proof: Option<&Proof>,
    name: &'static str,
    to: SocketAddr,
) -> SocketAddr {
    let config = rustls::ClientConfig::builder_with_provider(provider());
    let config = config
        .with_safe_default_protocol_versions()
        .expect("versions");
    let config = config.with_root_certificates(authority.roots());
    let config = match proof {
        None => config.with_no_client_auth(),
        Some(p) => config
            .with_client_auth_cert(vec![p.certificate.der().clone()], p.der())
            .expect("a proof"),
    };
    let connector = TlsConnector::from(Arc::new(config));
    proxy(move |mut plain| {
        let connector = connector.clone();
        async move {
            let name = rustls::pki_types::ServerName::try_from(name).expect("a name");
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

/// A folder of one's own.
pub fn folder() -> PathBuf {
    let folder = write_config_file("");
    std::fs::remove_file(&folder).expect("it was just written");
    std::fs::create_dir(&folder).expect("a folder");
    folder
}
