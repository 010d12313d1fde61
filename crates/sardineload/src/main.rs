//! Program that runs a load test against the OpenAI-compatible HTTP API.

mod cli;
mod exit_code;

use {
    anyhow::{Context, Result},
    exit_code::ExitCode,
    sardineload::{chart, config::Config, report::Report, run::run},
    std::{fs, process},
    tokio::runtime::Builder,
};

fn main() -> process::ExitCode {
    let code = run_program().unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        ExitCode::Failure
    });
    code.into()
}

fn run_program() -> Result<ExitCode> {
    let config = cli::parse()?;
    init_logging()?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(config.threads)
        .enable_all()
        .build()
        .context("starting the runtime")?;
    let report = runtime.block_on(run(config.clone()))?;
    write_report(&config, &report)?;
    Ok(match report.violations() {
        0 => ExitCode::Success,
        _ => ExitCode::Violations,
    })
}

fn write_report(config: &Config, report: &Report) -> Result<()> {
    print!("{report}");
    if let Some(path) = &config.json {
        let text = serde_json::to_string_pretty(report).context("writing the report as JSON")?;
        fs::write(path, text).with_context(|| format!("writing {}", path.display()))?;
    }
    if let Some(path) = &config.svg {
        let text = chart::draw(report)?;
        fs::write(path, text).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(())
}

fn init_logging() -> Result<()> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {} {message}",
                humantime::format_rfc3339_millis(std::time::SystemTime::now()),
                record.level()
            ));
        })
        .level(log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()
        .context("setting up logging")
}
