//! Errors of the operator's JSON-RPC.

use {
    super::Finding,
    crate::refusal_code::Run,
    serde::{Deserialize, Serialize},
};

/// Why a call failed.
///
/// The numbers lie outside the range that JSON-RPC reserves (-32768 to -32000), so that errors
/// of the protocol itself can't be mistaken for these.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(i32)]
pub enum ErrorCode {
    /// The shared secret is missing or wrong.
    Unauthorized = -31001,
    /// The parameters do not decode, or number or digest do not match the sheet's text.
    InvalidRequest = -31002,
    /// The sheet has errors, which [`ErrorData::faults`] lists.
    InvalidSheet = -31003,
    /// The proposal id belongs to a different change.
    ProposalReused = -31004,
    /// There is no such host, target or stop.
    UnknownName = -31005,
    /// No leader with a quorum can be reached.
    NoQuorum = -31006,
    /// The host can't answer yet.
    NotReady = -31007,
    /// Too many operator calls at the same time.
    Busy = -31008,
    /// The change was handed to the leader, but its result did not arrive in time.
    OutcomeUnknown = -31009,
    /// A fault in the daemon.
    Internal = -31010,
    /// The membership change does not fit the group, or the new host is not listed.
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

    /// The number in the JSON-RPC error object.
    pub fn number(self) -> i32 {
        self as i32
    }

    /// The code with this number.
    pub fn from_number(number: i32) -> Option<Self> {
        Self::ALL.into_iter().find(|code| code.number() == number)
    }

    /// Whether the change was certainly not made.
    pub fn run(self) -> Run {
        match self {
            Self::OutcomeUnknown | Self::Internal => Run::Unknown,
            _ => Run::NotRun,
        }
    }

    /// Whether another entry host may answer the same call.
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
    /// The sheet's errors, for [`ErrorCode::InvalidSheet`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Finding>,
}
