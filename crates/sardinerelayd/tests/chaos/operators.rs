//! Operators that race, and observers of the sheet in force.

use {
    crate::{
        harness::{in_force, sheet, submit},
        history::{Identity, Shown, Submission, Verdict},
        scene::{Entry, Scene},
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
pub const FIRST: u64 = 100;

/// How long an operator waits for a result.
const PATIENCE: Duration = Duration::from_secs(6);

/// Submissions of one sheet.
const ATTEMPTS: u32 = 3;

/// A sheet that differs from all others by its salt.
pub fn salted(scene: &Scene, number: u64, salt: u64) -> Sheet {
    let mut sheet = sheet(number, &scene.engines, &[scene.service]);
    for organisation in &mut sheet.organisations {
        organisation.requests_per_minute = 100_000 + salt % 100_000;
    }
    sheet
}

/// Submits sheets under numbers that the other operator uses too, again after a lost result, and
/// reads the newest one through the leader in between.
pub async fn operate(scene: Arc<Scene>, task: u64) {
    let mut random = scene.random(task);
    while scene.is_running() {
        let newest = scene.number.load(Ordering::Relaxed);
        let number = match random.random_range(0..10) {
            0..=1 => random.random_range(1..FIRST),
            2..=3 => newest,
            _ => newest + 1,
        };
        scene.number.fetch_max(number, Ordering::Relaxed);
        let sheet = salted(&scene, number, random.random());
        let proposal = Uuid::from_u128(random.random());
        for _ in 0..ATTEMPTS {
            let host = scene.pick(&mut random);
            let verdict = put(&scene, host, &sheet, proposal).await;
            let repeat = match verdict {
                Verdict::Lost | Verdict::NotCommitted => 0.7,
                _ => 0.2,
            };
            if !scene.is_running() || !random.random_bool(repeat) {
                break;
            }
        }
        sleep(Duration::from_millis(random.random_range(50..400))).await;
    }
}

/// Submits a sheet once and records the result.
pub async fn put(scene: &Scene, host: Entry, sheet: &Sheet, proposal: Uuid) -> Verdict {
    let begin = scene.recorder.now();
    let result = timeout(PATIENCE, submit(host.operator, sheet, proposal)).await;
    let verdict = match result {
        Ok(Ok(verdict)) => told(verdict),
        Ok(Err(Error::Call(error))) => match ErrorCode::from_number(error.code()) {
            Some(ErrorCode::NoQuorum | ErrorCode::NotReady | ErrorCode::Busy) => {
                Verdict::NotCommitted
            }
            _ => Verdict::Lost,
        },
        _ => Verdict::Lost,
    };
    let digest = operator::Digest(sheet.digest()).to_string();
    scene.recorder.history().submissions.push(Submission {
        sheet: Identity {
            number: sheet.number,
            digest,
        },
        span: scene.recorder.since(begin),
        verdict: verdict.clone(),
    });
    verdict
}

fn told(verdict: operator::Verdict) -> Verdict {
    let identity = |version: operator::SheetVersion| Identity {
        number: version.number,
        digest: version.digest.to_string(),
    };
    match verdict {
        operator::Verdict::Accepted(version) => Verdict::Accepted(version.version),
        operator::Verdict::Conflict { held } => Verdict::Conflict(identity(held)),
        operator::Verdict::Outdated { newest } => Verdict::Outdated(identity(newest)),
    }
}

/// Notes again and again which sheet a host shows.
pub async fn watch(scene: Arc<Scene>, host: Entry) {
    while scene.is_running() {
        let begin = scene.recorder.now();
        let shown = timeout(Duration::from_secs(2), in_force(host.operator)).await;
        if let Ok(Some(number)) = shown {
            scene.recorder.history().shown.push(Shown {
                host: host.id,
                span: scene.recorder.since(begin),
                number,
            });
        }
        sleep(Duration::from_millis(100)).await;
    }
}
