//! Settings that may change while a process runs.
//!
//! The settings file is read again after SIGHUP, and now and then without one, because it may
//! change without a signal. A file that can't be read changes nothing.

use {
    log::{info, warn},
    std::{
        io,
        net::Ipv4Addr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        time::sleep,
    },
};

/// Interval between looks at the file without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// What may change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Settings {
    /// Hosts that probably hold replicas.
    pub seeds: Vec<Ipv4Addr>,
}

/// Reads the settings again, or says why they can't be used.
pub type Loader = Arc<dyn Fn() -> Result<Settings, String> + Send + Sync>;

/// The settings as they were read last.
#[derive(Debug, Default)]
pub struct SharedSettings(Mutex<Settings>);

impl SharedSettings {
    /// Starts from what was read first.
    pub fn new(first: Settings) -> Self {
        Self(Mutex::new(first))
    }

    /// The hosts that probably hold replicas.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        self.lock().seeds.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Settings> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Listens for SIGHUP, which would end the process otherwise, and keeps `current` up to date.
///
/// # Errors
///
/// The error of listening.
pub fn start(current: Arc<SharedSettings>, read: Loader) -> io::Result<()> {
    let hangups = signal(SignalKind::hangup())?;
    tokio::spawn(run(current, read, hangups));
    Ok(())
}

async fn run(current: Arc<SharedSettings>, read: Loader, mut hangups: Signal) {
    loop {
        let signalled = tokio::select! {
            _ = hangups.recv() => true,
            () = sleep(LOOK) => false,
        };
        match read() {
            Ok(changing) => {
                let mut held = current.lock();
                let changed = *held != changing;
                if changed || signalled {
                    info!(changed = changed, signalled = signalled, seeds = changing.seeds.len(); "settings read again");
                }
                *held = changing;
            }
            Err(reason) => warn!(reason = reason.as_str(); "settings can't be read again"),
        }
    }
}
