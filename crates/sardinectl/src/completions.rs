//! `completions`: prints a shell's completion script.

use {
    crate::{cli, error::Error, exit_code::ExitCode, output},
    clap_complete::Shell,
};

/// Prints the script. It is generated in memory first, because the generator panics if standard
/// output is closed.
pub fn run(shell: Shell) -> Result<ExitCode, Error> {
    let mut script = Vec::new();
    let mut command = cli::command();
    clap_complete::generate(shell, &mut command, env!("CARGO_PKG_NAME"), &mut script);
    output::print(&String::from_utf8_lossy(&script))?;
    Ok(ExitCode::Success)
}
