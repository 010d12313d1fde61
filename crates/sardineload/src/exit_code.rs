//! Exit codes.

use std::process;

/// Result of the program; clap exits with 2 for a wrong command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The run is complete and no answer violates a guarantee.
    Success,
    /// The run or its report failed.
    Failure,
    /// The run is complete and shows violations.
    Violations,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => Self::from(0),
            ExitCode::Failure => Self::from(1),
            ExitCode::Violations => Self::from(3),
        }
    }
}
