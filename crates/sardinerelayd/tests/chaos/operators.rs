//! Operators that submit sheets concurrently, and observers of the sheet in force.

use {
    crate::{
        harness::{sheet_number_in_force, submit_sheet, test_sheet},
        history::{SheetId, SheetObservation, Submission, Verdict},
        testbed::{Context, HostAddresses},
    },
    jsonrpsee::core::client::Error,
    rand::Rng,
    sardinerelay::{
        operator::{self, ErrorCode},
        sheet::Sheet,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
    uuid::Uuid,
};

/// The number of the first sheet. Sheets with a lower number are always refused after it, and the
/// refusal names the newest sheet. Operators submit them to read it through the leader.
pub const FIRST_NUMBER: u64 = 100;

/// How long an operator waits for the result of a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(6);

/// Highest number of submissions of one sheet.
const MAX_SUBMISSIONS: u32 = 3;

/// A sheet with this number. The salt changes its content, so that sheets with the same number
/// differ.
pub fn salted_sheet(context: &Context, number: u64, salt: u64) -> Sheet {
    let mut sheet = test_sheet(number, &context.engines, &[context.service]);
    for organisation in &mut sheet.organisations {
        organisation.requests_per_minute = 100_000 + salt % 100_000;
    }
    sheet
}

/// Submits sheets until the run ends, under numbers that the other operator uses too. Resubmits
/// some of them, mostly after a lost result, and submits some with a low number to read the newest.
pub async fn submit_sheets(context: Arc<Context>, task: u64) {
    let mut rng = context.task_rng(task);
    while context.is_running() {
        let newest = context.highest_number.load(Ordering::Relaxed);
        let number = match rng.random_range(0..10) {
            0..=1 => rng.random_range(1..FIRST_NUMBER),
            2..=3 => newest,
            _ => newest + 1,
        };
        context.highest_number.fetch_max(number, Ordering::Relaxed);
        let sheet = salted_sheet(&context, number, rng.random());
        let proposal = Uuid::from_u128(rng.random());
        for _ in 0..MAX_SUBMISSIONS {
            let host = context.random_host(&mut rng);
            let verdict = submit(&context, host, &sheet, proposal).await;
            let resend_probability = match verdict {
                Verdict::Lost | Verdict::NotCommitted => 0.7,
                _ => 0.2,
            };
            if !context.is_running() || !rng.random_bool(resend_probability) {
                break;
            }
        }
        sleep(Duration::from_millis(rng.random_range(50..400))).await;
    }
}

/// Submits a sheet once and records the result.
pub async fn submit(
    context: &Context,
    host: HostAddresses,
    sheet: &Sheet,
    proposal: Uuid,
) -> Verdict {
    let begin = context.recorder.now_us();
    let result = timeout(SUBMIT_TIMEOUT, submit_sheet(host.operator, sheet, proposal)).await;
    let verdict = match result {
        Ok(Ok(verdict)) => convert(verdict),
        Ok(Err(Error::Call(error))) => match ErrorCode::from_number(error.code()) {
            Some(ErrorCode::NoQuorum | ErrorCode::NotReady | ErrorCode::Busy) => {
                Verdict::NotCommitted
            }
            _ => Verdict::Lost,
        },
        _ => Verdict::Lost,
    };
    let digest = operator::Digest(sheet.digest()).to_string();
    context.recorder.history().submissions.push(Submission {
        sheet: SheetId {
            number: sheet.number,
            digest,
        },
        span: context.recorder.span_since(begin),
        verdict: verdict.clone(),
    });
    verdict
}

/// Converts the daemon's verdict to that of the history.
fn convert(verdict: operator::Verdict) -> Verdict {
    let sheet_id = |version: operator::SheetVersion| SheetId {
        number: version.number,
        digest: version.digest.to_string(),
    };
    match verdict {
        operator::Verdict::Accepted(version) => Verdict::Accepted(version.version),
        operator::Verdict::Conflict { held } => Verdict::Conflict(sheet_id(held)),
        operator::Verdict::Outdated { newest } => Verdict::Outdated(sheet_id(newest)),
    }
}

/// Records which sheet a host has in force, every 100 ms, until the run ends.
pub async fn watch_sheet(context: Arc<Context>, host: HostAddresses) {
    while context.is_running() {
        let begin = context.recorder.now_us();
        let shown = timeout(Duration::from_secs(2), sheet_number_in_force(host.operator)).await;
        if let Ok(Some(number)) = shown {
            context
                .recorder
                .history()
                .observations
                .push(SheetObservation {
                    host: host.id,
                    span: context.recorder.span_since(begin),
                    number,
                });
        }
        sleep(Duration::from_millis(100)).await;
    }
}
