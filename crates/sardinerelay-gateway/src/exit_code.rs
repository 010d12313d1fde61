//! Exit codes.

use std::process;

/// Why a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// It was stopped and finished everything.
    Success = 0,
    /// Something failed that has no code of its own.
    General = 1,
    /// The settings are wrong.
    Settings = 2,
    /// It was stopped and requests were left unfinished.
    Forced = 3,
    /// The replica ended, for example because a write failed.
    Replica = 4,
    /// The replica was removed from the group while it was away; it comes back as a newcomer.
    Removed = 5,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
