//! JSON-RPC API for operators. Every entry host answers every method; the control thread forwards
//! changes to the leader.

mod rows;
mod stops;
mod voters;

pub use stops::ReportedStops;

use {
    crate::{
        control::{Error, Handle},
        limits::Limits,
        report::{self, Collector, Report},
        request_stats::RequestStats,
        schedule::Scheduler,
        snapshot::SharedView,
    },
    jsonrpsee::{
        RpcModule,
        core::RegisterMethodError,
        types::{ErrorObjectOwned, Params},
    },
    log::{info, warn},
    sardinerelay::{
        operator::{
            CheckReport, CheckRequest, Digest, ErrorCode, ErrorData, Finding, HEALTH, HOSTS,
            Health, HostState, ORGANISATIONS, PublishedSheet, QUEUES, SHEET_CHECK, SHEET_SHOW,
            SHEET_SUBMIT, STOP_PLAN, STOP_WATCH, Submission, TARGETS, VOTERS, VOTERS_REPLACE,
            Verdict,
        },
        sheet::{self, Sheet},
        state::{Command, Reply},
        unix_time::unix_ms,
    },
    serde::de::DeserializeOwned,
    std::{sync::Arc, time::Duration},
};

/// Time for a change to be committed.
const CHANGE_COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for the other hosts to send their reports.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

type RpcResult<T> = Result<T, ErrorObjectOwned>;

/// State that the methods use.
#[derive(Debug)]
pub struct Context {
    /// Handle of the control thread.
    pub control: Handle,
    /// Gathers the report of this host.
    pub collector: Collector,
    /// The snapshot that the traffic threads use.
    pub view: SharedView,
    /// The scheduler, for the state of targets.
    pub scheduler: Arc<Scheduler>,
    /// Rate limits, for the usage of organisations on this host.
    pub limits: Arc<Limits>,
    /// Counts of waiting and running requests on this host.
    pub request_stats: Arc<RequestStats>,
    /// This host's availability zone.
    pub zone: sardinerelay::id::Zone,
    /// Last reported progress of each stop that is watched through this host.
    pub reported_stops: ReportedStops,
}

/// Builds the module of all methods.
///
/// # Errors
///
/// Returns an error if two methods share a name.
pub fn methods(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(SHEET_CHECK, |params, context, _| async move {
        context.check(&parse(&params)?)
    })?;
    module.register_async_method(SHEET_SUBMIT, |params, context, _| async move {
        context.submit(parse(&params)?).await
    })?;
    module.register_async_method(SHEET_SHOW, |_, context, _| async move { context.show() })?;
    module.register_async_method(HOSTS, |_, context, _| async move {
        RpcResult::Ok(context.hosts().await)
    })?;
    module.register_async_method(TARGETS, |_, context, _| async move {
        RpcResult::Ok(context.targets())
    })?;
    module.register_async_method(ORGANISATIONS, |_, context, _| async move {
        RpcResult::Ok(context.organisations())
    })?;
    module.register_async_method(QUEUES, |_, context, _| async move {
        RpcResult::Ok(context.queues())
    })?;
    module.register_async_method(STOP_PLAN, |params, context, _| async move {
        context.plan(parse(&params)?).await
    })?;
    module.register_async_method(STOP_WATCH, |params, context, _| async move {
        context.watch(parse(&params)?).await
    })?;
    module.register_async_method(
        VOTERS,
        |_, context, _| async move { context.voters().await },
    )?;
    module.register_async_method(VOTERS_REPLACE, |params, context, _| async move {
        context.replace(parse(&params)?).await
    })?;
    module.register_async_method(HEALTH, |_, context, _| async move {
        RpcResult::Ok(context.health().await)
    })?;
    Ok(module)
}

impl Context {
    fn check(&self, request: &CheckRequest) -> RpcResult<CheckReport> {
        let published = self.control.published().borrow().clone();
        let current = report::in_force(&published).zip(published.sheet.as_deref());
        Ok(CheckReport::new(&request.toml, current))
    }

