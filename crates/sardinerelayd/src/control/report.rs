//! Hosts' accounts of themselves, which operators ask for through any host.

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

pub(super) const REPORT: &str = "host.report";

/// Gathers the report of this host.
pub type Reporter = Arc<dyn Fn() -> BoxFuture<'static, Report> + Send + Sync>;

/// The place of the reporter, which exists only after the control thread has started.
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
    /// This host's report, or nothing while it starts.
    pub(super) async fn report(&self) -> Option<Report> {
        let reporter = self.0.get()?;
        Some(reporter().await)
    }
}

impl Handle {
    /// Sets what answers other hosts that ask for this host's report. Only the first call counts.
    pub fn serve_reports(&self, reporter: Reporter) {
        let _ = self.shared().reporter.0.set(reporter);
    }

    /// All hosts that the settings name, this one included.
    pub fn hosts(&self) -> Vec<Peer> {
        let settings = &self.shared().settings;
        let mut members: Vec<Peer> = settings.others().into_iter().cloned().collect();
        members.push(Peer {
            id: settings.host,
            zone: settings.zone.clone(),
            address: settings.listen,
        });
        members.sort_by_key(|member| member.id);
        members
    }

    /// The reports of the other hosts that answer within the deadline.
    pub async fn reports(&self, deadline: Duration) -> BTreeMap<Host, Report> {
        let reports =
            self.on_thread(move |shared| async move { Ok(ask_all(&shared, deadline).await) });
        reports.await.unwrap_or_default()
    }
}

async fn ask_all(shared: &Shared, deadline: Duration) -> BTreeMap<Host, Report> {
    let asked = shared.clients.iter().map(|(&host, client)| async move {
        match client
            .call::<(), Option<Report>>(REPORT, &(), deadline)
            .await
        {
            Ok(report) => report.map(|report| (host, report)),
            Err(error) => {
                debug!("host {host} does not report: {error}");
                None
            }
        }
    });
    join_all(asked).await.into_iter().flatten().collect()
}
