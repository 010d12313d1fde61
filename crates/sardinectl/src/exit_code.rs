//! Exit codes, documented in `docs/SARDINECTL.md`.

use std::process;

/// The exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// The command succeeded.
    Success = 0,
    /// Any other failure.
    General = 1,
    /// Wrong flags or arguments. `clap` uses the same code.
    Usage = 2,
    /// The sheet has errors.
    InvalidSheet = 3,
    /// Another sheet has the number, a sheet with a higher number is accepted, or the proposal id
    /// belongs to a different change.
    Conflict = 4,
    /// No server answered.
    Unreachable = 5,
    /// A server refused the call without running it.
    Refused = 6,
    /// The change may or may not have been made.
    OutcomeUnknown = 7,
    /// The change is accepted, but was not seen to complete within `--wait`.
    Incomplete = 8,
    /// Interrupted by the user.
    Interrupted = 130,
}

impl ExitCode {
    /// The number that the process exits with.
    pub fn number(self) -> u8 {
        self as u8
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        code.number().into()
    }
}
