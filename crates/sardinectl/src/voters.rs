//! `voters` and `voters replace`: list and replace members of the consensus group.

use {
    crate::{
        client::{Call, Client},
        error::Error,
        exit_code::ExitCode,
        output::{self, number, text},
    },
    sardinerelay::operator::{
        self, MemberRow, ReplaceProgress, ReplaceRequest, ReplaceStage, Voters,
    },
    std::time::Duration,
    tokio::time::{self, Instant},
};

/// Interval between two steps, which gives the first one time to be committed.
const STEP_INTERVAL: Duration = Duration::from_millis(300);

/// Prints the list of members.
pub async fn list(client: &mut Client, json: bool) -> Result<ExitCode, Error> {
    let voters: Voters = client.read(operator::VOTERS).await?;
    if json {
        output::print_json(&voters)?;
        return Ok(ExitCode::Success);
    }
    let columns = [number("HOST"), text("ROLE"), number("MATCHED")];
    let cells: Vec<_> = voters.members.iter().map(cells).collect();
    output::print(&output::table(columns, &cells))?;
    let (leader, term, commit) = (voters.leader, voters.term, voters.commit);
    output::note(&format!(
        "host {leader} leads in term {term}, committed up to {commit}"
    ));
    if !voters.committed {
        output::note("a membership change is not committed yet");
    }
    Ok(ExitCode::Success)
}

fn cells(row: &MemberRow) -> [String; 3] {
    let role = match (row.leads, row.votes) {
        (true, _) => "leader",
        (false, true) => "voter",
        (false, false) => "learner",
    };
    [
        row.host.to_string(),
        role.to_owned(),
        row.matched.to_string(),
    ]
}

/// Asks for one step after another until the voter is replaced. If the first call fails, the
/// command fails. Later calls are retried unless they are refused, because the leader may have
/// changed.
pub async fn replace(
    client: &mut Client,
    request: ReplaceRequest,
    wait: Duration,
    json: bool,
) -> Result<ExitCode, Error> {
    let deadline = Instant::now() + wait;
    let mut last = step(client, &request).await?;
    output::note(&describe(&last));
    while last.stage != ReplaceStage::Done {
        time::sleep(STEP_INTERVAL).await;
        let reason = match time::timeout_at(deadline, step(client, &request)).await {
            Ok(Ok(progress)) => {
                if describe(&progress) != describe(&last) {
                    output::note(&describe(&progress));
                }
                last = progress;
                describe(&last)
            }
            Ok(Err(error @ Error::Refused { .. })) => return Err(error),
            Ok(Err(error)) => error.to_string(),
            Err(_) => describe(&last),
        };
        if Instant::now() + STEP_INTERVAL >= deadline && last.stage != ReplaceStage::Done {
            let ReplaceRequest { old, new } = request;
            return Err(Error::Incomplete {
                change: format!("the replacement of host {old} by host {new}"),
                reason,
            });
        }
    }
    match json {
        true => output::print_json(&last)?,
        false => output::print(&format!("{}\n", describe(&last)))?,
    }
    Ok(ExitCode::Success)
}

async fn step(client: &mut Client, request: &ReplaceRequest) -> Result<ReplaceProgress, Error> {
    let call = Call {
        method: operator::VOTERS_REPLACE,
        request,
        long_poll: Duration::ZERO,
        proposal: None,
    };
    client.call(call).await
}

fn describe(progress: &ReplaceProgress) -> String {
    let ReplaceRequest { old, new } = progress.request;
    match (progress.stage, progress.missing) {
        (ReplaceStage::Adding, _) => format!("adding host {new} as a learner"),
        (ReplaceStage::CatchingUp, Some(missing)) => {
            format!("host {new} catches up: {missing} log entries left")
        }
        (ReplaceStage::CatchingUp, None) => {
            format!("host {new} does not answer the leader; is it running with --learner?")
        }
        (ReplaceStage::Promoting, _) => format!("making host {new} a voter"),
        (ReplaceStage::Transferring, _) => {
            format!("host {old} leads and transfers leadership first")
        }
        (ReplaceStage::Removing, _) => format!("removing host {old}"),
        (ReplaceStage::Done, _) => format!("host {new} votes in place of host {old}"),
    }
}
