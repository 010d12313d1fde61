//! What a panic costs: the request or the round of a loop in which it happens, and never in silence.
//!
//! Each panic is logged and counted, and exported as a metric. A request whose task panics gets an answer. A loop that serves
//! all requests starts again, or ends the process if its state is lost, since the supervisor then starts the
//! process anew. See `docs/OPERATIONS.md`.

use {
    futures::FutureExt as _,
    log::{error, warn},
    std::{
        panic::{self, AssertUnwindSafe, PanicHookInfo},
        sync::{
            OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
    thiserror::Error,
    tokio::{sync::Notify, time::sleep},
};

/// Pause before a loop that panicked starts again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Number of panics of this process.
static COUNT: AtomicU64 = AtomicU64::new(0);
/// The first essential task that panicked.
static FAILED: OnceLock<&str> = OnceLock::new();
static HAS_FAILED: Notify = Notify::const_new();

/// A future panicked. The hook has logged why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("it panicked")]
pub struct Panicked;

/// Logs and counts the panics of this process from now on.
pub fn install_hook() {
    panic::set_hook(Box::new(record));
}

fn record(info: &PanicHookInfo<'_>) {
    COUNT.fetch_add(1, Ordering::Relaxed);
    let thread = thread::current();
    let location = info.location().map(ToString::to_string);
    let reason = info.payload_as_str().unwrap_or("no text");
    error!(
        thread = thread.name().unwrap_or_default(), location = location.as_deref().unwrap_or_default(),
        reason = reason;
        "a task panicked"
    );
}

/// Returns the number of panics since [`install_hook`].
pub fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}

/// Runs a future to its end.
///
/// # Errors
///
/// Returns [`Panicked`] if it panics. What it had shared may be in any state that its locks allow.
pub async fn contain<Run>(run: Run) -> Result<Run::Output, Panicked>
where
    Run: Future,
{
    let ended = AssertUnwindSafe(run).catch_unwind().await;
    ended.map_err(|_| Panicked)
}

/// Runs a loop, and again each time it panics, until it ends by itself.
pub async fn keep_running<Run, Running>(name: &'static str, mut run: Run)
where
    Run: FnMut() -> Running,
    Running: Future<Output = ()>,
{
    while contain(run()).await.is_err() {
        warn!(task = name; "a task starts again after a panic");
        sleep(RESTART_DELAY).await;
    }
}

/// Spawns a task without which this process is of no use. If it panics, [`essential_failed`] returns.
pub fn spawn_essential<Run>(name: &'static str, run: Run)
where
    Run: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        if contain(run).await.is_err() {
            fail(name);
        }
    });
}

/// Runs the work of a thread without which this process is of no use; see [`spawn_essential`].
pub fn run_essential<Run>(name: &'static str, run: Run)
where
    Run: FnOnce(),
{
    if panic::catch_unwind(AssertUnwindSafe(run)).is_err() {
        fail(name);
    }
}

/// Records that an essential task or thread has panicked.
fn fail(name: &'static str) {
    FAILED.get_or_init(|| name);
    HAS_FAILED.notify_waiters();
}

/// Waits until an essential task has panicked, and returns its name.
pub async fn essential_failed() -> &'static str {
    loop {
        let notified = HAS_FAILED.notified();
        if let Some(name) = FAILED.get() {
            return name;
        }
        notified.await;
    }
}
