//! JSON-RPC for operators. Every entry host answers every method; changes are forwarded to the
//! leader by the control thread.

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
            CheckReport, CheckRequest, Digest, ErrorCode, ErrorData, FaultRow, HEALTH, HOSTS,
            Health, HostState, ORGANISATIONS, Published, QUEUES, SHEET_CHECK, SHEET_SHOW,
            SHEET_SUBMIT, STOP_PLAN, STOP_WATCH, Submission, TARGETS, VOTERS, VOTERS_REPLACE,
            Verdict,
        },
        sheet::{self, Sheet},
        state::{Command, Reply},
    },
    serde::de::DeserializeOwned,
    std::{sync::Arc, time::Duration},
};

/// Time in which a change has to be committed.
const COMMIT: Duration = Duration::from_secs(5);

/// Time in which other hosts have to report.
const REPORT: Duration = Duration::from_secs(1);

type Answer<T> = Result<T, ErrorObjectOwned>;

/// What the methods work on.
#[derive(Debug)]
pub struct Context {
    /// The control thread.
    pub control: Handle,
    /// This host's account of itself.
    pub collector: Collector,
    /// The snapshot that traffic reads.
    pub view: SharedView,
    /// The scheduler.
    pub scheduler: Arc<Scheduler>,
    /// This host's limits.
    pub limits: Arc<Limits>,
    /// What waits and runs here.
    pub request_stats: Arc<RequestStats>,
    /// This host's availability zone.
    pub zone: sardinerelay::id::Zone,
    /// Last seen progress of each stop that is watched here.
    pub stops: ReportedStops,
}

/// The methods.
///
/// # Errors
///
/// Returns an error if two methods share a name.
pub fn methods(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(SHEET_CHECK, |params, context, _| async move {
        context.check(&read(&params)?)
    })?;
    module.register_async_method(SHEET_SUBMIT, |params, context, _| async move {
        context.submit(read(&params)?).await
    })?;
    module.register_async_method(SHEET_SHOW, |_, context, _| async move { context.show() })?;
    module.register_async_method(HOSTS, |_, context, _| async move {
        Answer::Ok(context.hosts().await)
    })?;
    module.register_async_method(TARGETS, |_, context, _| async move {
        Answer::Ok(context.targets())
    })?;
    module.register_async_method(ORGANISATIONS, |_, context, _| async move {
        Answer::Ok(context.organisations())
    })?;
    module.register_async_method(QUEUES, |_, context, _| async move {
        Answer::Ok(context.queues())
    })?;
    module.register_async_method(STOP_PLAN, |params, context, _| async move {
        context.plan(read(&params)?).await
    })?;
    module.register_async_method(STOP_WATCH, |params, context, _| async move {
        context.watch(read(&params)?).await
    })?;
    module.register_async_method(
        VOTERS,
        |_, context, _| async move { context.voters().await },
    )?;
    module.register_async_method(VOTERS_REPLACE, |params, context, _| async move {
        context.replace(read(&params)?).await
    })?;
    module.register_async_method(HEALTH, |_, context, _| async move {
        Answer::Ok(context.health().await)
    })?;
    Ok(module)
}

impl Context {
    fn check(&self, request: &CheckRequest) -> Answer<CheckReport> {
        let published = self.control.published().borrow().clone();
        let current = report::in_force(&published).zip(published.sheet.as_deref());
        Ok(CheckReport::new(&request.toml, current))
    }

    async fn submit(&self, submission: Submission) -> Answer<Verdict> {
        let sheet = checked(&submission)?;
        let (number, digest) = (submission.number, submission.digest);
        let command = Command::Submit {
            digest: digest.0,
            sheet: Arc::new(sheet),
        };
        let verdict = match self.propose(command).await? {
            Reply::Accepted(accepted) => Verdict::Accepted(report::version(&accepted)),
            // A resend gets the first answer, also after a higher sheet was accepted.
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
            reply => return Err(unexpected(&reply)),
        };
        match &verdict {
            Verdict::Accepted(version) => {
                info!(
                    "sheet {number} with digest {digest} is accepted as version {}",
                    version.version
                );
            }
            Verdict::Conflict { held } => {
                info!(
                    "sheet {number} with digest {digest} is refused: the number belongs to {}",
                    held.digest
                );
            }
            Verdict::Outdated { newest } => {
                info!(
                    "sheet {number} is refused: sheet {} is accepted already",
                    newest.number
                );
            }
        }
        Ok(verdict)
    }

    fn show(&self) -> Answer<Option<Published>> {
        let published = self.control.published().borrow().clone();
        let (Some(accepted), Some(sheet)) = (&published.accepted, &published.sheet) else {
            return Ok(None);
        };
        Ok(Some(Published {
            version: report::version(accepted),
            accepted_at_ms: stops::unix_ms(accepted.at),
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
            problems: problems(&report),
        }
    }

    async fn propose(&self, command: Command) -> Answer<Reply> {
        self.control
            .propose(command, COMMIT)
            .await
            .map_err(|error| {
                warn!("a change was not committed: {error}");
                let code = if error.is_not_committed() {
                    ErrorCode::NoQuorum
                } else {
                    ErrorCode::OutcomeUnknown
                };
                refuse(code, &error)
            })
    }
}

/// The submission's sheet, if the text is valid and says what the submission says.
fn checked(submission: &Submission) -> Answer<Sheet> {
    let sheet = sheet::parse(&submission.toml).map_err(|faults| {
        let data = ErrorData {
            faults: faults.iter().map(FaultRow::from).collect(),
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

fn problems(report: &Report) -> Vec<String> {
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

fn read<P>(params: &Params<'_>) -> Answer<P>
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

fn refuse(code: ErrorCode, error: &Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code.number(), error.to_string(), None::<()>)
}

fn unknown(what: &str) -> ErrorObjectOwned {
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

fn unexpected(reply: &Reply) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        ErrorCode::Internal.number(),
        format!("unexpected reply {reply:?}"),
        None::<()>,
    )
}
