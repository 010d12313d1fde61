//! Check of what callers were told against what the stand-ins recorded (guarantees G3 and G4 of
//! `docs/design.md`).

use {
    crate::{
        check::{Kind as Breach, Violation},
        client::{Client, ReadError},
        measure::{Knowledge, Totals},
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
    /// Request ids of generations that engines ran.
    pub requests: HashSet<CompactString>,
    /// Preemptions of this run's generations.
    pub preemptions: u64,
    /// Number of runs by idempotency key, over all services.
    pub runs: HashMap<CompactString, u64>,
    /// Whether there are records of engines and of services.
    pub read: (bool, bool),
}

impl Records {
    /// Reads the records; those of engines only for requests whose id begins with `run`.
    ///
    /// # Errors
    ///
    /// Returns the address of the stand-in that could not be read, with the reason.
    pub async fn read(
        client: &Client,
        run: &str,
        engines: &[SocketAddr],
        services: &[SocketAddr],
    ) -> Result<Self, (SocketAddr, ReadError)> {
        let mut records = Self {
            read: (!engines.is_empty(), !services.is_empty()),
            ..Self::default()
        };
        for address in engines {
            let ran: Vec<engine::Record> = client
                .read(*address, "/v1/record")
                .await
                .map_err(|error| (*address, error))?;
            for record in ran.into_iter().filter(|r| r.request.starts_with(run)) {
                records.preemptions += record.preemptions;
                records.requests.insert(record.request);
            }
        }
        for address in services {
            let ran: Vec<service::Record> = client
                .read(*address, "/v1/record")
                .await
                .map_err(|error| (*address, error))?;
            for record in ran.into_iter().filter(|record| record.keyed) {
                *records.runs.entry(record.key).or_default() += record.count;
            }
        }
        Ok(records)
    }

    /// Violations that the records show.
    pub fn check(&self, totals: &Totals) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (id, kind, knowledge) in &totals.known {
            let found = match kind.is_plain() {
                true => self.check_call(id, *knowledge),
                false => self.check_generation(id, *knowledge),
            };
            violations.extend(found);
        }
        violations
    }

    fn check_call(&self, id: &CompactString, knowledge: Knowledge) -> Option<Violation> {
        if !self.read.1 {
            return None;
        }
        let runs = self.runs.get(id).copied().unwrap_or(0);
        let kind = match knowledge {
            Knowledge::NotRun if runs > 0 => Breach::RefusedButRan,
            _ if runs > 1 => Breach::RanTwice,
            Knowledge::Ran if runs == 0 => Breach::AcknowledgedNotRun,
            _ => return None,
        };
        Some(Violation {
            kind,
            request: id.clone(),
            detail: format_compact!("the services recorded {runs} runs"),
        })
    }

    fn check_generation(&self, id: &CompactString, knowledge: Knowledge) -> Option<Violation> {
        let ran = self.read.0 && self.requests.contains(id);
        (ran && knowledge == Knowledge::NotRun).then(|| Violation {
            kind: Breach::RefusedButRan,
            request: id.clone(),
            detail: "an engine recorded the request".into(),
        })
    }
}
