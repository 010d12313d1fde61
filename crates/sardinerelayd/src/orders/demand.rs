//! Use of models and engines, gathered from all hosts.

use {
    crate::report::{Collector, Report},
    sardinerelay::{id::Target, orders::Demand, sheet::Sheet},
    std::time::Duration,
};

/// Time in which other hosts have to report.
const REPORT: Duration = Duration::from_secs(1);

/// What waits and runs on all hosts. If a host does not report, or has not put this version in
/// force yet, it may use any engine.
pub(super) async fn gather(collector: &Collector, sheet: &Sheet, version: u64) -> Demand {
    let mut reports = collector.control.reports(REPORT).await;
    reports.insert(collector.host, collector.report().await);
    let known = |host| {
        let report: Option<&Report> = reports.get(host);
        report.is_some_and(|report| report.version >= version)
    };
    let members = collector.control.members();
    let complete = members.iter().all(|member| known(&member.id));
    let mut demand = Demand::default();
    for report in reports.values() {
        for (model, count) in &report.waiting {
            *demand.waiting.entry(model.clone()).or_default() += count;
        }
        demand.busy.extend(report.in_flight.keys().cloned());
        demand.busy.extend(report.surplus.iter().cloned());
    }
    demand.busy.extend(running(collector));
    if !complete {
        let all = sheet.targets.iter().map(|target| target.name.clone());
        demand.busy.extend(all);
    }
    demand
}

/// Engines that report running or waiting generations: resumed streams hold no place in any
/// host's scheduler.
fn running(collector: &Collector) -> Vec<Target> {
    let reports = collector.scheduler.load_reports();
    reports
        .into_iter()
        .filter(|(_, (load, _))| load.running + load.waiting > 0)
        .map(|(target, _)| target)
        .collect()
}
