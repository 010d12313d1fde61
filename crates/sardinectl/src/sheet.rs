//! `sheet check`, `sheet submit` and `sheet show`.

use {
    crate::{
        client::{Call, Client},
        config::ChangeOptions,
        error::{Error, count},
        exit_code::ExitCode,
        output,
    },
    sardinerelay::{
        operator::{
            self, CheckReport, CheckRequest, Digest, HostRow, HostState, ProposalId,
            PublishedSheet, SheetVersion, Submission, Verdict,
        },
        sheet,
    },
    serde::Serialize,
    std::{
        fs::File,
        io::{self, Read},
        path::Path,
        time::Duration,
    },
    tokio::time::{self, Instant},
};

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Interval at which the hosts are polled for the sheet that they have in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The output of `sheet check --json`.
#[derive(Debug, Serialize)]
struct CheckDocument {
    valid: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    number: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    digest: Option<Digest>,
    #[serde(flatten)]
    report: CheckReport,
}

/// Validates a sheet and lists every error. With `compare`, a valid sheet is also checked by the
/// server, which lists what it changes.
pub async fn check(
    client: &mut Client,
    file: &Path,
    compare: bool,
    json: bool,
) -> Result<ExitCode, Error> {
    let toml = read(file)?;
    let parsed = sheet::parse(&toml).ok();
    let mut report = CheckReport::new(&toml, None);
    report.changes.clear();
    if compare && report.faults.is_empty() {
        let request = CheckRequest { toml };
        report = client.call(check_call(&request)).await?;
    }
    let document = CheckDocument {
        valid: report.faults.is_empty(),
        number: parsed.as_ref().map(|sheet| sheet.number),
        digest: parsed.as_ref().map(|sheet| Digest(sheet.digest())),
        report,
    };
    match json {
        true => output::print_json(&document)?,
        false => output::print(&check_text(&document, file, compare))?,
    }
    Ok(match document.valid {
        true => ExitCode::Success,
        false => ExitCode::InvalidSheet,
    })
}

fn check_call(request: &CheckRequest) -> Call<'_, CheckRequest> {
    Call {
        method: operator::SHEET_CHECK,
        request,
        long_poll: Duration::ZERO,
        proposal: None,
    }
}

fn check_text(document: &CheckDocument, file: &Path, compare: bool) -> String {
    let report = &document.report;
    let mut lines = Vec::new();
    lines.extend(report.faults.iter().map(|fault| format!("error: {fault}")));
    let warnings = report.warnings.iter();
    lines.extend(warnings.map(|warning| format!("warning: {warning}")));
    let file = file.display();
    match (document.number, document.digest) {
        (Some(number), Some(digest)) if document.valid => {
            lines.push(format!("{file} is valid: number {number}, digest {digest}"));
        }
        _ => lines.push(format!(
            "{file} has {}",
            count(report.faults.len(), "error")
        )),
    }
    if compare && document.valid {
        lines.push(match report.current {
            Some(current) => format!(
                "{} from sheet {}:",
                count(report.changes.len(), "change"),
                current.number
            ),
            None => "no sheet has been accepted yet; everything is new:".to_owned(),
        });
        lines.extend(report.changes.iter().map(ToString::to_string));
    }
    lines.push(String::new());
    lines.join("\n")
}

/// The output of `sheet submit --json`.
#[derive(Debug, Serialize)]
struct SubmitDocument<'verdict> {
    proposal: ProposalId,
    #[serde(flatten)]
    verdict: &'verdict Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    hosts: Option<Progress>,
}

/// Number of hosts that have a sheet in force, out of those that are reachable and listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct Progress {
    in_force: usize,
    reachable: usize,
    listed: usize,
}

impl Progress {
    fn new(rows: &[HostRow], version: &SheetVersion) -> Self {
        let reachable = |row: &&HostRow| row.state != HostState::Unreachable;
        // A later sheet supersedes this one, even if the host skipped this one.
        let in_force = |row: &&HostRow| {
            row.in_force
                .is_some_and(|in_force| in_force.version >= version.version)
        };
        Self {
            in_force: rows.iter().filter(reachable).filter(in_force).count(),
            reachable: rows.iter().filter(reachable).count(),
            listed: rows.len(),
        }
    }

    fn is_complete(self) -> bool {
        self.reachable > 0 && self.in_force == self.reachable
    }

    fn text(self) -> String {
        let mut text = format!(
            "in force on {} of {} reachable hosts",
            self.in_force, self.reachable
        );
        if self.reachable < self.listed {
            text.push_str(&format!(" ({} unreachable)", self.listed - self.reachable));
        }
        text
    }
}

