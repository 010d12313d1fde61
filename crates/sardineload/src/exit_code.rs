//! Exit codes of the program.

use std::process;

/// Result of the program. Clap exits with 2 on an invalid command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The run completed without violations.
    Success,
    /// The run or the output of its report failed.
    Failure,
    /// The run completed with violations.
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
