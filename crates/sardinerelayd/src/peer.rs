//! JSON-RPC over WebSocket between hosts.
//!
//! Every call has a timeout. After a timeout the connection is dropped, and the next call opens a
//! new one, because an established connection can go silent while new ones work (section 5 of
//! `docs/design.md`). Replicated commands are sent in postcard encoding within base64; in plain
//! JSON they would be more than twice as large.

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
    jsonrpsee::types::{ErrorCode, ErrorObjectOwned, Params},
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

/// Largest request in bytes, which leaves room for a proposal of 4 MiB in base64.
pub const MAX_REQUEST_BYTES: u32 = 8 << 20;

/// Largest response in bytes. The largest responses contain a whole view.
pub const MAX_RESPONSE_BYTES: u32 = 64 << 20;

/// Timeouts of connections between hosts.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time without any byte from the other host, pongs included, after which a connection is
    /// closed.
    pub silence: Duration,
}

impl Default for Timeouts {
    /// A relay host whose connections go silent is skipped after about 1 s, so that a new sheet is
    /// in force within 2 s. With a silence of 2 s, it would take 3 s.
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
        /// Address of the other host.
        address: SocketAddr,
        reason: ConnectError,
    },
    /// No answer arrived in time.
    #[error("no answer from {address} within {timeout:?}")]
    Timeout {
        /// Address of the other host.
        address: SocketAddr,
        /// Time that the caller allowed.
        timeout: Duration,
    },
    /// The connection was lost before the answer arrived.
    #[error("the connection to {address} broke: {source}")]
    Broken {
        /// Address of the other host.
        address: SocketAddr,
        source: jsonrpsee::core::client::Error,
    },
    /// The other host answered with an error.
    #[error("{address} answered with error {code}: {message}")]
    Remote {
        /// Address of the other host.
        address: SocketAddr,
        /// The JSON-RPC error code.
        code: i32,
        message: String,
    },
    /// The parameters can't be encoded, so nothing was sent.
    #[error("the parameters can't be encoded")]
    Encoding(#[from] serde_json::Error),
}

/// Why no connection could be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The TCP connection was refused or failed.
    #[error(transparent)]
    Tcp(#[from] std::io::Error),
    /// The WebSocket handshake failed, for example because the secret was refused.
    #[error(transparent)]
    Handshake(#[from] jsonrpsee::core::client::Error),
    /// The connection was not open in time.
    #[error("timed out")]
    Timeout,
}

impl Error {
    /// Whether the call is known not to have reached the other host.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Encoding(_))
    }

    /// Whether the other host doesn't know the method, because it runs another version.
    pub fn is_unknown_method(&self) -> bool {
        matches!(self, Self::Remote { code, .. } if *code == ErrorCode::MethodNotFound.code())
    }
}

/// Counts bytes and messages of all connections between hosts. Bytes are those of the TCP streams.
#[derive(Debug, Default)]
pub struct Counters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    sent_messages: AtomicU64,
    received_messages: AtomicU64,
}

/// The values of [`Counters`] at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent on the TCP streams.
    pub sent_bytes: u64,
    /// Bytes received on the TCP streams.
    pub received_bytes: u64,
    /// Requests, responses and notifications sent.
    pub sent_messages: u64,
    /// Requests, responses and notifications received.
    pub received_messages: u64,
}

impl Counters {
    /// Returns the current values.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            sent_messages: self.sent_messages.load(Ordering::Relaxed),
            received_messages: self.received_messages.load(Ordering::Relaxed),
        }
    }

    /// Counts one sent message.
    pub fn count_sent(&self) {
        self.sent_messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one received message.
    pub fn count_received(&self) {
        self.received_messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a received call and parses its only parameter.
    ///
    /// # Errors
    ///
    /// The JSON-RPC error for the caller if the parameter can't be parsed.
    pub fn parse_call<P>(&self, parameters: &Params<'_>) -> Result<P, ErrorObjectOwned>
    where
        P: DeserializeOwned,
    {
        self.count_received();
        parameters.parse::<(P,)>().map(|(parameter,)| parameter)
    }
}

/// Counters shared by several connections.
pub type SharedCounters = Arc<Counters>;
