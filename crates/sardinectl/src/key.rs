//! `key hash`: prints the digest of an API key for the sheet.

use {
    crate::{error::Error, exit_code::ExitCode, output},
    sardinerelay::operator::Digest,
    serde::Serialize,
    sha2::{Digest as _, Sha256},
    std::io::{self, Read},
};

/// Maximum length of a key in bytes. Longer keys don't fit into a header.
const MAX_KEY_BYTES: u64 = 4096;

/// The output of `--json`.
#[derive(Debug, Serialize)]
struct KeyDigest {
    key_sha256: Digest,
}

/// Reads a key from standard input and prints its SHA-256 digest. A line break at the end is not
/// part of the key.
pub fn hash(json: bool) -> Result<ExitCode, Error> {
    let mut key = String::new();
    let read = io::stdin().take(MAX_KEY_BYTES + 1).read_to_string(&mut key);
    read.map_err(|_| Error::InvalidKey)?;
    let key = key.trim_end_matches(['\r', '\n']);
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() as u64 > MAX_KEY_BYTES || !printable {
        return Err(Error::InvalidKey);
    }
    let key_sha256 = Digest(Sha256::digest(key).into());
    match json {
        true => output::print_json(&KeyDigest { key_sha256 })?,
        false => output::print(&format!("{key_sha256}\n"))?,
    }
    Ok(ExitCode::Success)
}
