//! Translation of requests, configurations, lists and reports to and from the platform's wire
//! format.
//!
//! The gateway knows only its own types. An adapter provides a [`Codec`] whose functions translate
//! them; it makes no decisions.

use {
    crate::{
        call::{
            Call, Forward, OperatorCall, ReservationRequest, ResponseHead, RunReport, Transfer,
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

/// Input that can't be parsed. Its text is part of responses to callers and operators.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{location}: {reason}")]
pub struct ParseError {
    /// The header, field or path at fault.
    pub location: String,
    /// What is wrong with it.
    pub reason: String,
}

impl ParseError {
    /// Creates the error for a header, field or path.
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
    /// Entries that could be parsed.
    pub instances: Vec<Instance>,
    /// Errors of the entries that could not be parsed, for the log.
    pub skipped: Vec<ParseError>,
    /// The token of the next page, none on the last one.
    pub next: Option<String>,
}

/// The functions that an adapter provides.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Parses the head of a caller's request.
    pub parse_call: fn(&request::Parts) -> Result<Call, ParseError>,
    /// Makes the headers of a request to a target from the caller's headers and what the relay
    /// adds.
    pub forward_headers: fn(&HeaderMap, &Forward) -> HeaderMap,
    /// Parses the headers of a target's response.
    pub parse_response_head: fn(&HeaderMap) -> ResponseHead,
    /// Name of the response header that repeats the attempt's ID, in lower case.
    pub id_header: &'static str,
    /// Returns what an operator's request with this method and path asks for, none if there is no
    /// such call.
    pub parse_operator_call: fn(&Method, &str) -> Option<OperatorCall>,
    /// Parses a configuration, which [`crate::table::Table::check`] then checks.
    pub parse_configuration: fn(&[u8]) -> Result<Draft, ParseError>,
    /// Makes the request for a page of the platform's list, the first page if there is no token.
    pub list_request: fn(SocketAddr, Option<&str>) -> Request<Full<Bytes>>,
    /// Parses a page of the list. Malformed entries are skipped.
    pub parse_list: fn(&[u8]) -> Result<ListPage, ParseError>,
    /// Makes the request for a target's load report.
    pub load_request: fn(SocketAddr) -> Request<Full<Bytes>>,
    /// Parses the body of a target's load report.
    pub parse_load: fn(&[u8]) -> Result<Load, ParseError>,
    /// Parses what the same report says of the attempts that an engine works on.
    pub parse_runs: fn(&[u8]) -> Result<RunReport, ParseError>,
    /// Makes the request for a transfer, to the engine with this address.
    pub transfer_request: fn(SocketAddr, &Transfer) -> Request<Full<Bytes>>,
    /// Parses the status and the body of an engine's response to a transfer.
    pub parse_transfer: fn(StatusCode, &[u8]) -> Result<TransferOutcome, ParseError>,
    /// Makes the request for a reservation, to the engine with this address.
    pub reserve_request: fn(SocketAddr, ReservationRequest) -> Request<Full<Bytes>>,
    /// Parses the response to a reservation: its name, or none if the engine lacks the memory.
    pub parse_reservation: fn(StatusCode, &[u8]) -> Result<Option<CompactString>, ParseError>,
    /// Path of the readiness check, which asks whether this host accepts new connections.
    pub ready_path: &'static str,
}
