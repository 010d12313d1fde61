//! Logging to standard output, one JSON object a line.
//!
//! A thread behind a bounded queue writes the lines. If the reader of the output is too slow, or the disk that it
//! goes to is full, lines are dropped, and a line reports how many; requests are never delayed.

use {
    fern::{Dispatch, Output},
    log::{LevelFilter, SetLoggerError},
    sardinerelayd::{logging::json_line, panics},
    std::{
        io::{self, Write},
        sync::{
            Arc, OnceLock,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread::Builder,
        time::Duration,
    },
    thiserror::Error,
};

/// Largest number of lines that are queued for the writing thread.
const MAX_QUEUED_LINES: usize = 4096;
/// Largest number of queued lines that one write appends to its first line.
const MAX_BATCHED_LINES: usize = 256;
/// Longest wait for the queued lines before the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// The queue of the process's log.
static LOG: OnceLock<Queue> = OnceLock::new();

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
    let queue = Queue::start(io::stdout())?;
    let lines = LOG.get_or_init(|| queue).clone();
    let output = Output::call(move |record| lines.push(format!("{}\n", record.args())));
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

/// Waits shortly until the lines that were logged so far are written. Without it the last lines of a process,
/// which say why it ends, are lost with it.
pub fn flush() {
    if let Some(queue) = LOG.get() {
        queue.flush(FLUSH_TIMEOUT);
    }
}

/// A part of the queue.
#[derive(Debug)]
enum Item {
    Line(String),
    /// Is answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Lines for a thread that writes them. Clones share both.
#[derive(Debug, Clone)]
pub struct Queue {
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns the error if the thread can't be started.
    pub fn start<Destination>(output: Destination) -> io::Result<Self>
    where
        Destination: Write + Send + 'static,
    {
        let (items, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let shared = Arc::clone(&dropped);
        Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&queue, output, &shared))?;
        Ok(Self { items, dropped })
    }

    /// Queues a line that ends with a line break, or counts it as dropped if there is no room.
    pub fn push(&self, line: String) {
        if self.items.try_send(Item::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines that were queued before are written. Returns whether they were in time.
    pub fn flush(&self, time_limit: Duration) -> bool {
        let (written, is_written) = sync_channel(1);
        self.items.try_send(Item::Flush(written)).is_ok()
            && is_written.recv_timeout(time_limit).is_ok()
    }
}

/// Writes queued lines until all senders are gone or the output's reader is.
fn write_all<Destination>(queue: &Receiver<Item>, mut output: Destination, dropped: &AtomicU64)
where
    Destination: Write,
{
    while let Ok(first) = queue.recv() {
        let mut batch = String::new();
        let mut lines = 0;
        let mut flushes = Vec::new();
        let items = std::iter::once(first).chain(queue.try_iter().take(MAX_BATCHED_LINES));
        for item in items {
            match item {
                Item::Line(line) => {
                    batch.push_str(&line);
                    lines += 1;
                }
                Item::Flush(written) => flushes.push(written),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.push_str(&format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"lines\":{lost}}}\n"
            ));
        }
        let written = output.write_all(batch.as_bytes());
        match written.and_then(|()| output.flush()) {
            Ok(()) => {}
            // Its reader is gone, so there is nowhere to report it.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return,
            // A full disk, for example. The next lines may find room.
            Err(_) => {
                dropped.fetch_add(lost + lines, Ordering::Relaxed);
            }
        }
        for written in flushes {
            // The one who waits may have given up.
            let _ = written.try_send(());
        }
    }
}
