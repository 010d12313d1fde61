//! Demand for models and use of engines, gathered from all hosts.

use {
    crate::report::{Collector, Report},
    sardinerelay::{id::Target, orders::Demand, sheet::Sheet},
    std::time::Duration,
};

/// How long other hosts may take to report.
const DEMAND_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Gathers the queued requests for each model and the engines in use. A host that does not report,
/// or has not put this version in force yet, may use any engine, so all of them count as busy.
pub(super) async fn gather(collector: &Collector, sheet: &Sheet, version: u64) -> Demand {
    let mut reports = collector.control.reports(DEMAND_REPORT_TIMEOUT).await;
    reports.insert(collector.host, collector.report().await);
    let is_current = |host| {
        let report: Option<&Report> = reports.get(host);
        report.is_some_and(|report| report.version >= version)
    };
    let hosts = collector.control.hosts();
    let is_complete = hosts.iter().all(|host| is_current(&host.id));
    let mut demand = Demand::default();
    for report in reports.values() {
        for (model, count) in &report.waiting {
            *demand.waiting.entry(model.clone()).or_default() += count;
        }
        demand.busy.extend(report.in_flight.keys().cloned());
        demand.busy.extend(report.surplus.iter().cloned());
    }
    demand.busy.extend(busy_engines(collector));
    if !is_complete {
        let all = sheet.targets.iter().map(|target| target.name.clone());
        demand.busy.extend(all);
    }
    demand
}

/// Engines that report running or waiting generations. Their reports are needed because resumed
/// streams have no reservation in any host's scheduler.
fn busy_engines(collector: &Collector) -> Vec<Target> {
    let reports = collector.scheduler.load_reports();
    reports
        .into_iter()
        .filter(|(_, (load, _))| load.running + load.waiting > 0)
        .map(|(target, _)| target)
        .collect()
}
