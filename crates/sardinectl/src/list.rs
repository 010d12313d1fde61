//! `hosts`, `targets`, `organisations` and `queues`: lists as the answering host knows them.

use {
    crate::{
        client::Client,
        error::Error,
        exit_code::ExitCode,
        output::{self, ABSENT, number, text},
    },
    sardinerelay::operator::{self, HostRow, OrganisationRow, QueueRow, SheetVersion, TargetRow},
};

/// Number of digits of a digest that a table shows.
const SHORT_DIGEST_DIGITS: usize = 12;

/// Formats a sheet's number and abbreviated digest as a table cell.
pub fn version_cell(version: Option<&SheetVersion>) -> String {
    let Some(version) = version else {
        return ABSENT.to_owned();
    };
    let digest = version.digest.to_string();
    format!("{} ({})", version.number, &digest[..SHORT_DIGEST_DIGITS])
}

/// Prints the list of hosts.
pub async fn hosts(client: &mut Client, json: bool) -> Result<ExitCode, Error> {
    let rows: Vec<HostRow> = client.read(operator::HOSTS).await?;
    if json {
        output::print_json(&rows)?;
        return Ok(ExitCode::Success);
    }
    let columns = [
        number("HOST"),
        text("ZONE"),
        text("ADDRESS"),
        text("ROLE"),
        text("STATE"),
        text("SHEET"),
        number("STREAMS"),
        number("QUEUED"),
        number("AGE"),
    ];
    let cells = |row: &HostRow| {
        [
            row.host.to_string(),
            row.zone.to_string(),
            row.address.to_string(),
            output::variant_name(&row.role),
            output::variant_name(&row.state),
            version_cell(row.in_force.as_ref()),
            row.streams.to_string(),
            row.queued.to_string(),
            output::duration(row.age_ms),
        ]
    };
    let cells: Vec<_> = rows.iter().map(cells).collect();
    output::print(&output::table(columns, &cells))?;
    Ok(ExitCode::Success)
}

/// Prints the list of targets.
pub async fn targets(client: &mut Client, json: bool) -> Result<ExitCode, Error> {
    let rows: Vec<TargetRow> = client.read(operator::TARGETS).await?;
    if json {
        output::print_json(&rows)?;
        return Ok(ExitCode::Success);
    }
    let columns = [
        text("TARGET"),
        text("ZONE"),
        text("ADDRESS"),
        text("KIND"),
        text("STATE"),
        number("RUNNING"),
        number("WAITING"),
        number("USED"),
        number("MEMORY"),
        number("AGE"),
        text("SERVES"),
    ];
    let cells: Vec<_> = rows.iter().map(target_cells).collect();
    output::print(&output::table(columns, &cells))?;
    Ok(ExitCode::Success)
}

fn target_cells(row: &TargetRow) -> [String; 11] {
    let memory = |tokens: u64| match row.memory_tokens {
        0 => ABSENT.to_owned(),
        _ => tokens.to_string(),
    };
    [
        row.target.to_string(),
        row.zone.to_string(),
        row.address.to_string(),
        output::variant_name(&row.kind),
        output::variant_name(&row.state),
        row.running.to_string(),
        row.waiting.to_string(),
        memory(row.used_tokens),
        memory(row.memory_tokens),
        row.report_age_ms
            .map_or_else(|| ABSENT.to_owned(), output::duration),
        row.serves.join(", "),
    ]
}

/// Prints the list of organisations with their limits and use.
pub async fn organisations(client: &mut Client, json: bool) -> Result<ExitCode, Error> {
    let rows: Vec<OrganisationRow> = client.read(operator::ORGANISATIONS).await?;
    if json {
        output::print_json(&rows)?;
        return Ok(ExitCode::Success);
    }
    let columns = [
        text("ORGANISATION"),
        number("TOKENS/MIN"),
        number("LIMIT"),
        number("REQUESTS/MIN"),
        number("LIMIT"),
        number("RUNNING"),
        number("QUEUED"),
        number("REFUSED/MIN"),
    ];
    let cells = |row: &OrganisationRow| {
        [
            row.organisation.to_string(),
            row.tokens_used.to_string(),
            row.tokens_per_minute.to_string(),
            row.requests_used.to_string(),
            row.requests_per_minute.to_string(),
            row.running.to_string(),
            row.queued.to_string(),
            row.refused.to_string(),
        ]
    };
    let cells: Vec<_> = rows.iter().map(cells).collect();
    output::print(&output::table(columns, &cells))?;
    Ok(ExitCode::Success)
}

/// Prints the list of admission queues, one row for each host and class.
pub async fn queues(client: &mut Client, json: bool) -> Result<ExitCode, Error> {
    let rows: Vec<QueueRow> = client.read(operator::QUEUES).await?;
    if json {
        output::print_json(&rows)?;
        return Ok(ExitCode::Success);
    }
    let columns = [
        number("HOST"),
        text("CLASS"),
        number("PRIORITY"),
        number("QUEUED"),
        number("OLDEST"),
        number("MAX WAIT"),
        number("RUNNING"),
        number("RESERVED"),
    ];
    let cells = |row: &QueueRow| {
        [
            row.host.to_string(),
            row.class.to_string(),
            row.priority.to_string(),
            row.queued.to_string(),
            output::duration(row.oldest_wait_ms),
            output::duration(row.max_wait_ms),
            row.running.to_string(),
            row.reserved_tokens.to_string(),
        ]
    };
    let cells: Vec<_> = rows.iter().map(cells).collect();
    output::print(&output::table(columns, &cells))?;
    Ok(ExitCode::Success)
}
