//! Exit codes, documented in `docs/SARDINECTL.md`.

use std::process;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// Done.
    Success = 0,
    /// Any other failure.
    General = 1,
    /// Wrong flags or arguments; also used by `clap`.
    Usage = 2,
    /// The sheet has errors.
    InvalidSheet = 3,
    /// Another sheet holds the number, or a higher number is accepted, or the proposal id
    /// belongs to a different change.
    Conflict = 4,
    /// No server answered.
    Unreachable = 5,
    /// A server refused the call, which was not run.
    Refused = 6,
    /// The change may or may not have been made.
    OutcomeUnknown = 7,
    /// The change is accepted, but was not seen to complete within `--wait`.
    Incomplete = 8,
    /// Interrupted by the user.
    Interrupted = 130,
}

impl ExitCode {
    /// The number that the shell sees.
    pub fn number(self) -> u8 {
        self as u8
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        code.number().into()
    }
}
