//! How requests, configurations, lists and reports are written on the wire.
//!
//! The gateway knows only the types here. An adapter fills a [`Dialect`] with functions that
//! translate; it makes no decisions.

use {
    crate::{
        call::{
            Call, Forward, OperatorCall, ReservationRequest, ResponseHead, Transfer,
            TransferOutcome,
        },
        observations::{Instance, Load},
        table::Draft,
    },
    bytes::Bytes,
    compact_str::CompactString,
    http::{HeaderMap, Method, Request, StatusCode, request},
    http_body_util::Full,
    std::net::SocketAddr,
    thiserror::Error,
};

/// Why something can't be read, with the place.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{place}: {reason}")]
pub struct Unreadable {
    /// The header or field.
    pub place: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Unreadable {
    /// At a place, for a reason.
    pub fn new<Place, Reason>(place: Place, reason: Reason) -> Self
    where
        Place: Into<String>,
        Reason: ToString,
    {
        Self {
            place: place.into(),
            reason: reason.to_string(),
        }
    }
}

/// One page of the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Entries that could be read.
    pub instances: Vec<Instance>,
    /// Entries that could not, and why.
    pub skipped: Vec<Unreadable>,
    /// The token of the next page.
    pub next: Option<String>,
}

/// The functions of an adapter.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Reads a caller's request.
    pub call: fn(&request::Parts) -> Result<Call, Unreadable>,
    /// The headers of a request that goes to a target, from the caller's and what is added.
    pub forward: fn(&HeaderMap, &Forward) -> HeaderMap,
    /// Reads the head of a target's answer.
    pub answer: fn(&HeaderMap) -> ResponseHead,
    /// The header that repeats an attempt's id in answers, in lower case.
    pub id_header: &'static str,
    /// The call that an operator's request makes.
    pub operator: fn(&Method, &str) -> Option<OperatorCall>,
    /// Reads a configuration.
    pub configuration: fn(&[u8]) -> Result<Draft, Unreadable>,
    /// The request for a page of the platform's list.
    pub list_request: fn(SocketAddr, Option<&str>) -> Request<Full<Bytes>>,
    /// Reads a page of the list.
    pub list: fn(&[u8]) -> Result<Page, Unreadable>,
    /// The request for a target's load report.
    pub report_request: fn(SocketAddr) -> Request<Full<Bytes>>,
    /// Reads a load report.
    pub report: fn(&[u8]) -> Result<Load, Unreadable>,
    /// The request for a transfer at the engine with this address.
    pub transfer_request: fn(SocketAddr, &Transfer) -> Request<Full<Bytes>>,
    /// Reads the answer to a transfer.
    pub transfer: fn(StatusCode, &[u8]) -> Result<TransferOutcome, Unreadable>,
    /// The request for a reservation at the engine with this address.
    pub reserve_request: fn(SocketAddr, ReservationRequest) -> Request<Full<Bytes>>,
    /// Reads the answer to a request for a reservation: its name, or nothing if there is no room.
    pub reserve: fn(StatusCode, &[u8]) -> Result<Option<CompactString>, Unreadable>,
    /// The path that asks whether this host takes new connections.
    pub ready_path: &'static str,
}
