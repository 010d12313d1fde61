//! `stop host` and `stop target`: plan a graceful stop and wait until it is drained.

use {
    crate::{
        client::{Call, Client},
        config::ChangeOptions,
        error::Error,
        exit_code::ExitCode,
        output,
    },
    sardinerelay::operator::{
        self, StopProgress, StopRequest, StopStage, StopWatchRequest, Subject,
    },
    std::time::Duration,
    tokio::time::{self, Instant},
};

/// How long a server may hold back its answer while there is no progress.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a call that failed or showed no progress, so that errors don't cause a flood of
/// calls.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Plans the stop and waits until it is drained.
pub async fn run(
    client: &mut Client,
    subject: Subject,
    change: ChangeOptions,
    json: bool,
) -> Result<ExitCode, Error> {
    output::note(&format!("proposal {}", change.proposal));
    let request = StopRequest {
        subject,
        proposal: change.proposal,
    };
    let planned: StopProgress = client
        .call(Call {
            method: operator::STOP_PLAN,
            request: &request,
            long_poll: Duration::ZERO,
            proposal: Some(change.proposal),
        })
        .await?;
    output::note(&describe(&planned));
    let last = match change.wait {
        Some(wait) => wait_until_drained(client, planned, wait).await?,
        None => planned,
    };
    match json {
        true => output::print_json(&last)?,
        false => output::print(&format!("{}\n", describe(&last)))?,
    }
    Ok(ExitCode::Success)
}

fn describe(progress: &StopProgress) -> String {
    let subject = &progress.subject;
    match progress.stage {
        StopStage::Planned => format!(
            "{subject}: planned, {} entry hosts have not confirmed yet",
            progress.unconfirmed_hosts
        ),
        StopStage::Draining => format!(
            "{subject}: draining, {} streams, {} calls and {} queued requests left",
            progress.streams, progress.calls, progress.queued
        ),
        StopStage::Drained => format!("{subject}: drained"),
    }
}

/// Polls the stop until it is drained, and prints each step to standard error.
async fn wait_until_drained(
    client: &mut Client,
    planned: StopProgress,
    wait: Duration,
) -> Result<StopProgress, Error> {
    let deadline = Instant::now() + wait;
    let mut last = planned;
    while last.stage != StopStage::Drained {
        let request = StopWatchRequest {
            subject: last.subject.clone(),
            seen: Some(last.revision),
            wait_ms: LONG_POLL_TIMEOUT.as_millis() as u64,
        };
        let call = Call {
            method: operator::STOP_WATCH,
            request: &request,
            long_poll: LONG_POLL_TIMEOUT,
            proposal: None,
        };
        let polled = time::timeout_at(deadline, client.call::<_, StopProgress>(call)).await;
        let reason = match polled {
            Ok(Ok(progress)) => {
                let has_progress = progress.revision > last.revision;
                if describe(&progress) != describe(&last) {
                    output::note(&describe(&progress));
                }
                last = progress;
                if has_progress {
                    continue;
                }
                describe(&last)
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => describe(&last),
        };
        if Instant::now() + RETRY_DELAY >= deadline {
            return Err(Error::Incomplete {
                change: format!("the stop of {}", last.subject),
                reason,
            });
        }
        time::sleep(RETRY_DELAY).await;
    }
    Ok(last)
}
