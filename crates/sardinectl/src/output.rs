//! Prints results for people and for programs.

use {
    crate::{error::Error, exit_code::ExitCode},
    sardinerelay::operator::Finding,
    serde::Serialize,
    std::{
        io::{self, Write},
        time::{Duration, SystemTime},
    },
};

/// Shown in place of a value that does not exist.
pub const ABSENT: &str = "-";

/// Space between two columns.
const GAP: &str = "  ";

/// Alignment of a column.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Align {
    /// For text.
    Left,
    /// For numbers.
    Right,
}

/// A column of a table.
#[derive(Debug, Clone, Copy)]
pub struct Column {
    /// Its title.
    pub title: &'static str,
    /// Its alignment.
    pub align: Align,
}

/// A column of text.
pub const fn text(title: &'static str) -> Column {
    let align = Align::Left;
    Column { title, align }
}

/// A column of numbers.
pub const fn number(title: &'static str) -> Column {
    let align = Align::Right;
    Column { title, align }
}

/// Formats rows under their titles, in columns as wide as their widest cell.
pub fn table<const COLUMNS: usize>(
    columns: [Column; COLUMNS],
    rows: &[[String; COLUMNS]],
) -> String {
    let titles = columns.map(|column| column.title.to_owned());
    let mut widths = titles.clone().map(|title| width(&title));
    for row in rows {
        for (width_so_far, cell) in widths.iter_mut().zip(row) {
            *width_so_far = width(cell).max(*width_so_far);
        }
    }
    let mut text = String::new();
    for row in std::iter::once(&titles).chain(rows) {
        let mut line = String::new();
        for ((cell, column), width) in row.iter().zip(columns).zip(widths) {
            match column.align {
                Align::Left => line.push_str(&format!("{cell:<width$}{GAP}")),
                Align::Right => line.push_str(&format!("{cell:>width$}{GAP}")),
            }
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

fn width(text: &str) -> usize {
    text.chars().count()
}

/// Prints text on standard output.
pub fn print(text: &str) -> Result<(), Error> {
    io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

/// Prints one JSON document on standard output.
pub fn print_json<T>(value: &T) -> Result<(), Error>
where
    T: Serialize + ?Sized,
{
    let mut stdout = io::stdout().lock();
    serde_json::to_writer_pretty(&mut stdout, value).map_err(io::Error::from)?;
    writeln!(stdout)?;
    Ok(())
}

/// Prints a note or progress on standard error, where it does not disturb the result.
pub fn note(text: &str) {
    // Standard error that is closed must not fail a change that is under way.
    let _ = writeln!(io::stderr(), "{text}");
}

/// The error document of `--json`.
#[derive(Debug, Serialize)]
struct ErrorDocument {
    error: ErrorBody,
}

/// What went wrong.
#[derive(Debug, Serialize)]
struct ErrorBody {
    exit_code: u8,
    message: String,
    faults: Vec<Finding>,
}

/// Reports a failure, and as JSON on standard output too if programs read it.
pub fn report(error: &Error, json: bool) -> ExitCode {
    let code = error.exit_code();
    let faults = error.faults();
    faults.iter().for_each(|fault| note(&fault.to_string()));
    note(&format!("sardinectl: {error}"));
    if json {
        let document = ErrorDocument {
            error: ErrorBody {
                exit_code: code.number(),
                message: error.to_string(),
                faults,
            },
        };
        // The exit code already states the failure.
        let _ = print_json(&document);
    }
    code
}

/// A duration in milliseconds, for example `1s 250ms`.
pub fn duration(milliseconds: u64) -> String {
    humantime::format_duration(Duration::from_millis(milliseconds)).to_string()
}

/// A time in milliseconds since the Unix epoch, in RFC 3339 and UTC.
pub fn timestamp(milliseconds: u64) -> String {
    let since_epoch = Duration::from_millis(milliseconds);
    match SystemTime::UNIX_EPOCH.checked_add(since_epoch) {
        Some(time) if milliseconds <= LAST_TIMESTAMP_MS => {
            humantime::format_rfc3339_seconds(time).to_string()
        }
        _ => ABSENT.to_owned(),
    }
}

/// The end of the year 9999, after which RFC 3339 has no form.
const LAST_TIMESTAMP_MS: u64 = 253_402_300_799_000;

/// The serde name of a state.
pub fn state<T>(value: &T) -> String
where
    T: Serialize,
{
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => ABSENT.to_owned(),
    }
}
