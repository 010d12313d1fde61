//! Rows of the tables of hosts, targets, organisations and queues.

use {
    super::{Context, REPORT_TIMEOUT},
    crate::{inventory::LoadedModels, limits::Usage, report::Report},
    compact_str::{CompactString, ToCompactString},
    sardinerelay::{
        operator::{
            HostRow, HostState, OrganisationRow, QueueRow, Role, TargetKind, TargetRow, TargetState,
        },
        sheet::{Server, Sheet},
    },
    std::time::Duration,
};

impl Context {
    /// Lists all hosts, each with its own report or marked as unreachable.
    pub(super) async fn hosts(&self) -> Vec<HostRow> {
        let own = self.collector.report().await;
        let others = self.control.reports(REPORT_TIMEOUT).await;
        let mut rows = Vec::new();
        for (peer, report) in self.control.hosts().into_iter().map(|peer| {
            let report = if peer.id == own.host {
                Some(&own)
            } else {
                others.get(&peer.id)
            };
            (peer, report)
        }) {
            rows.push(HostRow {
                host: peer.id,
                zone: peer.zone.clone(),
                address: peer.address,
                role: report.map_or(Role::Entry, |report| report.role),
                state: report.map_or(HostState::Unreachable, |report| report.state),
                in_force: report.and_then(|report| report.in_force),
                streams: report.map_or(0, |report| report.streams),
                queued: report.map_or(0, |report| report.queued),
                age_ms: 0,
            });
        }
        rows
    }

    /// Gathers the reports of this host and of all other hosts that answer in time.
    pub(super) async fn reports(&self) -> Vec<Report> {
        let mut reports = vec![self.collector.report().await];
        reports.extend(self.control.reports(REPORT_TIMEOUT).await.into_values());
        reports
    }

    /// Lists the targets in the sheet, with the load that this host knows.
    pub(super) fn targets(&self) -> Vec<TargetRow> {
        let view = self.view.load();
        let Some(sheet) = &view.sheet else {
            return Vec::new();
        };
        let reports = self.scheduler.load_reports();
        let loaded_models = self.scheduler.loaded_models();
        let rows = sheet.targets.iter().map(|target| {
            let report = reports.get(&target.name);
            let load = report.map(|(load, _)| load);
            TargetRow {
                target: target.name.clone(),
                zone: target.zone.clone(),
                address: target.address,
                kind: kind(target),
                state: self.target_state(target, load.is_some()),
                serves: serves(sheet, target, &loaded_models),
                memory_tokens: target.memory_tokens,
                used_tokens: load.map_or(0, |load| load.used_tokens),
                running: load.map_or(0, |load| load.running as u64),
                waiting: load.map_or(0, |load| load.waiting as u64),
                report_age_ms: report.map(|(load, since)| load.age_ms + millis(*since)),
            }
        });
        rows.collect()
    }

    fn target_state(&self, target: &Server, has_report: bool) -> TargetState {
        if self.view.load().leaving.contains(&target.name) {
            return TargetState::Leaving;
        }
        match kind(target) {
            TargetKind::Service => TargetState::Active,
            TargetKind::Engine if !has_report => TargetState::Unknown,
            TargetKind::Engine if self.scheduler.is_ejected(&target.name) => TargetState::Ejected,
            TargetKind::Engine if self.scheduler.is_eligible(&target.name) => TargetState::Active,
            TargetKind::Engine => TargetState::Leaving,
        }
    }

    /// Lists the organisations in the sheet, with their usage on this host.
    pub(super) fn organisations(&self) -> Vec<OrganisationRow> {
        let view = self.view.load();
        let stats = self.request_stats.by_organisation();
        let accounts = view.sheet.iter().flat_map(|sheet| &sheet.organisations);
        let rows = accounts.map(|account| {
            let usage = stats.get(&account.name).copied().unwrap_or_default();
            let Usage { tokens, requests } = self.limits.usage(&account.name);
            OrganisationRow {
                organisation: account.name.clone(),
                tokens_per_minute: account.tokens_per_minute,
                tokens_used: tokens,
                requests_per_minute: account.requests_per_minute,
                requests_used: requests,
                running: usage.running,
                queued: usage.queued,
                refused: usage.refused,
            }
        });
        rows.collect()
    }

    /// Lists the request classes in the sheet, with their load on this host.
    pub(super) fn queues(&self) -> Vec<QueueRow> {
        let view = self.view.load();
        let loads = self.request_stats.by_class();
        let classes = view.sheet.iter().flat_map(|sheet| &sheet.classes);
        let rows = classes.map(|class| {
            let load = loads.get(&class.name).copied().unwrap_or_default();
            QueueRow {
                host: self.collector.host,
                class: class.name.clone(),
                priority: class.priority,
                queued: load.queued,
                oldest_wait_ms: millis(load.oldest_wait),
                max_wait_ms: class.max_wait_ms,
                running: load.running,
                reserved_tokens: load.reserved_tokens,
            }
        });
        rows.collect()
    }
}

/// Engines have memory for tokens in the sheet, servers of plain services have none.
fn kind(target: &Server) -> TargetKind {
    match target.memory_tokens {
        0 => TargetKind::Service,
        _ => TargetKind::Engine,
    }
}

/// The models that an engine reports as loaded, or the plain services that any other target serves.
fn serves(sheet: &Sheet, target: &Server, loaded_models: &LoadedModels) -> Vec<CompactString> {
    if kind(target) == TargetKind::Engine {
        let loaded = loaded_models.get(&target.name).into_iter().flatten();
        return loaded.map(ToCompactString::to_compact_string).collect();
    }
    let services = sheet.services.iter();
    services
        .filter(|service| service.targets.contains(&target.name))
        .map(|service| service.name.clone())
        .collect()
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
