//! Reads whole bodies from peers that may send bytes without end, or one now and then.
//!
//! Every body that is read in full goes through [`read`]. What bounds each of them is listed in
//! `docs/design/bounds.md`. What they take together is bounded too: a faulty target may send many long
//! ones at a time.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt as _,
    hyper::body::Body,
    std::{error::Error as StdError, sync::Arc, time::Instant},
    thiserror::Error as ThisError,
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Instant as TokioInstant, timeout_at},
    },
};

/// How much of a body is read, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest body, in bytes.
    pub max_bytes: usize,
    /// When reading ends, whether the body is complete or not.
    pub until: Instant,
}

/// Size in bytes up to which a body needs no claim, so that ordinary ones are read also while long ones
/// have taken all memory.
const FREE_BYTES: usize = 16 << 10;

/// Memory that long bodies may take together. Clones share it.
#[derive(Debug, Clone)]
pub struct Memory {
    free: Arc<Semaphore>,
}

/// A claim of one body on the memory. Dropping it frees the memory.
#[derive(Debug)]
pub struct Claim {
    memory: Memory,
    permit: Option<OwnedSemaphorePermit>,
}

impl Memory {
    /// Creates memory of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(bytes)),
        }
    }

    /// Returns an empty claim.
    pub fn claim(&self) -> Claim {
        Claim {
            memory: self.clone(),
            permit: None,
        }
    }
}

impl Claim {
    /// Enlarges the claim until it covers a buffer of this size. Returns false if there is not enough
    /// memory left.
    pub fn cover(&mut self, bytes: usize) -> bool {
        let claimed = self
            .permit
            .as_ref()
            .map_or(0, |permit| permit.num_permits());
        let missing = bytes.saturating_sub(FREE_BYTES).saturating_sub(claimed);
        if missing == 0 {
            return true;
        }
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        let Ok(more) = Arc::clone(&self.memory.free).try_acquire_many_owned(missing) else {
            return false;
        };
        match &mut self.permit {
            Some(permit) => permit.merge(more),
            None => self.permit = Some(more),
        }
        true
    }

    /// Frees the memory.
    pub fn release(&mut self) {
        self.permit = None;
    }
}

/// The bytes of a body that hold their claim as long as they exist.
struct Claimed {
    bytes: BytesMut,
    _claim: Claim,
}

impl AsRef<[u8]> for Claimed {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why a body was not read in full.
#[derive(Debug, ThisError)]
pub enum Error {
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// Other long bodies have taken the memory.
    #[error("there is no memory left for the body")]
    NoMemory,
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
pub async fn read<Source>(source: Source, limits: Limits, memory: &Memory) -> Result<Bytes, Error>
where
    Source: Body<Data = Bytes> + Unpin,
    Source::Error: Into<Box<dyn StdError + Send + Sync>>,
{
    let until = TokioInstant::from_std(limits.until);
    timeout_at(until, read_parts(source, limits.max_bytes, memory.claim()))
        .await
        .unwrap_or(Err(Error::TimedOut))
}

async fn read_parts<Source>(
    mut source: Source,
    max_bytes: usize,
    mut claim: Claim,
) -> Result<Bytes, Error>
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
        if whole.len() + part.len() > whole.capacity() {
            let capacity = (whole.len() + part.len()).next_power_of_two();
            if !claim.cover(capacity) {
                return Err(Error::NoMemory);
            }
            whole.reserve(capacity - whole.len());
        }
        whole.extend_from_slice(&part);
    }
    Ok(match claim.permit.is_some() {
        true => Bytes::from_owner(Claimed {
            bytes: whole,
            _claim: claim,
        }),
        false => whole.freeze(),
    })
}
