//! `health`: shows the state of each given server.

use {
    crate::{
        client::Client,
        config::ClientConfig,
        error::Error,
        exit_code::ExitCode,
        list,
        output::{self, ABSENT, number, text},
    },
    sardinerelay::operator::{self, Health, HostState},
    serde::Serialize,
};

/// One server's answer or error, as `--json` prints it.
#[derive(Debug, Serialize)]
struct Answer {
    server: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    health: Option<Health>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    #[serde(skip)]
    exit_code: ExitCode,
}

/// Shows the state of every server. Succeeds if all of them answer and are ready.
pub async fn run(config: &ClientConfig, json: bool) -> Result<ExitCode, Error> {
    let mut answers = Vec::new();
    for server in &config.servers {
        answers.push(query(config, server).await);
    }
    match json {
        true => output::print_json(&answers)?,
        false => print(&answers)?,
    }
    Ok(overall_exit_code(&answers))
}

/// The exit code of the command: success if all servers are ready, a general failure if some
/// answer, and otherwise the first server's error.
fn overall_exit_code(answers: &[Answer]) -> ExitCode {
    let is_ready = |answer: &Answer| answer.exit_code == ExitCode::Success;
    if answers.iter().all(is_ready) {
        return ExitCode::Success;
    }
    if answers.iter().any(|answer| answer.health.is_some()) {
        return ExitCode::General;
    }
    answers
        .first()
        .map_or(ExitCode::Unreachable, |answer| answer.exit_code)
}

async fn query(config: &ClientConfig, server: &str) -> Answer {
    let mut client = Client::new(ClientConfig {
        servers: vec![server.to_owned()],
        ..config.clone()
    });
    let health: Result<Health, Error> = client.read(operator::HEALTH).await;
    let exit_code = match &health {
        Ok(health) if health.state == HostState::Ready => ExitCode::Success,
        Ok(_) => ExitCode::General,
        Err(error) => error.exit_code(),
    };
    let error = health.as_ref().err().map(ToString::to_string);
    Answer {
        server: server.to_owned(),
        health: health.ok(),
        error,
        exit_code,
    }
}

fn print(answers: &[Answer]) -> Result<(), Error> {
    let columns = [
        text("SERVER"),
        number("HOST"),
        text("ZONE"),
        text("RELEASE"),
        text("ROLE"),
        text("STATE"),
        number("LEADER"),
        number("TERM"),
        text("QUORUM"),
        text("SHEET"),
    ];
    let cells: Vec<_> = answers.iter().map(cells).collect();
    output::print(&output::table(columns, &cells))?;
    for answer in answers {
        let problems = answer.health.iter().flat_map(|health| &health.problems);
        for problem in problems.chain(&answer.error) {
            output::note(&format!("{}: {problem}", answer.server));
        }
    }
    Ok(())
}

fn cells(answer: &Answer) -> [String; 10] {
    let Some(health) = &answer.health else {
        let mut cells = [ABSENT; 10].map(str::to_owned);
        cells[0].clone_from(&answer.server);
        cells[5] = "no answer".to_owned();
        return cells;
    };
    let leader = health.leader.map(|leader| leader.to_string());
    [
        answer.server.clone(),
        health.host.to_string(),
        health.zone.to_string(),
        health.release.to_string(),
        output::variant_name(&health.role),
        output::variant_name(&health.state),
        leader.unwrap_or_else(|| ABSENT.to_owned()),
        health.term.to_string(),
        if health.quorum { "yes" } else { "no" }.to_owned(),
        list::version_cell(health.in_force.as_ref()),
    ]
}
