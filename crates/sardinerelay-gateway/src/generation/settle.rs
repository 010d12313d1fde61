//! Makes sure that an engine no longer works on a generation before that goes on at another one.
//!
//! That a connection has closed shows neither that the engine has ended nor that it has dropped the
//! generation: an answer may be lost while the engine works on. See `docs/design/migration.md`.

use {
    super::{
        open,
        transfer::{Moved, Transfer, TransferError},
    },
    crate::{
        call::RunReport, entry::EntryHost, observations::Instance, pool::Purpose, request::Job,
    },
    futures::future::{BoxFuture, OptionFuture},
    log::info,
    sardinerelay::id::Target,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Pause between two reads of an engine's report.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout of one read. A report needs no slot, so an engine that takes longer doesn't work, or can't be reached.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest report, in bytes. One run takes some 50.
const MAX_REPORT_BYTES: usize = 32 << 10;
/// Number of reads in a row without an answer after which an engine counts as unreachable. One is enough if its reports
/// don't reach the voters either.
const MAX_UNANSWERED_READS: u32 = 2;
/// How old the values of a report may be. A generation that was sent later than that may be missing in it.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);
/// Time after which a generation goes on although nothing shows whether its engine works on it. Reports tell, so this
/// is for engines whose reports don't.
const MAX_UNKNOWN_TIME: Duration = Duration::from_millis(1500);

/// What shows that an engine doesn't work on a generation. Each stays true: a generation that has ended at an engine
/// doesn't begin there again, and an engine that can't be reached closes the generation when it can be again, since
/// its connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Evidence {
    /// It is no longer listed.
    Gone,
    /// It refuses connections, so its process has ended.
    Refuses,
    /// It doesn't answer, so this host can't reach it, or it doesn't work at all.
    Unreachable,
    /// It has started anew since.
    StartedAnew,
    /// Its report doesn't name the generation any more.
    NotReported,
    /// It says that it doesn't run the generation, in answer to an order to stop it.
    NotRunning,
    /// Nothing has shown for a long time that it does.
    Nothing,
}

impl Evidence {
    /// Returns its name in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Refuses => "refuses",
            Self::Unreachable => "unreachable",
            Self::StartedAnew => "started_anew",
            Self::NotReported => "not_reported",
            Self::NotRunning => "not_running",
            Self::Nothing => "nothing",
        }
    }
}

/// What became of a generation at an engine whose connection has closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Settled {
    /// The engine doesn't work on it any more.
    Ended(Evidence),
    /// The engine has stopped it when it was told to, and its memory is here. The target is the one that it was
    /// told to send the memory to.
    Moved(Moved, Target),
    /// The engine works on it and can't be stopped.
    Running,
}

/// A generation whose connection to its engine has closed.
pub(super) struct Unsettled<'a> {
    pub(super) job: &'a Job,
    pub(super) engine: &'a Target,
    /// When the generation was sent to the engine.
    pub(super) sent: Instant,
    /// Whether the engine has sent an event. One that hasn't may still have it in its queue.
    pub(super) has_begun: bool,
    /// The engine that its memory is to be moved to, if it works on.
    pub(super) destination: Option<Instance>,
    /// Until when the caller waits.
    pub(super) until: Instant,
}

/// What one read of a report shows.
enum Sign {
    Ended(Evidence),
    Running,
    Unanswered,
    Unknown,
}

