//! The daemon of an entry host.

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
        eprintln!("sardinerelayd: can't set up logging: {error}");
        return ExitCode::General.into();
    }
    run::run(&config).into()
}
