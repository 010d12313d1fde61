//! Exit codes of the daemon.

use std::process;

/// The reason for which the daemon exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The daemon stopped as planned and all open requests finished.
    Success,
    /// Any failure without a code of its own.
    General,
    /// A setting is missing, invalid or in conflict with another one.
    Settings,
    /// An address can't be bound.
    Bind,
    /// The data directory is damaged, locked or belongs to another host, or has no replica although
    /// this host must have one.
    Data,
    /// A write or sync to the data directory failed.
    Sync,
    /// Streams were still open at the drain deadline of a planned stop and were cut off.
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
