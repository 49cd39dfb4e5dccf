//! TLS between lovagedock processes: which peers are refused, and what a reload changes.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use lovagedock_daemon::{BoxedStream, TlsError, TlsSettings, Transport, TransportSettings};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, KeyUsagePurpose};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// First byte that a TLS peer sends in response to data that is not TLS.
const TLS_ALERT_RECORD: u8 = 21;

type Authority = CertifiedIssuer<'static, KeyPair>;

/// A directory of PEM files that is removed at the end.
struct KeyFolder {
    path: PathBuf,
}

impl KeyFolder {
    fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let name = format!("lovagedock-tls-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self { path }
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path.join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// Settings of a process with a certificate signed by `authority` that trusts `trusted`.
    fn settings(&self, name: &str, authority: &Authority, trusted: &Authority) -> TlsSettings {
        let (certificate, key) = issue(authority);
        TlsSettings {
            certificate_file: self.write(&format!("{name}.pem"), &certificate),
            key_file: self.write(&format!("{name}.key"), &key),
            peer_roots_file: Some(self.write(&format!("{name}.roots"), &trusted.pem())),
            server_name: None,
            reload_interval_ms: 1000,
        }
    }
}

impl Drop for KeyFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap()
}

fn issue(authority: &Authority) -> (String, String) {
    let key = KeyPair::generate().unwrap();
    let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
    let certificate = params.signed_by(&key, authority).unwrap();
    (certificate.pem(), key.serialize_pem())
}

fn transport(settings: TlsSettings) -> Transport {
    Transport::new(&TransportSettings::Tls(settings)).unwrap()
}

/// Starts a server that echoes bytes on each connection that completes the handshake.
async fn echo_server(transport: Transport) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let transport = transport.clone();
            tokio::spawn(async move {
                let Ok(mut stream) = transport.accept(stream).await else {
                    return;
                };
                while let Ok(byte) = stream.read_u8().await {
                    stream.write_u8(byte).await.unwrap();
                    stream.flush().await.unwrap();
                }
            });
        }
    });
    address
}

async fn echo(stream: &mut BoxedStream, byte: u8) -> std::io::Result<u8> {
    stream.write_u8(byte).await?;
    stream.flush().await?;
    stream.read_u8().await
}

/// Connects and exchanges a byte. With TLS 1.3 a refused client sees the refusal at its first read.
async fn exchange(client: &Transport, address: SocketAddr) -> std::io::Result<u8> {
    let mut stream = client.connect(address).await?;
    echo(&mut stream, 7).await
}

// A process with a certificate of another authority connects to a sidecar's port, or listens in
// place of a sidecar. Mutual TLS has to refuse it in both roles, and also a process without TLS.
#[tokio::test]
async fn mutual_tls_rejects_untrusted_certificates() {
    let folder = KeyFolder::new();
    let (trusted_authority, untrusted_authority) = (authority(), authority());
    let server = echo_server(transport(folder.settings(
        "server",
        &trusted_authority,
        &trusted_authority,
    )))
    .await;
    let untrusted_server = echo_server(transport(folder.settings(
        "untrusted_server",
        &untrusted_authority,
        &trusted_authority,
    )))
    .await;
    let trusted_client =
        transport(folder.settings("trusted_client", &trusted_authority, &trusted_authority));
    let untrusted_client =
        transport(folder.settings("untrusted_client", &untrusted_authority, &trusted_authority));

    assert_eq!(exchange(&trusted_client, server).await.unwrap(), 7);
    assert!(exchange(&untrusted_client, server).await.is_err());
    assert!(exchange(&trusted_client, untrusted_server).await.is_err());
    let response = exchange(&Transport::plain_for_demo(), server).await;
    assert_eq!(response.unwrap(), TLS_ALERT_RECORD);
}

// The authority is replaced while a connection is open. The open connection continues. New
// connections are checked against the new files, so that an old certificate is refused without a
// restart.
#[tokio::test]
async fn a_reload_affects_only_new_connections() {
    let folder = KeyFolder::new();
    let (old, new) = (authority(), authority());
    let server = transport(folder.settings("server", &old, &old));
    let address = echo_server(server.clone()).await;
    let old_client = transport(folder.settings("old", &old, &old));
    let new_client = transport(folder.settings("new", &new, &new));
    let mut open = old_client.connect(address).await.unwrap();
    assert_eq!(echo(&mut open, 1).await.unwrap(), 1);
    assert!(exchange(&new_client, address).await.is_err());

    assert!(!server.tls().unwrap().reload().unwrap());
    folder.settings("server", &new, &new);
    assert!(server.tls().unwrap().reload().unwrap());

    assert_eq!(exchange(&new_client, address).await.unwrap(), 7);
    assert!(exchange(&old_client, address).await.is_err());
    assert_eq!(echo(&mut open, 2).await.unwrap(), 2);
}

// A reload happens when only one of the two files of a renewed certificate has been replaced. The
// mismatched pair must not be used and must not end the process. The next reload must find the
// complete pair.
#[tokio::test]
async fn a_half_replaced_key_pair_is_not_used() {
    let folder = KeyFolder::new();
    let root = authority();
    let settings = folder.settings("server", &root, &root);
    let server = transport(settings.clone());
    let address = echo_server(server.clone()).await;
    let trusted_client = transport(folder.settings("trusted_client", &root, &root));

    let (certificate, key) = issue(&root);
    fs::write(&settings.certificate_file, certificate).unwrap();
    let report = server.tls().unwrap().reload().unwrap_err();
    assert_eq!(*report.current_context(), TlsError::Mismatch);
    assert_eq!(exchange(&trusted_client, address).await.unwrap(), 7);

    fs::write(&settings.key_file, key).unwrap();
    assert!(server.tls().unwrap().reload().unwrap());
    assert_eq!(exchange(&trusted_client, address).await.unwrap(), 7);
}

struct FileCase {
    name: &'static str,
    corrupt: fn(&TlsSettings),
    expected: TlsError,
}

const FILE_CASES: &[FileCase] = &[
    FileCase {
        name: "no key file",
        corrupt: |settings| fs::remove_file(&settings.key_file).unwrap(),
        expected: TlsError::Unreadable,
    },
    FileCase {
        name: "an empty certificate file",
        corrupt: |settings| fs::write(&settings.certificate_file, "").unwrap(),
        expected: TlsError::Malformed,
    },
    FileCase {
        name: "a certificate where the key should be",
        corrupt: |settings| copy(&settings.certificate_file, &settings.key_file),
        expected: TlsError::Malformed,
    },
    FileCase {
        name: "empty roots",
        corrupt: |settings| fs::write(settings.peer_roots_file.as_ref().unwrap(), "").unwrap(),
        expected: TlsError::Malformed,
    },
];

#[test]
fn bad_files_give_distinct_errors() {
    let root = authority();
    for case in FILE_CASES {
        let folder = KeyFolder::new();
        let settings = folder.settings("server", &root, &root);
        (case.corrupt)(&settings);
        let Err(report) = Transport::new(&TransportSettings::Tls(settings)) else {
            panic!("{}: accepted", case.name);
        };
        assert_eq!(*report.current_context(), case.expected, "{}", case.name);
    }
}

fn copy(from: &Path, to: &Path) {
    fs::copy(from, to).unwrap();
}