    async fn submit(&self, submission: Submission) -> RpcResult<Verdict> {
        let sheet = validated_sheet(&submission)?;
        let (number, digest) = (submission.number, submission.digest);
        let command = Command::Submit {
            digest: digest.0,
            sheet: Arc::new(sheet),
        };
        let verdict = match self.propose(command).await? {
            Reply::Accepted(accepted) => Verdict::Accepted(report::version(&accepted)),
            // A repeated submission gets the same answer as the first one, even if a sheet with a
            // higher number has been accepted since.
            Reply::Conflict {
                earlier: Some(accepted),
                ..
            } => Verdict::Accepted(report::version(&accepted)),
            Reply::Conflict { winner, .. } if winner.number == number => Verdict::Conflict {
                held: report::version(&winner),
            },
            Reply::Conflict { winner, .. } => Verdict::Outdated {
                newest: report::version(&winner),
            },
            reply => return Err(unexpected_reply(&reply)),
        };
        match &verdict {
            Verdict::Accepted(version) => {
                info!(
                    "accepted sheet {number} with digest {digest} as version {}",
                    version.version
                );
            }
            Verdict::Conflict { held } => {
                info!(
                    "refused sheet {number} with digest {digest}: the accepted sheet of this number has digest {}",
                    held.digest
                );
            }
            Verdict::Outdated { newest } => {
                info!(
                    "refused sheet {number}: sheet {} was accepted before",
                    newest.number
                );
            }
        }
        Ok(verdict)
    }

    fn show(&self) -> RpcResult<Option<PublishedSheet>> {
        let published = self.control.published().borrow().clone();
        let (Some(accepted), Some(sheet)) = (&published.accepted, &published.sheet) else {
            return Ok(None);
        };
        Ok(Some(PublishedSheet {
            version: report::version(accepted),
            accepted_at_ms: unix_ms(accepted.at),
            toml: sheet.to_toml(),
        }))
    }

    async fn health(&self) -> Health {
        let report = self.collector.report().await;
        Health {
            host: report.host,
            zone: self.zone.clone(),
            release: env!("CARGO_PKG_VERSION").into(),
            role: report.role,
            state: report.state,
            leader: report.leader,
            term: report.term,
            quorum: report.connected,
            in_force: report.in_force,
            problems: health_problems(&report),
        }
    }

    async fn propose(&self, command: Command) -> RpcResult<Reply> {
        self.control
            .propose(command, CHANGE_COMMIT_TIMEOUT)
            .await
            .map_err(|error| {
                warn!("no confirmation that a change was committed: {error}");
                let code = if error.is_not_committed() {
                    ErrorCode::NoQuorum
                } else {
                    ErrorCode::OutcomeUnknown
                };
                rpc_error(code, &error)
            })
    }
}

/// Parses the sheet of a submission. The text must be valid, and its number and digest must be
/// those of the submission.
fn validated_sheet(submission: &Submission) -> RpcResult<Sheet> {
    let sheet = sheet::parse(&submission.toml).map_err(|faults| {
        let data = ErrorData {
            faults: faults.iter().map(Finding::from).collect(),
        };
        let message = format!("the sheet has {} errors", faults.len());
        ErrorObjectOwned::owned(ErrorCode::InvalidSheet.number(), message, Some(data))
    })?;
    if sheet.number != submission.number || Digest(sheet.digest()) != submission.digest {
        let message = "number or digest differ from the sheet's text";
        return Err(ErrorObjectOwned::owned(
            ErrorCode::InvalidRequest.number(),
            message,
            None::<()>,
        ));
    }
    Ok(sheet)
}

/// The problems that a health check lists, as texts for operators.
fn health_problems(report: &Report) -> Vec<String> {
    let mut problems = Vec::new();
    if report.in_force.is_none() {
        problems.push("no sheet is in force on this host".to_owned());
    }
    if !report.connected {
        problems.push(
            "no leader with a quorum is heard; changes and keyed calls are refused".to_owned(),
        );
    }
    if report.state == HostState::Stopping {
        problems.push("a planned stop is under way".to_owned());
    }
    problems
}

fn parse<P>(params: &Params<'_>) -> RpcResult<P>
where
    P: DeserializeOwned,
{
    params.parse().map_err(|error| {
        ErrorObjectOwned::owned(
            ErrorCode::InvalidRequest.number(),
            error.message().to_owned(),
            error.data(),
        )
    })
}

fn rpc_error(code: ErrorCode, error: &Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code.number(), error.to_string(), None::<()>)
}

fn unknown_name(what: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        ErrorCode::UnknownName.number(),
        format!("there is no {what}"),
        None::<()>,
    )
}

fn not_ready(what: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        ErrorCode::NotReady.number(),
        format!("this host {what}; repeat the request, or use another host"),
        None::<()>,
    )
}

fn unexpected_reply(reply: &Reply) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        ErrorCode::Internal.number(),
        format!("unexpected reply {reply:?}"),
        None::<()>,
    )
}