impl Unsettled<'_> {
    /// Finds out whether the engine works on the generation, tells it to stop if it does, and waits until it has.
    pub(super) async fn settle(self) -> Settled {
        let began = Instant::now();
        let settled = match self.job.entry.instance(self.engine) {
            Some(engine) => self.settle_at(engine, began).await,
            None => Settled::Ended(Evidence::Gone),
        };
        let label = match &settled {
            Settled::Ended(evidence) => evidence.label(),
            Settled::Moved(..) => "stopped",
            Settled::Running => "running",
        };
        let took = began.elapsed();
        self.job.entry.metrics.record_settled(label);
        info!(
            request = self.job.call.id.as_str(), target_id = self.engine.as_str(), evidence = label,
            took_ms = took.as_millis() as u64;
            "whether the engine works on was found out"
        );
        settled
    }

    async fn settle_at(&self, engine: Instance, began: Instant) -> Settled {
        let mut order = None;
        let mut is_ordered = false;
        let mut unanswered = 0;
        loop {
            let sign = tokio::select! {
                Some(moved) = OptionFuture::from(order.as_mut()) => {
                    order = None;
                    match self.outcome_of(moved) {
                        Some(settled) => return settled,
                        None => continue,
                    }
                }
                sign = self.read(&engine) => sign,
            };
            let is_unknown = match sign {
                Sign::Ended(evidence) => return Settled::Ended(evidence),
                Sign::Running => false,
                Sign::Unanswered => {
                    unanswered += 1;
                    if unanswered >= MAX_UNANSWERED_READS
                        || open::is_dead(&self.job.entry, self.engine)
                    {
                        return Settled::Ended(Evidence::Unreachable);
                    }
                    continue;
                }
                Sign::Unknown => true,
            };
            unanswered = 0;
            let now = Instant::now();
            if is_unknown && now >= began + MAX_UNKNOWN_TIME {
                return Settled::Ended(Evidence::Nothing);
            }
            if now >= self.until {
                return Settled::Running;
            }
            if self.has_begun && !std::mem::replace(&mut is_ordered, true) {
                order = self.order(&engine);
            }
            tokio::select! {
                Some(moved) = OptionFuture::from(order.as_mut()) => {
                    order = None;
                    if let Some(settled) = self.outcome_of(moved) {
                        return settled;
                    }
                }
                () = sleep(REPORT_INTERVAL) => {}
            }
        }
    }

    /// Orders the engine to stop the generation and to send its memory to the destination.
    fn order(&self, engine: &Instance) -> Option<BoxFuture<'static, Result<Moved, TransferError>>> {
        let can_move = self
            .job
            .engine()
            .is_some_and(|engine| engine.supports_moves);
        let to = self.destination.clone().filter(|_| can_move)?;
        let transfer = Arc::new(Transfer {
            entry: Arc::clone(&self.job.entry),
            run: self.job.call.id.clone(),
            from: engine.clone(),
            to,
            since: Instant::now(),
        });
        let entry = Arc::clone(&self.job.entry);
        Some(Box::pin(async move {
            // Fails only if the semaphore is closed, which never happens.
            let _permit = entry.stop_orders.acquire().await.ok();
            transfer.copy(true).await
        }))
    }

    /// Returns what the answer to the order settles; none if the engine may still work on the generation.
    fn outcome_of(&self, moved: Result<Moved, TransferError>) -> Option<Settled> {
        match moved {
            Ok(moved) => {
                let to = self.destination.as_ref()?.target.clone();
                Some(Settled::Moved(moved, to))
            }
            Err(TransferError::Unknown) => Some(Settled::Ended(Evidence::NotRunning)),
            Err(error) => {
                info!(
                    request = self.job.call.id.as_str(), target_id = self.engine.as_str(), reason:% = error;
                    "the order to stop a generation settled nothing"
                );
                None
            }
        }
    }

    /// Reads the engine's report.
    async fn read(&self, engine: &Instance) -> Sign {
        let entry: &EntryHost = &self.job.entry;
        let request = (entry.codec.load_request)(engine.address);
        let limits = (REPORT_TIMEOUT, MAX_REPORT_BYTES);
        // Fails only if the semaphore is closed, which never happens.
        let _permit = entry.report_reads.acquire().await.ok();
        let called = entry
            .pool
            .call_within(engine, (request, Purpose::Read), limits)
            .await;
        let response = match called {
            Ok(response) if response.status().is_success() => response,
            Ok(_) => return Sign::Unknown,
            Err(error) if error.is_refused() => return Sign::Ended(Evidence::Refuses),
            Err(_) => return Sign::Unanswered,
        };
        match (entry.codec.parse_runs)(response.body()) {
            Ok(report) => self.judge(engine, &report),
            Err(_) => Sign::Unknown,
        }
    }

    /// Returns what a report that was just read shows.
    fn judge(&self, engine: &Instance, report: &RunReport) -> Sign {
        let has_other = |incarnation| incarnation != engine.incarnation;
        if report.incarnation.is_some_and(has_other) {
            return Sign::Ended(Evidence::StartedAnew);
        }
        let is_idle = report.running == 0 && report.waiting == 0;
        let is_named = match &report.runs {
            Some(runs) => runs.contains(&self.job.call.id),
            None if is_idle => false,
            None => return Sign::Unknown,
        };
        let may_wait = !self.has_begun && report.waiting > 0;
        match is_named {
            true => Sign::Running,
            false if may_wait || self.sent.elapsed() < MAX_REPORT_AGE => Sign::Unknown,
            false => Sign::Ended(Evidence::NotReported),
        }
    }
}
