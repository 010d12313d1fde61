//! `stop host` and `stop target`: plan a graceful stop and watch it drain.

use {
    crate::{
        client::{Call, Client},
        config::Change,
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

/// How long a server may hold back an answer without progress.
const HOLD: Duration = Duration::from_secs(2);

/// Pause after a failed look, so that a fault does not become a flood of calls.
const PAUSE: Duration = Duration::from_millis(500);

/// Plans the stop and watches it until it is drained.
pub async fn run(
    client: &mut Client,
    subject: Subject,
    change: Change,
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
            hold: Duration::ZERO,
            proposal: Some(change.proposal),
        })
        .await?;
    output::note(&text(&planned));
    let last = match change.wait {
        Some(wait) => watch(client, planned, wait).await?,
        None => planned,
    };
    match json {
        true => output::print_json(&last)?,
        false => output::print(&format!("{}\n", text(&last)))?,
    }
    Ok(ExitCode::Success)
}

fn text(progress: &StopProgress) -> String {
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

/// Follows the stop and notes each step.
async fn watch(
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
            wait_ms: HOLD.as_millis() as u64,
        };
        let call = Call {
            method: operator::STOP_WATCH,
            request: &request,
            hold: HOLD,
            proposal: None,
        };
        let looked = time::timeout_at(deadline, client.call::<_, StopProgress>(call)).await;
        let failure = match looked {
            Ok(Ok(progress)) => {
                let moved_on = progress.revision > last.revision;
                if text(&progress) != text(&last) {
                    output::note(&text(&progress));
                }
                last = progress;
                if moved_on {
                    continue;
                }
                text(&last)
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => text(&last),
        };
        if Instant::now() + PAUSE >= deadline {
            return Err(Error::Incomplete {
                change: format!("the stop of {}", last.subject),
                reason: failure,
            });
        }
        time::sleep(PAUSE).await;
    }
    Ok(last)
}
