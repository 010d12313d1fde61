//! Settings that can change while a process runs.
//!
//! The settings file is reloaded after SIGHUP, and at regular intervals because it may change
//! without a signal. If it can't be used, the current settings stay in effect.

use {
    log::{info, warn},
    sardinerelayd::panics,
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

/// Interval at which the file is reloaded without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The settings that can change while a process runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Settings {
    /// Addresses of hosts that probably run replicas.
    pub seeds: Vec<Ipv4Addr>,
}

/// Reads the settings, or returns why they can't be used.
pub type Loader = Arc<dyn Fn() -> Result<Settings, String> + Send + Sync>;

/// The settings as they were read last, shared by all tasks.
#[derive(Debug, Default)]
pub struct SharedSettings(Mutex<Settings>);

impl SharedSettings {
    /// Shares the settings that were read at the start.
    pub fn new(settings: Settings) -> Self {
        Self(Mutex::new(settings))
    }

    /// Returns the hosts that probably run replicas.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        self.lock().seeds.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Settings> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps `current` up to date in the background. From here on SIGHUP reloads the settings instead
/// of ending the process.
///
/// # Errors
///
/// Returns the error if the signal can't be handled.
pub fn start(current: Arc<SharedSettings>, load: Loader) -> io::Result<()> {
    let hangups = signal(SignalKind::hangup())?;
    panics::spawn_essential("reload the settings", run(current, load, hangups));
    Ok(())
}

async fn run(current: Arc<SharedSettings>, load: Loader, mut hangups: Signal) {
    loop {
        let is_signalled = tokio::select! {
            _ = hangups.recv() => true,
            () = sleep(RELOAD_INTERVAL) => false,
        };
        match load() {
            Ok(settings) => {
                let mut current = current.lock();
                let has_changed = *current != settings;
                if has_changed || is_signalled {
                    info!(changed = has_changed, signalled = is_signalled, seeds = settings.seeds.len(); "reloaded the settings");
                }
                *current = settings;
            }
            Err(reason) => warn!(reason = reason.as_str(); "the settings can't be reloaded"),
        }
    }
}
