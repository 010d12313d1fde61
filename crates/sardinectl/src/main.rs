//! Command-line tool for operators of sardinerelay, described in `docs/SARDINECTL.md`.

mod cli;
mod client;
mod completions;
mod config;
mod error;
mod exit_code;
mod explain;
mod health;
mod key;
mod list;
mod output;
mod sheet;
mod stop;
mod voters;

use {
    anyhow::{Context, Result},
    client::Client,
    config::{Action, Config},
    error::Error,
    exit_code::ExitCode,
    std::process,
};

fn main() -> process::ExitCode {
    let matches = cli::command().get_matches();
    let json = matches.get_flag("json");
    let outcome = Config::from_matches(&matches)
        .map_err(anyhow::Error::from)
        .and_then(start);
    match outcome {
        Ok(code) => code.into(),
        Err(error) => report(&error, json).into(),
    }
}

fn start(config: Config) -> Result<ExitCode> {
    if config.verbose {
        log_to_stderr().context("can't start the log")?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("can't start the async runtime")?;
    let outcome = runtime.block_on(async {
        tokio::select! {
            // The command is polled first, so that the signal keeps its default action while a
            // command reads standard input before its first call.
            biased;
            outcome = run(config) => Ok(outcome?),
            interrupt = tokio::signal::ctrl_c() => {
                interrupt.context("can't wait for the interrupt signal")?;
                output::note("sardinectl: interrupted; a change that was sent may still be made");
                Ok(ExitCode::Interrupted)
            }
        }
    });
    // A pending DNS lookup must not delay the exit.
    runtime.shutdown_background();
    outcome
}

async fn run(config: Config) -> Result<ExitCode, Error> {
    let json = config.json;
    let mut client = Client::new(config.client.clone());
    match config.action {
        Action::SheetCheck { file, compare } => {
            sheet::check(&mut client, &file, compare, json).await
        }
        Action::SheetSubmit { file, change } => {
            sheet::submit(&mut client, &file, change, json).await
        }
        Action::SheetShow => sheet::show(&mut client, json).await,
        Action::Hosts => list::hosts(&mut client, json).await,
        Action::Targets => list::targets(&mut client, json).await,
        Action::Organisations => list::organisations(&mut client, json).await,
        Action::Queues => list::queues(&mut client, json).await,
        Action::Voters => voters::list(&mut client, json).await,
        Action::VotersReplace { request, wait } => {
            voters::replace(&mut client, request, wait, json).await
        }
        Action::Stop { subject, change } => stop::run(&mut client, subject, change, json).await,
        Action::Explain(code) => explain::run(code, json),
        Action::KeyHash => key::hash(json),
        Action::Health => health::run(&config.client, json).await,
        Action::Completions(shell) => completions::run(shell),
    }
}

fn report(error: &anyhow::Error, json: bool) -> ExitCode {
    match error.downcast_ref::<Error>() {
        Some(error) if error.is_broken_pipe() => ExitCode::Success,
        Some(error) => output::report(error, json),
        None => {
            output::note(&format!("sardinectl: {error:#}"));
            ExitCode::General
        }
    }
}

fn log_to_stderr() -> Result<()> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for(env!("CARGO_PKG_NAME"), log::LevelFilter::Info)
        .format(|out, message, record| {
            out.finish(format_args!("{}: {message}", record.level()));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
