//! `explain`: explains the refusal codes that callers receive.

use {
    crate::{error::Error, exit_code::ExitCode, output},
    sardinerelay::refusal_code::{Code, Entry, Retry, Run, TABLE},
};

/// Explains one code, or all of them.
pub fn run(code: Option<Code>, json: bool) -> Result<ExitCode, Error> {
    match (code, json) {
        (Some(code), true) => output::print_json(code.entry())?,
        (Some(code), false) => output::print(&explanation(code.entry()))?,
        (None, true) => output::print_json(&TABLE[..])?,
        (None, false) => output::print(&TABLE.each_ref().map(explanation).join("\n"))?,
    }
    Ok(ExitCode::Success)
}

fn explanation(entry: &Entry) -> String {
    format!(
        "{} (HTTP status {})\n  {}\n  Run:   {}\n  Retry: {}\n  To do: {}\n",
        entry.text,
        entry.status,
        entry.meaning,
        run_text(entry.run),
        retry_text(entry.retry),
        entry.advice,
    )
}

fn run_text(run: Run) -> &'static str {
    match run {
        Run::NotRun => "the request was not run",
        Run::Unknown => "the request may have run, in whole or in part",
    }
}

fn retry_text(retry: Retry) -> &'static str {
    match retry {
        Retry::No => "no, the same request would be refused again",
        Retry::Later => "yes, after a delay",
        Retry::Elsewhere => "yes, immediately, on another entry host",
        Retry::SameKey => "yes, with the same idempotency key",
    }
}
