//! Log lines that explain what happened to a request, on standard output.
//!
//! Every line is one JSON object. The writer is a thread behind a bounded queue: a reader that
//! doesn't keep up costs lines, which are counted and reported, and never delays a request.

use {
    fern::{Dispatch, Output},
    log::{LevelFilter, SetLoggerError},
    sardinerelayd::logging::json_line,
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

/// Lines that wait for the writer.
const QUEUE: usize = 4096;
/// Lines that one write takes.
const BATCH: usize = 256;

/// Why logs can't be written.
#[derive(Debug, Error)]
pub enum StartError {
    /// The thread can't be started.
    #[error("the log's thread can't be started")]
    Thread(#[from] io::Error),
    /// Another logger is set.
    #[error("a logger is set already")]
    Set(#[from] SetLoggerError),
}

/// Starts logging.
///
/// # Errors
///
/// [`StartError`].
pub fn start(level: LevelFilter) -> Result<(), StartError> {
    let (lines, queue) = sync_channel::<String>(QUEUE);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&queue, &counted))?;
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
    Ok(())
}

fn write(queue: &Receiver<String>, dropped: &AtomicU64) {
    let mut batch = String::new();
    while let Ok(first) = queue.recv() {
        batch.clear();
        batch.push_str(&first);
        for line in queue.try_iter().take(BATCH) {
            batch.push_str(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.push_str(&format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"lines\":{lost}}}\n"
            ));
        }
        let mut out = io::stdout().lock();
        if out
            .write_all(batch.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            // Nobody reads; there is no other place to say so.
            return;
        }
    }
}
