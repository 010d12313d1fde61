//! Operators that race, and observers of the sheet in force.

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

/// The number of the first sheet. Lower ones can't be accepted after it, so that submitting one
/// reads the newest sheet through the leader.
pub const FIRST_NUMBER: u64 = 100;

/// How long an operator waits for a result.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(6);

/// Submissions of one sheet.
const MAX_SUBMISSIONS: u32 = 3;

/// A sheet that differs from all others by its salt.
pub fn salted_sheet(context: &Context, number: u64, salt: u64) -> Sheet {
    let mut sheet = test_sheet(number, &context.engines, &[context.service]);
    for organisation in &mut sheet.organisations {
        organisation.requests_per_minute = 100_000 + salt % 100_000;
    }
    sheet
}

/// Submits sheets under numbers that the other operator uses too, again after a lost result, and
/// reads the newest one through the leader in between.
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

fn convert(verdict: operator::Verdict) -> Verdict {
    let sheet_id = |version: operator::Version| SheetId {
        number: version.number,
        digest: version.digest.to_string(),
    };
    match verdict {
        operator::Verdict::Accepted(version) => Verdict::Accepted(version.version),
        operator::Verdict::Conflict { held } => Verdict::Conflict(sheet_id(held)),
        operator::Verdict::Outdated { newest } => Verdict::Outdated(sheet_id(newest)),
    }
}

/// Notes again and again which sheet a host shows.
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
