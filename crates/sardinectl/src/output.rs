//! Output on standard output and standard error, as text or as JSON.

use {
    crate::{error::Error, exit_code::ExitCode},
    sardinerelay::operator::Finding,
    serde::Serialize,
    std::{
        io::{self, Write},
        time::{Duration, SystemTime},
    },
};

/// Table cell for a value that is absent.
pub const ABSENT: &str = "-";

/// Separator between two columns of a table.
const COLUMN_GAP: &str = "  ";

/// The alignment of a column's cells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Align {
    /// For text.
    Left,
    /// For numbers.
    Right,
}

/// A column of a table, without its cells.
#[derive(Debug, Clone, Copy)]
pub struct Column {
    /// The title in the first line.
    pub title: &'static str,
    /// The alignment of its cells and title.
    pub align: Align,
}

/// A column of text, aligned left.
pub const fn text(title: &'static str) -> Column {
    let align = Align::Left;
    Column { title, align }
}

/// A column of numbers, aligned right.
pub const fn number(title: &'static str) -> Column {
    let align = Align::Right;
    Column { title, align }
}

/// Formats a table with a line of titles. Each column is as wide as its widest cell or title.
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
                Align::Left => line.push_str(&format!("{cell:<width$}{COLUMN_GAP}")),
                Align::Right => line.push_str(&format!("{cell:>width$}{COLUMN_GAP}")),
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

/// Prints text to standard output.
///
/// # Errors
///
/// [`Error::Output`] if it can't be written.
pub fn print(text: &str) -> Result<(), Error> {
    io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

/// Prints one JSON document to standard output.
///
/// # Errors
///
/// [`Error::Output`] if it can't be written.
pub fn print_json<T>(value: &T) -> Result<(), Error>
where
    T: Serialize + ?Sized,
{
    let mut stdout = io::stdout().lock();
    serde_json::to_writer_pretty(&mut stdout, value).map_err(io::Error::from)?;
    writeln!(stdout)?;
    Ok(())
}

/// Prints a note or progress to standard error, which keeps it apart from the result.
pub fn note(text: &str) {
    // A closed standard error must not abort a change in progress.
    let _ = writeln!(io::stderr(), "{text}");
}

/// The error document of `--json`.
#[derive(Debug, Serialize)]
struct ErrorDocument {
    error: ErrorBody,
}

/// Printed under the key `error` of an [`ErrorDocument`].
#[derive(Debug, Serialize)]
struct ErrorBody {
    exit_code: u8,
    message: String,
    faults: Vec<Finding>,
}

/// Reports an error on standard error, with `json` also as a document on standard output, and
/// returns its exit code.
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
        // The exit code states the failure even if this can't be printed.
        let _ = print_json(&document);
    }
    code
}

/// Formats a duration given in milliseconds, for example `1s 250ms`.
pub fn duration(milliseconds: u64) -> String {
    humantime::format_duration(Duration::from_millis(milliseconds)).to_string()
}

/// Formats a time given in milliseconds since the Unix epoch, as RFC 3339 in UTC.
pub fn timestamp(milliseconds: u64) -> String {
    let since_epoch = Duration::from_millis(milliseconds);
    match SystemTime::UNIX_EPOCH.checked_add(since_epoch) {
        Some(time) if milliseconds <= MAX_TIMESTAMP_MS => {
            humantime::format_rfc3339_seconds(time).to_string()
        }
        _ => ABSENT.to_owned(),
    }
}

/// The end of the year 9999, after which RFC 3339 can't represent a time.
const MAX_TIMESTAMP_MS: u64 = 253_402_300_799_000;

/// Formats an enum variant as its serialized name.
pub fn variant_name<T>(value: &T) -> String
where
    T: Serialize,
{
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => ABSENT.to_owned(),
    }
}
