//! Use of models and engines, gathered from all hosts.

use {
    crate::report::{Report, Source},
    sardinerelay::{id::Target, orders::Demand, sheet::Sheet},
    std::time::Duration,
};

/// Time in which other hosts have to report.
const REPORT: Duration = Duration::from_secs(1);

/// What waits and runs on all hosts. If a host does not report, or has not put this version in
/// force yet, it may use any engine.
pub(super) async fn gather(source: &Source, sheet: &Sheet, version: u64) -> Demand {
    let mut reports = source.control.reports(REPORT).await;
    reports.insert(source.host, source.report().await);
    let known = |host| {
        let report: Option<&Report> = reports.get(host);
        report.is_some_and(|report| report.version >= version)
    };
    let members = source.control.members();
    let complete = members.iter().all(|member| known(&member.id));
    let mut demand = Demand::default();
    for report in reports.values() {
        for (model, count) in &report.waiting {
            *demand.waiting.entry(model.clone()).or_default() += count;
        }
        demand.busy.extend(report.in_flight.keys().cloned());
        demand.busy.extend(report.surplus.iter().cloned());
    }
    demand.busy.extend(running(source));
    if !complete {
        let all = sheet.targets.iter().map(|target| target.name.clone());
        demand.busy.extend(all);
    }
    demand
}

/// Engines that report running or waiting generations: resumed streams hold no place in any
/// host's scheduler.
fn running(source: &Source) -> Vec<Target> {
    let reports = source.scheduler.reports();
    reports
        .into_iter()
        .filter(|(_, (load, _))| load.running + load.waiting > 0)
        .map(|(target, _)| target)
        .collect()
}
