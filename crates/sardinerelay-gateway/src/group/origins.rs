//! Fills the record of a voter that starts: which builds began the streams of before.
//!
//! The hosts that pass the streams on tell a voter that has started anew, but such a host may be gone by then.
//! So the voter also copies the records of the other members, and keeps its own on disk, since all of them may end
//! at once. See `docs/design/builds.md`.

use {
    super::{Handle, member, method::COPY_ORIGINS_METHOD},
    crate::{
        allocator::Allocator,
        origin::{
            Began, StreamId,
            file::{self, Records},
        },
    },
    log::{debug, info, warn},
    sardinerelayd::peer::{Client, Error, Packed},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        net::Ipv4Addr,
        path::Path,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::spawn_blocking, time::sleep},
};

/// Interval between looks for members whose record wasn't copied yet.
const INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of the copy of one page.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest number of streams in one page.
const PAGE_STREAMS: usize = 4096;
/// Time after the start in which entry hosts notice that this voter has started anew and tell it all streams. A
/// record that lacks a stream after that says that nobody knows it.
const TELL_TIME: Duration = Duration::from_secs(4);

/// Interval at which new streams are written to disk. A loss of power of all voters loses those since the last time.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// Reads the record on disk, and lets streams be kept for [`save`]. A record that can't be read is lost, as one on a
/// lost disk is.
pub(super) fn load(allocator: &Allocator, directory: &Path) -> Option<Records> {
    let (records, streams) = match Records::open(directory) {
        Ok(opened) => opened,
        Err(error) => {
            warn!(reason:% = error; "the record of streams on disk can't be used");
            return None;
        }
    };
    record(allocator, &streams);
    allocator.state().origins.keep_unsaved();
    info!(streams = streams.len(); "read which builds began streams");
    Some(records)
}

/// Writes new streams to disk for as long as the process runs. Streams that can't be written, since the disk is full,
/// are known in memory all the same.
pub(super) async fn save(allocator: Arc<Allocator>, mut records: Records) {
    let mut has_failed = false;
    loop {
        sleep(SAVE_INTERVAL).await;
        let (unsaved, all) = {
            let mut state = allocator.state();
            let unsaved = state.origins.take_unsaved();
            // What was written last may end in the middle of a stream.
            let is_due = records.is_large() || has_failed;
            let all = is_due.then(|| file::all(&state.origins, Instant::now()));
            (unsaved, all)
        };
        if unsaved.is_empty() && !has_failed {
            continue;
        }
        let written = spawn_blocking(move || {
            let written = match all {
                Some(all) => records.replace(&all),
                None => records.append(&unsaved),
            };
            (records, written)
        });
        let Ok((kept, written)) = written.await else {
            // The blocking task has panicked, which is logged, and has taken the file with it.
            return;
        };
        records = kept;
        if let Err(error) = &written
            && !has_failed
        {
            warn!(reason:% = error; "which builds began streams can't be written to disk");
        }
        has_failed = written.is_err();
    }
}

/// Asks for the streams that follow one in the order of their IDs. The result is a packed [`Page`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PageRequest {
    pub(super) after: Option<StreamId>,
}

/// Some streams of a member's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Page {
    streams: Vec<Began>,
    /// Whether the member's own record is complete.
    is_complete: bool,
}

/// Returns a page of this voter's record.
pub(super) fn page(allocator: &Allocator, request: &PageRequest) -> Page {
    let state = allocator.state();
    let origins = &state.origins;
    Page {
        streams: origins.page(request.after.as_ref(), PAGE_STREAMS, Instant::now()),
        is_complete: origins.is_complete(),
    }
}

/// Records the streams that another host tells of.
pub(super) fn record(allocator: &Allocator, streams: &[Began]) {
    let now = Instant::now();
    let mut state = allocator.state();
    streams
        .iter()
        .for_each(|began| state.origins.record(began, now));
}

/// Copies the record of each other member once, as soon as the member is known and can be reached.
pub(super) async fn run(handle: Handle, own: Ipv4Addr, allocator: Arc<Allocator>) {
    let started = Instant::now();
    let mut copied = BTreeSet::new();
    let mut complete = BTreeSet::new();
    loop {
        let members = handle.status.borrow().members.clone();
        let others: BTreeSet<Ipv4Addr> = members.into_iter().map(member::address).collect();
        let others: Vec<Ipv4Addr> = others.into_iter().filter(|other| *other != own).collect();
        for other in &others {
            if copied.contains(other) {
                continue;
            }
            match copy_from(&handle.clients.get(*other), &allocator).await {
                Ok(is_complete) => {
                    copied.insert(*other);
                    complete.extend(is_complete.then_some(*other));
                }
                Err(error) => debug!("no record of streams from {other}: {error}"),
            }
        }
        let has_all = !others.is_empty() && others.iter().all(|other| complete.contains(other));
        if has_all || started.elapsed() >= TELL_TIME {
            complete_record(&allocator, copied.len());
        }
        sleep(INTERVAL).await;
    }
}

/// Copies a member's record. Returns whether that was complete.
async fn copy_from(member: &Client, allocator: &Allocator) -> Result<bool, Error> {
    let mut request = PageRequest { after: None };
    let mut count = 0;
    loop {
        let called = member
            .call(COPY_ORIGINS_METHOD, &request, CALL_TIMEOUT)
            .await;
        let Packed(page): Packed<Page> = match called {
            // A member of an earlier version can't be asked.
            Err(error) if error.is_unknown_method() => return Ok(false),
            called => called?,
        };
        record(allocator, &page.streams);
        count += page.streams.len();
        request.after = page.streams.last().map(|began| began.stream.clone());
        if page.streams.len() < PAGE_STREAMS {
            info!(
                address:% = member.address(), streams = count, complete = page.is_complete;
                "copied which builds began streams"
            );
            return Ok(page.is_complete);
        }
    }
}

/// Records that the record is complete, unless it is known already.
fn complete_record(allocator: &Allocator, copied: usize) {
    let mut state = allocator.state();
    if state.origins.is_complete() {
        return;
    }
    state.origins.complete();
    let streams = state.origins.len();
    drop(state);
    info!(streams = streams, copied_from = copied; "it is known which builds began streams");
}
