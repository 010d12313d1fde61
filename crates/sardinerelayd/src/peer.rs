//! JSON-RPC over WebSocket between hosts.
//!
//! Every call has a deadline. A connection that misses one is dropped, and the next call opens a
//! new one, because a connection can go silent while new ones work (section 5 of
//! `docs/design.md`). Content travels as postcard in base64: replicated commands in plain JSON are
//! more than twice as large.

mod client;
mod io;
mod notification;
mod outbox;
mod packed;
mod secret;
mod server;

pub use self::{
    client::Client,
    notification::NotificationHandler,
    outbox::{Outbox, STEP, Step},
    packed::Packed,
    secret::{Error as SecretError, Secret, Secrets},
    server::Server,
};

use {
    jsonrpsee::types::{ErrorObjectOwned, Params},
    serde::de::DeserializeOwned,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    thiserror::Error,
};

/// Largest request in bytes. It leaves room for a proposal of 4 MiB in base64.
pub const MAX_REQUEST_BYTES: u32 = 8 << 20;

/// Largest response in bytes. A whole view is the largest one.
pub const MAX_RESPONSE_BYTES: u32 = 64 << 20;

/// Time limits of connections.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time without any byte from the other side, pongs included, after which a connection is
    /// closed.
    pub silence: Duration,
}

impl Default for Timeouts {
    /// A relay whose connections go silent is passed over after about 1 s, so that a sheet is in force
    /// within 2 s. With a silence of 2 s it took 3 s.
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            silence: Duration::from_secs(1),
        }
    }
}

/// Why a call failed.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection could be opened, so nothing was sent.
    #[error("no connection to {address}: {reason}")]
    Connect {
        /// The other host.
        address: SocketAddr,
        /// The cause.
        reason: ConnectError,
    },
    /// There was no answer within the deadline.
    #[error("no answer from {address} within {deadline:?}")]
    Deadline {
        /// The other host.
        address: SocketAddr,
        /// The deadline.
        deadline: Duration,
    },
    /// The connection broke before the answer.
    #[error("the connection to {address} broke: {source}")]
    Broken {
        /// The other host.
        address: SocketAddr,
        /// The cause.
        source: jsonrpsee::core::client::Error,
    },
    /// The other host answered with an error.
    #[error("{address} answered with error {code}: {message}")]
    Remote {
        /// The other host.
        address: SocketAddr,
        /// The JSON-RPC error code.
        code: i32,
        /// Its message.
        message: String,
    },
    /// The parameters can't be encoded, so nothing was sent.
    #[error("the parameters can't be encoded")]
    Encoding(#[from] serde_json::Error),
}

/// Why no connection could be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// TCP refused or failed.
    #[error(transparent)]
    Tcp(#[from] std::io::Error),
    /// The WebSocket handshake failed, for example because the secret was refused.
    #[error(transparent)]
    Handshake(#[from] jsonrpsee::core::client::Error),
    /// It took too long.
    #[error("timed out")]
    Deadline,
}

impl Error {
    /// Whether the other host certainly received nothing of the call.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Encoding(_))
    }
}

/// Bytes and messages of all peer connections. Bytes are those of the TCP streams.
#[derive(Debug, Default)]
pub struct Counters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// The counters' values at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Requests, responses and notifications sent.
    pub sent: u64,
    /// Requests, responses and notifications received.
    pub received: u64,
}

impl Counters {
    /// The values now.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }

    /// Counts a message sent.
    pub fn count_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a message received.
    pub fn count_received(&self) {
        self.received.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a received call and reads its one parameter.
    ///
    /// # Errors
    ///
    /// The error that the caller gets if the parameter can't be read.
    pub fn parse_call<P>(&self, parameters: &Params<'_>) -> Result<P, ErrorObjectOwned>
    where
        P: DeserializeOwned,
    {
        self.count_received();
        parameters.parse::<(P,)>().map(|(parameter,)| parameter)
    }
}

/// Counters that several connections share.
pub type SharedCounters = Arc<Counters>;
