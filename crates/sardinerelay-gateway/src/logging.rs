//! Logging to standard output, one JSON object a line.
//!
//! A thread behind a bounded queue writes the lines. If the reader of the output is too slow, lines
//! are dropped, and a line reports how many; requests are never delayed.

use {
    fern::{Dispatch, Output},
    log::{LevelFilter, SetLoggerError},
    sardinerelayd::{logging::json_line, panics},
    std::{
        io::{self, Write as _},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, sync_channel},
        },
        thread::Builder,
    },
    thiserror::Error,
};

/// Largest number of lines that are queued for the writing thread.
const MAX_QUEUED_LINES: usize = 4096;
/// Largest number of queued lines that one write appends to its first line.
const MAX_BATCHED_LINES: usize = 256;

/// Why logging can't be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The writing thread can't be started.
    #[error("the thread that writes the log can't be started")]
    Thread(#[from] io::Error),
    /// The process has a logger already.
    #[error("a logger is set already")]
    Set(#[from] SetLoggerError),
}

/// Starts logging records of `level` and above, and panics. Of the HTTP and RPC libraries only warnings and
/// errors are logged.
///
/// # Errors
///
/// Returns a [`StartError`] if the writing thread can't be started or a logger is set already.
pub fn start(level: LevelFilter) -> Result<(), StartError> {
    let (lines, queue) = sync_channel::<String>(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_by_queue = Arc::clone(&dropped);
    Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&queue, &dropped_by_queue))?;
    let output = Output::call(move |record| {
        if lines.try_send(format!("{}\n", record.args())).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    });
    let libraries = level.min(LevelFilter::Warn);
    Dispatch::new()
        .format(json_line)
        .level(level)
        .level_for("jsonrpsee", libraries)
        .level_for("jsonrpsee_server", libraries)
        .level_for("soketto", libraries)
        .level_for("hyper", libraries)
        .chain(output)
        .apply()?;
    panics::install_hook();
    Ok(())
}

/// Writes queued lines until all senders are gone or the output is closed.
fn write(queue: &Receiver<String>, dropped: &AtomicU64) {
    let mut batch = String::new();
    while let Ok(first) = queue.recv() {
        batch.clear();
        batch.push_str(&first);
        for line in queue.try_iter().take(MAX_BATCHED_LINES) {
            batch.push_str(&line);
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            batch.push_str(&format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"lines\":{dropped_lines}}}\n"
            ));
        }
        let mut out = io::stdout().lock();
        if out
            .write_all(batch.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            // The output is closed, so there is nowhere to report it.
            return;
        }
    }
}
