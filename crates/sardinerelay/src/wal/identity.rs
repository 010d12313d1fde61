//! Identity of a directory.

use {
    super::{Corruption, Error, file},
    crate::id::Host,
    serde::{Deserialize, Serialize},
    std::{fs, io, path::Path},
    uuid::Uuid,
};

/// Version of the directory's format. It covers every file in the directory.
const FORMAT: u32 = 1;

/// Largest identity file that is read, in bytes.
const MAX_BYTES: u64 = 4096;

/// Whose state a directory holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The group, drawn at random when it is founded.
    pub cluster: Uuid,
    /// The replica. An id is never used again after its directory was lost.
    pub replica: Host,
}

/// The part of the file that every format version has.
#[derive(Debug, Serialize, Deserialize)]
struct Version {
    format: u32,
}

impl Identity {
    /// Writes the identity file: a JSON object, and its CRC32 on a second line.
    pub(super) fn write(&self, directory: &Path) -> Result<(), Error> {
        let path = directory.join(file::IDENTITY);
        let text = format!(
            r#"{{"format":{FORMAT},"cluster":"{}","replica":{}}}"#,
            self.cluster, self.replica
        );
        let checksum = format!("\n{:08x}\n", crc32fast::hash(text.as_bytes()));
        file::replace(&path, &[text.as_bytes(), checksum.as_bytes()])
    }

    /// Reads the identity file. `None` if there is none.
    pub(super) fn read(directory: &Path) -> Result<Option<Self>, Error> {
        let path = directory.join(file::IDENTITY);
        let length = match fs::metadata(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            metadata => file::at("reading", &path, metadata)?.len(),
        };
        if length > MAX_BYTES {
            return Err(damaged(&path, Corruption::Header));
        }
        let content = file::at("reading", &path, fs::read(&path))?;
        let text = checked(&content).ok_or_else(|| damaged(&path, Corruption::Checksum))?;
        let version: Version =
            serde_json::from_slice(text).map_err(|_| damaged(&path, Corruption::Encoding))?;
        if version.format != FORMAT {
            return Err(Error::UnknownFormat {
                path,
                found: version.format,
                known: FORMAT,
            });
        }
        let identity = serde_json::from_slice(text);
        identity
            .map(Some)
            .map_err(|_| damaged(&path, Corruption::Encoding))
    }
}

/// The first line, if the second line is its checksum.
fn checked(content: &[u8]) -> Option<&[u8]> {
    let end = content.iter().position(|&byte| byte == b'\n')?;
    let (text, checksum) = content.split_at(end);
    let expected = format!("\n{:08x}\n", crc32fast::hash(text));
    (checksum == expected.as_bytes()).then_some(text)
}

fn damaged(path: &Path, corruption: Corruption) -> Error {
    Error::Corrupt {
        path: path.to_owned(),
        offset: 0,
        corruption,
    }
}
