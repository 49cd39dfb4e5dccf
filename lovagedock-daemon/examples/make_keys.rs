//! Creates a certificate authority and certificates to try out TLS: `make_keys FOLDER [--address
//! IP]... NAME...`.
//!
//! If it runs again in the same folder, it keeps the authority and renews the named certificates.
//! Real fleets use their own authority.

use std::{
    error::Error,
    fs::{self, OpenOptions},
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

use clap::Parser;
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};

const ROOTS_FILE: &str = "roots.pem";
const ROOTS_KEY_FILE: &str = "roots.key";
const AUTHORITY_NAME: &str = "lovagedock example authority";
const OWNER_ONLY: u32 = 0o600;

type KeyResult<T> = Result<T, Box<dyn Error>>;

#[derive(Parser)]
struct KeyArguments {
    /// Folder for `roots.pem`, `roots.key` and, for each name, NAME.pem and NAME.key.
    folder: PathBuf,
    /// IP address or DNS name that the certificates are for; may be repeated.
    #[arg(long = "address", default_value = "127.0.0.1")]
    addresses: Vec<String>,
    /// Names of the processes that get a certificate.
    #[arg(required = true)]
    names: Vec<String>,
}

fn main() -> KeyResult<()> {
    let arguments = KeyArguments::parse();
    fs::create_dir_all(&arguments.folder)?;
    let authority = open_authority(&arguments.folder)?;
    for name in &arguments.names {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(arguments.addresses.clone())?;
        params.distinguished_name.push(DnType::CommonName, name);
        let certificate = params.signed_by(&key, &authority)?;
        let file = arguments.folder.join(name);
        write_key(&file.with_extension("key"), &key)?;
        fs::write(file.with_extension("pem"), certificate.pem())?;
    }
    Ok(())
}

fn open_authority(folder: &Path) -> KeyResult<Issuer<'static, KeyPair>> {
    let file = folder.join(ROOTS_KEY_FILE);
    if file.exists() {
        let key = KeyPair::from_pem(&fs::read_to_string(file)?)?;
        return Ok(Issuer::new(authority_params()?, key));
    }
    let key = KeyPair::generate()?;
    let params = authority_params()?;
    let certificate = params.self_signed(&key)?;
    fs::write(folder.join(ROOTS_FILE), certificate.pem())?;
    write_key(&file, &key)?;
    Ok(Issuer::new(params, key))
}

fn authority_params() -> KeyResult<CertificateParams> {
    let mut params = CertificateParams::new(Vec::new())?;
    // The authority has its own name. If a certificate had the same subject as its issuer, OpenSSL
    // would treat it as self-signed and refuse it.
    let name = &mut params.distinguished_name;
    name.push(DnType::CommonName, AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    Ok(params)
}

fn write_key(path: &Path, key: &KeyPair) -> KeyResult<()> {
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(true);
    let mut file = options.mode(OWNER_ONLY).open(path)?;
    file.write_all(key.serialize_pem().as_bytes())?;
    Ok(())
}
