//! Error codes of the operators' JSON-RPC interface.

use {
    super::Finding,
    crate::refusal_code::Run,
    serde::{Deserialize, Serialize},
};

/// Why a call failed.
///
/// The numbers lie outside the range that JSON-RPC reserves (-32768 to -32000), so that they can't
/// be confused with errors of the protocol itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(i32)]
pub enum ErrorCode {
    /// The shared secret is missing or wrong.
    Unauthorized = -31001,
    /// The parameters can't be decoded, or the number or digest doesn't match the sheet's text.
    InvalidRequest = -31002,
    /// The sheet has errors, which [`ErrorData::faults`] lists.
    InvalidSheet = -31003,
    /// The proposal id belongs to a different change.
    ProposalReused = -31004,
    /// There is no such host, target or stop.
    UnknownName = -31005,
    /// No leader with a quorum is reachable.
    NoQuorum = -31006,
    /// The host isn't ready to answer yet.
    NotReady = -31007,
    /// Too many operator calls run at the same time.
    Busy = -31008,
    /// The change was handed to the leader, but its result did not arrive in time.
    OutcomeUnknown = -31009,
    /// An internal error of the daemon.
    Internal = -31010,
    /// The membership change is not possible in the group's current state, or the leader's settings
    /// don't list the new host.
    MembershipRefused = -31011,
}

impl ErrorCode {
    /// Every code.
    pub const ALL: [Self; 11] = [
        Self::Unauthorized,
        Self::InvalidRequest,
        Self::InvalidSheet,
        Self::ProposalReused,
        Self::UnknownName,
        Self::NoQuorum,
        Self::NotReady,
        Self::Busy,
        Self::OutcomeUnknown,
        Self::Internal,
        Self::MembershipRefused,
    ];

    /// The `code` of the JSON-RPC error object.
    pub fn number(self) -> i32 {
        self as i32
    }

    /// Looks up a code by its number.
    pub fn from_number(number: i32) -> Option<Self> {
        Self::ALL.into_iter().find(|code| code.number() == number)
    }

    /// Whether the call may have made its change.
    pub fn run(self) -> Run {
        match self {
            Self::OutcomeUnknown | Self::Internal => Run::Unknown,
            _ => Run::NotRun,
        }
    }

    /// Whether another entry host may be able to answer the same call.
    pub fn should_try_next_server(self) -> bool {
        matches!(
            self,
            Self::NoQuorum | Self::NotReady | Self::Busy | Self::OutcomeUnknown | Self::Internal
        )
    }
}

/// The `data` member of a JSON-RPC error object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorData {
    /// The errors in the sheet, for [`ErrorCode::InvalidSheet`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Finding>,
}
