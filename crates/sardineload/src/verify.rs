//! Verifies what callers were told against the stand-ins' records (guarantees G3 and G4 of
//! `docs/design.md`).

use {
    crate::{
        check::{Violation, ViolationKind},
        client::{Client, ReadError},
        measure::{ExecutionStatus, Totals},
    },
    compact_str::{CompactString, format_compact},
    sardinerelay_standin::{engine, service},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
};

/// Records of the stand-ins after a run.
#[derive(Debug, Default)]
pub struct Records {
    /// Request ids of the generations that engines executed.
    pub engine_requests: HashSet<CompactString>,
    /// Number of preemptions of this run's generations.
    pub preemptions: u64,
    /// Number of executions of each idempotency key, over all services.
    pub service_runs: HashMap<CompactString, u64>,
    /// Whether there are records of engines, and whether there are records of services.
    pub available: (bool, bool),
}

impl Records {
    /// Reads the records. Those of engines are limited to requests whose id begins with `run_id`.
    ///
    /// # Errors
    ///
    /// Returns the address of the stand-in whose record could not be read, with the error.
    pub async fn read(
        client: &Client,
        run_id: &str,
        engines: &[SocketAddr],
        services: &[SocketAddr],
    ) -> Result<Self, (SocketAddr, ReadError)> {
        let mut records = Self {
            available: (!engines.is_empty(), !services.is_empty()),
            ..Self::default()
        };
        for address in engines {
            let ran: Vec<engine::Record> = client
                .get_json(*address, "/v1/record")
                .await
                .map_err(|error| (*address, error))?;
            for record in ran.into_iter().filter(|r| r.request.starts_with(run_id)) {
                records.preemptions += record.preemptions;
                records.engine_requests.insert(record.request);
            }
        }
        for address in services {
            let ran: Vec<service::Record> = client
                .get_json(*address, "/v1/record")
                .await
                .map_err(|error| (*address, error))?;
            for record in ran.into_iter().filter(|record| record.keyed) {
                *records.service_runs.entry(record.key).or_default() += record.count;
            }
        }
        Ok(records)
    }

    /// Returns the violations that the records show.
    pub fn check(&self, totals: &Totals) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (id, kind, execution) in &totals.to_verify {
            let violation = match kind.is_plain() {
                true => self.check_call(id, *execution),
                false => self.check_generation(id, *execution),
            };
            violations.extend(violation);
        }
        violations
    }

    fn check_call(&self, id: &CompactString, execution: ExecutionStatus) -> Option<Violation> {
        if !self.available.1 {
            return None;
        }
        let runs = self.service_runs.get(id).copied().unwrap_or(0);
        let kind = match execution {
            ExecutionStatus::NotRun if runs > 0 => ViolationKind::RefusedButRan,
            _ if runs > 1 => ViolationKind::RanTwice,
            ExecutionStatus::Ran if runs == 0 => ViolationKind::AcknowledgedNotRun,
            _ => return None,
        };
        Some(Violation {
            kind,
            request: id.clone(),
            detail: format_compact!("the services recorded {runs} runs"),
        })
    }

    fn check_generation(
        &self,
        id: &CompactString,
        execution: ExecutionStatus,
    ) -> Option<Violation> {
        let has_run = self.available.0 && self.engine_requests.contains(id);
        (has_run && execution == ExecutionStatus::NotRun).then(|| Violation {
            kind: ViolationKind::RefusedButRan,
            request: id.clone(),
            detail: "an engine recorded the request".into(),
        })
    }
}
