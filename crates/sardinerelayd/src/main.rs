//! The daemon: settings in, one run, an exit code out.

use {
    sardinerelayd::{cli, config, exit_code::ExitCode, logging, run},
    std::{env, process},
};

fn main() -> process::ExitCode {
    let matches = cli::parse(env::args_os());
    let config = match config::resolve(&matches) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("sardinerelayd: {error}");
            return ExitCode::Settings.into();
        }
    };
    if let Err(error) = logging::start(&config) {
        eprintln!("sardinerelayd: starting the log failed: {error}");
        return ExitCode::General.into();
    }
    run::run(&config).into()
}
