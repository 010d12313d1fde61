//! Reports of all hosts on their own state, which operators can request from any host.

use {
    super::{Handle, Peer, start::Shared},
    crate::report::Report,
    futures::future::{BoxFuture, join_all},
    log::debug,
    sardinerelay::id::Host,
    std::{
        collections::BTreeMap,
        fmt,
        sync::{Arc, OnceLock},
        time::Duration,
    },
};

/// The method that returns a host's [`Report`], or nothing while the host starts.
pub(super) const REPORT: &str = "host.report";

/// Produces the report of this host.
pub type Reporter = Arc<dyn Fn() -> BoxFuture<'static, Report> + Send + Sync>;

/// Holds the reporter, which is set only after the control thread has started.
#[derive(Clone, Default)]
pub(super) struct Slot(Arc<OnceLock<Reporter>>);

impl fmt::Debug for Slot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("Slot")
            .field(&self.0.get().is_some())
            .finish()
    }
}

impl Slot {
    /// Returns the report of this host, or `None` while it starts.
    pub(super) async fn report(&self) -> Option<Report> {
        let reporter = self.0.get()?;
        Some(reporter().await)
    }
}

impl Handle {
    /// Sets the reporter that answers requests of other hosts. Only the first call has an effect.
    pub fn set_reporter(&self, reporter: Reporter) {
        let _ = self.shared().reporter.0.set(reporter);
    }

    /// Returns all hosts in the settings, including this one, sorted by id.
    pub fn hosts(&self) -> Vec<Peer> {
        let settings = &self.shared().settings;
        let mut hosts: Vec<Peer> = settings.others().into_iter().cloned().collect();
        hosts.push(Peer {
            id: settings.host,
            zone: settings.zone.clone(),
            address: settings.listen,
        });
        hosts.sort_by_key(|peer| peer.id);
        hosts
    }

    /// Requests the reports of all other hosts, and returns those that arrive within the deadline.
    pub async fn reports(&self, timeout: Duration) -> BTreeMap<Host, Report> {
        let reports =
            self.on_thread(move |shared| async move { Ok(ask_all(&shared, timeout).await) });
        reports.await.unwrap_or_default()
    }
}

async fn ask_all(shared: &Shared, timeout: Duration) -> BTreeMap<Host, Report> {
    let requests = shared.clients.iter().map(|(&host, client)| async move {
        match client
            .call::<(), Option<Report>>(REPORT, &(), timeout)
            .await
        {
            Ok(report) => report.map(|report| (host, report)),
            Err(error) => {
                debug!("no report from host {host}: {error}");
                None
            }
        }
    });
    join_all(requests).await.into_iter().flatten().collect()
}
