//! Finds the build at which a stream has to go on that its caller takes up again.

use {
    crate::{
        allocator::Source, group::ORIGIN_METHOD, origin::Query, refusal::Refusal, request::Job,
        targets::State,
    },
    futures::{StreamExt as _, stream::FuturesUnordered},
    log::info,
    rand::Rng as _,
    sardinerelay::id::Build,
    std::time::{Duration, Instant},
    tokio::time::timeout,
};

/// Time in which it must turn out which build began a stream. A voter waits that long for a newer list.
const MAX_QUERY_TIME: Duration = Duration::from_millis(600);
/// Timeout of one call to a voter. It is longer, because a call that times out takes the connection with it.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a caller should retry when no voter could be asked.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Time in which a stream must have begun, as a multiple of its route's timeout: the caller's attempts
/// together take no longer than the first one may.
const WINDOW_TIMEOUTS: u32 = 2;

/// Why it isn't known which build began a stream.
enum Unknown {
    /// No voter that answered knows it.
    ToAll,
    /// No voter answered in time.
    Unreachable,
}

/// Returns the build at which the request has to run: none for a stream that begins.
///
/// # Errors
///
/// Returns a refusal if the stream can't go on: its build isn't known, or no target of it is left.
pub(super) async fn required_build(job: &Job) -> Result<Option<Build>, Refusal> {
    if job.call.last_event.is_none() {
        return Ok(None);
    }
    let query = Query {
        stream: job.call.stream().into(),
        service: job.service.clone(),
        window_ms: (job.route.timeout * WINDOW_TIMEOUTS).as_millis() as u64,
    };
    let (build, source) = match find(job, &query).await {
        Ok(found) => found,
        Err(Unknown::ToAll) => {
            let reason = "it isn't known which build began the stream";
            return Err(refuse(job, reason, job.remaining_or_timeout()));
        }
        Err(Unknown::Unreachable) => {
            let reason = "no voter says which build began the stream";
            let jitter = rand::rng().random_range(0.75..1.4);
            return Err(refuse(job, reason, UNREACHABLE_RETRY_AFTER.mul_f64(jitter)));
        }
    };
    info!(
        request = job.call.id.as_str(), stream = job.call.stream(), build = build.as_str(),
        source = source;
        "stream taken up"
    );
    if !has_target(job, &build) {
        let reason = "no target of the build that began the stream is left";
        return Err(refuse(job, reason, job.remaining_or_timeout()));
    }
    Ok(Some(build))
}

/// Finds the build that began a stream, and how that is known: here or at voters, whoever knows first.
async fn find(job: &Job, query: &Query) -> Result<(Build, &'static str), Unknown> {
    let own = async {
        let found = job.entry.allocator.find_origin(query, MAX_QUERY_TIME).await;
        found.map(|(build, source)| match source {
            Source::Record => (build, "own"),
            Source::OnlyBuild => (build, "only"),
        })
    };
    let voters = ask_voters(job, query);
    tokio::pin!(own, voters);
    tokio::select! {
        biased;
        found = &mut own => match found {
            Some(found) => Ok(found),
            None => voters.await.map(|build| (build, "voter")),
        },
        answer = &mut voters => match answer {
            Ok(build) => Ok((build, "voter")),
            Err(unknown) => own.await.ok_or(unknown),
        },
    }
}

/// Asks all voters side by side. The host that passed on the stream's begin may have followed others than
/// this one does.
async fn ask_voters(job: &Job, query: &Query) -> Result<Build, Unknown> {
    let voters = job.entry.voters().all;
    let calls = voters
        .iter()
        .map(|voter| voter.call::<_, Option<Build>>(ORIGIN_METHOD, query, CALL_TIMEOUT));
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut has_answer = false;
    let asked = timeout(MAX_QUERY_TIME, async {
        while let Some(called) = calls.next().await {
            match called {
                Ok(Some(build)) => return Some(build),
                Ok(None) => has_answer = true,
                Err(error) => {
                    info!(reason:% = error; "a voter doesn't say which build began a stream")
                }
            }
        }
        None
    });
    match asked.await {
        Ok(Some(build)) => Ok(build),
        _ if has_answer => Err(Unknown::ToAll),
        _ => Err(Unknown::Unreachable),
    }
}

/// Whether a target of the build takes work, or no target is known at all.
fn has_target(job: &Job, build: &Build) -> bool {
    let now = Instant::now();
    let state = job.entry.state();
    let targets = &state.targets;
    let of_build = |known: &&State| known.instance.build == *build;
    let mut of_build = targets.of_service(&job.service).filter(of_build);
    of_build.any(|known| targets.is_staying(known, now)) || targets.list_age(now).is_none()
}

fn refuse(job: &Job, reason: &'static str, retry_after: Duration) -> Refusal {
    info!(
        request = job.call.id.as_str(), stream = job.call.stream(), reason = reason,
        retry_after_ms = retry_after.as_millis() as u64;
        "stream not taken up"
    );
    Refusal::NotRun {
        reason,
        retry_after,
    }
}
