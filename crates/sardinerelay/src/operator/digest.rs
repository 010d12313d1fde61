//! SHA-256 digests as text.

use {
    compact_str::CompactString,
    serde::{Deserialize, Deserializer, Serialize, Serializer, de},
    std::{
        fmt::{self, Display, Formatter},
        str::FromStr,
    },
};

/// A SHA-256 digest of a sheet or an API key, written as 64 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; 32]);

impl Display for Digest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Error of parsing a text that is not 64 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected 64 lower-case hexadecimal digits")]
pub struct DigestError;

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return Err(DigestError);
        }
        let mut digest = [0; 32];
        for (byte, pair) in digest.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
        }
        Ok(Self(digest))
    }
}

fn hex_value(digit: u8) -> Result<u8, DigestError> {
    match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        _ => Err(DigestError),
    }
}

impl Serialize for Digest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        CompactString::deserialize(deserializer)?
            .parse()
            .map_err(de::Error::custom)
    }
}
