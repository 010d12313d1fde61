//! Reads whole bodies from peers that may send bytes without end, or one now and then.
//!
//! Every body that is read in full goes through [`read`]. What bounds each of them is listed in
//! `docs/design/bounds.md`.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt as _,
    hyper::body::Body,
    std::{error::Error as StdError, time::Instant},
    thiserror::Error as ThisError,
    tokio::time::{Instant as TokioInstant, timeout_at},
};

/// How much of a body is read, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest body, in bytes.
    pub max_bytes: usize,
    /// When reading ends, whether the body is complete or not.
    pub until: Instant,
}

/// Why a body was not read in full.
#[derive(Debug, ThisError)]
pub enum Error {
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// It was not complete in time.
    #[error("the body was not complete in time")]
    TimedOut,
    /// It broke off.
    #[error("the body broke off: {0}")]
    BrokenOff(#[source] Box<dyn StdError + Send + Sync>),
}

/// Reads a whole body.
///
/// # Errors
///
/// Returns an [`Error`] as soon as a limit is exceeded. The caller of this function then closes the connection,
/// by dropping what it is read from.
pub async fn read<Source>(source: Source, limits: Limits) -> Result<Bytes, Error>
where
    Source: Body<Data = Bytes> + Unpin,
    Source::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let until = TokioInstant::from_std(limits.until);
    timeout_at(until, read_parts(source, limits.max_bytes))
        .await
        .unwrap_or(Err(Error::TimedOut))
}

async fn read_parts<Source>(mut source: Source, max_bytes: usize) -> Result<Bytes, Error>
where
    Source: Body<Data = Bytes> + Unpin,
    Source::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    // A declared length that is too large is refused before any of the body arrives.
    if source.size_hint().lower() > max_bytes as u64 {
        return Err(Error::TooLong);
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = source.frame().await {
        let frame = frame.map_err(|error| Error::BrokenOff(error.into()))?;
        // Trailers are no part of the body.
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if whole.len() + part.len() > max_bytes {
            return Err(Error::TooLong);
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}
