//! How requests, configurations, lists and reports are written on the wire.
//!
//! The gateway knows only the types here. An adapter fills a [`Codec`] with functions that
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
#[error("{location}: {reason}")]
pub struct ParseError {
    /// The header or field.
    pub location: String,
    /// What is wrong with it.
    pub reason: String,
}

impl ParseError {
    /// At a place, for a reason.
    pub fn new<Location, Reason>(location: Location, reason: Reason) -> Self
    where
        Location: Into<String>,
        Reason: ToString,
    {
        Self {
            location: location.into(),
            reason: reason.to_string(),
        }
    }
}

/// One page of the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListPage {
    /// Entries that could be read.
    pub instances: Vec<Instance>,
    /// Entries that could not, and why.
    pub skipped: Vec<ParseError>,
    /// The token of the next page.
    pub next: Option<String>,
}

/// The functions of an adapter.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Reads a caller's request.
    pub parse_call: fn(&request::Parts) -> Result<Call, ParseError>,
    /// The headers of a request that goes to a target, from the caller's and what is added.
    pub forward_headers: fn(&HeaderMap, &Forward) -> HeaderMap,
    /// Reads the head of a target's answer.
    pub parse_response_head: fn(&HeaderMap) -> ResponseHead,
    /// The header that repeats an attempt's id in answers, in lower case.
    pub id_header: &'static str,
    /// The call that an operator's request makes.
    pub parse_operator_call: fn(&Method, &str) -> Option<OperatorCall>,
    /// Reads a configuration.
    pub parse_configuration: fn(&[u8]) -> Result<Draft, ParseError>,
    /// The request for a page of the platform's list.
    pub list_request: fn(SocketAddr, Option<&str>) -> Request<Full<Bytes>>,
    /// Reads a page of the list.
    pub parse_list: fn(&[u8]) -> Result<ListPage, ParseError>,
    /// The request for a target's load report.
    pub load_request: fn(SocketAddr) -> Request<Full<Bytes>>,
    /// Reads a load report.
    pub parse_load: fn(&[u8]) -> Result<Load, ParseError>,
    /// The request for a transfer at the engine with this address.
    pub transfer_request: fn(SocketAddr, &Transfer) -> Request<Full<Bytes>>,
    /// Reads the answer to a transfer.
    pub parse_transfer: fn(StatusCode, &[u8]) -> Result<TransferOutcome, ParseError>,
    /// The request for a reservation at the engine with this address.
    pub reserve_request: fn(SocketAddr, ReservationRequest) -> Request<Full<Bytes>>,
    /// Reads the answer to a request for a reservation: its name, or nothing if there is no room.
    pub parse_reservation: fn(StatusCode, &[u8]) -> Result<Option<CompactString>, ParseError>,
    /// The path that asks whether this host takes new connections.
    pub ready_path: &'static str,
}
