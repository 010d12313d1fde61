//! Tells a voter which builds began the streams that this host passes on.
//!
//! A voter confirms what it was told with the number of its record. If that is another number than before, the
//! voter has started anew and is told all streams once more, as after a call that failed. The voter thereby
//! knows a stream for as long as this host runs, whatever becomes of voters in between.

use {
    super::{Began, Incarnation, StreamId},
    crate::{
        entry::EntryHost,
        group::{BEGAN_METHOD, TELL_ORIGINS_METHOD},
    },
    log::{debug, info},
    sardinerelayd::peer::{Client, Error, Packed},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::broadcast::{Receiver, error::RecvError},
        time::{sleep, timeout},
    },
};

/// Longest time without a call, in which a voter that has started anew isn't noticed.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one call. One that times out takes the connection with it.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Largest number of streams in one call.
const MAX_STREAMS: usize = 1024;

/// Tells a voter of all streams of this host, and then of each new one, for as long as the voter is followed.
pub async fn run(entry: Arc<EntryHost>, voter: Arc<Client>) {
    loop {
        // Before the streams that are known are looked up, so that none is missed.
        let mut news = entry.stream_news();
        match tell_all(&entry, &voter).await {
            Ok(Some(told)) => tell_news(&entry, &voter, (&mut news, told)).await,
            Ok(None) => {}
            Err(error) => {
                debug!("telling {} of streams failed: {error}", voter.address());
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Tells of all streams that may still be taken up. Returns the number of the voter's record, or none if the
/// voter has started anew in the meantime.
async fn tell_all(entry: &EntryHost, voter: &Client) -> Result<Option<Incarnation>, Error> {
    let mut told = None;
    let mut last: Option<StreamId> = None;
    let mut count = 0;
    loop {
        let page = entry
            .state()
            .origins
            .page(last.as_ref(), MAX_STREAMS, Instant::now());
        let incarnation = tell(voter, &page).await?;
        if told.is_some_and(|told| told != incarnation) {
            return Ok(None);
        }
        told = Some(incarnation);
        count += page.len();
        match page.last() {
            Some(began) if page.len() == MAX_STREAMS => last = Some(began.stream.clone()),
            _ => break,
        }
    }
    if count > 0 {
        info!(address:% = voter.address(), streams = count; "told a voter of all streams");
    }
    Ok(told)
}

/// Tells of new streams until the voter has to be told all of them again.
async fn tell_news(
    entry: &EntryHost,
    voter: &Client,
    (news, told): (&mut Receiver<Began>, Incarnation),
) {
    loop {
        let Some(streams) = next_batch(news).await else {
            return;
        };
        if streams.is_empty() && entry.state().origins.is_empty() {
            continue;
        }
        match tell(voter, &streams).await {
            Ok(incarnation) if incarnation == told => {}
            Ok(_) => {
                info!(address:% = voter.address(); "a voter has started anew and is told of all streams");
                return;
            }
            Err(error) => {
                debug!("telling {} of streams failed: {error}", voter.address());
                sleep(RETRY_DELAY).await;
                return;
            }
        }
    }
}

/// Returns the next streams that began, or nothing after [`CONFIRM_INTERVAL`]. Returns none if some were missed.
async fn next_batch(news: &mut Receiver<Began>) -> Option<Vec<Began>> {
    let first = match timeout(CONFIRM_INTERVAL, news.recv()).await {
        Ok(Ok(first)) => first,
        Ok(Err(RecvError::Lagged(_) | RecvError::Closed)) => return None,
        Err(_) => return Some(Vec::new()),
    };
    let mut streams = vec![first];
    while streams.len() < MAX_STREAMS
        && let Ok(next) = news.try_recv()
    {
        streams.push(next);
    }
    Some(streams)
}

/// Tells of some streams. Returns the number of the voter's record, 0 for a voter of an earlier version, which
/// can't confirm them.
async fn tell(voter: &Client, streams: &[Began]) -> Result<Incarnation, Error> {
    let streams = Packed(streams);
    let called = voter.call(TELL_ORIGINS_METHOD, &streams, CALL_TIMEOUT);
    match called.await {
        Err(error) if error.is_unknown_method() => {
            voter.notify(BEGAN_METHOD, &streams, CALL_TIMEOUT).await?;
            Ok(0)
        }
        confirmed => confirmed,
    }
}
