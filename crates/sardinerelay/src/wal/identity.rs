//! Identity of a replica, stored in its directory.

use {
    super::{Corruption, Error, Volume, file},
    crate::id::Host,
    serde::{Deserialize, Serialize},
    std::{fs, io, path::Path},
    uuid::Uuid,
};

/// Version of the format of all files in a directory.
const FORMAT_VERSION: u32 = 1;

/// Largest identity file that is read, in bytes. Larger ones are refused as corrupt.
const MAX_IDENTITY_BYTES: u64 = 4096;

/// Replica and group whose state a directory holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Id of the group, which is the same in the directories of all its replicas.
    pub cluster: Uuid,
    /// Id of the replica. It must not be used again after the directory was lost.
    pub replica: Host,
}

/// The part of the identity file that every format version has.
#[derive(Debug, Serialize, Deserialize)]
struct Version {
    format: u32,
}

impl Identity {
    /// Writes the identity file: a JSON object, and its CRC32 on a second line.
    pub(super) fn write(&self, volume: &Volume, directory: &Path) -> Result<(), Error> {
        let path = directory.join(file::IDENTITY_FILE);
        let text = format!(
            r#"{{"format":{FORMAT_VERSION},"cluster":"{}","replica":{}}}"#,
            self.cluster, self.replica
        );
        let checksum = format!("\n{:08x}\n", crc32fast::hash(text.as_bytes()));
        file::write_atomically(volume, &path, &[text.as_bytes(), checksum.as_bytes()])
    }

    /// Reads the identity file. `None` if there is none.
    pub(super) fn read(directory: &Path) -> Result<Option<Self>, Error> {
        let path = directory.join(file::IDENTITY_FILE);
        let length = match fs::metadata(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            metadata => file::with_path("reading", &path, metadata)?.len(),
        };
        if length > MAX_IDENTITY_BYTES {
            return Err(corrupt(&path, Corruption::Header));
        }
        let content = file::with_path("reading", &path, fs::read(&path))?;
        let text = verified_line(&content).ok_or_else(|| corrupt(&path, Corruption::Checksum))?;
        let version: Version =
            serde_json::from_slice(text).map_err(|_| corrupt(&path, Corruption::Encoding))?;
        if version.format != FORMAT_VERSION {
            return Err(Error::UnknownFormat {
                path,
                found: version.format,
                known: FORMAT_VERSION,
            });
        }
        let identity = serde_json::from_slice(text);
        identity
            .map(Some)
            .map_err(|_| corrupt(&path, Corruption::Encoding))
    }
}

/// The first line, if the second line is its checksum.
fn verified_line(content: &[u8]) -> Option<&[u8]> {
    let end = content.iter().position(|&byte| byte == b'\n')?;
    let (text, checksum) = content.split_at(end);
    let expected = format!("\n{:08x}\n", crc32fast::hash(text));
    (checksum == expected.as_bytes()).then_some(text)
}

fn corrupt(path: &Path, corruption: Corruption) -> Error {
    Error::Corrupt {
        path: path.to_owned(),
        offset: 0,
        corruption,
    }
}