/// Submits a sheet and waits until it is in force on every reachable host.
pub async fn submit(
    client: &mut Client,
    file: &Path,
    change: ChangeOptions,
    json: bool,
) -> Result<ExitCode, Error> {
    let submission = submission(file, change.proposal)?;
    output::note(&format!("proposal {}", change.proposal));
    let verdict: Verdict = client
        .call(Call {
            method: operator::SHEET_SUBMIT,
            request: &submission,
            long_poll: Duration::ZERO,
            proposal: Some(change.proposal),
        })
        .await?;
    let progress = match (&verdict, change.wait) {
        (Verdict::Accepted(version), Some(wait)) => {
            if !json {
                output::print(&verdict_text(&verdict, &submission))?;
            }
            Some(wait_until_in_force(client, version, wait).await?)
        }
        _ => None,
    };
    if json {
        output::print_json(&SubmitDocument {
            proposal: change.proposal,
            verdict: &verdict,
            hosts: progress,
        })?;
    } else if let Some(progress) = progress {
        output::print(&format!("{}\n", progress.text()))?;
    } else {
        output::print(&verdict_text(&verdict, &submission))?;
    }
    Ok(match verdict {
        Verdict::Accepted(_) => ExitCode::Success,
        Verdict::Conflict { .. } | Verdict::Outdated { .. } => ExitCode::Conflict,
    })
}

fn submission(file: &Path, proposal: ProposalId) -> Result<Submission, Error> {
    let toml = read(file)?;
    let sheet = sheet::parse(&toml).map_err(|faults| Error::InvalidSheet {
        file: file.to_owned(),
        faults,
    })?;
    let warnings = sheet::warnings(&toml);
    warnings
        .iter()
        .for_each(|warning| output::note(&format!("warning: {warning}")));
    Ok(Submission {
        number: sheet.number,
        digest: Digest(sheet.digest()),
        toml,
        proposal,
    })
}

fn verdict_text(verdict: &Verdict, submission: &Submission) -> String {
    let number = submission.number;
    match verdict {
        Verdict::Accepted(version) => format!(
            "accepted: number {}, digest {}, version {}\n",
            version.number, version.digest, version.version
        ),
        Verdict::Conflict { held } => format!(
            "conflict: number {number} belongs to another sheet, digest {}, version {}; \
             this one has digest {}\n",
            held.digest, held.version, submission.digest
        ),
        Verdict::Outdated { newest } => format!(
            "outdated: number {number} is below {}, the number of the last accepted sheet\n",
            newest.number
        ),
    }
}

/// Polls the hosts until every reachable one has the sheet in force, and prints each change of
/// their number to standard error.
async fn wait_until_in_force(
    client: &mut Client,
    version: &SheetVersion,
    wait: Duration,
) -> Result<Progress, Error> {
    let deadline = Instant::now() + wait;
    let mut shown = None;
    loop {
        let polled = time::timeout_at(deadline, client.read::<Vec<HostRow>>(operator::HOSTS)).await;
        let progress = match &polled {
            Ok(Ok(rows)) => Some(Progress::new(rows, version)),
            _ => None,
        };
        if let Some(progress) = progress.filter(|progress| shown != Some(*progress)) {
            output::note(&progress.text());
            shown = Some(progress);
        }
        if let Some(progress) = progress.filter(|progress| progress.is_complete()) {
            return Ok(progress);
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Err(Error::Incomplete {
                change: format!("sheet {} (version {})", version.number, version.version),
                reason: incomplete_reason(shown, polled.ok().and_then(Result::err)),
            });
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

fn incomplete_reason(shown: Option<Progress>, error: Option<Error>) -> String {
    match (error, shown) {
        (Some(error), _) => error.to_string(),
        (None, Some(progress)) => format!("only {}", progress.text()),
        (None, None) => "no host was seen to have it in force".to_owned(),
    }
}

/// Prints the last accepted sheet in a form that can be submitted again.
pub async fn show(client: &mut Client, json: bool) -> Result<ExitCode, Error> {
    let published: Option<PublishedSheet> = client.read(operator::SHEET_SHOW).await?;
    if json {
        output::print_json(&published)?;
        return Ok(ExitCode::Success);
    }
    let Some(published) = published else {
        output::note("no sheet has been accepted yet");
        return Ok(ExitCode::Success);
    };
    let version = published.version;
    output::note(&format!(
        "number {}, digest {}, version {}, accepted {}",
        version.number,
        version.digest,
        version.version,
        output::timestamp(published.accepted_at_ms)
    ));
    output::print(&published.toml)?;
    Ok(ExitCode::Success)
}

/// Reads a sheet, but at most one byte more than [`sheet::limit::MAX_FILE_BYTES`].
fn read(file: &Path) -> Result<String, Error> {
    let limit = sheet::limit::MAX_FILE_BYTES as u64 + 1;
    let mut bytes = Vec::new();
    let outcome = match file.as_os_str() == STANDARD_INPUT {
        true => io::stdin().take(limit).read_to_end(&mut bytes),
        false => File::open(file).and_then(|open| open.take(limit).read_to_end(&mut bytes)),
    };
    outcome.map_err(|source| Error::Read {
        file: file.to_owned(),
        source,
    })?;
    if bytes.len() as u64 == limit {
        // The file is too large, which the parser reports. It may be cut off within a character.
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    String::from_utf8(bytes).map_err(|_| Error::NotUtf8 {
        file: file.to_owned(),
    })
}
