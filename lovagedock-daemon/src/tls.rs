//! TLS keys and roots from PEM files, reloaded when the files change.

use std::{
    fmt::{self, Display, Formatter},
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use error_stack::{Report, ResultExt};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    crypto::{CryptoProvider, ring},
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
};
use serde::{Deserialize, Serialize};

const ALPN_HTTP: &[u8] = b"http/1.1";

/// Files with a process's certificate and with the roots that verify its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain, starting with the process's own certificate.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub key_file: PathBuf,
    /// PEM file with the roots that verify peers. If it is set, a server requires a certificate
    /// from every client. If it is not set, a server accepts any client and the process cannot
    /// connect as a client.
    #[serde(default)]
    pub peer_roots_file: Option<PathBuf>,
    /// Name that a server's certificate has to contain; the server's IP address if absent.
    #[serde(default)]
    pub server_name: Option<String>,
    /// Interval between checks of the files, in milliseconds.
    #[serde(default = "default_reload_interval_ms")]
    pub reload_interval_ms: u64,
}

impl TlsSettings {
    /// Interval between checks of the files.
    pub fn reload_interval(&self) -> Duration {
        Duration::from_millis(self.reload_interval_ms)
    }
}

/// Why TLS cannot be set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TlsError {
    /// A file cannot be read.
    Unreadable,
    /// A file does not contain the expected PEM data.
    Malformed,
    /// The certificate, the key and the roots do not match.
    Mismatch,
}

impl Display for TlsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreadable => "a TLS file cannot be read",
            Self::Malformed => "a TLS file does not contain the expected PEM data",
            Self::Mismatch => "TLS certificate, key and roots do not match",
        })
    }
}

impl std::error::Error for TlsError {}

/// Configurations created from a single read of the files.
pub struct TlsConfigs {
    /// For accepted connections.
    pub server: Arc<ServerConfig>,
    /// For opened connections; requires the peers' roots.
    pub client: Option<Arc<ClientConfig>>,
    digest: blake3::Hash,
}

/// TLS configurations that are reloaded from their files.
///
/// New connections use the newest configuration that was loaded completely; open connections keep
/// theirs.
pub struct ReloadingTls {
    settings: TlsSettings,
    configs: ArcSwap<TlsConfigs>,
}

impl ReloadingTls {
    /// Reads the files for the first time.
    pub fn new(settings: TlsSettings) -> Result<Self, Report<TlsError>> {
        let files = PemFiles::read(&settings)?;
        let configs = files.build()?;
        Ok(Self {
            settings,
            configs: ArcSwap::from_pointee(configs),
        })
    }

    /// The newest configurations.
    pub fn configs(&self) -> Arc<TlsConfigs> {
        self.configs.load_full()
    }

    /// The settings that this was created with.
    pub fn settings(&self) -> &TlsSettings {
        &self.settings
    }

    /// Reads the files again; returns `true` if they had changed and are now in use.
    ///
    /// A certificate and its key are replaced one after the other. A reload between the two finds a
    /// key that does not match the certificate. The error leaves the old configuration in use, and
    /// the next reload finds both new files. The mismatched pair is never used.
    pub fn reload(&self) -> Result<bool, Report<TlsError>> {
        let files = PemFiles::read(&self.settings)?;
        if files.digest() == self.configs.load().digest {
            return Ok(false);
        }
        let configs = files.build()?;
        self.configs.store(Arc::new(configs));
        Ok(true)
    }
}

struct PemFiles {
    certificate: Vec<u8>,
    key: Vec<u8>,
    roots: Option<Vec<u8>>,
}

impl PemFiles {
    fn read(settings: &TlsSettings) -> Result<Self, Report<TlsError>> {
        let roots = settings.peer_roots_file.as_deref();
        Ok(Self {
            certificate: read_file(&settings.certificate_file)?,
            key: read_file(&settings.key_file)?,
            roots: roots.map(read_file).transpose()?,
        })
    }

    fn digest(&self) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new();
        let roots = self.roots.as_deref().unwrap_or_default();
        for part in [self.certificate.as_slice(), &self.key, roots] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    fn build(&self) -> Result<TlsConfigs, Report<TlsError>> {
        let chain = certificates(&self.certificate)?;
        let key = PrivateKeyDer::from_pem_slice(&self.key)
            .map_err(|error| Report::new(TlsError::Malformed).attach(error.to_string()))?;
        let roots = self.roots.as_deref().map(root_store).transpose()?;
        let provider = Arc::new(ring::default_provider());
        let server = server_config(&provider, chain.clone(), key.clone_key(), roots.clone())?;
        let client = roots
            .map(|roots| client_config(&provider, chain, key, roots))
            .transpose()?;
        Ok(TlsConfigs {
            server: Arc::new(server),
            client: client.map(Arc::new),
            digest: self.digest(),
        })
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, Report<TlsError>> {
    fs::read(path)
        .map_err(|error: io::Error| Report::new(TlsError::Unreadable).attach(error.to_string()))
        .attach_with(|| path.display().to_string())
}

fn certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, Report<TlsError>> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let chain =
        chain.map_err(|error| Report::new(TlsError::Malformed).attach(error.to_string()))?;
    if chain.is_empty() {
        return Err(Report::new(TlsError::Malformed).attach("no certificate in the file"));
    }
    Ok(chain)
}

fn root_store(pem: &[u8]) -> Result<Arc<RootCertStore>, Report<TlsError>> {
    let mut store = RootCertStore::empty();
    for certificate in certificates(pem)? {
        store.add(certificate).map_err(mismatch)?;
    }
    Ok(Arc::new(store))
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Option<Arc<RootCertStore>>,
) -> Result<ServerConfig, Report<TlsError>> {
    let builder = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(mismatch)?;
    let builder = match roots {
        Some(roots) => {
            let verifier =
                WebPkiClientVerifier::builder_with_provider(roots, provider.clone()).build();
            builder.with_client_cert_verifier(verifier.map_err(mismatch)?)
        }
        None => builder.with_no_client_auth(),
    };
    let mut config = builder.with_single_cert(chain, key).map_err(mismatch)?;
    config.alpn_protocols = vec![ALPN_HTTP.to_vec()];
    Ok(config)
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
) -> Result<ClientConfig, Report<TlsError>> {
    let config = ClientConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(mismatch)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(mismatch)?;
    Ok(config)
}

fn mismatch(error: impl Display) -> Report<TlsError> {
    Report::new(TlsError::Mismatch).attach(error.to_string())
}

fn default_reload_interval_ms() -> u64 {
    10_000
}
