//! Exit codes of the process, which supervisors and scripts can rely on.

use std::process;

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The process was stopped and finished all requests.
    Success = 0,
    /// Any failure without a code of its own.
    General = 1,
    /// The settings can't be read or are invalid.
    Settings = 2,
    /// The process was stopped and left requests unfinished.
    Forced = 3,
    /// The replica ended, for example because a write failed.
    Replica = 4,
    /// The replica was removed from the group while it was down or unreachable. It rejoins as a new
    /// member.
    Removed = 5,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
