//! Logging to standard error with `fern`, as readable text or JSON lines.
//!
//! The key-value pairs of a record, such as `request`, `organisation` or `target`, become fields of
//! the line.

use {
    crate::{
        config::{Config, LogFormat},
        panics,
    },
    fern::{Dispatch, FormatCallback, InitError, Output},
    log::{
        Record,
        kv::{Error, Key, Value, VisitSource},
    },
    serde_json::{Map, json},
    std::{
        fmt::{Arguments, Write as _},
        io::{self, Write as _},
        sync::atomic::{AtomicU64, Ordering},
        time::SystemTime,
    },
};

/// Lines of the log that could not be written since the last one that could.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Sets up the global logger, which panics are logged to as well. Of the RPC library, only warnings and errors are logged.
///
/// # Errors
///
/// If a logger is already set.
pub fn start(config: &Config) -> Result<(), InitError> {
    let format = match config.log_format {
        LogFormat::Human => human_line,
        LogFormat::Json => json_line,
    };
    Dispatch::new()
        .format(format)
        .level(config.log_level)
        .level_for("jsonrpsee", config.log_level.min(log::LevelFilter::Warn))
        .level_for("soketto", config.log_level.min(log::LevelFilter::Warn))
        .chain(Output::call(write_line))
        .apply()?;
    panics::install_hook();
    Ok(())
}

/// Writes a line to standard error. If that fails, for example because its disk is full, the line is lost, and a
/// later line says how many were.
fn write_line(record: &Record<'_>) {
    let lost = LOST_LINES.swap(0, Ordering::Relaxed);
    let mut line = format!("{}\n", record.args());
    if lost > 0 {
        let _ = writeln!(
            line,
            "{lost} lines of the log before this one could not be written"
        );
    }
    if io::stderr().lock().write_all(line.as_bytes()).is_err() {
        LOST_LINES.fetch_add(lost + 1, Ordering::Relaxed);
    }
}

/// Formats a record as readable text.
fn human_line(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let mut fields = Fields::default();
    // `Fields` accepts every pair, so the visit can't fail.
    let _ = record.key_values().visit(&mut fields);
    let mut pairs = String::new();
    for (key, value) in &fields.map {
        let _ = write!(pairs, " {key}={}", value.as_str().unwrap_or_default());
    }
    out.finish(format_args!("{time} {:5} {message}{pairs}", record.level()));
}

/// Formats a record as one line of JSON.
pub fn json_line(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut fields = Fields::default();
    let _ = record.key_values().visit(&mut fields);
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    fields.map.insert("time".into(), json!(time));
    fields
        .map
        .insert("level".into(), json!(record.level().as_str()));
    fields.map.insert("module".into(), json!(record.target()));
    fields
        .map
        .insert("message".into(), json!(message.to_string()));
    out.finish(format_args!("{}", serde_json::Value::Object(fields.map)));
}

/// Collects the key-value pairs of a record as strings.
#[derive(Default)]
struct Fields {
    map: Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.map.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}
