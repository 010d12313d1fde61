//! Exit codes of the daemon.

use std::process;

/// Why the daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// A planned stop went through.
    Success,
    /// A failure that no other code names.
    General,
    /// A setting is missing, malformed or contradicts another one.
    Settings,
    /// An address could not be bound.
    Bind,
    /// The data directory is damaged, locked or belongs to another host.
    Data,
    /// A write or sync to the data directory failed.
    Sync,
    /// The planned stop did not finish within its deadline and streams were cut.
    Forced,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        process::ExitCode::from(match code {
            ExitCode::Success => 0,
            ExitCode::General => 1,
            ExitCode::Settings => 2,
            ExitCode::Bind => 3,
            ExitCode::Data => 4,
            ExitCode::Sync => 5,
            ExitCode::Forced => 6,
        })
    }
}
