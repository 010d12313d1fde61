//! Resume tokens: opaque, encrypted tokens with which a caller resumes a stream on any entry host.
//!
//! A token holds everything that an entry host needs to know, so no table of streams is replicated
//! (see "Resume token" in `docs/design.md`). Its sealed part is made once for each stream. The
//! index of an event follows in plain text, because sealing a token for each event would cost more
//! than relaying the event. A caller that forges an index only harms its own stream.

use {
    crate::id::{Generation, Model, Organisation, Target},
    base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD},
    chacha20poly1305::{
        KeyInit as _, XChaCha20Poly1305, XNonce,
        aead::{Aead as _, Payload},
    },
    rand::Rng,
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::{
        fmt,
        net::SocketAddr,
        time::{Duration, SystemTime},
    },
};

/// Separates the keys and tokens from any other use of the same secrets.
const DOMAIN_SEPARATOR: &[u8] = b"sardinerelay resume token 1";
const NONCE_BYTES: usize = 24;
/// Longest event id that is decoded, in bytes. A valid one is less than a quarter as long.
const MAX_EVENT_ID_BYTES: usize = 4096;

/// Why a token was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a token followed by an index.
    #[error("the resume token is malformed")]
    Malformed,
    /// The token can't be decrypted with any accepted secret.
    #[error("the resume token was not sealed with an accepted secret")]
    Undecryptable,
    /// The token belongs to another organisation.
    #[error("the resume token belongs to another organisation")]
    WrongOrganisation,
    /// The token is older than its lifetime.
    #[error("the resume token expired {by:?} ago")]
    Expired {
        /// The time since it expired.
        by: Duration,
    },
    /// No secret is configured to seal or open tokens with.
    #[error("no secret is configured for resume tokens")]
    NoSecret,
}

/// The content of a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The organisation that may resume the stream.
    pub organisation: Organisation,
    /// The engine that runs the generation.
    pub target: Target,
    /// The engine's address, which is used even if a later sheet no longer lists the engine.
    pub address: SocketAddr,
    /// The generation whose stream is resumed.
    pub generation: Generation,
    /// The model name as the caller sent it.
    pub model: Model,
    /// When the token was issued.
    pub issued: SystemTime,
}

/// The content of a token and the caller's position in the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// The content of the token.
    pub claim: Claim,
    /// The index of the event that carried the token. The stream continues at the next one.
    pub index: u64,
}

/// Seals and opens resume tokens with XChaCha20-Poly1305.
#[derive(Clone)]
pub struct Sealer {
    ciphers: Vec<XChaCha20Poly1305>,
    lifetime: Duration,
}

impl fmt::Debug for Sealer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Sealer")
            .field("keys", &self.ciphers.len())
            .field("lifetime", &self.lifetime)
            .finish()
    }
}

impl Sealer {
    /// Derives a key from each secret. Tokens are sealed with the first key and opened with any of
    /// them, so that secrets can be rotated without breaking open streams.
    ///
    /// # Errors
    ///
    /// [`Error::NoSecret`] if `secrets` is empty.
    pub fn new<Secret>(secrets: &[Secret], lifetime: Duration) -> Result<Self, Error>
    where
        Secret: AsRef<[u8]>,
    {
        if secrets.is_empty() {
            return Err(Error::NoSecret);
        }
        let ciphers = secrets.iter().map(|secret| cipher(secret.as_ref()));
        Ok(Self {
            ciphers: ciphers.collect(),
            lifetime,
        })
    }

    /// Seals a claim into a token. [`event_id`] appends the index of each event to it.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the claim can't be encoded.
    pub fn seal<R>(&self, claim: &Claim, rng: &mut R) -> Result<String, Error>
    where
        R: Rng + ?Sized,
    {
        let plain = postcard::to_stdvec(claim).map_err(|_| Error::Malformed)?;
        let nonce: [u8; NONCE_BYTES] = rng.random();
        let payload = Payload {
            msg: &plain,
            aad: DOMAIN_SEPARATOR,
        };
        let sealed = self.ciphers[0]
            .encrypt(XNonce::from_slice(&nonce), payload)
            .map_err(|_| Error::Malformed)?;
        Ok(URL_SAFE_NO_PAD.encode([&nonce[..], &sealed].concat()))
    }

    /// Opens the token in an event id that `organisation` sent.
    ///
    /// # Errors
    ///
    /// Every variant of [`Error`] but [`Error::NoSecret`].
    pub fn open(&self, id: &str, organisation: &str, now: SystemTime) -> Result<Position, Error> {
        if id.len() > MAX_EVENT_ID_BYTES {
            return Err(Error::Malformed);
        }
        let (token, index) = id.rsplit_once('.').ok_or(Error::Malformed)?;
        let index = index.parse().map_err(|_| Error::Malformed)?;
        let bytes = URL_SAFE_NO_PAD
            .decode(token)
            .map_err(|_| Error::Malformed)?;
        let (nonce, sealed) = bytes
            .split_at_checked(NONCE_BYTES)
            .ok_or(Error::Malformed)?;
        let plain = self.decrypt(nonce, sealed).ok_or(Error::Undecryptable)?;
        let claim: Claim = postcard::from_bytes(&plain).map_err(|_| Error::Malformed)?;
        if claim.organisation != organisation {
            return Err(Error::WrongOrganisation);
        }
        let age = now.duration_since(claim.issued).unwrap_or_default();
        if age > self.lifetime {
            return Err(Error::Expired {
                by: age - self.lifetime,
            });
        }
        Ok(Position { claim, index })
    }

    fn decrypt(&self, nonce: &[u8], sealed: &[u8]) -> Option<Vec<u8>> {
        self.ciphers.iter().find_map(|cipher| {
            let payload = Payload {
                msg: sealed,
                aad: DOMAIN_SEPARATOR,
            };
            cipher.decrypt(XNonce::from_slice(nonce), payload).ok()
        })
    }
}

/// Returns the id of an event: the stream's token and the event's index.
pub fn event_id(token: &str, index: u64) -> String {
    format!("{token}.{index}")
}

fn cipher(secret: &[u8]) -> XChaCha20Poly1305 {
    let key = Sha256::new()
        .chain_update((DOMAIN_SEPARATOR.len() as u64).to_be_bytes())
        .chain_update(DOMAIN_SEPARATOR)
        .chain_update(secret)
        .finalize();
    XChaCha20Poly1305::new(&key)
}
